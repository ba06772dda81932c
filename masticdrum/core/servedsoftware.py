"""Which versions of its software the upstreams of a service run, or ran lately.

What two versions write doesn't fit together, so a stream goes on only at the version
that began it. An entry counts what it has seen itself; what others have seen is in the
record (``softwarerecords.py``).

No page bounds how long that is. A stream may be cut at the timeout of its route and be
taken up once more, so that twice the longest timeout is taken for its life, in seconds.
"""

from collections.abc import Iterable

from masticdrum.model.directory import Upstream

MIN_STREAM_LIFE_S = 30.0
MAX_STREAM_LIFE_S = 600.0
TIMEOUTS_PER_LIFE = 2.0


def compute_stream_life(timeouts_s: Iterable[float]) -> float:
    """Return how long ago a stream that is taken up may have begun, in seconds."""
    wanted = TIMEOUTS_PER_LIFE * max(timeouts_s, default=0.0)
    return min(MAX_STREAM_LIFE_S, max(MIN_STREAM_LIFE_S, wanted))


class ServedSoftware:
    """The versions of each service, from the registrations of its upstreams.

    ``changes`` counts the versions that have come or left.
    """

    __slots__ = ("_left", "_registered", "changes")

    def __init__(self) -> None:
        self.changes = 0
        self._registered: dict[str, dict[str, int]] = {}
        self._left: dict[str, dict[str, float]] = {}

    def add(self, upstream: Upstream) -> None:
        """Count an upstream that is registered."""
        counts = self._registered.setdefault(upstream.service, {})
        self.changes += upstream.software not in counts
        counts[upstream.software] = counts.get(upstream.software, 0) + 1

    def remove(self, upstream: Upstream, now: float) -> None:
        """Take off an upstream whose registration is gone or has changed."""
        counts = self._registered[upstream.service]
        counts[upstream.software] -= 1
        if not counts[upstream.software]:
            del counts[upstream.software]
            self.changes += 1
        self._left.setdefault(upstream.service, {})[upstream.software] = now

    def list_services(self) -> set[str]:
        """List the services whose upstreams are registered, or were."""
        return {*self._registered, *self._left}

    def list_registered(self, service: str) -> list[str]:
        """List the versions that registered upstreams run."""
        return sorted(self._registered.get(service, ()))

    def list_versions(self, service: str, now: float, life_s: float) -> set[str]:
        """List the versions at which an open stream may have begun, as far as known."""
        left = self._left.get(service, {})
        for version in [v for v, at in left.items() if now >= at + MAX_STREAM_LIFE_S]:
            del left[version]
        lately = [version for version, at in left.items() if now < at + life_s]
        return {*self._registered.get(service, ()), *lately}
