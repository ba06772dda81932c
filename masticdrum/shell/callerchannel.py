"""Queues the reducer's effects for one caller until the caller's task reads them."""

from typing import Generic, TypeVar

import trio

Effect = TypeVar("Effect")


class CallerChannel(Generic[Effect]):
    """A queue from the reducer to the task that writes to one caller."""

    __slots__ = ("_receive", "_send")

    def __init__(self) -> None:
        self._send, self._receive = trio.open_memory_channel[Effect](float("inf"))

    def put(self, effect: Effect) -> None:
        """Add one effect; never blocks."""
        self._send.send_nowait(effect)

    async def get_all(self) -> list[Effect]:
        """Wait for an effect and return it with all others that are queued."""
        effects = [await self._receive.receive()]
        while True:
            try:
                effects.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                return effects
