"""Tells for how long tables of each serial have been replaced by newer ones here."""

from collections import deque


class TableInstalls:
    """When tables were put in force here; times are in seconds.

    Only what decides about the last ``stale_s`` is kept.
    """

    __slots__ = ("_installs", "_stale_s")

    def __init__(self, stale_s: float) -> None:
        self._stale_s = stale_s
        self._installs: deque[tuple[int, float]] = deque()

    def record(self, serial: int, now: float) -> None:
        """Record that tables are in force whose serial is no lower than before."""
        self._installs.append((serial, now))
        while len(self._installs) > 1 and self._is_over(self._installs[1][1], now):
            self._installs.popleft()

    def is_stale(self, serial: int, now: float) -> bool:
        """Return whether tables have been replaced for longer than ``stale_s``."""
        newer = (at for known, at in self._installs if known > serial)
        first_at = next(newer, None)
        return first_at is not None and self._is_over(first_at, now)

    def _is_over(self, at: float, now: float) -> bool:
        return now - at > self._stale_s
