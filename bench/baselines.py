"""Policies to compare: the system's own, and simpler ones that replace it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.sharedprefixes import SharedPrefixes

Order = Callable[..., list[str]]


class Policy(Struct, frozen=True):
    """Replacements for the system's decisions; ``None`` keeps its own decision.

    ``make_order`` makes an order with separate state for each run. ``imports`` decides
    every import the same way, ``flat`` gives all routes the same urgency.
    ``urgent_only`` leaves out all other requests; the result is the bound for urgent
    work that has the engines to itself.
    """

    name: str
    order: Order | None = None
    make_order: Callable[[], Order] | None = None
    compute_placement_key: Callable[[SharedPrefixes, str, str, int], int] | None = None
    imports: bool | None = None
    flat: bool = False
    urgent_only: bool = False


class RoundRobin:
    """Orders upstreams so that each request starts at the next one."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self, ranking, key, urgency, hints, excluded, now, most=8):
        names = sorted(name for name in ranking.rank(0) if name not in excluded)
        self.count += 1
        start = self.count % max(len(names), 1)
        return (names[start:] + names[:start])[:most]


def order_least_loaded(ranking, key, urgency, hints, excluded, now, most=8):
    """Return the upstreams by their last reported load, the lowest first."""
    names = [name for name in ranking.rank(key) if name not in excluded]
    return sorted(names, key=lambda name: compute_last_load(hints.get(name)))[:most]


def compute_last_load(hint: Any) -> float:
    """Return an upstream's last reported load, whatever its age."""
    if hint is None:
        return 0.0
    return (hint.load.running + hint.load.queued) / max(hint.load.limit, 1)


def order_without_bound(ranking, key, urgency, hints, excluded, now, most=8):
    """Return the upstreams in the key's order, whatever their load."""
    return [name for name in ranking.rank(key) if name not in excluded][:most]


def hash_first_block(
    shared_prefixes: SharedPrefixes, workspace: str, prompt: str, block_bytes: int
) -> int:
    """Return a placement key from the workspace and the first block alone."""
    return xxh3_64_intdigest((workspace + prompt[:block_bytes]).encode())


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("masticdrum"),
        Policy("urgent alone", urgent_only=True),
        Policy("round robin", make_order=RoundRobin),
        Policy("least loaded", order=order_least_loaded),
        Policy("hash, no bound", order=order_without_bound),
        Policy("first block", compute_placement_key=hash_first_block),
        Policy("always import", imports=True),
        Policy("never import", imports=False),
        Policy("no urgency", flat=True),
    )
}


@contextmanager
def use_policy(policy: Policy) -> Iterator[None]:
    """Replace the system's decisions by a policy's while the context is open."""
    patches = []
    order = policy.order if policy.make_order is None else policy.make_order()
    if order is not None:
        patches.append(patch("masticdrum.core.candidates.order_upstreams", order))
    if policy.compute_placement_key is not None:
        patches.append(
            patch.object(
                SharedPrefixes, "compute_placement_key", policy.compute_placement_key
            )
        )
    if policy.imports is not None:
        should_import = policy.imports
        patches.append(
            patch(
                "masticdrum.core.importplan.should_import",
                lambda cost, blocks, urgency: should_import and blocks > 0,
            )
        )
    for each in patches:
        each.start()
    try:
        yield
    finally:
        for each in patches:
            each.stop()
