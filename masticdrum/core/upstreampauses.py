"""Upstreams that want nothing from this process for a while, as their answers say.

An upstream that turns a request away may name a time. Until then nothing is sent to it,
also if an answer to an earlier request shows that it serves.
"""

from collections import OrderedDict
from collections.abc import Iterable

from msgspec import Struct

from masticdrum.model.directory import Upstream

MAX_PAUSES = 4096


class Pause(Struct, frozen=True):
    """Until when an incarnation of an upstream wants nothing, in seconds."""

    born: int
    until: float


class UpstreamPauses:
    """The pauses that upstreams have asked for, by upstream; bounded in number.

    They outlast registrations, since one that lapsed may come back.
    """

    __slots__ = ("_pauses",)

    def __init__(self) -> None:
        self._pauses: OrderedDict[str, Pause] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no upstream has asked for a pause."""
        return not self._pauses

    def record(self, upstream: str, born: int, until: float) -> bool:
        """Record that an upstream wants nothing; returns whether that is longer now."""
        known = self._pauses.get(upstream)
        if known is not None and known.born == born and until <= known.until:
            return False
        self._pauses[upstream] = Pause(born, until)
        self._pauses.move_to_end(upstream)
        if len(self._pauses) > MAX_PAUSES:
            self._pauses.popitem(last=False)
        return True

    def is_paused(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream wants nothing now."""
        return self._find_end(upstream, now) > now

    def find_next_end(self, upstreams: Iterable[Upstream], now: float) -> float | None:
        """Return when the first of some upstreams is sent to again.

        That is None if one of them isn't paused, or if there are none.
        """
        end = min((self._find_end(u, now) for u in upstreams), default=now)
        return end if end > now else None

    def forget_ended(self, now: float) -> None:
        """Forget the pauses that have ended."""
        for upstream in [u for u, p in self._pauses.items() if now >= p.until]:
            del self._pauses[upstream]

    def _find_end(self, upstream: Upstream, now: float) -> float:
        known = self._pauses.get(upstream.name)
        if known is None or known.born != upstream.born:
            return now
        if now >= known.until:
            del self._pauses[upstream.name]
            return now
        return known.until
