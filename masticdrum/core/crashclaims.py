"""Weighs claims of crashes: how many crashes they are, and what they implicate."""

from msgspec import Struct

from masticdrum.core.softwarerecords import CLOCK_SLACK_S
from masticdrum.model.crashes import PART_PREFIX, CrashClaim

MIN_CRASHES = 3
MIN_REQUESTS = 2  # one request may meet several failing upstreams by chance
CRASH_GAP_S = 0.025  # upstreams that crash within it have a cause in common
TOGETHER_S = 0.25  # an engine answers many requests in one batch


class KnownClaim(Struct):
    """A claim, and which keys it still incriminates.

    ``learnt_at`` is when this entry learnt of it, ``crashed_at`` when the upstream
    crashed, both by this entry's clock in seconds.
    """

    claim: CrashClaim
    learnt_at: float
    crashed_at: float
    suspects: frozenset[str]

    @property
    def crash(self) -> tuple[str, int]:
        """The incarnation of the upstream that crashed."""
        return self.claim.upstream, self.claim.born


def find_crashed_at(claim: CrashClaim, now: float, unix_now: float) -> float:
    """Return when a claimed crash happened, by the clock of ``now``, in seconds.

    ``unix_now`` is the time of day now. Another machine's clock may be some seconds
    behind, so the crash counts as that much later, but not as later than now.
    """
    return now - max(0.0, unix_now - CLOCK_SLACK_S - claim.at)


def is_implicated(key: str, claims: list[KnownClaim]) -> bool:
    """Return whether a key with these claims is implicated."""
    if count_crashes(claims) < MIN_CRASHES:
        return False
    if key.startswith(PART_PREFIX):
        return len({known.claim.fingerprint for known in claims}) >= MIN_REQUESTS
    return len({known.claim.request for known in claims}) >= MIN_REQUESTS


def list_likeliest(claims: list[KnownClaim]) -> list[KnownClaim]:
    """List the claims that may name the cause, given all that name a candidate.

    Of those of one crash these are the requests whose answers had begun last, since
    answers that had been under way for longer, or not at all, were only beside them.
    """
    latest: dict[tuple[str, int], float] = {}
    for known in claims:
        begun_s = known.claim.begun_s
        if begun_s is not None:
            latest[known.crash] = min(begun_s, latest.get(known.crash, begun_s))
    return [
        known
        for known in claims
        if known.crash not in latest
        or is_within(known.claim.begun_s, latest[known.crash] + TOGETHER_S)
    ]


def is_within(begun_s: float | None, limit_s: float) -> bool:
    """Return whether an answer had begun, and was under way no longer than a limit."""
    return begun_s is not None and begun_s <= limit_s


def count_crashes(claims: list[KnownClaim]) -> int:
    """Count the crashes that claims speak of; simultaneous ones count once."""
    first: dict[tuple[str, int], float] = {}
    for known in claims:
        at = known.claim.at
        first[known.crash] = min(at, first.get(known.crash, at))
    count, last = 0, float("-inf")
    for at in sorted(first.values()):
        if at >= last + CRASH_GAP_S:
            count, last = count + 1, at
    return count
