"""Bounds the connections of callers, and what a process holds for all of them.

The connection for which most is held, or which has waited longest for its caller, is
closed first.
"""

from collections.abc import Hashable
from typing import Protocol

from masticdrum.core.heldbytes import HeldBytes
from masticdrum.core.idleconnections import choose_closed
from masticdrum.core.processlimits import (
    CONNECTION_BYTES,
    compute_caller_bytes,
    fits_body,
)
from masticdrum.model.resources import ProcessLimits
from masticdrum.model.telemetry import Count, Counter, Facts, Log, LogNumber
from masticdrum.shell.clock import read_clock
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.metrics import Metrics


class LimitedConnection(Hashable, Protocol):
    """A connection that can be told to close."""

    waiting_since: float

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for its caller, since ``waiting_since``."""

    def shed(self) -> None:
        """Refuse its request if that has not run, and close it."""


class ConnectionGroup:
    """The open connections of one address, of which there are ``most``."""

    __slots__ = ("connections", "most")

    def __init__(self, most: int) -> None:
        self.most = most
        self.connections: set[LimitedConnection] = set()


class ConnectionLimits:
    """Applies a process's limits to its callers' connections."""

    def __init__(self, limits: ProcessLimits, metrics: Metrics) -> None:
        self._limits = limits
        self._metrics = metrics
        self._held: HeldBytes[LimitedConnection] = HeldBytes(limits.caller_bytes)
        self._max_body_bytes = 0

    @property
    def held_bytes(self) -> int:
        """What is held for all callers together."""
        return self._held.total

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._held)

    def set_max_body_bytes(self, size: int) -> None:
        """Make room for one body of the largest size that callers may send."""
        if size == self._max_body_bytes:
            return
        self._max_body_bytes = size
        self._held.max_bytes = compute_caller_bytes(self._limits, size)
        facts: Facts = {"max_body_bytes": size, "held_most": self._held.max_bytes}
        detail = "" if fits_body(self._limits, size) else "a body may not fit in memory"
        write_event(Log(LogNumber.CALLER_LIMITS_CHANGED, detail=detail, facts=facts))

    def make_room(self, group: ConnectionGroup) -> bool:
        """Close connections that wait; return whether another one may be opened."""
        if len(group.connections) < group.most:
            return True
        waiting = [
            (connection.waiting_since, connection)
            for connection in group.connections
            if connection.is_waiting
        ]
        for connection in choose_closed(waiting, group.most):
            self._shed(connection, "number")
            self.remove(group, connection)
        if len(group.connections) < group.most:
            return True
        self._metrics.count(Count(Counter.CONNECTIONS, "refused"))
        return False

    def add(self, group: ConnectionGroup, connection: LimitedConnection) -> None:
        """Count a connection that was opened."""
        group.connections.add(connection)
        self.record_held(connection, CONNECTION_BYTES)

    def remove(self, group: ConnectionGroup, connection: LimitedConnection) -> None:
        """Forget a connection that is closed or about to close."""
        group.connections.discard(connection)
        self._held.release(connection)

    def record_held(self, connection: LimitedConnection, size: int) -> None:
        """Record how many bytes are held for a connection.

        Where all hold too much, the largest are closed, which may include this one.
        """
        self._held.resize(connection, size)
        for largest in self._held.find_excess():
            self._shed(largest, "memory")
            self._held.release(largest)

    def _shed(self, connection: LimitedConnection, reason: str) -> None:
        self._metrics.count(Count(Counter.CONNECTIONS, f"shed_{reason}"))
        facts: Facts = {
            "reason": reason,
            "held": self._held.get_size(connection),
            "held_by_all": self._held.total,
            "held_most": self._held.max_bytes,
            "connections": len(self._held),
            "waiting_s": round(read_clock() - connection.waiting_since, 3),
        }
        write_event(Log(LogNumber.CALLER_SHED, facts=facts))
        connection.shed()
