"""Ends prompts that still wait at their engine when they may not begin there any more.

They go on elsewhere if they may be repeated, since they may have begun unseen.
"""

from masticdrum.core.exchanges import end_attempt
from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.core.scopechoice import is_divided
from masticdrum.core.weightsbound import may_begin, set_timer
from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    ExchangeEffect,
    StopAttempt,
)


def end_late_start(
    state: ExchangeState, handle: int, now: float
) -> list[ExchangeEffect]:
    """End an attempt before it begins on weights that are superseded for too long."""
    exchange = state.exchanges.get(handle)
    if exchange is None or exchange.attempt is None:
        return []
    if may_begin(state, exchange, now):
        set_timer(state, exchange, now)
        return []
    return _withdraw(state, exchange, "weights superseded for too long", now)


def end_divided_start(
    state: ExchangeState, handle: int, now: float
) -> list[ExchangeEffect]:
    """End an attempt before it uses KV cache of a workspace that is isolated now."""
    exchange = state.exchanges.get(handle)
    if exchange is None or not is_divided(exchange, state.cluster_state.index):
        return []
    return _withdraw(state, exchange, "a workspace of its scope is isolated", now)


def _withdraw(
    state: ExchangeState, exchange: Exchange, reason: str, now: float
) -> list[ExchangeEffect]:
    """End an exchange's attempt before it begins."""
    if exchange.attempt is None:
        return []
    handle, number = exchange.handle, exchange.attempt.number
    withdrawn = AttemptEnded(handle, number, AttemptEnd.WITHDRAWN, detail=reason)
    return [StopAttempt(handle, number), *end_attempt(state, withdrawn, now)]
