"""Adapts the limit on concurrent runs to the upstream's token rate.

A load report arrives too late to prevent an overload. The gap between tokens shows it
at once, since it grows with the number of runs that share a batch. The limit is
multiplied by ``DECREASE`` when the average gap is too long or the upstream rejects a
run. It rises by one after as many runs as the limit have ended with a short enough gap.
"""

MAX_TOKEN_GAP_S = 0.055  # a longer average gap between tokens is an overload
SMOOTHING = 0.1  # weight of the newest gap in the moving average
DECREASE = 0.9  # factor on the limit at an overload
COOLDOWN_S = 2.0  # between two decreases
MIN_LIMIT = 4  # the limit never falls below this, or below a lower ceiling


class AdaptiveLimit:
    """A limit on concurrent runs that follows the observed gap between tokens."""

    __slots__ = ("_decreased_at", "_good_ends", "ceiling", "limit", "token_gap_s")

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.limit = ceiling
        self.token_gap_s = 0.0
        self._good_ends = 0
        self._decreased_at = float("-inf")

    def resize(self, ceiling: int) -> None:
        """Apply a pool's new ceiling."""
        if self.limit == self.ceiling:
            self.limit = ceiling
        self.ceiling = ceiling
        self.limit = min(self.limit, ceiling)

    def observe(self, gap_s: float, tokens: int, now: float) -> None:
        """Observe the time since a run's previous tokens and the number of new ones."""
        if tokens < 1:
            return
        self.token_gap_s += SMOOTHING * (gap_s / tokens - self.token_gap_s)
        if self.token_gap_s > MAX_TOKEN_GAP_S:
            self.decrease(now)

    def decrease(self, now: float) -> None:
        """Lower the limit, at most once in a cooldown."""
        if now - self._decreased_at < COOLDOWN_S:
            return
        self._decreased_at = now
        self._good_ends = 0
        floor = min(MIN_LIMIT, self.ceiling)
        self.limit = max(floor, int(self.limit * DECREASE))

    def end(self) -> None:
        """Count a run that ended successfully."""
        if self.token_gap_s > MAX_TOKEN_GAP_S:
            return
        self._good_ends += 1
        if self._good_ends < self.limit:
            return
        self._good_ends = 0
        self.limit = min(self.ceiling, self.limit + 1)
