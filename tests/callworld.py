"""Entries, agents, services and platform in virtual time, under scripted faults.

A world runs a list of actions and checks what callers were told against what the
services did. It models delay, loss, doubling, crash and pause, but no performance.
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
    CallAsked,
    CallerGone,
    Exit,
    FrameReceived,
    GiveAnswer,
    GiveRefusal,
    SendFrame,
    Woken,
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

    For an ask, ``key`` and ``body`` number the key and body, ``workspace`` the
    caller. ``for_s`` is how long a fault stays.
    """

    at: float
    what: str
    target: int = 0
    for_s: float = 0.0
    workspace: int = 0
    key: int = 0
    body: int = 0


class Violation(AssertionError):
    """What callers were told does not fit what the services did."""


class Process:
    """One running entry or agent."""

    def __init__(self, name: str, incarnation: str, state: Any, reduce: Any) -> None:
        self.name = name
        self.incarnation = incarnation
        self.state = state
        self.reduce = reduce
        self.alive = True
        self.thaws_at = 0.0
        self.wakes_at = float("inf")


class World:
    """Three entries and three agents; keys carry the time of their first use."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now = START
        self.retention_s = 45.0 if seed % 2 else 1000.0
        self.events = 0
        self.born = 0
        self.order = 0
        self.queue: list[tuple[float, int, Any]] = []
        self.last_asks = 0
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
        self.asked: dict[str, tuple[CallAsked, float]] = {}
        self.owners: dict[str, Process] = {}
        self.gone: set[str] = set()
        self.answered: dict[str, str] = {}
        self.request_of: dict[str, str] = {}
        self.not_run: set[str] = set()
        self.executions: dict[tuple[str, str], list[tuple[float, str, bytes]]] = {}
        self.told: Counter[str] = Counter()

    # Processes.

    def make_entry(self, number: int) -> Process:
        self.born += 1
        name = f"entry-{number}"
        options = EntryOptions(
            name=name,
            data_centre="bole",
            incarnation=f"e{self.born}",
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
        self.later(self.now, lambda: self.give(process, INSTANCES))
        return process

    def make_agent(self, number: int) -> Process:
        self.born += 1
        name = f"stall-{number}"
        options = AgentOptions(name, "bole", "stall", name, f"a{self.born}")
        state = AgentState(options, self.rng.getrandbits(32))
        agenttables.install_tables(state, TABLES, self.now)
        state.attempts.max_kept = 6
        process = Process(name, options.incarnation, state, reduce_agent)
        self.later(self.now, lambda: self.give(process, LoadReported(True)))
        return process

    def later(self, at: float, do: Any) -> None:
        self.order += 1
        heappush(self.queue, (at, self.order, do))

    def give(self, process: Process, event: Any) -> None:
        """Hand a process an event, after its pause if it is frozen."""
        if not process.alive:
            return
        if process.thaws_at > self.now:
            self.later(process.thaws_at, lambda: self.give(process, event))
            return
        self.events += 1
        for effect in process.reduce(process.state, event, self.now):
            self.carry_out(process, effect)
        # Completions' admission only ticks here.
        process.state.timers.clear(TimerName(ADMISSION, ""))
        due = process.state.find_next_timer()
        if due is not None and due < process.wakes_at:
            process.wakes_at = due
            self.later(max(due, self.now), lambda: self.wake(process, due))

    def wake(self, process: Process, at: float) -> None:
        if process.wakes_at == at:
            process.wakes_at = float("inf")
        self.give(process, Woken())

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
            case GiveAnswer():
                self.check_answer(effect)
            case GiveRefusal():
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
            self.later(
                self.now + delay,
                lambda: self.give(others[int(number)], FrameReceived(wire, frame)),
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
            self.later(
                self.now + delay, lambda: self.give(entry, FrameReceived(link, frame))
            )

    # Platform and services.

    def call_platform(self, process: Process, call: Any) -> None:
        if isinstance(call, ObjectGet) and call.wait_s > 0:
            # Nobody edits the tables here, so a watch ends with its wait.
            unchanged = ObjectAnswer(call.call, ObjectStatus.UNCHANGED)
            self.later(self.now + call.wait_s, lambda: self.give(process, unchanged))
            return
        effect_at = self.now + self.rng.uniform(0.001, 0.004)
        answer_at = effect_at + self.rng.uniform(0.001, 0.004)
        fate = self.rng.random()
        if self.is_on("down") or (self.is_on("reject") and fate < 0.9):
            answer = ObjectAnswer(call.call, ObjectStatus.REJECTED)
            self.later(answer_at, lambda: self.give(process, answer))
            return
        if self.is_on("lose") and fate < 0.6:
            lost = ObjectAnswer(call.call, ObjectStatus.LOST)
            answer_at = self.now + self.rng.uniform(0.01, 1.0)
            self.later(answer_at, lambda: self.give(process, lost))
            if fate < 0.2:
                return
            late = 0.0 if fate < 0.4 else self.rng.uniform(0.0, 15.0)
            self.later(effect_at + late, lambda: self.objects.apply(call))
            return

        def apply() -> None:
            answer = self.objects.apply(call)
            self.later(answer_at, lambda: self.give(process, answer))

        self.later(effect_at, apply)

    def call_service(self, agent: Process, effect: CallService) -> None:
        acts_at = self.now + self.rng.uniform(0.001, 0.5)
        ends_at = acts_at + self.rng.uniform(0.001, 0.5)
        fate = self.rng.random() if self.is_on("break") else 1.0
        if fate < 0.3:
            failed = ServiceFailed(effect.attempt, sent=False)
            self.later(ends_at, lambda: self.give(agent, failed))
            return
        self.later(acts_at, lambda: self.execute(effect))
        reply = f"{effect.workspace}/{effect.key}/{effect.body.decode()}".encode()
        event: Any = ServiceAnswered(effect.attempt, 200, "text/plain", reply)
        if fate < 0.6:
            event = ServiceFailed(effect.attempt, sent=True)
        self.later(ends_at, lambda: self.give(agent, event))

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

    def check_once(self, request: str, told: str) -> tuple[CallAsked, float]:
        if request in self.answered:
            raise Violation(f"request {request} was answered twice")
        self.answered[request] = told
        self.told[told] += 1
        return self.asked[request]

    def check_answer(self, effect: GiveAnswer) -> None:
        told = "replayed" if effect.replayed else "answered"
        asked, _ = self.check_once(effect.request, told)
        expected = f"{asked.workspace}/{asked.key}/{asked.body.decode()}".encode()
        if effect.body != expected:
            raise Violation(f"{effect.body!r} was given in place of {expected!r}")

    def check_refusal(self, effect: GiveRefusal) -> None:
        told = f"{effect.kind} {effect.outcome}"
        asked, asked_at = self.check_once(effect.request, told)
        if effect.outcome is not Outcome.NOT_RUN:
            return
        self.not_run.add(effect.request)
        for at, attempt, _ in self.executions.get((asked.workspace, asked.key), []):
            if at < asked_at or self.request_of[attempt] == effect.request:
                raise Violation(f"'not run' of {effect.request}, but {attempt} ran")

    # Script.

    def act(self, action: Action) -> None:
        match action.what:
            case "ask":
                self.ask(action)
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
                entry.thaws_at = self.now + action.for_s
            case "freeze agent":
                agent = self.agents[action.target % len(self.agents)]
                agent.thaws_at = self.now + action.for_s
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

    def ask(self, action: Action) -> None:
        entry = self.entries[action.target % len(self.entries)]
        asked = CallAsked(
            request=f"r{len(self.asked)}",
            workspace=WORKSPACES[action.workspace],
            route="book",
            key=self.name_key(action.key),
            body=f"b{action.body}".encode(),
        )
        self.asked[asked.request] = (asked, self.now)
        self.owners[asked.request] = entry
        self.give(entry, asked)
        if action.for_s:
            self.gone.add(asked.request)
            gone = CallerGone(asked.request)
            self.later(self.now + action.for_s, lambda: self.give(entry, gone))

    def run(self, actions: list[Action]) -> None:
        for action in actions:
            self.later(START + action.at, lambda action=action: self.act(action))
        last = max((action.at for action in actions), default=0.0)
        self.run_until(START + last + DRAIN_S)
        self.ask_again()
        self.run_until(self.now + DRAIN_S)
        self.check_whole()

    def ask_again(self) -> None:
        """Ask once more for every key, now that all faults are over."""
        self.until.clear()
        asked = {(a.workspace, a.key, a.body) for a, _ in self.asked.values()}
        for number, (workspace, key, body) in enumerate(sorted(asked)):
            ask = Action(0.0, "ask", number, 0.0, WORKSPACES.index(workspace))
            ask = structs.replace(ask, key=int(key[-12:], 16), body=int(body[1:]))
            self.later(self.now + number, lambda ask=ask: self.ask(ask))
            self.last_asks += 1

    def check_whole(self) -> None:
        """Check that callers heard something, and that keys can be asked again."""
        for request, entry in self.owners.items():
            if not entry.alive or request in self.gone:
                continue
            if request not in self.answered:
                raise Violation(f"request {request} got no answer")
        for request in list(self.asked)[-self.last_asks :]:
            told = self.answered[request]
            if not told.startswith(("answered", "replayed", "key_", "outcome_")):
                raise Violation(f"request {request} heard {told} without a fault")

    def run_until(self, end: float) -> None:
        while self.queue and self.queue[0][0] <= end:
            at, _, do = heappop(self.queue)
            self.now = max(self.now, at)
            do()
        self.now = end
