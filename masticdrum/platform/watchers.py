"""Lists and watches the kinds of the store, and submits their objects as events."""

from collections.abc import Callable, Iterable
from contextlib import suppress
from random import Random

import trio
from msgspec import Raw, Struct

from masticdrum.core.clusterstate import ClusterBounds
from masticdrum.core.decoding import Undecodable
from masticdrum.core.permits import FIRST_ERA
from masticdrum.core.restores import REWRITE_S
from masticdrum.core.watchwaits import limit_wait
from masticdrum.model.cluster_events import (
    ClusterEvent,
    DataCentresDrained,
    DirectoryConfirmed,
    DirectoryRead,
    MembersListed,
    Source,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
    WeightsConfirmed,
    WeightsNamed,
)
from masticdrum.model.crashes import (
    CrashReport,
    CrashReportChanged,
    CrashReportsListed,
)
from masticdrum.model.directory import Upstream
from masticdrum.model.rollouts import (
    RolloutLease,
    RolloutLeasesRead,
    RolloutRead,
    RolloutsRead,
    RolloutState,
)
from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.platform.objects import (
    read_crash_report,
    read_directory,
    read_member,
    read_named_weights,
    read_rollout_lease,
    read_rollout_order,
    read_rollout_state,
    read_upstream,
)
from masticdrum.platform.pages import StoredObject, read_object
from masticdrum.platform.store import (
    CALL_TIMEOUT_S,
    KIND_PREFIX,
    HistoryGone,
    Store,
    StoreFailed,
    WatchInterrupted,
)
from masticdrum.shell.clock import read_clock
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.reachability import Reachability

MIN_PAUSE_S = 0.1  # after a failed read
MAX_PAUSE_S = 0.8  # so that a store that returns is noticed within a second
CONFIRM_MARGIN_S = 0.05  # for clock drift over one wait
MIN_WAIT_S = 0.1
MAX_NAME_CHARS = 100  # of an object's name in a log line
MAX_RESTORE_S = 5.0  # a longer silence may be a cut of this machine
DIRECTORY_NAME = "main"  # the one object that is used of its kind
Submit = Callable[[ClusterEvent], None]


class WatchedKind(Struct, frozen=True):
    """One kind: its name in the store and how long a watch of it waits, in seconds.

    An entry's watch waits for less where its bounds demand it (``core/watchwaits.py``),
    and one of the configuration for as long as they allow.

    After a change ``gap_s`` passes before the next watch, so that changes that arrive
    together are read by one call. ``stale`` reads may be seconds old, and cost a tenth.
    """

    source: Source
    kind: str
    wait_s: float
    gap_s: float = 0.0
    stale: bool = False


# Each answered watch of the configuration renews the lease on keys. It also tells of a
# store that was silent: the first answer after a timeout ends all other watches, which
# may have been forgotten. The other watches end by themselves in case only their answer
# was lost; keepalive detects connections that are lost.
DIRECTORY = WatchedKind(Source.DIRECTORY, "config", 1.5)
# The gap is a tenth of the time that a draining upstream may still be sent to.
UPSTREAMS = WatchedKind(Source.UPSTREAMS, "servers", 5.0, gap_s=0.2)
# An agent only orders its own engine, and an order to one that is gone is refused.
AGENT_UPSTREAMS = WatchedKind(Source.UPSTREAMS, "servers", 5.0, gap_s=0.5, stale=True)
# While an order runs its watch is short, so that no entry's view is old.
ROLLOUTS = WatchedKind(Source.ROLLOUTS, "rollouts", 8.0)
RUNNING_ROLLOUT_WAIT_S = 1.0
ROLLOUT_LEASES = WatchedKind(
    Source.ROLLOUT_LEASES, f"{KIND_PREFIX}rollouts", RUNNING_ROLLOUT_WAIT_S
)
DATA_CENTRES = WatchedKind(Source.DATA_CENTRES, "evacuations", 8.0)
# Each answer proves that the KV cache that was stored until then may be fetched.
WEIGHTS = WatchedKind(Source.WEIGHTS, "versions", 3.0)
AGENT_WEIGHTS = WatchedKind(Source.WEIGHTS, "versions", 8.0)
# Processes that start together all announce themselves within a second. A wait of 30 s
# may end with its history gone, and a list.
MEMBERS = WatchedKind(Source.MEMBERS, f"{KIND_PREFIX}members", 10.0, gap_s=0.5)
# The entries that lost requests at a crash report it within a few tenths of a second.
CRASHES = WatchedKind(Source.CRASHES, f"{KIND_PREFIX}crashes", 10.0, gap_s=0.4)


