"""Selects the upstream to which a request is sent next."""

from collections.abc import Iterable

from masticdrum.core.completion import Completion
from masticdrum.core.entrystate import EntryState
from masticdrum.core.placement import order_upstreams
from masticdrum.model.tables import Pool, Upstream, Urgency


def choose_upstream(
    state: EntryState, completion: Completion, now: float
) -> Upstream | None:
    """Return the best upstream that was not tried yet, or None."""
    pool = state.view.find_pool(completion.route.pool)
    if pool is None:
        return None
    key = state.shared_prefixes.compute_placement_key(
        completion.workspace, completion.prompt, pool.block_bytes
    )
    return select_from_pool(
        state, pool, key, completion.route.urgency, completion.tried, now
    )


def select_from_pool(
    state: EntryState,
    pool: Pool,
    key: int,
    urgency: Urgency,
    tried: Iterable[str],
    now: float,
) -> Upstream | None:
    """Return the best upstream of a pool for a placement key, or None.

    ``tried`` holds the names of upstreams to which the request was sent before.
    """
    names = order_upstreams(
        state.view.find_ranking(pool.name),
        key,
        urgency,
        state.links.hints,
        list_excluded(state, pool) | set(tried),
        now,
        most=1,
    )
    if not names:
        return None
    return state.view.find_upstream(pool.name, names[0])


def list_excluded(state: EntryState, pool: Pool) -> frozenset[str]:
    """Return the names of a pool's upstreams that may get no new work."""
    return state.view.list_out(pool.name) | state.leaving_upstreams
