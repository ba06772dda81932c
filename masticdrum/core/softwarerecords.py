"""Keeps in the platform which versions of their software upstreams run, or ran lately.

A stream may have begun at any upstream that any entry knew. So entries begin streams
only at versions that the record in the platform holds: each entry has read or written
them there. A read that was asked after a stream had begun names its version, however
little its reader has seen itself.

An entry records the versions that it sees in one object, and since when none of a
version's upstreams is registered. A platform that comes back from an older copy may
have lost versions. Its answers name the era, which rises each time; the object names
the latest era in which an entry that knew all versions has completed it.
"""

from random import Random

import msgspec
from msgspec import Struct, field

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.core.permits import FIRST_ERA
from masticdrum.core.servedsoftware import MAX_STREAM_LIFE_S, ServedSoftware
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.telemetry import Facts

SOFTWARE_PATH = "software/served"
SPREAD_S = 0.2  # entries see a version at once; most then find it recorded
RETRY_S = 0.5
REREAD_S = 1.0  # while the record may lack versions
# A version counts as gone when none of its upstreams was registered for this time, in
# which an entry that is cut off notices it.
ABSENT_S = 10.0
STALL_S = 1.0  # between two ticks; versions may have come and gone unseen
READ_GAP_S = 0.1  # between reads for streams that are taken up
CLOCK_SLACK_S = 5.0  # between the times of day of two machines
NEVER = float("inf")


class SoftwareRecord(Struct):
    """The stored object.

    ``versions`` has, by service and version, since when no upstream runs it, in Unix
    seconds, or zero while some may.
    """

    era: int = 0
    versions: dict[str, dict[str, float]] = field(default_factory=dict)


