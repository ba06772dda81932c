"""A caller's connection over a pair of sockets, with a handler that tests control."""

import socket
from collections.abc import Awaitable, Callable

import trio

from masticdrum.core.processlimits import derive_limits
from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ANSWERS
from masticdrum.model.resources import Resources
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.callerrequests import IncomingRequest, Refusal, RequestHandler
from masticdrum.shell.tcpconnection import TcpConnection

REQUEST = b"POST /a/1?x=%2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n"
SMALL = REQUEST + b"Content-Length: 3\r\n\r\nabc"
WAIT_S = 3.0
LIMITS = derive_limits(Resources(memory=136_000_000, descriptors=1535)).unwrap()


class FakeHandler:
    """Records requests; ``answer`` is called with each, if it is set."""

    def __init__(self, limits: CallerLimits | None = None) -> None:
        self.limits = limits or CallerLimits()
        self.requests: list[IncomingRequest] = []
        self.refusals: list[Refusal] = []
        self.abandoned = trio.Event()
        self.arrived = trio.Event()
        self.connection: CallerConnection | None = None
        self.answer: Callable[[CallerConnection], None] | None = None

    def read_limits(self) -> CallerLimits:
        return self.limits

    def was_stalled(self) -> bool:
        return False

    def check(self, request: IncomingRequest) -> Refusal | None:
        return None

    def begin(self, connection: CallerConnection, request: IncomingRequest) -> None:
        self.connection = connection
        self.requests.append(request)
        self.arrived.set()
        if self.answer is not None:
            self.answer(connection)

    def refuse(
        self,
        connection: CallerConnection,
        request: IncomingRequest | None,
        refusal: Refusal,
    ) -> None:
        self.refusals.append(refusal)
        status = ANSWERS[refusal.kind].status
        connection.send_whole(status, [(b"connection", b"close")], b"no")

    def abandon(self, connection: CallerConnection) -> None:
        self.abandoned.set()


class FakeCaller:
    """The caller's end of a connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.received = b""

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def receive_until(self, text: bytes) -> bytes:
        """Return what was received up to and including ``text``."""
        while text not in self.received:
            data = await self.stream.receive_some()
            assert data, f"closed after {self.received!r}"
            self.received += bytes(data)
        end = self.received.index(text) + len(text)
        taken, self.received = self.received[:end], self.received[end:]
        return taken

    async def receive_all(self) -> bytes:
        """Return everything up to the end of the stream."""
        while data := await self.stream.receive_some():
            self.received += bytes(data)
        return self.received


def make_tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return the ends of a connection; only TCP tells a reset from a close."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        other = socket.create_connection(listener.getsockname())
        own, _ = listener.accept()
    own.setblocking(False)
    other.setblocking(False)
    return own, other


Script = Callable[[FakeCaller, CallerConnection], Awaitable[None]]


def run_connection(handler: RequestHandler, script: Script) -> None:
    """Run a caller's script against a connection; it ends within ``WAIT_S``."""

    async def run() -> None:
        own, other = socket.socketpair()
        own.setblocking(False)
        caller = FakeCaller(trio.SocketStream(trio.socket.from_stdlib_socket(other)))
        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as nursery:
                connection = CallerConnection(TcpConnection(own), handler, nursery)
                nursery.start_soon(connection.serve)
                await script(caller, connection)
                await caller.stream.aclose()
                nursery.cancel_scope.cancel()

    trio.run(run)
