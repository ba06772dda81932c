"""What a process still believes after the store came back from an older copy.

The copy holds registrations of upstreams that have left since, and lacks what was
written since. Owners and operators write again what was lost; until they have, what
was known before holds. An incarnation of an upstream counts its reports, so that an
older report can be told from a newer one.
"""

from collections import OrderedDict

from masticdrum.model.directory import Upstream

REWRITE_S = 10.0  # until everything that was lost is written again
MAX_DEPARTED = 4096


def is_outdated(read: Upstream, known: Upstream) -> bool:
    """Return whether a registration is older than what is known of the upstream."""
    return read.born == known.born and 0 < read.sequence < known.sequence


class Restores:
    """The last restore of the store, and the upstreams that had left before it."""

    __slots__ = ("_departed", "_restored_at")

    def __init__(self) -> None:
        self._restored_at = float("-inf")
        self._departed: OrderedDict[str, Upstream] = OrderedDict()

    def record_restore(self, now: float) -> None:
        """Record that the store was restored."""
        self._restored_at = now

    def record_departure(self, upstream: Upstream) -> None:
        """Record that an upstream's registration is gone."""
        self._departed[upstream.name] = upstream
        self._departed.move_to_end(upstream.name)
        if len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)

    def may_be_missing(self, now: float) -> bool:
        """Return whether the store may lack objects that nobody has removed."""
        return now < self._restored_at + REWRITE_S

    def find_trusted_at(self, read: Upstream, unregister_s: float, now: float) -> float:
        """Return from when on a registration that was unknown may be used, in seconds.

        One that the copy brought back is trusted only once the store would have removed
        it if the upstream had not reported since.
        """
        trusted_at = self._restored_at + unregister_s
        departed = self._departed.get(read.name)
        if departed is None or now >= trusted_at:
            return 0.0
        same = read.born == departed.born
        return trusted_at if same and 0 < read.sequence <= departed.sequence else 0.0
