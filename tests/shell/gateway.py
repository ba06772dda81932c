"""A forwarding entry over real sockets, with an upstream that tests script."""

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio
from msgspec import Struct

from masticdrum.model.cluster_events import (
    DataCentresDrained,
    DirectoryConfirmed,
    DirectoryRead,
    Member,
    MembersListed,
    UpstreamsListed,
)
from masticdrum.model.crashes import CrashReportsListed
from masticdrum.model.directory import (
    CallerLimits,
    Directory,
    ForwardService,
    RouteKind,
)
from masticdrum.model.settings import ForwardSettings
from masticdrum.platform.headers import PlatformHeaderCodec
from masticdrum.programs.forwarder import ForwarderProcess
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.clock import read_clock
from masticdrum.shell.tcpconnection import TcpConnection
from tests.forwarding import HOST, make_route, make_upstream
from tests.shell.callers import LIMITS, make_tcp_pair
from tests.softwareplatform import Platform

RESET = struct.pack("ii", 1, 0)
UPSTREAM_COUNT = 3  # at one address
MAX_BODY_BYTES = 8 * 1024 * 1024
Script = Callable[["UpstreamSide", int], Awaitable[None]]


class UpstreamSide:
    """The upstream's end of a connection that carries one request after the other."""

    def __init__(self, stream: trio.SocketStream, request: str) -> None:
        self.stream = stream
        self.request = request
        self.was_reused = False

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def end(self) -> None:
        """Close orderly, and note whether another request arrives."""
        await self.stream.send_eof()
        self.was_reused = bool(await self.stream.receive_some())
        await self.stream.aclose()

    async def reset(self) -> None:
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        await self.stream.aclose()


class Received(Struct):
    """What a caller received: all bytes, and whether a reset ended them."""

    data: bytes
    is_reset: bool

    @property
    def status(self) -> int:
        """The status, zero without a whole head."""
        head, blank, _ = self.data.partition(b"\r\n\r\n")
        return int(head.split()[1]) if blank else 0

    def read_body(self) -> tuple[bytes, bool]:
        """Return the body, and whether a caller has to take it for complete."""
        head, blank, rest = self.data.partition(b"\r\n\r\n")
        if not blank:
            return b"", False
        lines = [line.lower().partition(b":") for line in head.split(b"\r\n")[1:]]
        headers = {name: value.strip() for name, _, value in lines}
        if headers.get(b"transfer-encoding") == b"chunked":
            return read_chunks(rest)
        if b"content-length" in headers:
            return rest, len(rest) == int(headers[b"content-length"])
        return rest, not self.is_reset


def read_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the content of chunks, and whether the last one is there."""
    body = b""
    while True:
        size, end, data = data.partition(b"\r\n")
        if not end:
            return body, False
        length = int(size, 16)
        if length == 0:
            return body, data == b"\r\n"
        body += data[:length]
        if data[length : length + 2] != b"\r\n":
            return body, False
        data = data[length + 2 :]


class Gateway:
    """Sends callers' requests to the script of their id, with the attempt's number."""

    def __init__(
        self, nursery: trio.Nursery, timeout_s: float = 10.0, max_attempts: int = 2
    ) -> None:
        self.scripts: dict[str, Script] = {}
        self.sides: dict[str, list[UpstreamSide]] = {}
        self._nursery = nursery
        settings = ForwardSettings(
            name="entry-1",
            data_centre="north",
            http="127.0.0.1:0",
            probes="127.0.0.1:0",
            metrics="127.0.0.1:0",
            store="127.0.0.1:1",
            revoke_s=600.0,
            retry_extra=1e6,
        )
        self.process = ForwarderProcess(
            settings, PlatformHeaderCodec(), nursery, LIMITS
        )
        self._routes = tuple(
            make_route(
                kind,
                name=name,
                prefix=f"/{name}/",
                resumable=name == "stream",
                timeout_s=timeout_s,
                max_attempts=max_attempts,
            )
            for name, kind in (
                ("idempotent", RouteKind.IDEMPOTENT),
                ("non_idempotent", RouteKind.NON_IDEMPOTENT),
                ("stream", RouteKind.STREAM),
                ("once", RouteKind.STREAM),
            )
        )

    async def start(self) -> None:
        """Listen as the upstreams, and make them known to the entry."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
        self._nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        upstreams = tuple(
            make_upstream(f"desk-{n}", address=f"127.0.0.1:{port}", slots=10_000)
            for n in range(UPSTREAM_COUNT)
        )
        now = read_clock()
        directory = Directory(
            version=1,
            routes=self._routes,
            services=(ForwardService("desk"),),
            limits=CallerLimits(max_body_bytes=MAX_BODY_BYTES),
        )
        for event in (
            DirectoryRead(directory, now),
            DirectoryConfirmed(now),
            UpstreamsListed(upstreams),
            DataCentresDrained(frozenset()),
            CrashReportsListed(()),
            MembersListed((Member("entry-1", "entry", "north"),)),
        ):
            self.process.loop.submit(event)
        self._nursery.start_soon(self._execute_store_calls)
        self._nursery.start_soon(self.process.loop.run_timers)
        self._nursery.start_soon(self.process.tick)

    async def ask(
        self,
        request: str,
        route: str,
        script: Script,
        version: str = "1.1",
        body: bytes = b"ab",
    ) -> Received:
        """Send a request and return all that its caller receives."""
        self.scripts[request] = script
        self.sides[request] = []
        own, other = make_tcp_pair()
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(other))
        handler = self.process.forwarding
        connection = CallerConnection(TcpConnection(own), handler, self._nursery)
        self._nursery.start_soon(connection.serve)
        head = (
            f"POST /{route}/{request} HTTP/{version}\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        await stream.send_all(head.encode() + body)
        received = Received(b"", False)
        try:
            while data := await stream.receive_some():
                received.data += bytes(data)
        except trio.BrokenResourceError:
            received.is_reset = True
        await stream.aclose()
        return received

    async def _execute_store_calls(self) -> None:
        platform = Platform()
        while True:
            call = await self.process.store_call.wait()
            self.process.loop.submit(platform.execute(call))

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := bytes(await stream.receive_some()):
                head = data.lower()
                request = head.split(b"x-request-id: ")[1].split(b"\r\n")[0].decode()
                side = UpstreamSide(stream, request)
                self.sides[request].append(side)
                await self.scripts[request](side, len(self.sides[request]))


def run_gateway(
    play: Callable[[Gateway], Awaitable[None]], *, within_s: float, **options: float
) -> None:
    """Run ``play`` with a gateway; it has to end within a time."""

    async def run() -> None:
        with trio.fail_after(within_s):
            async with trio.open_nursery() as nursery:
                gateway = Gateway(nursery, **options)
                await gateway.start()
                await play(gateway)
                nursery.cancel_scope.cancel()

    trio.run(run)
