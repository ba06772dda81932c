"""A pool of connections to upstreams that stay open between requests.

A connection is returned to the pool only after a complete answer with no bytes behind
it, and reused only if it is certainly within the upstream's idle timeout and has
nothing to read. A request that was refused on it is never sent on it again, since a
second copy of the refusal could not be told from an answer.
"""

from heapq import nsmallest
from operator import itemgetter

import trio

from masticdrum.shell.clock import read_clock
from masticdrum.shell.tcpconnection import open_tcp_connection
from masticdrum.shell.upstreamconnection import UpstreamConnection

IDLE_S = 4.0  # if the upstream doesn't state its idle timeout
# Covers a request's transit time to the upstream, and timeouts in whole seconds.
IDLE_MARGIN_S = 1.0
MAX_IDLE_CONNECTIONS = 64  # per upstream
MAX_REFUSED = 64  # requests that one connection remembers as refused


class UpstreamConnectionPool:
    """The idle connections of one process; the most recent is reused first.

    Together with those in use there are ``most``, None for any number.
    """

    def __init__(self, most: int | None = None) -> None:
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._most = most
        self._idle_count = 0

    async def acquire(
        self, address: str, connect_s: float, request: str
    ) -> UpstreamConnection:
        """Return a connection to ``IP:PORT`` on which a request was not refused.

        Raises ``OSError``, or ``trio.TooSlowError`` after ``connect_s``.
        """
        connection = self._pop_idle(address, request)
        if connection is not None:
            return connection
        host, _, port = address.rpartition(":")
        with trio.fail_after(connect_s):
            return UpstreamConnection(await open_tcp_connection(host, int(port)))

    def release(
        self, address: str, connection: UpstreamConnection, idle_s: float | None
    ) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        idle = self._idle.setdefault(address, [])
        allowed_s = IDLE_S if idle_s is None else idle_s - IDLE_MARGIN_S
        if (
            allowed_s <= 0
            or len(idle) >= MAX_IDLE_CONNECTIONS
            or len(connection.refused) >= MAX_REFUSED
            or not connection.begin_next()
        ):
            connection.close()
            return
        connection.idle_until = read_clock() + allowed_s
        idle.append(connection)
        self._idle_count += 1

    def close_surplus(self, used: int) -> None:
        """Close the idle connections for which ``used`` ones leave no room.

        Those that would expire first are closed first.
        """
        if self._most is None:
            return
        surplus = min(self._idle_count, used + self._idle_count - self._most)
        if surplus <= 0:
            return
        all_idle = [
            (connection.idle_until, address, connection)
            for address, idle in self._idle.items()
            for connection in idle
        ]
        for _, address, connection in nsmallest(surplus, all_idle, key=itemgetter(0)):
            self._idle[address].remove(connection)
            self._idle_count -= 1
            connection.close()

    def close_expired(self) -> None:
        """Close connections that idled for too long or that the peer closed."""
        now = read_clock()
        for address, idle in list(self._idle.items()):
            usable = [connection for connection in idle if connection.is_usable(now)]
            self._idle_count -= len(idle) - len(usable)
            for connection in idle:
                if connection not in usable:
                    connection.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def _pop_idle(self, address: str, request: str) -> UpstreamConnection | None:
        idle = self._idle.get(address, [])
        now = read_clock()
        for place in range(len(idle) - 1, -1, -1):
            if request in idle[place].refused:
                continue
            connection = idle.pop(place)
            self._idle_count -= 1
            if connection.is_usable(now):
                return connection
            connection.close()
        return None
