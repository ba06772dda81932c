"""A stand-in for the weight store; more than two loads at once slow each other."""

from collections.abc import AsyncIterator
from typing import Any

import trio

from tests.standins.server import (
    Faults,
    RateLimiter,
    Reply,
    Request,
    StandIn,
    make_json_reply,
    run_standin,
)

UNTHROTTLED_LOADS = 2  # this many loads at once don't slow each other
CHUNKS = 20  # chunks of one load


class WeightFaults(Faults):
    """Settings: ``size`` in bytes, ``read_rate`` in loads per second.

    ``load_s`` is the duration of a load that runs alone.
    """

    size: int = 200_000
    load_s: float = 1.0
    read_rate: float = 100.0


class WeightStore(StandIn):
    """The weight store as an app; ``peak`` is the largest number of loads at once."""

    def __init__(self, faults: WeightFaults | None = None) -> None:
        super().__init__(faults or WeightFaults())
        self._ceiling = RateLimiter()
        self.loads = 0
        self.peak = 0

    def show(self) -> dict[str, Any]:
        return super().show() | {"loads": self.loads, "peak": self.peak}

    async def answer(self, request: Request) -> Reply:
        if request.kind != "GET weights":
            return make_json_reply({"error": "no such call"}, 404)
        if not self._ceiling.allow(self.faults.read_rate, trio.current_time()):
            return make_json_reply({"error": "rate ceiling"}, 429)
        return Reply(200, chunks=self._send_weights(request.name))

    async def _send_weights(self, version: str) -> AsyncIterator[bytes]:
        chunk = (version.encode() * self.faults.size)[: self.faults.size // CHUNKS]
        self.loads += 1
        self.peak = max(self.peak, self.loads)
        try:
            for _ in range(CHUNKS):
                slowdown = max(1.0, self.loads / UNTHROTTLED_LOADS)
                await trio.sleep(self.faults.load_s / CHUNKS * slowdown)
                yield chunk
        finally:
            self.loads -= 1


if __name__ == "__main__":
    run_standin(WeightStore)
