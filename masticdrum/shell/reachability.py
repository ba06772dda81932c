"""Tells once that a source can't be read any more, and once that it is read again."""

from collections.abc import Callable

from masticdrum.model.cluster_events import Source, SourceLost, SourceRegained
from masticdrum.shell.clock import read_clock


class Reachability:
    """Whether one source was read at the last try."""

    __slots__ = ("_lost_at", "_source", "_submit")

    def __init__(
        self, source: Source, submit: Callable[[SourceLost | SourceRegained], None]
    ) -> None:
        self._source = source
        self._submit = submit
        self._lost_at: float | None = None

    def note_lost(self, reason: str) -> None:
        """Take in a read that failed."""
        if self._lost_at is not None:
            return
        self._lost_at = read_clock()
        self._submit(SourceLost(self._source, reason))

    def note_read(self) -> None:
        """Take in a read that succeeded."""
        if self._lost_at is None:
            return
        lost_s = read_clock() - self._lost_at
        self._lost_at = None
        self._submit(SourceRegained(self._source, lost_s))
