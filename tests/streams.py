"""Entries, agents and fake engines under one driver, with every stream checked."""

from collections.abc import Callable
from random import Random
from typing import Any

from msgspec import Struct, field

from masticdrum.core import agenttables, entrytables
from masticdrum.core.agent import reduce_agent
from masticdrum.core.agentstate import AgentOptions, AgentState
from masticdrum.core.entry import reduce_entry
from masticdrum.core.entrystate import EntryOptions, EntryState
from masticdrum.core.invariants import require
from masticdrum.model.agent_events import (
    CancelRun,
    LoadReported,
    ReplyFrame,
    ResumeRun,
    RunBegun,
    RunEnded,
    RunFailed,
    RunTokens,
    StartRun,
)
from masticdrum.model.entry_events import (
    CallerDisconnected,
    CloseLink,
    CompletionRequested,
    Exit,
    FrameReceived,
    OpenLink,
    SendEnd,
    SendFrame,
    SendRefusal,
    SendTokens,
)
from masticdrum.model.errors import Outcome
from masticdrum.model.messages import Envelope
from masticdrum.model.tables import (
    DataCentre,
    Pool,
    PoolKind,
    Route,
    Tables,
    Upstream,
    Urgency,
)
from tests.driver import Driver, Network

TOKEN_S = 0.044
PREFILL_S = 0.05
LOAD_EVERY_S = 0.5
WORKSPACES = [f"workspace-{n}" for n in range(4)]
MAX_RUNNING = 4
DEADLINE_S = 40.0


class FakeEngine(Struct):
    """An engine: its runs continue without their agent until they are cancelled."""

    boot: int = 0
    version: str = "v1"
    runs: dict[str, "FakeRun"] = field(default_factory=dict)
    peak: int = 0
    silent: set[int] = field(default_factory=set)
    connections: int = 0


class FakeRun(Struct):
    """One run at a fake engine."""

    order: StartRun
    version: str
    began_at: float


class CallerStream(Struct):
    """The tokens and the end that one caller has received so far."""

    event: CompletionRequested
    entry: str
    texts: list[str] = field(default_factory=list)
    end: SendEnd | SendRefusal | None = None
    gone: bool = False


def make_token(prompt: str, number: int, version: str) -> str:
    """Return the token that every engine generates for a prompt at a position."""
    return f"{prompt}/{version}/{number} "


