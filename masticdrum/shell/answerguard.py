"""Refuses answers that only look complete, for all clients of HTTP.

An answer with neither a length nor chunks ends with its connection. If the server
resets the connection while a request is still being sent, the failed send takes the
socket's error with it: the reads that follow return what had arrived, and then an end
like that of an orderly close. So an end after a failed send completes no answer. One
that says itself where it ends is read before that, as a server may refuse a long body
early.
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore


class GuardedStream(httpcore.AsyncNetworkStream):
    """A connection of httpcore's, which goes on reading after a failed send."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._is_send_broken = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Receive, or raise ``ReadError`` at an end that completes no answer."""
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._is_send_broken:
            raise httpcore.ReadError("the connection broke while a request was sent")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send, and remember if that fails."""
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