class KindWatcher:
    """Holds the objects of one kind and submits each change."""

    def __init__(
        self,
        watched: WatchedKind,
        store: Store,
        submit: Submit,
        random: Random,
        read_bounds: Callable[[], ClusterBounds] | None = None,
    ) -> None:
        self._watched = watched
        self._read_bounds = read_bounds
        self._wait_s = watched.wait_s
        # How long ago the last change of the configuration was known to be the newest.
        self._unconfirmed_s = 0.0
        self._store = store
        self._submit = submit
        self._random = random
        self._objects: dict[str, StoredObject] = {}
        self._removed: set[str] = set()
        self._logged: dict[str, str] = {}  # by name, why an object can't be read
        self._since = 0
        self._era = 0
        self._list_again_at = float("inf")
        # All that was written before is known, but for what a restore may have lost
        # and its owner writes again.
        self._known_at = float("-inf")
        self._rewritten_at = float("-inf")
        # When the last watch was sent, and when it failed.
        self._watched_at = float("inf")
        self._failed_at = float("inf")
        self._reachability = Reachability(watched.source, submit)
        self._pause_s = MIN_PAUSE_S

    async def run(self) -> None:
        """List and watch the kind; runs for ever."""
        while True:
            try:
                await self._list()
                while True:
                    with suppress(WatchInterrupted):
                        await self._watch()
            except HistoryGone:
                continue
            except StoreFailed as error:
                self._failed_at = min(self._failed_at, read_clock())
                self._reachability.record_failure(str(error))
                await trio.sleep(self._pause_s * self._random.uniform(0.5, 1.0))
                self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)

    async def _list(self) -> None:
        objects: dict[str, StoredObject] = {}
        requested_at, since, after = read_clock(), 0, ""
        era = self._store.era
        while True:
            page = await self._store.list_page(
                self._watched.kind, after, stale=self._watched.stale
            )
            if not since:
                since, era = page.asOf, self._store.era
            if self._store.era != era:
                raise HistoryGone
            before = after
            for stored in self._decode_objects(page.items):
                objects[stored.metadata.name] = stored
                after = stored.metadata.name
            if not page.hasMore or not page.items:
                break
            if after == before:
                raise StoreFailed(f"no object after {after!r} has a name")
        self._objects, self._since = objects, since
        self._removed.clear()
        self._logged = {n: why for n, why in self._logged.items() if n in objects}
        if requested_at >= self._list_again_at:
            self._list_again_at = float("inf")
        if 0 < self._era < era:
            self._list_again_at = requested_at + REWRITE_S
        if max(self._era, FIRST_ERA) < era and not self._was_watching(requested_at):
            self._rewritten_at = requested_at + REWRITE_S
        self._era = era
        self._record_read()
        self._report_list(requested_at)
        self._record_request(requested_at)

    def _was_watching(self, requested_at: float) -> bool:
        """Return whether a restore can have lost nothing that this process missed.

        That is if it was watching until the store was lost, and not for long.
        """
        ended_at = self._store.era_ended_at
        was_watching = self._watched_at <= ended_at <= self._failed_at
        return was_watching and requested_at - ended_at <= MAX_RESTORE_S

    async def _watch(self) -> None:
        requested_at = read_clock()
        self._check_era()
        self._watched_at, self._failed_at = requested_at, float("inf")
        wait_s = max(MIN_WAIT_S, self._limit_wait(requested_at) - self._unconfirmed_s)
        wait_s = min(wait_s, self._list_again_at - requested_at)
        changes = await self._store.watch(
            self._watched.kind, self._since, wait_s, stale=self._watched.stale
        )
        self._check_era()
        self._since = max(self._since, changes.asOf)
        self._record_read()
        self._unconfirmed_s = 0.0
        if not changes.events:
            self._record_request(requested_at)
            self._confirm(requested_at, wait_s)
            return
        self._removed.clear()
        for change in changes.events:
            for stored in self._decode_objects([change.object]):
                self._apply_change(stored, change.deleted)
        self._report_changes(requested_at)
        self._record_request(requested_at)
        if self._watched.source is Source.DIRECTORY:
            self._unconfirmed_s = read_clock() - requested_at
        await trio.sleep(self._watched.gap_s)

    def _limit_wait(self, now: float) -> float:
        """Return for how long the next watch may wait, in seconds."""
        if self._read_bounds is None:
            return self._wait_s
        calm_s = now - self._store.failed_at
        source, bounds = self._watched.source, self._read_bounds()
        limit_s = limit_wait(source, bounds, CALL_TIMEOUT_S, calm_s)
        return limit_s if source is Source.DIRECTORY else min(self._wait_s, limit_s)

    def _record_request(self, requested_at: float) -> None:
        """Record that all that was written before an answered request is known."""
        if requested_at < self._rewritten_at:
            return
        self._known_at = requested_at
        if self._watched.source is Source.WEIGHTS:
            self._submit(WeightsConfirmed(requested_at))

    def _confirm(self, requested_at: float, wait_s: float) -> None:
        """Report until when nothing has changed, where that matters."""
        waited_s = min(wait_s, read_clock() - requested_at) - CONFIRM_MARGIN_S
        confirmed_at = requested_at + max(0.0, waited_s)
        match self._watched.source:
            case Source.DIRECTORY if DIRECTORY_NAME in self._objects:
                outdated = requested_at < self._rewritten_at
                self._submit(DirectoryConfirmed(confirmed_at, outdated))
            case Source.WEIGHTS if requested_at >= self._rewritten_at:
                self._submit(WeightsConfirmed(confirmed_at))
            case Source.ROLLOUTS | Source.ROLLOUT_LEASES:
                self._report_changes(confirmed_at)
            case _:
                pass

    def _check_era(self) -> None:
        """Raise ``HistoryGone`` if a restore demands another list.

        That is one at once, and one when what was lost has been written again, so that
        nothing is believed for ever that nobody has written again.
        """
        if self._store.era != self._era or read_clock() >= self._list_again_at:
            raise HistoryGone

    def _apply_change(self, stored: StoredObject, deleted: bool) -> None:
        name = stored.metadata.name
        self._logged.pop(name, None)
        if deleted:
            self._objects.pop(name, None)
            self._removed.add(name)
        else:
            self._objects[name] = stored
            self._removed.discard(name)
        if self._watched.source is Source.UPSTREAMS:
            self._report_upstream(stored, deleted)
        if self._watched.source is Source.WEIGHTS and not deleted:
            self._report_weights(stored, self._find_not_before(stored))
        if self._watched.source is Source.CRASHES and not deleted:
            for report in self._read_crash_reports([stored]):
                self._submit(CrashReportChanged(report))

    def _find_not_before(self, stored: StoredObject) -> float:
        """Return a time before which a change of a watch had not been written."""
        not_before = self._store.find_not_before(stored.metadata.revision)
        if not_before < self._rewritten_at:
            return self._known_at
        return max(self._known_at, not_before)

    def _decode_objects(self, items: Iterable[Raw]) -> list[StoredObject]:
        read: list[StoredObject] = []
        for item in items:
            try:
                read.append(read_object(item))
            except Undecodable as error:
                self._log_unreadable("", error)
        return read

    def _report_list(self, requested_at: float) -> None:
        if self._watched.source is Source.CRASHES:
            reports = self._read_crash_reports(self._objects.values())
            self._submit(CrashReportsListed(tuple(reports)))
            return
        if self._watched.source is Source.WEIGHTS:
            for stored in self._objects.values():
                self._report_weights(stored, self._known_at)
            return
        if self._watched.source is not Source.UPSTREAMS:
            self._report_changes(requested_at)
            return
        read = [self._read_upstream(stored) for stored in self._objects.values()]
        self._submit(UpstreamsListed(tuple(u for u in read if u is not None)))

    def _read_crash_reports(self, objects: Iterable[StoredObject]) -> list[CrashReport]:
        reports = []
        for stored in objects:
            try:
                reports.append(read_crash_report(stored.spec))
            except Undecodable as error:
                self._log_unreadable(stored.metadata.name, error)
        return reports

    def _report_upstream(self, stored: StoredObject, deleted: bool) -> None:
        upstream = None if deleted else self._read_upstream(stored)
        if upstream is None:
            self._submit(UpstreamGone(stored.metadata.name))
        else:
            self._submit(UpstreamChanged(upstream))

    def _read_upstream(self, stored: StoredObject) -> Upstream | None:
        name = stored.metadata.name
        try:
            return read_upstream(name, stored.spec)
        except Undecodable as error:
            self._log_unreadable(name, error)
            return None

    def _report_changes(self, requested_at: float) -> None:
        match self._watched.source:
            case Source.DIRECTORY:
                self._report_directory(requested_at)
            case Source.DATA_CENTRES:
                names = [n for n, s in self._objects.items() if not s.metadata.deleting]
                removed = frozenset(self._removed)
                self._submit(DataCentresDrained(frozenset(names), removed))
            case Source.MEMBERS:
                self._report_members()
            case Source.ROLLOUTS:
                self._report_rollouts(requested_at)
            case Source.ROLLOUT_LEASES:
                self._report_leases(requested_at)
            case _:
                pass

    def _report_directory(self, requested_at: float) -> None:
        stored = self._objects.get(DIRECTORY_NAME)
        if stored is None:
            return
        try:
            directory = read_directory(stored.spec)
        except Undecodable as error:
            self._log_unreadable(DIRECTORY_NAME, error)
            return
        outdated = requested_at < self._rewritten_at
        self._submit(DirectoryRead(directory, requested_at, outdated))

    def _report_weights(self, stored: StoredObject, not_before: float) -> None:
        try:
            model, version = read_named_weights(stored.spec)
        except Undecodable as error:
            self._log_unreadable(stored.metadata.name, error)
            return
        self._submit(WeightsNamed(model, version, not_before))

    def _report_members(self) -> None:
        members = []
        for name, stored in self._objects.items():
            try:
                members.append(read_member(stored.spec))
            except Undecodable as error:
                self._log_unreadable(name, error)
        self._submit(MembersListed(tuple(members)))

    def _report_rollouts(self, requested_at: float) -> None:
        reads = [self._read_rollout(stored) for stored in self._objects.values()]
        rollouts = tuple(read for read in reads if read is not None)
        is_running = any(r.state is None or not r.state.is_final for r in rollouts)
        self._wait_s = RUNNING_ROLLOUT_WAIT_S if is_running else self._watched.wait_s
        self._submit(RolloutsRead(rollouts, requested_at))

    def _read_rollout(self, stored: StoredObject) -> RolloutRead | None:
        metadata = stored.metadata
        if metadata.deleting:
            return None
        try:
            created = bytes(metadata.created)
            order = read_rollout_order(metadata.name, stored.spec, created)
        except Undecodable as error:
            self._log_unreadable(metadata.name, error)
            return None
        state: RolloutState | None = None
        try:
            state = read_rollout_state(bytes(stored.status), order.target)
        except Undecodable as error:
            self._log_unreadable(metadata.name, error)
        return RolloutRead(order, state, metadata.revision)

    def _report_leases(self, requested_at: float) -> None:
        leases: list[tuple[RolloutLease, int]] = []
        for name, stored in self._objects.items():
            try:
                lease = read_rollout_lease(stored.spec)
            except Undecodable as error:
                self._log_unreadable(name, error)
                continue
            leases.append((lease, stored.metadata.revision))
        self._submit(RolloutLeasesRead(tuple(leases), requested_at))

    def _record_read(self) -> None:
        self._pause_s = MIN_PAUSE_S
        self._reachability.record_success()

    def _log_unreadable(self, name: str, error: Exception) -> None:
        """Log why an object can't be read, once until it changes."""
        if name and self._logged.get(name) == str(error):
            return
        self._logged[name] = str(error)
        facts = {"kind": self._watched.kind, "object": name[:MAX_NAME_CHARS]}
        write_event(
            Log(LogNumber.OBJECT_UNREADABLE, detail=str(error), facts={**facts})
        )
