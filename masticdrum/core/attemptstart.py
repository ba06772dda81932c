"""Describes an attempt: what is sent to its upstream, and how long to wait for it."""

from masticdrum.core.cachescopes import CacheScope
from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.core.storedprefixes import PrefixPlan
from masticdrum.model.directory import RouteKind, Upstream
from masticdrum.model.exchange import Prompt, StartAttempt

FIRST_WAIT_TARGETS = 4.0  # targets; an idempotent attempt silent for longer ends
MIN_FIRST_WAIT_S = 0.3  # so that queueing at a busy service isn't taken for silence
FIRST_WAIT_FRACTION = 0.5  # of the time left, so that the retry has as much
LOWEST_URGENCY = 9  # the lowest urgency that engines accept
DEFAULT_URGENCY = 5  # for requests without a prompt


def describe_attempt(
    state: ExchangeState,
    exchange: Exchange,
    upstream: Upstream,
    scope: CacheScope,
    now: float,
) -> StartAttempt:
    """Describe an exchange's new attempt at the chosen upstream."""
    left_s = exchange.deadline - now
    weights = 0
    plan = PrefixPlan()
    if exchange.prompt is not None:
        weights = upstream.weights.get(exchange.prompt.model, 0)
        if scope.is_lasting and weights:
            plan = _plan_prefixes(state, exchange.prompt, scope.name, weights, now)
    workspace = exchange.workspace
    return StartAttempt(
        handle=exchange.handle,
        attempt=state.attempts,
        upstream=upstream.name,
        address=upstream.address,
        workspace="" if workspace is None else workspace.name,
        left_s=left_s,
        first_wait_s=_compute_first_wait(exchange, left_s),
        expect_weights=weights,
        cache_scope=scope.name,
        cache_sources=plan.sources,
        cache_targets=plan.targets,
        urgency=min(LOWEST_URGENCY, exchange.urgency)
        if exchange.prompt
        else DEFAULT_URGENCY,
        last_event=exchange.last_event,
    )


def _plan_prefixes(
    state: ExchangeState, prompt: Prompt, scope: str, weights: int, now: float
) -> PrefixPlan:
    """Select the stores that a prompt's prefixes are fetched from and saved to.

    Another engine is never a source. Its runs go on when its weights change, and what
    they compute again afterwards replaces what it held under the same scope. Neither
    its events nor the fetch itself tell which weights made a prefix.
    """
    cluster_state = state.cluster_state
    index = cluster_state.index
    return state.prefixes.plan(
        [] if index is None else index.stores,
        prompt,
        scope,
        now,
        unloaded_until=cluster_state.superseded.find_unloaded_until(
            prompt.model, weights
        ),
        may_save=cluster_state.find_superseded_at(prompt.model, weights) is None,
    )


def _compute_first_wait(exchange: Exchange, left_s: float) -> float:
    route = exchange.route
    if route.kind is not RouteKind.IDEMPOTENT or exchange.sends + 1 >= (
        route.max_attempts
    ):
        return left_s
    wanted = max(MIN_FIRST_WAIT_S, FIRST_WAIT_TARGETS * route.target_s)
    return min(wanted, FIRST_WAIT_FRACTION * left_s)
