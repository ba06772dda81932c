"""The TCP streams of httpcore's connections to the platform and to an engine.

Writes are buffered until the next read, so that a request's head and body are sent at
once. The kernel closes a connection whose peer accepts no data or answers no keepalive
probes, since a connection may stay silent for good while new ones work. An answer that
is too long, in its head or its body, fails the read.
"""

import socket
import ssl
import struct
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import httpcore
import trio

from masticdrum.shell.tcpconnection import check_target, set_liveness_options

MAX_ANSWER_BYTES = 32 * 1024 * 1024
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of zero: close sends a reset


class UpstreamStream(httpcore.AsyncNetworkStream):
    """One connection, with the interface that httpcore uses.

    ``max_answer_bytes`` may be received for each request.
    """

    def __init__(self, stream: trio.SocketStream, max_answer_bytes: int) -> None:
        self._stream = stream
        self._max_answer_bytes = max_answer_bytes
        self._received = 0
        self._pending = bytearray()
        self._has_sent = False
        self._is_send_broken = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send buffered bytes, then receive."""
        if self._pending:
            await self._send_pending()
        try:
            data = bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error.__cause__ or error)) from error
        if not data and self._is_send_broken:
            raise httpcore.ReadError("the connection broke while a request was sent")
        self._received += len(data)
        if self._received > self._max_answer_bytes:
            raise httpcore.ReadError(
                f"the answer is over {self._max_answer_bytes} bytes"
            )
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes until the next read."""
        self._pending += buffer

    async def aclose(self) -> None:
        """Close the connection, with a reset if a request was sent on it.

        A reset, unlike an orderly close, makes an upstream that was stalled discard
        what it has not read yet.
        """
        if self._has_sent:
            with suppress(OSError, trio.ClosedResourceError):
                self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise ``NotImplementedError``: upstreams are reached without TLS."""
        raise NotImplementedError("upstreams are reached without TLS")

    def get_extra_info(self, info: str) -> Any:
        """Return whether there is something to read."""
        if info == "is_readable":
            return self._stream.socket.is_readable()
        return None

    async def _send_pending(self) -> None:
        data = bytes(self._pending)
        self._pending.clear()
        self._has_sent = True
        self._received = 0
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The upstream may have answered before it closed; the reads that follow
            # receive the answer or fail.
            self._is_send_broken = True


async def connect(host: str, port: int, max_answer_bytes: int) -> UpstreamStream:
    """Open a connection to a numeric IPv4 address; raises ``OSError``."""
    check_target(host, port)
    raw_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_liveness_options(raw_socket)
        await raw_socket.connect((host, port))
    except BaseException:
        raw_socket.close()
        raise
    return UpstreamStream(trio.SocketStream(raw_socket), max_answer_bytes)


class UpstreamBackend(httpcore.AsyncNetworkBackend):
    """Opens connections for httpcore's connection pool."""

    def __init__(self, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._max_answer_bytes = max_answer_bytes

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
            return await connect(host, port, self._max_answer_bytes)
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
