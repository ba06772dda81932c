"""Follows operators' orders to move traffic, and writes what is decided of them."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import trio

from masticdrum.core.rolloutcontrol import RolloutObjectAnswered
from masticdrum.model.cluster_events import ClusterEvent
from masticdrum.model.platform import ObjectGet, ObjectPut, ObjectStatus
from masticdrum.model.rolloutprogress import PublishRolloutProgress
from masticdrum.model.rollouts import (
    PutRolloutStatus,
    RolloutsRead,
    RolloutStatusAnswered,
)
from masticdrum.platform.rolloutorders import PROGRESS_KIND
from masticdrum.platform.store import Store
from masticdrum.platform.watchers import ROLLOUT_LEASES, ROLLOUTS, KindWatcher

RolloutCall = ObjectGet | ObjectPut | PutRolloutStatus | PublishRolloutProgress
Submit = Callable[[ClusterEvent | RolloutObjectAnswered | RolloutStatusAnswered], None]


class RolloutFollower:
    """Watches the orders, and their leases while one of the orders runs."""

    def __init__(self, store: Store, submit: Submit) -> None:
        self._submit = submit
        self._orders = KindWatcher(ROLLOUTS, store, self._submit_orders, Random())
        self._leases = KindWatcher(ROLLOUT_LEASES, store, submit, Random())
        self._is_running = False
        self._changed = trio.Event()

    async def follow_orders(self) -> None:
        """Watch the orders; runs for ever."""
        await self._orders.run()

    async def follow_leases(self) -> None:
        """Watch the leases while an order runs; runs for ever."""
        while True:
            await self._wait_until(is_running=True)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._leases.run)
                await self._wait_until(is_running=False)
                nursery.cancel_scope.cancel()

    def _submit_orders(self, event: ClusterEvent) -> None:
        self._submit(event)
        if not isinstance(event, RolloutsRead):
            return
        states = [read.state for read in event.rollouts]
        self._is_running = any(s is None or not s.is_final for s in states)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _wait_until(self, *, is_running: bool) -> None:
        while self._is_running is not is_running:
            await self._changed.wait()


class RolloutCalls:
    """Executes calls on orders, their leases and their progress."""

    def __init__(self, store: Store, submit: Submit) -> None:
        self._store = store
        self._submit = submit
        self._revisions: dict[str, int] = {}  # of progress objects, by service

    async def run(self, calls: trio.MemoryReceiveChannel[RolloutCall]) -> None:
        """Execute calls side by side, so that none waits for another; runs for ever."""
        async with trio.open_nursery() as nursery:
            async for call in calls:
                nursery.start_soon(self._execute, call)

    async def _execute(self, call: RolloutCall) -> None:
        match call:
            case PutRolloutStatus():
                self._submit(await self._store.put_rollout_status(call))
            case PublishRolloutProgress():
                await self._publish(call)
            case _:
                self._submit(RolloutObjectAnswered(await self._store.execute(call)))

    async def _publish(self, call: PublishRolloutProgress) -> None:
        """Create or replace a progress object; another decider's is read first."""
        path = f"{PROGRESS_KIND}/{call.service}"
        known = self._revisions.pop(call.service, 0)
        answer = await self._store.execute(
            ObjectPut("progress", path, call.body, known)
        )
        if answer.status is ObjectStatus.CONFLICT:
            answer = await self._store.execute(ObjectGet("progress", path))
        if answer.status is ObjectStatus.OK:
            self._revisions[call.service] = answer.version


def list_rollout_tasks(
    store: Store, calls: trio.MemoryReceiveChannel[RolloutCall], submit: Submit
) -> list[Callable[[], Awaitable[None]]]:
    """Return the functions that follow orders and execute the calls on them."""
    follower = RolloutFollower(store, submit)
    return [
        follower.follow_orders,
        follower.follow_leases,
        partial(RolloutCalls(store, submit).run, calls),
    ]
