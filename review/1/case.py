"""An engine in trouble writes digits without end into the ids of its events."""

import asyncio
import sys
from collections import Counter
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
    read_answer,
    run_case,
    wait_until,
)

ENTRIES = 2
TROUBLE_AT_S, TRAFFIC_S = 6.0, 30.0
BOOKING_CLIENTS = 12
BOOKING_WORK_S = 0.2
NOTES_PER_S = 4.0
RESTART_S = 0.5  # after which the platform starts a process again
BAD_EVENT = b"id: " + b"7" * 5000 + b"\ndata: piece\n\n"
MAX_LOST = 3  # the rule: more than three times


class Desk(Server):
    """A plain server, which is sound."""

    async def run(self, request: Request, headers: dict[str, str], writer) -> bool:
        self.record_run(request)
        await asyncio.sleep(BOOKING_WORK_S)
        body = b"booked"
        headers["x-response-signature"] = f"signed-by-{self.name}"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"content-length: {len(body)}")
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        writer.write(head.encode() + body)
        return True


class Engine(Server):
    """An engine that streams four events, and bad ones while it is in trouble."""

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
            await self.write(writer, BAD_EVENT)
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
        "timeoutMs": 1000,
        "targetLatencyMs": 250,
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
    """Clients; ``lost`` are bookings whose kept connection ended, and their entry."""

    def __init__(self, recorder: Recorder, entries: list[str]) -> None:
        self.recorder = recorder
        self.entries = entries
        self.served = 0
        self.lost: list[tuple[str, str]] = []

    def make_headers(self, name: str, deadline_ms: int) -> dict[str, str]:
        """Return the headers that all requests have."""
        return {
            "Host": "desk.example",
            "X-Request-Id": name,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": "Bearer key-1",
        }

    async def book(self, client: int) -> None:
        """Send bookings one after the other, on a kept connection while it lasts."""
        end, number = self.recorder.now() + TRAFFIC_S, 0
        while self.recorder.now() < end:
            entry = self.entries[client % len(self.entries)]
            try:
                reader, writer = await asyncio.open_connection(entry, 8000)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            on_connection = 0
            while self.recorder.now() < end:
                number += 1
                on_connection += 1
                name = f"b{client:02d}-{number:04d}"
                status = await self.exchange(name, reader, writer)
                self.recorder.note(f"client: {name} at {entry}: {status}")
                self.served += status == 200
                if status == 0:
                    if on_connection > 1:
                        self.lost.append((name, entry))
                    break
                await asyncio.sleep(0.05)
            writer.close()

    async def exchange(self, name: str, reader, writer) -> int:
        """Send one booking; return its status, zero if there was no answer."""
        headers = {**self.make_headers(name, 1000), "Content-Length": "4"}
        lines = [f"{key}: {value}" for key, value in headers.items()]
        head = "\r\n".join(["POST /booking/1 HTTP/1.1", *lines, "", ""])
        try:
            writer.write(head.encode() + b"body")
            async with asyncio.timeout(5.0):
                status, _, _, is_whole = await read_answer(reader)
        except (OSError, TimeoutError):
            return 0
        return status if is_whole else 0

    async def send_notes(self) -> None:
        """Send prompts at a steady rate."""
        sending = []
        for number in range(int(TRAFFIC_S * NOTES_PER_S)):
            sending.append(asyncio.ensure_future(self.note(number)))
            await asyncio.sleep(1 / NOTES_PER_S)
        await asyncio.gather(*sending)

    async def note(self, number: int) -> None:
        """Send a prompt."""
        name = f"n{number:05d}"
        headers = self.make_headers(name, 10_000)
        headers["X-Model"] = "m1"
        headers["X-Token-Usage"] = "800,4"
        headers["X-Prefix-Hash"] = f"{number % 40:08x}:600,{number:08x}:200"
        entry = self.entries[number % len(self.entries)]
        answer = await fetch(
            entry, 8000, "/notes/1", headers, b"body", "POST", timeout_s=10.0
        )
        self.recorder.note(f"client: {name} at {entry}: {answer[0]}")


