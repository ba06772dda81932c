"""Permits for weight loads: leases with fencing numbers in one platform object.

At most ``PermitBounds.loads`` leases exist at once. A grant is a conditional write; its
fencing number is one higher than any before. The holder counts its lease from the time
at which it sent the write, and sends no order in its last ``MARGIN_S`` or later.
Other agents take a lease over once they have seen it unchanged, by their own clock, for
the time of a lease and a load. That covers an order sent at the last moment and the
load that it started. A lease that names its engine and target is also taken over once
the engine is registered with the target: its holder orders nothing else under it, and
an engine loads no target that it has, so that no load is left to protect. After a lost
answer the object is read: a lease with the agent's own token was granted.

A platform that comes back from an older copy has lost leases and fencing numbers. Its
answers name the era, which rises each time, and a table of an earlier era is settled
only once the time of a lease and a load has passed since the era was first seen. Until
then agents write the leases that they hold again, and nothing new is granted. Each era
has a range of fencing numbers of its own, above those of the eras before.
"""

from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.telemetry import Facts

PERMITS_PATH = "permits/weights"
MAX_LOADS = 2  # concurrent loads that the weight store can serve
LEASE_S = 10.0
MARGIN_S = 1.0  # for the order's transit to the upstream, and for clock drift
MAX_LOAD_S = 60.0  # of a load that continues after its agent died
RENEW_EVERY_S = 3.0
MIN_POLL_S = 0.5
MAX_POLL_S = 10.0
FIRST_ERA = 1  # in it nothing has been lost yet
FENCES_PER_ERA = 2**32
Number = Annotated[int, Meta(ge=0, le=2**62)]  # leaves room to count on in 64 bits


class Lease(Struct, omit_defaults=True):
    """One permit in use; its holder changes ``renewals`` for as long as it is alive.

    It is for an order of ``target`` to the run of ``engine`` that was ``born`` then, or
    for any order if these are empty.
    """

    fence: Number
    renewals: Number = 0
    engine: str = ""
    target: str = ""
    born: Number = 0


class PermitTable(Struct):
    """The stored object: the last fencing number, and the leases by token.

    ``era`` is the one in which the table was last known to hold all leases.
    """

    fence: Number = 0
    leases: dict[str, Lease] = field(default_factory=dict)
    era: Number = 0


class Sighting(Struct):
    """The state of a lease, and when this process first saw it, in seconds."""

    renewals: int
    since: float


class PermitBounds(Struct, frozen=True):
    """How many permits there are and how they are renewed; times are in seconds.

    ``load_s`` is the longest time that a load continues after its agent died.
    """

    loads: int = MAX_LOADS
    lease_s: float = LEASE_S
    load_s: float = MAX_LOAD_S
    renew_every_s: float = RENEW_EVERY_S
    min_poll_s: float = MIN_POLL_S
    max_poll_s: float = MAX_POLL_S


class DesiredState(StrEnum):
    """Whether the agent wants to hold a permit."""

    NONE = "none"
    HOLD = "hold"


