"""Accepts callers' connections until it is stopped, and serves each in a task.

What it holds for all of them together is bounded, and so is their number at each
address (``connectionlimits.py``).
"""

import errno
import socket
from collections.abc import Awaitable, Callable

import trio

from masticdrum.model.resources import ProcessLimits
from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.callerrequests import RequestHandler
from masticdrum.shell.connectionlimits import ConnectionGroup, ConnectionLimits
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.supervision import describe_failure
from masticdrum.shell.tcpconnection import TcpConnection, bound_buffers

BACKLOG = 1024  # connections that the kernel completes before they are accepted
ACCEPTS_AT_ONCE = 64  # so that a burst of connections doesn't delay open requests
# No descriptors are left; they return as connections close.
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
EXHAUSTED_WAIT_S = 0.1
WRITE_TIMEOUT_MS = (
    10_000  # until the kernel gives up a caller that acknowledges nothing
)


class Listener:
    """One address with its handler and connections."""

    def __init__(self, address: str, handler: RequestHandler, most: int) -> None:
        self.socket = listen(address)
        self.handler = handler
        self.group = ConnectionGroup(most)


class CallerServer:
    """Serves HTTP/1.1 to callers at ``address`` and to probes at other addresses.

    ``handlers`` are those of the addresses; all but that of callers have the lower
    limit of probes.
    """

    def __init__(
        self,
        handlers: dict[str, RequestHandler],
        limits: ProcessLimits,
        metrics: Metrics,
        address: str | None = None,
    ) -> None:
        self.limits = ConnectionLimits(limits, metrics)
        self._connections: set[CallerConnection] = set()
        self._listeners = []
        for place, handler in handlers.items():
            is_callers = place == address
            most = limits.caller_connections if is_callers else limits.probe_connections
            self._listeners.append(Listener(place, handler, most))

    async def serve(
        self, until: Callable[[], Awaitable[None]], grace_s: Callable[[], float]
    ) -> None:
        """Serve until ``until`` returns and open requests are answered.

        These have the time that ``grace_s`` returns then. Connections that the kernel
        completed before the stop are still served.
        """
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as accepting:
                for listener in self._listeners:
                    accepting.start_soon(self._accept, listener, nursery)
                await until()
                accepting.cancel_scope.cancel()
            for listener in self._listeners:
                self._accept_pending(listener, nursery, BACKLOG)
                listener.socket.close()
            await trio.lowlevel.checkpoint()
            for connection in list(self._connections):
                connection.stop()
            nursery.cancel_scope.deadline = trio.current_time() + grace_s()

    async def _accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        while True:
            await trio.lowlevel.wait_readable(listener.socket)
            if not self._accept_pending(listener, nursery, ACCEPTS_AT_ONCE):
                await trio.sleep(EXHAUSTED_WAIT_S)

    def _accept_pending(
        self, listener: Listener, nursery: trio.Nursery, most: int
    ) -> bool:
        """Accept complete connections; return False if descriptors have run out."""
        for _ in range(most):
            try:
                raw_socket, _ = listener.socket.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in EXHAUSTED:
                    raise
                write_event(Log(LogNumber.ACCEPT_FAILED, detail=repr(error)))
                return False
            if not self.limits.make_room(listener.group):
                raw_socket.close()
                continue
            raw_socket.setblocking(False)
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = CallerConnection(
                TcpConnection(raw_socket), listener.handler, nursery, self.limits
            )
            self._connections.add(connection)
            self.limits.add(listener.group, connection)
            nursery.start_soon(self._serve_connection, listener, connection)
        return True

    async def _serve_connection(
        self, listener: Listener, connection: CallerConnection
    ) -> None:
        try:
            await connection.serve()
        except Exception as error:
            detail = describe_failure(error)
            write_event(Log(LogNumber.CONNECTION_FAILED, detail=detail))
        finally:
            self._connections.discard(connection)
            self.limits.remove(listener.group, connection)


def listen(address: str) -> socket.socket:
    """Listen at ``IP:PORT``; accepted connections inherit the socket options."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, WRITE_TIMEOUT_MS)
    bound_buffers(listener)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
