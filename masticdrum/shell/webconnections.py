"""The connections of Hypercorn's server, with the limits of their process.

Hypercorn serves each connection, but neither bounds their number nor what they hold
together. Here they are accepted within the limits, and what a request's body holds is
counted where the application receives it.
"""

from collections.abc import Awaitable, Callable
from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from masticdrum.core.processlimits import CONNECTION_BYTES
from masticdrum.shell.asgi import Message, Receive, Scope, Send
from masticdrum.shell.clock import read_clock
from masticdrum.shell.connectionlimits import ConnectionGroup, ConnectionLimits

# What a connection takes without any body: Hypercorn's tasks, and an unfinished head.
WEB_CONNECTION_BYTES = 4 * CONNECTION_BYTES
RECEIVE_BYTES = 16 * 1024  # at once, since Hypercorn would take 64 KiB for each caller
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class WebConnection:
    """A connection's stream, as far as Hypercorn uses it."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.socket = stream.socket
        self.waiting_since = read_clock()
        self.is_waiting = True  # for a whole request, or to be used again
        self.body_bytes = 0

    def begin_answer(self) -> None:
        """Note that a whole request has arrived."""
        self.is_waiting = False

    def begin_wait(self) -> None:
        """Note that the caller's next request is awaited."""
        self.is_waiting = True
        self.waiting_since = read_clock()
        self.body_bytes = 0

    def shed(self) -> None:
        """Close the connection; Hypercorn's task for it ends."""
        self.socket.close()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes; raises ``trio.BrokenResourceError`` once it is closed."""
        most = RECEIVE_BYTES if max_bytes is None else min(max_bytes, RECEIVE_BYTES)
        return bytes(await self._stream.receive_some(most))

    async def send_all(self, data: bytes) -> None:
        """Send bytes; raises ``trio.BrokenResourceError`` once it is closed."""
        await self._stream.send_all(data)

    async def send_eof(self) -> None:
        """Signal the end of the stream to the caller."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


class WebConnections:
    """Serves connections to one application within limits."""

    def __init__(
        self,
        application: Application,
        config: Config,
        limits: ConnectionLimits,
        most: int,
    ) -> None:
        self._application = application
        self._config = config
        self._limits = limits
        self._group = ConnectionGroup(most)

    async def serve(
        self, until: Callable[..., Awaitable[None]], grace_s: Callable[[], float]
    ) -> None:
        """Serve until ``until`` returns and open requests are answered.

        These have the time that ``grace_s`` returns then.
        """
        context = WorkerContext(None)
        listeners = []
        for raw_socket in self._config.create_sockets().insecure_sockets:
            raw_socket.listen(self._config.backlog)
            listeners.append(
                trio.SocketListener(trio.socket.from_stdlib_socket(raw_socket))
            )
        async with trio.open_nursery() as serving:
            async with trio.open_nursery() as accepting:
                serve = partial(self._serve_connection, context)
                accepting.start_soon(
                    partial(
                        trio.serve_listeners, serve, listeners, handler_nursery=serving
                    )
                )
                await until()
                accepting.cancel_scope.cancel()
            await context.terminated.set()
            serving.cancel_scope.deadline = trio.current_time() + grace_s()

    async def _serve_connection(
        self, context: WorkerContext, stream: trio.SocketStream
    ) -> None:
        if not self._limits.make_room(self._group):
            await stream.aclose()
            return
        connection = WebConnection(stream)
        self._limits.add(self._group, connection)
        self._record_held(connection)
        wrapper = ASGIWrapper(partial(self._answer, connection))
        state = ConnectionState({})
        try:
            await TCPServer(
                wrapper,
                self._config,
                context,
                state,
                connection,  # type: ignore[arg-type]
            )
        except OSError:
            return  # the connection is already closed
        finally:
            self._limits.remove(self._group, connection)

    async def _answer(
        self, connection: WebConnection, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request, and count what is held of its body meanwhile."""
        if scope["type"] != "http":
            return

        async def receive_counted() -> Message:
            message = await receive()
            if message["type"] != "http.request":
                return message
            connection.body_bytes += len(message.get("body", b""))
            if not message.get("more_body", False):
                connection.begin_answer()
            self._record_held(connection)
            return message

        try:
            await self._application(scope, receive_counted, send)
        finally:
            connection.begin_wait()
            if connection in self._group.connections:
                self._record_held(connection)

    def _record_held(self, connection: WebConnection) -> None:
        size = WEB_CONNECTION_BYTES + connection.body_bytes
        self._limits.record_held(connection, size)
