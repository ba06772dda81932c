"""Spaces the requests to a cold upstream, so that all entries together stay bearable.

Each entry sends one request every ``members / rate`` seconds, beginning at a random
point of that span, so that entries that learn of a cold upstream at the same moment
don't send at the same moment.
"""

from random import Random

from msgspec import Struct

SAFE_PART = 0.75  # of the bearable rate; the rest covers members not seen yet


class ColdBounds(Struct, frozen=True):
    """A cold upstream bears ``rate * factor + slack`` requests in a second."""

    factor: float
    slack: float


class ColdPace:
    """When this entry may next send to each upstream that is cold."""

    __slots__ = ("_bounds", "_next", "_random")

    def __init__(self, bounds: ColdBounds, random: Random) -> None:
        self._bounds = bounds
        self._random = random
        self._next: dict[str, float] = {}

    def find_next(self, upstream: str, per_s: float, members: int, now: float) -> float:
        """Return when a request may go to a cold upstream, in seconds."""
        at = self._next.get(upstream)
        if at is None:
            at = now + self._random.random() * self._find_span(per_s, members)
            self._next[upstream] = at
        return at

    def note(self, upstream: str, per_s: float, members: int, now: float) -> None:
        """Count a request that goes to a cold upstream."""
        self._next[upstream] = now + self._find_span(per_s, members)

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is warm or gone."""
        self._next.pop(upstream, None)

    def _find_span(self, per_s: float, members: int) -> float:
        rate = per_s * self._bounds.factor + self._bounds.slack
        return max(1, members) / (SAFE_PART * rate)
