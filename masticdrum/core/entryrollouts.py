"""One entry's part in roll-outs: it follows them, counts answers, and may decide."""

from collections.abc import Callable, Iterable

from masticdrum.core.rolloutcontrol import (
    RolloutEffect,
    RolloutEvent,
    RolloutObjectAnswered,
    RolloutParts,
    RolloutView,
)
from masticdrum.core.rolloutprogress import ProgressPacer, encode_progress
from masticdrum.model.cluster_events import StoreRestored
from masticdrum.model.rolloutprogress import PublishRolloutProgress, RolloutProgress
from masticdrum.model.rollouts import (
    RolloutGrant,
    RolloutLeasesRead,
    RolloutOrder,
    RolloutReported,
    RolloutsRead,
    RolloutStatusAnswered,
)
from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.rollouts.course import Course
from masticdrum.rollouts.course import RolloutParts as DeciderParts
from masticdrum.rollouts.decider import RolloutDecider
from masticdrum.rollouts.evidence import EntryTallies, PooledEvidence
from masticdrum.rollouts.follower import RolloutFollower
from masticdrum.rollouts.interfaces import RolloutBounds
from masticdrum.rollouts.judgement import Judge
from masticdrum.rollouts.schedule import MAX_LAST_S, Schedule, choose_upstreams

ListUpstreams = Callable[[str, str], Iterable[str]]
OrderKey = tuple[str, str, int]


class EntryRollouts:
    """Follows all orders, and decides those whose lease this entry holds.

    ``address`` is the ``IP:PORT`` at which other entries reach it, ``list_upstreams``
    names the upstreams of a service at a version.
    """

    __slots__ = ("_decider", "_follower", "_orders", "_pacers", "_tallies")

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
        self._pacers: dict[str, ProgressPacer] = {}

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
        return effects + self._publish(now, view.read_unix_time())

    def _publish(self, now: float, unix_now: float) -> list[RolloutEffect]:
        """Tell operators where the orders stand that this entry decides."""
        effects: list[RolloutEffect] = []
        for order, course in self._decider.list_courses():
            pacer = self._pacers.setdefault(order.service, ProgressPacer())
            if not pacer.is_due(now):
                continue
            progress = describe_progress(order, course, now, unix_now)
            try:
                body = encode_progress(progress)
            except ValueError as error:
                effects.append(Log(LogNumber.ROLLOUT_STEP, detail=str(error)))
                continue
            effects.append(PublishRolloutProgress(order.service, body))
        return effects


def describe_progress(
    order: RolloutOrder, course: Course, now: float, unix_now: float
) -> RolloutProgress:
    """Describe where an order stands; the next step is that of all requests."""
    evidence, step = course.pool.pool(), course.step
    last_s = min(MAX_LAST_S, order.duration_s / 2)
    until_last_s = course.began_at + order.duration_s - last_s - now
    has_next = step is None or not step.is_last
    return RolloutProgress(
        *order.key,
        number=course.number,
        at_unix_s=unix_now,
        step=course.find_step_number(step),
        share=0.0 if step is None else step.share,
        new_sent=evidence.new_sent,
        old_sent=evidence.old_sent,
        verdict=course.judgement.verdict.name.lower(),
        next_share=1.0 if has_next else None,
        next_at_unix_s=unix_now + max(0.0, until_last_s) if has_next else None,
        facts={"": course.judgement.facts},
    )


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
