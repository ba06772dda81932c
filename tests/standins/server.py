"""What all stand-ins share: HTTP on hypercorn, faults, command line."""

import json
import sys
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Any
from urllib.parse import parse_qsl

import click
import hypercorn
import hypercorn.trio
import msgspec
import trio
from msgspec import Struct, field

JSON_HEADERS = {"content-type": "application/json"}


class Request(Struct):
    """One complete HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def name(self) -> str:
        """The path after its first segment, as in ``/objects/NAME``."""
        return self.path.split("/", 2)[2] if self.path.count("/") > 1 else ""

    @property
    def kind(self) -> str:
        """The method and the path's first segment, as in ``GET objects``."""
        return f"{self.method} {self.path.split('/', 2)[1]}"


class Reply(Struct):
    """One HTTP answer; ``chunks`` are sent after ``body`` as they arrive.

    ``aborted`` announces one byte more than ``body`` and breaks the connection there.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    chunks: AsyncIterator[bytes] | None = None
    aborted: bool = False


class AbortConnection(Exception):  # noqa: N818
    """Raised to break the connection instead of completing an answer."""


class Faults(Struct, forbid_unknown_fields=True):
    """The faults that all stand-ins have.

    ``outage`` answers 503 at once, ``hang`` never answers, ``slow_s`` delays each
    answer.
    """

    outage: bool = False
    hang: bool = False
    slow_s: float = 0.0


def make_json_reply(value: Any, status: int = 200, **headers: str) -> Reply:
    """Make an answer with a JSON body."""
    return Reply(status, json.dumps(value).encode(), JSON_HEADERS | headers)


class RateLimiter:
    """Allows ``rate`` calls per second, with bursts of a tenth of that number."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._last_call_at: float | None = None

    def allow(self, rate: float, now: float) -> bool:
        """Count one call; return false above ``rate``. Zero means no limit."""
        burst = max(1.0, rate / 10)
        earned = (
            burst if self._last_call_at is None else (now - self._last_call_at) * rate
        )
        self._tokens = min(burst, self._tokens + earned)
        self._last_call_at = now
        if rate and self._tokens < 1:
            return False
        self._tokens -= 1 if rate else 0
        return True


class StandIn:
    """An ASGI app with ``/control``; subclasses override ``answer``.

    ``POST /control`` sets faults by name; ``do`` names an action to run once. The
    action ``silence`` sends no further byte on the connections that are open now;
    new connections work. ``GET /control`` shows the faults and the call counts.
    """

    def __init__(self, faults: Any) -> None:
        self.faults = faults
        self.counts: Counter[str] = Counter()
        self._connections: set[Any] = set()
        self._silent: set[Any] = set()
        self.actions: dict[str, Callable[[], None]] = {"silence": self.silence}

    async def answer(self, request: Request) -> Reply:
        """Answer one request to which no common fault applies."""
        raise NotImplementedError

    def control(self, changes: dict[str, Any]) -> None:
        """Set faults by name; raise for an unknown name or a wrong type."""
        changes = dict(changes)
        action = changes.pop("do", None)
        if action is not None and action not in self.actions:
            raise ValueError(f"action {action!r} does not exist")
        merged = msgspec.to_builtins(self.faults) | changes
        self.faults = msgspec.convert(merged, type(self.faults))
        if action is not None:
            self.actions[action]()

    def show(self) -> dict[str, Any]:
        """Show the faults and the counts of calls."""
        return {"faults": msgspec.to_builtins(self.faults), "counts": self.counts}

    def silence(self) -> None:
        """Send nothing more on the connections that are open now."""
        self._silent |= self._connections

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        request = await read_request(scope, receive)
        if request.path == "/control":
            await send_reply(self._answer_control(request), send)
            return
        client = scope["client"]
        self._connections.add(client)
        self.counts[request.kind] += 1
        if self.faults.hang or client in self._silent:
            await wait_for_disconnect(receive)
            return
        with trio.CancelScope() as answer_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_at_disconnect, receive, answer_scope)
                await self._answer_caller(request, client, send)
                answer_scope.cancel()

    async def _answer_caller(self, request: Request, client: Any, send: Any) -> None:
        await trio.sleep(self.faults.slow_s)
        if self.faults.outage:
            await send_reply(make_json_reply({"error": "outage"}, 503), send)
            return
        try:
            reply = await self.answer(request)
        except AbortConnection:
            reply = Reply(200, aborted=True)
        if client in self._silent:
            await trio.sleep_forever()
        await send_reply(reply, send, lambda: client in self._silent)

    def _answer_control(self, request: Request) -> Reply:
        if request.method == "GET":
            return make_json_reply(self.show())
        try:
            self.control(json.loads(request.body))
        except (ValueError, msgspec.ValidationError) as error:
            return make_json_reply({"error": str(error)}, 400)
        return make_json_reply(self.show())


