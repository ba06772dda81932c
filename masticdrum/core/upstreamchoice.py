"""Chooses the upstream of a forwarded request.

Prompts that begin alike go to the engine that has read the beginning, by rendezvous
hashing of their last shared part, unless that engine is busier than its fellows by more
than ``LOAD_BOUND``. An engine's load is counted in tokens, since a long prompt takes as
much of its time and memory as many short ones. Plain requests go to the least busy of
two drawn at random.
"""

from collections.abc import Callable, Iterable
from random import Random

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.beliefs import Known
from masticdrum.core.rendezvous import score_member
from masticdrum.model.exchange import Prompt

LOAD_BOUND = 1.25  # of the mean load; a queue a quarter longer than its fellows'
RUN_TOKENS = 600  # what a run costs beside its tokens: its steps among others' pieces
OUT_WEIGHT = 10  # a token that is made takes as long as ten that are read together
Load = Callable[[str], float]


class Choice(Struct, frozen=True):
    """An upstream, and the engine that has likely read the prompt's beginning.

    ``holder`` is None where it is the chosen upstream itself, or nothing is known.
    """

    known: Known
    holder: Known | None = None


def choose_upstream(
    candidates: list[Known], prompt: Prompt | None, load: Load, random: Random
) -> Choice | None:
    """Return the upstream that serves a request first, or None without candidates."""
    if not candidates:
        return None
    if prompt is None or not prompt.parts:
        return Choice(_choose_least(candidates, load, random))
    return _choose_holder(candidates, prompt, load)


def estimate_work(prompt: Prompt | None) -> int:
    """Estimate what a request weighs at its upstream."""
    if prompt is None:
        return 1
    return RUN_TOKENS + prompt.tokens_in + OUT_WEIGHT * prompt.tokens_out


def find_affinity(prompt: Prompt) -> str:
    """Return the part of a prompt by which its engine is chosen."""
    shared = prompt.parts[-2] if len(prompt.parts) > 1 else prompt.parts[-1]
    return f"{prompt.model}/{shared.name}"


def _choose_least(candidates: list[Known], load: Load, random: Random) -> Known:
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda known: _find_share(known, load))


def _find_share(known: Known, load: Load) -> float:
    return load(known.upstream.name) / max(1, known.upstream.slots)


def _choose_holder(candidates: list[Known], prompt: Prompt, load: Load) -> Choice:
    bound = _find_bound(candidates, load, estimate_work(prompt))
    key = xxh3_64_intdigest(find_affinity(prompt).encode())
    ranked = sorted(
        candidates,
        key=lambda known: score_member(key, known.upstream.name.encode(), 1.0),
        reverse=True,
    )
    for known in ranked:
        if load(known.upstream.name) < bound:
            return _describe_choice(known, ranked[0])
    least = min(ranked, key=lambda known: load(known.upstream.name))
    return _describe_choice(least, ranked[0])


def _describe_choice(known: Known, home: Known) -> Choice:
    """Name the home of a prompt that goes elsewhere, to be fetched from."""
    return Choice(known, None if known is home else home)


def _find_bound(candidates: Iterable[Known], load: Load, work: int) -> float:
    """Return the load from which an engine is too busy for one more of ``work``."""
    loads = [load(known.upstream.name) for known in candidates]
    return LOAD_BOUND * (sum(loads) + work) / len(loads)
