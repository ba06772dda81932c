"""Remembers requests that ran at an upstream's crash, in one object of the platform.

A request that ran at a crash is a suspect. A suspect runs again only on a trial: one in
the whole fleet at a time, claimed by a conditional write, and one on an upstream at a
time. It comes free when its trial ends well or when its row has not changed for
``SUSPICION_S``. A crash during its trial quarantines it, and so does a crash at which
it was the only suspect. A trial whose agent is never heard of again counts as a crash.
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

SUSPECTS_PATH = "suspects"
SUSPICION_S = 600.0
TRIAL_S = 450.0  # longer than any wait and run
JITTER_S = 60.0  # spreads the writes by which many agents would expire one row
WATCH_S = 30.0
WATCH_GAP_S = 0.5  # between two watches, however fast they are answered
RETRY_S = 0.5  # after a failed call, with a change to write
IDLE_RETRY_S = 10.0  # after a failed call, with nothing to write
QUARANTINE_CRASHES = 2
UNREAD = -1  # the object's version is not known
ABSENT = 0  # the object does not exist
MAX_MARKS = 4  # the newest crashes of a row, by which a repeated write is known
MAX_ROWS = 2000  # about a quarter of the largest object


class Verdict(StrEnum):
    """What may happen with a request."""

    FREE = "free"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class SuspectRow(Struct):
    """One suspect; ``trial`` is the token of the trial that is claimed, if any."""

    crashes: int = 0
    trial: str = ""
    marks: list[str] = field(default_factory=list)


class Book(Struct):
    """The object: all suspects by fingerprint, oldest first."""

    rows: dict[str, SuspectRow] = field(default_factory=dict)


class Crash(Struct, frozen=True):
    """An upstream was lost while these fingerprints ran."""

    mark: str
    fingerprints: tuple[str, ...]


class Claim(Struct, frozen=True):
    """A suspect wants its trial."""

    fingerprint: str
    token: str


class Release(Struct, frozen=True):
    """A trial is over; ``well`` tells that the run ended without fault."""

    fingerprint: str
    token: str
    well: bool


Change = Crash | Claim | Release


class Sighting(Struct):
    """A row as this process first saw it, and when, in seconds."""

    row: SuspectRow
    since: float


class Suspects:
    """One agent's view of the suspects, and its writes that are not yet settled."""

    __slots__ = (
        "_calls",
        "_changes",
        "_jitter_s",
        "_pending",
        "_proposed",
        "_retry_at",
        "_seen",
        "_version",
        "_watch_at",
        "_written",
        "book",
        "holder",
        "reachable",
        "trials",
    )

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.book = Book()
        self.reachable = True
        self.trials: dict[str, str] = {}
        self._version = UNREAD
        self._calls = 0
        self._changes: list[Change] = []
        self._written = 0
        self._proposed = Book()
        self._jitter_s = Random(holder).uniform(0.0, JITTER_S)
        self._pending = ""
        self._retry_at = 0.0
        self._watch_at = 0.0
        self._seen: dict[str, Sighting] = {}

    def judge(self, fingerprint: str) -> Verdict:
        """Says what may happen with a request, as far as this agent knows."""
        row = self.book.rows.get(fingerprint, SuspectRow())
        known = max(row.crashes, self._count_unwritten(fingerprint))
        if known >= QUARANTINE_CRASHES:
            return Verdict.QUARANTINED
        return Verdict.SUSPECT if known else Verdict.FREE

    def is_settled(self) -> bool:
        """Tells whether all that this agent knows has been written."""
        return not self._changes

    def note_crash(self, fingerprints: tuple[str, ...]) -> None:
        """Record what ran when this agent's upstream was lost."""
        self._calls += 1
        mark = f"{self.holder}/{self._calls}"
        self._changes.append(Crash(mark, fingerprints))
        for fingerprint in fingerprints:
            self.trials.pop(fingerprint, None)

    def claim(self, fingerprint: str) -> None:
        """Asks for a suspect's trial; ``take_answer`` tells when it is settled."""
        self._calls += 1
        self._changes.append(Claim(fingerprint, f"{self.holder}/{self._calls}"))

    def end_trial(self, fingerprint: str, well: bool) -> None:
        """Give a trial back; without fault, the suspect comes free."""
        token = self.trials.pop(fingerprint, "")
        if token:
            self._changes.append(Release(fingerprint, token, well))

    def plan_call(self, now: float) -> ObjectGet | ObjectPut | None:
        """Find the next call to the platform; at most one is under way."""
        if self._pending and not (self._watching() and self._must_write(now)):
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

    def take_answer(self, answer: ObjectAnswer, now: float) -> list[Claim]:
        """Take an answer in; give the claims that it settled, won or lost."""
        if answer.call != self._pending:
            return []
        wrote = self._pending.startswith("suspects write")
        self._pending = ""
        self.reachable = answer.status not in {ObjectStatus.REJECTED, ObjectStatus.LOST}
        if answer.status is ObjectStatus.OK:
            if wrote:
                return self._install_written(answer.version, now)
            self._version = answer.version
            self._install(msgspec.json.decode(answer.body, type=Book), now)
            return []
        if answer.status is ObjectStatus.MISSING:
            self._version = ABSENT
            self._install(Book(), now)
        if wrote:
            # After a conflict or a lost answer, read what stands before writing again.
            self._version = UNREAD
        if not self.reachable:
            wait_s = RETRY_S if self._changes else IDLE_RETRY_S
            self._retry_at = now + wait_s + self._jitter_s / JITTER_S * wait_s
        return []

    def _must_write(self, now: float) -> bool:
        if self._version == UNREAD:
            return False
        return bool(self._version == ABSENT or self._changes or self._find_stale(now))

    def _plan_write(self, now: float) -> ObjectPut:
        self._pending = f"suspects write {self._calls}"
        self._written = len(self._changes)
        self._proposed = self._make_book(now)
        body = msgspec.json.encode(self._proposed)
        return ObjectPut(self._pending, SUSPECTS_PATH, body, self._version)

    def _watching(self) -> bool:
        return self._pending.startswith("suspects watch")

    def _count_unwritten(self, fingerprint: str) -> int:
        crashes = [c for c in self._changes if isinstance(c, Crash)]
        return sum(fingerprint in crash.fingerprints for crash in crashes)

    def _install_written(self, version: int, now: float) -> list[Claim]:
        book = self._proposed
        settled = self._changes[: self._written]
        self._changes = self._changes[self._written :]
        self._version = version
        self._install(book, now)
        claims = [change for change in settled if isinstance(change, Claim)]
        for claim in claims:
            row = book.rows.get(claim.fingerprint)
            if row is not None and row.trial == claim.token:
                self.trials[claim.fingerprint] = claim.token
        return claims

    def _install(self, book: Book, now: float) -> None:
        seen = {}
        for fingerprint, row in book.rows.items():
            old = self._seen.get(fingerprint)
            same = old is not None and old.row == row
            seen[fingerprint] = old if same and old else Sighting(row, now)
        self._seen = seen
        self.book = book

    def _find_stale(self, now: float) -> list[str]:
        stale = []
        for fingerprint, sighting in self._seen.items():
            limit = TRIAL_S if sighting.row.trial else SUSPICION_S
            if now - sighting.since >= limit + self._jitter_s:
                stale.append(fingerprint)
        return stale

    def _make_book(self, now: float) -> Book:
        rows = {
            name: SuspectRow(row.crashes, row.trial, list(row.marks))
            for name, row in self.book.rows.items()
        }
        for fingerprint in self._find_stale(now):
            expire_row(rows, fingerprint)
        for change in self._changes:
            apply_change(rows, change, self.holder)
        for fingerprint in list(rows)[: max(0, len(rows) - MAX_ROWS)]:
            del rows[fingerprint]
        return Book(rows)


