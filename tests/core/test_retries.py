"""The retry budget: bounded extra load, jittered backoff, no retry past a deadline."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core import retries
from masticdrum.core.retries import RetryBudget

FIXED = settings(derandomize=True, max_examples=200, deadline=None)


@FIXED
@given(st.integers(0, 2**32), st.lists(st.booleans(), max_size=400))
def test_failures_cost_a_tenth_more_work_at_most(seed: int, tried: list[bool]) -> None:
    budget = RetryBudget(seed)
    first_tries = made = 0
    for is_first in tried:
        if is_first:
            first_tries += 1
            budget.record_first_try(1)
        elif budget.plan_retry(1, False, 0.0, 60.0) is not None:
            made += 1
        allowed = retries.INITIAL_BALANCE + retries.RETRY_RATIO * first_tries
        assert made <= allowed + 1e-6


@FIXED
@given(st.integers(0, 2**32), st.integers(1, 12), st.floats(0.0, 5.0))
def test_a_retry_is_jittered_and_before_the_deadline(
    seed: int, tries: int, left: float
) -> None:
    budget = RetryBudget(seed)
    at = budget.plan_retry(tries, False, 100.0, 100.0 + left)
    if at is None:
        assert budget.balance == retries.INITIAL_BALANCE
        return
    bound = min(retries.MAX_BACKOFF_S, retries.BASE_BACKOFF_S * 2 ** (tries - 1))
    assert 100.0 <= at <= 100.0 + bound and at < 100.0 + left


def test_the_balance_covers_a_quarter_of_the_open_requests() -> None:
    budget = RetryBudget(1)
    for _ in range(5000):
        budget.record_first_try(480)
    moved = sum(budget.plan_retry(1, False, 0.0, 60.0) is not None for _ in range(480))
    assert moved == 120


def test_a_refused_request_is_retried_at_once() -> None:
    assert RetryBudget(1).plan_retry(1, True, 5.0, 60.0) == 5.0
