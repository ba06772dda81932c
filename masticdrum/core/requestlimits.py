"""Keeps to the limits on requests that upstreams in need name in their answers.

A limit is on the requests a second from all entries together. Each entry learns of it
from its own answers, so that those that send nothing there need not know. An entry that
knows a limit counts on all other entries to use their share of it.

Few entries each send one request every ``members / limit`` seconds, the first one at a
random point of that interval. Of many entries each could have a request due at the same
moment. They take turns instead: in each second by the time of day, as many entries as
the limit allows may send one request each.
"""

from collections import OrderedDict
from collections.abc import Container
from math import floor
from random import Random

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.coldstartpacing import Place, compute_turn
from masticdrum.model.telemetry import Log, LogNumber

MAX_LIMITS = 4096
KEEP_S = 600.0  # after a registration has lapsed, as while the platform is away
LOGGED_CHANGE = 0.2  # of a limit; upstreams adjust theirs with each answer
# An upstream that takes nothing is asked this often whether it still says so.
LOWEST_PER_S = 0.25
# Up to this many times its limit, and this many requests, may come in a few seconds
# without harm to an upstream.
TOLERANCE_S = 4.0
SAVED_SHARE = 0.25  # of a request, by which one that was sent late brings on the next
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5


class RequestLimit(Struct):
    """How many requests a second an incarnation of an upstream takes in all.

    ``next_at`` is when this entry may send its next request, in seconds on its clock,
    and ``turn_used`` the last turn in which it sent one. ``absent_since`` is since when
    the upstream isn't registered, or None.
    """

    born: int
    per_s: float
    logged_per_s: float
    next_at: float | None = None
    turn_used: int | None = None
    absent_since: float | None = None


class RequestLimits:
    """The limits that one entry knows, by upstream; bounded in number.

    They outlast registrations, since one that lapsed may come back.
    """

    __slots__ = ("_limits", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._limits: OrderedDict[str, RequestLimit] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no upstream has a limit."""
        return not self._limits

    def record_answer(
        self, upstream: str, born: int, per_s: float | None, request: str
    ) -> list[Log]:
        """Record the limit that an answer names, or that it names none."""
        known = self._limits.get(upstream)
        if per_s is None:
            if known is None:
                return []
            del self._limits[upstream]
            return [log_limit(upstream, None, known.logged_per_s, request)]
        if known is None or known.born != born:
            self._limits[upstream] = RequestLimit(born, per_s, per_s)
            self._limits.move_to_end(upstream)
            if len(self._limits) > MAX_LIMITS:
                self._limits.popitem(last=False)
            return [log_limit(upstream, per_s, None, request)]
        known.per_s = per_s
        before = known.logged_per_s
        if abs(per_s - before) <= LOGGED_CHANGE * before:
            return []
        known.logged_per_s = per_s
        return [log_limit(upstream, per_s, before, request)]

    def may_send(self, upstream: str, born: int, place: Place, now: float) -> bool:
        """Return whether an upstream's limit lets this entry send a request now."""
        known = self._limits.get(upstream)
        if known is None or known.born != born:
            return True
        if not is_spaced(known.per_s, place.members):
            return has_turn(known, upstream, place)
        interval_s = compute_interval(known.per_s, place.members)
        if known.next_at is None:
            known.next_at = now + self._random.random() * interval_s
        known.next_at = min(known.next_at, now + interval_s)
        return known.next_at <= now

    def record_send(self, upstream: str, place: Place, now: float) -> None:
        """Record a request to an upstream, which may have a limit."""
        known = self._limits.get(upstream)
        if known is None:
            return
        interval_s = compute_interval(known.per_s, place.members)
        due_at = now if known.next_at is None else known.next_at
        earliest_at = now + (1 - SAVED_SHARE) * interval_s
        known.next_at = max(due_at + interval_s, earliest_at)
        known.turn_used = compute_turn(place)

    def has_limit(self, upstream: str) -> bool:
        """Return whether an upstream has named a limit."""
        return upstream in self._limits

    def forget_departed(self, registered: Container[str], now: float) -> None:
        """Forget the limits of upstreams that have long been gone."""
        for upstream, known in list(self._limits.items()):
            if upstream in registered:
                known.absent_since = None
            elif known.absent_since is None:
                known.absent_since = now
            elif now >= known.absent_since + KEEP_S:
                del self._limits[upstream]


def is_spaced(per_s: float, members: int) -> bool:
    """Return whether entries that space their requests stay within what is tolerated.

    In the worst case each of them sends what it has saved up, besides its share.
    """
    most = TOLERANCE_S * max(per_s, LOWEST_PER_S) + (1 + SAVED_SHARE) * members
    return most <= TOLERATED_FACTOR * TOLERANCE_S * per_s + TOLERATED_REQUESTS


def compute_interval(per_s: float, members: int) -> float:
    """Return the time between two requests of one entry, in seconds."""
    return max(1, members) / max(per_s, LOWEST_PER_S)


def has_turn(known: RequestLimit, upstream: str, place: Place) -> bool:
    """Return whether an entry is among those that may send in the present turn.

    The turns follow each other around all entries at the rate of the limit.
    """
    turn = compute_turn(place)
    if known.turn_used == turn:
        return False
    per_s = max(known.per_s, LOWEST_PER_S)
    first = floor(turn * per_s)
    count = floor((turn + 1) * per_s) - first
    offset = place.rank - first - xxh3_64_intdigest(upstream.encode())
    return offset % place.members < count


def log_limit(
    upstream: str, per_s: float | None, before: float | None, request: str
) -> Log:
    """Return the log of a limit that was named, changed or lifted; -1 is none."""
    return Log(
        LogNumber.UPSTREAM_LIMITED,
        request=request,
        facts={
            "upstream": upstream,
            "per_s": -1.0 if per_s is None else per_s,
            "before": -1.0 if before is None else before,
        },
    )
