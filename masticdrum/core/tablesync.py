"""Keeps one process's tables up to date, and decides when it may serve with them.

A few entries of each data centre watch the platform for edits. Edits then spread from
peer to peer. Every envelope carries its sender's serial. A process that receives a
higher serial than its own requests the tables, and one that installs new tables sends
its peers a hello at once. Entries also send hellos to their assigned agents at an
interval, so that an agent without requests learns of an edit. A slow poll, whose rate
over the whole fleet is bounded, is the last resort.

The tables of a process that starts or was frozen are unconfirmed. It serves only after
the platform has confirmed them or, after a short wait, a peer has.
"""

from collections.abc import Sequence
from random import Random

from returns.result import Failure

from masticdrum.core.invariants import require
from masticdrum.core.syncpeers import SyncPeers, choose_entry_peers, count_processes
from masticdrum.core.syncstep import (
    PlatformCall,
    RequestTables,
    SendHello,
    SendTables,
    SyncEffect,
    SyncOptions,
    reject_tables,
)
from masticdrum.core.tablebody import pack_tables, unpack_tables
from masticdrum.core.tablecheck import decode_tables
from masticdrum.core.tableedit import TABLES_PATH, digest_tables
from masticdrum.core.tableinstalls import TableInstalls
from masticdrum.core.timers import Timers
from masticdrum.model.faults import Fault
from masticdrum.model.platform import Instance, ObjectAnswer, ObjectGet, ObjectStatus
from masticdrum.model.tables import Tables
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber

CALL_PREFIX = "tables/"
TICK = "tick"
GREET = "greet"
POLL = "poll"
READ = "read"
WATCH = "watch"
MAX_PEERS = 32  # links on which an agent tracks peers
UNLISTED_PROCESSES = 5000  # assumed size of the fleet without an instance list


