"""Entries, agents and the platform's tables under the driver, with an operator."""

from collections import Counter
from random import Random
from typing import Any

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from masticdrum.core.agent import reduce_agent
from masticdrum.core.agentstate import AgentOptions, AgentState
from masticdrum.core.entry import reduce_entry
from masticdrum.core.entrystate import EntryOptions, EntryState
from masticdrum.core.invariants import require
from masticdrum.core.tablebody import pack_tables
from masticdrum.core.tableedit import TABLES_PATH, prepare_edit
from masticdrum.model.agent_events import ReplyFrame
from masticdrum.model.entry_events import (
    CloseLink,
    FrameReceived,
    OpenLink,
    SendFrame,
)
from masticdrum.model.messages import Envelope, Hello, TablesAsk, TablesGive
from masticdrum.model.platform import (
    Instance,
    InstancesListed,
    InstanceState,
    ObjectAnswer,
    ObjectGet,
    ObjectStatus,
)
from masticdrum.model.tables import DataCentre, Pool, PoolKind, Route, Tables, Upstream
from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.shell.wire import encode_envelope
from tests.driver import Driver, Network
from tests.standins.objects import ObjectFaults, ObjectTable

OPERATOR = "operator"


class SyncFaults(Struct):
    """Faults of the platform; with ``hang`` it does not answer at all in an outage."""

    outage: bool = False
    hang: bool = False
    lost_answers: float = 0.0


class Watch(Struct):
    """A call that waits for a newer version of the object."""

    process: str
    call: ObjectGet
    until: float


