"""The policies that are compared: the product's own and simpler ones in its place."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.sharedprefixes import SharedPrefixes

Order = Callable[..., list[str]]


class Policy(Struct, frozen=True):
    """What stands in for the product's decisions; nothing stands for its own.

    ``make_order`` gives each run an order with a memory of its own.
    ``urgent_only`` leaves all other requests out, which gives the bound for urgent
    work alone on the machines.
    """

    name: str
    order: Order | None = None
    make_order: Callable[[], Order] | None = None
    compute_placement_key: Callable[[SharedPrefixes, str, str, int], int] | None = None
    imports: bool | None = None
    flat: bool = False
    urgent_only: bool = False


class RoundRobin:
    """Each request to the next upstream."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self, ranking, key, urgency, hints, excluded, now, most=8):
        names = sorted(name for name in ranking.rank(0) if name not in excluded)
        self.count += 1
        place = self.count % max(len(names), 1)
        return (names[place:] + names[:place])[:most]


def order_least_loaded(ranking, key, urgency, hints, excluded, now, most=8):
    """Return the upstreams with the lowest load as last heard first."""
    names = [name for name in ranking.rank(key) if name not in excluded]
    return sorted(names, key=lambda name: find_last_load(hints.get(name)))[:most]


def find_last_load(hint: Any) -> float:
    """Return an upstream's load as last heard, whatever its age."""
    if hint is None:
        return 0.0
    return (hint.load.running + hint.load.queued) / max(hint.load.limit, 1)


def order_without_bound(ranking, key, urgency, hints, excluded, now, most=8):
    """Return the upstreams in the key's order, however loaded they are."""
    return [name for name in ranking.rank(key) if name not in excluded][:most]


def hash_first_block(
    shared_prefixes: SharedPrefixes, workspace: str, prompt: str, block_bytes: int
) -> int:
    """Return a placement key of the first block alone."""
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
    """Put a policy's decisions in the place of the product's."""
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
        chosen = policy.imports
        patches.append(
            patch(
                "masticdrum.core.importplan.should_import",
                lambda cost, blocks, urgency: chosen and blocks > 0,
            )
        )
    for each in patches:
        each.start()
    try:
        yield
    finally:
        for each in patches:
            each.stop()
