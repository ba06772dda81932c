"""Bounds until when prompts may be sent to superseded weights, and begin on them.

A prompt waits at its engine before it begins, so nothing is sent for some time before
the bound. One that still waits there shortly before the bound is ended in time. Only
streams show when they begin.
"""

from masticdrum.core.clusterstate import KnownUpstream
from masticdrum.core.exchangeclose import WEIGHTS
from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.model.directory import RouteKind

RECHECK_S = 0.2  # while an outage of the store puts the bound off


def filter_by_weights(
    state: ExchangeState, usable: list[KnownUpstream], exchange: Exchange, now: float
) -> list[KnownUpstream]:
    """Return the upstreams whose weights a prompt may be sent to.

    One that can't go on elsewhere is sent to those at which it is expected to begin
    before the bound, if there are any.
    """
    if exchange.prompt is None:
        return usable
    cluster_state, bounds = state.cluster_state, state.bounds
    superseded, outages = cluster_state.superseded, cluster_state.outages
    model = exchange.prompt.model
    oldest = superseded.find_oldest(model, now - bounds.weights_s)
    current = _select_weights(usable, model, oldest)
    if current and not exchange.route.repeatable:
        begins_at = now + exchange.expected_s
        oldest = superseded.find_oldest(model, begins_at - bounds.weights_begin_s)
        return _select_weights(current, model, oldest) or current
    if current or not usable:
        return current
    # While the store can't be reached no engine can be told to load weights, and older
    # ones are better than none.
    if outages.is_out(now):
        return usable
    oldest = superseded.find_oldest(model, outages.rewind(now, bounds.weights_s))
    return _select_weights(usable, model, oldest)


def set_timer(state: ExchangeState, exchange: Exchange, now: float) -> None:
    """Set when an exchange's attempt is ended if it has not begun a stream."""
    attempt, prompt = exchange.attempt, exchange.prompt
    if attempt is None or prompt is None or attempt.begun_at is not None:
        return
    if exchange.route.kind is not RouteKind.STREAM:
        return
    superseded = state.cluster_state.superseded
    superseded_at = superseded.find_superseded_at(prompt.model, attempt.weights)
    if superseded_at is None:
        return
    due_at = superseded_at + state.bounds.weights_begin_s
    state.timers.set((WEIGHTS, exchange.handle), max(due_at, now + RECHECK_S))


def set_timers(state: ExchangeState, model: str, now: float) -> None:
    """Set the timers of all prompts that wait, since newer weights were named."""
    for exchange in state.exchanges.values():
        if exchange.prompt is not None and exchange.prompt.model == model:
            set_timer(state, exchange, now)


def may_begin(state: ExchangeState, exchange: Exchange, now: float) -> bool:
    """Return whether an exchange's attempt may still begin at its upstream."""
    attempt, prompt = exchange.attempt, exchange.prompt
    if attempt is None or prompt is None:
        return True
    weights = attempt.weights
    known = state.cluster_state.known.get(attempt.upstream)
    if known is not None and known.upstream.born == attempt.born:
        weights = max(weights, known.upstream.weights.get(prompt.model, 0))
    cluster_state, bound_s = state.cluster_state, state.bounds.weights_begin_s
    superseded, outages = cluster_state.superseded, cluster_state.outages
    if outages.is_out(now):
        return True
    since = min(now - bound_s, outages.rewind(now, bound_s))
    return weights >= superseded.find_oldest(prompt.model, since)


def _select_weights(
    usable: list[KnownUpstream], model: str, oldest: int
) -> list[KnownUpstream]:
    if oldest == 0:
        return usable
    return [k for k in usable if k.upstream.weights.get(model, 0) >= oldest]
