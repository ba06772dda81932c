"""Which upstream a completion is given to next."""

from masticdrum.core.completion import Completion
from masticdrum.core.entrystate import EntryState
from masticdrum.model.tables import Upstream


def choose_upstream(
    state: EntryState, completion: Completion, now: float
) -> Upstream | None:
    """Return the best upstream that was not tried yet, or None."""
    pool = state.view.find_pool(completion.route.pool)
    if pool is None:
        return None
    for upstream in pool.upstreams:
        if upstream.name in completion.tried:
            continue
        if state.view.is_out(upstream.data_centre):
            continue
        return upstream
    return None
