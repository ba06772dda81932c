"""Which upstreams a prompt should try, best first.

The entry has only text, so its placement key is a hash of the workspace and the text
of the prompt's first blocks; the version is left out, so that a swap moves no homes.
A home by the first block alone would pile a large workspace, whose prompts share a
preamble, on one upstream, so the key reaches ``PLACEMENT_BLOCKS`` deep. A full home
passes the prompt on to the next in its order. What the entry believes of an
upstream's load is a hint that ages; a wrong one costs a refusal that is "not run".
"""

from collections.abc import Container, Mapping

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.rendezvous import Ranking
from masticdrum.model.messages import Load
from masticdrum.model.tables import Pool, Urgency

PLACEMENT_BLOCKS = 2
HINT_TTL_S = 2.0
OVERFLOW_WAIT_S = {
    Urgency.URGENT: 0.25,
    Urgency.NORMAL: 1.0,
    Urgency.BACKGROUND: 4.0,
}


class Hint(Struct, frozen=True):
    """An upstream's load as last heard, and when that was."""

    load: Load
    seen_at: float


def hash_prompt(workspace: str, prompt: str, block_bytes: int) -> int:
    """Return the placement key of a prompt, a 64-bit hash."""
    head = prompt[: PLACEMENT_BLOCKS * block_bytes].encode()
    blocks = min(len(head) // block_bytes, PLACEMENT_BLOCKS)
    if blocks:
        head = head[: blocks * block_bytes]
    return xxh3_64_intdigest(head, seed=xxh3_64_intdigest(workspace.encode()))


def build_ranking(pool: Pool) -> Ranking:
    """Rank a pool's upstreams; build it once for each installed configuration."""
    return Ranking(
        (upstream.name, upstream.data_centre, upstream.weight)
        for upstream in pool.upstreams
    )


def is_full(hint: Hint | None, urgency: Urgency, now: float) -> bool:
    """Tell whether a fresh hint says that the upstream would keep a prompt waiting."""
    if hint is None or now - hint.seen_at > HINT_TTL_S:
        return False
    load = hint.load
    if load.leaving:
        return True
    if load.running + load.queued < load.limit:
        return False
    return load.cold or load.wait_s > OVERFLOW_WAIT_S[urgency]


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
    tried already). Upstreams that look full come behind all that don't, in the same
    order. The list is empty when nothing is left.
    """
    free: list[str] = []
    full: list[str] = []
    for name in ranking.rank(key):
        if len(free) == most:
            break
        if name in excluded:
            continue
        if is_full(hints.get(name), urgency, now):
            full.append(name)
        else:
            free.append(name)
    return (free + full)[:most]
