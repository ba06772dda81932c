"""Ranks the upstreams that a prompt should be sent to, best first.

A prompt's home is the upstream that ranks first for its placement key, which
``masticdrum.core.sharedprefixes`` computes. The key doesn't depend on the weight
version, so a change of weights moves no homes. If the home's load is above the bound,
the prompt goes to the next upstream in its ranking. An entry's view of an upstream's
load is a hint that expires; a wrong hint costs no more than a refusal with outcome
"not run".
"""

from collections.abc import Collection, Container, Mapping
from itertools import islice
from operator import itemgetter

from msgspec import Struct

from masticdrum.core.rendezvous import Ranking
from masticdrum.model.messages import Load
from masticdrum.model.tables import Pool, Urgency

HINT_TTL_S = 2.0
LOAD_BOUND = 1.0  # times the mean load of the compared upstreams
LOAD_BOUND_SLACK = 0.0625  # of an upstream's limit, so that low loads move no homes
FULL_LOAD = 1.0  # as many runs and waiting requests as the limit
MAX_COMPARED = 16  # first upstreams of a ranking, whose mean load sets the bound


class Hint(Struct, frozen=True):
    """An upstream's last reported load, and when the report was received."""

    load: Load
    seen_at: float


def build_ranking(pool: Pool) -> Ranking:
    """Return the ranking of a pool's upstreams.

    It is costly, so it is built once for each installed configuration.
    """
    return Ranking(
        (upstream.name, upstream.data_centre, upstream.weight)
        for upstream in pool.upstreams
    )


def compute_load(
    hint: Hint | None, now: float, urgency: Urgency = Urgency.NORMAL
) -> float | None:
    """Return an upstream's runs and waiting requests relative to its limit, if known.

    Urgent requests are served before all others, so for them each urgent attempt that
    has no token yet adds 1.0.
    """
    if hint is None or now - hint.seen_at > HINT_TTL_S:
        return None
    load = hint.load
    if load.leaving:
        return float("inf")
    total = (load.running + load.queued) / max(load.limit, 1)
    return total + load.urgent if urgency is Urgency.URGENT else total


def compute_load_bound(loads: Collection[float | None]) -> float:
    """Return the load above which prompts go to the next upstream.

    If any load is unknown, the bound is at most 1.0, so that no upstream is given more
    than it can run.
    """
    known = [load for load in loads if load is not None and load != float("inf")]
    mean = sum(known) / len(known) if known else 0.0
    bound = LOAD_BOUND * mean + LOAD_BOUND_SLACK
    return bound if len(known) == len(loads) else min(bound, FULL_LOAD)


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

    ``excluded`` holds names that must not be chosen (data centre drained, shutting
    down, tried already). Upstreams loaded above the bound come after all others, the
    least loaded first. The list is empty if no upstream is left.
    """
    names = (name for name in ranking.rank(key) if name not in excluded)
    compared = list(islice(names, max(most, MAX_COMPARED)))
    loads = {name: compute_load(hints.get(name), now, urgency) for name in compared}
    bound = compute_load_bound(loads.values())
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
