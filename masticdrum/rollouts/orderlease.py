"""One entry's view of the lease on an order: taken, renewed, taken over, lost.

The lease is an object in the platform's store, written only under the revision that
was read. A holder counts its lease from the time at which it asked for a renewal, so
it stops before another entry, which counts from when it saw that renewal, takes over.
A write whose answer is lost may take effect seconds later; so each write has its own
number of renewals, by which it is recognised whenever it is read.

A store that comes back from an older copy has lost leases and fencing numbers. Each
era has a range of fencing numbers of its own, above those of the eras before, and a
lease of an earlier era counts for nobody.
"""

import msgspec
from msgspec import structs

from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.rollouts import RolloutLease, RolloutOrder

LEASE_CALL = "rollout-lease/"
RENEW_EVERY_S = 1.0
VALID_S = 2.0  # after a renewal was asked
TAKEOVER_S = 3.0  # without a renewal
RANK_WAIT_S = 1.0
RETRY_S = 0.3
FIRST_ERA = 1  # in it nothing has been lost yet
FENCES_PER_ERA = 2**32
NEVER = float("inf")


class OrderLease:
    """The lease on one order, with at most one call to the store at a time.

    Times are seconds of one clock. ``began_unix_s`` is when the order was first seen by
    any holder, in seconds of the time of day.
    """

    __slots__ = (
        "_address",
        "_asked_at",
        "_calls",
        "_changed_at",
        "_confirmed_at",
        "_era",
        "_highest_number",
        "_holder",
        "_is_read",
        "_known_at",
        "_last_held_at",
        "_lease",
        "_must_read",
        "_order",
        "_pending",
        "_pending_era",
        "_proposed",
        "_renewals",
        "_retry_at",
        "_revision",
        "_sent_at",
        "_written_at",
        "began_unix_s",
    )

    def __init__(
        self, order: RolloutOrder, holder: str, address: str, era: int, now: float
    ) -> None:
        self._order = order
        self._holder = holder
        self._address = address
        self._era = era
        self._lease: RolloutLease | None = None
        self._revision = 0
        self._is_read = False
        self._must_read = False
        self._changed_at = now
        self._known_at = -NEVER
        self._calls = 0
        self._pending = ""
        self._pending_era = 0
        self._proposed: RolloutLease | None = None
        self._asked_at = -NEVER
        self._written_at = -NEVER
        self._retry_at = -NEVER
        self._renewals = 0
        self._sent_at: dict[tuple[int, int], float] = {}
        self._confirmed_at = -NEVER
        self._last_held_at = -NEVER
        self._highest_number = 0
        self.began_unix_s = NEVER

    def get_number(self, now: float) -> int:
        """Return the fencing number under which grants may be sent now, or zero."""
        return self._lease.number if self._lease and self.is_valid(now) else 0

    def is_valid(self, now: float) -> bool:
        """Return whether the last confirmed renewal was asked recently."""
        return now < self._confirmed_at + VALID_S

    def compute_left(self, now: float) -> float:
        """Return for how many seconds the lease is still valid."""
        return self._confirmed_at + VALID_S - now

    def record_restore(self, era: int, now: float) -> None:
        """Note that the store came back from an older copy; the lease is read again."""
        if era <= self._era:
            return
        self._era = era
        self._must_read = True
        self._changed_at = now

    def record_read(
        self, found: tuple[RolloutLease, int] | None, requested_at: float, now: float
    ) -> None:
        """Use what a list of all leases holds, unless a newer state is known."""
        lease, revision = found or (None, 0)
        if self._must_read:
            return
        if revision <= self._revision and requested_at < self._known_at:
            return
        self._install(lease, revision, now)

    def plan_call(
        self, rank: int, now: float, unix_now: float
    ) -> ObjectGet | ObjectPut | None:
        """Return the call to make now, if any; ``rank`` 0 takes leases first."""
        if self._pending or now < self._retry_at:
            return None
        if self._must_read:
            self._begin_call("read", now)
            return ObjectGet(self._pending, f"rollouts/{self._order.service}")
        proposed = self._propose(rank, now, unix_now) if self._is_read else None
        if proposed is None:
            return None
        self._begin_call("write", now)
        self._proposed = proposed
        self._written_at = now
        self._sent_at[proposed.number, proposed.renewals] = now
        body = msgspec.json.encode(proposed)
        path = f"rollouts/{self._order.service}"
        return ObjectPut(self._pending, path, body, self._revision)

    def handle_answer(self, answer: ObjectAnswer, now: float) -> None:
        """Handle the store's answer; answers to other calls are ignored."""
        if answer.call != self._pending:
            return
        proposed, self._proposed = self._proposed, None
        self._pending = ""
        self.record_restore(answer.era, now)
        if 0 < self._pending_era < self._era:
            # The revision in the condition may have named another state.
            self._must_read = True
            return
        match answer.status:
            case ObjectStatus.OK if proposed is not None:
                self._known_at = now
                self._install(proposed, answer.version, now)
            case ObjectStatus.OK:
                self._install_body(answer, now)
            case ObjectStatus.MISSING if proposed is None:
                self._known_at = now
                self._install(None, 0, now)
            case ObjectStatus.CONFLICT:
                self._must_read = True
            case _:
                self._must_read = True
                self._retry_at = now + RETRY_S

    def _begin_call(self, name: str, now: float) -> None:
        self._calls += 1
        # The target and the mark of creation keep calls for two orders apart.
        order = f"{self._order.service}/{self._order.target}/{self._order.created}"
        self._pending = f"{LEASE_CALL}{order} {name} {self._calls}"
        self._pending_era = self._era
        self._asked_at = now

    def _install_body(self, answer: ObjectAnswer, now: float) -> None:
        try:
            lease = msgspec.json.decode(answer.body, type=RolloutLease)
        except msgspec.MsgspecError:
            # Nobody holds what nobody can read; it is replaced under its revision.
            lease = None
        self._known_at = now
        self._install(lease, answer.version, now)

    def _install(self, lease: RolloutLease | None, revision: int, now: float) -> None:
        if not self._is_read or lease != self._lease:
            self._changed_at = now
        self._lease, self._revision = lease, revision
        self._is_read, self._must_read = True, False
        if lease is None or not self._is_own(lease):
            self._confirmed_at = -NEVER
        if lease is None:
            return
        self._highest_number = max(self._highest_number, lease.number)
        if self._names_order(lease):
            self.began_unix_s = min(self.began_unix_s, lease.began_unix_s)
        if self._is_own(lease):
            sent_at = self._sent_at.get((lease.number, lease.renewals), -NEVER)
            self._confirmed_at = max(self._confirmed_at, sent_at)
            self._last_held_at = max(self._last_held_at, sent_at)
            self._sent_at = {k: at for k, at in self._sent_at.items() if at >= sent_at}

    def _names_order(self, lease: RolloutLease) -> bool:
        return (lease.service, lease.target, lease.created) == self._order.key

    def _is_own(self, lease: RolloutLease) -> bool:
        is_holder = lease.holder == self._holder and self._names_order(lease)
        return is_holder and lease.number > self._find_era_number()

    def _find_era_number(self) -> int:
        """Return the fencing number above which those of this era begin."""
        return FENCES_PER_ERA * max(0, self._era - FIRST_ERA)

    def _propose(self, rank: int, now: float, unix_now: float) -> RolloutLease | None:
        lease = self._lease
        if lease is not None and self._is_own(lease):
            if now < self._written_at + RENEW_EVERY_S and self.is_valid(now):
                return None
            self._renewals = max(self._renewals, lease.renewals) + 1
            return structs.replace(lease, renewals=self._renewals)
        if now < self._find_takeover(rank, now):
            return None
        self._renewals += 1
        began_unix_s = min(self.began_unix_s, unix_now)
        return RolloutLease(
            *self._order.key,
            holder=self._holder,
            address=self._address,
            number=max(self._highest_number, self._find_era_number()) + 1,
            renewals=self._renewals,
            began_unix_s=began_unix_s,
        )

    def _find_takeover(self, rank: int, now: float) -> float:
        """Return from when on the lease may be taken."""
        if now < self._last_held_at + TAKEOVER_S and self._was_forgotten():
            return now
        lease = self._lease
        wait_s = RANK_WAIT_S * rank
        if lease is None:
            return self._changed_at + wait_s
        if not self._names_order(lease) and lease.created <= self._order.created:
            return self._changed_at + wait_s
        return self._changed_at + TAKEOVER_S + wait_s

    def _was_forgotten(self) -> bool:
        """Return whether a restore has lost the lease that nobody has taken since."""
        return self._lease is None or self._lease.number <= self._find_era_number()
