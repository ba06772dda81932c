"""Counts the answers of both sides at an entry, and pools the counts of all entries.

tallies = EntryTallies()
tallies.record("book", True, upstream="desk-4", seconds=0.09, failed=False)
pooled = PooledEvidence()
pooled.replace("entry-1", "incarnation-1", tallies.snapshot())
pooled.pool().by_route["book"].new.answered
"""

from bisect import bisect_left
from collections.abc import Sequence

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from masticdrum.model.rollouts import (
    BUCKET_FACTOR,
    FIRST_BUCKET_S,
    LATENCY_BUCKETS,
    UPSTREAM_GROUPS,
    Tally,
)
from masticdrum.rollouts.interfaces import Evidence, RouteEvidence, SideEvidence

MAX_ROUTES = 8  # named ones at an entry; with "other" a report fits one datagram
MAX_ROUTE_BYTES = 40
OTHER_ROUTES = "other"
BUCKET_ENDS_S = tuple(
    FIRST_BUCKET_S * BUCKET_FACTOR**i for i in range(LATENCY_BUCKETS - 1)
)
NO_ANSWERS = Tally(
    "",
    True,
    (0,) * UPSTREAM_GROUPS,
    (0,) * UPSTREAM_GROUPS,
    (0,) * LATENCY_BUCKETS,
)


def find_group(upstream: str) -> int:
    """Return the group of an upstream by its name."""
    return xxh3_64_intdigest(upstream.encode()) % UPSTREAM_GROUPS


def find_bucket(seconds: float) -> int:
    """Return the latency bucket of an answer."""
    return bisect_left(BUCKET_ENDS_S, seconds)


def make_side() -> SideEvidence:
    """Return a side without answers."""
    return SideEvidence(
        [0] * UPSTREAM_GROUPS, [0] * UPSTREAM_GROUPS, [0] * LATENCY_BUCKETS
    )


class EntryTallies:
    """The answers that one entry saw since it first saw an order, by route and side.

    The first ``MAX_ROUTES`` routes keep their names, all others are counted together.
    A name over ``MAX_ROUTE_BYTES`` is replaced by its hash.
    """

    __slots__ = ("_names", "_sides")

    def __init__(self) -> None:
        self._names: dict[str, str] = {}
        self._sides: dict[tuple[str, bool], SideEvidence] = {}

    def record(
        self,
        route: str,
        is_target: bool,
        upstream: str,
        seconds: float,
        failed: bool,
        warming: bool = False,
    ) -> None:
        """Count an answer, or a request that ended without one as failed.

        ``answered`` counts it in any case, ``latencies`` only if it didn't fail and its
        upstream isn't ``warming``, that is cold or just started.
        """
        key = self._name_route(route), is_target
        side = self._sides.get(key)
        if side is None:
            side = self._sides[key] = make_side()
        group = find_group(upstream)
        side.answered[group] += 1
        if failed:
            side.failed[group] += 1
        elif not warming:
            side.latencies[find_bucket(seconds)] += 1

    def snapshot(self) -> tuple[Tally, ...]:
        """Return the cumulative counts."""
        return tuple(
            Tally(
                route,
                is_target,
                tuple(side.answered),
                tuple(side.failed),
                tuple(side.latencies),
            )
            for (route, is_target), side in self._sides.items()
        )

    def _name_route(self, route: str) -> str:
        name = self._names.get(route)
        if name is not None:
            return name
        if len(self._names) >= MAX_ROUTES:
            return OTHER_ROUTES
        encoded = route.encode()
        is_long = len(encoded) > MAX_ROUTE_BYTES
        name = self._names[route] = xxh3_64_hexdigest(encoded) if is_long else route
        return name


class PooledEvidence:
    """The sum of the newest counts of each incarnation of each entry.

    An entry that restarts counts from zero as another incarnation, and what the earlier
    one reported stays in the sum.
    """

    __slots__ = ("_by_source", "_routes")

    def __init__(self) -> None:
        self._by_source: dict[tuple[str, str, str, bool], Tally] = {}
        self._routes: dict[str, RouteEvidence] = {}

    def replace(self, entry: str, incarnation: str, tallies: Sequence[Tally]) -> None:
        """Take an entry's cumulative counts; older ones that come late are ignored."""
        for tally in tallies:
            key = (entry, incarnation, tally.route, tally.is_target)
            before = self._by_source.get(key)
            if before is not None and sum(before.answered) >= sum(tally.answered):
                continue
            self._by_source[key] = tally
            side = self._find_side(tally)
            known = NO_ANSWERS if before is None else before
            add_difference(side.answered, tally.answered, known.answered)
            add_difference(side.failed, tally.failed, known.failed)
            add_difference(side.latencies, tally.latencies, known.latencies)

    def pool(self) -> Evidence:
        """Return the sum as a copy."""
        routes = {
            route: RouteEvidence(copy_side(both.old), copy_side(both.new))
            for route, both in self._routes.items()
        }
        return Evidence(
            by_route=routes,
            old_sent=sum(sum(both.old.answered) for both in routes.values()),
            new_sent=sum(sum(both.new.answered) for both in routes.values()),
        )

    def _find_side(self, tally: Tally) -> SideEvidence:
        both = self._routes.get(tally.route)
        if both is None:
            both = self._routes[tally.route] = RouteEvidence(make_side(), make_side())
        return both.new if tally.is_target else both.old


def add_difference(
    totals: list[int], counts: Sequence[int], known: Sequence[int]
) -> None:
    """Add ``counts`` to ``totals``, less those ``known`` before.

    Counts past the end of ``totals`` are left out.
    """
    if counts == known:
        return
    places = range(len(totals))
    for i, count, before in zip(places, counts, known, strict=False):
        if count != before:
            totals[i] += count - before


def copy_side(side: SideEvidence) -> SideEvidence:
    """Return a copy that shares nothing."""
    return SideEvidence(side.answered.copy(), side.failed.copy(), side.latencies.copy())
