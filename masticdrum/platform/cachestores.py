"""Listens to the stores of kept cache for the parts that they keep."""

from collections.abc import Callable
from random import Random

import httpcore
import trio
from msgspec import Struct

from masticdrum.core.keptparts import PartsHeard, PartsUnheard
from masticdrum.core.storepolls import StorePolls
from masticdrum.platform.store import StoreFailed, decode
from masticdrum.shell.upstreamstream import LeanBackend

ANSWER_S = 0.5  # beside the wait, for a slow answer
PAUSE_S = 0.4  # after a failed call, which is counted as a probe
BUSY_PAUSE_S = 0.15  # after a call that others left no room for
BUSY = 429
JITTER = (0.8, 1.2)  # of a pause, so that listeners don't keep meeting
LOOK_S = 0.5  # how often the choice of stores is looked at
MS_PER_S = 1000
Submit = Callable[[PartsHeard | PartsUnheard], None]
Event = tuple[int, str, str, str, int, str]  # number, + or -, salt, part, tokens, model


class CacheEvents(Struct):
    """What a store answers; ``next`` is where the next call goes on."""

    bootEpoch: int  # noqa: N815
    next: int
    events: list[Event]
    lost: bool = False


class StoreBusy(Exception):
    """A store had too many calls open to take another one."""


class CacheListener:
    """Polls each store that is listened to."""

    def __init__(
        self,
        submit: Submit,
        choose: Callable[[], list[StorePolls]],
        count_call: Callable[[str], None],
    ) -> None:
        self._submit = submit
        self._choose = choose
        self._count_call = count_call
        self._random = Random()
        self._polls: dict[tuple[str, str], StorePolls] = {}
        self._scopes: dict[tuple[str, str], trio.CancelScope] = {}

    async def run(self) -> None:
        """Listen to the chosen stores; runs for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                wanted = {(p.store, p.address): p for p in self._choose()}
                self._polls |= wanted
                for key in [key for key in self._scopes if key not in wanted]:
                    self._scopes.pop(key).cancel()
                    self._submit(PartsUnheard(key[0]))
                for key in wanted.keys() - self._scopes.keys():
                    scope = self._scopes[key] = trio.CancelScope()
                    nursery.start_soon(self._listen, key, scope)
                await trio.sleep(LOOK_S)

    async def _listen(self, key: tuple[str, str], scope: trio.CancelScope) -> None:
        name = key[0]
        pool = httpcore.AsyncConnectionPool(
            max_connections=1, network_backend=LeanBackend()
        )
        since, boot = 0, 0
        with scope:
            while True:
                polls = self._polls[key]
                try:
                    heard = await self._ask(pool, polls, since)
                except StoreBusy:
                    await self._pause(BUSY_PAUSE_S)
                    continue
                except StoreFailed:
                    since = boot = 0
                    self._submit(PartsUnheard(name))
                    await self._pause(PAUSE_S)
                    continue
                if boot and heard.bootEpoch != boot:
                    # Another start: what was asked for belonged to the one before.
                    self._submit(PartsUnheard(name))
                    since, boot = 0, heard.bootEpoch
                    continue
                since, boot = heard.next, heard.bootEpoch
                self._submit(describe_heard(name, heard))
                await self._pause(polls.pause_s)

    async def _pause(self, seconds: float) -> None:
        await trio.sleep(seconds * self._random.uniform(*JITTER))

    async def _ask(
        self, pool: httpcore.AsyncConnectionPool, polls: StorePolls, since: int
    ) -> CacheEvents:
        self._count_call("kept cache")
        try:
            with trio.fail_after(polls.wait_s + ANSWER_S):
                response = await pool.request(
                    "GET",
                    f"http://{polls.address}/v1/kv-events?since={since}",
                    headers=[("Wait-Ms", str(round(polls.wait_s * MS_PER_S)))],
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            OSError,
            trio.TooSlowError,
        ) as error:
            raise StoreFailed(repr(error)) from error
        if response.status == BUSY:
            raise StoreBusy
        if response.status != 200:
            raise StoreFailed(f"status {response.status}")
        return decode(response.content, CacheEvents)


def describe_heard(name: str, heard: CacheEvents) -> PartsHeard:
    """Return the last word on each part that the events name."""
    last = {(event[2], event[3]): event[1] for event in heard.events}
    return PartsHeard(
        name,
        heard.bootEpoch,
        tuple(part for part, sign in last.items() if sign == "+"),
        tuple(part for part, sign in last.items() if sign == "-"),
    )
