"""Roll-outs: a service's traffic moves to another version of its software, or back.

An operator's order names the service, the target version and how long it may take. One
entry, the decider, holds a lease on the order in the platform's store. All entries
report their answers to it, and it grants each a share of the traffic for the target,
for a short time. What it decides in the end is written to the order's status once.

The messages between entries are arrays, one datagram each, so a field keeps its place.
"""

from enum import StrEnum

from msgspec import Struct

LATENCY_BUCKETS = 24  # each is half as wide again as the one before
FIRST_BUCKET_S = 0.005
BUCKET_FACTOR = 1.5
UPSTREAM_GROUPS = 4  # so that one failing upstream is told from a failing version


class RolloutState(StrEnum):
    """The state of an order, as its status shows it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether nothing follows this state."""
        return self is not RolloutState.RUNNING


class RolloutOrder(Struct, frozen=True):
    """An operator's order for a service.

    ``created`` is the store's mark of the object's creation: an order that is deleted
    and written again is another one, and so is one with another target.
    """

    service: str
    target: str
    duration_s: float
    created: int = 0

    @property
    def key(self) -> tuple[str, str, int]:
        """What tells this order from all others."""
        return self.service, self.target, self.created


class RolloutRead(Struct, frozen=True):
    """An order as the store held it; ``state`` is None without a status for it."""

    order: RolloutOrder
    state: RolloutState | None
    revision: int


class RolloutsRead(Struct, frozen=True):
    """All orders, as the store held them at ``requested_at`` or later, in seconds."""

    rollouts: tuple[RolloutRead, ...]
    requested_at: float


class RolloutLease(Struct, frozen=True):
    """Who decides an order; the system's own object ``rollouts/SERVICE``.

    ``address`` is the holder's ``IP:PORT`` for datagrams. ``number`` is a fencing
    number, which grows with each holder. ``renewals`` grows with each renewal.
    ``began_unix_s`` is when the order was first seen, in seconds of the time of day.
    """

    service: str
    target: str
    created: int
    holder: str
    address: str
    number: int
    renewals: int
    began_unix_s: float


class RolloutLeasesRead(Struct, frozen=True):
    """All leases with their revisions, as the store held them at ``requested_at``."""

    leases: tuple[tuple[RolloutLease, int], ...]
    requested_at: float


class Tally(Struct, frozen=True, array_like=True):
    """What one entry saw of one route at one side since it first saw the order.

    ``answered`` and ``failed`` are counts by group of upstreams, ``latencies`` the
    answered ones by bucket: bucket 0 is up to ``FIRST_BUCKET_S``, each following one
    ``BUCKET_FACTOR`` times as far, the last one has no end.
    """

    route: str
    is_target: bool
    answered: tuple[int, ...]
    failed: tuple[int, ...]
    latencies: tuple[int, ...]


class RolloutReport(Struct, frozen=True, array_like=True, tag="rollout-report"):
    """An entry's evidence, cumulative, so that a lost report costs nothing.

    ``sent_at`` is echoed in the grant. ``step`` is the last step that the entry
    applied, ``old_open`` how many requests it has open at other versions than the
    target. ``decided`` is a final state that it knows of, or an empty string.
    """

    service: str
    target: str
    created: int
    entry: str
    incarnation: str
    sent_at: float
    step: int
    old_open: int
    decided: str
    tallies: tuple[Tally, ...]


class RolloutGrant(Struct, frozen=True, array_like=True, tag="rollout-grant"):
    """The share of a service's new requests that an entry may send to the target.

    It holds for ``valid_s`` after the echoed ``sent_at`` of the entry's report. A grant
    with a lower fencing ``number`` than one seen before is void. ``decided`` is the
    final state, or an empty string. Only ``upstreams`` of the target, by name, are to
    be used while there are any; none means all of them.
    """

    service: str
    target: str
    created: int
    number: int
    step: int
    share: float
    sent_at: float
    valid_s: float
    decided: str
    upstreams: tuple[str, ...] = ()


RolloutMessage = RolloutReport | RolloutGrant


class RolloutReported(Struct, frozen=True):
    """An entry's report has arrived; ``peer`` is where the grant goes."""

    peer: tuple[str, int]
    report: RolloutReport


class SendGrant(Struct, frozen=True):
    """Sends a grant to an entry."""

    peer: tuple[str, int]
    grant: RolloutGrant


class SendReport(Struct, frozen=True):
    """Sends a report to the decider at ``address``, IP:PORT."""

    address: str
    report: RolloutReport


class PutRolloutStatus(Struct, frozen=True):
    """Writes an order's status if its object still has ``revision``."""

    service: str
    target: str
    state: RolloutState
    revision: int


class RolloutStatusAnswered(Struct, frozen=True):
    """How that write ended: ``ok``, ``conflict``, ``rejected`` or ``lost``."""

    service: str
    status: str
