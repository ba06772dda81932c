"""What an entry may send to the target of each roll-out now.

A grant holds for a short time from when the report was sent that it answers, by the
entry's own clock. Without a valid grant nothing goes to the target, so that an entry
that is cut off or that has stood still sends nothing there. The first final state that
an entry learns of an order stays, whatever it reads later.
"""

from collections.abc import Mapping

from msgspec import Struct

from masticdrum.model.rollouts import (
    RolloutGrant,
    RolloutLease,
    RolloutLeasesRead,
    RolloutRead,
    RolloutReport,
    RolloutsRead,
    RolloutState,
    SendReport,
    Tally,
)

REPORT_EVERY_S = 0.5
KEPT_REPORTS = 3
NEVER = float("inf")

Share = tuple[str, float, tuple[str, ...]]


class FollowedOrder(Struct):
    """An order, the final state that is known of it, and the newest grant."""

    read: RolloutRead
    final: RolloutState | None = None
    grant: RolloutGrant | None = None
    sent: tuple[float, ...] = ()  # when the last reports were sent

    def learn(self, state: RolloutState | None) -> None:
        """Keep the first final state."""
        if self.final is None and state is not None and state.is_final:
            self.final = state


class RolloutFollower:
    """One entry's knowledge of all roll-outs; times are seconds of one clock."""

    __slots__ = (
        "_incarnation",
        "_leases",
        "_leases_at",
        "_name",
        "_numbers",
        "_orders",
        "_read_at",
    )

    def __init__(self, name: str, incarnation: str) -> None:
        self._name = name
        self._incarnation = incarnation
        self._orders: dict[str, FollowedOrder] = {}
        self._leases: dict[str, RolloutLease] = {}
        self._leases_at = -NEVER
        self._read_at = -NEVER
        self._numbers: dict[str, int] = {}

    def handle_orders(self, event: RolloutsRead) -> None:
        """Use the orders that the store holds, unless newer ones are known."""
        if event.requested_at < self._read_at:
            return
        self._read_at = event.requested_at
        known, self._orders = self._orders, {}
        for read in event.rollouts:
            order = known.get(read.order.service)
            if order is None or order.read.order.key != read.order.key:
                order = FollowedOrder(read)
            order.read = read
            order.learn(read.state)
            self._orders[read.order.service] = order

    def handle_leases(self, event: RolloutLeasesRead) -> None:
        """Use the addresses of the deciders."""
        if event.requested_at < self._leases_at:
            return
        self._leases_at = event.requested_at
        self._leases = {lease.service: lease for lease, _ in event.leases}
        for lease in self._leases.values():
            self._raise_number(lease.service, lease.number)

    def handle_grant(self, grant: RolloutGrant) -> None:
        """Use a grant, unless it is void or for another order."""
        order = self._orders.get(grant.service)
        key = grant.service, grant.target, grant.created
        if order is None or order.read.order.key != key:
            return
        order.learn(find_state(grant.decided))
        if grant.sent_at not in order.sent:
            return  # another process at this address, with another clock, had asked
        if grant.number < self._numbers.get(grant.service, 0):
            return
        before = order.grant
        is_older = before is not None and grant.sent_at < before.sent_at
        if is_older and before is not None and before.number == grant.number:
            return
        self._raise_number(grant.service, grant.number)
        order.grant = grant

    def find_share(self, service: str, now: float) -> Share | None:
        """Return the target, its share of new requests and its upstreams to use.

        No upstreams means all of the target's. Without an order the result is None.
        """
        order = self._orders.get(service)
        if order is None:
            return None
        target = order.read.order.target
        if order.final is not None:
            return target, float(order.final is RolloutState.COMPLETED), ()
        grant = self._find_valid_grant(order, now)
        return (target, grant.share, grant.upstreams) if grant else (target, 0.0, ())

    def make_reports(
        self,
        now: float,
        tallies_by_service: Mapping[str, tuple[Tally, ...]],
        open_old_by_service: Mapping[str, int],
    ) -> list[SendReport]:
        """Make the reports that are due, to the deciders of the orders.

        Orders whose final state is in the store need none. One that the store has lost
        is reported, so that the decider writes it again.
        """
        reports: list[SendReport] = []
        for service, order in self._orders.items():
            lease = self._leases.get(service)
            state = order.read.state
            if lease is None or (state is not None and state.is_final):
                continue
            if order.sent and now < order.sent[-1] + REPORT_EVERY_S:
                continue
            if (lease.service, lease.target, lease.created) != order.read.order.key:
                continue
            order.sent = (*order.sent[-KEPT_REPORTS:], now)
            grant = self._find_valid_grant(order, now)
            report = RolloutReport(
                *order.read.order.key,
                entry=self._name,
                incarnation=self._incarnation,
                sent_at=now,
                step=grant.step if grant else 0,
                old_open=open_old_by_service.get(service, 0),
                decided=order.final.value if order.final else "",
                tallies=tallies_by_service.get(service, ()),
            )
            reports.append(SendReport(lease.address, report))
        return reports

    def _raise_number(self, service: str, number: int) -> None:
        self._numbers[service] = max(number, self._numbers.get(service, 0))

    def _find_valid_grant(
        self, order: FollowedOrder, now: float
    ) -> RolloutGrant | None:
        grant = order.grant
        if grant is None or order.final is not None:
            return None
        if grant.number < self._numbers.get(grant.service, 0):
            return None
        return grant if now < grant.sent_at + grant.valid_s else None


def find_state(word: str) -> RolloutState | None:
    """Return the state that a message names, or None."""
    states = {state.value: state for state in RolloutState}
    return states.get(word)
