"""Chooses a few of many processes by rendezvous hashing, without coordination.

Processes with the same instance list make the same choice. While their lists differ, a
little more or less work is done than needed, but nothing breaks.
"""

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest


def hash_name(name: str, seed: int = 0) -> int:
    """Return a 64-bit hash of a name."""
    return xxh3_64_intdigest(name.encode(), seed=seed)


def choose_top(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names with the highest scores for ``key``."""
    seed = hash_name(key)
    ranked = sorted(names, key=lambda name: hash_name(name, seed))
    return ranked[-count:][::-1]


def is_among_top(key: str, name: str, names: Sequence[str], count: int) -> bool:
    """Return whether ``choose_top`` would choose ``name``.

    It stops scoring as soon as the answer is known.
    """
    seed = hash_name(key)
    own = hash_name(name, seed)
    better = 0
    for other in names:
        better += hash_name(other, seed) > own
        if better >= count:
            return False
    return True
