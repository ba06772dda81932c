"""A slot that hands the latest of several values to the task that waits for it."""

from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Latest(Generic[T]):
    """Holds one value; a newer one replaces it until it is taken.

    For example::

        report: Latest[str] = Latest()
        report.set("old")
        report.set("new")
        assert await report.wait() == "new"
    """

    __slots__ = ("_changed", "_values")

    def __init__(self) -> None:
        self._values: list[T] = []
        self._changed = trio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether no value waits."""
        return not self._values

    def set(self, value: T) -> None:
        """Replace the value."""
        self._values = [value]
        self._changed.set()

    async def wait(self) -> T:
        """Wait for a value and take it."""
        while not self._values:
            self._changed = trio.Event()
            await self._changed.wait()
        return self._values.pop()
