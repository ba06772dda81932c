"""Bounds the retries of requests, over all entries together.

The bound holds for any span of ``window_s``: ``ratio`` times the requests of a service
plus ``extra``. Each entry counts its own requests and uses its share of ``extra``, so
that no coordination is needed before a retry.
"""

from collections import deque

from msgspec import Struct

SAFE_FRACTION = 0.8  # of the bound; the rest covers entries that are not listed yet


class RetryBounds(Struct, frozen=True):
    """The bound on one service's retries; ``window_s`` is in seconds."""

    ratio: float
    window_s: float
    extra: float


class RetryWindow:
    """One service's requests and retries at this entry."""

    __slots__ = ("_bounds", "_retries", "_requests")

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record a caller's request."""
        self._drop_expired(now)
        self._requests.append(now)

    def try_acquire(self, members: int, now: float) -> bool:
        """Return whether the bound allows another retry, and count it if so."""
        self._drop_expired(now)
        allowed = self._bounds.ratio * len(self._requests)
        allowed += self._bounds.extra / max(1, members)
        if len(self._retries) + 1 > SAFE_FRACTION * allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        since = now - self._bounds.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < since:
                times.popleft()
