"""Options and effects of the synchronisation of tables, as plain data."""

from collections.abc import Sequence

from msgspec import Struct

from masticdrum.model.faults import Fault
from masticdrum.model.platform import ObjectGet
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber


class SyncOptions(Struct, frozen=True):
    """Identity of the process, with times in seconds and rates in calls per second.

    ``poll_rate`` bounds the polling reads of the whole fleet. A process polls at its
    share of that rate, but no more often than about once per ``poll_s``. After
    ``no_peer_after_s`` without an envelope from a peer, it polls more often, as
    ``no_peer_rate`` and ``no_peer_poll_s`` allow.

    ``stale_s`` is how long a peer may use older tables than these. After
    ``unconfirmed_s`` without a confirmation by the platform or a peer, a process logs
    that and continues to serve: no edit is accepted in an outage, so its tables are
    the newest.
    """

    name: str
    data_centre: str
    is_entry: bool
    tick_s: float = 1.0
    hello_s: float = 4.0
    hellos_per_s: float = 25.0
    silent_s: float = 10.0
    watch_s: float = 25.0
    call_s: float = 5.0
    first_retry_s: float = 0.25
    last_retry_s: float = 4.0
    request_s: float = 1.0
    confirm_by_peers_s: float = 2.0
    frozen_s: float = 3.0
    stale_s: float = 2.0
    poll_s: float = 30.0
    poll_rate: float = 20.0
    no_peer_after_s: float = 8.0
    no_peer_poll_s: float = 5.0
    no_peer_rate: float = 200.0
    unconfirmed_s: float = 60.0


class SendHello(Struct, frozen=True):
    """Sends a peer a hello with this serial; ``renew`` asks for a new connection."""

    peer: str
    renew: bool = False


class RequestTables(Struct, frozen=True):
    """Requests a peer's tables."""

    peer: str


class SendTables(Struct, frozen=True):
    """Sends these tables to a peer."""

    peer: str
    body: bytes


class PlatformCall(Struct):
    """A read or watch of the tables that is not answered yet."""

    purpose: str
    begun_at: float
    due_at: float


SyncEffect = SendHello | RequestTables | SendTables | ObjectGet | Log | Count


def reject_tables(source: str, faults: Sequence[Fault]) -> list[SyncEffect]:
    """Return the effects of rejecting tables as a whole."""
    text = f"from {source}: {'; '.join(str(fault) for fault in faults)}"
    return [
        Log(LogNumber.TABLES_REJECTED, detail=text),
        Count(Counter.TABLES, "rejected"),
    ]