class SyncWorld:
    """Simulated processes in some data centres, and the object with the tables."""

    def __init__(
        self,
        seed: int,
        *,
        entries: int = 6,
        agents: int = 12,
        centres: int = 3,
        network: Network | None = None,
        weigh: bool = False,
    ) -> None:
        self.driver = Driver(seed, network)
        self.rng = Random(seed + 1)
        self.faults = SyncFaults()
        self.objects = ObjectTable(ObjectFaults())
        self.watches: list[Watch] = []
        self.links: dict[str, tuple[str, str]] = {}
        self.silent: set[str] = set()
        self.cut: set[str] = set()
        self.calls: Counter[str] = Counter()
        self.octets: Counter[str] = Counter()
        self.weigh = weigh
        self.logs: Counter[LogNumber] = Counter()
        self.accepted: dict[int, float] = {}
        self.reached: dict[int, dict[str, float]] = {}
        self.highest: dict[str, int] = {}
        self.body = b""
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.agents = [f"agent-{n}" for n in range(agents)]
        self.centres = [f"dc-{n}" for n in range(centres)]
        self.rows = {name: self._make_row(name) for name in self.names}
        self.by_address = {self.rows[name].address: name for name in self.agents}
        self.tables = prepare_edit(Tables(), self._make_tables())
        self._register()
        self._write(self.tables)
        for name in self.names:
            self.start(name)

    @property
    def names(self) -> list[str]:
        return [*self.entries, *self.agents]

    def find_centre(self, name: str) -> str:
        return self.centres[int(name.split("-")[1]) % len(self.centres)]

    def start(self, name: str) -> None:
        """Start a process, or replace it by a new incarnation."""
        seed = self.rng.getrandbits(32)
        incarnation = f"{name}/{seed}"
        centre = self.find_centre(name)
        state: Any
        if name.startswith("entry"):
            state = EntryState(EntryOptions(name, centre, incarnation), seed)
            self.driver.add(name, state, reduce_entry)
        else:
            options = AgentOptions(name, centre, "pool", name, incarnation)
            state = AgentState(options, seed)
            self.driver.add(name, state, reduce_agent)
        self.highest[name] = 0
        self._submit_instances(name)

    def replace(self, name: str, down_s: float) -> None:
        """Crash a process and restart it after ``down_s`` seconds."""
        self.driver.crash(name)
        self.driver.at(self.driver.now + down_s, lambda: self.start(name))

    def edit(self, out: str | None = None, push: bool = False, floor: int = 0) -> bool:
        """Edit the tables as an operator; return whether the platform accepted it.

        The new serial is above ``floor``.
        """
        if self.faults.outage:
            return False
        centres = [
            replace(row, out=row.name == out) for row in self.tables.data_centres
        ]
        self._write(
            prepare_edit(self.tables, replace(self.tables, data_centres=centres), floor)
        )
        if push:
            self._push_hello()
        return True

    def restore(self, copied: Any, tables: Tables, breaks_watches: bool) -> None:
        """Bring a copy of the objects back; open watches break or go on."""
        self.objects.restore(copied)
        self.tables = tables
        if breaks_watches:
            waiting, self.watches = self.watches, []
            for watch in waiting:
                lost = ObjectAnswer(watch.call.call, ObjectStatus.LOST)
                self._answer(watch.process, lost)

    def silence_links(self, name: str) -> None:
        """Drop all further messages on the links that a process has open."""
        self.silent |= {link for link, ends in self.links.items() if name in ends}

    def list_behind(self, serial: int) -> list[str]:
        """List the live processes whose serial is below ``serial``."""
        return [
            name
            for name, process in self.driver.processes.items()
            if process.up and process.state.view.serial < serial
        ]

    def check_all(self) -> None:
        """Require that no serial decreases and that each was accepted."""
        for name, process in self.driver.processes.items():
            self._record_serial(name, process.state)

    def run(self, seconds: float) -> None:
        """Run for ``seconds`` of simulated time."""
        self.driver.run(self.driver.now + seconds)
        self.check_all()

    def _record_serial(self, name: str, state: Any) -> None:
        serial = state.view.serial
        not_lower = state.sync.serial >= self.highest[name]
        require(not_lower, f"tables of '{name}' never decrease in serial")
        if serial == self.highest[name]:
            return
        require(
            serial > self.highest[name], f"tables of '{name}' never decrease in serial"
        )
        require(serial in self.accepted, f"serial {serial} was accepted")
        self.highest[name] = serial
        self.reached.setdefault(serial, {})[name] = self.driver.now

    def _make_row(self, name: str) -> Instance:
        role, number = name.split("-")
        address = f"tcp://10.{'01'[role == 'agent']}.{int(number) // 200}."
        address += f"{int(number) % 200 + 1}:7000"
        return Instance(name, role, self.find_centre(name), address, InstanceState.LIVE)

    def _make_tables(self) -> Tables:
        upstreams = [
            Upstream(name, self.find_centre(name), self.rows[name].address)
            for name in self.agents
        ]
        return Tables(
            data_centres=[DataCentre(name, "r") for name in self.centres],
            pools=[Pool("pool", PoolKind.ENGINE, upstreams, "m", "v1")],
            routes=[Route("route", "pool", ["w"])],
        )

    def _write(self, tables: Tables) -> None:
        self.objects.faults.outage = False
        body = msgspec.json.encode(tables)
        current = self.objects.peek(TABLES_PATH).version
        answer = self.objects.put(TABLES_PATH, body, current, self.driver.now)
        require(answer.status is ObjectStatus.OK, "the edit is accepted")
        self.tables = tables
        self.body = pack_tables(tables)
        self.accepted[tables.serial] = self.driver.now
        waiting, self.watches = self.watches, []
        for watch in waiting:
            answer = self.objects.peek(TABLES_PATH, watch.call.known)
            self._answer(watch.process, replace(answer, call=watch.call.call))

    def _submit_instances(self, name: str) -> None:
        listed = InstancesListed(tuple(self.rows.values()))
        self.driver.submit(name, listed, self.rng.uniform(0.0, 0.1))

    def _register(self) -> None:
        handlers = self.driver.handlers
        handlers[OpenLink] = self._open
        handlers[CloseLink] = lambda name, effect: self.links.pop(effect.link, None)
        handlers[SendFrame] = self._send
        handlers[ReplyFrame] = self._reply
        handlers[ObjectGet] = self._call
        handlers[Log] = self._log

    def _log(self, name: str, effect: Log) -> None:
        self.logs[effect.number] += 1
        if effect.number is LogNumber.TABLES_INSTALLED:
            self._record_serial(name, self.driver.processes[name].state)

    def _open(self, name: str, effect: OpenLink) -> None:
        self.links[effect.link] = (name, self.by_address.get(effect.address, ""))

    def _send(self, name: str, effect: SendFrame) -> None:
        ends = self.links.get(effect.link)
        if ends is not None and ends[1]:
            self._transmit(name, ends[1], effect.link, effect.message)

    def _reply(self, name: str, effect: ReplyFrame) -> None:
        if effect.link == OPERATOR:
            if isinstance(effect.message, TablesAsk):
                self.send_operator_message(name, TablesGive(self.body))
            return
        ends = self.links.get(effect.link)
        if ends is not None and ends[1] == name:
            self._transmit(name, ends[0], effect.link, effect.message)

    def _transmit(self, sender: str, to: str, link: str, message: Any) -> None:
        state = self.driver.processes[sender].state
        serial = state.view.serial
        self._record_serial(sender, state)
        envelope = Envelope(sender, state.options.incarnation, serial, message)
        if self.weigh:
            self.octets[sender] += len(encode_envelope(envelope))
        if link not in self.silent and not self.cut & {sender, to}:
            self.driver.transmit(to, FrameReceived(link, envelope))

    def _push_hello(self) -> None:
        for name in self.agents:
            self.send_operator_message(name, Hello())

    def send_operator_message(self, name: str, message: Any) -> None:
        envelope = Envelope(OPERATOR, OPERATOR, self.tables.serial, message)
        self.driver.transmit(name, FrameReceived(OPERATOR, envelope))

    def _call(self, name: str, call: ObjectGet) -> None:
        self.calls["watch" if call.wait_s else "read"] += 1
        if self.faults.outage and self.faults.hang:
            return
        self.objects.faults.outage = self.faults.outage or name in self.cut
        answer = self.objects.get(call.path, call.known, self.driver.now)
        if answer.status is ObjectStatus.REJECTED:
            self.calls["rejected"] += 1
        if answer.status is ObjectStatus.UNCHANGED and call.wait_s:
            watch = Watch(name, call, self.driver.now + call.wait_s)
            self.watches.append(watch)
            self.driver.at(watch.until, lambda: self._end_watch(watch))
            return
        self._answer(name, replace(answer, call=call.call))

    def _end_watch(self, watch: Watch) -> None:
        if not any(other is watch for other in self.watches):
            return
        self.watches = [other for other in self.watches if other is not watch]
        answer = self.objects.peek(TABLES_PATH, watch.call.known)
        if self.faults.outage:
            answer = ObjectAnswer("", ObjectStatus.REJECTED)
        self._answer(watch.process, replace(answer, call=watch.call.call))

    def _answer(self, name: str, answer: ObjectAnswer) -> None:
        if self.rng.random() < self.faults.lost_answers:
            answer = ObjectAnswer(answer.call, ObjectStatus.LOST)
        self.driver.submit(name, answer, self.rng.uniform(0.002, 0.008))
