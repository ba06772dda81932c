"""Simulates entries, agents, services and platform in virtual time, under faults.

A world runs a list of actions and checks the callers' results against the executions
at the services. It models delay, loss, duplication, crashes and pauses, but not
performance.
"""

from collections import Counter
from heapq import heappop, heappush
from random import Random
from typing import Any

from msgspec import Struct, json, structs

from masticdrum.core import agenttables, entrytables
from masticdrum.core.agent import reduce_agent
from masticdrum.core.agentadmission import ADMISSION
from masticdrum.core.agentstate import AgentOptions, AgentState
from masticdrum.core.entry import reduce_entry
from masticdrum.core.entrystate import EntryOptions, EntryState, TimerName
from masticdrum.core.partitionstep import LedgerOptions
from masticdrum.core.tableedit import TABLES_PATH
from masticdrum.model.agent_events import (
    CallService,
    LoadReported,
    ReplyFrame,
    ServiceAnswered,
    ServiceFailed,
)
from masticdrum.model.entry_events import (
    CallerDisconnected,
    CallRequested,
    Exit,
    FrameReceived,
    SendAnswer,
    SendFrame,
    SendRefusal,
    TimerExpired,
)
from masticdrum.model.errors import Outcome
from masticdrum.model.messages import Call, Envelope
from masticdrum.model.platform import (
    Instance,
    InstancesListed,
    InstanceState,
    ObjectAnswer,
    ObjectDelete,
    ObjectGet,
    ObjectList,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.tables import DataCentre, Pool, PoolKind, Route, Tables, Upstream
from tests.core.fakes import FakeObjects

WORKSPACES = ["radkranz", "gebeya"]
START = 1_700_000_000.0
DRAIN_S = 60.0

TABLES = Tables(
    serial=1,
    data_centres=[DataCentre("bole", "addis")],
    pools=[
        Pool(
            "stall",
            PoolKind.SERVICE,
            [
                Upstream(f"stall-{n}", "bole", f"tcp://127.0.0.1:{7000 + n}")
                for n in range(3)
            ],
            max_running=3,
            max_queued=2,
        )
    ],
    routes=[
        Route("book", "stall", WORKSPACES, idempotent=False, deadline_s=8.0),
        Route("look", "stall", WORKSPACES, deadline_s=8.0),
    ],
)

INSTANCES = InstancesListed(
    tuple(
        Instance(f"entry-{n}", "entry", "bole", f"tcp://e{n}", InstanceState.LIVE)
        for n in range(3)
    )
)


class Action(Struct, frozen=True):
    """One scripted step: at ``at`` seconds, ``what`` happens to ``target``.

    For an "ask", ``key`` and ``body`` number the key and body, ``workspace`` the
    caller. ``for_s`` is how long a fault lasts, or when a caller disconnects.
    """

    at: float
    what: str
    target: int = 0
    for_s: float = 0.0
    workspace: int = 0
    key: int = 0
    body: int = 0


class Violation(AssertionError):
    """The callers' results contradict the executions at the services."""


class Process:
    """One running entry or agent."""

    def __init__(self, name: str, incarnation: str, state: Any, reduce: Any) -> None:
        self.name = name
        self.incarnation = incarnation
        self.state = state
        self.reduce = reduce
        self.alive = True
        self.frozen_until = 0.0
        self.next_timer_at = float("inf")


class World:
    """Three entries and three agents; keys carry the time of their first use."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now = START
        self.retention_s = 45.0 if seed % 2 else 1000.0
        self.events = 0
        self.started_processes = 0
        self.order = 0
        self.queue: list[tuple[float, int, Any]] = []
        self.last_calls = 0
        self.keys: dict[int, str] = {}
        self.forwards = seed // 2 % 2 == 0
        self.objects = FakeObjects()
        body = json.encode(TABLES)
        self.objects.apply(ObjectPut("tables", TABLES_PATH, body, 0))
        self.objects.writes = 0
        self.until: dict[str, float] = {}
        self.entries = [self.make_entry(n) for n in range(3)]
        self.agents = [self.make_agent(n) for n in range(3)]
        self.links: dict[str, Process] = {}
        self.calls: dict[str, tuple[CallRequested, float]] = {}
        self.owners: dict[str, Process] = {}
        self.gone: set[str] = set()
        self.answered: dict[str, str] = {}
        self.request_of: dict[str, str] = {}
        self.not_run: set[str] = set()
        self.executions: dict[tuple[str, str], list[tuple[float, str, bytes]]] = {}
        self.result_counts: Counter[str] = Counter()

    # Processes.

    def make_entry(self, number: int) -> Process:
        self.started_processes += 1
        name = f"entry-{number}"
        options = EntryOptions(
            name=name,
            data_centre="bole",
            incarnation=f"e{self.started_processes}",
            forwards=self.forwards,
        )
        ledger = LedgerOptions(
            writer=options.incarnation,
            retention_s=self.retention_s,
            prune_margin_s=10.0,
            wall_offset_s=self.rng.uniform(-2.0, 2.0),
            partitions=2,
            head_limit=400,
            segment_limit=1600,
        )
        state = EntryState(options, self.rng.getrandbits(32), ledger)
        entrytables.install_tables(state, TABLES, self.now)
        process = Process(name, options.incarnation, state, reduce_entry)
        self.schedule(self.now, lambda: self.deliver(process, INSTANCES))
        return process

    def make_agent(self, number: int) -> Process:
        self.started_processes += 1
        name = f"stall-{number}"
        options = AgentOptions(
            name, "bole", "stall", name, f"a{self.started_processes}"
        )
        state = AgentState(options, self.rng.getrandbits(32))
        agenttables.install_tables(state, TABLES, self.now)
        state.attempts.max_records = 6
        process = Process(name, options.incarnation, state, reduce_agent)
        self.schedule(self.now, lambda: self.deliver(process, LoadReported(True)))
        return process

    def schedule(self, at: float, callback: Any) -> None:
        self.order += 1
        heappush(self.queue, (at, self.order, callback))

    def deliver(self, process: Process, event: Any) -> None:
        """Deliver an event to a process, after its pause if it is frozen."""
        if not process.alive:
            return
        if process.frozen_until > self.now:
            self.schedule(process.frozen_until, lambda: self.deliver(process, event))
            return
        self.events += 1
        for effect in process.reduce(process.state, event, self.now):
            self.carry_out(process, effect)
        # Only completions need the admission timer; it does nothing in this world.
        process.state.timers.clear(TimerName(ADMISSION, ""))
        due = process.state.find_next_timer()
        if due is not None and due < process.next_timer_at:
            process.next_timer_at = due
            self.schedule(max(due, self.now), lambda: self.fire_timer(process, due))

    def fire_timer(self, process: Process, at: float) -> None:
        if process.next_timer_at == at:
            process.next_timer_at = float("inf")
        self.deliver(process, TimerExpired())

    def carry_out(self, process: Process, effect: Any) -> None:
        match effect:
            case SendFrame():
                self.send_to_agent(process, effect)
            case ReplyFrame():
                self.send_to_entry(process, effect)
            case ObjectGet() | ObjectPut() | ObjectDelete() | ObjectList():
                self.call_platform(process, effect)
            case CallService():
                self.call_service(process, effect)
            case SendAnswer():
                self.check_answer(effect)
            case SendRefusal():
                self.check_refusal(effect)
            case Exit():
                process.alive = False

    # Network.

    def is_on(self, fault: str) -> bool:
        return self.until.get(fault, 0.0) > self.now

    def list_delays(self) -> list[float]:
        """Return the delay of each copy of a frame that arrives."""
        delay = self.rng.uniform(0.0005, 0.005)
        if not self.is_on("storm"):
            return [delay]
        fate = self.rng.random()
        if fate < 0.2:
            return []
        if fate < 0.4:
            return [delay, self.rng.uniform(0.0, 20.0)]
        if fate < 0.5:
            return [self.rng.uniform(0.0, 20.0)]
        return [self.rng.uniform(0.0005, 0.5)]

    def send_to_agent(self, entry: Process, effect: SendFrame) -> None:
        message = effect.message
        if isinstance(message, Call):
            self.request_of[message.attempt] = message.request
        wire = f"{entry.incarnation}|{effect.link}"
        self.links[wire] = entry
        role, _, number = effect.link.split("/")[1].partition("-")
        others = self.entries if role == "entry" else self.agents
        frame = Envelope(
            entry.name, entry.incarnation, entry.state.view.serial, message
        )
        for delay in self.list_delays():
            self.schedule(
                self.now + delay,
                lambda: self.deliver(others[int(number)], FrameReceived(wire, frame)),
            )

    def send_to_entry(self, agent: Process, effect: ReplyFrame) -> None:
        if self.is_on(f"mute {agent.name}"):
            return
        entry = self.links[effect.link]
        link = effect.link.split("|")[1]
        frame = Envelope(
            agent.name, agent.incarnation, agent.state.view.serial, effect.message
        )
        for delay in self.list_delays():
            self.schedule(
                self.now + delay,
                lambda: self.deliver(entry, FrameReceived(link, frame)),
            )

    # Platform and services.

    def call_platform(self, process: Process, call: Any) -> None:
        if isinstance(call, ObjectGet) and call.wait_s > 0:
            # The tables are never edited here, so a watch ends with its timeout.
            unchanged = ObjectAnswer(call.call, ObjectStatus.UNCHANGED)
            self.schedule(
                self.now + call.wait_s, lambda: self.deliver(process, unchanged)
            )
            return
        effect_at = self.now + self.rng.uniform(0.001, 0.004)
        answer_at = effect_at + self.rng.uniform(0.001, 0.004)
        fate = self.rng.random()
        if self.is_on("down") or (self.is_on("reject") and fate < 0.9):
            answer = ObjectAnswer(call.call, ObjectStatus.REJECTED)
            self.schedule(answer_at, lambda: self.deliver(process, answer))
            return
        if self.is_on("lose") and fate < 0.6:
            lost = ObjectAnswer(call.call, ObjectStatus.LOST)
            answer_at = self.now + self.rng.uniform(0.01, 1.0)
            self.schedule(answer_at, lambda: self.deliver(process, lost))
            if fate < 0.2:
                return
            late = 0.0 if fate < 0.4 else self.rng.uniform(0.0, 15.0)
            self.schedule(effect_at + late, lambda: self.objects.apply(call))
            return

        def apply() -> None:
            answer = self.objects.apply(call)
            self.schedule(answer_at, lambda: self.deliver(process, answer))

        self.schedule(effect_at, apply)

    def call_service(self, agent: Process, effect: CallService) -> None:
        acts_at = self.now + self.rng.uniform(0.001, 0.5)
        ends_at = acts_at + self.rng.uniform(0.001, 0.5)
        fate = self.rng.random() if self.is_on("break") else 1.0
        if fate < 0.3:
            failed = ServiceFailed(effect.attempt, sent=False)
            self.schedule(ends_at, lambda: self.deliver(agent, failed))
            return
        self.schedule(acts_at, lambda: self.execute(effect))
        reply = f"{effect.workspace}/{effect.key}/{effect.body.decode()}".encode()
        event: Any = ServiceAnswered(effect.attempt, 200, "text/plain", reply)
        if fate < 0.6:
            event = ServiceFailed(effect.attempt, sent=True)
        self.schedule(ends_at, lambda: self.deliver(agent, event))

    # Checks.

    def execute(self, effect: CallService) -> None:
        name = (effect.workspace, effect.key)
        done = self.executions.setdefault(name, [])
        done.append((self.now, effect.attempt, effect.body))
        if len(done) > 1 and effect.key:
            raise Violation(f"key {name} ran twice: {done}")
        request = self.request_of[effect.attempt]
        if request in self.not_run:
            raise Violation(f"request {request} ran after 'not run'")

    def check_once(self, request: str, result: str) -> tuple[CallRequested, float]:
        if request in self.answered:
            raise Violation(f"request {request} was answered twice")
        self.answered[request] = result
        self.result_counts[result] += 1
        return self.calls[request]

    def check_answer(self, effect: SendAnswer) -> None:
        result = "replayed" if effect.replayed else "answered"
        call, _ = self.check_once(effect.request, result)
        expected = f"{call.workspace}/{call.key}/{call.body.decode()}".encode()
        if effect.body != expected:
            raise Violation(f"{effect.body!r} was sent instead of {expected!r}")

    def check_refusal(self, effect: SendRefusal) -> None:
        result = f"{effect.kind} {effect.outcome}"
        call, called_at = self.check_once(effect.request, result)
        if effect.outcome is not Outcome.NOT_RUN:
            return
        self.not_run.add(effect.request)
        for at, attempt, _ in self.executions.get((call.workspace, call.key), []):
            if at < called_at or self.request_of[attempt] == effect.request:
                raise Violation(f"'not run' of {effect.request}, but {attempt} ran")

    # Script.

    def act(self, action: Action) -> None:
        match action.what:
            case "ask":
                self.send_call(action)
            case "kill entry":
                number = action.target % len(self.entries)
                self.entries[number].alive = False
                self.entries[number] = self.make_entry(number)
            case "kill agent":
                number = action.target % len(self.agents)
                self.agents[number].alive = False
                self.agents[number] = self.make_agent(number)
            case "freeze entry":
                entry = self.entries[action.target % len(self.entries)]
                entry.frozen_until = self.now + action.for_s
            case "freeze agent":
                agent = self.agents[action.target % len(self.agents)]
                agent.frozen_until = self.now + action.for_s
            case "mute":
                agent = self.agents[action.target % len(self.agents)]
                self.until[f"mute {agent.name}"] = self.now + action.for_s
            case fault:
                self.until[fault] = self.now + action.for_s

    def name_key(self, key: int) -> str:
        """Return a UUID of version 7, made when the key is first used."""
        if key not in self.keys:
            digits = f"{int(self.now * 1000):012x}"
            uuid = f"{digits[:8]}-{digits[8:]}-7000-8000-{key:012x}"
            self.keys[key] = uuid
        return self.keys[key]

    def send_call(self, action: Action) -> None:
        entry = self.entries[action.target % len(self.entries)]
        call = CallRequested(
            request=f"r{len(self.calls)}",
            workspace=WORKSPACES[action.workspace],
            route="book",
            key=self.name_key(action.key),
            body=f"b{action.body}".encode(),
        )
        self.calls[call.request] = (call, self.now)
        self.owners[call.request] = entry
        self.deliver(entry, call)
        if action.for_s:
            self.gone.add(call.request)
            gone = CallerDisconnected(call.request)
            self.schedule(self.now + action.for_s, lambda: self.deliver(entry, gone))

    def run(self, actions: list[Action]) -> None:
        for action in actions:
            self.schedule(START + action.at, lambda action=action: self.act(action))
        last = max((action.at for action in actions), default=0.0)
        self.run_until(START + last + DRAIN_S)
        self.retry_every_key()
        self.run_until(self.now + DRAIN_S)
        self.check_whole()

    def retry_every_key(self) -> None:
        """Retry every key once, after all faults have ended."""
        self.until.clear()
        distinct = {(a.workspace, a.key, a.body) for a, _ in self.calls.values()}
        for number, (workspace, key, body) in enumerate(sorted(distinct)):
            action = Action(0.0, "ask", number, 0.0, WORKSPACES.index(workspace))
            action = structs.replace(action, key=int(key[-12:], 16), body=int(body[1:]))
            self.schedule(
                self.now + number, lambda action=action: self.send_call(action)
            )
            self.last_calls += 1

    def check_whole(self) -> None:
        """Check that callers got results, and that every key can be retried."""
        for request, entry in self.owners.items():
            if not entry.alive or request in self.gone:
                continue
            if request not in self.answered:
                raise Violation(f"request {request} got no answer")
        for request in list(self.calls)[-self.last_calls :]:
            result = self.answered[request]
            if not result.startswith(("answered", "replayed", "key_", "outcome_")):
                raise Violation(f"request {request} got {result} without a fault")

    def run_until(self, end: float) -> None:
        while self.queue and self.queue[0][0] <= end:
            at, _, callback = heappop(self.queue)
            self.now = max(self.now, at)
            callback()
        self.now = end
