"""Permits for weight loads: leases with fencing numbers in one platform object.

At most ``PermitBounds.loads`` leases stand at once. A grant is a conditional write; its
fencing number is one higher than any before. The holder counts its lease from the
moment at which it sent the write, and orders nothing past it less a margin.
Others take a lease over once they have seen it unchanged, by their own clock, for a
lease and a load, which covers an order given at the last moment and the load that it
began. A lost answer is settled by reading the object: a lease with one's own token was
granted.
"""

from enum import StrEnum
from random import Random

import msgspec
from msgspec import Struct, field

from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)

PERMITS_PATH = "permits/weights"
LOAD_PERMITS = 2  # loads at once that the weight store bears
LEASE_S = 10.0
MARGIN_S = 1.0  # for the order's way to the upstream, and for clocks' drift
LONGEST_LOAD_S = 60.0  # that goes on after its agent died
RENEW_EVERY_S = 3.0
FIRST_POLL_S = 0.5
LONGEST_POLL_S = 10.0


class Lease(Struct):
    """One permit in use; ``renewals`` changes whenever its holder is alive."""

    fence: int
    renewals: int = 0


class PermitTable(Struct):
    """The object: the last fencing number and the leases by token."""

    fence: int = 0
    leases: dict[str, Lease] = field(default_factory=dict)


class Sighting(Struct):
    """A lease as this process first saw it, and when, in seconds."""

    renewals: int
    since: float


class PermitBounds(Struct, frozen=True):
    """How many permits stand at once and how they are kept; times are seconds.

    ``load_s`` is the longest that a load goes on after its agent died.
    """

    loads: int = LOAD_PERMITS
    lease_s: float = LEASE_S
    load_s: float = LONGEST_LOAD_S
    renew_every_s: float = RENEW_EVERY_S
    first_poll_s: float = FIRST_POLL_S
    longest_poll_s: float = LONGEST_POLL_S


class Wish(StrEnum):
    """What the agent wants of its permit."""

    NONE = "none"
    HOLD = "hold"


class Permits:
    """One agent's permit: asked for, held while it is renewed, given back.

    ``kin`` begins the holder names of this agent's earlier lives, which are over, so
    that their leases are taken over at once; empty if such lives can't be told.
    """

    __slots__ = (
        "_calls",
        "_expires_at",
        "_fence",
        "_kin",
        "_poll_s",
        "_pending",
        "_proposed",
        "_random",
        "_retired",
        "_seen",
        "_sent_at",
        "_table",
        "_token",
        "_version",
        "_wake_at",
        "bounds",
        "holder",
        "wish",
    )

    def __init__(
        self,
        holder: str,
        seed: int,
        bounds: PermitBounds | None = None,
        kin: str = "",
    ) -> None:
        self._kin = kin
        self.bounds = PermitBounds() if bounds is None else bounds
        self.holder = holder
        self.wish = Wish.NONE
        self._random = Random(seed)
        self._calls = 0
        self._pending = ""
        self._proposed = PermitTable()
        self._table = PermitTable()
        self._version = -1
        self._seen: dict[str, Sighting] = {}
        self._token = ""
        self._retired = False
        self._fence = 0
        self._sent_at: dict[int, float] = {}
        self._expires_at = 0.0
        self._poll_s = self.bounds.first_poll_s
        self._wake_at = 0.0

    def find_fence(self, now: float) -> int:
        """Find the fencing number under which an order may go out now, or zero."""
        return self._fence if now < self._expires_at else 0

    @property
    def expires_at(self) -> float:
        """The time, in seconds, from which no order may go out."""
        return self._expires_at

    def ask(self) -> None:
        """Wants a permit, or to go on holding it."""
        self.wish = Wish.HOLD

    def give_back(self) -> None:
        """Wants this permit no more; a later one has another fencing number."""
        if self.wish is Wish.HOLD:
            self._wake_at = 0.0
        self.wish = Wish.NONE
        self._retired = True
        self._expires_at = 0.0

    def plan_call(self, now: float) -> ObjectGet | ObjectPut | None:
        """Find the next call to the platform; at most one is under way."""
        if self._pending or now < self._wake_at:
            return None
        if self.wish is Wish.NONE and not self._token:
            return None
        self._calls += 1
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

    def take_answer(self, answer: ObjectAnswer, now: float) -> None:
        """Take the platform's answer in."""
        if answer.call != self._pending:
            return
        wrote = self._pending.startswith("permits write")
        self._pending = ""
        match answer.status:
            case ObjectStatus.OK if wrote:
                self._install(answer.version, self._proposed, now)
            case ObjectStatus.OK:
                table = msgspec.json.decode(answer.body, type=PermitTable)
                self._install(answer.version, table, now)
            case ObjectStatus.MISSING:
                self._install(0, PermitTable(), now)
            case ObjectStatus.CONFLICT:
                self._version = -1
            case _:
                self._version = -1
                self._back_off(now)

    def _install(self, version: int, table: PermitTable, now: float) -> None:
        self._version = version
        self._table = table
        for token in [t for t in self._seen if t not in table.leases]:
            del self._seen[token]
        for token, lease in table.leases.items():
            old = self._seen.get(token)
            if old is None or old.renewals != lease.renewals:
                self._seen[token] = Sighting(lease.renewals, now)
        self._settle_own(now)

    def _settle_own(self, now: float) -> None:
        lease = self._table.leases.get(self._token)
        if lease is None:
            self._token, self._fence, self._expires_at = "", 0, 0.0
            self._retired = False
            return
        self._fence = lease.fence
        if self._retired:
            return
        sent_at = self._sent_at.get(lease.renewals, 0.0)
        self._expires_at = sent_at + self.bounds.lease_s - MARGIN_S
        self._wake_at = max(now, sent_at + self.bounds.renew_every_s)
        self._poll_s = self.bounds.first_poll_s

    def _propose(self, now: float) -> PermitTable | None:
        dead = [t for t in self._seen if self._is_dead(t, now)]
        leases = {
            token: Lease(lease.fence, lease.renewals)
            for token, lease in self._table.leases.items()
            if token not in dead
        }
        table = PermitTable(self._table.fence, leases)
        own = leases.get(self._token)
        if self._retired:
            leases.pop(self._token, None)
            return table
        if own is not None:
            own.renewals += 1
            self._sent_at[own.renewals] = now
            return table
        if len(leases) >= self.bounds.loads:
            return None
        table.fence += 1
        self._token = f"{self.holder}/{self._calls}"
        self._retired = False
        self._sent_at = {0: now}
        leases[self._token] = Lease(table.fence)
        return table

    def _is_dead(self, token: str, now: float) -> bool:
        if token == self._token:
            return False
        if self._kin and token.startswith(self._kin):
            return True
        unchanged_s = now - self._seen[token].since
        takeover_s = self.bounds.lease_s + self.bounds.load_s
        return unchanged_s >= takeover_s

    def _back_off(self, now: float) -> None:
        # The next look must be a fresh one: read again.
        self._version = -1
        self._wake_at = now + self._poll_s * self._random.uniform(0.5, 1.5)
        self._poll_s = min(self.bounds.longest_poll_s, 2 * self._poll_s)
