"""Which upstream a completion is given to next."""

from masticdrum.core.completion import Completion
from masticdrum.core.entrystate import EntryState
from masticdrum.core.placement import order_upstreams
from masticdrum.model.tables import Pool, Upstream


def choose_upstream(
    state: EntryState, completion: Completion, now: float
) -> Upstream | None:
    """Return the best upstream that was not tried yet, or None."""
    pool = state.view.find_pool(completion.route.pool)
    if pool is None:
        return None
    key = state.preambles.find_key(
        completion.workspace, completion.prompt, pool.block_bytes
    )
    names = order_upstreams(
        state.view.find_ranking(pool.name),
        key,
        completion.route.urgency,
        state.links.hints,
        list_excluded(state, pool) | set(completion.tried),
        now,
        most=1,
    )
    if not names:
        return None
    return state.view.find_upstream(pool.name, names[0])


def list_excluded(state: EntryState, pool: Pool) -> frozenset[str]:
    """Return the names of a pool's upstreams that may get no new work."""
    return state.view.list_out(pool.name) | state.leaving
