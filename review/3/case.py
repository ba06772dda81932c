"""An entry's machine loses power; then the first server of a new version comes."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Machines,
    Recorder,
    Request,
    Server,
    Store,
    has_trouble,
    is_ready,
    run_case,
    wait_until,
)

ENTRIES = 3
OLD_ENGINES, NEW_ENGINES = 3, 2
EVENTS, EVENT_GAP_S = 40, 0.1
STREAMS_PER_S, TRAFFIC_S = 24.0, 24.0
POWER_LOSS_AT_S, DARK_S = 8.0, 3.5
RELEASE_AFTER_S, RELEASE_GAP_S = 1.0, 2.0
DEADLINE_S = 12.0
# A client abandons a stream after a gap of 2 s, four times its objective or eight times
# its longest pause, whichever is longest.
OBJECTIVE_S, PAUSE_S = 0.8, 0.4
ABANDON_S = max(2.0, 4 * OBJECTIVE_S, 8 * PAUSE_S)
TRIES = 3
MIN_TAKEN_UP, MIN_SHARE = 12, 0.5  # the rule


class Engine(Server):
    """An engine whose events name the version of its software."""

    async def run(self, request: Request, headers: dict[str, str], writer) -> bool:
        await asyncio.sleep(random.uniform(0.05, 0.15))
        self.record_run(request)
        headers["x-response-signature"] = f"signed-by-{self.name}"
        headers["x-weight-versions"] = str(self.weights)
        headers["content-type"] = "text/event-stream"
        headers["transfer-encoding"] = "chunked"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.fields['version']}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        return True


def make_config() -> dict:
    """Return the configuration."""
    route = {
        "name": "notes",
        "hostname": "desk.example",
        "pathPrefix": "/notes/",
        "routeType": "streaming",
        "resumable": True,
        "timeoutMs": int(DEADLINE_S * 1000),
        "targetLatencyMs": int(OBJECTIVE_S * 1000),
        "maxAttempts": 2,
        "priority": 0,
        "service": "engines",
        "public": False,
        "sticky": True,
        "gapTargetMs": int(PAUSE_S * 1000),
    }
    engine = {"slots": 128, "kvCapacityTokens": 179_151, "models": [{"name": "m1"}]}
    service = {"name": "engines", "healthPath": "/healthz", "engine": engine}
    return {
        "version": 1,
        "routes": [route],
        "services": [{**service, "maxConnections": 1260}],
        "limits": {"idleTimeoutMs": 5000},
        "tenants": [{"name": "depot", "apiKeys": ["key-1"]}],
    }


class Stream:
    """A client's stream over all of its tries."""

    def __init__(self, recorder: Recorder, number: int) -> None:
        self.recorder = recorder
        self.number = number
        self.begun_at = recorder.now()
        self.first = ""  # the request that brought the first event
        self.last = 0
        self.versions: set[str] = set()
        self.is_done = False
        self.was_taken_up = False
        self.went_on = False
        self.retry_after_s = 0.0

    async def run(self, entries: list[str]) -> None:
        """Send the request, and take the stream up at other entries if it breaks."""
        entry = entries[self.number % len(entries)]
        others = [host for host in entries if host != entry]
        for number in range(1 + TRIES):
            self.retry_after_s = 0.05
            before = self.last
            status = await self.send(number, entry)
            self.recorder.note(
                f"client: s{self.number:05d}-{number} at {entry}: {status},"
                f" events {before + 1} to {self.last}, done {self.is_done}"
            )
            if before:
                self.was_taken_up = True
                self.went_on |= self.last > before
            if self.is_done or not self.last:
                return
            entry = random.choice(others)
            await asyncio.sleep(self.retry_after_s)

    async def send(self, number: int, entry: str) -> int:
        """Send one request and read events until the end or a long gap."""
        left_s = DEADLINE_S - (self.recorder.now() - self.begun_at)
        name = f"s{self.number:05d}-{number}"
        headers = {
            "Host": "desk.example",
            "X-Request-Id": name,
            "X-Deadline-Ms": str(max(1, int(left_s * 1000))),
            "Authorization": "Bearer key-1",
            "X-Model": "m1",
            "X-Token-Usage": f"800,{EVENTS}",
            "X-Prefix-Hash": f"{self.number % 60:08x}:600,{self.number:08x}:200",
            "Content-Length": "6",
        }
        if self.last:
            headers["Last-Event-Id"] = str(self.last)
            headers["Resumes"] = self.first
        lines = [f"{key}: {value}" for key, value in headers.items()]
        head = "\r\n".join(["POST /notes/1 HTTP/1.1", *lines, "", ""])
        writer = None
        status = 0
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(entry, 8000)
            writer.write(head.encode() + b"prompt")
            async with asyncio.timeout(ABANDON_S):
                answer = (await reader.readuntil(b"\r\n\r\n")).decode()
            status = int(answer.split(" ")[1])
            if status == 200:
                await self.read_events(reader, name)
            else:
                self.read_retry_after(answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        return status

    def read_retry_after(self, answer: str) -> None:
        """Note when the system wants the request again."""
        for line in answer.lower().split("\r\n"):
            if line.startswith("retry-after:"):
                self.retry_after_s = float(line.partition(":")[2])

    async def read_events(self, reader: asyncio.StreamReader, name: str) -> None:
        """Read the chunks of a stream."""
        while True:
            async with asyncio.timeout(ABANDON_S):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
            if not size:
                self.is_done = True
                return
            for event in data.decode().strip().split("\n\n"):
                number, version = event.split("\n")
                self.first = self.first or name
                self.last = int(number.partition(": ")[2])
                self.versions.add(version.partition(": ")[2])


class Fleet:
    """The stand-ins and the programs of this case."""

    def __init__(self, recorder: Recorder, machines: Machines) -> None:
        self.recorder = recorder
        self.machines = machines
        self.store = Store(recorder)
        self.store_host = machines.add()
        self.settings = {"store_address": f"{self.store_host}:8000"}
        self.entries = {f"entry-{n}": machines.add() for n in range(1, ENTRIES + 1)}
        self.tasks: list[asyncio.Future[None]] = []
        self.engines = 0

    async def start(self) -> None:
        """Start everything and wait until the entries take requests."""
        await self.store.listen(self.store_host, 8000)
        self.store.put("config", "main", make_config())
        self.store.put("versions", "m1", {"model": "m1", "version": 1})
        self.tasks.append(asyncio.ensure_future(self.store.expire()))
        for _ in range(OLD_ENGINES):
            await self.add_engine("v1")
        for name in self.entries:
            self.start_entry(name)
        for host in self.entries.values():
            await wait_until(lambda host=host: is_ready(host), f"{host} is not ready")

    async def add_engine(self, version: str) -> None:
        """Start an engine with this version of its software, and its agent."""
        self.engines += 1
        host, number = self.machines.add(), self.engines
        name = f"i-engine-{number}"
        address = (host, 8001)
        engine = Engine(
            self.recorder, self.store, name, "engines", address, version=version
        )
        engine.model = "m1"
        await engine.listen(*address)
        agent = f"agent-{number}"
        app = f"{host}:8001"
        self.machines.start(agent, "agent", host, self.store, app=app, **self.settings)
        self.recorder.note(f"{name} comes with version {version} of its software")
        self.tasks.append(asyncio.ensure_future(engine.beat()))

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        host = self.entries[name]
        self.machines.start(name, "entry", host, self.store, **self.settings)

    async def lose_power(self, name: str) -> None:
        """Let an entry's machine fall silent, and start it again some time later."""
        self.machines.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(DARK_S)
        self.machines.send_signal(name, signal.SIGKILL)
        self.machines.processes[name].wait()
        self.start_entry(name)

    async def release(self) -> None:
        """Let servers of a new version come."""
        for _ in range(NEW_ENGINES):
            await self.add_engine("v2")
            await asyncio.sleep(RELEASE_GAP_S)


async def main(recorder: Recorder, machines: Machines) -> bool:
    """Return whether too few of the streams that were taken up went on."""
    fleet = Fleet(recorder, machines)
    await fleet.start()
    await asyncio.sleep(4.0)
    streams: list[Stream] = []
    running = []
    begun, planned = recorder.now(), []
    while recorder.now() < begun + TRAFFIC_S:
        if not planned and recorder.now() >= begun + POWER_LOSS_AT_S:
            if has_trouble():
                planned.append(asyncio.ensure_future(fleet.lose_power("entry-1")))
            await asyncio.sleep(RELEASE_AFTER_S)
            planned.append(asyncio.ensure_future(fleet.release()))
        streams.append(Stream(recorder, len(streams)))
        hosts = list(fleet.entries.values())
        if planned and recorder.now() < begun + POWER_LOSS_AT_S + DARK_S + 3.0:
            hosts = hosts[1:]  # the platform has taken the lost machine out
        running.append(asyncio.ensure_future(streams[-1].run(hosts)))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*running, *planned)
    fleet.tasks = [task for task in fleet.tasks if task.cancel()]
    new = [bool(stream.last) for stream in streams]
    taken_up = [stream.went_on for stream in streams if stream.was_taken_up]
    mixed = sum(len(stream.versions) > 1 for stream in streams)
    verdict = (
        f"{sum(new)} of {len(new)} new streams began, {sum(taken_up)} of"
        f" {len(taken_up)} that were taken up went on, {mixed} of two versions"
    )
    recorder.note(verdict)
    print(verdict)
    if sum(new) < 0.8 * len(new):
        print("the case could not run: too few streams began")
        raise SystemExit(2)
    if len(taken_up) < MIN_TAKEN_UP:
        return False
    share = sum(taken_up) / len(taken_up)
    return share < MIN_SHARE * sum(new) / len(new)


if __name__ == "__main__":
    run_case(main)
