"""One entry's part in roll-outs: it follows them, counts answers, and may decide."""

from collections.abc import Callable, Iterable

from masticdrum.core.rolloutcontrol import (
    RolloutEffect,
    RolloutEvent,
    RolloutObjectAnswered,
    RolloutParts,
    RolloutView,
)
from masticdrum.model.cluster_events import StoreRestored
from masticdrum.model.rollouts import (
    RolloutGrant,
    RolloutLeasesRead,
    RolloutReported,
    RolloutsRead,
    RolloutStatusAnswered,
)
from masticdrum.rollouts.course import RolloutParts as DeciderParts
from masticdrum.rollouts.decider import RolloutDecider
from masticdrum.rollouts.evidence import EntryTallies, PooledEvidence
from masticdrum.rollouts.follower import RolloutFollower
from masticdrum.rollouts.interfaces import RolloutBounds
from masticdrum.rollouts.judgement import Judge
from masticdrum.rollouts.schedule import Schedule, choose_upstreams

ListUpstreams = Callable[[str, str], Iterable[str]]
OrderKey = tuple[str, str, int]


class EntryRollouts:
    """Follows all orders, and decides those whose lease this entry holds.

    ``address`` is the ``IP:PORT`` at which other entries reach it, ``list_upstreams``
    names the upstreams of a service at a version.
    """

    __slots__ = ("_decider", "_follower", "_orders", "_tallies")

    def __init__(
        self,
        name: str,
        incarnation: str,
        address: str,
        bounds: RolloutBounds,
        list_upstreams: ListUpstreams,
    ) -> None:
        parts = DeciderParts(
            build_pool=PooledEvidence,
            build_judge=Judge,
            build_schedule=Schedule,
            list_upstreams=list_upstreams,
            choose_upstreams=lambda names, share: choose_upstreams([*names], share),
        )
        self._decider = RolloutDecider(name, incarnation, address, bounds, parts)
        self._follower = RolloutFollower(name, incarnation)
        self._orders: dict[str, OrderKey] = {}
        self._tallies: dict[str, EntryTallies] = {}

    def find_share(
        self, service: str, now: float
    ) -> tuple[str, float, tuple[str, ...]] | None:
        """Return a service's target version, its share and its preferred upstreams."""
        return self._follower.find_share(service, now)

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
        """Count one answer or failure of a service with an order."""
        tallies = self._tallies.get(service)
        if tallies is not None:
            tallies.record(route, is_target, upstream, seconds, failed, warming)

    def handle(
        self, event: RolloutEvent, view: RolloutView, now: float
    ) -> list[RolloutEffect]:
        """Handle one event and return the effects."""
        unix_now = view.read_unix_time()
        match event:
            case RolloutGrant():
                self._follower.handle_grant(event)
                return []
            case RolloutsRead():
                self._follower.handle_orders(event)
                self._begin_tallies(event)
            case RolloutLeasesRead():
                self._follower.handle_leases(event)
            case RolloutObjectAnswered():
                return [*self._decider.handle(event.answer, now, unix_now)]
            case RolloutReported() | RolloutStatusAnswered() | StoreRestored():
                pass
            case _:
                return self._tick(view, now)
        return [*self._decider.handle(event, now, unix_now)]

    def _begin_tallies(self, event: RolloutsRead) -> None:
        """Count anew for each order that wasn't there before."""
        known, self._orders = self._orders, {}
        tallies, self._tallies = self._tallies, {}
        for read in event.rollouts:
            service, key = read.order.service, read.order.key
            is_same = known.get(service) == key and service in tallies
            self._orders[service] = key
            self._tallies[service] = tallies[service] if is_same else EntryTallies()

    def _tick(self, view: RolloutView, now: float) -> list[RolloutEffect]:
        if not self._orders:
            return []
        self._decider.set_members(view.list_entries())
        effects: list[RolloutEffect] = []
        effects += self._decider.tick(now, view.read_unix_time())
        tallies = {name: counted.snapshot() for name, counted in self._tallies.items()}
        old_open = {
            service: view.count_old_open(service, target)
            for service, target, _ in self._orders.values()
        }
        effects += self._follower.make_reports(now, tallies, old_open)
        return effects


def make_entry_rollouts(
    name: str,
    incarnation: str,
    address: str,
    bounds: RolloutBounds,
    list_upstreams: ListUpstreams,
) -> RolloutParts:
    """Make what an entry needs to split requests and to take part in decisions."""
    entry = EntryRollouts(name, incarnation, address, bounds, list_upstreams)
    return RolloutParts(shares=entry, evidence=entry, driver=entry)
