"""Tracks requests that ran when an upstream crashed, in one object of the platform.

A request that ran at a crash is a suspect. A suspect runs again only in a trial. Each
suspect has at most one trial at a time in the whole fleet, claimed by a conditional
write, and each upstream runs at most one trial at a time. A suspect is cleared when its
trial succeeds or when its row has not changed for ``SUSPICION_S``. A crash during its
trial quarantines it, and so does a crash at which it was the only suspect. A trial that
its agent never ends counts as a crash.
"""

from enum import StrEnum
from random import Random

import msgspec
from msgspec import Struct, field

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)

SUSPECTS_PATH = "suspects"
SUSPICION_S = 600.0
TRIAL_S = 450.0  # exceeds the longest possible queueing and run
JITTER_S = 60.0  # spreads out the agents' writes that expire the same row
WATCH_S = 30.0
WATCH_GAP_S = 0.5  # least time between two watches, however fast the answers
RETRY_S = 0.5  # after a failed call, with a change to write
IDLE_RETRY_S = 10.0  # after a failed call, with nothing to write
QUARANTINE_CRASHES = 2
UNREAD = -1  # the version of the object is unknown
ABSENT = 0  # the object does not exist
MAX_MARKS = 4  # newest crashes stored per row, to detect a repeated write
MAX_ROWS = 2000  # about a quarter of the largest object


class SuspectStatus(StrEnum):
    """Whether a request may run."""

    FREE = "free"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class SuspectRow(Struct):
    """One suspect; ``trial`` is the token of its claimed trial, if any.

    ``marks`` are the IDs of the newest crashes that were counted.
    """

    crashes: int = 0
    trial: str = ""
    marks: list[str] = field(default_factory=list)


class SuspectTable(Struct):
    """Contents of the object: all suspects by fingerprint, oldest first."""

    rows: dict[str, SuspectRow] = field(default_factory=dict)


class Crash(Struct, frozen=True):
    """An upstream crashed while requests with these fingerprints ran."""

    crash_id: str
    fingerprints: tuple[str, ...]


class Claim(Struct, frozen=True):
    """A request for a suspect's trial."""

    fingerprint: str
    token: str


class Release(Struct, frozen=True):
    """The end of a trial; ``succeeded`` means that the run ended without a fault."""

    fingerprint: str
    token: str
    succeeded: bool


Change = Crash | Claim | Release


class ObservedRow(Struct):
    """A row and the time in seconds since which this process has seen it unchanged."""

    row: SuspectRow
    since: float


