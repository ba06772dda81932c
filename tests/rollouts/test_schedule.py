"""The share stays within the bound for bad versions, and good ones are completed."""

from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct

from masticdrum.rollouts.evidence import find_group
from masticdrum.rollouts.interfaces import (
    Evidence,
    Judgement,
    RolloutBounds,
    Step,
    Verdict,
)
from masticdrum.rollouts.schedule import MIN_LAST_S, Schedule, choose_upstreams

BOUNDS = RolloutBounds()
TICK_S = 0.5
APPLIED_S = 1.0  # until a step has reached all entries
ANSWERED_S = 2.0  # until an answer is counted
FOUND_S = 1.5  # from the first bad answer to the verdict
SOUND_AFTER = 45  # answers, the most that the judge needed for one route


class Played(Struct):
    """What a version got, and how it ended."""

    sent: float
    total: float
    at_s: float
    is_completed: bool

    @property
    def exposure(self) -> float:
        """The target's requests as a part of the bound."""
        bound = BOUNDS.exposure_share * self.total + BOUNDS.exposure_slack
        return self.sent / bound


def play(
    load: Callable[[float], float], duration_s: float, bad_at: float = 1e9
) -> Played:
    """Play steps against a load in requests a second; bad from ``bad_at`` on."""
    schedule, ended, met_at = Schedule(), None, 1e9
    shares: deque[tuple[float, float]] = deque([(0.0, 0.0)])
    sent: deque[tuple[float, float]] = deque([(0.0, 0.0)])
    new = old = now = 0.0
    while now < duration_s:
        now += TICK_S
        while len(shares) > 1 and shares[1][0] <= now:
            shares.popleft()
        share = shares[0][1]
        new += share * load(now) * TICK_S
        old += (1 - share) * load(now) * TICK_S
        if now >= bad_at and share > 0:
            met_at = min(met_at, now)
        sent.append((now, new))
        while sent[1][0] <= now - ANSWERED_S:
            sent.popleft()
        counted = sent[0][1]
        verdict = Verdict.SOUND if counted > SOUND_AFTER else Verdict.UNDECIDED
        if now >= met_at + ANSWERED_S + FOUND_S:
            verdict = Verdict.BAD
        step = schedule.plan(
            now,
            0.0,
            duration_s,
            BOUNDS,
            Evidence(old_sent=int(old), new_sent=int(counted)),
            Judgement(verdict),
            old_open=int(old > 0 and share < 1.0),
            all_switched=share == 1.0,
        )
        shares.append((now + APPLIED_S, step.share))
        if step.is_due and ended is None:
            ended = Played(0.0, 0.0, now, step.is_last)
    assert ended is not None
    ended.sent, ended.total = new, old + new
    return ended


@pytest.mark.parametrize("duration_s", [30.0, 60.0, 180.0, 600.0])
@pytest.mark.parametrize("rate", [2.0, 20.0, 100.0, 400.0, 3000.0])
def test_version_that_turns_bad_at_any_moment_stays_in_bound(
    rate: float, duration_s: float
) -> None:
    """A version that turns bad late would get more than its part of the requests."""
    worst = max(
        play(lambda now: rate, duration_s, bad_at).exposure
        for bad_at in [*range(0, int(duration_s), max(1, int(duration_s / 60)))]
    )
    assert worst <= 1.0


@pytest.mark.parametrize("duration_s", [40.0, 60.0, 180.0, 600.0])
@pytest.mark.parametrize("rate", [20.0, 100.0, 400.0, 3000.0])
def test_good_version_is_completed_in_time(rate: float, duration_s: float) -> None:
    """A good version would miss its deadline."""
    played = play(lambda now: rate, duration_s)
    assert played.is_completed
    assert duration_s - 21 <= played.at_s <= duration_s


@pytest.mark.parametrize("turns_at", [10.0, 30.0, 50.0])
@pytest.mark.parametrize("factor", [0.1, 3.0])
def test_load_that_changes_leaves_a_bad_version_in_bound(
    turns_at: float, factor: float
) -> None:
    """A share planned by a load that then falls would exceed the bound."""
    for bad_at in range(0, 60, 2):
        played = play(
            lambda now: 100.0 * (factor if now > turns_at else 1.0), 60.0, bad_at
        )
        assert played.exposure <= 1.0


def test_whole_load_is_watched_before_the_end() -> None:
    """A version that is bad only under the whole load would be completed at once."""
    schedule, evidence = Schedule(), Evidence(old_sent=100_000, new_sent=3_000)

    def plan(now: float, verdict: Verdict) -> Step:
        judgement = Judgement(verdict)
        return schedule.plan(now, 0.0, 600.0, BOUNDS, evidence, judgement, 0, True)

    assert plan(590.0, Verdict.SOUND).is_last
    assert not plan(592.0, Verdict.SOUND).is_due
    assert plan(595.0, Verdict.UNDECIDED).is_due
    stopped = plan(595.5, Verdict.BAD)
    assert stopped.share == 0.0 and stopped.is_due and not stopped.is_last


def test_undecided_version_is_not_completed() -> None:
    """A version would take all traffic though nothing is known of it."""
    assert not play(lambda now: 0.3, 60.0).is_completed


def test_no_share_without_target() -> None:
    """Requests would wait for servers that aren't there yet."""
    step = Schedule().plan(
        1.0,
        0.0,
        60.0,
        BOUNDS,
        Evidence(old_sent=100),
        Judgement(Verdict.UNDECIDED),
        old_open=0,
        all_switched=True,
        has_target=False,
    )
    assert step.share == 0.0 and not step.is_due


@given(st.lists(st.tuples(st.sampled_from(Verdict), st.integers(0, 500)), max_size=60))
def test_step_numbers_follow_changes(looks: list[tuple[Verdict, int]]) -> None:
    """An entry would take an older step for a newer one, or miss a change."""
    schedule = Schedule(number=7)
    seen = 0
    steps = []
    for i, (verdict, answers) in enumerate(looks):
        seen += answers
        evidence = Evidence(old_sent=seen, new_sent=seen // 30)
        steps.append(
            schedule.plan(
                i, 0.0, 60.0, BOUNDS, evidence, Judgement(verdict), answers, False
            )
        )
        if verdict is Verdict.BAD:
            assert steps[-1].share == 0.0 and not steps[-1].is_last
        if steps[-1].is_last:
            assert i >= 60.0 - max(MIN_LAST_S, 30.0)
    for before, after in zip(steps, steps[1:], strict=False):
        assert after.number == before.number + (before != after)


@given(st.sets(st.text(min_size=1, max_size=8), max_size=30), st.floats(0, 1))
def test_chosen_upstreams_only_grow_with_the_share(
    names: set[str], share: float
) -> None:
    """Warm upstreams would be left for cold ones at each step."""
    chosen = choose_upstreams(sorted(names), share)
    larger = choose_upstreams(sorted(names, reverse=True), min(1.0, share + 0.2))
    assert not larger or chosen == larger[: len(chosen)]
    assert not chosen or max(2, share * len(names)) <= len(chosen) < len(names)
    groups = {find_group(name) for name in names}
    assert not chosen or len({*map(find_group, chosen)}) == min(
        len(chosen), len(groups)
    )
    assert choose_upstreams(sorted(names), 1.0) == ()
