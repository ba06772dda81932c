"""Judges a target version against the others, by sequential tests on their answers.

On each route, the share of the target's answers that fail, and the share that are slow,
are tested against those of the other versions in the same seconds. The test is Wald's
sequential probability ratio test (A. Wald, "Sequential Tests of Statistical
Hypotheses", 1945), repeated as Page's cumulative sum (E. S. Page, "Continuous
Inspection Schemes", 1954), so good answers of earlier times don't mask a later fault.
By Lorden's bound (G. Lorden, "Procedures for Reacting to a Change in Distribution",
1971) a sum with threshold ln(1/a) gives one false alarm in 1/a answers at most on
average, however often one looks, if answers are independent and the old side's shares
known. ``MIN_FAILURE_RATE``, ``TOLERANCE`` and the worst of several windows leave room
for what they are not.

    judge = Judge()
    judge.observe(pooled.pool(), now=12.5).verdict
"""

from collections import deque
from math import log

from msgspec import Struct

from masticdrum.model.rollouts import LATENCY_BUCKETS, UPSTREAM_GROUPS
from masticdrum.model.telemetry import Facts
from masticdrum.rollouts.evidence import copy_side, make_side
from masticdrum.rollouts.interfaces import (
    Evidence,
    Judgement,
    SideEvidence,
    Verdict,
)

FALSE_ALARMS_PER_ANSWER = 1e-5  # alpha, over all tests of a service
MISSED_SHARE = 0.02  # of the answers, a route's part times its beta, within the next
MISSED_FAULT = 0.05  # beta, the chance that a degraded route passes as sound
MISSED_FAULT_OF_RARE_ROUTE = 0.5
DEGRADATION = 0.12  # the share of sound answers that a bad version spoils
TOLERANCE = 1.3  # how many times as often a sound version may fail
MIN_FAILURE_RATE = 0.01  # assumed of the old side, however few of its answers failed
MIN_SLOW_RATE = 0.02
SLOW_SHARE = 0.1  # of the old side's answers count as slow
WINDOWS_S = (2.0, 10.0)  # of the old side's answers, besides all of them
MAX_SNAPSHOTS = 64
PRIOR = 20  # answers of the whole time that a window's share is mixed with
MIN_REFERENCE = 20  # answers of the old side, without which a route isn't judged
MIN_OTHERS = 10  # answers outside a group, without which it isn't left out
ALONE_FACTOR = 2  # how much more evidence a group needs if others have no answers,
FEW_FACTOR = 4  # or fewer than that
SUSPICION = 0.3  # of the evidence of a fault, at which a version isn't sound
ALL_ROUTES = "*"
IGNORED_SHARE = 0.01  # of the answers, below which a route isn't waited for


class Sums(Struct):
    """The log-likelihood ratio of a fault, summed over a test's answers.

    ``alarm`` never falls below zero, and ``doubt`` stays between ``floor`` and zero, so
    neither hides a change behind what came long before.
    """

    alarm: float = 0.0
    doubt: float = 0.0

    def add(self, ratio: float, floor: float) -> None:
        """Add the ratio of further answers."""
        self.alarm = max(0.0, self.alarm + ratio)
        self.doubt = min(0.0, max(floor, self.doubt + ratio))


class FailureTest:
    """Tests a route's failures, with all groups and with each one left out.

    A fault of the version shows whichever group is left out, one of a single upstream
    doesn't. Where other groups have too few answers to tell, it takes more evidence.
    """

    __slots__ = ("_answered", "_suspected", "_whole", "_without")

    def __init__(self) -> None:
        self._whole = Sums()
        self._without = [Sums() for _ in range(UPSTREAM_GROUPS)]
        self._answered = [0] * UPSTREAM_GROUPS
        self._suspected = [0] * UPSTREAM_GROUPS  # since the alarm last was zero

    def add(self, ratios: list[float], answered: list[int]) -> None:
        """Add the target's new answers by group, and their ratios without each."""
        if self._whole.alarm == 0:
            self._suspected = [0] * UPSTREAM_GROUPS
        floor = 2 * log(MISSED_FAULT)
        self._whole.add(ratios[-1], floor)
        for group, sums in enumerate(self._without):
            sums.add(ratios[group], floor)
            self._answered[group] += answered[group]
            self._suspected[group] += answered[group]

    @property
    def alarm(self) -> float:
        """The evidence of a fault, without the group that speaks most for it."""
        total = sum(self._suspected)
        return min(
            self._discount(sums, total - count)
            for sums, count in zip(self._without, self._suspected, strict=True)
        )

    def _discount(self, sums: Sums, others: int) -> float:
        """Return the evidence without a group, of which ``others`` are the answers."""
        if others >= MIN_OTHERS:
            return sums.alarm
        return self._whole.alarm / (ALONE_FACTOR if others == 0 else FEW_FACTOR)

    @property
    def doubt(self) -> float:
        """The evidence against a fault, as a negative number."""
        total = sum(self._answered)
        return min(
            sums.doubt if total - count >= MIN_OTHERS else self._whole.doubt
            for sums, count in zip(self._without, self._answered, strict=True)
        )


