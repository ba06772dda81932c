"""What the holder of a lease on an order hears, from its takeover on.

It begins without evidence: entries report what they have counted since the order began,
so a second is enough to hear all of it. Steps go on from the highest that was heard, so
that a step of the holder before is not taken for one of this holder.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from msgspec import Struct

from masticdrum.model.rollouts import RolloutReport, Tally
from masticdrum.rollouts.interfaces import (
    Evidence,
    Judgement,
    RolloutBounds,
    Step,
    Verdict,
)
from masticdrum.rollouts.orderlease import NEVER

HEAR_S = 1.0  # for each entry's next report
SILENT_S = 3.0  # after which an entry's requests no longer hold the last step up


class EvidencePool(Protocol):
    """Sums up what all entries have counted."""

    def replace(
        self, entry: str, incarnation: str, tallies: tuple[Tally, ...]
    ) -> object:
        """Use an entry's newest tallies, which are cumulative."""

    def pool(self) -> Evidence:
        """Return the sum over all entries."""


class TargetJudge(Protocol):
    """Compares the target with the versions before."""

    def observe(self, evidence: Evidence, now: float) -> Judgement:
        """Judge the evidence so far."""


class StepSchedule(Protocol):
    """Plans the share of the target."""

    def plan(
        self,
        now: float,
        began_at: float,
        duration_s: float,
        bounds: RolloutBounds,
        evidence: Evidence,
        judgement: Judgement,
        old_open: int,
        all_switched: bool,
    ) -> Step:
        """Return the step at which entries should be."""


class RolloutParts(Struct, frozen=True):
    """What a decider is made of.

    The first three make new evidence, a judge and a schedule. ``list_upstreams`` names
    the upstreams of a service at a version, ``choose_upstreams`` those of them that are
    used at a share.
    """

    build_pool: Callable[[], EvidencePool]
    build_judge: Callable[[], TargetJudge]
    build_schedule: Callable[[], StepSchedule]
    list_upstreams: Callable[[str, str], Iterable[str]]
    choose_upstreams: Callable[[Iterable[str], float], Iterable[str]]


class Course:
    """What the holder of a lease knows of its order, from its takeover on."""

    __slots__ = (
        "began_at",
        "_heard_step",
        "_listens_since",
        "hears_until",
        "judge",
        "judgement",
        "number",
        "pool",
        "reports",
        "reviewed_at",
        "schedule",
        "step",
    )

    def __init__(self, parts: RolloutParts, number: int, began_at: float) -> None:
        self.number = number
        self.began_at = began_at
        self._listens_since = -NEVER
        self.hears_until = NEVER
        self.pool = parts.build_pool()
        self.judge = parts.build_judge()
        self.schedule = parts.build_schedule()
        self.judgement = Judgement(Verdict.UNDECIDED)
        self.reports: dict[str, tuple[RolloutReport, float]] = {}
        self.reviewed_at = -NEVER
        self.step: Step | None = None
        self._heard_step = 0

    def listen(self, now: float) -> None:
        """Wait for each entry's next report before anything is decided."""
        self._listens_since = now
        self.hears_until = now + HEAR_S

    def record(self, report: RolloutReport, now: float) -> None:
        """Add an entry's report to the evidence."""
        self.pool.replace(report.entry, report.incarnation, report.tallies)
        self.reports[report.entry] = report, now
        if self.step is None:
            self._heard_step = max(self._heard_step, report.step)

    def find_step_number(self, step: Step | None) -> int:
        """Return the number that entries see for a step, or for none."""
        return self._heard_step + 1 + step.number if step else self._heard_step

    def count_old_open(self, now: float) -> int:
        """Count the requests that are open at other versions than the target."""
        return sum(
            report.old_open
            for report, at in self.reports.values()
            if now < at + SILENT_S
        )

    def hears_most(self, members: Collection[str], now: float) -> bool:
        """Return whether at least half of the members report."""
        heard = [name for name in members if self._was_heard(name, now)]
        return 2 * len(heard) >= len(members)

    def _was_heard(self, entry: str, now: float) -> bool:
        return entry in self.reports and now < self.reports[entry][1] + SILENT_S

    def have_all_switched(self, members: Iterable[str], now: float) -> bool:
        """Return whether each entry that isn't silent applies the current step.

        Entries that have not reported yet are waited for, up to the time after which
        they count as silent.
        """
        if self.step is None:
            return False
        may_be_late = now < self._listens_since + SILENT_S
        if may_be_late and any(name not in self.reports for name in members):
            return False
        number = self.find_step_number(self.step)
        heard = [report for report, at in self.reports.values() if now < at + SILENT_S]
        return bool(heard) and all(report.step == number for report in heard)
