"""Spaces the requests to a cold upstream, so that all entries together don't flood it.

A few entries send one request each every ``members / rate`` seconds, or less often
where that many of each could meet in one second. The first one goes at a random point
of that interval, so that entries that learn of a cold upstream at the same moment don't
all send at once.

Many entries could all have a request due at the same moment, more than the upstream can
take in a second. They take turns: in each second by the time of day, some of them may
send one request each to that upstream. So few have their turn that the turns of three
seconds together stay within the upstream's limit. A second at the upstream touches two
turns, or three where the entries' clocks differ by up to a second.
"""

from random import Random

from msgspec import Struct
from xxhash import xxh3_64_intdigest

SAFE_FRACTION = 0.75  # of that rate; the rest covers entries that are not listed yet
TURN_S = 1.0  # the limit is on requests a second
TURNS_AT_ONCE = 3  # whose requests can reach an upstream within one second


class ColdStartBounds(Struct, frozen=True):
    """A cold upstream can take ``rate * factor + slack`` requests a second."""

    factor: float
    slack: float


class Place(Struct, frozen=True):
    """An entry's place among those that share limits, and its time of day.

    ``rank`` counts from zero in an order that all entries agree on.
    """

    rank: int
    members: int
    time_of_day: float


class ColdStartPacer:
    """When this entry may next send to each cold upstream."""

    __slots__ = ("_bounds", "_next", "_random", "_turns_used")

    def __init__(self, bounds: ColdStartBounds, random: Random) -> None:
        self._bounds = bounds
        self._random = random
        self._next: dict[str, float] = {}
        self._turns_used: dict[str, int] = {}

    def may_send(self, upstream: str, per_s: float, place: Place, now: float) -> bool:
        """Return whether a request may go to a cold upstream now."""
        limit = self._compute_limit(per_s)
        if place.members > limit:
            return self._has_turn(upstream, limit, place)
        at = self._next.get(upstream)
        if at is None:
            interval_s = self._compute_interval(limit, place.members)
            at = now + self._random.random() * interval_s
            self._next[upstream] = at
        return at <= now

    def record_send(
        self, upstream: str, per_s: float, place: Place, now: float
    ) -> None:
        """Record a request that goes to a cold upstream."""
        limit = self._compute_limit(per_s)
        self._next[upstream] = now + self._compute_interval(limit, place.members)
        self._turns_used[upstream] = compute_turn(place)

    @property
    def is_empty(self) -> bool:
        """Whether no upstream is known to be cold."""
        return not self._next and not self._turns_used

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is warm or gone."""
        self._next.pop(upstream, None)
        self._turns_used.pop(upstream, None)

    def _has_turn(self, upstream: str, limit: float, place: Place) -> bool:
        turn = compute_turn(place)
        if self._turns_used.get(upstream) == turn:
            return False
        at_once = max(1, int(limit / TURNS_AT_ONCE))
        first = turn * at_once + xxh3_64_intdigest(upstream.encode())
        return (place.rank - first) % place.members < at_once

    def _compute_limit(self, per_s: float) -> float:
        return per_s * self._bounds.factor + self._bounds.slack

    def _compute_interval(self, limit: float, members: int) -> float:
        """Return a spacing at which no second can hold more than the limit."""
        members = max(1, members)
        each = max(1, int(limit / members))
        return max(members / (SAFE_FRACTION * limit), TURN_S / each)


def compute_turn(place: Place) -> int:
    """Return the number of the present turn, which all entries count alike."""
    return int(place.time_of_day // TURN_S)
