"""Stand-ins for the platform's store, its servers and its clients, and small helpers.

Everything runs in one asyncio loop. Each machine has a loopback address of its own, so
that the ports are the same on all machines, as the deploy file expects.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, unquote

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
EXPIRY_BEATS = 3
METRICS_PORT, DATAGRAM_PORT = 7701, 7702
BOUNDS = {
    "drainMs": 2000,
    "graceS": 8,
    "revokeMs": 5000,
    "versionMs": 12000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetExtra": 116,
    "coldFactor": 1.5,
    "coldSlack": 5,
}


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Recorder:
    """Writes what was sent, answered and run to ``record.txt`` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._begun = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._begun

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


class Request:
    """One request that a stand-in has read."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, or return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            body = await read_chunks(reader)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return Request(method, target, headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a whole answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class HttpServer:
    """Serves connections, one request at a time on each.

    While a request is answered the connection is watched, and the answer is cancelled
    once the peer has closed.
    """

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection may be used again."""
        raise NotImplementedError

    async def listen(self, host: str, port: int) -> None:
        """Begin to serve."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=1024, limit=2**22
        )

    def close(self) -> None:
        """End all connections and serve no more."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer_unless_closed(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_unless_closed(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        answering = asyncio.ensure_future(self.answer(request, writer))
        while not answering.done():
            await asyncio.wait({answering}, timeout=0.02)
            if reader.at_eof() or reader.exception() is not None:
                answering.cancel()
                await asyncio.wait({answering})
                return False
        return answering.result()


