"""Finds out which requests crash upstreams, from what all entries have seen.

When an upstream crashes, each entry claims that one of the requests that it lost there
may be why. A claim names the request's keys: the parts of its prompt except the last
one, which no other session has, and a fingerprint of the request. A complete answer
clears its keys of all claims that were known when the answer began.

A key is implicated once ``MIN_CRASHES`` upstreams have crashed and ``MIN_REQUESTS``
requests were lost with it, without a complete answer since. For a part these have to be
different requests, for a whole request its repeats. Where more than one could
have caused a crash, those count whose answers had begun last.

Requests that share one crashing part often share others too, which are implicated with
it. So a request is refused only if it repeats one that is implicated, or if it has all
implicated parts of requests that were lost at ``MIN_MATCHES`` crashes. For example, if
each lost request had the parts ``a`` and ``b``, one with ``a`` alone is still sent, and
its answer clears ``a``.

A quarantine ends some time after the last crash, whenever an entry learns of it. If
the next such request crashes an upstream once more, it starts again and lasts twice as
long.

Claims of upstreams that turn out to live don't count. Entries learn of each other's
claims through one object of each at the platform, so that none of them leads, and what
was found out outlasts restarts. Claims and clearances only add up, hence the order in
which reports arrive doesn't matter.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from itertools import chain, islice
from random import Random

from msgspec.structs import replace

from masticdrum.core.crashclaims import (
    MIN_CRASHES,
    KnownClaim,
    count_crashes,
    find_crashed_at,
    is_implicated,
    list_likeliest,
)
from masticdrum.model.crashes import (
    PART_PREFIX,
    Clearance,
    CrashClaim,
    CrashReport,
)
from masticdrum.model.telemetry import Log, LogNumber

MIN_MATCHES = 2
SURVIVAL_S = 1.0  # an answer that is longer under way isn't what crashed its upstream
CLEARED_S = 10.0  # a key isn't claimed within this time of a complete answer
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 960.0
RETENTION_S = 1800.0
CLAIM_DELAY_S = 0.1  # in which an upstream can show that it lives
LAST_BYTES_S = 0.05  # in which bytes from before a crash may still arrive
CLEARANCE_DELAY_S = 0.5  # at most; spreads out the entries' writes
PUBLISH_GAP_S = 0.3
REVIEW_GAP_S = 1.0
MAX_CLEARED_KEYS = 4096
MAX_CLAIMS = 64  # of one entry
MAX_KNOWN_CLAIMS = 2000
MAX_DROPPED_CLAIMS = 4 * MAX_KNOWN_CLAIMS
MAX_CLEARANCES = 512  # of one entry
MAX_KNOWN_CLEARANCES = 16 * MAX_KNOWN_CLAIMS

IsAlive = Callable[[str, float], bool]
IsRegistered = Callable[[CrashClaim, float], bool]


class CrashSuspicion:
    """What one entry knows of crashes, and its own report that others read.

    ``is_listed`` tells whether it has read the others' reports since its start.
    """

    __slots__ = (
        "_claims",
        "_cleared",
        "_cleared_at",
        "_candidates",
        "_claims_by_key",
        "_dropped",
        "_implicated",
        "_name",
        "_own_claims",
        "_own_clearances",
        "_publish_at",
        "_published_at",
        "_random",
        "_refused_until",
        "_reviewed_at",
        "_signatures",
        "is_listed",
    )

    def __init__(self, name: str, random: Random) -> None:
        self._name = name
        self._random = random
        self.is_listed = False
        self._claims: dict[str, KnownClaim] = {}
        self._claims_by_key: dict[str, list[KnownClaim]] = {}
        self._cleared: set[Clearance] = set()
        self._cleared_at: OrderedDict[str, float] = OrderedDict()
        self._candidates: set[str] = set()
        self._implicated: set[str] = set()
        self._signatures: dict[frozenset[str], list[KnownClaim]] = {}
        self._own_claims: dict[str, float | None] = {}
        self._own_clearances: set[Clearance] = set()
        self._dropped: dict[str, None] = {}
        self._publish_at: float | None = None
        self._published_at = float("-inf")
        self._reviewed_at = float("-inf")
        self._refused_until: dict[frozenset[str], float] = {}

    def record_loss(self, claim: CrashClaim, now: float) -> list[Log]:
        """Claim that a lost request may have crashed its upstream.

        The claim gets its number here, and loses the keys that were cleared lately.
        """
        if claim.begun_s is not None and claim.begun_s >= SURVIVAL_S:
            return []
        since = now - CLEARED_S
        keys = [k for k in claim.keys if self._cleared_at.get(k, since) <= since]
        if not keys:
            return []
        number = f"{self._name}/{self._random.getrandbits(48):012x}"
        claim = replace(claim, claim=number, keys=tuple(keys))
        self._own_claims[number] = now + CLAIM_DELAY_S
        self._request_publication(now + CLAIM_DELAY_S)
        log = Log(
            LogNumber.CRASH_SUSPECTED,
            request=claim.request,
            facts={
                "upstream": claim.upstream,
                "keys": list(claim.keys),
                "begun_s": -1.0 if claim.begun_s is None else claim.begun_s,
            },
        )
        self._add_claim(claim, now, now)
        return [log, *self._judge(claim.keys)]

    def record_answer(
        self, keys: Iterable[str], begun_at: float, now: float
    ) -> list[Log]:
        """Clear the keys of a request whose answer began at ``begun_at``."""
        cleared = []
        for key in keys:
            self._cleared_at[key] = now
            self._cleared_at.move_to_end(key)
            for known in self._claims_by_key.get(key, ()):
                if known.learnt_at <= begun_at and key in known.suspects:
                    cleared.append(Clearance(known.claim.claim, key))
        while len(self._cleared_at) > MAX_CLEARED_KEYS:
            self._cleared_at.popitem(last=False)
        if not cleared:
            return []
        self._own_clearances.update(cleared)
        if any(self._matters(clearance.key) for clearance in cleared):
            delay_s = self._random.uniform(0.0, CLEARANCE_DELAY_S)
            self._request_publication(now + delay_s)
        self._add_clearances(cleared)
        return self._judge({clearance.key for clearance in cleared})

    def apply_reports(
        self,
        reports: Iterable[CrashReport],
        now: float,
        unix_now: float,
        *,
        is_list: bool,
    ) -> list[Log]:
        """Add what entries have reported; an entry's own earlier report is resumed.

        ``unix_now`` is the time of day in seconds, by which claims are dated. Those
        that are too old are left out.
        """
        changed: set[str] = set()
        for report in reports:
            own = report.publisher == self._name
            for claim in report.claims:
                if claim.claim in self._claims or claim.claim in self._dropped:
                    continue
                crashed_at = find_crashed_at(claim, now, unix_now)
                if now - crashed_at >= RETENTION_S:
                    continue
                self._add_claim(claim, now, crashed_at)
                changed.update(claim.keys)
                if own:
                    self._own_claims[claim.claim] = None
            clearances = {c for c in report.clearances if c.claim not in self._dropped}
            self._own_clearances |= clearances if own else set()
            new = clearances - self._cleared
            self._add_clearances(new)
            changed.update(clearance.key for clearance in new)
        self.is_listed = self.is_listed or is_list
        return self._judge(changed)

    def compute_quarantine(self, keys: tuple[str, ...], now: float) -> float:
        """Return for how long a request with these keys is refused, in seconds."""
        if not self._implicated:
            return 0.0
        implicated = frozenset(self._implicated.intersection(keys))
        if not implicated:
            return 0.0
        until = self._refused_until.get(implicated)
        if until is None:
            until = self._find_refused_until(implicated)
            self._refused_until[implicated] = until
        return max(0.0, until - now)

    def review(
        self, now: float, is_alive: IsAlive, is_registered: IsRegistered
    ) -> list[Log]:
        """Drop the claims of upstreams that live, and those that are too old.

        ``is_alive`` tells whether an upstream answered after a time, which is asked of
        own claims that are not published yet. ``is_registered`` tells whether the
        incarnation of a claim that has been known for this many seconds would not be
        listed any more if it had crashed, but is.
        """
        pending = [self._claims[n] for n, at in self._own_claims.items() if at]
        dropped = [
            known
            for known in pending
            if is_alive(known.claim.upstream, known.learnt_at + LAST_BYTES_S)
        ]
        if now >= self._reviewed_at + REVIEW_GAP_S:
            self._reviewed_at = now
            dropped += [
                known
                for known in self._claims.values()
                if now - known.crashed_at >= RETENTION_S
                or is_registered(known.claim, now - known.learnt_at)
            ]
        excess = max(0, len(self._claims) - MAX_KNOWN_CLAIMS)
        dropped += [known for known in islice(self._claims.values(), excess)]
        for known in dropped:
            self._drop_claim(known.claim.claim)
        if len(self._cleared) > MAX_KNOWN_CLEARANCES:
            self._cleared = {c for c in self._cleared if c.claim in self._claims}
        return self._judge({key for known in dropped for key in known.claim.keys})

    def count_claims(self) -> int:
        """Count the claims that this entry keeps, its own and the others'."""
        return len(self._claims)

    def take_report(self, now: float) -> CrashReport | None:
        """Return this entry's report if it has changed and is due."""
        if self._publish_at is None or now < self._publish_at:
            return None
        if now < self._published_at + PUBLISH_GAP_S:
            return None
        claims = [n for n, at in self._own_claims.items() if at is None or at <= now]
        claims = claims[-MAX_CLAIMS:]
        clearances = [
            clearance
            for clearance in self._own_clearances
            if clearance.claim in self._claims and self._matters(clearance.key)
        ]
        self._publish_at = min(
            (at for at in self._own_claims.values() if at is not None and at > now),
            default=None,
        )
        self._published_at = now
        for number in claims:
            self._own_claims[number] = None
        return CrashReport(
            self._name,
            tuple(self._claims[number].claim for number in claims),
            tuple(clearances[:MAX_CLEARANCES]),
        )

    def republish(self, now: float) -> None:
        """Publish this entry's report again, since the platform may have lost it."""
        if self._own_claims:
            self._request_publication(now)

    def _matters(self, key: str) -> bool:
        """Return whether a key is implicated but for its clearances, or nearly so."""
        return count_crashes(self._claims_by_key.get(key, [])) >= MIN_CRASHES - 1

    def _request_publication(self, at: float) -> None:
        self._publish_at = at if self._publish_at is None else min(self._publish_at, at)

    def _add_claim(self, claim: CrashClaim, now: float, crashed_at: float) -> None:
        suspects = frozenset(
            key
            for key in claim.keys
            if Clearance(claim.claim, key) not in self._cleared
        )
        known = self._claims[claim.claim] = KnownClaim(claim, now, crashed_at, suspects)
        for key in claim.keys:
            self._claims_by_key.setdefault(key, []).append(known)

    def _add_clearances(self, clearances: Iterable[Clearance]) -> None:
        for clearance in clearances:
            self._cleared.add(clearance)
            known = self._claims.get(clearance.claim)
            if known is not None:
                known.suspects -= {clearance.key}

    def _drop_claim(self, number: str) -> None:
        known = self._claims.pop(number, None)
        if known is None:
            return
        self._own_claims.pop(number, None)
        self._dropped[number] = None
        if len(self._dropped) > MAX_DROPPED_CLAIMS:
            del self._dropped[next(iter(self._dropped))]
        for key in known.claim.keys:
            claims = self._claims_by_key[key]
            claims.remove(known)
            if not claims:
                del self._claims_by_key[key]
            clearance = Clearance(number, key)
            self._cleared.discard(clearance)
            self._own_clearances.discard(clearance)

    def _judge(self, keys: Collection[str]) -> list[Log]:
        """Find out which keys are implicated, after the claims of ``keys`` changed."""
        if not keys:
            return []
        for key in keys:
            claims = [k for k in self._claims_by_key.get(key, ()) if key in k.suspects]
            if is_implicated(key, claims):
                self._candidates.add(key)
            else:
                self._candidates.discard(key)
        before = self._implicated
        if not self._candidates and not before:
            return []
        claims = list_likeliest(self._list_incriminating())
        by_key: dict[str, list[KnownClaim]] = {}
        for known in claims:
            for key in known.suspects & self._candidates:
                by_key.setdefault(key, []).append(known)
        self._implicated = {
            key for key, listed in by_key.items() if is_implicated(key, listed)
        }
        self._signatures = {}
        self._refused_until = {}
        for known in claims:
            implicated = known.suspects & self._implicated
            parts = frozenset(k for k in implicated if k.startswith(PART_PREFIX))
            for signature in {parts, implicated - parts} - {frozenset()}:
                self._signatures.setdefault(signature, []).append(known)
        if self._implicated == before:
            return []
        return [self._describe_change(before)]

    def _find_refused_until(self, implicated: frozenset[str]) -> float:
        """Return until when requests with these implicated keys are refused."""
        matching = [
            known
            for signature, claims in self._signatures.items()
            if signature.issubset(implicated)
            for known in claims
        ]
        crashes = count_crashes(matching)
        if crashes < MIN_MATCHES:
            return float("-inf")
        last = max(known.crashed_at for known in matching)
        relapses = max(0, crashes - MIN_CRASHES)
        lasts_s = min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0 ** min(relapses, 10))
        return last + lasts_s

    def _list_incriminating(self) -> list[KnownClaim]:
        """List the claims that have a candidate among their suspects."""
        return list(
            {
                known.claim.claim: known
                for key in self._candidates
                for known in self._claims_by_key[key]
                if key in known.suspects
            }.values()
        )

    def _describe_change(self, before: set[str]) -> Log:
        return Log(
            LogNumber.SUSPICION_CHANGED,
            facts={
                "implicated": sorted(self._implicated),
                "before": sorted(before),
                "combinations": [" + ".join(sorted(s)) for s in self._signatures],
                "crashes": count_crashes([*chain(*self._signatures.values())]),
                "claims": len(self._claims),
            },
        )
