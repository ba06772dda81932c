"""Reports once when a source becomes unreadable and once when it recovers."""

from collections.abc import Callable

from masticdrum.model.cluster_events import Source, SourceLost, SourceRegained
from masticdrum.shell.clock import read_clock


class Reachability:
    """Tracks whether the last read of one source succeeded."""

    __slots__ = ("_lost_at", "_source", "_submit")

    def __init__(
        self, source: Source, submit: Callable[[SourceLost | SourceRegained], None]
    ) -> None:
        self._source = source
        self._submit = submit
        self._lost_at: float | None = None

    def record_failure(self, reason: str) -> None:
        """Record a failed read."""
        if self._lost_at is not None:
            return
        self._lost_at = read_clock()
        self._submit(SourceLost(self._source, reason))

    def record_success(self) -> None:
        """Record a successful read."""
        if self._lost_at is None:
            return
        lost_s = read_clock() - self._lost_at
        self._lost_at = None
        self._submit(SourceRegained(self._source, lost_s))
