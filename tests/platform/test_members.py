"""How a process keeps its registration in the store."""

from typing import Any

import msgspec
import trio
from trio.testing import MockClock

from masticdrum.model.cluster_events import Member
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut, ObjectStatus
from masticdrum.platform.members import announce

RESTORED_AT_S = 3.0


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
