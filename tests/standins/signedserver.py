"""A stand-in for the users' servers: plain answers, streams of events and orders."""

import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import trio

from tests.standins.server import (
    AbortConnection,
    Faults,
    Reply,
    Request,
    StandIn,
    make_json_reply,
    run_standin,
)


class ServerFaults(Faults):
    """How the server answers; times are seconds.

    ``reject`` answers 503 without running the request; ``lose`` runs it and breaks
    the connection. A stream has ``events`` events and, unless ``break_after`` is zero,
    breaks after that many. ``work_s`` is how long a run takes, or the pause before
    each event. ``stamped`` events state when they were made, by the monotonic clock.
    A bad version answers every ``fail_every``-th run with a signed 500 and takes
    ``extra_s`` longer for every ``slow_every``-th; only on paths that begin with
    ``bad_path``, and only with more than ``bad_above`` runs at once. Each answer names
    ``limit`` as the requests a second that the server takes, unless that is empty.
    """

    id: str = "i-1"
    reject: bool = False
    lose: bool = False
    events: int = 4
    break_after: int = 0
    work_s: float = 0.0
    version: int = 1
    stamped: bool = False
    fail_every: int = 0
    slow_every: int = 0
    extra_s: float = 0.0
    bad_path: str = ""
    bad_above: int = 0
    limit: str = ""


class SignedServer(StandIn):
    """A server as an app; it counts the runs of each request."""

    def __init__(self, faults: ServerFaults | None = None) -> None:
        super().__init__(faults or ServerFaults())
        self.runs: Counter[str] = Counter()
        self.seen: list[dict[str, str]] = []
        self.orders: list[dict[str, Any]] = []
        self.running = 0
        self.suspects = 0  # runs that might be bad ones
        self.bad = 0

    def show(self) -> dict[str, Any]:
        return super().show() | {
            "runs": self.runs,
            "seen": self.seen,
            "orders": self.orders,
            "bad": self.bad,
        }

    async def answer(self, request: Request) -> Reply:
        if request.path == "/v1/report":
            model = {"name": "m1", "version": self.faults.version}
            return make_json_reply({"models": [model], "sequence": len(self.orders)})
        if request.path == "/v1/order":
            return self._handle_order(request)
        self.seen.append({**request.headers, "path": request.path})
        name = request.headers.get("x-request-id", "")
        headers = {"x-request-id": name}
        if request.headers.get("x-expect-instance") != self.faults.id:
            return Reply(421, headers=headers)
        if self.faults.reject:
            return Reply(503, headers=headers | {"x-not-executed": "1"})
        self.runs[name] += 1
        if self.faults.lose:
            raise AbortConnection
        headers["x-response-signature"] = f"signed-by-{self.faults.id}"
        if self.faults.limit:
            headers["server-limit"] = self.faults.limit
        if "stream" in request.path:
            headers["content-type"] = "text/event-stream"
            first = int(request.headers.get("last-event-id", "0")) + 1
            return Reply(200, headers=headers, chunks=self._make_events(first))
        self.running += 1
        try:
            status = await self._run(request.path)
        finally:
            self.running -= 1
        return Reply(status, b"answer to " + request.body, headers)

    async def _run(self, path: str) -> int:
        faults = self.faults
        is_loaded = self.running > faults.bad_above
        is_suspect = is_loaded and path.startswith(faults.bad_path)
        self.suspects += is_suspect
        fails = is_suspect and is_nth(self.suspects, faults.fail_every)
        is_slow = is_suspect and is_nth(self.suspects, faults.slow_every)
        self.bad += fails or is_slow
        await trio.sleep(faults.work_s + (faults.extra_s if is_slow else 0.0))
        return 500 if fails else 200

    def _handle_order(self, request: Request) -> Reply:
        order = msgspec.json.decode(request.body)
        if request.headers.get("x-expect-instance") != self.faults.id:
            return Reply(421)
        self.orders.append(order)
        self.faults.version = order["version"]
        return Reply(202)

    async def _make_events(self, first: int) -> AsyncIterator[bytes]:
        for number in range(first, self.faults.events + 1):
            if self.faults.break_after and number > self.faults.break_after:
                yield b"id: %d\nda" % number
                raise AbortConnection
            await trio.sleep(self.faults.work_s)
            piece = (
                b"made %d" % time.monotonic_ns() if self.faults.stamped else b"piece"
            )
            yield b"id: %d\ndata: %s\n\n" % (number, piece)


def is_nth(number: int, every: int) -> bool:
    """Return whether a number is a multiple of another, which may be zero for none."""
    return every > 0 and number % every == 0


if __name__ == "__main__":
    run_standin(SignedServer)
