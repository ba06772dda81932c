"""The real entry and agent reducers against the bench's engines and stores."""

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
START_S = 3.0  # for the processes to have tables and load reports


class Outcome(Struct):
    """What became of one request; times are seconds, counts blocks.

    The time to first token of the last attempt is made up of ``dispatched_s`` until
    the agent had it, ``queue_s`` for its turn, ``import_s``, ``engine_s`` until the
    engine began and ``compute_s``.
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
    """Bytes carried by all links, and busy seconds of all engines, so far."""

    at: float
    carried: int
    busy_s: float


class Measured(Struct):
    """Everything that one run of the world showed."""

    outcomes: list[Outcome] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    worst_overload: float = 0.0


class World:
    """One deployment under one workload."""

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
        self.measured = Measured()
        self.engines: dict[str, Engine] = {}
        self.transfers: dict[str, Transfers] = {}
        self.owners: dict[str, tuple[str, str]] = {}
        self.agents: dict[str, str] = {}
        self.stores = {store.address: StoreInstance() for store in self.tables.stores}
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.register()
        for name in self.entries:
            self.add_entry(name)
        for upstream in self.tables.pools[0].upstreams:
            self.add_agent(upstream.name, upstream.data_centre, upstream.agent)

    def register(self) -> None:
        """Tell the driver what each effect means."""
        handlers: dict[type, Callable[[str, Any], None]] = {
            OpenLink: self.open_link,
            SendFrame: self.send_frame,
            ReplyFrame: self.reply_frame,
            ObjectGet: self.read_object,
            SendTokens: self.take_tokens,
            SendEnd: self.take_end,
            SendRefusal: self.take_refusal,
            StartRun: lambda name, effect: self.engines[name].start(effect),
            CancelRun: lambda name, effect: self.engines[name].cancel(effect.attempt),
            FetchBlocks: lambda name, effect: self.transfers[name].fetch(effect),
            ExportBlock: lambda name, effect: self.transfers[name].keep(effect),
            Count: self.count,
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
        engine.tell = lambda event: self.driver.submit(upstream, event)
        engine.note_first = lambda run: self.note_phases(upstream, run)
        self.engines[upstream] = engine
        self.transfers[upstream] = Transfers(engine, self.stores)
        self.agents[address] = upstream
        self.driver.add(upstream, state, reduce_agent)
        self.report(upstream)

    def report(self, upstream: str) -> None:
        """Let an engine report, again and again."""
        self.engines[upstream].report()
        at = self.driver.now + REPORT_EVERY_S
        self.driver.at(at, lambda: self.report(upstream))

    def preload(self, history: list[Request]) -> None:
        """Let the stores keep what came before time zero, oldest first."""
        ranking = Ranking((store.name, "", 1.0) for store in self.tables.stores)
        addresses = {store.name: store.address for store in self.tables.stores}
        for request in history:
            keys = compute_block_keys(
                request.workspace, "llm", "v1", request.prompt, BLOCK_TEXT
            )
            for number, key in enumerate(keys):
                home = next(ranking.rank(hash_home(keys, number)))
                self.stores[addresses[home]].keep(key)

    def play(self, workload: Workload, length_s: float) -> Measured:
        """Run the workload until every request should have ended."""
        self.preload(workload.history)
        for request in workload.requests:
            outcome = Outcome(request)
            self.measured.outcomes.append(outcome)
            self.driver.at(request.at + START_S, self.make_ask(outcome))
        self.sample(length_s)
        self.driver.run(length_s + DRAIN_S)
        overloads = [engine.worst_overload for engine in self.engines.values()]
        self.measured.worst_overload = max(overloads)
        return self.measured

    def make_ask(self, outcome: Outcome) -> Callable[[], None]:
        """Return the action that sends a request to an entry."""
        request = outcome.request
        entry = self.entries[request.number % len(self.entries)]
        asked = CompletionRequested(
            str(request.number),
            request.workspace,
            request.urgency.value,
            request.prompt,
            request.max_tokens,
        )
        return lambda: self.driver.submit(entry, asked, self.deployment.delay_s)

    def sample(self, length_s: float) -> None:
        """Note how much the links carried, each second."""
        carried = sum(store.carried for store in self.stores.values())
        busy_s = sum(engine.busy_s for engine in self.engines.values())
        self.measured.samples.append(Sample(self.driver.now, carried, busy_s))
        if self.driver.now < length_s:
            self.driver.at(self.driver.now + 1.0, lambda: self.sample(length_s))

    def open_link(self, name: str, effect: OpenLink) -> None:
        """Note whose a link is."""
        self.owners[effect.link] = (name, self.agents[effect.address])

    def send_frame(self, name: str, effect: SendFrame) -> None:
        """Bring a frame to the agent."""
        self.transmit(name, self.owners[effect.link][1], effect.link, effect.message)

    def reply_frame(self, name: str, effect: ReplyFrame) -> None:
        """Bring a frame back to the entry."""
        self.transmit(name, self.owners[effect.link][0], effect.link, effect.message)

    def transmit(self, sender: str, receiver: str, link: str, message: Any) -> None:
        """Bring a frame over the network, in order."""
        state = self.driver.processes[sender].state
        envelope = Envelope(
            sender, state.options.incarnation, state.view.serial, message
        )
        frame = FrameReceived(link, envelope)
        self.driver.submit(receiver, frame, self.deployment.delay_s)

    def read_object(self, name: str, effect: ObjectGet) -> None:
        """Answer a read of the tables; nothing else is kept."""
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

    def install(self, out: str) -> None:
        """Edit the tables: take a data centre out, or bring all back."""
        serial = self.tables.serial + 1
        self.tables: Tables = make_tables(self.deployment, serial, out, self.flat)

    def take_tokens(self, name: str, effect: SendTokens) -> None:
        """Note a request's first token."""
        outcome = self.measured.outcomes[int(effect.request)]
        if outcome.first_s < 0.0:
            arrived = outcome.request.at + START_S
            outcome.first_s = self.driver.now + self.deployment.delay_s - arrived

    def note_phases(self, upstream: str, run: EngineRun) -> None:
        """Note what a request's time to first token was made up of."""
        known = self.driver.processes[upstream].state.runs.get(run.start.attempt)
        if known is None:
            return
        outcome = self.measured.outcomes[int(known.dispatch.request)]
        outcome.dispatched_s = known.arrived_at - outcome.request.at - START_S
        outcome.queue_s = known.started_at - known.arrived_at
        outcome.import_s = run.started_at - known.started_at
        outcome.engine_s = run.begun_at - run.started_at
        outcome.compute_s = self.driver.now - run.begun_at

    def take_end(self, name: str, effect: SendEnd) -> None:
        """Note a request's whole answer."""
        outcome = self.measured.outcomes[int(effect.request)]
        outcome.ended = True
        outcome.cached = effect.usage.cached
        outcome.imported = effect.usage.imported
        outcome.recomputed = effect.usage.recomputed

    def take_refusal(self, name: str, effect: SendRefusal) -> None:
        """Note a refusal that the caller saw."""
        outcome = self.measured.outcomes[int(effect.request)]
        outcome.refused = f"{effect.kind.value}/{effect.outcome.value}"

    def count(self, name: str, effect: Count) -> None:
        """Add to a counter."""
        if effect.counter in (Counter.REFUSALS, Counter.RETRIES, Counter.BLOCKS):
            key = f"{effect.counter.value}:{effect.reason}"
            self.measured.counts[key] += effect.amount

    def stop_data_centre(self, name: str) -> None:
        """Stop the engines of a data centre."""
        for upstream in self.tables.pools[0].upstreams:
            if upstream.data_centre == name:
                self.engines[upstream.name].stop()

    def return_data_centre(self, name: str) -> None:
        """Bring the engines of a data centre back, cold."""
        for upstream in self.tables.pools[0].upstreams:
            if upstream.data_centre == name:
                self.engines[upstream.name].come_back()

    def slow_link(self, number: int, factor: float) -> None:
        """Slow the link of a store instance down, or set it right again."""
        list(self.stores.values())[number].rate = LINK_BYTES_S / factor

    def lose_store(self, number: int) -> None:
        """Lose a store instance with all that it keeps."""
        list(self.stores.values())[number].lose()

    def revive_store(self, number: int) -> None:
        """Start an empty store instance in place of the lost one."""
        list(self.stores.values())[number].dead = False


def is_urgent(outcome: Outcome) -> bool:
    """Tell whether a request was urgent to its caller."""
    return outcome.request.urgency is Urgency.URGENT
