"""A TCP connection whose reads wait and whose writes are sent at once or buffered.

Trio's streams pass through the scheduler several times for each read and write, whether
or not they have to wait. Here a read passes through it once, and a write never does
unless the peer accepts no more data.
"""

import errno
import socket
import struct
from contextlib import suppress

import trio

from masticdrum.core.addresses import is_ipv4_target

RECEIVE_BYTES = 64 * 1024
SOCKET_BUFFER_BYTES = 128 * 1024  # that the kernel keeps of a caller, each way
USER_TIMEOUT_MS = 1500  # three retransmissions on a link that loses packets
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of zero: close sends a reset
NO_LINGER = struct.pack("ii", 0, 0)


class TcpConnection:
    """A connected socket in non-blocking mode."""

    __slots__ = ("_is_closed", "_socket", "_unsent")

    def __init__(self, raw_socket: socket.socket) -> None:
        self._socket = raw_socket
        self._unsent = bytearray()
        self._is_closed = False

    @property
    def has_unsent(self) -> bool:
        """Whether bytes wait until the peer accepts more data."""
        return bool(self._unsent)

    @property
    def unsent_bytes(self) -> int:
        """How many bytes wait until the peer accepts more data."""
        return len(self._unsent)

    async def receive(self, most: int = RECEIVE_BYTES) -> bytes:
        """Wait for ``most`` bytes at most; return none at the end of the stream.

        Raises ``OSError`` if the connection breaks, ``trio.ClosedResourceError`` if it
        is closed meanwhile.
        """
        while True:
            if self._is_closed:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self._socket)
            received = self.receive_nowait(most)
            if received is not None:
                return received

    def receive_nowait(self, most: int = RECEIVE_BYTES) -> bytes | None:
        """Return bytes that have arrived, None if there are none yet.

        Returns no bytes at the end of the stream; raises ``OSError`` if the connection
        is broken.
        """
        try:
            return self._socket.recv(most)
        except (BlockingIOError, InterruptedError):
            return None

    def has_expired(self) -> bool:
        """Return whether an idle connection was closed by its peer, or sent bytes."""
        try:
            return self.receive_nowait() is not None
        except OSError:
            return True

    def write(self, data: bytes, *, hold: bool = False) -> None:
        """Send bytes as far as the peer accepts them, and buffer the rest.

        With ``hold`` they are only buffered, to be sent together with the next bytes.
        Raises ``OSError`` if the connection is broken.
        """
        if hold:
            self._unsent += data
            return
        if self._unsent:
            self._unsent += data
            self.send_unsent()
            return
        sent = self._send(data)
        if sent < len(data):
            self._unsent += memoryview(data)[sent:]

    def send_unsent(self) -> None:
        """Send buffered bytes as far as the peer accepts them; raises ``OSError``."""
        sent = self._send(self._unsent)
        del self._unsent[:sent]

    async def wait_sendable(self) -> None:
        """Wait until the peer accepts more data."""
        if self._is_closed:
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_writable(self._socket)

    async def drain(self) -> None:
        """Wait until all buffered bytes are sent; raises ``OSError``."""
        while self._unsent:
            await self.wait_sendable()
            self.send_unsent()

    def end_writing(self) -> None:
        """Signal the end of the stream to the peer; reads go on."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    def set_reset_on_close(self, enabled: bool) -> None:
        """Choose how the connection closes, also when the process is killed."""
        with suppress(OSError):
            linger = RESET if enabled else NO_LINGER
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self, *, reset: bool = False) -> None:
        """Close the connection, on request with a reset; waiting tasks are woken.

        A reset, unlike an orderly close, makes a peer that was stalled discard what it
        has not read yet.
        """
        if self._is_closed:
            return
        self._is_closed = True
        if reset:
            self.set_reset_on_close(True)
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def _send(self, data: bytes | bytearray) -> int:
        if not data:
            return 0
        try:
            return self._socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0


async def open_tcp_connection(host: str, port: int) -> TcpConnection:
    """Connect to a numeric IPv4 address; raises ``OSError``."""
    check_target(host, port)
    raw_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        raw_socket.setblocking(False)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_liveness_options(raw_socket)
        with suppress(BlockingIOError):
            raw_socket.connect((host, port))
        await trio.lowlevel.wait_writable(raw_socket)
        error = raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, f"connect to {host}:{port}")
    except BaseException:
        raw_socket.close()
        raise
    return TcpConnection(raw_socket)


def check_target(host: str, port: int) -> None:
    """Raise ``OSError`` for a host or port that would need a look-up or is no port.

    ``socket`` would look a name up, which blocks the process, and raises other errors
    for a port out of range.
    """
    if not is_ipv4_target(host, port):
        raise OSError(errno.EINVAL, f"{host!r} port {port} is no IPv4 address")


def set_liveness_options(raw_socket: socket.socket | trio.socket.SocketType) -> None:
    """Make the kernel close the connection if the peer's TCP doesn't respond."""
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def bound_buffers(listener: socket.socket) -> None:
    """Bound what the kernel buffers for each connection that is accepted."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
