"""How a process keeps its registration in the store."""

from typing import Any

import msgspec
import trio
from trio.testing import MockClock

from masticdrum.model.cluster_events import Member
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut, ObjectStatus
from masticdrum.platform.members import REPEAT_S, announce

RESTORED_AT_S = 3.0
CALL_S = 0.01


class ForgetfulStore:
    """A store that loses all objects when it is restored."""

    def __init__(self) -> None:
        self.restored = trio.Event()
        self.writes: list[float] = []
        self.members: list[Member] = []

    async def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        await trio.sleep(0.01)
        self.writes.append(trio.current_time())
        if isinstance(call, ObjectPut):
            self.members.append(msgspec.json.decode(call.body, type=Member))
        return ObjectAnswer(call.call, ObjectStatus.OK, 1)

    def restore(self) -> None:
        restored, self.restored = self.restored, trio.Event()
        restored.set()


# Guards against shares of common limits that are too large for up to a heartbeat, since
# a restored store has forgotten the processes that share them.
def test_a_process_announces_itself_again_after_a_restore() -> None:
    store = ForgetfulStore()
    given: Any = store

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            member = Member("entry-1", "entry", "north")
            nursery.start_soon(announce, given, member, lambda: 7)
            await trio.sleep(RESTORED_AT_S)
            began = trio.current_time()
            store.restore()
            await trio.sleep(1.0)
            assert [at for at in store.writes if at >= began]
            assert {stored.directory for stored in store.members} == {7}
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


class KeepingStore:
    """A store of one object that notes its calls and what changed it, and when."""

    def __init__(self) -> None:
        self.restored = trio.Event()
        self.stored: bytes | None = None
        self.revision = 100
        self.calls = 0
        self.changes: list[tuple[float, Member]] = []

    async def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        await trio.sleep(CALL_S)
        self.calls += 1
        if isinstance(call, ObjectGet):
            if self.stored is None:
                return ObjectAnswer(call.call, ObjectStatus.MISSING)
            return ObjectAnswer(call.call, ObjectStatus.OK, self.revision, self.stored)
        if call.expected and self.stored is None:
            return ObjectAnswer(call.call, ObjectStatus.MISSING)
        if call.expected != (0 if self.stored is None else self.revision):
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
        if call.body != self.stored:
            self.revision += 1
            self.stored = call.body
            member = msgspec.json.decode(call.body, type=Member)
            self.changes.append((trio.current_time(), member))
        return ObjectAnswer(call.call, ObjectStatus.OK, self.revision)


def announce_for(seconds: float, store: KeepingStore, versions: list[int]) -> None:
    """Announce an entry; ``versions`` are those in force at each reading."""
    given: Any = store

    async def run() -> None:
        with trio.move_on_after(seconds):
            member = Member("entry-1", "entry", "north")
            await announce(given, member, lambda: versions.pop(0))

    trio.run(run, clock=MockClock(autojump_threshold=0))


# Guards against a fleet whose members each wake all others at each heartbeat: 1,100
# entries did so 55 times a second.
def test_a_registration_that_is_stored_changes_no_more() -> None:
    store = KeepingStore()
    announce_for(10 * REPEAT_S, store, [7])
    assert [member.directory for _, member in store.changes] == [7]
    assert store.calls <= 11


def test_an_older_registration_of_the_same_process_is_replaced() -> None:
    store = KeepingStore()
    store.stored = msgspec.json.encode(Member("entry-1", "entry", "south"))
    announce_for(1.0, store, [7])
    assert [member.data_centre for _, member in store.changes] == ["north"]
    assert store.calls == 3


# Guards against a process that is missing in the others' shares for good because
# somebody removed its registration.
def test_a_registration_that_was_removed_is_written_again() -> None:
    store = KeepingStore()
    given: Any = store

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            member = Member("entry-1", "entry", "north")
            nursery.start_soon(announce, given, member, lambda: 7)
            await trio.sleep(1.0)
            store.stored = None
            await trio.sleep(REPEAT_S)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert len(store.changes) == 2
    assert store.stored is not None
