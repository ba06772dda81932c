"""Stand-ins for the cases of the third review: a platform, servers and clients.

They speak what the users' pages say, on loopback addresses and the real clock, and need
nothing but Python. The programs under test are started with the run lines of the deploy
file. A case is a coroutine that gets a ``Fleet`` and returns what broke its rule.
"""

import asyncio
import contextlib
import copy
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "desk.example"
HEARTBEAT_S = 1.2
READY_S = 40.0
LONGEST_S = 112.0
BROKEN = 3  # unlike 1, with which Python ends at an error; run.sh makes it 1
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
# The bounds of the small deployment radkranz-ops, as deploy/entry.json passes them on.
ENTRY_BOUNDS = {
    "resources": {"memory_mb": 222, "descriptors": 1535},
    "drain_s": 2.0,
    "apply_s": 2.0,
    "revoke_s": 5.0,
    "weights_s": 12.0,
    "evacuate_s": 5.0,
    "stable_s": 3.0,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_extra": 116,
    "cold_factor": 1.5,
    "cold_slack": 5,
    "heartbeat_s": 1.2,
    "grace_s": 8,
}
AGENT_BOUNDS = {
    "resources": {"memory_mb": 232, "descriptors": 4096},
    "grace_s": 8,
}


class Record:
    """Writes what happened, with the seconds since the start of traffic."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of traffic."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """One HTTP request or the head of an answer; header names are in lower case."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes = b"") -> None:
        self.first = first
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a head, and a body that has a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Message(first, headers, body)


