"""Which upstreams a prompt should try, best first.

A prompt's home is the first upstream in the order of its placement key, which
``masticdrum.core.preambles`` finds. The key leaves the weight version out, so a swap
moves no homes. A home that is loaded above the bound passes the prompt on to the next
in its order. What the entry believes of an upstream's load is a hint that ages; a
wrong one costs a refusal that is "not run".
"""

from collections.abc import Collection, Container, Mapping
from itertools import islice
from operator import itemgetter

from msgspec import Struct

from masticdrum.core.rendezvous import Ranking
from masticdrum.model.messages import Load
from masticdrum.model.tables import Pool, Urgency

HINT_TTL_S = 2.0
BOUND = 1.0  # times the mean load of the upstreams looked at
BOUND_SLACK = 0.0625  # of an upstream's limit, so that low loads move no homes
FULL = 1.0  # as many runs and waiting requests as the limit
COMPARED = 16  # upstreams of a prompt's order whose mean load is the measure


class Hint(Struct, frozen=True):
    """An upstream's load as last heard, and when that was."""

    load: Load
    seen_at: float


def build_ranking(pool: Pool) -> Ranking:
    """Rank a pool's upstreams; build it once for each installed configuration."""
    return Ranking(
        (upstream.name, upstream.data_centre, upstream.weight)
        for upstream in pool.upstreams
    )


def find_load(
    hint: Hint | None, now: float, urgency: Urgency = Urgency.NORMAL
) -> float | None:
    """Return the runs and waiting requests of an upstream by its limit, if known.

    Urgent requests go before all others, so for them the urgent attempts that have no
    token yet count in full besides.
    """
    if hint is None or now - hint.seen_at > HINT_TTL_S:
        return None
    load = hint.load
    if load.leaving:
        return float("inf")
    total = (load.running + load.queued) / max(load.limit, 1)
    return total + load.urgent if urgency is Urgency.URGENT else total


def find_bound(loads: Collection[float | None]) -> float:
    """Return the load above which an upstream passes prompts on.

    Where some loads are unknown, no upstream is given more than it can run.
    """
    known = [load for load in loads if load is not None and load != float("inf")]
    mean = sum(known) / len(known) if known else 0.0
    bound = BOUND * mean + BOUND_SLACK
    return bound if len(known) == len(loads) else min(bound, FULL)


def order_upstreams(
    ranking: Ranking,
    key: int,
    urgency: Urgency,
    hints: Mapping[str, Hint],
    excluded: Container[str],
    now: float,
    most: int = 8,
) -> list[str]:
    """Return the names of at most ``most`` upstreams to try, best first.

    ``excluded`` holds names that may not be chosen at all (data centre out, leaving,
    tried already). Upstreams loaded above the bound come behind all others, the least
    loaded first. The list is empty when nothing is left.
    """
    names = (name for name in ranking.rank(key) if name not in excluded)
    compared = list(islice(names, max(most, COMPARED)))
    loads = {name: find_load(hints.get(name), now, urgency) for name in compared}
    bound = find_bound(loads.values())
    free: list[str] = []
    full: list[tuple[float, str]] = []
    for name in compared:
        load = loads[name]
        if load is None or load <= bound:
            free.append(name)
        else:
            full.append((load, name))
    full.sort(key=itemgetter(0))
    return (free + [name for _, name in full])[:most]