class TableSync:
    """The component of a reducer that keeps the tables up to date.

    Peers are named by their address (those of an entry) or link (those of an agent).
    """

    __slots__ = (
        "_newer_serials",
        "_requested_peer",
        "_requested_at",
        "_requests",
        "_calls",
        "_confirmed_at",
        "_unconfirmed_since",
        "_received_at",
        "_last_received_at",
        "_peer_answered",
        "_installs",
        "_instances",
        "_number",
        "_connected_at",
        "_options",
        "_packed",
        "_peers",
        "_polled_at",
        "_retry_s",
        "_rng",
        "_started",
        "_tick_due",
        "_notified_at",
        "_version",
        "tables",
        "timers",
    )

    def __init__(self, options: SyncOptions, rng: Random) -> None:
        self._options = options
        self._rng = rng
        self.tables = Tables()
        self.timers: Timers[str] = Timers()
        self._packed = b""
        self._version = 0
        self._installs = TableInstalls(options.stale_s)
        self._instances: Sequence[Instance] | None = None
        self._peers = SyncPeers(processes=UNLISTED_PROCESSES)
        self._calls: dict[str, PlatformCall] = {}
        self._number = 0
        self._retry_s = options.first_retry_s
        self._polled_at = 0.0
        self._received_at: dict[str, float] = {}
        self._connected_at: dict[str, float] = {}
        self._notified_at: dict[str, float] = {}
        self._last_received_at = 0.0
        self._confirmed_at = 0.0
        self._newer_serials: dict[str, int] = {}
        self._requested_peer = ""
        self._requested_at = float("-inf")
        self._requests = 0
        self._unconfirmed_since: float | None = 0.0
        self._started = False
        self._tick_due = float("inf")
        self._peer_answered = False

    @property
    def serial(self) -> int:
        """The serial of the tables in force here; zero means that none are."""
        return self.tables.serial

    @property
    def is_ready(self) -> bool:
        """Whether tables are in force here and are confirmed."""
        return self.serial > 0 and self._unconfirmed_since is None

    def is_stale(self, serial: int, now: float) -> bool:
        """Return whether a peer with ``serial`` has been behind for too long."""
        return self._installs.is_stale(serial, now)

    @property
    def is_unconfirmed(self) -> bool:
        """Whether the tables in force here are not confirmed, so they may be old."""
        return self.serial > 0 and self._unconfirmed_since is not None

    def find_next_timer(self) -> float:
        """Return when ``handle_timers`` is due, in seconds."""
        if not self._started:
            return 0.0
        due = self.timers.find_next()
        return float("inf") if due is None else due

    def check_time(self, now: float) -> list[SyncEffect]:
        """Start at the first event; later detect a freeze by a late tick.

        It must be called before anything else is done for an event.
        """
        if not self._started:
            return self._start(now)
        if now - self._tick_due <= self._options.frozen_s:
            return []
        self._set_tick(now)
        return self._begin_confirmation(now)

    def adopt(self, tables: Tables, now: float) -> None:
        """Put tables in force that the caller has confirmed."""
        require(
            tables.serial >= self.serial,
            "the serial of installed tables never decreases",
        )
        self.tables = tables
        self._packed = b""
        self._installs.record(tables.serial, now)
        self._unconfirmed_since = None

    def _start(self, now: float) -> list[SyncEffect]:
        self._started = True
        self._last_received_at = now
        self._confirmed_at = now
        self._set_timers(now)
        if self.serial and self._unconfirmed_since is None:
            return []
        return self._begin_confirmation(now)

    def apply_instances(
        self, instances: Sequence[Instance], now: float
    ) -> list[SyncEffect]:
        """Choose this process's peers again if the instance list has changed."""
        if instances == self._instances:
            return []
        self._instances = instances
        if not self._options.is_entry:
            self._peers = SyncPeers(processes=count_processes(instances))
            return []
        options = self._options
        before = self._peers
        self._peers = choose_entry_peers(options.name, options.data_centre, instances)
        for table in (
            self._received_at,
            self._connected_at,
            self._notified_at,
            self._newer_serials,
        ):
            for peer in set(table) - set(self._peers.agent_addresses):
                del table[peer]
        effects = self._send_hellos(
            set(self._peers.agent_addresses) - set(before.agent_addresses), now
        )
        if self._peers.watches and not before.watches:
            self.timers.set(WATCH, now)
        return effects

    def handle_peer_serial(
        self, peer: str, serial: int, now: float
    ) -> list[SyncEffect]:
        """Compare serials with a peer from which an envelope was received."""
        self._record_received(peer, now)
        if serial < self.serial:
            return self._notify_peer(peer, now)
        self._confirmed_at = now
        if serial > 0:
            self._peer_answered = True
        if serial == self.serial:
            return []
        self._newer_serials[peer] = serial
        if now < self._requested_at + self._options.request_s:
            return []
        return self._request_tables(peer, now)

    def handle_tables_request(self, peer: str) -> list[SyncEffect]:
        """Send the tables to a peer that requested them, if they are confirmed."""
        if not self.is_ready:
            return []
        if not self._packed:
            self._packed = pack_tables(self.tables)
        return [SendTables(peer, self._packed)]

    def handle_peer_tables(
        self, peer: str, body: bytes, now: float
    ) -> list[SyncEffect]:
        """Install a peer's tables if they are valid and newer."""
        self._requested_at = float("-inf")
        self._newer_serials.pop(peer, None)
        unpacked = unpack_tables(body)
        if isinstance(unpacked, Failure):
            return reject_tables(f"peer '{peer}'", unpacked.failure())
        self._peer_answered = True
        return self._install(unpacked.unwrap(), f"peer '{peer}'", now)

    def handle_read_answer(self, answer: ObjectAnswer, now: float) -> list[SyncEffect]:
        """Handle the platform's answer to a read or a watch."""
        call = self._calls.pop(answer.call, None)
        if call is None:
            return []
        self._schedule_next_read(call, answer.status, now)
        if answer.status in (ObjectStatus.OK, ObjectStatus.UNCHANGED):
            self._confirmed_at = now
        match answer.status:
            case ObjectStatus.OK:
                return self._handle_tables(call, answer, now)
            case ObjectStatus.UNCHANGED if 0 < answer.version < self._version:
                self._version = 0  # the platform came back from an older copy
                return []
            case ObjectStatus.UNCHANGED:
                self._confirm_by_platform(call)
                return []
            case ObjectStatus.MISSING:
                return []
            case _:
                # It may come back from an older copy and give versions out again.
                self._version = 0
                text = f"{TABLES_PATH}: {answer.status.value}"
                return [Log(LogNumber.PLATFORM_FAILED, detail=text)]

    def handle_timers(self, now: float) -> list[SyncEffect]:
        """Handle the timers that are due."""
        effects: list[SyncEffect] = []
        for name in self.timers.pop_due(now):
            effects += self._handle_timer(name, now)
        return effects

    def _handle_timer(self, name: str, now: float) -> list[SyncEffect]:
        match name:
            case "greet":
                return self._send_periodic_hellos(now)
            case "poll":
                self._schedule_regular_poll(now)
                return self._read(READ, now)
            case "read":
                return self._read(READ, now)
            case "watch" if self._peers.watches:
                return self._read(WATCH, now)
            case "tick":
                return self._tick(now)
        return []

    def _tick(self, now: float) -> list[SyncEffect]:
        options = self._options
        self._set_tick(now)
        self._drop_silent_peers(now)
        self._confirm_by_peers(now)
        if now - self._last_received_at > options.no_peer_after_s:
            self._schedule_early_poll(now)
        effects = self._log_unconfirmed(now)
        if now < self._requested_at + options.request_s:
            return effects
        return effects + self._retry_request(now)

    def _log_unconfirmed(self, now: float) -> list[SyncEffect]:
        if now - self._confirmed_at <= self._options.unconfirmed_s:
            return []
        self._confirmed_at = now
        text = (
            f"serial {self.serial}, unconfirmed for {self._options.unconfirmed_s:.0f} s"
        )
        return [Log(LogNumber.TABLES_UNCONFIRMED, detail=text)]

    def _retry_request(self, now: float) -> list[SyncEffect]:
        ahead = [p for p, serial in self._newer_serials.items() if serial > self.serial]
        if not ahead:
            return []
        others = [peer for peer in ahead if peer != self._requested_peer] or ahead
        effects = self._request_tables(self._rng.choice(others), now)
        if self._requests > 2 and now - self._polled_at > self._options.no_peer_poll_s:
            effects += self._read(READ, now)
        return effects

    def _request_tables(self, peer: str, now: float) -> list[SyncEffect]:
        self._requested_peer = peer
        self._requested_at = now
        self._requests += 1
        return [RequestTables(peer)]

    def _record_received(self, peer: str, now: float) -> None:
        self._last_received_at = now
        full = not self._options.is_entry and len(self._received_at) >= MAX_PEERS
        if full and peer not in self._received_at:
            self._forget_peer(min(self._received_at, key=self._received_at.__getitem__))
        self._received_at[peer] = now

    def _drop_silent_peers(self, now: float) -> None:
        if self._options.is_entry:
            return
        silent = [
            p
            for p, at in self._received_at.items()
            if now - at > self._options.silent_s
        ]
        for peer in silent:
            self._forget_peer(peer)

    def _forget_peer(self, peer: str) -> None:
        for table in (
            self._received_at,
            self._connected_at,
            self._notified_at,
            self._newer_serials,
        ):
            table.pop(peer, None)

    def _notify_peer(self, peer: str, now: float) -> list[SyncEffect]:
        if now - self._notified_at.get(peer, float("-inf")) < self._options.request_s:
            return []
        self._notified_at[peer] = now
        return [SendHello(peer)]

    def _send_periodic_hellos(self, now: float) -> list[SyncEffect]:
        options = self._options
        count = len(self._peers.agent_addresses)
        period = max(options.hello_s, count / options.hellos_per_s)
        self.timers.set(GREET, now + period * self._rng.uniform(0.75, 1.25))
        return self._send_hellos(self._peers.agent_addresses, now)

    def _send_hellos(
        self, peers: Sequence[str] | set[str], now: float
    ) -> list[SyncEffect]:
        return [
            SendHello(peer, self._needs_reconnect(peer, now)) for peer in sorted(peers)
        ]

    def _needs_reconnect(self, peer: str, now: float) -> bool:
        if not self._options.is_entry:
            return False
        opened_at = self._connected_at.setdefault(peer, now)
        since = max(opened_at, self._received_at.get(peer, opened_at))
        if now - since <= self._options.silent_s:
            return False
        self._connected_at[peer] = now
        return True

    def _install(self, tables: Tables, source: str, now: float) -> list[SyncEffect]:
        if tables.serial < self.serial:
            return []
        if tables.serial == self.serial:
            return self._compare(tables, source)
        require(
            tables.serial > self.serial,
            "the serial of installed tables never decreases",
        )
        self.tables = tables
        self._packed = b""
        self._installs.record(tables.serial, now)
        self._requests = 0
        self._requested_at = float("-inf")
        self._newer_serials = {
            p: s for p, s in self._newer_serials.items() if s > tables.serial
        }
        text = f"serial {tables.serial} from {source}"
        peers = (
            self._peers.agent_addresses
            if self._options.is_entry
            else tuple(self._received_at)
        )
        return [
            Log(LogNumber.TABLES_INSTALLED, detail=text),
            Count(Counter.TABLES, "installed"),
            *self._send_hellos(peers, now),
        ]

    def _compare(self, tables: Tables, source: str) -> list[SyncEffect]:
        if digest_tables(tables) == digest_tables(self.tables):
            return []
        text = f"serial {tables.serial} is in force with different contents"
        return reject_tables(source, (Fault("serial", text),))

    def _handle_tables(
        self, call: PlatformCall, answer: ObjectAnswer, now: float
    ) -> list[SyncEffect]:
        self._version = answer.version
        decoded = decode_tables(answer.body)
        if isinstance(decoded, Failure):
            return reject_tables("the platform", decoded.failure())
        tables = decoded.unwrap()
        if tables.serial < self.serial:
            text = f"{tables.serial} is below {self.serial}, which is in force"
            return reject_tables("the platform", (Fault("serial", text),))
        self._confirm_by_platform(call)
        return self._install(tables, "the platform", now)

    def _read(self, purpose: str, now: float) -> list[SyncEffect]:
        options = self._options
        for name, call in list(self._calls.items()):
            if now >= call.due_at:
                del self._calls[name]
            elif call.purpose == purpose:
                self.timers.set(purpose, call.due_at)
                return []
        wait_s = options.watch_s if purpose == WATCH else 0.0
        known = self._version if purpose == WATCH else 0
        self._number += 1
        name = f"{CALL_PREFIX}{self._number}"
        due_at = now + wait_s + options.call_s
        self._calls[name] = PlatformCall(purpose, now, due_at)
        if purpose == READ:
            self._polled_at = now
        else:
            self.timers.set(WATCH, due_at)
        read = ObjectGet(name, TABLES_PATH, known, wait_s)
        return [read, Count(Counter.PLATFORM_CALLS, f"tables {purpose}")]

    def _schedule_next_read(
        self, call: PlatformCall, status: ObjectStatus, now: float
    ) -> None:
        options = self._options
        answered = status in (ObjectStatus.OK, ObjectStatus.UNCHANGED)
        if answered:
            self._retry_s = options.first_retry_s
        wait_s = self._retry_s * self._rng.uniform(0.5, 1.5)
        if not answered:
            self._retry_s = min(self._retry_s * 2, options.last_retry_s)
        if call.purpose == WATCH:
            early = now - call.begun_at < options.tick_s
            at_once = answered and not early
            self.timers.set(WATCH, now if at_once else now + wait_s)
        elif not answered and self._unconfirmed_since is not None:
            self.timers.set(READ, now + wait_s)

    def _begin_confirmation(self, now: float) -> list[SyncEffect]:
        self._unconfirmed_since = now
        self._peer_answered = False
        self._calls = {n: c for n, c in self._calls.items() if c.purpose != READ}
        effects: list[SyncEffect] = []
        if self.serial:
            text = "a timer ran late, so these tables may be out of date"
            effects.append(Log(LogNumber.TABLES_DOUBTED, detail=text))
        effects += self._read(READ, now)
        return effects + self._send_hellos(self._peers.agent_addresses, now)

    def _confirm_by_platform(self, call: PlatformCall) -> None:
        if (
            self._unconfirmed_since is not None
            and call.begun_at >= self._unconfirmed_since
        ):
            self._unconfirmed_since = None

    def _confirm_by_peers(self, now: float) -> None:
        if (
            self._unconfirmed_since is None
            or not self._peer_answered
            or not self.serial
        ):
            return
        behind = any(serial > self.serial for serial in self._newer_serials.values())
        if (
            now - self._unconfirmed_since >= self._options.confirm_by_peers_s
            and not behind
        ):
            self._unconfirmed_since = None

    def _set_timers(self, now: float) -> None:
        options = self._options
        self._set_tick(now)
        self._schedule_regular_poll(now)
        if options.is_entry:
            self.timers.set(GREET, now + options.hello_s * self._rng.random())

    def _set_tick(self, now: float) -> None:
        self._tick_due = now + self._options.tick_s
        self.timers.set(TICK, self._tick_due)

    def _schedule_regular_poll(self, now: float) -> None:
        options = self._options
        self._schedule_poll(now, options.poll_s, options.poll_rate)

    def _schedule_early_poll(self, now: float) -> None:
        options = self._options
        self._last_received_at = now
        self._schedule_poll(now, options.no_peer_poll_s, options.no_peer_rate)

    def _schedule_poll(self, now: float, min_s: float, rate: float) -> None:
        period = max(min_s, self._peers.processes / rate)
        self.timers.set(POLL, now + period * self._rng.uniform(0.5, 1.5))


def owns_call(answer: ObjectAnswer) -> bool:
    """Return whether an answer is to an object call of this module."""
    return answer.call.startswith(CALL_PREFIX)