def make_head(status: int, headers: dict[str, str]) -> bytes:
    """Encode the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def make_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a whole answer."""
    return make_head(status, headers | {"Content-Length": str(len(body))}) + body


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Listener:
    """Accepts connections on one address and can break all of them."""

    def __init__(
        self,
        ip: str,
        serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    ) -> None:
        self.ip = ip
        self.port = 0
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as IP:PORT."""
        return f"{self.ip}:{self.port}"

    async def open(self) -> None:
        """Listen; again on the same port after a close."""
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.transport.abort()


class Store:
    """The platform's store, reached by each machine at an address of its own.

    ``away`` holds the machines that are turned away with 503; while ``is_down``, it is
    silent for all and for the servers.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 100
        self.era = 1
        self.is_down = False
        self.away: set[str] = set()
        self.listeners: dict[str, Listener] = {}
        self._changed = asyncio.Event()
        self._copy: tuple[dict[str, Any], int] = ({}, 0)

    async def open_for(self, machine: str) -> str:
        """Open the address at which one machine reaches the store."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        listener = self.listeners[machine] = Listener("127.0.0.1", serve)
        await listener.open()
        return listener.address

    def turn_away(self, machines: list[str]) -> None:
        """Answer these machines 503 from now on; their watches are cut off."""
        self.away = set(machines)
        for machine in machines:
            self.listeners[machine].reset_all()

    def take_copy(self) -> None:
        """Take the copy from which the store may come back."""
        self._copy = (copy.deepcopy(self.objects), self.revision)

    def go_away(self) -> None:
        """Answer nothing until ``return_`` or ``restore``."""
        self.is_down = True

    def come_back(self) -> None:
        """Answer again; connections on which an answer was lost are closed."""
        self.is_down = False
        for listener in self.listeners.values():
            listener.reset_all()

    def restore(self) -> None:
        """Come back from the copy."""
        objects, self.revision = self._copy
        self.objects = copy.deepcopy(objects)
        self.history = [row for row in self.history if row[0] <= self.revision]
        self.era += 1
        self.come_back()

    def write(self, kind: str, name: str, spec: Any) -> bool:
        """Write an object as the operator or a server; returns whether it was taken."""
        if self.is_down:
            return False
        self._store(kind, name, "spec", spec)
        return True

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._add_event(kind, stored, True)

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            request = await read_message(reader)
            if self.is_down:
                await asyncio.sleep(3600)
            if machine in self.away:
                status, body = 503, {"error": "busy"}
            else:
                status, body = await self._answer(request)
            if self.is_down:
                await asyncio.sleep(3600)
            headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
            writer.write(make_answer(status, headers, json.dumps(body).encode()))
            await writer.drain()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        method, target, _ = request.first.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        name, _, part = name.partition("/")
        if method == "GET" and not name:
            if "watch" in query:
                wait_s = int(query.get("waitMs", 0)) / 1000
                return await self._watch(kind, int(query["watch"]), wait_s)
            names = sorted(self.objects.get(kind, {}))
            items = [self.objects[kind][n] for n in names if n > query.get("after", "")]
            return 200, {"items": items, "hasMore": False, "asOf": self.revision}
        if method == "GET":
            found = self.objects.get(kind, {}).get(name)
            return (200, found) if found else (404, {})
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        body = json.loads(request.body)
        name = name or body["metadata"]["name"]
        current = self.objects.get(kind, {}).get(name)
        if method == "POST" and current is not None:
            return 409, current
        if method == "PUT" and current is None:
            return 404, {}
        expected = body["metadata"].get("revision")
        if current and expected not in (None, current["metadata"]["revision"]):
            return 409, current
        field = "status" if part == "status" else "spec"
        return 200, self._store(kind, name, field, body.get(field))

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        era, until = self.era, time.monotonic() + wait_s
        while True:
            if since > self.revision or era != self.era:
                return 410, {"error": "gone"}
            events = [
                {"object": stored, "deleted": deleted}
                for revision, its_kind, stored, deleted in self.history
                if its_kind == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _store(self, kind: str, name: str, field: str, value: Any) -> dict[str, Any]:
        current = self.objects.setdefault(kind, {}).get(name)
        if current is not None and current[field] == value:
            return current
        self.revision += 1
        stored = copy.deepcopy(current) or {
            "metadata": {"name": name, "created": self.revision, "deleting": False},
            "spec": None,
            "status": None,
        }
        stored["metadata"]["revision"] = self.revision
        stored[field] = value
        self.objects[kind][name] = stored
        self._add_event(kind, stored, False)
        return stored

    def _add_event(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, copy.deepcopy(stored), deleted))
        self._changed.set()
        self._changed = asyncio.Event()


class Run:
    """One request that reached a server."""

    def __init__(self, request: str, server: str, born: int, at: float) -> None:
        self.request = request
        self.server = server
        self.born = born
        self.at = at
        self.is_cold = False
        self.software = ""


class Server:
    """A server of a service: registers itself, answers, crashes and comes back.

    Streams have ``events`` events, ``gap_s`` apart. While it is cold it crashes above
    ``crash_per_s`` requests in a second, if that is set.
    """

    def __init__(self, fleet: "Fleet", service: str, name: str, ip: str) -> None:
        self.fleet = fleet
        self.service = service
        self.name = name
        self.software = "4.1.0"
        self.zone = "olten-a"
        self.slots = 64
        self.events = 55
        self.gap_s = 0.02
        self.work_s = 0.02
        self.cold_until = 0.0
        self.crash_per_s: float | None = None
        self.comes_back_after_s = 2.0
        self.runs: list[Run] = []
        self.is_up = False
        self.born = 0
        self._sequence = 0
        self._last_beat = 0.0
        self._next_beat = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self.listener = Listener(ip, self._serve)

    async def start(self, cold_s: float = 0.0) -> None:
        """Start under the same id, and register."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._next_beat = time.monotonic() + HEARTBEAT_S
        self.cold_until = time.monotonic() + cold_s
        await self.listener.open()
        self.is_up = True
        self.fleet.record.write(
            f"server {self.name} starts: software {self.software}, cold for {cold_s} s"
        )
        self.beat()

    def crash(self) -> None:
        """End at once; all connections are reset."""
        if self.is_up:
            self.fleet.record.write(f"server {self.name} crashes")
        self.is_up = False
        for task in list(self._tasks):
            task.cancel()
        self.listener.close()

    def beat(self) -> None:
        """Write the registration."""
        self._sequence += 1
        left_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        models = []
        if self.service == "engines":
            models = [{"name": "m1", "version": 1, "adapters": []}]
        spec = {
            "service": self.service,
            "address": self.listener.address,
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": left_ms,
            "born": self.born,
            "sequence": self._sequence,
            "stage": "both",
            "models": models,
        }
        if self.fleet.store.write("servers", self.name, spec):
            self._last_beat = time.monotonic()

    async def keep_registered(self) -> None:
        """Renew the registration; one of a crashed server lapses after a while."""
        while True:
            await asyncio.sleep(max(0.01, self._next_beat - time.monotonic()))
            self._next_beat += HEARTBEAT_S
            if self.is_up:
                self.beat()
            elif self._has_lapsed() and not self.fleet.store.is_down:
                self.fleet.store.remove("servers", self.name)

    def _has_lapsed(self) -> bool:
        return time.monotonic() > self._last_beat + 3 * HEARTBEAT_S

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                await self._answer(request, writer)
        finally:
            self._tasks.discard(task)

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        headers = request.headers
        path = request.first.split(" ")[1]
        if path == "/healthz":
            writer.write(make_answer(200, {"X-Instance-Id": self.name}))
            return
        if path == "/v1/report":
            report = self._describe()
            headers = {"Content-Type": "application/json"}
            writer.write(make_answer(200, headers, json.dumps(report).encode()))
            return
        name = headers.get("x-request-id", "")
        base = {"X-Request-Id": name}
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(make_answer(421, base | {"X-Not-Executed": "1"}))
            return
        run = Run(name, self.name, self.born, time.monotonic())
        run.is_cold = time.monotonic() < self.cold_until
        run.software = self.software
        self.runs.append(run)
        if run.is_cold and self.crash_per_s is not None:
            recent = [r for r in self.runs if r.at > run.at - 1 and r.born == self.born]
            if len(recent) > self.crash_per_s:
                self.fleet.spawn(self._crash_and_return())
                await asyncio.sleep(3600)
        base["X-Response-Signature"] = f"{self.name}.{name}"
        if path.startswith("/stream/"):
            await self._stream(headers, base, writer)
            return
        await asyncio.sleep(self.work_s)
        writer.write(make_answer(200, base, f"done {name} {self.name}".encode()))
        await writer.drain()

    def _describe(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": [{"name": "m1", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "active": len(self._tasks),
            "kvUsed": 0,
            "kvTotal": 109395,
            "handles": 0,
            "born": self.born,
        }

    async def _stream(
        self,
        headers: dict[str, str],
        base: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        base |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(make_head(200, base | {"X-Weight-Versions": "1"}))
        for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {self.software} {self.name}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _crash_and_return(self) -> None:
        self.fleet.record.write(f"server {self.name} has too many requests while cold")
        self.crash()
        await asyncio.sleep(self.comes_back_after_s)
        await self.start(self.fleet.cold_s)


class Answer:
    """What a client got for one request; ``events`` are (id, data) of whole events."""

    def __init__(self, request: str, sent_at: float) -> None:
        self.request = request
        self.sent_at = sent_at
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.events: list[tuple[int, str]] = []


class Fleet:
    """All processes and stand-ins of one case."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.servers: dict[str, Server] = {}
        self.entries: dict[str, str] = {}
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.cold_s = 3.0
        self._probes: dict[str, str] = {}
        self._commands: dict[str, list[str]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._datagram_port = find_free_port("127.0.0.1", socket.SOCK_DGRAM)
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def spawn(self, work: Any) -> "asyncio.Task[Any]":
        """Run a coroutine beside the case."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_servers(self, service: str, count: int) -> list[Server]:
        """Start servers, each on an address of its own."""
        added = []
        for _ in range(count):
            number = len(self.servers) + 1
            name = f"i-{service}-{number}"
            server = Server(self, service, name, f"127.0.2.{number}")
            self.servers[name] = server
            await server.start()
            self.spawn(server.keep_registered())
            added.append(server)
        return added

    async def start_entry(self, number: int) -> str:
        """Start an entry; returns its name."""
        name, ip = f"edge-{number}", f"127.0.1.{number}"
        http, probes = find_free_port(ip), find_free_port(ip)
        settings = ENTRY_BOUNDS | {
            "name": name,
            "data_centre": "olten-a",
            "http": f"{ip}:{http}",
            "probes": f"{ip}:{probes}",
            "metrics": f"{ip}:{find_free_port(ip)}",
            "datagrams": f"{ip}:{self._datagram_port}",
            "store": await self.store.open_for(name),
        }
        self.entries[name] = f"{ip}:{http}"
        self._probes[name] = f"{ip}:{probes}"
        self._run(name, "entry", settings)
        return name

    async def start_agent(self, server: Server) -> None:
        """Start the agent beside a server."""
        name, ip = f"side-{server.name}", server.listener.ip
        settings = AGENT_BOUNDS | {
            "name": name,
            "data_centre": "olten-a",
            "upstream": server.listener.address,
            "metrics": f"{ip}:{find_free_port(ip)}",
            "datagrams": f"{ip}:{self._datagram_port}",
            "store": await self.store.open_for(name),
        }
        self._run(name, "agent", settings)

    async def wait_until(self, at: float) -> None:
        """Wait until some seconds after the start of traffic."""
        await asyncio.sleep(max(0.0, at - self.record.now()))

    def _run(self, name: str, role: str, settings: dict[str, Any]) -> None:
        (self.folder / f"{name}.json").write_text(json.dumps(settings))
        self._commands[name] = self._roles[role]["run"].split(" ")
        self._start(name)

    def restart(self, name: str) -> None:
        """Start a process again that has ended, with the same settings."""
        self.running[name].wait()
        self._start(name)

    def _start(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MASTICDRUM_BOOT"] = str(path)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                self._commands[name],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def share_a_core(self, names: list[str]) -> None:
        """Let processes run on one core together, and all else on the others."""
        first, *others = sorted(os.sched_getaffinity(0))
        for name, process in self.running.items():
            cores = {first} if name in names else set(others or [first])
            os.sched_setaffinity(process.pid, cores)
        os.sched_setaffinity(0, set(others or [first]))

    async def wait_until_ready(self) -> None:
        """Wait until all entries say that they are ready."""
        end = time.monotonic() + READY_S
        for name, address in self._probes.items():
            while not await self._is_ready(address):
                if time.monotonic() > end:
                    raise RuntimeError(f"{name} does not become ready")
                if self.running[name].poll() is not None:
                    raise RuntimeError(f"{name} has ended")
                await asyncio.sleep(0.1)

    async def _is_ready(self, address: str) -> bool:
        answer = Answer("", time.monotonic())
        await self._exchange(
            address, f"GET /readyz HTTP/1.1\r\nHost: {address}\r\n\r\n", answer, 1.0
        )
        return answer.status == 200

    async def ask(
        self, entry: str, path: str, request: str, deadline_s: float, **headers: str
    ) -> Answer:
        """Send one request on a new connection and read its answer."""
        sent = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
            "Content-Length": "0",
        }
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"POST {path} HTTP/1.1", *(f"{n}: {v}" for n, v in sent.items())]
        answer = Answer(request, time.monotonic())
        text = "\r\n".join(lines) + "\r\n\r\n"
        await self._exchange(self.entries[entry], text, answer, deadline_s)
        return answer

    async def _exchange(
        self, address: str, text: str, answer: Answer, timeout_s: float
    ) -> None:
        ip, _, port = address.rpartition(":")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(text.encode("latin-1"))
                await self._read_answer(reader, answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
            read_events(answer)

    async def _read_answer(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        message = await read_message(reader)
        answer.status = int(message.first.split(" ")[1])
        answer.headers, answer.body = message.headers, message.body
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        answer.is_whole = True

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.running.values():
            process.wait()
        for task in list(self._tasks):
            task.cancel()


class KeyCallers:
    """Callers of lookups at all entries, with two keys, and what they got.

    ``old`` is the key that is taken away.
    """

    def __init__(self, fleet: Fleet, old: str, stays: str, end: float) -> None:
        self._fleet = fleet
        self._old = old
        self._keys = (old, stays)
        self._end = end
        self._answers: list[tuple[str, str, Answer]] = []

    async def run(self) -> None:
        """Ask with each key at each entry, five times a second, until the end."""
        await asyncio.gather(
            *(
                self._ask_often(entry, key)
                for entry in self._fleet.entries
                for key in self._keys
            )
        )

    async def _ask_often(self, entry: str, key: str) -> None:
        count = 0
        while self._fleet.record.now() < self._end:
            count += 1
            request = f"{entry}-{key}-{count}"
            bearer = f"Bearer {key}"
            answer = await self._fleet.ask(
                entry, "/look/7", request, 1.0, Authorization=bearer
            )
            self._answers.append((entry, key, answer))
            await asyncio.sleep(0.2)

    def list_late(self, acknowledged: float, revoke_s: float) -> list[str]:
        """Record all requests, and return those with the old key that ran too late.

        ``acknowledged`` is when the configuration without it was.
        """
        record = self._fleet.record
        servers = self._fleet.servers.values()
        ran = {run.request: run for server in servers for run in server.runs}
        late, served = [], 0
        for entry, key, answer in self._answers:
            run = ran.get(answer.request)
            at = answer.sent_at - record.began
            where = "not run" if run is None else f"run by {run.server}"
            line = f"sent {at:.3f} at {entry} with {key}: {answer.status}, {where}"
            record.write(line)
            served += key != self._old and answer.status == 200
            after_s = answer.sent_at - acknowledged
            if key == self._old and run is not None and after_s > revoke_s:
                late.append(f"{line}, {after_s:.3f} s after the acknowledgement")
        if served < len(self._answers) / 5:
            raise RuntimeError("too few requests were served to judge by")
        return late


class StreamCallers:
    """Callers of streams at all entries, and what they got."""

    def __init__(self, fleet: Fleet, per_s: float, end: float) -> None:
        self._fleet = fleet
        self._per_s = per_s
        self._end = end
        self._chance = random.Random(7)
        self._answers: list[Answer] = []

    async def run(self) -> None:
        """Ask for streams until the end, and wait for the last one."""
        asked: list[asyncio.Task[None]] = []
        while self._fleet.record.now() < self._end:
            asked.append(self._fleet.spawn(self._ask(len(asked) + 1)))
            await self._fleet.wait_until(len(asked) / self._per_s)
        await asyncio.gather(*asked)

    async def _ask(self, number: int) -> None:
        session = self._chance.randrange(300)
        answer = await self._fleet.ask(
            self._chance.choice(sorted(self._fleet.entries)),
            "/stream/7",
            f"r{number}",
            10.0,
            X_Model="m1",
            X_Token_Usage="640,55",
            X_Prefix_Hash=f"{session:08x}:500,{number + 2**24:08x}:140",
        )
        self._answers.append(answer)

    def describe(self) -> str:
        """Count the answers by status."""
        counts: dict[int, int] = {}
        for answer in self._answers:
            counts[answer.status] = counts.get(answer.status, 0) + 1
        return f"{len(self._answers)} prompts, by status: {counts}"

    def list_mixed(self) -> list[str]:
        """Record all streams, and return those with events of two versions."""
        record, mixed = self._fleet.record, []
        for answer in sorted(self._answers, key=lambda a: a.sent_at):
            sent = f"{answer.request} sent at {answer.sent_at - record.began:.3f}"
            got = f"{answer.status}, {len(answer.events)} events, {answer.is_whole}"
            parts = list(dict.fromkeys(data for _, data in answer.events))
            line = f"{sent}: {got}, by {' then '.join(parts) or 'nobody'}"
            record.write(line)
            if len({part.partition(" ")[0] for part in parts}) > 1:
                mixed.append(line)
        whole = sum(a.is_whole and a.status == 200 for a in self._answers)
        record.write(f"{whole} of {len(self._answers)} streams were whole")
        if whole < len(self._answers) / 2:
            raise RuntimeError("too few streams were served to judge by")
        return mixed


def read_events(answer: Answer) -> None:
    """Find the whole events of a stream."""
    for block in answer.body.decode("latin-1").split("\n\n")[:-1]:
        fields = dict(line.partition(": ")[::2] for line in block.split("\n"))
        if "id" in fields:
            answer.events.append((int(fields["id"]), fields.get("data", "")))


def find_free_port(ip: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that nobody uses on an address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
        return port


def make_config(
    version: int, tenants: dict[str, list[str]] | None = None, **engines: Any
) -> dict[str, Any]:
    """Return a configuration with three routes, and tenants with their keys."""

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": 10_000 if kind == "streaming" else 1_000,
            "targetLatencyMs": 1_000 if kind == "streaming" else 100,
            "maxAttempts": 2,
            "priority": 1,
            "service": service,
            "public": False,
        } | more

    config: dict[str, Any] = {
        "version": version,
        "routes": [
            route("book", "non_idempotent", "desk"),
            route("look", "idempotent", "desk"),
            route(
                "stream",
                "streaming",
                "engines",
                resumable=True,
                sticky=True,
                gapTargetMs=400,
            ),
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 220},
            {
                "name": "engines",
                "healthPath": "/healthz",
                "maxConnections": 740,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 109_395,
                    "models": [{"name": "m1"}],
                },
            }
            | engines,
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    if tenants is not None:
        config["tenants"] = [
            {"name": name, "apiKeys": keys} for name, keys in tenants.items()
        ]
    return config


def run_case(
    folder: Path,
    play: Callable[[Fleet, bool], Awaitable[list[str]]],
    has_trouble: bool,
) -> None:
    """Play a case, and exit with ``BROKEN``, 0 if the rule held, or 2 if it failed.

    It plays without the disruption unless it ``has_trouble``.
    """
    # So that what was started is ended too if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder / "record.txt")
    work = Path(tempfile.mkdtemp(prefix="review-"))
    status = 2

    async def run() -> list[str]:
        fleet = Fleet(work, record)
        try:
            async with asyncio.timeout(LONGEST_S):
                return await play(fleet, has_trouble)
        finally:
            fleet.stop()

    try:
        broken = asyncio.run(run())
        for line in broken:
            record.write(f"BROKEN {line}")
        verdict = f"{len(broken)} findings" if broken else "the rule held"
        record.write(f"verdict: {verdict}, trouble {int(has_trouble)}")
        print("\n".join([*broken[:5], verdict]))
        status = BROKEN if broken else 0
    except Exception as error:  # the case could not run
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    finally:
        record.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    sys.exit(status)
