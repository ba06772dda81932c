"""Describes an attempt: what its upstream is told, and how long it may be silent."""

from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.core.invariants import require
from masticdrum.core.upstreamchoice import Choice
from masticdrum.model.directory import RouteKind
from masticdrum.model.exchange import Prompt, StartAttempt

SILENT_TARGETS = 4.0  # a plain answer later than this many targets is given up
LEAST_SILENCE_S = 0.3  # so that a busy service's queue isn't taken for silence
SILENT_PART = 0.5  # of the time left, so that the repeat has as much
LEAST_URGENT = 9  # the last rank that engines know
UNSHARED = 5  # the rank of a request whose route has none


def describe_attempt(
    state: ExchangeState, exchange: Exchange, choice: Choice, now: float
) -> StartAttempt:
    """Describe an exchange's new attempt at the upstream that was chosen."""
    upstream = choice.known.upstream
    left_s = exchange.deadline - now
    weights, scope = 0, ""
    sources: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    if exchange.prompt is not None:
        weights = upstream.weights.get(exchange.prompt.model, 0)
        scope = _name_cache_scope(exchange, weights)
        sources, targets = _find_places(state, exchange.prompt, scope, choice, now)
    workspace = exchange.workspace
    return StartAttempt(
        handle=exchange.handle,
        attempt=state.attempts,
        upstream=upstream.name,
        address=upstream.address,
        workspace="" if workspace is None else workspace.name,
        left_s=left_s,
        first_wait_s=_find_patience(exchange, left_s),
        expect_weights=weights,
        cache_scope=scope,
        cache_sources=sources,
        cache_targets=targets,
        urgency=min(LEAST_URGENT, exchange.urgency) if exchange.prompt else UNSHARED,
        last_event=exchange.last_event,
    )


def _find_places(
    state: ExchangeState, prompt: Prompt, scope: str, choice: Choice, now: float
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Find where a prompt's parts are fetched from and saved.

    Stores go before the home engine: what they keep outlasts an engine's memory.
    """
    weights = choice.known.upstream.weights.get(prompt.model)
    if not weights:
        return (), ()
    index = state.beliefs.index
    stores = [] if index is None else index.stores
    superseded = state.beliefs.find_superseded(prompt.model, weights)
    places = state.parts.plan(stores, prompt, scope, now, superseded)
    if any(places.sources) or choice.holder is None or superseded is not None:
        return places.sources, places.targets
    return (choice.holder.upstream.address,), places.targets


def _name_cache_scope(exchange: Exchange, weights: int) -> str:
    """Name what kept cache may be shared with: one version, and one wall."""
    require(exchange.prompt is not None, "only prompts have a cache")
    model = "" if exchange.prompt is None else exchange.prompt.model
    if not weights:
        # What an engine of unknown weights reads must be of use to nobody else.
        return f"{model}.unknown.{exchange.request}"
    workspace = exchange.workspace
    if workspace is not None and workspace.isolated:
        return f"{model}.{weights}.{workspace.name}"
    return f"{model}.{weights}"


def _find_patience(exchange: Exchange, left_s: float) -> float:
    route = exchange.route
    if route.kind is not RouteKind.IDEMPOTENT or exchange.sends + 1 >= (
        route.max_attempts
    ):
        return left_s
    wanted = max(LEAST_SILENCE_S, SILENT_TARGETS * route.target_s)
    return min(wanted, SILENT_PART * left_s)