class Suspects:
    """One agent's view of the suspects, and its changes that are not yet written."""

    __slots__ = (
        "_calls",
        "_changes",
        "_jitter_s",
        "_pending",
        "_proposed",
        "_retry_at",
        "_observed",
        "_version",
        "_watch_at",
        "_written",
        "table",
        "fault",
        "holder",
        "reachable",
        "trials",
    )

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.table = SuspectTable()
        self.reachable = True
        self.trials: dict[str, str] = {}
        self._version = UNREAD
        self._calls = 0
        self._changes: list[Change] = []
        self._written = 0
        self._proposed = SuspectTable()
        self._jitter_s = Random(holder).uniform(0.0, JITTER_S)
        self._pending = ""
        self._retry_at = 0.0
        self._watch_at = 0.0
        self._observed: dict[str, ObservedRow] = {}
        self.fault = ""  # why the object could not be decoded when last read

    def get_status(self, fingerprint: str) -> SuspectStatus:
        """Return whether a request may run, as far as this agent knows."""
        row = self.table.rows.get(fingerprint, SuspectRow())
        known = max(row.crashes, self._count_unwritten(fingerprint))
        if known >= QUARANTINE_CRASHES:
            return SuspectStatus.QUARANTINED
        return SuspectStatus.SUSPECT if known else SuspectStatus.FREE

    def is_flushed(self) -> bool:
        """Return whether all changes of this agent have been written."""
        return not self._changes

    def record_crash(self, fingerprints: tuple[str, ...]) -> None:
        """Record which requests ran when this agent's upstream crashed."""
        self._calls += 1
        crash_id = f"{self.holder}/{self._calls}"
        self._changes.append(Crash(crash_id, fingerprints))
        for fingerprint in fingerprints:
            self.trials.pop(fingerprint, None)

    def claim_trial(self, fingerprint: str) -> None:
        """Claim a suspect's trial; ``handle_answer`` reports when it is resolved."""
        self._calls += 1
        self._changes.append(Claim(fingerprint, f"{self.holder}/{self._calls}"))

    def end_trial(self, fingerprint: str, succeeded: bool) -> None:
        """Release a trial; if it succeeded, the suspect is cleared."""
        token = self.trials.pop(fingerprint, "")
        if token:
            self._changes.append(Release(fingerprint, token, succeeded))

    def plan_call(self, now: float) -> ObjectGet | ObjectPut | None:
        """Return the next call to the platform, or None; at most one is in flight.

        A write may replace a watch that is in flight.
        """
        if self._pending and not (self._is_watching() and self._must_write(now)):
            return None
        if now < self._retry_at:
            return None
        self._calls += 1
        if self._must_write(now):
            return self._plan_write(now)
        if self._version == UNREAD:
            self._pending = f"suspects read {self._calls}"
            return ObjectGet(self._pending, SUSPECTS_PATH)
        if now < self._watch_at:
            return None
        self._watch_at = now + WATCH_GAP_S
        self._pending = f"suspects watch {self._calls}"
        return ObjectGet(self._pending, SUSPECTS_PATH, self._version, WATCH_S)

    def handle_answer(self, answer: ObjectAnswer, now: float) -> list[Claim]:
        """Handle an answer; return the claims that it resolved, granted or not."""
        if answer.call != self._pending:
            return []
        wrote = self._pending.startswith("suspects write")
        self._pending = ""
        self.reachable = answer.status not in {ObjectStatus.REJECTED, ObjectStatus.LOST}
        if answer.status is ObjectStatus.OK:
            if wrote:
                return self._handle_written(answer.version, now)
            self._version = answer.version
            self._install_read(answer.body, now)
            return []
        if answer.status is ObjectStatus.MISSING:
            self._version = ABSENT
            self._install(SuspectTable(), now)
        if wrote:
            # After a conflict or a lost answer, read the object before writing again.
            self._version = UNREAD
        if not self.reachable:
            wait_s = RETRY_S if self._changes else IDLE_RETRY_S
            self._retry_at = now + wait_s + self._jitter_s / JITTER_S * wait_s
        return []

    def _must_write(self, now: float) -> bool:
        if self._version == UNREAD:
            return False
        return bool(self._version == ABSENT or self._changes or self._list_stale(now))

    def _plan_write(self, now: float) -> ObjectPut:
        self._pending = f"suspects write {self._calls}"
        self._written = len(self._changes)
        self._proposed = self._make_table(now)
        body = msgspec.json.encode(self._proposed)
        return ObjectPut(self._pending, SUSPECTS_PATH, body, self._version)

    def _is_watching(self) -> bool:
        return self._pending.startswith("suspects watch")

    def _count_unwritten(self, fingerprint: str) -> int:
        crashes = [c for c in self._changes if isinstance(c, Crash)]
        return sum(fingerprint in crash.fingerprints for crash in crashes)

    def _handle_written(self, version: int, now: float) -> list[Claim]:
        table = self._proposed
        written = self._changes[: self._written]
        self._changes = self._changes[self._written :]
        self._version = version
        self._install(table, now)
        claims = [change for change in written if isinstance(change, Claim)]
        for claim in claims:
            row = table.rows.get(claim.fingerprint)
            if row is not None and row.trial == claim.token:
                self.trials[claim.fingerprint] = claim.token
        return claims

    def _install_read(self, body: bytes, now: float) -> None:
        """Use a table that was read; the next write replaces an odd one."""
        try:
            table = read_json(body, SuspectTable)
        except Undecodable as error:
            self.fault = str(error)
            return
        self.fault = ""
        self._install(table, now)

    def _install(self, table: SuspectTable, now: float) -> None:
        seen = {}
        for fingerprint, row in table.rows.items():
            old = self._observed.get(fingerprint)
            same = old is not None and old.row == row
            seen[fingerprint] = old if same and old else ObservedRow(row, now)
        self._observed = seen
        self.table = table

    def _list_stale(self, now: float) -> list[str]:
        stale = []
        for fingerprint, observed in self._observed.items():
            limit = TRIAL_S if observed.row.trial else SUSPICION_S
            if now - observed.since >= limit + self._jitter_s:
                stale.append(fingerprint)
        return stale

    def _make_table(self, now: float) -> SuspectTable:
        rows = {
            name: SuspectRow(row.crashes, row.trial, list(row.marks))
            for name, row in self.table.rows.items()
        }
        for fingerprint in self._list_stale(now):
            expire_row(rows, fingerprint)
        for change in self._changes:
            apply_change(rows, change, self.holder)
        for fingerprint in list(rows)[: max(0, len(rows) - MAX_ROWS)]:
            del rows[fingerprint]
        return SuspectTable(rows)


def expire_row(rows: dict[str, SuspectRow], fingerprint: str) -> None:
    """Clear a suspect, or count a trial that was never ended as a crash."""
    row = rows[fingerprint]
    if not row.trial:
        del rows[fingerprint]
        return
    row.trial = ""
    row.crashes = QUARANTINE_CRASHES


def apply_change(rows: dict[str, SuspectRow], change: Change, holder: str) -> None:
    """Apply one change; applying it a second time has no effect."""
    match change:
        case Crash():
            apply_crash(rows, change, holder)
        case Claim():
            row = rows.setdefault(change.fingerprint, SuspectRow(crashes=1))
            if not row.trial and row.crashes < QUARANTINE_CRASHES:
                row.trial = change.token
        case Release():
            release = rows.get(change.fingerprint)
            if release is None or release.trial != change.token:
                return
            release.trial = ""
            if change.succeeded:
                del rows[change.fingerprint]


def apply_crash(rows: dict[str, SuspectRow], crash: Crash, holder: str) -> None:
    """Record a crash and quarantine its culprit, if it is known.

    A suspect on trial at ``holder`` is the culprit, else the only known suspect that
    ran.
    """
    known = [name for name in crash.fingerprints if name in rows]
    if any(crash.crash_id in rows[name].marks for name in known):
        return
    on_trial = [n for n in known if rows[n].trial.startswith(f"{holder}/")]
    culprits = on_trial or (known if len(known) == 1 else [])
    for name in crash.fingerprints:
        row = rows.setdefault(name, SuspectRow())
        row.crashes = max(row.crashes, 1)
        if name in culprits:
            row.crashes = QUARANTINE_CRASHES
            row.trial = ""
        row.marks = [*row.marks, crash.crash_id][-MAX_MARKS:]
