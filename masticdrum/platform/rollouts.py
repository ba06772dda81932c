"""Follows operators' orders to move traffic, and writes what is decided of them."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import trio

from masticdrum.core.rolloutcontrol import RolloutObjectAnswered
from masticdrum.model.cluster_events import ClusterEvent
from masticdrum.model.platform import ObjectGet, ObjectPut
from masticdrum.model.rollouts import (
    PutRolloutStatus,
    RolloutsRead,
    RolloutStatusAnswered,
)
from masticdrum.platform.store import Store
from masticdrum.platform.watchers import ROLLOUT_LEASES, ROLLOUTS, KindWatcher

RolloutCall = ObjectGet | ObjectPut | PutRolloutStatus
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


async def execute_rollout_calls(
    store: Store, calls: trio.MemoryReceiveChannel[RolloutCall], submit: Submit
) -> None:
    """Execute calls side by side, so that none waits for another; runs for ever."""
    async with trio.open_nursery() as nursery:
        async for call in calls:
            nursery.start_soon(_execute, store, call, submit)


async def _execute(store: Store, call: RolloutCall, submit: Submit) -> None:
    if isinstance(call, PutRolloutStatus):
        submit(await store.put_rollout_status(call))
    else:
        submit(RolloutObjectAnswered(await store.execute(call)))


def list_rollout_tasks(
    store: Store, calls: trio.MemoryReceiveChannel[RolloutCall], submit: Submit
) -> list[Callable[[], Awaitable[None]]]:
    """Return the functions that follow orders and execute the calls on them."""
    follower = RolloutFollower(store, submit)
    return [
        follower.follow_orders,
        follower.follow_leases,
        partial(execute_rollout_calls, store, calls, submit),
    ]
