"""Runs the real entry and agent reducers against simulated engines and stores."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct, field

from bench.deployments import BLOCK_TEXT, Deployment, make_tables
from bench.fakes import LINK_BYTES_S, Engine, EngineRun, StoreInstance, Transfers
from bench.workload import Request, Workload
from masticdrum.core.agent import reduce_agent
from masticdrum.core.agentstate import AgentOptions, AgentState
from masticdrum.core.blocks import compute_block_keys
from masticdrum.core.cachestate import hash_home
from masticdrum.core.entry import reduce_entry
from masticdrum.core.entrystate import EntryOptions, EntryState
from masticdrum.core.rendezvous import Ranking
from masticdrum.model.agent_events import (
    CancelRun,
    ExportBlock,
    FetchBlocks,
    ReplyFrame,
    StartRun,
)
from masticdrum.model.entry_events import (
    CompletionRequested,
    FrameReceived,
    OpenLink,
    SendEnd,
    SendFrame,
    SendRefusal,
    SendTokens,
)
from masticdrum.model.messages import Envelope
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectStatus
from masticdrum.model.tables import Tables, Urgency
from masticdrum.model.telemetry import Count, Counter
from tests.driver import Driver

ENTRIES = 3
REPORT_EVERY_S = 0.5
PLATFORM_S = 0.003
DRAIN_S = 40.0
START_S = 3.0  # before the first request, for tables and load reports to arrive


class Outcome(Struct):
    """The outcome of one request, in seconds and numbers of blocks.

    The phases of the last attempt's time to first token are ``dispatched_s`` until the
    agent received the request, ``queue_s`` in the agent's queue, ``import_s``,
    ``engine_s`` until the engine began and ``compute_s``.
    """

    request: Request
    first_s: float = -1.0
    ended: bool = False
    refused: str = ""
    cached: int = 0
    imported: int = 0
    recomputed: int = 0
    dispatched_s: float = 0.0
    queue_s: float = 0.0
    import_s: float = 0.0
    engine_s: float = 0.0
    compute_s: float = 0.0


class Sample(Struct, frozen=True):
    """Running totals: bytes carried_bytes by all links, busy seconds of all engines."""

    at: float
    carried_bytes: int
    busy_s: float


class Measurements(Struct):
    """The measurements of one simulation run."""

    outcomes: list[Outcome] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    worst_overload: float = 0.0


class World:
    """A simulated deployment that serves one workload."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        flat: bool = False,
        entries: int = ENTRIES,
    ) -> None:
        self.deployment = deployment
        self.flat = flat
        self.driver = Driver(seed)
        self.tables = make_tables(deployment, flat=flat)
        self.measured = Measurements()
        self.engines: dict[str, Engine] = {}
        self.transfers: dict[str, Transfers] = {}
        self.owners: dict[str, tuple[str, str]] = {}
        self.agents: dict[str, str] = {}
        self.stores = {store.address: StoreInstance() for store in self.tables.stores}
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.register_handlers()
        for name in self.entries:
            self.add_entry(name)
        for upstream in self.tables.pools[0].upstreams:
            self.add_agent(upstream.name, upstream.data_centre, upstream.agent)

    def register_handlers(self) -> None:
        """Register a driver handler for each type of effect."""
        handlers: dict[type, Callable[[str, Any], None]] = {
            OpenLink: self.open_link,
            SendFrame: self.send_frame,
            ReplyFrame: self.reply_frame,
            ObjectGet: self.read_object,
            SendTokens: self.record_first_token,
            SendEnd: self.record_end,
            SendRefusal: self.record_refusal,
            StartRun: lambda name, effect: self.engines[name].start(effect),
            CancelRun: lambda name, effect: self.engines[name].cancel(effect.attempt),
            FetchBlocks: lambda name, effect: self.transfers[name].fetch(effect),
            ExportBlock: lambda name, effect: self.transfers[name].export(effect),
            Count: self.add_to_counter,
        }
        self.driver.handlers.update(handlers)

    def add_entry(self, name: str) -> None:
        """Add an entry."""
        centre = self.deployment.data_centres[0]
        state = EntryState(EntryOptions(name, centre, f"{name}-1"), 1)
        self.driver.add(name, state, reduce_entry)

    def add_agent(self, upstream: str, data_centre: str, address: str) -> None:
        """Add an agent with its engine."""
        options = AgentOptions(
            upstream, data_centre, "llm", upstream, f"{upstream}-incarnation"
        )
        state = AgentState(options, 1)
        engine = Engine(upstream, self.driver.at, lambda: self.driver.now)
        engine.emit = lambda event: self.driver.submit(upstream, event)
        engine.on_first_token = lambda run: self.record_phases(upstream, run)
        self.engines[upstream] = engine
        self.transfers[upstream] = Transfers(engine, self.stores)
        self.agents[address] = upstream
        self.driver.add(upstream, state, reduce_agent)
        self.report_periodically(upstream)

    def report_periodically(self, upstream: str) -> None:
        """Let an engine report now and every ``REPORT_EVERY_S``."""
        self.engines[upstream].report()
        at = self.driver.now + REPORT_EVERY_S
        self.driver.at(at, lambda: self.report_periodically(upstream))

    def preload(self, history: list[Request]) -> None:
        """Fill the stores with the blocks of earlier requests, oldest first."""
        ranking = Ranking((store.name, "", 1.0) for store in self.tables.stores)
        addresses = {store.name: store.address for store in self.tables.stores}
        for request in history:
            keys = compute_block_keys(
                request.workspace, "llm", "v1", request.prompt, BLOCK_TEXT
            )
            for number, key in enumerate(keys):
                home = next(ranking.rank(hash_home(keys, number)))
                self.stores[addresses[home]].store_block(key)

    def run(self, workload: Workload, length_s: float) -> Measurements:
        """Run the workload, and ``DRAIN_S`` longer so that open requests can end."""
        self.preload(workload.history)
        for request in workload.requests:
            outcome = Outcome(request)
            self.measured.outcomes.append(outcome)
            self.driver.at(request.at + START_S, self.make_submission(outcome))
        self.record_sample(length_s)
        self.driver.run(length_s + DRAIN_S)
        overloads = [engine.worst_overload for engine in self.engines.values()]
        self.measured.worst_overload = max(overloads)
        return self.measured

    def make_submission(self, outcome: Outcome) -> Callable[[], None]:
        """Return the action that sends a request to an entry."""
        request = outcome.request
        entry = self.entries[request.number % len(self.entries)]
        requested = CompletionRequested(
            str(request.number),
            request.workspace,
            request.urgency.value,
            request.prompt,
            request.max_tokens,
        )
        return lambda: self.driver.submit(entry, requested, self.deployment.delay_s)

    def record_sample(self, length_s: float) -> None:
        """Record a sample now and each second until ``length_s``."""
        carried_bytes = sum(store.carried_bytes for store in self.stores.values())
        busy_s = sum(engine.busy_s for engine in self.engines.values())
        self.measured.samples.append(Sample(self.driver.now, carried_bytes, busy_s))
        if self.driver.now < length_s:
            self.driver.at(self.driver.now + 1.0, lambda: self.record_sample(length_s))

    def open_link(self, name: str, effect: OpenLink) -> None:
        """Record the entry and the upstream that a link connects."""
        self.owners[effect.link] = (name, self.agents[effect.address])

    def send_frame(self, name: str, effect: SendFrame) -> None:
        """Send a frame to the agent."""
        self.transmit(name, self.owners[effect.link][1], effect.link, effect.message)

    def reply_frame(self, name: str, effect: ReplyFrame) -> None:
        """Send a frame back to the entry."""
        self.transmit(name, self.owners[effect.link][0], effect.link, effect.message)

    def transmit(self, sender: str, receiver: str, link: str, message: Any) -> None:
        """Deliver a frame after the network delay; frames stay in order."""
        state = self.driver.processes[sender].state
        envelope = Envelope(
            sender, state.options.incarnation, state.view.serial, message
        )
        frame = FrameReceived(link, envelope)
        self.driver.submit(receiver, frame, self.deployment.delay_s)

    def read_object(self, name: str, effect: ObjectGet) -> None:
        """Answer a read of the tables; any other object is missing."""
        if "tables" not in effect.path:
            answer = ObjectAnswer(effect.call, ObjectStatus.MISSING)
            self.driver.submit(name, answer, PLATFORM_S + effect.wait_s)
            return
        serial = self.tables.serial
        view = self.driver.processes[name].state.view
        if view.serial == serial:
            answer = ObjectAnswer(effect.call, ObjectStatus.UNCHANGED, serial)
            self.driver.submit(name, answer, PLATFORM_S + min(effect.wait_s, 1.0))
            return
        body = msgspec.json.encode(self.tables)
        answer = ObjectAnswer(effect.call, ObjectStatus.OK, serial, body)
        self.driver.submit(name, answer, PLATFORM_S)

    def edit_tables(self, out: str) -> None:
        """Edit the tables: drain the data centre ``out``, or none if it is empty."""
        serial = self.tables.serial + 1
        self.tables: Tables = make_tables(self.deployment, serial, out, self.flat)

    def record_first_token(self, name: str, effect: SendTokens) -> None:
        """Record a request's time to first token."""
        outcome = self.measured.outcomes[int(effect.request)]
        if outcome.first_s < 0.0:
            arrived = outcome.request.at + START_S
            outcome.first_s = self.driver.now + self.deployment.delay_s - arrived

    def record_phases(self, upstream: str, run: EngineRun) -> None:
        """Record the phases of a request's time to first token."""
        agent_run = self.driver.processes[upstream].state.runs.get(run.start.attempt)
        if agent_run is None:
            return
        outcome = self.measured.outcomes[int(agent_run.dispatch.request)]
        outcome.dispatched_s = agent_run.arrived_at - outcome.request.at - START_S
        outcome.queue_s = agent_run.started_at - agent_run.arrived_at
        outcome.import_s = run.started_at - agent_run.started_at
        outcome.engine_s = run.begun_at - run.started_at
        outcome.compute_s = self.driver.now - run.begun_at

    def record_end(self, name: str, effect: SendEnd) -> None:
        """Record that a request was answered in full, and its cache usage."""
        outcome = self.measured.outcomes[int(effect.request)]
        outcome.ended = True
        outcome.cached = effect.usage.cached
        outcome.imported = effect.usage.imported
        outcome.recomputed = effect.usage.recomputed

    def record_refusal(self, name: str, effect: SendRefusal) -> None:
        """Record a refusal that was sent to the caller."""
        outcome = self.measured.outcomes[int(effect.request)]
        outcome.refused = f"{effect.kind.value}/{effect.outcome.value}"

    def add_to_counter(self, name: str, effect: Count) -> None:
        """Add to a counter."""
        if effect.counter in (Counter.REFUSALS, Counter.RETRIES, Counter.BLOCKS):
            key = f"{effect.counter.value}:{effect.reason}"
            self.measured.counts[key] += effect.amount

    def stop_data_centre(self, name: str) -> None:
        """Stop the engines of a data centre."""
        for upstream in self.tables.pools[0].upstreams:
            if upstream.data_centre == name:
                self.engines[upstream.name].stop()

    def restart_data_centre(self, name: str) -> None:
        """Restart the engines of a data centre, cold."""
        for upstream in self.tables.pools[0].upstreams:
            if upstream.data_centre == name:
                self.engines[upstream.name].restart()

    def slow_store_link(self, number: int, factor: float) -> None:
        """Divide the full rate of a store instance's link by ``factor``."""
        list(self.stores.values())[number].rate = LINK_BYTES_S / factor

    def stop_store(self, number: int) -> None:
        """Stop a store instance; it loses all its blocks."""
        list(self.stores.values())[number].stop()

    def restart_store(self, number: int) -> None:
        """Restart a stopped store instance, empty."""
        list(self.stores.values())[number].stopped = False


def is_urgent(outcome: Outcome) -> bool:
    """Return whether the caller marked a request as urgent."""
    return outcome.request.urgency is Urgency.URGENT
