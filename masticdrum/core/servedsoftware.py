"""Which versions of its software the upstreams of a service run, or ran lately.

What two versions write doesn't fit together, so a stream goes on only at the version
that began it. While one version alone has served for as long as a stream can last,
every stream began at it.
"""

from masticdrum.model.directory import Upstream

STREAM_LIFE_S = 30.0  # no caller takes up a stream that began longer ago


class ServedSoftware:
    """The versions of each service, from the registrations of its upstreams.

    ``since`` is from when on each registration was read, or None before the first list.
    """

    __slots__ = ("_left", "_registered", "since")

    def __init__(self) -> None:
        self.since: float | None = None
        self._registered: dict[str, dict[str, int]] = {}
        self._left: dict[str, dict[str, float]] = {}

    def add(self, upstream: Upstream) -> None:
        """Count an upstream that is registered."""
        counts = self._registered.setdefault(upstream.service, {})
        counts[upstream.software] = counts.get(upstream.software, 0) + 1

    def remove(self, upstream: Upstream, now: float) -> None:
        """Take off an upstream whose registration is gone or has changed."""
        counts = self._registered[upstream.service]
        counts[upstream.software] -= 1
        if not counts[upstream.software]:
            del counts[upstream.software]
        self._left.setdefault(upstream.service, {})[upstream.software] = now

    def list_registered(self, service: str) -> list[str]:
        """List the versions that registered upstreams run."""
        return sorted(self._registered.get(service, ()))

    def list_versions(self, service: str, now: float) -> set[str]:
        """List the versions at which an open stream may have begun, as far as known."""
        left = self._left.get(service, {})
        for version in [v for v, at in left.items() if now >= at + STREAM_LIFE_S]:
            del left[version]
        return {*self._registered.get(service, ()), *left}

    def has_watched_long(self, now: float) -> bool:
        """Return whether no version can have left unseen within a stream's life."""
        return self.since is not None and now >= self.since + STREAM_LIFE_S