class Fleet:
    """The stand-ins and the entries of this case, which the platform starts again."""

    def __init__(self, recorder: Recorder, machines: Machines) -> None:
        self.recorder = recorder
        self.machines = machines
        self.store = Store(recorder)
        self.store_host = machines.add()
        self.desks: list[Desk] = []
        self.engines: list[Engine] = []
        self.entries = {f"entry-{n}": machines.add() for n in range(1, ENTRIES + 1)}
        self.ends = dict.fromkeys(self.entries, 0)
        self.tasks: list[asyncio.Future[None]] = []

    async def start(self) -> None:
        """Start everything and wait until the entries take requests."""
        await self.store.listen(self.store_host, 8000)
        self.store.put("config", "main", make_config())
        self.store.put("versions", "m1", {"model": "m1", "version": 1})
        self.tasks.append(asyncio.ensure_future(self.store.expire()))
        for number in (1, 2, 3):
            desk = Desk(*self.describe("desk", number))
            engine = Engine(*self.describe("engines", number))
            engine.model = "m1"
            self.desks.append(desk)
            self.engines.append(engine)
            for server in (desk, engine):
                await server.listen(server.host, 8001)
                self.tasks.append(asyncio.ensure_future(server.beat()))
        for name in self.entries:
            self.start_entry(name)
        for host in self.entries.values():
            await wait_until(lambda host=host: is_ready(host), f"{host} is not ready")
        self.tasks.append(asyncio.ensure_future(self.restart_ended()))

    def describe(self, service: str, number: int) -> tuple:
        """Return what a new server is made of."""
        address = (self.machines.add(), 8001)
        return self.recorder, self.store, f"i-{service}-{number}", service, address

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        settings = {"store_address": f"{self.store_host}:8000"}
        self.machines.start(name, "entry", self.entries[name], self.store, **settings)

    async def restart_ended(self) -> None:
        """Start entries again that have ended by themselves, until cancelled."""
        while True:
            await asyncio.sleep(RESTART_S)
            for name in self.entries:
                code = self.machines.processes[name].poll()
                if code is not None:
                    self.ends[name] += 1
                    self.recorder.note(f"{name}: ended by itself with {code}")
                    self.start_entry(name)

    def stop(self) -> None:
        """End the tasks of the stand-ins."""
        for task in self.tasks:
            task.cancel()


async def main(recorder: Recorder, machines: Machines) -> bool:
    """Return whether bookings were passed on and then lost with their connection."""
    fleet = Fleet(recorder, machines)
    await fleet.start()
    await asyncio.sleep(4.0)
    traffic = Traffic(recorder, list(fleet.entries.values()))
    sending = asyncio.gather(
        traffic.send_notes(),
        *(traffic.book(client) for client in range(BOOKING_CLIENTS)),
    )
    await asyncio.sleep(TROUBLE_AT_S)
    if has_trouble():
        recorder.note(f"{fleet.engines[0].name} writes long ids into its answers")
        fleet.engines[0].in_trouble = True
    await sending
    fleet.engines[0].in_trouble = False
    fleet.stop()
    ran = {name for desk in fleet.desks for name in desk.runs}
    lost = Counter(entry for name, entry in traffic.lost if name in ran)
    verdict = (
        f"{traffic.served} bookings served; passed on from kept connections that closed"
        f" without an answer, by entry: {sorted(lost.values())}; ends of their own:"
        f" {fleet.ends}"
    )
    recorder.note(verdict)
    print(verdict)
    if traffic.served < 100:
        print("the case could not run: too few bookings were served")
        raise SystemExit(2)
    return any(count > MAX_LOST for count in lost.values())


if __name__ == "__main__":
    run_case(main)
