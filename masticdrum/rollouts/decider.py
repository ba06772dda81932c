"""Decides the roll-outs whose leases this entry holds.

At most one final state of an order is ever written: each write names the revision at
which the order was read without one, and a final state that is found is adopted. So a
write whose answer is lost may still take effect later, and several entries may believe
to decide. A target that is judged bad gets nothing from then on, before that is
written; entries are told of a final state only once the store is known to hold it.

A new decider grants nothing for the target in its first second, in which it hears what
other entries have counted, and which final states they know that a restore of the store
has lost.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from masticdrum.model.cluster_events import StoreRestored
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut
from masticdrum.model.rollouts import (
    PutRolloutStatus,
    RolloutGrant,
    RolloutLease,
    RolloutLeasesRead,
    RolloutOrder,
    RolloutRead,
    RolloutReport,
    RolloutReported,
    RolloutsRead,
    RolloutState,
    RolloutStatusAnswered,
    SendGrant,
)
from masticdrum.model.telemetry import Facts, Log, LogNumber
from masticdrum.rollouts.course import Course, RolloutParts
from masticdrum.rollouts.interfaces import RolloutBounds, Step, Verdict
from masticdrum.rollouts.orderlease import NEVER, OrderLease

REVIEW_EVERY_S = 0.2
GRANT_VALID_S = 1.2
GRANT_MARGIN_S = 0.8  # of a grant beyond its lease
RETRY_S = 0.3
STALL_S = 1.0  # between two ticks; reports may have been missed
DEADLINE_MARGIN_S = 0.5  # for the write
OVERTIME_S = 30.0  # for what is open at the old side of a sound target

OrderKey = tuple[str, str, int]
RolloutEvent = (
    RolloutsRead
    | RolloutLeasesRead
    | RolloutReported
    | RolloutStatusAnswered
    | ObjectAnswer
    | StoreRestored
)
RolloutEffect = ObjectGet | ObjectPut | PutRolloutStatus | SendGrant | Log


class OrderState:
    """An order as this entry knows it, whether or not it decides it.

    ``final`` is a final state that was found in the store, written there, or reported;
    ``is_bad`` that this entry has decided to roll back, which is never taken back.
    """

    __slots__ = (
        "course",
        "final",
        "first_seen_at",
        "is_bad",
        "lease",
        "read",
        "retry_at",
        "spent_at",
        "spent_revision",
        "has_started",
        "is_deciding",
        "was_contradicted",
    )

    def __init__(self, read: RolloutRead, lease: OrderLease, now: float) -> None:
        self.read = read
        self.lease = lease
        self.first_seen_at = now
        self.final: RolloutState | None = None
        self.is_bad = False
        self.course: Course | None = None
        self.retry_at = -NEVER
        self.spent_revision = -1
        self.spent_at = -NEVER
        self.has_started = False
        self.is_deciding = False
        self.was_contradicted = False

    @property
    def is_open(self) -> bool:
        """Whether the store, as it was read last, holds no final state."""
        return self.read.state is None or not self.read.state.is_final

    def record_read(self, read: RolloutRead, requested_at: float) -> None:
        """Use a newer state of the object."""
        self.read = read
        if requested_at >= self.spent_at:
            self.spent_revision = -1

    def spend_revision(self, revision: int, now: float) -> None:
        """Note that the object has changed since ``revision``."""
        self.spent_revision, self.spent_at = revision, now


class RolloutDecider:
    """One entry's part in deciding roll-outs.

    ``handle`` and ``tick`` return the effects to carry out; ``now`` is a clock in
    seconds that runs on while the machine sleeps, ``unix_now`` the time of day. Each
    ``PutRolloutStatus`` must be answered once, and is the only one of its service until
    then. ``tick`` is to be called at least each 0.2 s while there is an order.
    """

    __slots__ = (
        "_address",
        "_bounds",
        "_era",
        "_holder",
        "_leases",
        "_leases_at",
        "_members",
        "_name",
        "_orders",
        "_parts",
        "_pending",
        "_ranks",
        "_read_at",
        "_ticked_at",
    )

    def __init__(
        self,
        name: str,
        incarnation: str,
        address: str,
        bounds: RolloutBounds,
        parts: RolloutParts,
    ) -> None:
        self._name = name
        self._holder = f"{name}/{incarnation}"
        self._address = address
        self._bounds = bounds
        self._parts = parts
        self._members: tuple[str, ...] = ()
        self._ranks: dict[str, int] = {}
        self._orders: dict[str, OrderState] = {}
        self._leases: dict[str, tuple[RolloutLease, int]] = {}
        self._leases_at = -NEVER
        self._read_at = -NEVER
        self._ticked_at = NEVER
        self._era = 0
        self._pending: dict[str, tuple[OrderKey, PutRolloutStatus]] = {}

    def set_members(self, names: Iterable[str]) -> None:
        """Use the names of all entries, in any order."""
        self._members = tuple(names)
        self._ranks = {}

    def handle(
        self, event: RolloutEvent, now: float, unix_now: float
    ) -> list[RolloutEffect]:
        """Handle an event."""
        effects: list[RolloutEffect] = []
        match event:
            case RolloutsRead():
                effects += self._handle_orders(event, now)
            case RolloutLeasesRead():
                self._handle_leases(event, now)
            case RolloutReported():
                effects += self._handle_report(event, now)
            case RolloutStatusAnswered():
                effects += self._handle_status(event, now)
            case ObjectAnswer():
                self._era = max(self._era, event.era)
                for state in self._orders.values():
                    state.lease.handle_answer(event, now)
            case StoreRestored():
                self._handle_restore(event, now)
        return effects + self.tick(now, unix_now)

    def tick(self, now: float, unix_now: float) -> list[RolloutEffect]:
        """Renew or take leases, judge, and write what is decided."""
        effects: list[RolloutEffect] = []
        has_stalled = now > self._ticked_at + STALL_S
        self._ticked_at = now
        for state in self._orders.values():
            if has_stalled and state.course:
                state.course.listen(now)
            effects += self._follow_lease(state, now, unix_now)
            if state.is_open:
                effects += self._review(state, now)
                effects += self._write(state, now)
                rank = self._rank(state.read.order.service)
                call = state.lease.plan_call(rank, now, unix_now)
                effects += [call] if call else []
        return effects

    def list_courses(self) -> list[tuple[RolloutOrder, Course]]:
        """List the orders that this entry decides, and what it knows of each."""
        return [
            (state.read.order, state.course)
            for state in self._orders.values()
            if state.course is not None and state.is_deciding and not state.final
        ]

    def _rank(self, service: str) -> int:
        """Return this entry's place in the order in which members take leases."""

        def score(name: str) -> tuple[int, str]:
            return xxh3_64_intdigest(f"{service}/{name}".encode()), name

        if service not in self._ranks:
            own = score(self._name)
            self._ranks[service] = sum(score(name) > own for name in self._members)
        return self._ranks[service]

    def _handle_orders(self, event: RolloutsRead, now: float) -> list[RolloutEffect]:
        if event.requested_at < self._read_at:
            return []
        self._read_at = event.requested_at
        effects: list[RolloutEffect] = []
        known, self._orders = self._orders, {}
        for read in event.rollouts:
            service = read.order.service
            state = known.get(service)
            if state is None or state.read.order.key != read.order.key:
                state = self._begin(read, now)
            self._orders[service] = state
            state.record_read(read, event.requested_at)
            if not state.is_open and read.state is not None:
                effects += self._adopt(state, read.state, "read")
        return effects

    def _begin(self, read: RolloutRead, now: float) -> OrderState:
        lease = OrderLease(read.order, self._holder, self._address, self._era, now)
        if self._leases_at > -NEVER:
            found = self._leases.get(read.order.service)
            lease.record_read(found, self._leases_at, now)
        return OrderState(read, lease, now)

    def _handle_leases(self, event: RolloutLeasesRead, now: float) -> None:
        if event.requested_at < self._leases_at:
            return
        self._leases_at = event.requested_at
        self._leases = {found[0].service: found for found in event.leases}
        for service, state in self._orders.items():
            found = self._leases.get(service)
            state.lease.record_read(found, event.requested_at, now)

    def _handle_restore(self, event: StoreRestored, now: float) -> None:
        self._era = max(self._era, event.era)
        for state in self._orders.values():
            state.lease.record_restore(event.era, now)
            state.spent_revision = -1
            state.has_started = False
            if state.course:
                state.course.listen(now)

    def _handle_report(self, event: RolloutReported, now: float) -> list[RolloutEffect]:
        report = event.report
        state = self._orders.get(report.service)
        key = report.service, report.target, report.created
        if state is None or state.read.order.key != key:
            return []
        effects: list[RolloutEffect] = []
        decided = find_final_state(report.decided)
        if decided is not None:
            effects += self._adopt(state, decided, "reported")
        course = state.course
        if course is None:
            return effects
        course.record(report, now)
        if state.lease.get_number(now) != course.number:
            return effects
        grant = self._grant(state, course, report, now)
        return [*effects, SendGrant(event.peer, grant)]

    def _grant(
        self, state: OrderState, course: Course, report: RolloutReport, now: float
    ) -> RolloutGrant:
        step = course.step
        if state.final or state.is_bad or now < course.hears_until:
            step = None
        share = step.share if step else 0.0
        order = state.read.order
        upstreams = self._parts.list_upstreams(order.service, order.target)
        chosen = self._parts.choose_upstreams(upstreams, share) if share else ()
        left_s = state.lease.compute_left(now)
        return RolloutGrant(
            *order.key,
            number=course.number,
            step=course.find_step_number(step),
            share=share,
            sent_at=report.sent_at,
            valid_s=min(GRANT_VALID_S, left_s + GRANT_MARGIN_S),
            decided=state.final.value if state.final else "",
            upstreams=tuple(chosen),
        )

    def _handle_status(
        self, event: RolloutStatusAnswered, now: float
    ) -> list[RolloutEffect]:
        key, put = self._pending.pop(event.service, (None, None))
        state = self._orders.get(event.service)
        if put is None or state is None or state.read.order.key != key:
            return []
        match event.status:
            case "ok":
                state.spend_revision(put.revision, now)
                is_final = put.state.is_final
                return self._adopt(state, put.state, "written") if is_final else []
            case "conflict":
                state.spend_revision(put.revision, now)
            case _:
                state.retry_at = now + RETRY_S
        if put.state is RolloutState.RUNNING:
            state.has_started = False
        return []

    def _adopt(
        self, state: OrderState, final: RolloutState, how: str
    ) -> list[RolloutEffect]:
        if state.final is final:
            return []
        if state.final is not None:
            was_logged, state.was_contradicted = state.was_contradicted, True
            return [] if was_logged else [self._log(state, "contradicted", final)]
        state.final = final
        return [self._log(state, how, final)]

    def _log(self, state: OrderState, how: str, decided: RolloutState) -> Log:
        order, course = state.read.order, state.course
        facts: Facts = {
            **(course.judgement.facts if course else {}),
            "service": order.service,
            "target": order.target,
            "state": decided.value,
            "revision": state.read.revision,
        }
        return Log(LogNumber.ROLLOUT_DECIDED, detail=how, facts=facts)

    def _follow_lease(
        self, state: OrderState, now: float, unix_now: float
    ) -> list[RolloutEffect]:
        """Note whether this entry decides, and begin anew under another number.

        While the lease is only late to be renewed, reports are heard on.
        """
        number, course = state.lease.get_number(now), state.course
        is_same = course is not None and course.number == number
        if bool(number) == state.is_deciding and (not number or is_same):
            return []
        state.is_deciding = bool(number)
        facts: Facts = {
            "service": state.read.order.service,
            "target": state.read.order.target,
            "number": number,
            "began_unix_s": state.lease.began_unix_s,
        }
        if not number:
            return [Log(LogNumber.ROLLOUT_LEASE, detail="lost", facts=facts)]
        if course is None or not is_same:
            elapsed_s = max(0.0, unix_now - state.lease.began_unix_s)
            began_at = min(state.first_seen_at, now - elapsed_s)
            state.course = Course(self._parts, number, began_at)
            state.course.listen(now)
        return [Log(LogNumber.ROLLOUT_LEASE, detail="held", facts=facts)]

    def _review(self, state: OrderState, now: float) -> list[RolloutEffect]:
        """Judge the target and plan the next step."""
        course = state.course
        if course is None or not state.is_deciding or state.final or state.is_bad:
            return []
        if now < max(course.hears_until, course.reviewed_at + REVIEW_EVERY_S):
            return []
        course.reviewed_at = now
        order, evidence = state.read.order, course.pool.pool()
        course.judgement = course.judge.observe(evidence, now)
        if course.judgement.verdict is Verdict.BAD:
            state.is_bad = True
            return [self._log(state, "judged", RolloutState.ROLLED_BACK)]
        before = course.step
        course.step = course.schedule.plan(
            now,
            course.began_at,
            order.duration_s,
            self._bounds,
            evidence,
            course.judgement,
            course.count_old_open(now),
            course.have_all_switched(self._members, now),
        )
        if self._has_failed_deadline(course, order.duration_s, now):
            state.is_bad = True
            return [self._log(state, "deadline", RolloutState.ROLLED_BACK)]
        if before and before.number == course.step.number:
            return []
        return [self._log_step(order, course, course.step)]

    def _has_failed_deadline(
        self, course: Course, duration_s: float, now: float
    ) -> bool:
        """Return whether the target could not be shown sound in time.

        A sound target to which all requests go waits for the old side to run empty.
        """
        deadline_at = course.began_at + duration_s - DEADLINE_MARGIN_S
        if now < deadline_at:
            return False
        is_last = course.step is not None and course.step.is_last
        if course.judgement.verdict is not Verdict.SOUND or not is_last:
            return True
        is_late = now >= deadline_at + OVERTIME_S
        return is_late and not course.hears_most(self._members, now)

    def _log_step(self, order: RolloutOrder, course: Course, step: Step) -> Log:
        facts: Facts = {
            **course.judgement.facts,
            "service": order.service,
            "target": order.target,
            "step": course.find_step_number(step),
            "share": step.share,
            "is_last": step.is_last,
        }
        return Log(LogNumber.ROLLOUT_STEP, facts=facts)

    def _write(self, state: OrderState, now: float) -> list[RolloutEffect]:
        """Write what the status should be, unless a write is still open."""
        wanted = self._find_wanted(state, now)
        read, service = state.read, state.read.order.service
        if wanted is None or service in self._pending or now < state.retry_at:
            return []
        if read.revision == state.spent_revision:
            return []
        put = PutRolloutStatus(service, read.order.target, wanted, read.revision)
        self._pending[service] = read.order.key, put
        if wanted is RolloutState.RUNNING:
            state.has_started = True
            return [put]
        if wanted is RolloutState.COMPLETED and not state.final:
            return [self._log(state, "due", wanted), put]
        return [put]

    def _find_wanted(self, state: OrderState, now: float) -> RolloutState | None:
        """Return the state to write, or None."""
        course = state.course
        if state.final:
            return state.final if state.is_deciding else None
        if state.is_bad:
            # Also without the lease: the write is conditional, and others may not know.
            return RolloutState.ROLLED_BACK
        if course is None or not state.is_deciding:
            return None
        if self._is_due(course, state.read.order.duration_s, now):
            return RolloutState.COMPLETED
        if state.read.state is None and not state.has_started:
            return RolloutState.RUNNING
        return None

    def _is_due(self, course: Course, duration_s: float, now: float) -> bool:
        """Return whether a sound target may be completed.

        Entries that don't report send to the old side, which completion stops.
        """
        step, is_sound = course.step, course.judgement.verdict is Verdict.SOUND
        if step is None or not is_sound or now < course.hears_until:
            return False
        is_late = now >= course.began_at + duration_s + OVERTIME_S
        is_due = step.is_due or (step.is_last and is_late)
        return is_due and course.hears_most(self._members, now)


def find_final_state(word: str) -> RolloutState | None:
    """Return the final state that a message names, or None."""
    states = {state.value: state for state in RolloutState if state.is_final}
    return states.get(word)
