"""Bounds the retries of an entry, so that an outage does not feed itself.

Each first try earns a part of a retry; a retry spends a whole one. Backoff doubles with
each attempt and is drawn between nothing and its bound ("full jitter"). A retry that
could not start before the request's deadline is not made.
"""

from random import Random

RETRY_RATIO = 0.1  # retries earned by one first try
LARGEST_BUDGET = 10.0  # retries, so that a quiet time saves up only this much
FIRST_BUDGET = 3.0  # retries of an entry that has just started
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 2.0


class RetryBudget:
    """A token bucket that is filled by first tries and emptied by retries."""

    __slots__ = ("_balance", "_random", "ratio")

    def __init__(self, seed: int, ratio: float = RETRY_RATIO) -> None:
        self.ratio = ratio
        self._balance = FIRST_BUDGET
        self._random = Random(seed)

    def note_first_try(self) -> None:
        """Earns a part of a retry."""
        self._balance = min(LARGEST_BUDGET, self._balance + self.ratio)

    def plan_retry(
        self, tries: int, now: float, deadline: float, retry_after_s: float = 0.0
    ) -> float | None:
        """Finds the time of the next try and spends a retry, or gives None.

        ``tries`` counts those already made, ``retry_after_s`` is the hint of the last
        refusal where the same upstream would be asked again.
        """
        bound = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (tries - 1))
        at = now + max(retry_after_s, self._random.uniform(0.0, bound))
        if at >= deadline or self._balance < 1.0:
            return None
        self._balance -= 1.0
        return at
