"""A TCP stream to an upstream that knows whether octets left it.

Writes are kept until the first read, so that a request's head and body leave in one
piece. A peer that takes or says nothing is given up by the kernel, since connections
may go silent for good while new ones work.
"""

import socket
import ssl
import struct
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import httpcore
import trio

USER_TIMEOUT_MS = 1500  # three retransmissions on a link that loses packets
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2
RESET = struct.pack("ii", 1, 0)  # linger for no time


class UpstreamStream(httpcore.AsyncNetworkStream):
    """One connection, as httpcore wants it."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._pending = bytearray()
        self.offered = False

    def rest(self) -> None:
        """Forget that octets of an earlier request left."""
        self.offered = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what is pending, then receive."""
        if self._pending:
            await self._send_pending()
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error.__cause__ or error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Keep octets until the next read."""
        self._pending += buffer

    async def aclose(self) -> None:
        """Close the connection; a request that is under way is thrown away.

        A reset, unlike an orderly end, lets an upstream that was stalled drop what it
        has not read yet.
        """
        if self.offered:
            with suppress(OSError, trio.ClosedResourceError):
                self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse: upstreams are reached in plain text."""
        raise NotImplementedError("upstreams are reached without TLS")

    def get_extra_info(self, info: str) -> Any:
        """Tell whether there is something to read."""
        if info == "is_readable":
            return self._stream.socket.is_readable()
        return None

    async def _send_pending(self) -> None:
        data = bytes(self._pending)
        self._pending.clear()
        self.offered = True
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The upstream may have answered before it closed; reading tells.
            return


async def connect(host: str, port: int) -> UpstreamStream:
    """Open a connection; raises ``OSError``."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_liveness(sock)
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return UpstreamStream(trio.SocketStream(sock))


class LeanBackend(httpcore.AsyncNetworkBackend):
    """Opens connections for httpcore's own pool."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection to a numeric address."""
        try:
            return await connect(host, port)
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error


def set_liveness(sock: trio.socket.SocketType) -> None:
    """Let the kernel give up a peer that is silent at the level of TCP."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
