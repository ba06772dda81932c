"""An engine in trouble writes lines without end into the body of its answers."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Machines,
    Recorder,
    Request,
    Server,
    Store,
    fetch,
    has_trouble,
    is_ready,
    run_case,
    wait_until,
)

ENTRIES = 2
TROUBLE_AT_S, TRAFFIC_S = 6.0, 30.0
BOOKINGS_PER_S, NOTES_PER_S = 10.0, 4.0
BOOKING_TIMEOUT_S = 1.0
CLIENT_WAITS_S = 6.0
# What the engine writes: lines of its log, with an empty line after each block.
LOG_LINE = b"worker 3: HTTP/1.1 200 OK\n"
LINES_PER_BLOCK = 6000
# The rule: of the requests unanswered at the route's timeout, more than half have no
# answer this much later.
LATER_S = 0.5


class Desk(Server):
    """A plain server, which is sound."""

    async def run(self, request: Request, headers: dict[str, str], writer) -> bool:
        self.record_run(request)
        await asyncio.sleep(0.02)
        body = b"booked"
        headers["x-response-signature"] = f"signed-by-{self.name}"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"content-length: {len(body)}")
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        writer.write(head.encode() + body)
        return True


class Engine(Server):
    """An engine that streams four events, or log lines while it is in trouble."""

    in_trouble = False

    async def run(self, request: Request, headers: dict[str, str], writer) -> bool:
        self.record_run(request)
        await asyncio.sleep(0.05)
        headers["x-response-signature"] = f"signed-by-{self.name}"
        headers["x-weight-versions"] = str(self.weights)
        headers["content-type"] = "text/event-stream"
        headers["transfer-encoding"] = "chunked"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(1, 5):
            await self.write(writer, f"id: {number}\ndata: piece\n\n".encode())
            await asyncio.sleep(0.02)
        while self.in_trouble:
            await self.write(writer, LOG_LINE * LINES_PER_BLOCK + b"\n")
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        return True

    async def write(self, writer, data: bytes) -> None:
        """Write one chunk of the body."""
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await writer.drain()


def make_config() -> dict:
    """Return the configuration."""
    common = {"hostname": "desk.example", "maxAttempts": 2, "public": False}
    booking = {
        **common,
        "name": "booking",
        "pathPrefix": "/booking/",
        "routeType": "non_idempotent",
        "timeoutMs": int(BOOKING_TIMEOUT_S * 1000),
        "targetLatencyMs": 125,
        "priority": 2,
        "service": "desk",
    }
    notes = {
        **common,
        "name": "notes",
        "pathPrefix": "/notes/",
        "routeType": "streaming",
        "timeoutMs": 10_000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "engines",
        "sticky": True,
        "gapTargetMs": 400,
    }
    engine = {"slots": 64, "kvCapacityTokens": 109_395, "models": [{"name": "m1"}]}
    service = {"healthPath": "/healthz"}
    return {
        "version": 1,
        "routes": [booking, notes],
        "services": [
            {**service, "name": "desk", "maxConnections": 220},
            {**service, "name": "engines", "maxConnections": 740, "engine": engine},
        ],
        "limits": {"idleTimeoutMs": 5000},
        "tenants": [{"name": "depot", "apiKeys": ["key-1"]}],
    }


class Traffic:
    """Clients; ``bookings`` has when each booking was sent and how long it took."""

    def __init__(self, recorder: Recorder, entries: list[str]) -> None:
        self.recorder = recorder
        self.entries = entries
        self.bookings: list[tuple[float, int, float]] = []

    async def book(self, number: int) -> None:
        """Send a booking and wait for its answer, longer than its timeout."""
        headers = self.make_headers(f"b{number:05d}", CLIENT_WAITS_S)
        await self.send("/booking/1", number, headers, CLIENT_WAITS_S)

    async def note(self, number: int) -> None:
        """Send a prompt."""
        headers = self.make_headers(f"n{number:05d}", 10.0)
        headers["X-Model"] = "m1"
        headers["X-Token-Usage"] = "800,4"
        headers["X-Prefix-Hash"] = f"{number % 40:08x}:600,{number:08x}:200"
        await self.send("/notes/1", number, headers, 10.0)

    def make_headers(self, name: str, deadline_s: float) -> dict[str, str]:
        """Return the headers that all requests have."""
        return {
            "Host": "desk.example",
            "X-Request-Id": name,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
            "Authorization": "Bearer key-1",
        }

    async def send(
        self, path: str, number: int, headers: dict[str, str], wait_s: float
    ) -> None:
        """Send one request and note how it ended."""
        entry = self.entries[number % len(self.entries)]
        sent_at = self.recorder.now()
        status, *_ = await fetch(
            entry, 8000, path, headers, b"body", "POST", timeout_s=wait_s
        )
        took_s = self.recorder.now() - sent_at
        name = headers["X-Request-Id"]
        self.recorder.note(f"client: {name} at {entry}: {status} after {took_s:.3f} s")
        if path == "/booking/1":
            self.bookings.append((sent_at, status, took_s))

    async def run(self, send, per_s: float) -> None:
        """Send requests at a steady rate."""
        sending = []
        for number in range(int(TRAFFIC_S * per_s)):
            sending.append(asyncio.ensure_future(send(number)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*sending)


async def main(recorder: Recorder, machines: Machines) -> bool:
    """Return whether bookings were left without an answer past their timeout."""
    store = Store(recorder)
    store_host = machines.add()
    await store.listen(store_host, 8000)
    store.put("config", "main", make_config())
    store.put("versions", "m1", {"model": "m1", "version": 1})
    tasks = [asyncio.ensure_future(store.expire())]
    engines = []
    for kind, service in ((Desk, "desk"), (Engine, "engines")):
        for number in (1, 2, 3):
            host = machines.add()
            name = f"i-{service}-{number}"
            server = kind(recorder, store, name, service, (host, 8001))
            if isinstance(server, Engine):
                server.model = "m1"
                engines.append(server)
            await server.listen(host, 8001)
            tasks.append(asyncio.ensure_future(server.beat()))
    entries = [machines.add() for _ in range(ENTRIES)]
    for number, host in enumerate(entries, start=1):
        settings = {"store_address": f"{store_host}:8000"}
        machines.start(f"entry-{number}", "entry", host, store, **settings)
    for host in entries:
        await wait_until(lambda host=host: is_ready(host), f"{host} is not ready")
    await asyncio.sleep(4.0)
    traffic = Traffic(recorder, entries)
    sending = asyncio.gather(
        traffic.run(traffic.book, BOOKINGS_PER_S),
        traffic.run(traffic.note, NOTES_PER_S),
    )
    await asyncio.sleep(TROUBLE_AT_S)
    if has_trouble():
        recorder.note(f"{engines[0].name} writes log lines into its answers")
        engines[0].in_trouble = True
    await sending
    engines[0].in_trouble = False
    for task in tasks:
        task.cancel()
    due = [took for _, _, took in traffic.bookings if took >= BOOKING_TIMEOUT_S]
    late = [took for took in due if took >= BOOKING_TIMEOUT_S + LATER_S]
    served = sum(status == 200 for _, status, _ in traffic.bookings)
    verdict = (
        f"{len(traffic.bookings)} bookings, {served} served; {len(due)} unanswered at"
        f" their timeout, {len(late)} of these still {LATER_S} s later"
    )
    recorder.note(verdict)
    print(verdict)
    if served < TROUBLE_AT_S * BOOKINGS_PER_S / 2:
        print("the case could not run: too few bookings were served before")
        raise SystemExit(2)
    return len(due) >= 8 and len(late) > len(due) / 2


if __name__ == "__main__":
    run_case(main)