class Store(HttpServer):
    """The platform's store: objects by kind, lists, watches and conditional writes.

    Entries of kind ``servers`` are removed after three heartbeats of silence.
    """

    def __init__(self, recorder: Recorder, era: int = 1) -> None:
        super().__init__()
        self.recorder = recorder
        self.era = era
        self.revision = 100
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.heard: dict[str, float] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.is_away = False
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object, as the operator or a server does."""
        objects = self.objects.setdefault(kind, {})
        old = objects.get(name)
        if kind == "servers":
            self.heard[name] = time.monotonic()
        if old is not None and old["spec"] == spec:
            return self.revision
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": self.revision if old is None else old["metadata"]["created"],
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        objects[name] = stored
        self._add_event(kind, stored, deleted=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._add_event(kind, stored, deleted=True)

    async def expire(self) -> None:
        """Remove the entries of silent servers, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            oldest = time.monotonic() - EXPIRY_BEATS * HEARTBEAT_S
            for name in [n for n, at in self.heard.items() if at < oldest]:
                del self.heard[name]
                self.remove("servers", name)
                self.recorder.note(f"store: the entry of {name} has expired")

    def _add_event(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if self.is_away:
            await asyncio.sleep(3600)
        status, value = await self._execute(request)
        if self.is_away:
            await asyncio.sleep(3600)
        headers = {"content-type": "application/json", "store-era": str(self.era)}
        writer.write(encode_answer(status, headers, json.dumps(value).encode()))
        await writer.drain()
        return True

    async def _execute(self, request: Request) -> tuple[int, Any]:
        parts = unquote(request.path).strip("/").split("/", 3)
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else ""
        objects = self.objects.setdefault(kind, {})
        if request.method == "GET":
            if name:
                return (200, objects[name]) if name in objects else (404, {})
            return await self._read_kind(kind, request.query)
        if request.method == "DELETE":
            return self._delete(kind, name, request.query)
        value = json.loads(request.body)
        name = name or value["metadata"]["name"]
        old = objects.get(name)
        if request.method == "POST" and old is not None:
            return 409, old
        if request.method == "PUT" and old is None:
            return 404, {}
        expected = value["metadata"].get("revision")
        if old is not None and expected not in (None, old["metadata"]["revision"]):
            return 409, old
        self.put(kind, name, value.get("spec"))
        return 200, objects[name]

    def _delete(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        old = self.objects[kind].get(name)
        if old is None:
            return 404, {}
        if query.get("revision", "") not in ("", str(old["metadata"]["revision"])):
            return 409, old
        self.remove(kind, name)
        return 200, old

    async def _read_kind(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        if "watch" not in query:
            names = [
                n for n in sorted(self.objects[kind]) if n > query.get("after", "")
            ]
            items = [self.objects[kind][n] for n in names]
            return 200, {"items": items, "hasMore": False, "asOf": self.revision}
        since, end = int(query["watch"]), time.monotonic() + int(query["waitMs"]) / 1000
        while since <= self.revision and not self._list_events(kind, since):
            changed, left_s = self._changed, end - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        if since > self.revision:
            return 410, {}
        events = self._list_events(kind, since)
        return 200, {"events": events, "asOf": self.revision}

    def _list_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "deleted": deleted}
            for revision, of_kind, stored, deleted in self.events
            if of_kind == kind and revision > since
        ]


class Server(HttpServer):
    """A server of a service, which registers itself and runs requests.

    ``run`` executes a request that the server accepts. ``is_cut`` means that the server
    doesn't reach the store, while all others still reach it.
    """

    def __init__(
        self,
        recorder: Recorder,
        store: Store,
        name: str,
        service: str,
        address: tuple[str, int],
        **fields: Any,
    ) -> None:
        super().__init__()
        self.recorder = recorder
        self.store = store
        self.name = name
        self.host, self.port = address
        self.is_cut = False
        self.state = "ready"
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.weights = 1
        self.model = ""
        self.orders = 0
        self.arrivals: list[tuple[float, str]] = []
        self.runs: dict[str, int] = {}
        self.fields = {"service": service, "zone": "zone-a", "version": "v1", **fields}

    @property
    def address(self) -> str:
        """The address as it is registered."""
        return f"{self.host}:{self.port}"

    def list_models(self) -> list[dict[str, Any]]:
        """Return the versions of the weights that the server has."""
        if not self.model:
            return []
        return [{"name": self.model, "version": self.weights, "adapters": []}]

    def register(self) -> None:
        """Write the server's entry, unless the server is cut off from the store."""
        if self.is_cut:
            return
        self.sequence += 1
        models = self.list_models()
        entry = {
            "address": self.address,
            "slots": 128,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
            "sequence": self.sequence,
            **self.fields,
            **({"models": models, "stage": "both"} if models else {}),
        }
        old = self.store.objects.get("servers", {}).get(self.name)
        if old is not None and {**old["spec"], "sequence": 0} == {
            **entry,
            "sequence": 0,
        }:
            self.store.heard[self.name] = time.monotonic()
            return
        self.store.put("servers", self.name, entry)

    async def beat(self) -> None:
        """Register at each heartbeat, until cancelled."""
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path == "/v1/report":
            return await self._answer_report(writer)
        name = request.headers.get("x-request-id", "")
        self.arrivals.append((self.recorder.now(), name))
        headers = {"x-request-id": name}
        wanted = request.headers.get("x-expect-instance", self.name)
        weights = request.headers.get("x-expect-version", str(self.weights))
        if request.path == "/v1/order":
            return await self._answer_order(request, wanted, writer)
        if wanted != self.name or (self.model and weights != str(self.weights)):
            headers["x-weight-versions"] = str(self.weights)
            writer.write(encode_answer(421, headers, b""))
            return True
        self.recorder.note(f"{self.name}: request {name} arrives")
        return await self.run(request, headers, writer)

    async def run(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request; return whether the connection may be used again."""
        raise NotImplementedError

    def record_run(self, request: Request) -> None:
        """Record that the server began to work on a request."""
        name = request.headers["x-request-id"]
        self.runs[name] = self.runs.get(name, 0) + 1
        self.recorder.note(f"{self.name}: runs request {name}")

    async def _answer_report(self, writer: asyncio.StreamWriter) -> bool:
        report = {
            "stage": "both",
            "models": self.list_models(),
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "born": self.born,
        }
        headers = {"content-type": "application/json"}
        writer.write(encode_answer(200, headers, json.dumps(report).encode()))
        return True

    async def _answer_order(
        self, request: Request, wanted: str, writer: asyncio.StreamWriter
    ) -> bool:
        order = json.loads(request.body)
        named = self.store.objects.get("versions", {}).get(order.get("model", ""))
        status = 202
        if wanted != self.name:
            status = 421
        elif order.get("expect", self.orders) != self.orders:
            status = 409
        elif named is None or order["version"] > named["spec"]["version"]:
            status = 400
        elif order["version"] == self.weights:
            status = 200
        self.recorder.note(f"{self.name}: order {order}, answered with {status}")
        if status == 202:
            self.orders += 1
            self.weights = order["version"]
            self.register()
        writer.write(encode_answer(status, {}, b""))
        return True


def fill_template(path: Path, fields: dict[str, Any]) -> str:
    """Fill a settings template of the deploy file, as the platform does."""

    def find(name: str, entry: Any = None) -> Any:
        if name == ".":
            return entry
        value: Any = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(text: str, entry: Any) -> str:
        def replace(match: re.Match[str]) -> str:
            name, _, how = match[1].partition("|")
            value = find(name, entry)
            if how == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([^#/^}]+)\}\}", replace, text)

    def section(match: re.Match[str]) -> str:
        value = find(match[1])
        return "" if value in (None, False) else fill(match[2], value)

    text = path.read_text()
    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return fill(text, None)


class Machines:
    """Gives out loopback addresses and starts the project's programs on them."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.folder = Path(tempfile.mkdtemp(prefix="masticdrum-review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._next = 1

    def add(self) -> str:
        """Return the address of a new machine whose ports are free."""
        self._next += 1
        host = f"{self._prefix}.{self._next}"
        for port in (METRICS_PORT, DATAGRAM_PORT, 8000, 8001, 8002):
            with socket.socket() as probe:
                probe.bind((host, port))
        return host

    def start(self, name: str, role: str, host: str, store: Store, **more: Any) -> None:
        """Start a role of the deploy file, with the settings of its template."""
        fields = {
            "nodeName": name,
            "zone": "zone-a",
            "ip": host,
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "listen": {"frontend": f"{host}:8000", "readiness": f"{host}:8002"},
            "bounds": BOUNDS,
            "platform": {"address": more.pop("store_address")},
            **more,
        }
        path = self.folder / f"{name}.json"
        path.write_text(fill_template(ROOT / "deploy" / f"{role}.json", fields))
        log = (self.folder / f"{name}.log").open("ab")
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MASTICDRUM_BOOT": str(path),
        }
        self.processes[name] = subprocess.Popen(
            ["python3", "-m", f"masticdrum.platform.{role}"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.recorder.note(f"{name}: started")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self.recorder.note(f"{name}: gets {number.name}")
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """End all processes and remove their folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def fetch(
    host: str,
    port: int,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    method: str = "GET",
    timeout_s: float = 15.0,
) -> tuple[int, dict[str, str], bytes, bool]:
    """Send one request on a new connection.

    Returns status, headers, body, and whether the answer was whole. The status is zero
    if the connection ended without one.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            sent = {"Host": f"{host}:{port}", **(headers or {})}
            if body or method == "POST":
                sent["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b"", False
    finally:
        if writer is not None:
            writer.close()


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes, bool]:
    """Read one answer; see ``fetch``."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, {}, b"", False
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    try:
        if "content-length" in headers:
            length = int(headers["content-length"])
            return status, headers, await reader.readexactly(length), True
        if headers.get("transfer-encoding") == "chunked":
            return status, headers, await read_chunks(reader), True
        return status, headers, await reader.read(), True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, headers, b"", False


async def wait_until(
    holds: Callable[[], Awaitable[bool]], what: str, timeout_s: float = 20.0
) -> None:
    """Wait until a condition holds; end the case with 2 if it never does."""
    end = time.monotonic() + timeout_s
    while not await holds():
        if time.monotonic() > end:
            print(f"the case could not run: {what}")
            raise SystemExit(2)
        await asyncio.sleep(0.05)


async def is_ready(host: str) -> bool:
    """Return whether an entry answers that it takes requests."""
    status, *_ = await fetch(host, 8002, "/readyz", timeout_s=1.0)
    return status == 200


def run_case(main: Callable[[Recorder, Machines], Awaitable[bool]]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if not, 2 if it can't run."""
    folder = Path(sys.argv[0]).resolve().parent
    recorder = Recorder(folder)
    machines = Machines(recorder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def play() -> bool:
        async with asyncio.timeout(110):
            return await main(recorder, machines)

    code = 2
    try:
        code = 1 if asyncio.run(play()) else 0
    except SystemExit as error:
        code = int(error.code or 0)
    except (OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
    finally:
        machines.stop()
    recorder.note(f"exit {code}")
    sys.exit(code)