class SoftwareRecords:
    """One entry's copy of the record, with at most one call to the platform at a time.

    ``next_call`` and ``handle_answer`` are called with a clock in seconds. ``read_at``
    is when the last read that was answered had been asked, minus infinity before. A
    write that has succeeded counts as a read, since nobody else has written in between.
    """

    __slots__ = (
        "_absent",
        "_asked_at",
        "_calls",
        "_confirmed",
        "_due_at",
        "_era",
        "_is_read",
        "_lost",
        "_may_complete_at",
        "_must_read",
        "_pending",
        "_pending_era",
        "_proposed",
        "_random",
        "_record",
        "_retry_at",
        "_reviewed_at",
        "_revision",
        "_spreads_write",
        "_stalled_at",
        "_ticked_at",
        "_wanted_at",
        "read_at",
    )

    def __init__(self, random: Random) -> None:
        self._random = random
        self._record = SoftwareRecord()
        self._proposed = SoftwareRecord()
        self._revision = 0
        self._calls = 0
        self._pending = ""
        self._pending_era = 0
        self._due_at = NEVER
        self._era = 0
        self._may_complete_at = 0.0
        self._is_read = False
        self._must_read = True
        self._asked_at = -NEVER
        self._retry_at = -NEVER
        self._reviewed_at = -NEVER
        self._wanted_at = -NEVER
        self._spreads_write = True
        self._stalled_at = -NEVER
        self._ticked_at = NEVER
        self._absent: dict[tuple[str, str], float] = {}
        self._confirmed: set[tuple[str, str]] = set()
        self._lost: dict[str, dict[str, float]] = {}
        self.read_at = -NEVER

    @property
    def next_due(self) -> float | None:
        """When the next call is due, in seconds, or None."""
        return None if self._pending or self._due_at == NEVER else self._due_at

    @property
    def was_read(self) -> bool:
        """Whether this process has ever read the record."""
        return self.read_at > -NEVER

    def has_confirmed(self, service: str, version: str) -> bool:
        """Return whether streams may begin at a version, since the record holds it."""
        return (service, version) in self._confirmed

    @property
    def is_complete(self) -> bool:
        """Whether the copy has all versions at which open streams may have begun."""
        return self._is_read and self._record.era >= self._era

    def describe(self) -> Facts:
        """Return what is recorded, for the log."""
        return {
            "era": self._era,
            "recorded_era": self._record.era,
            "versions": [
                f"{service} {version}"
                for service, versions in self._record.versions.items()
                for version in versions
            ],
        }

    def list_versions(self, service: str, unix_now: float, life_s: float) -> set[str]:
        """List the versions that upstreams run, or ran within a stream's life."""
        since = unix_now - life_s - CLOCK_SLACK_S
        versions = {
            **self._lost.get(service, {}),
            **self._record.versions.get(service, {}),
        }
        return {version for version, at in versions.items() if not at or at > since}

    def record_change(self, software: ServedSoftware, now: float) -> None:
        """Review the record, since a version has come or left."""
        self._confirmed = {
            (service, version)
            for service, version in self._confirmed
            if version in software.list_registered(service)
        }
        self.request_review(now)

    def record_tick(
        self, software: ServedSoftware, is_current: bool, now: float
    ) -> None:
        """Note which versions are absent, and whether this process stood still.

        ``is_current`` states whether the registrations are read.
        """
        stalled = now - self._ticked_at > STALL_S
        self._stalled_at = now if stalled else self._stalled_at
        self._ticked_at = now
        if stalled:
            # Others may have recorded that a version that is in use here is gone.
            self.request_review(now)
        before = self._absent if is_current and not stalled else {}
        self._absent = {
            (service, version): before.get((service, version), now)
            for service, versions in self._record.versions.items()
            for version, at in versions.items()
            if not at and version not in software.list_registered(service)
        }
        is_idle = self._due_at == NEVER and not self._pending
        if is_idle and any(now >= at + ABSENT_S for at in self._absent.values()):
            self.request_review(now)

    def has_stalled(self, since: float, now: float) -> bool:
        """Return whether this process stood still at any time since a time."""
        return self._stalled_at >= since or now - self._ticked_at > STALL_S

    def request_read(self, now: float) -> None:
        """Read the record as soon as possible; the read is asked after ``now``."""
        self._wanted_at = now
        if self._pending:
            return
        self._must_read = True
        due_at = max(now, self._retry_at, self._asked_at + READ_GAP_S)
        self._due_at = min(self._due_at, due_at)

    def request_review(self, now: float) -> None:
        """Compare the record with what this entry sees, soon."""
        spread_s = self._random.uniform(0.0, SPREAD_S) if self._is_read else 0.0
        self._must_read = True
        self._reviewed_at = now
        self._due_at = min(self._due_at, now + spread_s)

    def record_interruption(self, now: float) -> None:
        """Read the record again, since versions may have come and gone unseen."""
        self._is_read = False
        self._spreads_write = True
        self.request_review(now)

    def record_restore(self, era: int, may_complete_at: float, now: float) -> None:
        """Complete the record again, since the platform may have lost some of it.

        From ``may_complete_at`` on this entry knows all versions.
        """
        self._era = max(self._era, era)
        self._may_complete_at = may_complete_at
        self.record_interruption(now)

    def next_call(
        self, software: ServedSoftware, now: float, unix_now: float
    ) -> ObjectGet | ObjectPut | None:
        """Return the call to make now, if any."""
        if self._pending or now < self._due_at:
            return None
        if not self._must_read:
            # Before another read for streams, which may be wanted all the time.
            self._confirm(software)
            self._proposed = self._merge(software, now, unix_now)
            if self._proposed != self._record and not self._spreads_write:
                self._begin_call("software write", now)
                body = msgspec.json.encode(self._proposed)
                return ObjectPut(self._pending, SOFTWARE_PATH, body, self._revision)
            self._schedule_read(now)
            if now < self._due_at:
                return None
        self._begin_call("software read", now)
        return ObjectGet(self._pending, SOFTWARE_PATH)

    def _schedule_read(self, now: float) -> None:
        self._due_at = NEVER
        if self._proposed != self._record:
            # All entries may have started together, and one write is enough.
            self._spreads_write = False
            self._due_at = now + self._random.uniform(0.0, SPREAD_S)
        elif self._record.era < self._era:
            # Another entry may complete the record.
            self._due_at = now + REREAD_S
        if self.read_at < self._wanted_at:
            due_at = max(now, self._asked_at + READ_GAP_S)
            self._due_at = min(self._due_at, due_at)
        self._must_read = self._due_at < NEVER

    def _begin_call(self, name: str, now: float) -> None:
        self._calls += 1
        self._pending = f"{name} {self._calls}"
        self._pending_era = self._era
        self._asked_at = now

    def handle_answer(self, answer: ObjectAnswer, now: float, life_s: float) -> bool:
        """Handle the platform's answer; returns whether the copy has changed."""
        if answer.call != self._pending:
            return False
        wrote = self._pending.startswith("software write")
        self._pending = ""
        self._due_at = now
        if 0 < self._era < answer.era:
            self._may_complete_at = now + life_s
        self._era = max(self._era, answer.era)
        if self._pending_era and self._pending_era < self._era:
            # The revision in the condition may have named another record.
            self._must_read = True
            return False
        match answer.status:
            case ObjectStatus.OK if wrote:
                self._record, self._revision = self._proposed, answer.version
                self._lost = {}
                self.read_at = self._asked_at
            case ObjectStatus.OK:
                self._install(decode_record(answer.body), answer.version, now, life_s)
            case ObjectStatus.MISSING if not wrote:
                # Nothing was recorded yet, unless a restore has lost it.
                era = self._era if self._era <= FIRST_ERA else 0
                self._install(SoftwareRecord(era), 0, now, life_s)
            case ObjectStatus.CONFLICT:
                self._must_read = True
                return False
            case _:
                self._must_read = True
                self._retry_at = now + self._random.uniform(0.5, 1.0) * RETRY_S
                self._due_at = self._retry_at
                return False
        return True

    def _install(
        self, record: SoftwareRecord, revision: int, now: float, life_s: float
    ) -> None:
        for service, known in self._record.versions.items():
            lost = self._lost.setdefault(service, {})
            lost |= {
                version: at
                for version, at in known.items()
                if version not in record.versions.get(service, {})
            }
        if record.era < self._era and not self._is_read and not self._may_complete_at:
            self._may_complete_at = now + life_s
        self._record, self._revision = record, revision
        self._is_read = True
        self._must_read = self._asked_at < self._reviewed_at
        if self._must_read:
            self._due_at = max(now, self._asked_at + READ_GAP_S)
        self.read_at = self._asked_at

    def _confirm(self, software: ServedSoftware) -> None:
        self._confirmed |= {
            (service, version)
            for service, versions in self._record.versions.items()
            for version in software.list_registered(service)
            if versions.get(version) == 0.0
        }

    def _merge(
        self, software: ServedSoftware, now: float, unix_now: float
    ) -> SoftwareRecord:
        """Return the record as it should be, by what this entry sees."""
        era = self._record.era
        if now >= self._may_complete_at:
            era = max(era, self._era)
        services = {*self._record.versions, *software.list_services()}
        merged = {
            service: self._merge_service(service, software, now, unix_now)
            for service in sorted(services)
        }
        return SoftwareRecord(
            era, {name: found for name, found in merged.items() if found}
        )

    def _merge_service(
        self, service: str, software: ServedSoftware, now: float, unix_now: float
    ) -> dict[str, float]:
        seen = software.list_versions(service, now, MAX_STREAM_LIFE_S)
        versions = dict.fromkeys(sorted(seen), 0.0)
        versions |= self._lost.get(service, {})
        versions |= self._record.versions.get(service, {})
        registered = software.list_registered(service)
        oldest = unix_now - MAX_STREAM_LIFE_S - CLOCK_SLACK_S
        merged: dict[str, float] = {}
        for version, at in versions.items():
            if version in registered:
                merged[version] = 0.0
            elif not at:
                merged[version] = self._find_absence(service, version, now, unix_now)
            elif at > oldest:
                merged[version] = at
        return merged

    def _find_absence(
        self, service: str, version: str, now: float, unix_now: float
    ) -> float:
        """Return since when a version is gone, in Unix seconds, or zero."""
        absent_at = self._absent.get((service, version), now)
        return unix_now - (now - absent_at) if now >= absent_at + ABSENT_S else 0.0


def decode_record(body: bytes) -> SoftwareRecord:
    """Decode the stored object; an unreadable one is replaced."""
    try:
        return read_json(body, SoftwareRecord)
    except Undecodable:
        return SoftwareRecord(era=-1)
