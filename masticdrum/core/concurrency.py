"""Adapts the number of runs to the pace at which the upstream gives tokens.

A load report comes too late to prevent an overload. The time between tokens is seen at
once: it rises with the number of runs that share a batch. The limit falls by a part
when tokens come too slowly, or when the upstream refuses a run, and rises by one for
each round of runs that end at a good pace.
"""

SLOWEST_PACE_S = 0.055  # between tokens
SMOOTHING = 0.1  # the weight of the newest pace
DECREASE = 0.9  # the part of the limit that is kept on overload
COOLDOWN_S = 2.0  # between two decreases
FIRST_RUNS = 4  # the limit never falls below


class AdaptiveLimit:
    """A limit on concurrent runs that follows the observed pace of tokens."""

    __slots__ = ("_decreased_at", "_good_ends", "ceiling", "limit", "pace_s")

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.limit = ceiling
        self.pace_s = 0.0
        self._good_ends = 0
        self._decreased_at = float("-inf")

    def resize(self, ceiling: int) -> None:
        """Take over a pool's new ceiling."""
        if self.limit == self.ceiling:
            self.limit = ceiling
        self.ceiling = ceiling
        self.limit = min(self.limit, ceiling)

    def observe(self, gap_s: float, tokens: int, now: float) -> None:
        """Take in the time since a run's last tokens and the number of new ones."""
        if tokens < 1:
            return
        self.pace_s += SMOOTHING * (gap_s / tokens - self.pace_s)
        if self.pace_s > SLOWEST_PACE_S:
            self.decrease(now)

    def decrease(self, now: float) -> None:
        """Lowers the limit, at most once in a cooldown."""
        if now - self._decreased_at < COOLDOWN_S:
            return
        self._decreased_at = now
        self._good_ends = 0
        floor = min(FIRST_RUNS, self.ceiling)
        self.limit = max(floor, int(self.limit * DECREASE))

    def end(self) -> None:
        """Take in a run that ended well."""
        if self.pace_s > SLOWEST_PACE_S:
            return
        self._good_ends += 1
        if self._good_ends < self.limit:
            return
        self._good_ends = 0
        self.limit = min(self.ceiling, self.limit + 1)
