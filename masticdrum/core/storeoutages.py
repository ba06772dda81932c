"""Counts the time in which the platform's store could be reached.

Engines are ordered to load weights only while the store can be reached, so the bound on
superseded weights counts that time alone. An outage counts from the first failed read
until well before the first good one, since it ends before a process notices, and not
while this process stood still.
"""

from collections import deque

OUTAGE_S = 2.0  # a shorter silence may be one slow answer
NOTICE_S = 2.5  # until a store that is back is noticed: a call's timeout and a pause
MAX_GAP_S = 1.0  # between two ticks of a process that runs
MAX_OUTAGES = 16  # earlier ones count as time in which the store could be reached


class StoreOutages:
    """The outages of the store, as one process noticed them; times are in seconds."""

    __slots__ = ("_lost_at", "_outages", "_seen_at")

    def __init__(self) -> None:
        self._outages: deque[tuple[float, float]] = deque(maxlen=MAX_OUTAGES)
        self._lost_at: float | None = None
        self._seen_at = 0.0

    def record_lost(self, now: float) -> None:
        """Record that the store can't be reached."""
        if self._lost_at is None:
            self._lost_at = self._seen_at = now

    def record_regained(self, now: float) -> None:
        """Record that the store can be reached again."""
        self.observe(now)
        self._close()
        self._lost_at = None

    def observe(self, now: float) -> None:
        """Record that this process runs; called several times a second."""
        if self._lost_at is None:
            return
        if now - self._seen_at > MAX_GAP_S:
            # The store may have been back while this process stood still.
            self._close()
            self._lost_at = now
        self._seen_at = now

    def is_out(self, now: float) -> bool:
        """Return whether the store is in an outage that is no slow answer."""
        if self._lost_at is None or now - self._seen_at > MAX_GAP_S:
            return False
        return now - self._lost_at >= OUTAGE_S

    def rewind(self, now: float, reached_s: float) -> float:
        """Return since when the store could be reached for ``reached_s`` in all."""
        at, left_s = now, reached_s
        for begun, ended in reversed(self._list_outages()):
            if at - ended >= left_s:
                break
            left_s -= at - ended
            at = begun
        return at - left_s

    def _list_outages(self) -> list[tuple[float, float]]:
        return [*self._outages, *self._find_present()]

    def _find_present(self) -> list[tuple[float, float]]:
        if self._lost_at is None or self._seen_at - NOTICE_S <= self._lost_at:
            return []
        return [(self._lost_at, self._seen_at - NOTICE_S)]

    def _close(self) -> None:
        self._outages.extend(self._find_present())
