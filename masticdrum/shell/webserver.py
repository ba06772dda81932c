"""Runs Hypercorn as the HTTP server of a process."""

import socket
from collections.abc import Awaitable, Callable

from hypercorn.config import Config, Sockets

from masticdrum.model.resources import ProcessLimits
from masticdrum.shell.asgi import Receive, Scope, Send
from masticdrum.shell.connectionlimits import ConnectionLimits
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.tcpconnection import bound_buffers
from masticdrum.shell.webconnections import WEB_CONNECTION_BYTES, WebConnections

# Lets the application refuse too large headers with its own error.
HEADER_SLACK_BYTES = 16 * 1024
KEEP_ALIVE_S = 75.0
WRITE_TIMEOUT_S = 10.0
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class WebserverConfig(Config):
    """Hypercorn's settings, with a limit on how long a caller may accept no data.

    Hypercorn shields its writes from cancellation, so only the kernel can abort one:
    it closes a connection whose peer has accepted no byte for ``write_timeout_s``.
    """

    write_timeout_s = WRITE_TIMEOUT_S
    read_idle_s: Callable[[], float] = staticmethod(lambda: KEEP_ALIVE_S)

    read_grace_s: Callable[[], float] = staticmethod(lambda: WRITE_TIMEOUT_S)

    @property
    def graceful_timeout(self) -> float:
        """How long open requests may continue after a stop, in seconds, as of now."""
        return self.read_grace_s()

    @graceful_timeout.setter
    def graceful_timeout(self, value: float) -> None:
        self.read_grace_s = lambda: value

    @property
    def keep_alive_timeout(self) -> float:
        """How long a connection may be idle, in seconds, as of now."""
        return self.read_idle_s()

    @keep_alive_timeout.setter
    def keep_alive_timeout(self, value: float) -> None:
        self.read_idle_s = lambda: value

    def create_sockets(self) -> Sockets:
        """Create the listening sockets, whose options accepted ones inherit."""
        sockets = super().create_sockets()
        timeout_ms = int(self.write_timeout_s * 1000)
        for listener in sockets.insecure_sockets:
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
            bound_buffers(listener)
        return sockets


async def run_webserver(
    application: Application,
    addresses: str | list[str],
    *,
    max_header_bytes: int,
    grace_s: float | Callable[[], float],
    until: Callable[..., Awaitable[None]],
    limits: ProcessLimits,
    metrics: Metrics,
    max_body_bytes: int = 0,
    write_timeout_s: float = WRITE_TIMEOUT_S,
    read_idle_s: Callable[[], float] | None = None,
) -> None:
    """Serve HTTP at one or several ``IP:PORT`` until ``until`` returns.

    ``limits`` bounds connections and what is held for them, so that one body of
    ``max_body_bytes`` fits.

    ``read_idle_s`` returns how long a connection may be idle, if that changes.
    ``grace_s`` is how long open requests may continue once the server stops; a
    callable is called at that time.
    """
    config = WebserverConfig()
    config.write_timeout_s = write_timeout_s
    config.bind = [addresses] if isinstance(addresses, str) else addresses
    config.h11_max_incomplete_size = max_header_bytes + HEADER_SLACK_BYTES
    if read_idle_s is not None:
        config.read_idle_s = read_idle_s
    config.read_grace_s = grace_s if callable(grace_s) else lambda: grace_s
    config.accesslog = None
    config.errorlog = None

    connection_limits = ConnectionLimits(limits, metrics)
    connection_limits.set_max_body_bytes(max_body_bytes)
    by_memory = limits.caller_bytes // (2 * WEB_CONNECTION_BYTES)
    most = min(limits.caller_connections, by_memory)
    connections = WebConnections(application, config, connection_limits, most)
    await connections.serve(until, config.read_grace_s)