class Ratios(Struct):
    """What some new answers of the target say, for the tests of their route.

    ``failures`` are log-likelihood ratios without each group, and last of all groups.
    """

    answered: list[int]
    failures: list[float]
    slowness: float

    def add(self, other: "Ratios") -> None:
        """Add those of another route."""
        self.answered = [
            a + b for a, b in zip(self.answered, other.answered, strict=True)
        ]
        self.failures = [
            a + b for a, b in zip(self.failures, other.failures, strict=True)
        ]
        self.slowness += other.slowness


class RouteTests:
    """The tests of one route, or of all together."""

    __slots__ = ("failures", "slowness")

    def __init__(self) -> None:
        self.failures = FailureTest()
        self.slowness = Sums()

    def add(self, ratios: Ratios) -> None:
        """Add what the target's new answers say."""
        self.failures.add(ratios.failures, ratios.answered)
        self.slowness.add(ratios.slowness, 2 * log(MISSED_FAULT))

    @property
    def alarm(self) -> float:
        """The stronger evidence of a fault of the two tests."""
        return max(self.failures.alarm, self.slowness.alarm)

    @property
    def doubt(self) -> float:
        """The weaker evidence against a fault of the two tests."""
        return max(self.failures.doubt, self.slowness.doubt)


class Judge:
    """Judges one order's target from cumulative evidence, again and again.

    Once it has found the target bad, it stays with that.
    """

    __slots__ = ("_bad", "_seen", "_snapshots", "_tests", "_together")

    def __init__(self) -> None:
        self._together = RouteTests()
        self._seen: dict[str, SideEvidence] = {}
        self._tests: dict[str, RouteTests] = {}
        self._snapshots: deque[tuple[float, dict[str, SideEvidence]]] = deque(
            maxlen=MAX_SNAPSHOTS
        )
        self._bad: Judgement | None = None

    def observe(self, evidence: Evidence, now: float) -> Judgement:
        """Judge by all evidence so far, as of ``now`` in seconds of a steady clock."""
        if self._bad is not None:
            return self._bad
        self._add(evidence, now)
        self._keep(evidence, now)
        self._bad = self._find_fault()
        if self._bad is not None:
            return self._bad
        waiting = sorted(
            route for route in evidence.by_route if self._awaits(route, evidence)
        )
        answered = sum(sum(both.new.answered) for both in evidence.by_route.values())
        is_sound = answered > 0 and not waiting and not self._suspects()
        facts: Facts = {"answers": answered, "waiting": waiting}
        return Judgement(Verdict.SOUND if is_sound else Verdict.UNDECIDED, facts)

    def _add(self, evidence: Evidence, now: float) -> None:
        """Add the answers since the last look to the tests."""
        together = Ratios([0] * UPSTREAM_GROUPS, [0.0] * (UPSTREAM_GROUPS + 1), 0.0)
        for route, both in evidence.by_route.items():
            references = self._list_references(route, both.old, now)
            if not references:
                continue
            fresh = subtract(both.new, self._seen.get(route, make_side()))
            self._seen[route] = copy_side(both.new)
            ratios = weigh_answers(fresh, references)
            self._tests.setdefault(route, RouteTests()).add(ratios)
            together.add(ratios)
        self._together.add(together)

    def _list_tests(self) -> dict[str, RouteTests]:
        return {**self._tests, ALL_ROUTES: self._together}

    @property
    def _threshold(self) -> float:
        """The evidence at which a test finds a fault, by Bonferroni's correction."""
        return log(2 * len(self._list_tests()) / FALSE_ALARMS_PER_ANSWER)

    def _suspects(self) -> bool:
        """Return whether some evidence of a fault stands, though not enough."""
        limit = SUSPICION * self._threshold
        return any(tests.alarm >= limit for tests in self._list_tests().values())

    def _find_fault(self) -> Judgement | None:
        for route, tests in self._list_tests().items():
            if tests.alarm < self._threshold:
                continue
            is_failing = tests.failures.alarm >= tests.slowness.alarm
            facts: Facts = {
                "route": route,
                "fault": "failures" if is_failing else "slowness",
                "evidence": round(tests.alarm, 2),
                "threshold": round(self._threshold, 2),
                "answers": sum(sum(side.answered) for side in self._seen.values()),
                "failed": sum(sum(side.failed) for side in self._seen.values()),
            }
            return Judgement(Verdict.BAD, facts)
        return None

    def _awaits(self, route: str, evidence: Evidence) -> bool:
        """Return whether a degradation of a route isn't excluded yet."""
        both = evidence.by_route[route]
        all_answers = evidence.old_sent + evidence.new_sent
        answers = sum(both.old.answered) + sum(both.new.answered)
        if answers < IGNORED_SHARE * all_answers:
            return False
        tests = self._tests.get(route)
        if tests is None:
            return True
        missed = MISSED_SHARE * all_answers / answers
        missed = min(MISSED_FAULT_OF_RARE_ROUTE, max(MISSED_FAULT, missed))
        return tests.doubt > log(missed)

    def _list_references(
        self, route: str, old: SideEvidence, now: float
    ) -> list[SideEvidence]:
        """Return the old side's answers of each window that has enough of them."""
        sides = [old]
        for window_s in WINDOWS_S:
            for at, snapshot in reversed(self._snapshots):
                if at <= now - window_s:
                    sides.append(subtract(old, snapshot.get(route, make_side())))
                    break
        return [side for side in sides if sum(side.answered) >= MIN_REFERENCE]

    def _keep(self, evidence: Evidence, now: float) -> None:
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - WINDOWS_S[-1]:
            self._snapshots.popleft()
        sides = {
            route: copy_side(both.old) for route, both in evidence.by_route.items()
        }
        self._snapshots.append((now, sides))


