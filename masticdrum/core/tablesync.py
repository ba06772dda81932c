"""How one process gets the newest tables, and when it may serve with those it has.

A few entries of each data centre watch the platform. News goes on from peer to peer:
every envelope carries the sender's serial, who sees a higher one asks for the tables,
and who installed some greets its peers at once. Entries also greet their contacts at
an interval, so that an agent without callers hears of an edit. A slow poll, whose rate
over the whole fleet is bounded, is the last resort.

A process that starts or was frozen is in doubt: it serves only once the platform, or
after a short wait a peer, has answered.
"""

from collections.abc import Sequence
from random import Random

from returns.result import Failure

from masticdrum.core.invariants import require
from masticdrum.core.syncpeers import SyncPeers, choose_entry_peers, count_processes
from masticdrum.core.syncstep import (
    Ask,
    Give,
    Greet,
    PlatformCall,
    SyncEffect,
    SyncOptions,
    reject_tables,
)
from masticdrum.core.tablebody import pack_tables, unpack_tables
from masticdrum.core.tablecheck import decode_tables
from masticdrum.core.tableedit import TABLES_PATH, digest_tables
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
MAX_PEERS = 32  # links that an agent remembers
UNLISTED_PROCESSES = 5000  # assumed size of the fleet without an instance list


