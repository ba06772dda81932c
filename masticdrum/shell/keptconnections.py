"""Connections to upstreams that are kept open between requests.

A connection is kept only after a whole answer with nothing behind it, and used again
only while it is surely younger than the upstream's idle timeout and has nothing to
read.
"""

import httpcore
import trio
from msgspec import Struct

from masticdrum.shell.clock import read_clock
from masticdrum.shell.upstreamstream import UpstreamStream, connect

IDLE_S = 4.0  # where the upstream doesn't say how long it keeps an idle connection
IDLE_MARGIN_S = 1.0  # a request's way to the upstream, and whole seconds in its word
MAX_KEPT = 64  # per upstream


class Kept(Struct):
    """One connection with the stream below it."""

    connection: httpcore.AsyncHTTP11Connection
    stream: UpstreamStream
    reused: bool = False
    idle_until: float = 0.0


class KeptConnections:
    """The idle connections of one process, newest used first."""

    def __init__(self) -> None:
        self._idle: dict[str, list[Kept]] = {}

    async def take(self, address: str, connect_s: float) -> Kept:
        """Return a connection to ``IP:PORT``.

        Raises ``OSError``, or ``trio.TooSlowError`` after ``connect_s``.
        """
        kept = self._take_idle(address)
        if kept is not None:
            return kept
        host, _, port = address.rpartition(":")
        with trio.fail_after(connect_s):
            stream = await connect(host, int(port))
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        connection = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        return Kept(connection, stream)

    async def give(self, address: str, kept: Kept, idle_s: float | None) -> None:
        """Keep a connection whose answer is over, or close it if anything is odd."""
        idle = self._idle.setdefault(address, [])
        allowed_s = IDLE_S if idle_s is None else idle_s - IDLE_MARGIN_S
        if not is_clean(kept.connection) or allowed_s <= 0 or len(idle) >= MAX_KEPT:
            await kept.connection.aclose()
            return
        kept.reused = True
        kept.idle_until = read_clock() + allowed_s
        kept.stream.rest()
        idle.append(kept)

    async def sweep(self) -> None:
        """Close connections that are idle for too long or were closed by the peer."""
        now = read_clock()
        for address, idle in list(self._idle.items()):
            old = [kept for kept in idle if not _is_usable(kept, now)]
            self._idle[address] = [kept for kept in idle if kept not in old]
            for kept in old:
                await kept.connection.aclose()
            if not self._idle[address]:
                del self._idle[address]

    def _take_idle(self, address: str) -> Kept | None:
        idle = self._idle.get(address, [])
        now = read_clock()
        while idle:
            kept = idle.pop()
            if _is_usable(kept, now):
                return kept
            trio.lowlevel.spawn_system_task(kept.connection.aclose)
        return None


def _is_usable(kept: Kept, now: float) -> bool:
    return now < kept.idle_until and not kept.connection.has_expired()


def is_clean(connection: httpcore.AsyncHTTP11Connection) -> bool:
    """Tell whether an answer ended with nothing behind it.

    httpcore has no public way to ask for octets that were read beyond an answer.
    """
    behind, _ = connection._h11_state.trailing_data
    return connection.is_idle() and not behind and not connection.has_expired()
