"""A stand-in of the users' model servers, as far as PROTOCOL.md tells of them.

A server runs prompts, keeps their parts under ``X-Cache-Salt``, fetches parts from the
server that ``X-Kv-Source`` names, preempts the newest of the least urgent runs when its
memory runs out, and takes new weights with ``hot_swap``. Of each part it notes under
which version of the weights and for which tenant it was made.
"""

import asyncio
import itertools
import json
import time
from collections import OrderedDict
from typing import Any

from standins2 import (
    LOOPBACK,
    Deployment,
    Request,
    call,
    find_ports,
    listen,
    make_answer,
    make_json,
)

TOKENS_PER_MS = 92.1  # of a prompt that is read
TOKEN_S = 0.012  # between two tokens of an answer, in a busy batch
LOAD_S = 1.3  # until new weights are loaded
CAPACITY_TOKENS = 109_395
STRIDE = 7  # tokens that an event carries
CHECK_S = 0.005
CHUNKED = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
BIRTHS = itertools.count(time.time_ns() // 1_000_000)
Key = tuple[str, str]  # the salt and the part


class Part:
    """A part of a prompt in memory, the version that made it, and whose request."""

    def __init__(self, tokens: int, version: int, maker: str) -> None:
        self.tokens = tokens
        self.version = version
        self.maker = maker
        self.users = 0


class Run:
    """One prompt that a server works on."""

    def __init__(self, request: Request, number: int) -> None:
        headers = request.headers
        self.number = number
        self.name = headers["x-request-id"]
        self.salt = headers.get("x-cache-salt", "")
        self.tenant = headers.get("x-tenant", "")
        pairs = (text.split(":") for text in headers["x-prefix-hash"].split(","))
        self.parts = [(part, int(tokens)) for part, tokens in pairs]
        self.out = int(headers["x-token-usage"].split(",")[1])
        self.urgency = int(headers.get("x-priority-class", "5"))
        self.source = headers.get("x-kv-source", "")
        self.made = 0
        self.held: list[Part] = []
        self.has_begun = False
        self.is_preempted = False
        self.is_refused = False

    @property
    def keys(self) -> list[Key]:
        """The keys of the parts."""
        return [(self.salt, part) for part, _ in self.parts]


class Engine:
    """One server of the service ``llm``."""

    def __init__(self, deployment: Deployment, name: str, zone: str) -> None:
        self.store = deployment.store
        self.record = deployment.record
        self.name = name
        self.zone = zone
        self.port = find_ports(1)[0]
        self.born = next(BIRTHS)
        self.version = 1
        self.loading = 0
        self.loaded_at = 0.0
        self.orders = 0
        self.parts: OrderedDict[Key, Part] = OrderedDict()
        self.runs: list[Run] = []
        self.stale: list[str] = []
        self.shared: list[tuple[float, str, str, str]] = []
        self._numbers = itertools.count(1)

    @property
    def address(self) -> str:
        """The address at which it serves."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Serve, and register."""
        await listen(self.port, self._answer)
        self.register()

    def register(self) -> None:
        """Write the registration."""
        model = {"name": "m1", "version": self.version, "adapters": []}
        registration = {
            "service": "llm",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [model],
            "born": self.born,
            "sequence": self.version,
        }
        self.store.put("servers", self.name, registration)

    async def _answer(self, request: Request, writer: Any) -> None:
        if request.path == "/v1/report":
            writer.write(make_json(self._report()))
        elif request.path == "/v1/order":
            writer.write(self._take_order(request))
        elif request.path == "/kv":  # the servers' own way to fetch from one another
            part = self.parts.get((request.query["salt"], request.query["part"]))
            found = None if part is None else [part.version, part.maker]
            writer.write(make_json(found))
        else:
            await self._take_prompt(request, writer)

    def _report(self) -> dict[str, Any]:
        model = {"name": "m1", "version": self.version, "adapters": []}
        return {
            "stage": "both",
            "models": [model],
            "busy": bool(self.loading),
            "sequence": self.orders,
            "queued": 0,
            "active": len(self.runs),
            "kvUsed": sum(p.tokens for p in self.parts.values() if p.users),
            "kvTotal": CAPACITY_TOKENS,
            "handles": 0,
            "born": self.born,
        }

    # Orders

    def _take_order(self, request: Request) -> bytes:
        order = json.loads(request.body)
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return make_json({}, 421)
        if order["op"] != "version" or not order.get("holder"):
            return make_json({}, 400)
        named = self.store.objects["versions"]["m1"]["spec"]["version"]
        if order["version"] > named:
            return make_json({}, 400)
        if order["version"] == self.version:
            return make_json({}, 200)
        if self.loading or order.get("expect", self.orders) != self.orders:
            return make_json({}, 409)
        self.orders += 1
        self.loading = order["version"]
        self.record.say(
            f"{self.name} takes the order of version {order['version']} with "
            f"{order['method']} from {order['holder']}"
        )
        for run in self.runs:
            run.is_refused = not run.has_begun
        self._task = asyncio.create_task(self._load())
        return make_json({}, 202)

    async def _load(self) -> None:
        await asyncio.sleep(LOAD_S)
        for key in [key for key, part in self.parts.items() if not part.users]:
            del self.parts[key]
        self.version, self.loading = self.loading, 0
        self.loaded_at = self.record.now()
        self.record.say(f"{self.name} has version {self.version}")
        self.register()

    # Prompts

    async def _take_prompt(self, request: Request, writer: Any) -> None:
        headers = request.headers
        run = Run(request, next(self._numbers))
        said = {
            "X-Request-Id": run.name,
            "X-Instance-Id": self.name,
            "X-Weight-Versions": str(self.version),
        }
        expected = headers.get("x-expect-version", str(self.version))
        if headers.get("x-expect-instance", self.name) != self.name:
            del said["X-Weight-Versions"]
            writer.write(make_answer(421, b"", said))
            return
        if self.loading or expected != str(self.version):
            status = 503 if self.loading else 421
            if self.loading:
                said["X-Not-Executed"] = "1"
            writer.write(make_answer(status, b"", said))
            return
        self.record.say(
            f"{run.name} reaches {self.name}, which has version {self.version}: salt "
            f"{run.salt}, parts {headers['x-prefix-hash']}, source {run.source or '-'}"
        )
        self.runs.append(run)
        try:
            await self._work(run, writer, said)
        finally:
            self._release(run)
            self.runs.remove(run)

    async def _work(self, run: Run, writer: Any, said: dict[str, str]) -> None:
        await self._read_prompt(run)
        if run.is_refused:
            writer.write(make_answer(503, b"", said | {"X-Not-Executed": "1"}))
            return
        run.has_begun = True
        self._check_parts(run)
        named = said | CHUNKED | {"X-Response-Signature": f"signed.{run.name}"}
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in named.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        version = self.version
        while run.made < run.out:
            if run.is_preempted:
                await self._read_prompt(run)
                run.is_preempted = False
                self.record.say(
                    f"{run.name} goes on at {self.name} and its parts are read in again"
                )
            await asyncio.sleep(STRIDE * TOKEN_S)
            run.made += STRIDE
            event = f"id: {run.made // STRIDE}\ndata: tokens\n\n"
            if version != self.version:
                version = self.version
                event = f"x-weight-versions: {version}\n{event}"
            data = event.encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def _read_prompt(self, run: Run) -> None:
        """Wait for memory, then fetch or read what isn't kept."""
        while not self._make_room(run) and not run.is_refused:
            await asyncio.sleep(CHECK_S)
        if run.is_refused:
            return
        for key, (name, tokens) in zip(run.keys, run.parts, strict=True):
            part = self.parts.get(key)
            if part is None:
                part = self.parts[key] = Part(tokens, self.version, run.tenant)
                part.users += 1
                fetched = await self._fetch(run, name)
                if fetched is None:
                    await asyncio.sleep(tokens / TOKENS_PER_MS / 1000)
                    part.version = self.version
                else:
                    part.version, part.maker = fetched
                    self.record.say(
                        f"{self.name} fetches part {name} under {run.salt} from "
                        f"{run.source}; it was made under version {part.version}"
                    )
            else:
                part.users += 1
            self.parts.move_to_end(key)
            run.held.append(part)

    async def _fetch(self, run: Run, name: str) -> tuple[int, str] | None:
        """Return who made a part that the source keeps, None if it has none."""
        if not run.source or "," in run.source or run.is_preempted:
            return None
        port = int(run.source.rpartition(":")[2])
        target = f"/kv?salt={run.salt}&part={name}"
        try:
            found = json.loads((await call(port, "GET", target, {})).body)
        except OSError:
            return None
        return None if found is None else (int(found[0]), str(found[1]))

    def _check_parts(self, run: Run) -> None:
        """Note a run that begins on KV cache of another version or another tenant."""
        for (name, _), part in zip(run.parts, run.held, strict=True):
            if part.maker != run.tenant:
                now = self.record.now()
                self.shared.append((now, run.name, run.tenant, part.maker))
                self.record.say(
                    f"{run.name} of {run.tenant} begins at {self.name}, on part {name} "
                    f"that a request of {part.maker} made"
                )
            if part.version != self.version:
                self.stale.append(run.name)
                self.record.say(
                    f"STALE: {run.name} begins at {self.name} under version "
                    f"{self.version}, on part {name} made under version {part.version}"
                )

    # Memory

    def _make_room(self, run: Run) -> bool:
        """Evict parts, then preempt less urgent runs, until a run's prompt fits."""
        kept = {key for key in run.keys if key in self.parts}
        needed = sum(t for k, (_, t) in zip(run.keys, run.parts, strict=True)
                     if k not in kept)  # fmt: skip
        while self._used() + needed > CAPACITY_TOKENS:
            unused = [k for k, p in self.parts.items() if not p.users and k not in kept]
            if unused:
                del self.parts[unused[0]]
                continue
            others = [r for r in self.runs if r.held and r.urgency > run.urgency]
            if not others:
                return False
            self._preempt(max(others, key=lambda r: (r.urgency, r.number)))
        return True

    def _used(self) -> int:
        return sum(part.tokens for part in self.parts.values())

    def _preempt(self, run: Run) -> None:
        self.record.say(f"{run.name} is preempted at {self.name}")
        run.is_preempted = True
        self._release(run)

    def _release(self, run: Run) -> None:
        for part in run.held:
            part.users -= 1
        run.held.clear()


class FullStore:
    """A store of kept KV cache that has no room left and keeps no part of these."""

    def __init__(self) -> None:
        self.port = find_ports(1)[0]

    async def start(self) -> None:
        """Serve the calls for its events."""

        async def handle(request: Request, writer: Any) -> None:
            await asyncio.sleep(int(request.headers.get("wait-ms", "0")) / 1000)
            answer = {"bootEpoch": 77120, "next": 120, "lost": False, "events": []}
            writer.write(make_json(answer))

        await listen(self.port, handle)
