"""Crashes of upstreams that entries report to each other, as plain data.

A key names what requests may have in common: a part of their prompts, or the whole
request if a caller repeats it.
"""

from msgspec import Struct

PART_PREFIX = "part "
REPEAT_PREFIX = "request "


class CrashClaim(Struct, frozen=True):
    """A request was lost when an upstream seemed to crash.

    ``upstream`` and ``born`` identify one incarnation of the upstream, ``at`` is the
    time of day in seconds. Any of ``keys`` may be why it crashed. ``begun_s`` is
    for how long the request's answer had been under way, None if it had not begun.
    """

    claim: str
    upstream: str
    born: int
    at: float
    request: str
    keys: tuple[str, ...]
    begun_s: float | None = None

    @property
    def fingerprint(self) -> str:
        """What only repeats of the request share; its id if it has no fingerprint."""
        last = self.keys[-1] if self.keys else ""
        return last if last.startswith(REPEAT_PREFIX) else self.request


class Clearance(Struct, frozen=True):
    """An answer that began after ``claim`` was known was complete, despite ``key``."""

    claim: str
    key: str


class CrashReport(Struct, frozen=True):
    """All claims and clearances of one entry that still matter."""

    publisher: str
    claims: tuple[CrashClaim, ...] = ()
    clearances: tuple[Clearance, ...] = ()


class CrashReportsListed(Struct, frozen=True):
    """The reports of all entries."""

    reports: tuple[CrashReport, ...]


class CrashReportChanged(Struct, frozen=True):
    """One entry has published a report, which replaces its earlier one."""

    report: CrashReport


class PublishCrashReport(Struct, frozen=True):
    """Makes this entry's report known to all entries."""

    report: CrashReport
