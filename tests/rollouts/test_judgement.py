"""Bad versions are found soon, and sound ones pass, through other trouble as well."""

from collections.abc import Callable
from math import log
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct

from masticdrum.rollouts.evidence import EntryTallies, PooledEvidence, make_side
from masticdrum.rollouts.interfaces import (
    Evidence,
    Judgement,
    RouteEvidence,
    SideEvidence,
    Verdict,
)
from masticdrum.rollouts.judgement import Judge, judge
from masticdrum.rollouts.schedule import choose_upstreams

SEEDS = range(8)
TICK_S = 0.5
ROUTES = {"report": (40.0, 1.0), "note": (30.0, 0.4), "lookup": (6.0, 0.1)}
UPSTREAMS = 8
NAMES = [f"new-{i}" for i in range(UPSTREAMS)]
TWO_UPSTREAMS = [NAMES.index(name) for name in choose_upstreams(NAMES, 0.1)]


class Answer(Struct):
    """A request about to be answered; faults change what it meets."""

    at: float
    route: str
    is_target: bool
    upstream: int
    failing: float = 0.005  # chance
    slower: float = 1.0


Fault = Callable[[Answer, Random], None]


class Run(Struct):
    """How a version fared: the verdict, when, and its bad answers until then."""

    judgement: Judgement
    at: float
    bad: int


def play(seed: int, fault: Fault, share: float = 0.1, last_s: float = 150.0) -> Run:
    """Judge every tick until the target is found bad or the time is over."""
    rng = Random(seed)
    tested, tallies, bad = Judge(), EntryTallies(), 0
    judgement = Judgement(Verdict.UNDECIDED)
    now = 0.0
    while now < last_s and judgement.verdict is not Verdict.BAD:
        now += TICK_S
        for route, (rate, median_s) in ROUTES.items():
            for _ in range(int(rate * TICK_S * rng.uniform(0.7, 1.3) + rng.random())):
                is_target = rng.random() < share
                answer = Answer(now, route, is_target, rng.randrange(UPSTREAMS))
                fault(answer, rng)
                failed = rng.random() < answer.failing
                seconds = answer.slower * rng.lognormvariate(log(median_s), 0.3)
                name = f"{'new' if is_target else 'old'}-{answer.upstream}"
                tallies.record(route, is_target, name, seconds, failed)
                bad += is_target and (failed or answer.slower > 2)
        pooled = PooledEvidence()
        pooled.replace("entry", "1", tallies.snapshot())
        judgement = tested.observe(pooled.pool(), now)
    return Run(judgement, now, bad)


def be_sound(answer: Answer, rng: Random) -> None:
    """Change nothing."""


def fail_some(answer: Answer, rng: Random) -> None:
    """Let the target fail a fifth of its answers."""
    if answer.is_target:
        answer.failing = 0.2


def fail_late(answer: Answer, rng: Random) -> None:
    if answer.at > 40:
        fail_some(answer, rng)


def fail_one_route(answer: Answer, rng: Random) -> None:
    if answer.route == "lookup" and answer.is_target:
        answer.failing = 0.4


def slow_all(answer: Answer, rng: Random) -> None:
    if answer.is_target:
        answer.slower = 3.0


def slow_late(answer: Answer, rng: Random) -> None:
    if answer.at > 40:
        slow_all(answer, rng)


def slow_some(answer: Answer, rng: Random) -> None:
    if answer.is_target and rng.random() < 0.3:
        answer.slower = 4.0


def fail_under_load(answer: Answer, rng: Random) -> None:
    """Fail where an upstream gets much, so only at the few that take the share."""
    if answer.is_target and answer.upstream < 4:
        answer.failing = 0.4


BAD = [
    fail_some,
    fail_late,
    fail_one_route,
    slow_all,
    slow_late,
    slow_some,
    fail_under_load,
]


def burst(answer: Answer, rng: Random) -> None:
    """Slow both sides and let both fail, more and more."""
    if 20 < answer.at < 35:
        answer.slower = 1 + min(6.0, (answer.at - 20) * 0.8)
        answer.failing = min(0.4, (answer.at - 20) * 0.08)


def burst_at_once(answer: Answer, rng: Random) -> None:
    if 20 < answer.at < 35:
        answer.slower, answer.failing = 4.0, 0.3


def be_grey(answer: Answer, rng: Random) -> None:
    """Let one upstream of the target fail."""
    if answer.is_target and answer.upstream == 3 and answer.at > 10:
        answer.failing = 0.6


def be_grey_of_two(answer: Answer, rng: Random) -> None:
    """Let one of the only two upstreams that take the share fail."""
    if answer.is_target:
        answer.upstream = rng.choice(TWO_UPSTREAMS)
        answer.failing = 0.6 if answer.upstream == TWO_UPSTREAMS[0] else 0.005


def be_grey_at_old(answer: Answer, rng: Random) -> None:
    if not answer.is_target and answer.upstream == 3:
        answer.failing = 0.6


def be_somewhat_slower(answer: Answer, rng: Random) -> None:
    """Let the target stand in a more distant data centre, or have colder caches."""
    if answer.is_target:
        answer.slower = 1.3


def slow_zone(answer: Answer, rng: Random) -> None:
    """Slow the upstreams of one data centre at both sides, at once."""
    if answer.upstream < 3 and answer.at > 20:
        answer.slower = 4.0


SOUND = [
    be_sound,
    burst,
    burst_at_once,
    be_grey,
    be_grey_of_two,
    be_grey_at_old,
    be_somewhat_slower,
    slow_zone,
]


@pytest.mark.parametrize("fault", BAD)
def test_bad_version_is_found_soon(fault: Fault) -> None:
    """A bad version would get requests past its fiftieth bad answer."""
    runs = [play(seed, fault) for seed in SEEDS]
    assert [run.judgement.verdict for run in runs] == [Verdict.BAD] * len(SEEDS)
    assert max(run.bad for run in runs) < 50


@pytest.mark.parametrize("fault", SOUND)
def test_sound_version_passes(fault: Fault) -> None:
    """A sound version would be rolled back for trouble that isn't its own."""
    verdicts = [play(seed, fault).judgement for seed in SEEDS]
    assert [v for v in verdicts if v.verdict is not Verdict.SOUND] == []


counts = st.lists(st.integers(0, 300), min_size=4, max_size=4)
latencies = st.lists(st.integers(0, 300), min_size=24, max_size=24)
sides = st.builds(SideEvidence, counts, counts, latencies)
routes = st.dictionaries(
    st.sampled_from("abc"), st.builds(RouteEvidence, sides, sides), max_size=3
)


@given(st.lists(routes, max_size=6))
def test_no_counts_end_the_judge(looks: list[dict[str, RouteEvidence]]) -> None:
    """Counts that fall after a takeover, or failures alone, would end the decider."""
    tested = Judge()
    verdicts = [
        tested.observe(
            Evidence(
                by_route,
                sum(sum(both.old.answered) for both in by_route.values()),
                sum(sum(both.new.answered) for both in by_route.values()),
            ),
            float(now),
        ).verdict
        for now, by_route in enumerate(looks)
    ]
    if Verdict.BAD in verdicts:
        assert set(verdicts[verdicts.index(Verdict.BAD) :]) == {Verdict.BAD}


@given(routes)
def test_nothing_is_said_without_answers(by_route: dict[str, RouteEvidence]) -> None:
    """A version that never answered would be completed or rolled back."""
    for both in by_route.values():
        both.new = make_side()
    sent = sum(sum(both.old.answered) for both in by_route.values())
    assert judge(Evidence(by_route, sent, 0)).verdict is Verdict.UNDECIDED
