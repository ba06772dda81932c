"""Stand-ins for the scripts of the second review: store, servers, engines, callers.

They use the standard library alone and run in the process of the script that uses them.
The system's own programs run as separate processes, with the commands of the deploy
file. All addresses are loopback ones.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, unquote

LOOPBACK = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
PAGE_SIZE = 500
BROKEN = 11
BOUNDS = {
    "drain_s": 2.0,
    "apply_s": 2.0,
    "revoke_s": 5.0,
    "weights_s": 12.0,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_extra": 116,
    "cold_factor": 1.5,
    "cold_slack": 5,
    "heartbeat_s": 1.2,
    "grace_s": 8,
}
Headers = dict[str, str]


class Unable(Exception):  # noqa: N818
    """The case could not run; it says nothing of the rule."""


class Record:
    """What was sent, answered and run, by the seconds since the script began."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def say(self, text: str) -> None:
        """Write one line."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def save(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self.lines) + "\n")


class Request:
    """One request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the first line and the headers; names are in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a whole request."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def make_answer(
    status: int, body: bytes = b"", headers: Headers | None = None
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_json(value: Any, status: int = 200, **headers: str) -> bytes:
    """Return an answer with a JSON body."""
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    named["Content-Type"] = "application/json"
    return make_answer(status, json.dumps(value).encode(), named)


