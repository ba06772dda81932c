"""Chooses the scope within which an attempt shares KV cache.

The configuration that is in force now decides, not that under which the request
arrived: a workspace may have become isolated since its first attempt. Where a newer
configuration may be in force that this process hasn't read, each workspace has a scope
of its own, since any of them may be isolated by now.
"""

from msgspec import Struct

from masticdrum.core.cachescopes import (
    name_private_scope,
    name_shared_scope,
    name_single_use_scope,
)
from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.model.directory import Upstream


class CacheScope(Struct, frozen=True):
    """A scope of KV cache; an empty ``name`` stands for none.

    Only ``is_lasting`` scopes are worth saving KV cache in.
    """

    name: str
    is_lasting: bool = True


def choose_cache_scope(
    state: ExchangeState, exchange: Exchange, upstream: Upstream, now: float
) -> CacheScope:
    """Choose the scope of an exchange's attempt at an upstream."""
    prompt, index = exchange.prompt, state.cluster_state.index
    if prompt is None:
        return CacheScope("", is_lasting=False)
    weights = upstream.weights.get(prompt.model, 0)
    if not weights or index is None:
        name = name_single_use_scope(prompt.model, exchange.request)
        return CacheScope(name, is_lasting=False)
    workspace = "" if exchange.workspace is None else exchange.workspace.name
    private = name_private_scope(prompt.model, weights, workspace)
    if workspace and workspace not in index.sharing:
        return CacheScope(private)
    if not state.cluster_state.is_up_to_date(now):
        return CacheScope(private, is_lasting=False)
    return CacheScope(name_shared_scope(prompt.model, weights, index.wall))
