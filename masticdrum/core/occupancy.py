"""Counts the runs that may be in progress at an upstream, whoever started them.

A run counts from the time its request is sent until its end is certain. A run is
foreign if its connection was lost, or if a load report counts it although this agent
didn't start it. A foreign run counts until a later report shows that it ended, or for
``MAX_RUN_S``.
"""

from collections import deque
from math import inf

from msgspec import Struct

LOAD_LAG_S = 1.0  # upper bound of a load report's age on arrival
TRANSIT_S = 0.1  # upper bound of the delay between an agent and its upstream
MAX_RUN_S = 300.0  # upper bound of a run's duration


class UpstreamRun(Struct):
    """One run; ``begun`` is when it had certainly reached the upstream."""

    sent: float
    begun: float = inf
    foreign: bool = False
    expires: float = inf


class Snapshot(Struct):
    """A load report's count of runs, to be applied at ``apply_at``.

    It is applied with a delay, since ends of runs may have been in transit when the
    report was made.
    """

    running: int
    apply_at: float
    confirmed_running: set[str]


class Occupancy:
    """The runs that may be in progress at the upstream, by attempt."""

    __slots__ = ("_foreign_added", "_recent_ends", "_snapshot", "runs")

    def __init__(self) -> None:
        self.runs: dict[str, UpstreamRun] = {}
        self._recent_ends: deque[float] = deque()
        self._snapshot: Snapshot | None = None
        self._foreign_added = 0

    def start(self, attempt: str, now: float) -> None:
        """Count a run whose request is about to be sent."""
        self.runs[attempt] = UpstreamRun(now)

    def begin(self, attempt: str, now: float) -> None:
        """Record that the upstream confirmed a run."""
        run = self.runs.get(attempt)
        if run is not None and run.begun == inf:
            run.begun = now

    def end(self, attempt: str, now: float) -> UpstreamRun | None:
        """Remove a run that certainly ended, or never reached the upstream."""
        run = self.runs.pop(attempt, None)
        if run is None:
            return None
        self._recent_ends.append(now)
        if self._snapshot is not None:
            self._snapshot.confirmed_running.discard(attempt)
        return run

    def orphan(self, attempt: str, now: float) -> None:
        """Make a run foreign, since no more events will be received for it."""
        run = self.runs.get(attempt)
        if run is None:
            return
        run.begun = min(run.begun, now + TRANSIT_S)
        run.foreign = True
        run.expires = now + MAX_RUN_S
        if self._snapshot is not None:
            self._snapshot.confirmed_running.discard(attempt)

    def report(self, running: int, now: float) -> None:
        """Apply a load report's count of runs, which may be ``LOAD_LAG_S`` old."""
        self.drop_ended_foreign(now)
        self._add_foreign_runs(running, now)
        if self._snapshot is None:
            self._snapshot = Snapshot(
                running, now + TRANSIT_S, self._list_confirmed_before(now - LOAD_LAG_S)
            )

    def drop_ended_foreign(self, now: float) -> None:
        """Drop foreign runs that ended by an earlier report, or that have expired."""
        for attempt in [a for a, run in self.runs.items() if run.expires <= now]:
            del self.runs[attempt]
        snapshot = self._snapshot
        if snapshot is None or now <= snapshot.apply_at:
            return
        self._snapshot = None
        reported_foreign = max(0, snapshot.running - len(snapshot.confirmed_running))
        # Runs that were orphaned after the report was made can't be dropped by it.
        made_at = snapshot.apply_at - TRANSIT_S - LOAD_LAG_S
        foreign = [a for a, run in self.runs.items() if run.foreign]
        older = [a for a in foreign if self.runs[a].begun <= made_at]
        for attempt in older[: max(0, len(foreign) - reported_foreign)]:
            del self.runs[attempt]

    def _list_confirmed_before(self, moment: float) -> set[str]:
        return {
            attempt
            for attempt, run in self.runs.items()
            if not run.foreign and run.begun <= moment
        }

    def _add_foreign_runs(self, running: int, now: float) -> None:
        horizon = now - LOAD_LAG_S - TRANSIT_S
        while self._recent_ends and self._recent_ends[0] < horizon:
            self._recent_ends.popleft()
        unaccounted = running - len(self.runs) - len(self._recent_ends)
        for _ in range(unaccounted):
            self._foreign_added += 1
            self.runs[f"foreign-{self._foreign_added}"] = UpstreamRun(
                now, now, True, now + MAX_RUN_S
            )
