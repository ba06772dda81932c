"""Chooses the scope within which an attempt shares KV cache, and for how long it may.

The configuration that is in force now decides, not that under which the request
arrived: a workspace may have become isolated since its first attempt. Where a newer
configuration may be in force that this process hasn't read, each workspace has a scope
of its own, since any of them may be isolated by now.

An engine looks for KV cache when a prompt's turn comes. A prompt that still waits when
one of those that share its scope has become isolated is ended in time. Only streams
show when they begin.
"""

from masticdrum.core.cachescopes import (
    CacheScope,
    name_private_scope,
    name_shared_scope,
    name_single_use_scope,
)
from masticdrum.core.directory import DirectoryIndex
from masticdrum.core.exchangeclose import SCOPE
from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.model.directory import RouteKind, Upstream

SINGLE_USE_BITS = 64
END_S = 0.5  # until an engine has dropped a prompt whose connection was closed


def choose_cache_scope(
    state: ExchangeState, exchange: Exchange, upstream: Upstream, now: float
) -> CacheScope:
    """Choose the scope of an exchange's attempt at an upstream."""
    prompt, index = exchange.prompt, state.cluster_state.index
    service = state.cluster_state.find_service(upstream)
    if prompt is None and (service is None or service.engine is None):
        return CacheScope("", is_lasting=False)
    model = "" if prompt is None else prompt.model
    weights = upstream.weights.get(model, 0)
    if prompt is None or not weights or index is None:
        # Engines share what is in no scope among all, and callers choose their ids.
        number = state.random.getrandbits(SINGLE_USE_BITS)
        return CacheScope(name_single_use_scope(model, number), is_lasting=False)
    workspace = None if exchange.workspace is None else exchange.workspace.name
    private = name_private_scope(model, weights, workspace)
    if workspace is not None and workspace not in index.sharing:
        return CacheScope(private)
    if not state.cluster_state.is_up_to_date(now):
        return CacheScope(private, is_lasting=False)
    shared = name_shared_scope(model, weights, index.wall)
    return CacheScope(shared, index.sharing)


def set_scope_timers(
    state: ExchangeState,
    before: DirectoryIndex | None,
    confirmed_at: float,
    now: float,
) -> None:
    """Set when waiting prompts end whose scope the installed configuration divides.

    It can't have been accepted before ``confirmed_at``, when the one ``before`` was
    known to be the newest. A scope that was divided already has its timer.
    """
    index = state.cluster_state.index
    due_at = confirmed_at + state.bounds.cluster_state.apply_s - END_S
    for exchange in state.exchanges.values():
        attempt = exchange.attempt
        if attempt is None or attempt.begun_at is not None:
            continue
        if exchange.route.kind is not RouteKind.STREAM:
            continue
        if is_divided(exchange, index) and not is_divided(exchange, before):
            state.timers.set((SCOPE, exchange.handle), max(due_at, now))


def is_divided(exchange: Exchange, index: DirectoryIndex | None) -> bool:
    """Return whether one of those that share an attempt's scope is isolated."""
    attempt = exchange.attempt
    if attempt is None or index is None:
        return False
    return not attempt.scope.sharing.isdisjoint(index.isolated)
