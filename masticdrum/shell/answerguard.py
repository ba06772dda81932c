"""Refuses answers that only look sound or complete, for all clients of HTTP.

An answer with neither a length nor chunks ends with its connection. If the server
resets the connection while a request is still being sent, the failed send takes the
socket's error with it: the reads that follow return what had arrived, and then an end
like that of an orderly close. So an end after a failed send completes no answer. One
that says itself where it ends is read before that, as a server may refuse a long body
early.

A line that begins with a blank continues the field before it (RFC 9112, section 5.2),
or is a field whose name was spoilt. What it does to the fields around it depends on the
reader, so the answer is refused.
"""

import re
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

MAX_HEAD_BYTES = 128 * 1024  # longer heads are refused by h11
HEAD_END = re.compile(rb"\n\r?\n")
FOLDED_LINE = re.compile(rb"\n[ \t]")
INTERIM_STATUS = re.compile(rb"HTTP/1\.[01] 1\d\d")


class FoldedLine(Exception):
    """A line of an answer's head begins with a blank."""


def has_folded_line(fields: bytes) -> bool:
    """Return whether a line behind the first one begins with a blank or a tab."""
    return FOLDED_LINE.search(fields) is not None


class HeadScanner:
    """Looks at the heads of one answer, interim ones too, as their bytes arrive."""

    __slots__ = ("_head", "_is_done")

    def __init__(self) -> None:
        self._head = bytearray()
        self._is_done = False

    def feed(self, data: bytes) -> None:
        """Take bytes before they are parsed; raises ``FoldedLine``."""
        if self._is_done:
            return
        self._head += data
        while not self._is_done:
            end = HEAD_END.search(self._head)
            if end is None:
                self._is_done = len(self._head) > MAX_HEAD_BYTES
                return
            head = bytes(self._head[: end.end()])
            if has_folded_line(head):
                raise FoldedLine("a line of the head begins with a blank")
            del self._head[: end.end()]
            self._is_done = INTERIM_STATUS.match(head) is None
        self._head.clear()


class GuardedStream(httpcore.AsyncNetworkStream):
    """Guards a connection of httpcore's, which reads on after a failed send."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._scanner = HeadScanner()
        self._is_answering = False
        self._is_send_broken = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Receive, or raise ``ReadError`` at an end that completes no answer."""
        self._is_answering = True
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._is_send_broken:
            raise httpcore.ReadError("the connection broke while a request was sent")
        try:
            self._scanner.feed(data)
        except FoldedLine as error:
            raise httpcore.ReadError(str(error)) from error
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send; the first bytes after an answer begin another request."""
        if self._is_answering:
            self._scanner = HeadScanner()
            self._is_answering = False
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._is_send_broken = True
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection with TLS, guarded too."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return GuardedStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Return what the connection tells of itself."""
        return self._stream.get_extra_info(info)


class GuardedBackend(httpcore.AsyncNetworkBackend):
    """Opens guarded connections with another backend."""

    def __init__(self, backend: httpcore.AsyncNetworkBackend) -> None:
        self._backend = backend

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection; raises what the other backend does."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return GuardedStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait between two attempts to connect."""
        await self._backend.sleep(seconds)


def make_pool(
    max_connections: int,
    max_keepalive_connections: int | None = None,
    backend: httpcore.AsyncNetworkBackend | None = None,
) -> httpcore.AsyncConnectionPool:
    """Return a pool of guarded connections, by default over httpcore's for Trio."""
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_keepalive_connections,
        network_backend=GuardedBackend(backend or httpcore.TrioBackend()),
    )
