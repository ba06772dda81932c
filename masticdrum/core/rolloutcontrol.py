"""What a forwarding entry asks of roll-outs, and what it tells them."""

from typing import Protocol

from msgspec import Struct

from masticdrum.model.cluster_events import StoreRestored
from masticdrum.model.exchange import Ticked
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut
from masticdrum.model.rolloutprogress import PublishRolloutProgress
from masticdrum.model.rollouts import (
    PutRolloutStatus,
    RolloutGrant,
    RolloutLeasesRead,
    RolloutOrder,
    RolloutRead,
    RolloutReported,
    RolloutsRead,
    RolloutState,
    RolloutStatusAnswered,
    SendGrant,
    SendReport,
)
from masticdrum.model.telemetry import Count, Log

ROLLOUT = "rollout"  # the timer of regular ticks
MAX_KEPT = 64  # final states of orders that were deleted or replaced


class RolloutObjectAnswered(Struct, frozen=True):
    """The platform's answer to a call that a roll-out made."""

    answer: ObjectAnswer


RolloutInput = (
    RolloutsRead
    | RolloutLeasesRead
    | RolloutReported
    | RolloutGrant
    | RolloutStatusAnswered
    | RolloutObjectAnswered
)
RolloutEvent = RolloutInput | StoreRestored | Ticked
RolloutEffect = (
    SendGrant
    | SendReport
    | PutRolloutStatus
    | PublishRolloutProgress
    | ObjectGet
    | ObjectPut
    | Log
    | Count
)


class Shares(Protocol):
    """What may be sent to the targets of orders now."""

    def find_share(
        self, service: str, now: float
    ) -> tuple[str, float, tuple[str, ...]] | None:
        """Return a service's target version, its share and its preferred upstreams.

        That is None without an order. The share is from 0, which forbids the target,
        to 1. Without preferred upstreams all of the target are alike.
        """


class EvidenceRecorder(Protocol):
    """Takes down how the upstreams of a service with an order answer."""

    def record(
        self,
        service: str,
        route: str,
        is_target: bool,
        upstream: str,
        seconds: float,
        failed: bool,
        warming: bool,
    ) -> None:
        """Record one answer or failure, ``seconds`` after the attempt's start.

        A stream counts as answered with its first event, and as failed besides if it
        breaks later. ``warming`` upstreams are cold or have registered just before.
        """


class RolloutView(Protocol):
    """What an entry knows besides the orders."""

    def list_entries(self) -> list[str]:
        """List the names of all entries that have announced themselves, sorted."""

    def count_old_open(self, service: str, target: str) -> int:
        """Count this entry's open requests at other versions than the target."""

    def read_unix_time(self) -> float:
        """Return the time of day in seconds."""


class RolloutDriver(Protocol):
    """Reports, decides and grants; it is told of all events and ticked regularly."""

    def handle(
        self, event: RolloutEvent, view: RolloutView, now: float
    ) -> list[RolloutEffect]:
        """Handle one event and return the effects.

        Calls on the system's own objects have paths ``rollouts/SERVICE``.
        """


class RolloutParts(Struct, frozen=True):
    """The parts of roll-outs at one entry."""

    shares: Shares
    evidence: EvidenceRecorder
    driver: RolloutDriver


class FinalStates:
    """The final states of orders, from whoever tells of one first.

    A restore of the platform may lose a final state, which holds all the same.
    """

    __slots__ = ("_by_key", "_orders", "was_read")

    def __init__(self) -> None:
        self.was_read = False  # whether the orders are known
        self._orders: dict[str, RolloutOrder] = {}
        self._by_key: dict[tuple[str, str, int], RolloutState] = {}

    def apply_reads(self, reads: tuple[RolloutRead, ...]) -> None:
        """Replace the orders by those that the platform holds."""
        self.was_read = True
        self._orders = {read.order.service: read.order for read in reads}
        for read in reads:
            if read.state is not None and read.state.is_final:
                self._record(read.order.key, read.state)

    def apply_grant(self, grant: RolloutGrant) -> None:
        """Record a final state that the decider knows of."""
        for state in RolloutState:
            if state.is_final and grant.decided == state.value:
                self._record((grant.service, grant.target, grant.created), state)

    def find(self, service: str, target: str) -> RolloutState | None:
        """Return the final state of a service's order with a target, if it has one."""
        order = self._orders.get(service)
        if order is None or order.target != target:
            return None
        return self._by_key.get(order.key)

    def _record(self, key: tuple[str, str, int], state: RolloutState) -> None:
        self._by_key.setdefault(key, state)
        if len(self._by_key) > MAX_KEPT:
            present = {order.key for order in self._orders.values()}
            old = next((k for k in self._by_key if k not in present), None)
            if old is not None:
                del self._by_key[old]
