"""Limits the retries of an entry, so that retries don't amplify an outage.

Each first try earns a fraction of a retry. A retry after a failure, whose work may be
lost, costs a whole one; a retry after a refusal, which cost one message, costs a
fraction. The balance is capped at a share of the open requests, so that streams can
move when that share of the upstreams is lost at once. The bound of the backoff doubles
with each attempt, and the delay is drawn between zero and the bound ("full jitter").
No retry starts after the deadline.
"""

from random import Random

RETRY_RATIO = 0.1  # retries earned by one first try
FAILURE_COST = 1.0  # retries
REFUSAL_COST = 0.1  # retries
BURST_PER_OPEN_REQUEST = 0.25  # retries saved at most
MIN_BURST = 10.0  # retries saved at most, however few requests are open
INITIAL_BALANCE = 3.0  # retries of an entry that has just started
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """A token bucket that is filled by first tries and emptied by retries."""

    __slots__ = ("_random", "balance")

    def __init__(self, seed: int) -> None:
        self.balance = INITIAL_BALANCE
        self._random = Random(seed)

    def record_first_try(self, open_requests: int) -> None:
        """Add the fraction of a retry that a first try earns."""
        capacity = max(MIN_BURST, BURST_PER_OPEN_REQUEST * open_requests)
        self.balance = min(capacity, self.balance + RETRY_RATIO)

    def plan_retry(
        self, tries: int, refused: bool, now: float, deadline: float
    ) -> float | None:
        """Return the time of the next try and charge its cost, or return None.

        ``tries`` counts those already made. A refused request may be sent to another
        upstream at once, since it did not run.
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
