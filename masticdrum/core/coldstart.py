"""Limits the number of runs at an upstream that may be in a cold start.

The limit relies on observed evidence only. It grows with the work done since the
upstream's current start, which the load report's ``boot`` identifies. The upstream may
restart unnoticed between two reports, so all runs that are not known to belong to the
current start count against the cold limit. A token of a run that is known to belong to
it proves that the upstream had not restarted when the token was made, since no run
survives a restart.

    gate = ColdStartGate(ColdStart(limit=2), ceiling=16, now=0.0)
    gate.report(True, "boot-1", now=2.0)
    gate.compute_room(occupancy, now=2.0)  # 2
"""

from collections import deque

from masticdrum.core.occupancy import LOAD_LAG_S, MAX_RUN_S, TRANSIT_S, Occupancy
from masticdrum.model.tables import ColdStart

FAULT_BURST = 3  # faults within FAULT_WINDOW_S restart the ramp
FAULT_WINDOW_S = 5.0
MAX_CREDIT_S = 1.0  # the most work that one token can prove
PAUSE_S = 0.5  # a longer gap between two events means that the process was paused
BACKLOG_DRAIN_S = 1.1  # how long sockets may still deliver events from before a pause


class ColdStartGate:
    """The limit on an upstream's runs, and the evidence that it is based on.

    ``ramp`` holds the pool's cold-start settings, and ``ceiling`` bounds the limit. A
    run that began between ``known_from`` and ``confirmed_until`` is known to belong to
    the upstream's current start.

    ``reports`` is false for an upstream without load reports; the limit is then the
    only protection. Without a report, nothing may start until ``trust_after_s`` after
    the gate's creation or after the last report of an unreachable upstream.
    """

    __slots__ = (
        "_credit_s",
        "_evidence_valid_from",
        "_faults",
        "_last_event",
        "_trust_at",
        "_unknown_since",
        "boot",
        "ceiling",
        "confirmed_until",
        "known_from",
        "limit",
        "ramp",
        "reports",
        "trust_after_s",
        "trusted",
    )

    def __init__(
        self,
        ramp: ColdStart,
        ceiling: int,
        now: float,
        reports: bool = True,
        trust_after_s: float = MAX_RUN_S,
    ) -> None:
        self.ramp = ramp
        self.ceiling = ceiling
        self.trust_after_s = trust_after_s
        self.reports = reports
        self._faults: deque[float] = deque()
        self._last_event = now
        self._evidence_valid_from = now
        self.boot = ""
        self.trusted = False
        self._unknown_since = now
        self._trust_at = now + trust_after_s
        self.restart(now)

    @property
    def cold(self) -> bool:
        """Whether the upstream may still be in a cold start."""
        return not self.trusted or self.limit < self.ceiling

    def restart(self, now: float) -> None:
        """Restart the ramp, for a start of the upstream that is first observed now."""
        self.limit = min(self.ramp.limit, self.ceiling)
        self._credit_s = 0.0
        self.known_from = now
        self.confirmed_until = now - LOAD_LAG_S
        self._faults.clear()

    def configure(self, ramp: ColdStart, ceiling: int, reports: bool) -> None:
        """Apply a pool's new settings."""
        self.reports = reports
        self.ramp = ramp
        self.ceiling = ceiling
        self.limit = min(self.limit, ceiling)

    def report(self, reachable: bool, boot: str, now: float) -> None:
        """Apply a load report, or the lack of one if ``reachable`` is false."""
        self.observe_time(now)
        if not reachable:
            self.restart(now)
            self._reset_trust(now)
            return
        if now < max(
            self._unknown_since + LOAD_LAG_S + TRANSIT_S, self._evidence_valid_from
        ):
            return
        if boot != self.boot:
            self.restart(now)
            self.boot = boot
        self.trusted = True
        self.confirmed_until = max(self.confirmed_until, now - LOAD_LAG_S)

    def progress(self, attempt: str, occupancy: Occupancy, now: float) -> None:
        """Record a run's progress: a token, or its end without a fault."""
        self.observe_time(now)
        run = occupancy.runs.get(attempt)
        if run is None or now < self._evidence_valid_from:
            return
        if not self.reports:
            self._add_credit(now - self.confirmed_until, occupancy)
            self.confirmed_until = now
            return
        if not self.known_from <= run.begun <= self.confirmed_until:
            return
        proven = now - TRANSIT_S - self.confirmed_until
        if proven <= 0:
            return
        self._add_credit(proven, occupancy)
        self.confirmed_until += proven

    def record_fault(self, now: float) -> None:
        """Record a run's failure; a burst of them restarts the ramp."""
        self.observe_time(now)
        self._faults.append(now)
        while self._faults[0] < now - FAULT_WINDOW_S:
            self._faults.popleft()
        self._credit_s = 0.0
        if len(self._faults) >= FAULT_BURST:
            self.restart(now)

    def compute_room(self, occupancy: Occupancy, now: float) -> int:
        """Return the number of runs that may start now; never negative."""
        self.observe_time(now)
        return self.peek_room(occupancy)

    def peek_room(self, occupancy: Occupancy) -> int:
        """Return the number of runs that could start at the time of the last event."""
        if not self.trusted:
            return 0
        room = self.limit - len(occupancy.runs)
        if self.reports:
            room = min(room, self.ramp.limit - self.count_unconfirmed(occupancy))
        return max(0, room)

    def count_unconfirmed(self, occupancy: Occupancy) -> int:
        """Count the runs that may belong to an unnoticed restart of the upstream."""
        return sum(
            not self.known_from <= run.begun <= self.confirmed_until
            for run in occupancy.runs.values()
        )

    def observe_time(self, now: float) -> None:
        """Detect pauses of this process, and trust the limit when that is due."""
        if now - self._last_event > PAUSE_S:
            self._evidence_valid_from = now + BACKLOG_DRAIN_S
        self._last_event = now
        if not self.trusted and now >= self._trust_at:
            self.trusted = True

    def _reset_trust(self, now: float) -> None:
        self.trusted = False
        self.boot = ""
        self._unknown_since = now
        self._trust_at = now + self.trust_after_s

    def _add_credit(self, proven_s: float, occupancy: Occupancy) -> None:
        busy = len(occupancy.runs) - self.count_unconfirmed(occupancy)
        if not self.reports:
            busy = len(occupancy.runs)
        utilisation = min(1.0, busy / self.limit)
        self._credit_s += min(proven_s, MAX_CREDIT_S) * utilisation
        if self._credit_s < self.ramp.every_s:
            return
        self._credit_s -= self.ramp.every_s
        self.limit = min(self.ceiling, self.limit + self.ramp.step)
