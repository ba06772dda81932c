"""Decides how many runs an upstream may hold while it may be cold.

The gate trusts nothing that it has not seen. Its limit is earned by one start of the
upstream, named by the load report's ``boot``. Between two reports the upstream may turn
cold unnoticed, so all runs that are not known to have reached the same start count
against the cold limit. A token of a run that is known to belong to this start proves
that the start still lasted when the token was made, since no run survives a restart.

    gate = ColdStartGate(ColdStart(limit=2), ceiling=16, now=0.0)
    gate.report(True, "boot-1", now=2.0)
    gate.find_room(occupancy, now=2.0)  # 2
"""

from collections import deque

from masticdrum.core.occupancy import LOAD_LAG_S, LONGEST_RUN_S, TRANSIT_S, Occupancy
from masticdrum.model.tables import ColdStart

FAULT_BURST = 3  # faults
FAULT_WINDOW_S = 5.0
LONGEST_CREDIT_S = 1.0  # the most that one token can prove of work done
PAUSE_S = 0.5  # a longer gap between two events means that the process was paused
DRAIN_S = 1.1  # how long events from before a pause may still come out of the sockets


class ColdStartGate:
    """The limit on an upstream's runs, and the evidence that it was earned by.

    ``reports`` false means that the upstream gives no load reports; then the limit is
    the only guard, and it is trusted after ``trust_after_s``.
    """

    __slots__ = (
        "_credit_s",
        "_evidence_from",
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
        trust_after_s: float = LONGEST_RUN_S,
    ) -> None:
        self.ramp = ramp
        self.ceiling = ceiling
        self.trust_after_s = trust_after_s
        self.reports = reports
        self._faults: deque[float] = deque()
        self._last_event = now
        self._evidence_from = now
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
        """Begins the ramp again for a start of the upstream that is first seen now."""
        self.limit = min(self.ramp.limit, self.ceiling)
        self._credit_s = 0.0
        self.known_from = now
        self.confirmed_until = now - LOAD_LAG_S
        self._faults.clear()

    def configure(self, ramp: ColdStart, ceiling: int, reports: bool) -> None:
        """Take over a pool's new settings."""
        self.reports = reports
        self.ramp = ramp
        self.ceiling = ceiling
        self.limit = min(self.limit, ceiling)

    def report(self, reachable: bool, boot: str, now: float) -> None:
        """Take in a load report, or the lack of one."""
        self.notice(now)
        if not reachable:
            self.restart(now)
            self._distrust(now)
            return
        if now < max(self._unknown_since + LOAD_LAG_S + TRANSIT_S, self._evidence_from):
            return
        if boot != self.boot:
            self.restart(now)
            self.boot = boot
        self.trusted = True
        self.confirmed_until = max(self.confirmed_until, now - LOAD_LAG_S)

    def progress(self, attempt: str, occupancy: Occupancy, now: float) -> None:
        """Take in a sign of life of a run: a token, or its end without fault."""
        self.notice(now)
        run = occupancy.runs.get(attempt)
        if run is None or now < self._evidence_from:
            return
        if not self.reports:
            self._earn(now - self.confirmed_until, occupancy)
            self.confirmed_until = now
            return
        if not self.known_from <= run.begun <= self.confirmed_until:
            return
        proven = now - TRANSIT_S - self.confirmed_until
        if proven <= 0:
            return
        self._earn(proven, occupancy)
        self.confirmed_until += proven

    def fault(self, now: float) -> None:
        """Take in a run's failure; a burst of them restarts the ramp."""
        self.notice(now)
        self._faults.append(now)
        while self._faults[0] < now - FAULT_WINDOW_S:
            self._faults.popleft()
        self._credit_s = 0.0
        if len(self._faults) >= FAULT_BURST:
            self.restart(now)

    def find_room(self, occupancy: Occupancy, now: float) -> int:
        """Count the runs that may start now; never negative."""
        self.notice(now)
        return self.peek_room(occupancy)

    def peek_room(self, occupancy: Occupancy) -> int:
        """Count the runs that might have started at the last event."""
        if not self.trusted:
            return 0
        room = self.limit - len(occupancy.runs)
        if self.reports:
            room = min(room, self.ramp.limit - self.count_unconfirmed(occupancy))
        return max(0, room)

    def count_unconfirmed(self, occupancy: Occupancy) -> int:
        """Count the runs that an unnoticed restart may have begun with."""
        return sum(
            not self.known_from <= run.begun <= self.confirmed_until
            for run in occupancy.runs.values()
        )

    def notice(self, now: float) -> None:
        """Look at the time: at pauses of this process, and at overdue reports."""
        if now - self._last_event > PAUSE_S:
            self._evidence_from = now + DRAIN_S
        self._last_event = now
        if not self.trusted and now >= self._trust_at:
            self.trusted = True

    def _distrust(self, now: float) -> None:
        self.trusted = False
        self.boot = ""
        self._unknown_since = now
        self._trust_at = now + self.trust_after_s

    def _earn(self, proven_s: float, occupancy: Occupancy) -> None:
        busy = len(occupancy.runs) - self.count_unconfirmed(occupancy)
        if not self.reports:
            busy = len(occupancy.runs)
        used = min(1.0, busy / self.limit)
        self._credit_s += min(proven_s, LONGEST_CREDIT_S) * used
        if self._credit_s < self.ramp.every_s:
            return
        self._credit_s -= self.ramp.every_s
        self.limit = min(self.ceiling, self.limit + self.ramp.step)