class TableSync:
    """The part of a reducer that keeps the tables up to date.

    Peers are named by their address (those of an entry) or link (those of an agent).
    """

    __slots__ = (
        "_ahead",
        "_asked",
        "_asked_at",
        "_asks",
        "_calls",
        "_confirmed_at",
        "_doubted_at",
        "_heard",
        "_heard_at",
        "_heard_in_doubt",
        "_installed_at",
        "_instances",
        "_number",
        "_opened",
        "_options",
        "_packed",
        "_peers",
        "_polled_at",
        "_retry_s",
        "_rng",
        "_started",
        "_tick_due",
        "_told",
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
        self._installed_at = 0.0
        self._instances: Sequence[Instance] | None = None
        self._peers = SyncPeers(processes=UNLISTED_PROCESSES)
        self._calls: dict[str, PlatformCall] = {}
        self._number = 0
        self._retry_s = options.first_retry_s
        self._polled_at = 0.0
        self._heard: dict[str, float] = {}
        self._opened: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self._heard_at = 0.0
        self._confirmed_at = 0.0
        self._ahead: dict[str, int] = {}
        self._asked = ""
        self._asked_at = float("-inf")
        self._asks = 0
        self._doubted_at: float | None = 0.0
        self._started = False
        self._tick_due = float("inf")
        self._heard_in_doubt = False

    @property
    def serial(self) -> int:
        """The serial in force here; zero: none is."""
        return self.tables.serial

    @property
    def is_ready(self) -> bool:
        """Whether tables are in force here and somebody vouched for them."""
        return self.serial > 0 and self._doubted_at is None

    def is_stale(self, serial: int, now: float) -> bool:
        """Tells whether a peer with ``serial`` has been behind for too long."""
        if serial >= self.serial:
            return False
        return now - self._installed_at > self._options.stale_s

    @property
    def is_doubted(self) -> bool:
        """Whether the tables in force here may be old, since nobody vouched yet."""
        return self.serial > 0 and self._doubted_at is not None

    def find_next_timer(self) -> float:
        """Return when ``wake`` is due, in seconds."""
        if not self._started:
            return 0.0
        due = self.timers.find_next()
        return float("inf") if due is None else due

    def check_time(self, now: float) -> list[SyncEffect]:
        """Begins with the first event; later notices a freeze by a late tick.

        It must come before anything else is done for an event.
        """
        if not self._started:
            return self._start(now)
        if now - self._tick_due <= self._options.frozen_s:
            return []
        self._set_tick(now)
        return self._begin_doubt(now)

    def adopt(self, tables: Tables, now: float) -> None:
        """Put tables in force that the caller vouches for."""
        require(tables.serial >= self.serial, "an installed serial only grows")
        self.tables = tables
        self._packed = b""
        self._installed_at = now
        self._doubted_at = None

    def _start(self, now: float) -> list[SyncEffect]:
        self._started = True
        self._heard_at = now
        self._confirmed_at = now
        self._set_timers(now)
        if self.serial and self._doubted_at is None:
            return []
        return self._begin_doubt(now)

    def take_instances(
        self, instances: Sequence[Instance], now: float
    ) -> list[SyncEffect]:
        """Chooses this process's part anew when the instance list has changed."""
        if instances == self._instances:
            return []
        self._instances = instances
        if not self._options.is_entry:
            self._peers = SyncPeers(processes=count_processes(instances))
            return []
        options = self._options
        before = self._peers
        self._peers = choose_entry_peers(options.name, options.data_centre, instances)
        for table in (self._heard, self._opened, self._told, self._ahead):
            for peer in set(table) - set(self._peers.contacts):
                del table[peer]
        effects = self._greet_all(set(self._peers.contacts) - set(before.contacts), now)
        if self._peers.watches and not before.watches:
            self.timers.set(WATCH, now)
        return effects

    def take_envelope(self, peer: str, serial: int, now: float) -> list[SyncEffect]:
        """Compare serials with a peer that sent something."""
        self._hear(peer, now)
        if serial < self.serial:
            return self._tell(peer, now)
        self._confirmed_at = now
        if serial > 0:
            self._heard_in_doubt = True
        if serial == self.serial:
            return []
        self._ahead[peer] = serial
        if now < self._asked_at + self._options.ask_s:
            return []
        return self._ask(peer, now)

    def take_ask(self, peer: str) -> list[SyncEffect]:
        """Give the tables to a peer that asked, unless they are in doubt here."""
        if not self.is_ready:
            return []
        if not self._packed:
            self._packed = pack_tables(self.tables)
        return [Give(peer, self._packed)]

    def take_give(self, peer: str, body: bytes, now: float) -> list[SyncEffect]:
        """Installs a peer's tables if they are sound and newer."""
        self._asked_at = float("-inf")
        self._ahead.pop(peer, None)
        unpacked = unpack_tables(body)
        if isinstance(unpacked, Failure):
            return reject_tables(f"peer '{peer}'", unpacked.failure())
        self._heard_in_doubt = True
        return self._install(unpacked.unwrap(), f"peer '{peer}'", now)

    def take_object(self, answer: ObjectAnswer, now: float) -> list[SyncEffect]:
        """Take the platform's answer to a read or a watch."""
        call = self._calls.pop(answer.call, None)
        if call is None:
            return []
        self._plan_next(call, answer.status, now)
        if answer.status in (ObjectStatus.OK, ObjectStatus.UNCHANGED):
            self._confirmed_at = now
        match answer.status:
            case ObjectStatus.OK:
                return self._take_body(call, answer, now)
            case ObjectStatus.UNCHANGED:
                self._end_doubt(call)
                return []
            case ObjectStatus.MISSING:
                return []
            case _:
                text = f"{TABLES_PATH}: {answer.status.value}"
                return [Log(LogNumber.PLATFORM_FAILED, detail=text)]

    def wake(self, now: float) -> list[SyncEffect]:
        """Do what is due."""
        effects: list[SyncEffect] = []
        for name in self.timers.pop_due(now):
            effects += self._take_timer(name, now)
        return effects

    def _take_timer(self, name: str, now: float) -> list[SyncEffect]:
        match name:
            case "greet":
                return self._greet_contacts(now)
            case "poll":
                self._set_poll(now)
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
        self._drop_old(now)
        self._settle_doubt(now)
        if now - self._heard_at > options.lonely_after_s:
            self._hasten_poll(now)
        effects = self._complain(now)
        if now < self._asked_at + options.ask_s:
            return effects
        return effects + self._ask_again(now)

    def _complain(self, now: float) -> list[SyncEffect]:
        if now - self._confirmed_at <= self._options.unconfirmed_s:
            return []
        self._confirmed_at = now
        text = f"serial {self.serial}, no word for {self._options.unconfirmed_s:.0f} s"
        return [Log(LogNumber.TABLES_UNCONFIRMED, detail=text)]

    def _ask_again(self, now: float) -> list[SyncEffect]:
        ahead = [p for p, serial in self._ahead.items() if serial > self.serial]
        if not ahead:
            return []
        others = [peer for peer in ahead if peer != self._asked] or ahead
        effects = self._ask(self._rng.choice(others), now)
        if self._asks > 2 and now - self._polled_at > self._options.lonely_poll_s:
            effects += self._read(READ, now)
        return effects

    def _ask(self, peer: str, now: float) -> list[SyncEffect]:
        self._asked = peer
        self._asked_at = now
        self._asks += 1
        return [Ask(peer)]

    def _hear(self, peer: str, now: float) -> None:
        self._heard_at = now
        full = not self._options.is_entry and len(self._heard) >= MAX_PEERS
        if full and peer not in self._heard:
            self._forget(min(self._heard, key=self._heard.__getitem__))
        self._heard[peer] = now

    def _drop_old(self, now: float) -> None:
        if self._options.is_entry:
            return
        old = [p for p, at in self._heard.items() if now - at > self._options.silent_s]
        for peer in old:
            self._forget(peer)

    def _forget(self, peer: str) -> None:
        for table in (self._heard, self._opened, self._told, self._ahead):
            table.pop(peer, None)

    def _tell(self, peer: str, now: float) -> list[SyncEffect]:
        if now - self._told.get(peer, float("-inf")) < self._options.ask_s:
            return []
        self._told[peer] = now
        return [Greet(peer)]

    def _greet_contacts(self, now: float) -> list[SyncEffect]:
        options = self._options
        count = len(self._peers.contacts)
        period = max(options.greet_s, count / options.greets_per_s)
        self.timers.set(GREET, now + period * self._rng.uniform(0.75, 1.25))
        return self._greet_all(self._peers.contacts, now)

    def _greet_all(
        self, peers: Sequence[str] | set[str], now: float
    ) -> list[SyncEffect]:
        return [Greet(peer, self._is_silent(peer, now)) for peer in sorted(peers)]

    def _is_silent(self, peer: str, now: float) -> bool:
        if not self._options.is_entry:
            return False
        opened_at = self._opened.setdefault(peer, now)
        since = max(opened_at, self._heard.get(peer, opened_at))
        if now - since <= self._options.silent_s:
            return False
        self._opened[peer] = now
        return True

    def _install(self, tables: Tables, source: str, now: float) -> list[SyncEffect]:
        if tables.serial < self.serial:
            return []
        if tables.serial == self.serial:
            return self._compare(tables, source)
        require(tables.serial > self.serial, "an installed serial only grows")
        self.tables = tables
        self._packed = b""
        self._installed_at = now
        self._asks = 0
        self._asked_at = float("-inf")
        self._ahead = {p: s for p, s in self._ahead.items() if s > tables.serial}
        text = f"serial {tables.serial} from {source}"
        peers = self._peers.contacts if self._options.is_entry else tuple(self._heard)
        return [
            Log(LogNumber.TABLES_INSTALLED, detail=text),
            Count(Counter.TABLES, "installed"),
            *self._greet_all(peers, now),
        ]

    def _compare(self, tables: Tables, source: str) -> list[SyncEffect]:
        if digest_tables(tables) == digest_tables(self.tables):
            return []
        text = f"serial {tables.serial} says something else than the one in force"
        return reject_tables(source, (Fault("serial", text),))

    def _take_body(
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
        self._end_doubt(call)
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

    def _plan_next(self, call: PlatformCall, status: ObjectStatus, now: float) -> None:
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
        elif not answered and self._doubted_at is not None:
            self.timers.set(READ, now + wait_s)

    def _begin_doubt(self, now: float) -> list[SyncEffect]:
        self._doubted_at = now
        self._heard_in_doubt = False
        self._calls = {n: c for n, c in self._calls.items() if c.purpose != READ}
        effects: list[SyncEffect] = []
        if self.serial:
            text = "woke late, so these tables may be old"
            effects.append(Log(LogNumber.TABLES_DOUBTED, detail=text))
        effects += self._read(READ, now)
        return effects + self._greet_all(self._peers.contacts, now)

    def _end_doubt(self, call: PlatformCall) -> None:
        if self._doubted_at is not None and call.begun_at >= self._doubted_at:
            self._doubted_at = None

    def _settle_doubt(self, now: float) -> None:
        if self._doubted_at is None or not self._heard_in_doubt or not self.serial:
            return
        behind = any(serial > self.serial for serial in self._ahead.values())
        if now - self._doubted_at >= self._options.doubt_s and not behind:
            self._doubted_at = None

    def _set_timers(self, now: float) -> None:
        options = self._options
        self._set_tick(now)
        self._set_poll(now)
        if options.is_entry:
            self.timers.set(GREET, now + options.greet_s * self._rng.random())

    def _set_tick(self, now: float) -> None:
        self._tick_due = now + self._options.tick_s
        self.timers.set(TICK, self._tick_due)

    def _set_poll(self, now: float) -> None:
        options = self._options
        self._plan_poll(now, options.poll_s, options.poll_rate)

    def _hasten_poll(self, now: float) -> None:
        options = self._options
        self._heard_at = now
        self._plan_poll(now, options.lonely_poll_s, options.lonely_rate)

    def _plan_poll(self, now: float, least_s: float, rate: float) -> None:
        period = max(least_s, self._peers.processes / rate)
        self.timers.set(POLL, now + period * self._rng.uniform(0.5, 1.5))


def owns_call(answer: ObjectAnswer) -> bool:
    """Tells whether an object call's answer belongs to the tables."""
    return answer.call.startswith(CALL_PREFIX)