def find_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((LOOPBACK, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


Handle = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def listen(port: int, handle: Handle) -> asyncio.Server:
    """Serve connections, one request after the other on each."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_request(reader)
                await handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, LOOPBACK, port)


class Store:
    """The platform's store: objects by kind, lists and watches.

    Each machine calls it at a port of its own, so that one machine can be partitioned
    from it (``cut``), or can lose one answer (``lose_next``): then the connection
    returns nothing further.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 100
        self._changed = asyncio.Event()
        self._open: dict[str, asyncio.Event] = {}
        self._losing: set[tuple[str, str]] = set()
        self.lost = asyncio.Event()
        self.watching: dict[tuple[str, str], float] = {}
        self.answered: dict[tuple[str, str], float] = {}

    async def serve(self, machine: str, port: int) -> None:
        """Serve one machine at its own port."""
        self._open[machine] = asyncio.Event()
        self._open[machine].set()

        async def handle(request: Request, writer: asyncio.StreamWriter) -> None:
            await self._open[machine].wait()
            answer = await self._execute(request, machine)
            await self._open[machine].wait()
            if self._is_lost(request, answer, machine):
                self.record.say(f"the store's answer to {machine} is lost")
                self.lost.set()
                await asyncio.sleep(3600)
            writer.write(answer)

        await listen(port, handle)

    def cut(self, machine: str) -> None:
        """Partition a machine from the store."""
        self._open[machine].clear()

    async def wait_for_answer(self, machine: str, kind: str) -> None:
        """Wait until a machine's watch of a kind has just been answered."""
        end = time.monotonic() + 10
        while time.monotonic() - self.answered.get((machine, kind), 0.0) > 0.1:
            if time.monotonic() > end:
                raise Unable(f"{machine} doesn't watch {kind}")
            await asyncio.sleep(0.01)

    def heal(self, machine: str) -> None:
        """End the partition."""
        self._open[machine].set()

    def lose_next(self, machine: str, kind: str) -> None:
        """Lose the next answer with news of a kind to a machine."""
        self._losing.add((machine, kind))

    def _is_lost(self, request: Request, answer: bytes, machine: str) -> bool:
        kind = request.path.split("/")[3]
        is_news = "watch" in request.query and b'"events": []' not in answer
        if not is_news or (machine, kind) not in self._losing:
            return False
        self._losing.discard((machine, kind))
        return True

    async def _execute(self, request: Request, machine: str) -> bytes:
        await asyncio.sleep(0.004)
        parts = [unquote(part) for part in request.path.strip("/").split("/")]
        kind, name = parts[2], "/".join(parts[3:4])
        if request.method != "GET":
            return self._write(request, kind, name, is_status=len(parts) == 5)
        if name:
            found = self.objects.get(kind, {}).get(name)
            return self._answer(found) if found else self._answer({}, 404)
        if "watch" in request.query:
            return await self._watch(request, kind, machine)
        names = sorted(self.objects.get(kind, {}))
        names = [n for n in names if n > request.query.get("after", "")]
        items = [self.objects[kind][n] for n in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        return self._answer({"items": items, "hasMore": more, "asOf": self.revision})

    def _answer(self, value: Any, status: int = 200) -> bytes:
        return make_json(value, status, Store_Era="1")

    async def _watch(self, request: Request, kind: str, machine: str) -> bytes:
        since = int(request.query["watch"])
        self.watching[machine, kind] = time.monotonic()
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while not (events := self._list_events(kind, since)):
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
        self.watching.pop((machine, kind), None)
        self.answered[machine, kind] = time.monotonic()
        return self._answer({"events": events, "asOf": self.revision})

    def _list_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": found, "deleted": deleted}
            for revision, of_kind, found, deleted in self.history
            if of_kind == kind and revision > since
        ]

    def _write(
        self, request: Request, kind: str, name: str, *, is_status: bool
    ) -> bytes:
        if request.method == "DELETE":
            current = self.objects.get(kind, {}).get(name)
            if current is None:
                return self._answer({}, 404)
            expected = request.query.get("revision")
            if expected not in (None, str(current["metadata"]["revision"])):
                return self._answer(current, 409)
            self.delete(kind, name)
            return self._answer(current)
        body = json.loads(request.body)
        name = name or body["metadata"]["name"]
        current = self.objects.get(kind, {}).get(name)
        if request.method == "POST" and current is not None:
            return self._answer(current, 409)
        if request.method == "PUT" and current is None:
            return self._answer({}, 404)
        expected = body["metadata"].get("revision")
        if current and expected not in (None, current["metadata"]["revision"]):
            return self._answer(current, 409)
        part = "status" if is_status else "spec"
        return self._answer(self.put(kind, name, body.get(part), part))

    def put(
        self, kind: str, name: str, value: Any, part: str = "spec"
    ) -> dict[str, Any]:
        """Write an object, as the operator or a server does; return it."""
        current = self.objects.setdefault(kind, {}).get(name)
        if current is not None and current[part] == value:
            return current
        self.revision += 1
        created = self.revision if current is None else current["metadata"]["created"]
        found = {"spec": None, "status": None} | (current or {})
        found[part] = value
        found["metadata"] = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        self.objects[kind][name] = found
        self._record_event(kind, found, deleted=False)
        return found

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects[kind].pop(name)
        self.revision += 1
        self._record_event(kind, found, deleted=True)

    def _record_event(self, kind: str, found: dict[str, Any], *, deleted: bool) -> None:
        self.history.append((self.revision, kind, found, deleted))
        self._changed.set()
        self._changed = asyncio.Event()


class Program:
    """One of the system's own programs, as a separate process."""

    def __init__(
        self, folder: Path, name: str, module: str, settings: dict[str, Any]
    ) -> None:
        self.name = name
        path = folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG", "TMPDIR")
        }
        environment |= {
            "MASTICDRUM_BOOT": str(path),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self._log = folder / f"{name}.log"
        with self._log.open("wb") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", module],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def read_log(self) -> list[str]:
        """Return the lines that the program has logged."""
        return self._log.read_text(errors="replace").splitlines()

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Deployment:
    """A store, and the programs that run on it."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.programs: list[Program] = []
        self.http: dict[str, int] = {}
        self._probes: dict[str, int] = {}

    async def start_entry(
        self, name: str, zone: str, resources: dict[str, int] | None = None
    ) -> Program:
        """Start an entry and wait until it is ready."""
        http, probes, metrics, datagrams, store = find_ports(5)
        await self.store.serve(name, store)
        settings = BOUNDS | {
            "name": name,
            "data_centre": zone,
            "http": f"{LOOPBACK}:{http}",
            "probes": f"{LOOPBACK}:{probes}",
            "metrics": f"{LOOPBACK}:{metrics}",
            "datagrams": f"{LOOPBACK}:{datagrams}",
            "resources": resources or {"memory_mb": 222, "descriptors": 1535},
            "store": f"{LOOPBACK}:{store}",
        }
        program = Program(self.folder, name, "masticdrum.platform.entry", settings)
        self.programs.append(program)
        self.http[name], self._probes[name] = http, probes
        end = time.monotonic() + 30
        while await self._ask_readiness(name) != 200:
            if time.monotonic() > end or program.process.poll() is not None:
                raise Unable(f"{name} did not become ready")
            await asyncio.sleep(0.05)
        self.record.say(f"{name} is ready")
        return program

    async def _ask_readiness(self, name: str) -> int:
        try:
            return (await call(self._probes[name], "GET", "/readyz", {})).status
        except OSError:
            return 0

    async def start_agent(self, name: str, zone: str, upstream: str) -> Program:
        """Start the agent beside a server."""
        metrics, datagrams, store = find_ports(3)
        await self.store.serve(name, store)
        settings = {
            "name": name,
            "data_centre": zone,
            "upstream": upstream,
            "metrics": f"{LOOPBACK}:{metrics}",
            "datagrams": f"{LOOPBACK}:{datagrams}",
            "resources": {"memory_mb": 232, "descriptors": 4096},
            "grace_s": 8,
            "store": f"{LOOPBACK}:{store}",
        }
        program = Program(self.folder, name, "masticdrum.platform.agent", settings)
        self.programs.append(program)
        return program


class Answer:
    """An answer that a caller has read; ``whole`` if it came to its end."""

    def __init__(self, status: int, headers: Headers, body: bytes, whole: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole


async def call(
    port: int,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    wait_s: float = 15.0,
) -> Answer:
    """Send one request on a new connection and read its answer; raises ``OSError``."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        named = {"Host": HOST, "Content-Length": str(len(body))} | headers
        lines += [f"{name}: {value}" for name, value in named.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await asyncio.wait_for(read_answer(reader), wait_s)
    except (TimeoutError, asyncio.IncompleteReadError) as error:
        raise ConnectionError(repr(error)) from error
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer with a length or in chunks."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", "0"))
        return Answer(status, headers, await reader.readexactly(length), whole=True)
    body = b""
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        return Answer(status, headers, body, whole=True)
    except (OSError, asyncio.IncompleteReadError):
        return Answer(status, headers, body, whole=False)


REQUEST_NUMBERS = itertools.count(1)


def make_request_name() -> str:
    """Return an id that no other request of the run has."""
    return f"{next(REQUEST_NUMBERS):06x}{random.getrandbits(40):010x}"


def run_case(
    folder: Path,
    play: Callable[[Deployment, bool], Awaitable[bool]],
    limit_s: float = 110.0,
) -> None:
    """Play a case and exit: BROKEN, 0 if the rule held, or 2 if it could not run.

    ``run.sh`` turns BROKEN into 1, which Python itself uses for errors.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"begins, with TROUBLE={int(trouble)}")
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    deployment = Deployment(scratch, record)

    async def bounded() -> bool:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(play(deployment, trouble), limit_s)

    status = 2
    try:
        status = int(asyncio.run(bounded()))
    except Exception as error:
        record.say(f"could not run: {error!r}")
    finally:
        for program in deployment.programs:
            program.end()
        if status == 2 or os.environ.get("KEEP_LOGS"):
            for program in deployment.programs:
                record.lines += [f"{program.name}: {x}" for x in program.read_log()]
        verdict = ("the rule held", "the rule was broken", "could not run")[status]
        record.say(verdict)
        shutil.rmtree(scratch, ignore_errors=True)
    record.save()
    print(verdict, flush=True)
    # Connections that are still open are of no interest.
    os._exit(BROKEN if status == 1 else status)