class Permits:
    """One agent's permit: requested, held while it is renewed, and released.

    ``holder_prefix`` is the common prefix of the holder names of all incarnations of
    this agent. The earlier ones are over, so their leases are taken over at once. It is
    empty if incarnations can't be recognised. ``is_loaded`` tells whether the engine of
    a lease is registered with the lease's target. ``engine`` is the one that this agent
    orders, ``born`` its run; leases name neither engine nor target while it is empty.
    ``fault`` is why the table could not be decoded when it was last read, or empty.
    """

    __slots__ = (
        "_calls",
        "_era",
        "_era_seen_at",
        "_expires_at",
        "_fence",
        "_highest_fence",
        "_holder_prefix",
        "_poll_s",
        "_pending",
        "_pending_era",
        "_proposed",
        "_random",
        "_released",
        "_sightings",
        "_sent_at",
        "_table",
        "_token",
        "_version",
        "_next_call_at",
        "_is_loaded",
        "_target",
        "born",
        "bounds",
        "engine",
        "holder",
        "desired",
        "fault",
    )

    def __init__(
        self,
        holder: str,
        seed: int,
        bounds: PermitBounds | None = None,
        holder_prefix: str = "",
        is_loaded: Callable[[Lease], bool] = lambda lease: False,
    ) -> None:
        self._is_loaded = is_loaded
        self._target = ""
        self.engine = ""
        self.born = 0
        self._holder_prefix = holder_prefix
        self.bounds = PermitBounds() if bounds is None else bounds
        self.holder = holder
        self.desired = DesiredState.NONE
        self.fault = ""
        self._random = Random(seed)
        self._calls = 0
        self._era = 0
        self._era_seen_at = 0.0
        self._highest_fence = 0
        self._pending = ""
        self._pending_era = 0
        self._proposed = PermitTable()
        self._table = PermitTable()
        self._version = -1
        self._sightings: dict[str, Sighting] = {}
        self._token = ""
        self._released = False
        self._fence = 0
        self._sent_at: dict[int, float] = {}
        self._expires_at = 0.0
        self._poll_s = self.bounds.min_poll_s
        self._next_call_at = 0.0

    def get_valid_fence(self, now: float) -> int:
        """Return the fencing number under which an order may be sent now, or zero.

        The order must be for the target that was requested.
        """
        if now >= self._expires_at or not self._has_requested_lease():
            return 0
        return self._fence

    @property
    def expires_at(self) -> float:
        """The time, in seconds, from which no order may be sent."""
        return self._expires_at

    @property
    def is_idle(self) -> bool:
        """Whether no permit is held or wanted and no call to the platform is open."""
        wanted = self.desired is DesiredState.HOLD
        return not wanted and not self._token and not self._pending

    def describe(self) -> Facts:
        """Return what is known of the permits, for the log."""
        return {
            "era": self._era,
            "fence": self._table.fence,
            "leases": len(self._table.leases),
            "own_fence": self._fence,
        }

    def request(self, target: str = "") -> None:
        """Request a permit to order ``target``, or keep the one that is held."""
        self.desired = DesiredState.HOLD
        before, self._target = self._target, target if self.engine else ""
        if self._expires_at > 0.0 and self._target != before:
            self._next_call_at = 0.0

    def release(self) -> None:
        """Release the permit; a later one has another fencing number."""
        if self.desired is DesiredState.HOLD:
            self._next_call_at = 0.0
        self.desired = DesiredState.NONE
        self._released = True
        self._expires_at = 0.0

    def plan_call(self, now: float) -> ObjectGet | ObjectPut | None:
        """Return the next call to the platform; at most one is open."""
        if self._pending or now < self._next_call_at:
            return None
        if self.desired is DesiredState.NONE and not self._token:
            return None
        self._calls += 1
        self._pending_era = self._era
        if self._version < 0:
            self._pending = f"permits read {self._calls}"
            return ObjectGet(self._pending, PERMITS_PATH)
        proposed = self._propose(now)
        if proposed is None:
            self._back_off(now)
            return None
        self._proposed = proposed
        self._pending = f"permits write {self._calls}"
        body = msgspec.json.encode(proposed)
        return ObjectPut(self._pending, PERMITS_PATH, body, self._version)

    def record_era(self, era: int, now: float) -> None:
        """Record how often the platform has come back from an older copy."""
        if era <= self._era:
            return
        self._era = era
        self._era_seen_at = now
        self._version = -1

    def handle_answer(self, answer: ObjectAnswer, now: float) -> None:
        """Handle the platform's answer."""
        if answer.call != self._pending:
            return
        wrote = self._pending.startswith("permits write")
        self._pending = ""
        self.record_era(answer.era, now)
        if wrote and self._pending_era < self._era:
            # The revision in the condition may have named another table.
            return
        match answer.status:
            case ObjectStatus.OK if wrote:
                self._install(answer.version, self._proposed, now)
            case ObjectStatus.OK:
                self._install_read(answer, now)
            case ObjectStatus.MISSING:
                self._install(0, PermitTable(), now)
            case ObjectStatus.CONFLICT:
                self._version = -1
            case _:
                self._version = -1
                self._back_off(now)

    def _install_read(self, answer: ObjectAnswer, now: float) -> None:
        """Use a table that was read, or none if it can't be decoded.

        It is not replaced: its leases and its last fencing number would be lost.
        """
        try:
            table = read_json(answer.body, PermitTable)
        except Undecodable as error:
            self.fault = str(error)
            self._back_off(now)
            return
        self.fault = ""
        self._install(answer.version, table, now)

    def _install(self, version: int, table: PermitTable, now: float) -> None:
        self._version = version
        self._table = table
        self._highest_fence = max(self._highest_fence, table.fence)
        for token in [t for t in self._sightings if t not in table.leases]:
            del self._sightings[token]
        for token, lease in table.leases.items():
            old = self._sightings.get(token)
            if old is None or old.renewals != lease.renewals:
                self._sightings[token] = Sighting(lease.renewals, now)
        self._update_own_lease(now)

    def _is_settled(self, now: float) -> bool:
        """Return whether all leases that still matter are in the table."""
        if self._era <= max(FIRST_ERA, self._table.era):
            return True
        return now >= self._era_seen_at + self.bounds.lease_s + self.bounds.load_s

    def _was_forgotten(self, now: float) -> bool:
        """Return whether the own lease still holds but was lost by the platform."""
        forgotten = self._token not in self._table.leases
        return forgotten and self._table.era < self._era and now < self._expires_at

    def _update_own_lease(self, now: float) -> None:
        lease = self._table.leases.get(self._token)
        if self._was_forgotten(now):
            self._next_call_at = now
            return
        if lease is None:
            self._token, self._fence, self._expires_at = "", 0, 0.0
            self._released = False
            return
        self._fence = lease.fence
        if self._released:
            return
        sent_at = self._sent_at.get(lease.renewals, 0.0)
        self._expires_at = sent_at + self.bounds.lease_s - MARGIN_S
        self._next_call_at = max(now, sent_at + self.bounds.renew_every_s)
        if not self._has_requested_lease():
            self._next_call_at = now
        self._poll_s = self.bounds.min_poll_s

    def _has_requested_lease(self) -> bool:
        lease = self._table.leases.get(self._token)
        if lease is None:
            return False
        wanted = (self.engine, self.born, self._target)
        return (lease.engine, lease.born, lease.target) == wanted

    def _make_lease(self, fence: int, renewals: int = 0) -> Lease:
        return Lease(fence, renewals, self.engine, self._target, self.born)

    def _propose(self, now: float) -> PermitTable | None:
        taken_over = [t for t in self._sightings if self._may_take_over(t, now)]
        leases = {
            token: lease
            for token, lease in self._table.leases.items()
            if token not in taken_over
        }
        settled = self._is_settled(now)
        table = PermitTable(self._table.fence, leases, self._table.era)
        if settled:
            table.era = max(table.era, self._era)
        if self._was_forgotten(now):
            leases[self._token] = self._make_lease(self._fence, max(self._sent_at))
        own = leases.get(self._token)
        if self._released:
            leases.pop(self._token, None)
            return table
        if own is not None:
            renewals = own.renewals + 1
            leases[self._token] = self._make_lease(own.fence, renewals)
            self._sent_at[renewals] = now
            return table
        if len(leases) >= self.bounds.loads or not settled:
            return None
        table.fence = max(table.fence, self._highest_fence, self._find_era_fence()) + 1
        self._token = f"{self.holder}/{self._calls}"
        self._released = False
        self._sent_at = {0: now}
        leases[self._token] = self._make_lease(table.fence)
        return table

    def _find_era_fence(self) -> int:
        """Return the fencing number above which those of this era begin."""
        return FENCES_PER_ERA * max(0, self._era - FIRST_ERA)

    def _may_take_over(self, token: str, now: float) -> bool:
        if token == self._token:
            return False
        if self._holder_prefix and token.startswith(self._holder_prefix):
            return True
        lease = self._table.leases[token]
        if lease.target and self._is_loaded(lease):
            return True
        unchanged_s = now - self._sightings[token].since
        takeover_s = self.bounds.lease_s + self.bounds.load_s
        return unchanged_s >= takeover_s

    def _back_off(self, now: float) -> None:
        # The next attempt needs the current object: read it again.
        self._version = -1
        self._next_call_at = now + self._poll_s * self._random.uniform(0.5, 1.5)
        self._poll_s = min(self.bounds.max_poll_s, 2 * self._poll_s)
