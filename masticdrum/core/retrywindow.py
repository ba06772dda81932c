"""Bounds the sends beyond the first of each request, over all entries together.

The bound holds for any span of ``window_s``: ``ratio`` times the requests of a service
plus ``extra``. Each entry counts its own requests and takes its part of ``extra``, so
that nothing has to be asked before a send.
"""

from collections import deque

from msgspec import Struct

SAFE_PART = 0.8  # of the bound; the rest covers members that are not seen yet


class RetryBounds(Struct, frozen=True):
    """The bound on one service's repeated sends; ``window_s`` is in seconds."""

    ratio: float
    window_s: float
    extra: float


class RetryWindow:
    """One service's requests and repeated sends at this entry."""

    __slots__ = ("_bounds", "_repeats", "_requests")

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._forget(now)
        self._requests.append(now)

    def take(self, members: int, now: float) -> bool:
        """Spend one repeated send if the bound allows it."""
        self._forget(now)
        allowed = self._bounds.ratio * len(self._requests)
        allowed += self._bounds.extra / max(1, members)
        if len(self._repeats) + 1 > SAFE_PART * allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        since = now - self._bounds.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < since:
                times.popleft()
