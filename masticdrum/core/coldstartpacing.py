"""Spaces the requests to a cold upstream, so that all entries together don't flood it.

Each entry sends one request every ``members / rate`` seconds. The first one is sent at
a random point of that interval, so that entries that learn of a cold upstream at the
same moment don't all send at once.
"""

from random import Random

from msgspec import Struct

SAFE_FRACTION = 0.75  # of that rate; the rest covers entries that are not listed yet


class ColdStartBounds(Struct, frozen=True):
    """A cold upstream can take ``rate * factor + slack`` requests a second."""

    factor: float
    slack: float


class ColdStartPacer:
    """When this entry may next send to each cold upstream."""

    __slots__ = ("_bounds", "_next", "_random")

    def __init__(self, bounds: ColdStartBounds, random: Random) -> None:
        self._bounds = bounds
        self._random = random
        self._next: dict[str, float] = {}

    def compute_next_send(
        self, upstream: str, per_s: float, members: int, now: float
    ) -> float:
        """Return when a request may go to a cold upstream, in seconds."""
        at = self._next.get(upstream)
        if at is None:
            at = now + self._random.random() * self._compute_interval(per_s, members)
            self._next[upstream] = at
        return at

    def record_send(
        self, upstream: str, per_s: float, members: int, now: float
    ) -> None:
        """Record a request that goes to a cold upstream."""
        self._next[upstream] = now + self._compute_interval(per_s, members)

    @property
    def is_empty(self) -> bool:
        """Whether no upstream is known to be cold."""
        return not self._next

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is warm or gone."""
        self._next.pop(upstream, None)

    def _compute_interval(self, per_s: float, members: int) -> float:
        rate = per_s * self._bounds.factor + self._bounds.slack
        return max(1, members) / (SAFE_FRACTION * rate)
