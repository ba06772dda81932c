"""Counts the runs that an upstream may be holding, whoever started them.

A run counts from the moment its request is sent until its end is certain. A run whose
connection was lost, and any that the load report shows without this agent having
started it, is foreign: it counts until a later report, or its longest possible
duration, shows that it is gone.
"""

from collections import deque
from math import inf

from msgspec import Struct

LOAD_LAG_S = 1.0  # the upper bound of a load report's age on arrival
TRANSIT_S = 0.1  # the upper bound of the delay between an agent and its upstream
LONGEST_RUN_S = 300.0


class HeldRun(Struct):
    """One run at the upstream; ``begun`` is when it was certainly there."""

    sent: float
    begun: float = inf
    foreign: bool = False
    expires: float = inf


class Snapshot(Struct):
    """A load report that waits for the ends which were under way when it was made."""

    running: int
    settled_at: float
    surely_running: set[str]


class Occupancy:
    """The runs that the upstream may be holding, by attempt."""

    __slots__ = ("_adopted", "_ends", "_snapshot", "runs")

    def __init__(self) -> None:
        self.runs: dict[str, HeldRun] = {}
        self._ends: deque[float] = deque()
        self._snapshot: Snapshot | None = None
        self._adopted = 0

    def start(self, attempt: str, now: float) -> None:
        """Count a run whose request is about to be sent."""
        self.runs[attempt] = HeldRun(now)

    def begin(self, attempt: str, now: float) -> None:
        """Note that the upstream confirmed a run."""
        run = self.runs.get(attempt)
        if run is not None and run.begun == inf:
            run.begun = now

    def end(self, attempt: str, now: float) -> HeldRun | None:
        """Forgets a run that certainly ended, or never reached the upstream."""
        run = self.runs.pop(attempt, None)
        if run is None:
            return None
        self._ends.append(now)
        if self._snapshot is not None:
            self._snapshot.surely_running.discard(attempt)
        return run

    def orphan(self, attempt: str, now: float) -> None:
        """Keep counting a run of which nothing more will be heard."""
        run = self.runs.get(attempt)
        if run is None:
            return
        run.begun = min(run.begun, now + TRANSIT_S)
        run.foreign = True
        run.expires = now + LONGEST_RUN_S
        if self._snapshot is not None:
            self._snapshot.surely_running.discard(attempt)

    def report(self, running: int, now: float) -> None:
        """Take in a load report's count, which may be ``LOAD_LAG_S`` old."""
        self.settle(now)
        self._adopt(running, now)
        if self._snapshot is None:
            self._snapshot = Snapshot(
                running, now + TRANSIT_S, self._find_older_runs(now - LOAD_LAG_S)
            )

    def settle(self, now: float) -> None:
        """Drop foreign runs which an earlier report or the time shows to be gone."""
        for attempt in [a for a, run in self.runs.items() if run.expires <= now]:
            del self.runs[attempt]
        snapshot = self._snapshot
        if snapshot is None or now <= snapshot.settled_at:
            return
        self._snapshot = None
        left = max(0, snapshot.running - len(snapshot.surely_running))
        # Orphans of after the report can't be judged by it.
        made_at = snapshot.settled_at - TRANSIT_S - LOAD_LAG_S
        foreign = [a for a, run in self.runs.items() if run.foreign]
        older = [a for a in foreign if self.runs[a].begun <= made_at]
        for attempt in older[: max(0, len(foreign) - left)]:
            del self.runs[attempt]

    def _find_older_runs(self, moment: float) -> set[str]:
        return {
            attempt
            for attempt, run in self.runs.items()
            if not run.foreign and run.begun <= moment
        }

    def _adopt(self, running: int, now: float) -> None:
        horizon = now - LOAD_LAG_S - TRANSIT_S
        while self._ends and self._ends[0] < horizon:
            self._ends.popleft()
        unknown = running - len(self.runs) - len(self._ends)
        for _ in range(unknown):
            self._adopted += 1
            self.runs[f"foreign-{self._adopted}"] = HeldRun(
                now, now, True, now + LONGEST_RUN_S
            )
