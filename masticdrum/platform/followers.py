"""Follows the kinds of the store, by list and watch, and tells what they hold."""

from collections.abc import Callable, Iterable
from random import Random

import msgspec
import trio
from msgspec import Raw, Struct

from masticdrum.model.belief import (
    BeliefEvent,
    DataCentresOut,
    DirectoryRead,
    DirectoryVouched,
    MembersListed,
    Source,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
    WeightsNamed,
)
from masticdrum.model.directory import Upstream
from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.platform.objects import (
    StoredObject,
    read_directory,
    read_member,
    read_named_weights,
    read_upstream,
)
from masticdrum.platform.store import KIND_PREFIX, HistoryGone, Store, StoreFailed
from masticdrum.shell.clock import read_clock
from masticdrum.shell.journal import write_event
from masticdrum.shell.reachability import Reachability

FIRST_PAUSE_S = 0.1  # after a failed read
LONGEST_PAUSE_S = 0.8  # so that a returning store is seen within a second
VOUCH_MARGIN_S = 0.05  # clocks' drift over one wait
Submit = Callable[[BeliefEvent], None]


class Followed(Struct, frozen=True):
    """One kind: where it lies and how long a watch of it waits, in seconds.

    ``gap_s`` passes after a change before the next watch, so that changes that come
    together are read by one call. ``stale`` reads may be seconds old, and cost a tenth.
    """

    source: Source
    kind: str
    wait_s: float
    gap_s: float = 0.0
    stale: bool = False


# The lease on keys is renewed by each answered watch of the configuration, so that
# watch is short. The others are kept alive by TCP probes and may wait.
DIRECTORY = Followed(Source.DIRECTORY, "config", 1.5)
# A tenth of the time that a leaving upstream may still be sent to.
UPSTREAMS = Followed(Source.UPSTREAMS, "servers", 5.0, gap_s=0.2)
# An agent orders its own engine only, and an order to one that is gone is refused.
UPSTREAMS_OF_AGENT = Followed(Source.UPSTREAMS, "servers", 5.0, gap_s=0.5, stale=True)
DATA_CENTRES = Followed(Source.DATA_CENTRES, "evacuations", 8.0)
WEIGHTS = Followed(Source.WEIGHTS, "versions", 8.0)
# At a common start all announce themselves within a second.
MEMBERS = Followed(Source.MEMBERS, f"{KIND_PREFIX}members", 10.0, gap_s=0.5)


class Follower:
    """Keeps the objects of one kind and tells of each change."""

    def __init__(
        self, followed: Followed, store: Store, submit: Submit, random: Random
    ) -> None:
        self._followed = followed
        self._store = store
        self._submit = submit
        self._random = random
        self._held: dict[str, StoredObject] = {}
        self._since = 0
        self._read_at = float("-inf")
        self._reach = Reachability(followed.source, submit)
        self._pause_s = FIRST_PAUSE_S

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._list()
                while True:
                    await self._watch()
            except HistoryGone:
                continue
            except StoreFailed as error:
                self._reach.note_lost(str(error))
                await trio.sleep(self._pause_s * self._random.uniform(0.5, 1.0))
                self._pause_s = min(LONGEST_PAUSE_S, 2 * self._pause_s)

    async def _list(self) -> None:
        held: dict[str, StoredObject] = {}
        asked, since, after = read_clock(), 0, ""
        while True:
            page = await self._store.list_page(
                self._followed.kind, after, stale=self._followed.stale
            )
            since = since or page.asOf
            for stored in self._read(page.items):
                held[stored.metadata.name] = stored
                after = stored.metadata.name
            if not page.hasMore or not page.items:
                break
        self._held, self._since = held, since
        self._note_read()
        self._tell_list(asked)
        self._read_at = asked

    async def _watch(self) -> None:
        wait_s = self._followed.wait_s
        asked = read_clock()
        changes = await self._store.watch(
            self._followed.kind, self._since, wait_s, stale=self._followed.stale
        )
        self._since = max(self._since, changes.asOf)
        self._read_at = asked
        self._note_read()
        if not changes.events:
            if self._followed.source is Source.DIRECTORY:
                waited_s = min(wait_s, read_clock() - asked) - VOUCH_MARGIN_S
                self._submit(DirectoryVouched(asked + max(0.0, waited_s)))
            return
        for change in changes.events:
            for stored in self._read([change.object]):
                self._take(stored, change.deleted)
        self._tell_changes(asked)
        await trio.sleep(self._followed.gap_s)

    def _take(self, stored: StoredObject, deleted: bool) -> None:
        name = stored.metadata.name
        if deleted:
            self._held.pop(name, None)
        else:
            self._held[name] = stored
        if self._followed.source is Source.UPSTREAMS:
            self._tell_upstream(stored, deleted)

    def _read(self, items: Iterable[Raw]) -> list[StoredObject]:
        read: list[StoredObject] = []
        for item in items:
            try:
                read.append(msgspec.json.decode(item, type=StoredObject))
            except msgspec.MsgspecError as error:
                self._note_unreadable("", error)
        return read

    def _tell_list(self, asked: float) -> None:
        if self._followed.source is not Source.UPSTREAMS:
            self._tell_changes(asked)
            return
        read = [self._read_upstream(stored) for stored in self._held.values()]
        self._submit(UpstreamsListed(tuple(u for u in read if u is not None)))

    def _tell_upstream(self, stored: StoredObject, deleted: bool) -> None:
        upstream = None if deleted else self._read_upstream(stored)
        if upstream is None:
            self._submit(UpstreamGone(stored.metadata.name))
        else:
            self._submit(UpstreamChanged(upstream))

    def _read_upstream(self, stored: StoredObject) -> Upstream | None:
        name = stored.metadata.name
        try:
            return read_upstream(name, stored.spec)
        except msgspec.MsgspecError as error:
            self._note_unreadable(name, error)
            return None

    def _tell_changes(self, asked: float) -> None:
        match self._followed.source:
            case Source.DIRECTORY:
                self._tell_directory(asked)
            case Source.DATA_CENTRES:
                names = [n for n, s in self._held.items() if not s.metadata.deleting]
                self._submit(DataCentresOut(frozenset(names)))
            case Source.WEIGHTS:
                for stored in self._held.values():
                    self._tell_weights(stored)
            case Source.MEMBERS:
                self._tell_members()
            case Source.UPSTREAMS:
                pass

    def _tell_directory(self, asked: float) -> None:
        stored = self._held.get("main")
        if stored is None:
            return
        try:
            directory = read_directory(stored.spec)
        except msgspec.MsgspecError as error:
            self._note_unreadable("main", error)
            return
        self._submit(DirectoryRead(directory, asked))

    def _tell_weights(self, stored: StoredObject) -> None:
        try:
            model, version = read_named_weights(stored.spec)
        except msgspec.MsgspecError as error:
            self._note_unreadable(stored.metadata.name, error)
            return
        self._submit(WeightsNamed(model, version, self._read_at))

    def _tell_members(self) -> None:
        members = []
        for name, stored in self._held.items():
            try:
                members.append(read_member(stored.spec))
            except msgspec.MsgspecError as error:
                self._note_unreadable(name, error)
        self._submit(MembersListed(tuple(members)))

    def _note_read(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        self._reach.note_read()

    def _note_unreadable(self, name: str, error: Exception) -> None:
        facts = {"kind": self._followed.kind, "object": name}
        write_event(
            Log(LogNumber.OBJECT_UNREADABLE, detail=str(error), facts={**facts})
        )
