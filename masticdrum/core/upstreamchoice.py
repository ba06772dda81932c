"""Chooses the upstream of a forwarded request.

Prompts that share a prefix go to the same engine, by rendezvous hashing of their last
shared part, unless that engine's load is at ``LOAD_BOUND`` times the mean or above. An
engine's load is counted in tokens, since a long prompt takes as much of its time and
memory as many short ones. Other requests go to the less loaded of two upstreams drawn
at random.
"""

from collections.abc import Callable, Iterable, Iterator
from random import Random

from xxhash import xxh3_64_intdigest

from masticdrum.core.clusterstate import KnownUpstream
from masticdrum.model.exchange import Prompt

LOAD_BOUND = 1.25  # of the mean load; a queue may be a quarter longer than the mean
# A run's cost besides its tokens: its decode steps among other runs' prefill chunks.
REQUEST_OVERHEAD_TOKENS = 600
# Decoding one token takes as long as reading ten in one batch.
OUTPUT_TOKEN_WEIGHT = 10
Load = Callable[[str], float]
Rank = Callable[[int], Iterator[str]]


def choose_upstream(
    candidates: list[KnownUpstream],
    prompt: Prompt | None,
    load: Load,
    random: Random,
    rank: Rank,
) -> KnownUpstream | None:
    """Return the upstream for a request, or None without candidates.

    ``rank`` yields the names of all upstreams of the service in the order of a key.
    """
    if not candidates:
        return None
    if prompt is None or not prompt.parts:
        return _choose_least_loaded(candidates, load, random)
    return _choose_by_affinity(candidates, prompt, load, rank)


def estimate_work(prompt: Prompt | None) -> int:
    """Estimate the load that a request adds to its upstream."""
    if prompt is None:
        return 1
    return (
        REQUEST_OVERHEAD_TOKENS
        + prompt.tokens_in
        + OUTPUT_TOKEN_WEIGHT * prompt.tokens_out
    )


def compute_affinity_key(prompt: Prompt) -> str:
    """Return the key by which a prompt's engine is chosen."""
    shared = prompt.parts[-2] if len(prompt.parts) > 1 else prompt.parts[-1]
    return f"{prompt.model}/{shared.name}"


def _choose_least_loaded(
    candidates: list[KnownUpstream], load: Load, random: Random
) -> KnownUpstream:
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda known: _compute_utilisation(known, load))


def _compute_utilisation(known: KnownUpstream, load: Load) -> float:
    return load(known.upstream.name) / max(1, known.upstream.slots)


def _choose_by_affinity(
    candidates: list[KnownUpstream], prompt: Prompt, load: Load, rank: Rank
) -> KnownUpstream:
    bound = _compute_load_bound(candidates, load, estimate_work(prompt))
    key = xxh3_64_intdigest(compute_affinity_key(prompt).encode())
    by_name = {known.upstream.name: known for known in candidates}
    for name in rank(key):
        known = by_name.get(name)
        if known is not None and load(name) < bound:
            return known
    return min(candidates, key=lambda known: load(known.upstream.name))


def _compute_load_bound(
    candidates: Iterable[KnownUpstream], load: Load, work: int
) -> float:
    """Return the load from which an engine is too busy for ``work`` more."""
    loads = [load(known.upstream.name) for known in candidates]
    return LOAD_BOUND * (sum(loads) + work) / len(loads)