def expire_row(rows: dict[str, SuspectRow], fingerprint: str) -> None:
    """Frees a suspect; a trial that nobody ended counts as a crash instead."""
    row = rows[fingerprint]
    if not row.trial:
        del rows[fingerprint]
        return
    row.trial = ""
    row.crashes = QUARANTINE_CRASHES


def apply_change(rows: dict[str, SuspectRow], change: Change, holder: str) -> None:
    """Carries out one change; a change that was carried out before does nothing."""
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
            if change.well:
                del rows[change.fingerprint]


def apply_crash(rows: dict[str, SuspectRow], crash: Crash, holder: str) -> None:
    """Record a crash; the one known suspect among those that ran is guilty."""
    known = [name for name in crash.fingerprints if name in rows]
    if any(crash.mark in rows[name].marks for name in known):
        return
    on_trial = [n for n in known if rows[n].trial.startswith(f"{holder}/")]
    guilty = on_trial or (known if len(known) == 1 else [])
    for name in crash.fingerprints:
        row = rows.setdefault(name, SuspectRow())
        row.crashes = max(row.crashes, 1)
        if name in guilty:
            row.crashes = QUARANTINE_CRASHES
            row.trial = ""
        row.marks = [*row.marks, crash.mark][-MAX_MARKS:]
