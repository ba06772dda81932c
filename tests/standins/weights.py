"""A stand-in for the weight store, whose loads slow down above two at once."""

from collections.abc import AsyncIterator
from typing import Any

import trio

from tests.standins.server import (
    Faults,
    RateCeiling,
    Reply,
    Request,
    StandIn,
    make_json,
    run_standin,
)

FREE_LOADS = 2  # loads at once that don't slow each other
CHUNKS = 20  # pieces of one load


class WeightFaults(Faults):
    """Settings: sizes in bytes, ``load_s`` for a load alone, reads a second."""

    size: int = 200_000
    load_s: float = 1.0
    read_rate: float = 100.0


class WeightStore(StandIn):
    """The weight store as an app; ``peak`` is the most loads at once so far."""

    def __init__(self, faults: WeightFaults | None = None) -> None:
        super().__init__(faults or WeightFaults())
        self._ceiling = RateCeiling()
        self.loads = 0
        self.peak = 0

    def show(self) -> dict[str, Any]:
        return super().show() | {"loads": self.loads, "peak": self.peak}

    async def answer(self, request: Request) -> Reply:
        if request.kind != "GET weights":
            return make_json({"error": "no such call"}, 404)
        if not self._ceiling.allow(self.faults.read_rate, trio.current_time()):
            return make_json({"error": "rate ceiling"}, 429)
        return Reply(200, chunks=self._send_weights(request.name))

    async def _send_weights(self, version: str) -> AsyncIterator[bytes]:
        piece = (version.encode() * self.faults.size)[: self.faults.size // CHUNKS]
        self.loads += 1
        self.peak = max(self.peak, self.loads)
        try:
            for _ in range(CHUNKS):
                slowness = max(1.0, self.loads / FREE_LOADS)
                await trio.sleep(self.faults.load_s / CHUNKS * slowness)
                yield piece
        finally:
            self.loads -= 1


if __name__ == "__main__":
    run_standin(WeightStore)
