"""Chooses the upstream of a forwarded request.

Prompts that begin alike go to the engine that has read the beginning, by rendezvous
hashing of their last shared part, unless that engine is busier than its fellows by more
than ``LOAD_BOUND``. Plain requests go to the least busy of two drawn at random.
"""

from collections.abc import Callable, Iterable
from math import ceil
from random import Random

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.beliefs import Known
from masticdrum.core.rendezvous import score_member
from masticdrum.model.exchange import Prompt

LOAD_BOUND = 1.25  # of the mean load; a queue a quarter longer than its fellows'
LOAD_SLACK = 1  # requests, so that a mean below one doesn't spread every prompt
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
    bound = _find_bound(candidates, load)
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


def _find_bound(candidates: Iterable[Known], load: Load) -> float:
    loads = [load(known.upstream.name) for known in candidates]
    return ceil(LOAD_BOUND * (sum(loads) + 1) / len(loads)) + LOAD_SLACK
