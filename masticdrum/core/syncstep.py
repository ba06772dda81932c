"""What the tables' synchronisation is set to and asks for, as plain data."""

from collections.abc import Sequence

from msgspec import Struct

from masticdrum.model.faults import Fault
from masticdrum.model.platform import ObjectGet
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber


class SyncOptions(Struct, frozen=True):
    """Times in seconds and rates in calls a second, with whom they concern.

    ``poll_rate`` and ``lonely_rate`` bound the reads of the whole fleet: a process
    polls as seldom as its share allows, and more often while no peer talks to it.
    ``stale_s`` is how long a peer may go on with older tables than these. After
    ``unconfirmed_s`` without a word from platform or peers a process says so and
    serves on: in an outage no edit is accepted, so the tables at hand are the newest.
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


class Greet(Struct, frozen=True):
    """Shows a peer this serial; ``renew`` asks for a new connection to it."""

    peer: str
    renew: bool = False


class Ask(Struct, frozen=True):
    """Asks a peer for its tables."""

    peer: str


class Give(Struct, frozen=True):
    """Gives a peer these tables."""

    peer: str
    body: bytes


class PlatformCall(Struct):
    """A read of the tables that was not answered yet."""

    purpose: str
    begun_at: float
    due_at: float


SyncEffect = Greet | Ask | Give | ObjectGet | Log | Count


def reject_tables(source: str, faults: Sequence[Fault]) -> list[SyncEffect]:
    """Return the effects of refusing tables whole."""
    text = f"from {source}: {'; '.join(str(fault) for fault in faults)}"
    return [
        Log(LogNumber.TABLES_REJECTED, detail=text),
        Count(Counter.TABLES, "rejected"),
    ]
