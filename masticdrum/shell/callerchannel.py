"""What the reducer gives to one caller, until the caller's task takes it."""

from typing import Generic, TypeVar

import trio

Given = TypeVar("Given")


class CallerChannel(Generic[Given]):
    """A queue from the reducer to the task that writes to one caller."""

    __slots__ = ("_receive", "_send")

    def __init__(self) -> None:
        self._send, self._receive = trio.open_memory_channel[Given](float("inf"))

    def give(self, given: Given) -> None:
        """Add one effect; never blocks."""
        self._send.send_nowait(given)

    async def take(self) -> list[Given]:
        """Wait for the next effect and return it with all that came after it."""
        taken = [await self._receive.receive()]
        while True:
            try:
                taken.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                return taken