class StreamWorld:
    """A few entries and agents whose callers' answers are checked as they arrive."""

    def __init__(
        self,
        seed: int,
        *,
        entries: int = 2,
        agents: int = 4,
        network: Network | None = None,
    ) -> None:
        self.driver = Driver(seed, network)
        self.rng = Random(seed + 1)
        self.agents = [f"agent-{n}" for n in range(agents)]
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.engines = {name: FakeEngine() for name in self.agents}
        self.links: dict[str, tuple[str, str]] = {}
        self.silent_links: set[str] = set()
        self.streams: dict[str, CallerStream] = {}
        self.begun: set[str] = set()
        self.started: list[tuple[float, str]] = []
        self.exited: dict[str, float] = {}
        self.cut: dict[str, int] = {}
        names = [*self.agents, *self.entries]
        self.addresses = {a: f"tcp://10.0.0.{n + 1}:7000" for n, a in enumerate(names)}
        self.by_address = {address: name for name, address in self.addresses.items()}
        self.tables = self._make_tables()
        self._register()
        for name in self.agents:
            self.start_agent(name)
        for name in self.entries:
            self.start_entry(name)

    def start_agent(self, name: str) -> None:
        """Start an agent, or replace it by a new incarnation."""
        options = AgentOptions(
            name=name,
            data_centre=self._find_data_centre(name),
            pool="pool",
            upstream=name,
            incarnation=f"{name}/{self.rng.getrandbits(32)}",
        )
        state = AgentState(options, self.rng.getrandbits(32))
        agenttables.install_tables(state, self.tables, self.driver.now)
        self.driver.add(name, state, reduce_agent)
        self._report_load(name, self.driver.processes[name].epoch)

    def start_entry(self, name: str) -> None:
        """Start an entry, or replace it by a new incarnation."""
        incarnation = f"{name}/{self.rng.getrandbits(32)}"
        options = EntryOptions(name, "dc-0", incarnation)
        state = EntryState(options, self.rng.getrandbits(32))
        entrytables.install_tables(state, self.tables, self.driver.now)
        self.driver.add(name, state, reduce_entry)

    def send_request(self, entry: str, max_tokens: int = 40) -> str:
        """Let a caller send a prompt; return the request's name."""
        request = f"request-{len(self.streams)}"
        event = CompletionRequested(
            request=request,
            workspace=self.rng.choice(WORKSPACES),
            route="route",
            prompt=f"prompt-{self.rng.randrange(10)}-{request}",
            max_tokens=max_tokens,
        )
        self.streams[request] = CallerStream(event, entry)
        self.driver.submit(entry, event)
        return request

    def disconnect_caller(self, entry: str, request: str) -> None:
        """Let a caller close its connection."""
        self.streams[request].gone = True
        self.driver.submit(entry, CallerDisconnected(request))

    def crash_entry(self, name: str) -> None:
        """Kill and restart an entry; its callers' connections break."""
        self.driver.crash(name)
        for stream in self.streams.values():
            stream.gone |= stream.entry == name
        self.start_entry(name)

    def crash_agent(self, name: str) -> None:
        """Kill and restart an agent; its engine's runs continue."""
        self.driver.crash(name)
        self.start_agent(name)

    def crash_engine(self, name: str) -> None:
        """Kill an engine: its runs are gone and its connections break."""
        engine = self.engines[name]
        engine.boot += 1
        runs, engine.runs = engine.runs, {}
        for attempt in runs:
            failed = RunFailed(attempt, True, detail="connection reset")
            self.driver.submit(name, failed, PREFILL_S)

    def silence_link(self, entry: str) -> None:
        """Silently drop all frames on one of an entry's links from now on."""
        mine = [link for link, (owner, _) in self.links.items() if owner == entry]
        if mine:
            self.silent_links.add(self.rng.choice(mine))

    def silence_engine(self, name: str) -> None:
        """Silence every connection to an engine that is open now."""
        engine = self.engines[name]
        engine.silent.add(engine.connections)
        for attempt in engine.runs:
            silent = RunFailed(attempt, True, silent=True)
            self.driver.submit(name, silent, 1.0)
        engine.connections += 1

    def swap_version(self, name: str, version: str) -> None:
        """Load other weights; runs in progress keep theirs."""
        self.engines[name].version = version

    def check_all_ended(self) -> None:
        """Require that every connected caller got a whole answer or an error."""
        for request, stream in self.streams.items():
            ended = stream.gone or stream.end is not None
            require(ended, f"request '{request}' has ended")

    def _make_tables(self) -> Tables:
        upstreams = [
            Upstream(name, self._find_data_centre(name), self.addresses[name])
            for name in self.agents
        ]
        pool = Pool(
            "pool", PoolKind.ENGINE, upstreams, "model", "v1", max_running=MAX_RUNNING
        )
        route = Route(
            "route", "pool", WORKSPACES, Urgency.NORMAL, deadline_s=DEADLINE_S
        )
        return Tables(
            1,
            [DataCentre("dc-0", "region"), DataCentre("dc-1", "region")],
            pools=[pool],
            routes=[route],
        )

    def _find_data_centre(self, agent: str) -> str:
        return f"dc-{self.agents.index(agent) % 2}"

    def _register(self) -> None:
        handlers: dict[type, Callable[[str, Any], None]] = {
            OpenLink: self._open_link,
            CloseLink: self._close_link,
            SendFrame: self._send_frame,
            ReplyFrame: self._reply_frame,
            StartRun: self._start_run,
            ResumeRun: self._resume_run,
            CancelRun: self._cancel_run,
            SendTokens: self._send_tokens,
            SendEnd: self._send_end,
            SendRefusal: self._send_refusal,
            Exit: self._exit,
        }
        self.driver.handlers.update(handlers)

    def _exit(self, name: str, effect: Exit) -> None:
        self.exited[name] = self.driver.now
        state = self.driver.processes[name].state
        self.cut[name] = len(getattr(state, "running", ()))
        self.driver.crash(name)

    def _open_link(self, name: str, effect: OpenLink) -> None:
        self.links[effect.link] = (name, self.by_address[effect.address])

    def _close_link(self, name: str, effect: CloseLink) -> None:
        del self.links[effect.link]

    def _send_frame(self, name: str, effect: SendFrame) -> None:
        if effect.link in self.silent_links or effect.link not in self.links:
            return
        _, agent = self.links[effect.link]
        envelope = self._wrap(name, effect.message)
        self.driver.transmit(agent, FrameReceived(effect.link, envelope))

    def _reply_frame(self, name: str, effect: ReplyFrame) -> None:
        if effect.link in self.silent_links or effect.link not in self.links:
            return
        entry, _ = self.links[effect.link]
        envelope = self._wrap(name, effect.message)
        self.driver.transmit(entry, FrameReceived(effect.link, envelope))

    def _wrap(self, name: str, message: Any) -> Envelope:
        state = self.driver.processes[name].state
        incarnation = state.options.incarnation
        return Envelope(name, incarnation, state.view.serial, message)

    def _report_load(self, name: str, epoch: int) -> None:
        if self.driver.processes[name].epoch != epoch:
            return
        engine = self.engines[name]
        report = LoadReported(
            True, len(engine.runs), f"{name}/{engine.boot}", engine.version
        )
        self.driver.submit(name, report, 0.2)
        self.driver.at(
            self.driver.now + LOAD_EVERY_S, lambda: self._report_load(name, epoch)
        )

    def _start_run(self, name: str, effect: StartRun) -> None:
        engine = self.engines[name]
        require(
            effect.attempt not in engine.runs, f"run '{effect.attempt}' starts once"
        )
        if effect.version and effect.version != engine.version:
            failed = RunFailed(effect.attempt, False, detail="wrong version")
            self.driver.submit(name, failed, PREFILL_S)
            return
        self.started.append((self.driver.now, name))
        run = FakeRun(effect, engine.version, self.driver.now + PREFILL_S)
        engine.runs[effect.attempt] = run
        engine.peak = max(engine.peak, len(engine.runs))
        dispatch = self.driver.processes[name].state.runs[effect.attempt].dispatch
        self.begun.add(dispatch.request)
        begun = RunBegun(effect.attempt, engine.version, 0, 1)
        self.driver.submit(name, begun, PREFILL_S)
        self._read_run(name, run, len(effect.delivered), PREFILL_S)

    def _resume_run(self, name: str, effect: ResumeRun) -> None:
        run = self.engines[name].runs.get(effect.attempt)
        if run is None:
            failed = RunFailed(effect.attempt, True, detail="status 404")
            self.driver.submit(name, failed, 0.01)
            return
        self._read_run(name, run, effect.first, 0.01)

    def _cancel_run(self, name: str, effect: CancelRun) -> None:
        self.engines[name].runs.pop(effect.attempt, None)

    def _read_run(self, name: str, run: FakeRun, first: int, delay_s: float) -> None:
        engine = self.engines[name]
        connection = engine.connections
        boot = engine.boot
        epoch = self.driver.processes[name].epoch
        attempt = run.order.attempt

        def deliver(number: int) -> None:
            gone = engine.boot != boot or attempt not in engine.runs
            replaced = self.driver.processes[name].epoch != epoch
            if gone or replaced or connection in engine.silent:
                return
            if number >= run.order.max_tokens:
                self.driver.submit(name, RunEnded(attempt, "length"))
                del engine.runs[attempt]
                return
            token = make_token(run.order.prompt, number, run.version)
            self.driver.submit(name, RunTokens(attempt, number, (token,)))
            self.driver.at(self.driver.now + TOKEN_S, lambda: deliver(number + 1))

        self.driver.at(self.driver.now + delay_s, lambda: deliver(first))

    def _send_tokens(self, name: str, effect: SendTokens) -> None:
        stream = self.streams[effect.request]
        require(stream.end is None, f"request '{effect.request}' has not ended yet")
        for token in effect.tokens:
            number = len(stream.texts)
            allowed = {
                make_token(stream.event.prompt, number, version)
                for version in ("v1", "v2")
            }
            require(
                token in allowed, f"request '{effect.request}' got its token {number}"
            )
            stream.texts.append(token)
        versions = {text.split("/")[1] for text in stream.texts}
        require(len(versions) == 1, f"request '{effect.request}' has one version")

    def _send_end(self, name: str, effect: SendEnd) -> None:
        stream = self.streams[effect.request]
        require(stream.end is None, f"request '{effect.request}' ends once")
        require(
            len(stream.texts) == stream.event.max_tokens == effect.count,
            f"request '{effect.request}' has all tokens at its end",
        )
        stream.end = effect

    def _send_refusal(self, name: str, effect: SendRefusal) -> None:
        stream = self.streams[effect.request]
        require(stream.end is None, f"request '{effect.request}' ends once")
        if effect.outcome is Outcome.NOT_RUN:
            true = effect.request not in self.begun and not stream.texts
            require(true, f"request '{effect.request}' did not run, as reported")
        stream.end = effect