async def answer_lifespan(receive: Any, send: Any) -> None:
    """Confirm startup and shutdown to the server; the app does nothing for them."""
    while (event := await receive())["type"] == "lifespan.startup":
        await send({"type": "lifespan.startup.complete"})
    await send({"type": f"{event['type']}.complete"})


async def read_request(scope: Any, receive: Any) -> Request:
    """Read a request to its end."""
    body = bytearray()
    more = True
    while more:
        event = await receive()
        body += event.get("body", b"")
        more = event.get("more_body", False)
    return Request(
        scope["method"],
        scope["path"],
        dict(parse_qsl(scope["query_string"].decode(), keep_blank_values=True)),
        {name.decode(): value.decode() for name, value in scope["headers"]},
        bytes(body),
    )


async def wait_for_disconnect(receive: Any) -> None:
    """Wait until the caller closes its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def cancel_at_disconnect(receive: Any, scope: trio.CancelScope) -> None:
    """Cancel ``scope`` when the caller closes its connection."""
    await wait_for_disconnect(receive)
    scope.cancel()


async def send_reply(
    reply: Reply, send: Any, is_silent: Callable[[], bool] = lambda: False
) -> None:
    """Send an answer; an aborted one lacks its last bytes."""
    headers = [(k.encode(), v.encode()) for k, v in reply.headers.items()]
    if reply.chunks is None:
        length = len(reply.body) + reply.aborted
        headers.append((b"content-length", str(length).encode()))
    start = {"type": "http.response.start", "status": reply.status, "headers": headers}
    await send(start)
    if reply.body:
        await send_body(send, reply.body)
    if reply.aborted:
        return
    if reply.chunks is not None and not await send_chunks(
        reply.chunks, send, is_silent
    ):
        return
    await send({"type": "http.response.body", "body": b"", "more_body": False})


async def send_chunks(
    chunks: AsyncIterator[bytes], send: Any, is_silent: Callable[[], bool]
) -> bool:
    """Send the chunks; return false if the connection is to be broken.

    Once silent, send nothing more and never return.
    """
    try:
        async for chunk in chunks:
            if is_silent():
                await trio.sleep_forever()
            await send_body(send, chunk)
    except AbortConnection:
        return False
    return True


async def send_body(send: Any, body: bytes) -> None:
    """Send one piece of a body."""
    await send({"type": "http.response.body", "body": body, "more_body": True})


async def serve(
    app: Any, port: int = 0, task_status: Any = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve an app on loopback; report its address, ``http://127.0.0.1:PORT``."""
    config = hypercorn.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.loglevel = "ERROR"
    config.keep_alive_timeout = 600.0
    config.graceful_timeout = 0.1
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(hypercorn.trio.serve, app, config)
        task_status.started(addresses[0])


def run_standin(make_app: Callable[[], StandIn]) -> None:
    """Run one stand-in as a process of its own.

    ``--port`` zero selects a free port; ``--control`` is a JSON object with the
    initial faults. One line of JSON with the address is printed when it is ready.
    """

    async def run(port: int, changes: dict[str, Any]) -> None:
        app = make_app()
        app.control(changes)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve, app, port)
            print(json.dumps({"address": address}), flush=True)

    @click.command()
    @click.option("--port", default=0)
    @click.option("--control", default="{}")
    def main(port: int, control: str) -> None:
        try:
            trio.run(run, port, json.loads(control))
        except* KeyboardInterrupt:
            sys.exit(130)

    main()