def judge(evidence: Evidence) -> Judgement:
    """Judge by the whole of some evidence, without regard to time."""
    return Judge().observe(evidence, 0.0)


def weigh(total: int, bad: int, rate: float) -> float:
    """Return the log-likelihood ratio of a fault for ``bad`` of ``total`` answers.

    ``rate`` is the chance of a bad answer without a fault.
    """
    rate = min(rate, 0.99)
    faulty = rate + DEGRADATION * (1 - rate)
    return bad * log(faulty / rate) + (total - bad) * log((1 - faulty) / (1 - rate))


def weigh_answers(fresh: SideEvidence, references: list[SideEvidence]) -> Ratios:
    """Return what new answers say, by the old side's of each window, the whole first.

    The window in which the old side fared worst counts.
    """
    failures = [(sum(side.failed), sum(side.answered)) for side in references]
    rate = max(MIN_FAILURE_RATE, TOLERANCE * find_worst_share(failures))
    total, bad = sum(fresh.answered), sum(fresh.failed)
    without = [
        weigh(total - answered, bad - failed, rate)
        for answered, failed in zip(fresh.answered, fresh.failed, strict=True)
    ]
    return Ratios(
        fresh.answered,
        [*without, weigh(total, bad, rate)],
        weigh_latencies(fresh.latencies, [side.latencies for side in references]),
    )


def weigh_latencies(fresh: list[int], references: list[list[int]]) -> float:
    """Return the ratio of new latencies above the old side's slow ones.

    The limit lies a bucket higher, and the expected share is the mean of those above
    both, so a version that is up to half as slow again passes.
    """
    known = [latencies for latencies in references if sum(latencies) >= MIN_REFERENCE]
    if not known:
        return 0.0
    bucket = max(find_slow_bucket(latencies) for latencies in known)
    slow = [
        (sum(each[bucket + 1 :]) + sum(each[bucket + 2 :]), 2 * sum(each))
        for each in known
    ]
    rate = max(MIN_SLOW_RATE, find_worst_share(slow))
    return weigh(sum(fresh), sum(fresh[bucket + 2 :]), rate)


def find_worst_share(counts: list[tuple[int, int]]) -> float:
    """Return the largest share of some among all; windows are mixed with the first."""
    some, total = counts[0]
    whole = some / total
    return max((some + PRIOR * whole) / (total + PRIOR) for some, total in counts)


def find_slow_bucket(latencies: list[int]) -> int:
    """Return the last bucket with more than ``SLOW_SHARE`` in it or above."""
    allowed = SLOW_SHARE * sum(latencies)
    above = 0
    for bucket in range(LATENCY_BUCKETS - 1, 0, -1):
        above += latencies[bucket]
        if above > allowed:
            return bucket
    return 0


def subtract(side: SideEvidence, earlier: SideEvidence) -> SideEvidence:
    """Return the answers since an earlier count."""
    return SideEvidence(
        subtract_counts(side.answered, earlier.answered),
        subtract_counts(side.failed, earlier.failed),
        subtract_counts(side.latencies, earlier.latencies),
    )


def subtract_counts(counts: list[int], earlier: list[int]) -> list[int]:
    """Return what was added to some counts, which never fall."""
    return [max(0, a - b) for a, b in zip(counts, earlier, strict=True)]
