"""A pool of connections to upstreams that stay open between requests.

A connection is returned to the pool only after a complete answer with no bytes behind
it, and reused only if it is certainly within the upstream's idle timeout and has
nothing to read.
"""

import httpcore
import trio
from msgspec import Struct

from masticdrum.shell.clock import read_clock
from masticdrum.shell.upstreamstream import UpstreamStream, connect

IDLE_S = 4.0  # if the upstream doesn't state its idle timeout
# Covers a request's transit time to the upstream, and timeouts in whole seconds.
IDLE_MARGIN_S = 1.0
MAX_IDLE_CONNECTIONS = 64  # per upstream


class PooledConnection(Struct):
    """A connection and its TCP stream."""

    connection: httpcore.AsyncHTTP11Connection
    stream: UpstreamStream
    reused: bool = False
    idle_until: float = 0.0


class UpstreamConnectionPool:
    """The idle connections of one process; the most recent is reused first."""

    def __init__(self) -> None:
        self._idle: dict[str, list[PooledConnection]] = {}

    async def acquire(self, address: str, connect_s: float) -> PooledConnection:
        """Return a connection to ``IP:PORT``.

        Raises ``OSError``, or ``trio.TooSlowError`` after ``connect_s``.
        """
        pooled = self._pop_idle(address)
        if pooled is not None:
            return pooled
        host, _, port = address.rpartition(":")
        with trio.fail_after(connect_s):
            stream = await connect(host, int(port))
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        connection = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        return PooledConnection(connection, stream)

    async def release(
        self, address: str, pooled: PooledConnection, idle_s: float | None
    ) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        idle = self._idle.setdefault(address, [])
        allowed_s = IDLE_S if idle_s is None else idle_s - IDLE_MARGIN_S
        if (
            not is_reusable(pooled.connection)
            or allowed_s <= 0
            or len(idle) >= MAX_IDLE_CONNECTIONS
        ):
            await pooled.connection.aclose()
            return
        pooled.reused = True
        pooled.idle_until = read_clock() + allowed_s
        pooled.stream.mark_idle()
        idle.append(pooled)

    async def close_expired(self) -> None:
        """Close connections that idled for too long or that the peer closed."""
        now = read_clock()
        for address, idle in list(self._idle.items()):
            old = [pooled for pooled in idle if not _is_usable(pooled, now)]
            self._idle[address] = [pooled for pooled in idle if pooled not in old]
            for pooled in old:
                await pooled.connection.aclose()
            if not self._idle[address]:
                del self._idle[address]

    def _pop_idle(self, address: str) -> PooledConnection | None:
        idle = self._idle.get(address, [])
        now = read_clock()
        while idle:
            pooled = idle.pop()
            if _is_usable(pooled, now):
                return pooled
            trio.lowlevel.spawn_system_task(pooled.connection.aclose)
        return None


def _is_usable(pooled: PooledConnection, now: float) -> bool:
    return now < pooled.idle_until and not pooled.connection.has_expired()


def is_reusable(connection: httpcore.AsyncHTTP11Connection) -> bool:
    """Return whether the answer ended with no bytes behind it.

    httpcore has no public access to bytes that were read beyond an answer.
    """
    behind, _ = connection._h11_state.trailing_data
    return connection.is_idle() and not behind and not connection.has_expired()
