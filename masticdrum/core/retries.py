"""Bounds the retries of an entry, so that an outage does not feed itself.

Each first try earns a part of a retry. A retry after a failure, whose work may be lost,
spends a whole one; a retry after a refusal, which cost one message, spends a part.
Savings are bounded by a share of the open requests, so that streams can move when that
share of the upstreams goes at once. Backoff doubles with each attempt and is drawn
between nothing and its bound ("full jitter"). No retry starts after the deadline.
"""

from random import Random

RETRY_RATIO = 0.1  # retries earned by one first try
FAILURE_COST = 1.0  # retries
REFUSAL_COST = 0.1  # retries
BURST_PER_OPEN_REQUEST = 0.25  # of the open requests
MIN_BURST = 10.0  # retries, however few requests are open
INITIAL_BALANCE = 3.0  # retries of an entry that has just started
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """A token bucket that is filled by first tries and emptied by retries."""

    __slots__ = ("_random", "balance")

    def __init__(self, seed: int) -> None:
        self.balance = INITIAL_BALANCE
        self._random = Random(seed)

    def note_first_try(self, open_requests: int) -> None:
        """Earns a part of a retry."""
        capacity = max(MIN_BURST, BURST_PER_OPEN_REQUEST * open_requests)
        self.balance = min(capacity, self.balance + RETRY_RATIO)

    def plan_retry(
        self, tries: int, refused: bool, now: float, deadline: float
    ) -> float | None:
        """Find the time of the next try and spend for it, or give None.

        ``tries`` counts those already made. A refused request may go elsewhere at
        once, since it did not run.
        """
        cost = REFUSAL_COST if refused else FAILURE_COST
        at = now if refused else now + self._draw_backoff(tries)
        if at >= deadline or self.balance < cost:
            return None
        self.balance -= cost
        return at

    def _draw_backoff(self, tries: int) -> float:
        bound = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** (tries - 1))
        return self._random.uniform(0.0, bound)
