"""Plans the target's share of the traffic, so that a bad version gets few requests.

The bound is ``exposure_share`` of the requests between the order and its deadline, and
``exposure_slack`` more. A part of it may go to the target while it is tried, counted
against the requests seen so far, so the bound holds if the load falls. What is left of
``USED_PORTION`` is for the last step, at which all requests go there: it begins so
shortly before the deadline that it fits at the present load, but no later than
``MIN_LAST_S`` before.

In the worst case, a version that turns bad at any moment gets 0.94 of the bound under a
steady load, for an order of 30 s or longer and the default bound. Shorter ones have too
few requests for ``MIN_LAST_S`` of them: at 20 s it is 1.22 of the bound.

    schedule = Schedule()
    step = schedule.plan(
        now, began_at, 60.0, bounds, pooled.pool(), judgement, old_open, all_switched
    )
"""

from collections import deque
from collections.abc import Sequence
from math import ceil

from xxhash import xxh3_64_intdigest

from masticdrum.model.rollouts import UPSTREAM_GROUPS
from masticdrum.rollouts.evidence import find_group
from masticdrum.rollouts.interfaces import (
    Evidence,
    Judgement,
    RolloutBounds,
    Step,
    Verdict,
)

RAMP_PORTION = 0.35  # of what the bound allows by the requests seen so far
RAMP_SLACK_PORTION = 0.5  # of its slack
USED_PORTION = 0.9  # of the bound, by ramp and last step together
PROBE = 0.5  # of the ramp's share, for the first answers
PROBE_ANSWERS = 20
MAX_RAMP_SHARE = 0.5
MIN_RAMP_SHARE = 0.002
FIRST_SHARE = 0.01  # while the load isn't known
UNREPORTED_S = 2.0  # how long an answer typically takes to be counted
SAME_SHARE = 1.4  # shares closer than this factor aren't worth a step
PACE_S = 5.0  # in which the ramp's unused requests are given out
RATE_WINDOW_S = 5.0
MIN_LAST_S = 2.5  # all entries learn of the step, and its end is written
MAX_LAST_S = 20.0
WATCH_S = 5.0  # a fault that appears under the whole load is still found
DUE_S = 1.0  # before the deadline the final state is written
MIN_UPSTREAMS = 2


class Schedule:
    """The steps of one order; ``number`` is that of the last step before."""

    __slots__ = ("_history", "_last_began", "_step")

    def __init__(self, number: int = 0) -> None:
        self._last_began = 0.0
        self._step = Step(number, 0.0)
        self._history: deque[tuple[float, int]] = deque()

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
        has_target: bool = True,
    ) -> Step:
        """Return the step that holds from ``now`` on, in seconds of a steady clock.

        ``old_open`` is how many requests are open at the old side, ``all_switched``
        whether all entries have applied the last step. A step that is due but isn't the
        last one means that the target isn't to be completed.
        """
        deadline = began_at + duration_s
        rate = self._measure_rate(now, began_at, evidence)
        is_near = now >= deadline - DUE_S
        if judgement.verdict is Verdict.BAD:
            return self._take(0.0, is_due=True)
        if self._step.is_last:
            is_empty = all_switched and old_open == 0
            is_watched = now >= self._last_began + WATCH_S
            is_due = is_near or (is_empty and is_watched)
            return self._take(1.0, is_last=True, is_due=is_due)
        if is_near:
            return self._take(0.0, is_due=True)
        if not has_target:
            return self._take(0.0)
        last_s = choose_last_s(duration_s, bounds, evidence, rate, now - began_at)
        is_sound = judgement.verdict is Verdict.SOUND
        if is_sound and now >= deadline - last_s:
            self._last_began = now
            return self._take(1.0, is_last=True)
        unreported = self._step.share * rate * UNREPORTED_S
        share = choose_ramp_share(bounds, evidence, rate, unreported, is_sound)
        if evidence.new_sent < PROBE_ANSWERS and now < began_at + duration_s / 2:
            share *= PROBE
        return self._take(self._keep_similar(share))

    def _measure_rate(self, now: float, began_at: float, evidence: Evidence) -> float:
        """Return the requests a second, lately or on average, whichever is more."""
        seen = evidence.old_sent + evidence.new_sent
        self._history.append((now, seen))
        while len(self._history) > 2 and self._history[1][0] <= now - RATE_WINDOW_S:
            self._history.popleft()
        since, before = self._history[0]
        lately = (seen - before) / (now - since) if now > since else 0.0
        average = seen / (now - began_at) if now > began_at else 0.0
        return max(lately, average)

    def _keep_similar(self, share: float) -> float:
        """Return the present share if another one differs little from it."""
        if share < MIN_RAMP_SHARE:
            return 0.0
        present = self._step.share
        if present / SAME_SHARE <= share <= present * SAME_SHARE:
            return present
        return share

    def _take(self, share: float, is_last: bool = False, is_due: bool = False) -> Step:
        present = self._step
        if (share, is_last, is_due) != (present.share, present.is_last, present.is_due):
            self._step = Step(present.number + 1, share, is_last, is_due)
        return self._step


def choose_ramp_share(
    bounds: RolloutBounds,
    evidence: Evidence,
    rate: float,
    unreported: float,
    is_sound: bool,
) -> float:
    """Return the share that uses up what the ramp may send in ``PACE_S``.

    ``unreported`` is how many requests were sent to the target and aren't counted yet.
    Until the target is known to be sound, all that the last step can spare is used.
    """
    seen = evidence.old_sent + evidence.new_sent
    if seen == 0:
        return FIRST_SHARE
    allowed = (
        RAMP_PORTION * bounds.exposure_share * seen
        + RAMP_SLACK_PORTION * bounds.exposure_slack
    )
    if not is_sound:
        bound = bounds.exposure_share * seen + bounds.exposure_slack
        allowed = max(allowed, USED_PORTION * bound - rate * MIN_LAST_S)
    unused = max(0.0, allowed - evidence.new_sent - unreported)
    return min(MAX_RAMP_SHARE, unused / max(1.0, rate * PACE_S))


def choose_last_s(
    duration_s: float,
    bounds: RolloutBounds,
    evidence: Evidence,
    rate: float,
    elapsed_s: float,
) -> float:
    """Return how long before the deadline all requests may go to the target."""
    seen = evidence.old_sent + evidence.new_sent
    expected = seen + rate * max(0.0, duration_s - elapsed_s)
    bound = bounds.exposure_share * expected + bounds.exposure_slack
    left = USED_PORTION * bound - evidence.new_sent
    bearable_s = left / rate if rate > 0 else MAX_LAST_S
    return max(MIN_LAST_S, min(MAX_LAST_S, duration_s / 2, bearable_s))


def choose_upstreams(names: Sequence[str], share: float) -> tuple[str, ...]:
    """Return the upstreams that take a share, so that each has its usual load.

    They are a prefix of one order of the names, by turns from each group, so a larger
    share adds some and drops none. At least two are chosen. None at all means that
    every one is to be used.
    """
    count = max(MIN_UPSTREAMS, ceil(share * len(names)))
    if share >= 1.0 or count >= len(names):
        return ()
    by_group: list[list[str]] = [[] for _ in range(UPSTREAM_GROUPS)]
    for name in sorted(set(names), key=lambda name: xxh3_64_intdigest(name.encode())):
        by_group[find_group(name)].append(name)
    turns = [
        (turn, group, name)
        for group, members in enumerate(by_group)
        for turn, name in enumerate(members)
    ]
    return tuple(name for _, _, name in sorted(turns)[:count])
