"""Named timers for the state of a reducer."""

from collections.abc import Hashable
from heapq import heappop, heappush
from typing import Generic, TypeVar

Name = TypeVar("Name", bound=Hashable)


class Timers(Generic[Name]):
    """A set of named timers; each is due at one time, in seconds.

    Setting a timer again replaces its time. For example::

        timers: Timers[str] = Timers()
        timers.set("poll", at=5.0)
        assert timers.pop_due(now=6.0) == ["poll"]
    """

    __slots__ = ("_due", "_heap", "_serial")

    def __init__(self) -> None:
        self._due: dict[Name, tuple[float, int]] = {}
        self._heap: list[tuple[float, int, Name]] = []
        self._serial = 0

    def set(self, name: Name, at: float) -> None:
        """Set the timer ``name`` to ``at``, in seconds."""
        known = self._due.get(name)
        if known is not None and known[0] == at:
            return
        self._serial += 1
        self._due[name] = (at, self._serial)
        heappush(self._heap, (at, self._serial, name))

    def clear(self, name: Name) -> None:
        """Remove the timer ``name`` if it is set."""
        self._due.pop(name, None)

    def find_next(self) -> float | None:
        """Return when the earliest timer is due, or None."""
        while self._heap:
            at, serial, name = self._heap[0]
            if self._due.get(name) == (at, serial):
                return at
            heappop(self._heap)
        return None

    def pop_due(self, now: float) -> list[Name]:
        """Remove and return the names due at ``now``, earliest first."""
        due: list[Name] = []
        while True:
            at = self.find_next()
            if at is None or at > now:
                return due
            _, _, name = heappop(self._heap)
            del self._due[name]
            due.append(name)
