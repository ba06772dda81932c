"""Keeps in the platform which versions of their software upstreams run, or ran lately.

A process that starts, or that was cut off, has not seen at which versions open streams
may have begun. So entries record each version that they see in one object, and when its
last upstream has left. An entry that has read the object knows all versions, however
short it has watched itself.

A platform that comes back from an older copy may have lost versions. Its answers name
the era, which rises each time; the object names the latest era in which an entry that
knew all versions has completed it.
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

    ``next_call`` and ``handle_answer`` are called with a clock in seconds.
    """

    __slots__ = (
        "_calls",
        "_due_at",
        "_era",
        "_is_read",
        "_may_complete_at",
        "_must_read",
        "_pending",
        "_pending_era",
        "_proposed",
        "_random",
        "_record",
        "_revision",
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
        versions = self._record.versions.get(service, {})
        return {version for version, at in versions.items() if not at or at > since}

    def request_review(self, now: float) -> None:
        """Compare the record with what this entry sees, soon."""
        spread_s = self._random.uniform(0.0, SPREAD_S) if self._is_read else 0.0
        self._must_read = True
        self._due_at = min(self._due_at, now + spread_s)

    def record_interruption(self, now: float) -> None:
        """Read the record again, since versions may have come and gone unseen."""
        self._is_read = False
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
        self._calls += 1
        self._pending_era = self._era
        if self._must_read:
            self._pending = f"software read {self._calls}"
            return ObjectGet(self._pending, SOFTWARE_PATH)
        self._proposed = self._merge(software, now, unix_now)
        if self._proposed == self._record:
            # Another entry may complete the record.
            self._must_read = self._record.era < self._era
            self._due_at = now + REREAD_S if self._must_read else NEVER
            return None
        self._pending = f"software write {self._calls}"
        body = msgspec.json.encode(self._proposed)
        return ObjectPut(self._pending, SOFTWARE_PATH, body, self._revision)

    def handle_answer(self, answer: ObjectAnswer, now: float, life_s: float) -> bool:
        """Handle the platform's answer; returns whether the copy has changed."""
        if answer.call != self._pending:
            return False
        wrote = self._pending.startswith("software write")
        self._pending = ""
        self._due_at = now
        self._era = max(self._era, answer.era)
        if self._pending_era and self._pending_era < self._era:
            # The revision in the condition may have named another record.
            self._must_read = True
            return False
        match answer.status:
            case ObjectStatus.OK if wrote:
                self._record, self._revision = self._proposed, answer.version
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
                self._due_at = now + self._random.uniform(0.5, 1.0) * RETRY_S
                return False
        return True

    def _install(
        self, record: SoftwareRecord, revision: int, now: float, life_s: float
    ) -> None:
        for service, known in self._record.versions.items():
            versions = record.versions.setdefault(service, {})
            for version, at in known.items():
                versions.setdefault(version, at)
        if record.era < self._era and not self._is_read and not self._may_complete_at:
            self._may_complete_at = now + life_s
        self._record, self._revision = record, revision
        self._is_read = True
        self._must_read = False

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
        versions |= self._record.versions.get(service, {})
        registered = software.list_registered(service)
        oldest = unix_now - MAX_STREAM_LIFE_S - CLOCK_SLACK_S
        merged: dict[str, float] = {}
        for version, at in versions.items():
            if version in registered:
                merged[version] = 0.0
            elif not at:
                merged[version] = unix_now
            elif at > oldest:
                merged[version] = at
        return merged


def decode_record(body: bytes) -> SoftwareRecord:
    """Decode the stored object; an unreadable one is replaced."""
    try:
        return read_json(body, SoftwareRecord)
    except Undecodable:
        return SoftwareRecord(era=-1)
