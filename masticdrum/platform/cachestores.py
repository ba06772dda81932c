"""Listens to the stores of kept cache for the parts that they keep."""

from collections.abc import Callable

import httpcore
import trio
from msgspec import Struct

from masticdrum.core.keptparts import PartsHeard, PartsUnheard
from masticdrum.model.directory import ForwardService
from masticdrum.platform.store import StoreFailed, decode
from masticdrum.shell.upstreamstream import LeanBackend

WAIT_MS = 800  # calls that wait less than 200 ms count as probes
CALL_S = 1.3  # the wait and a slow answer
PAUSE_S = 0.4  # after a failed call, which is counted as a probe
LEAST_GAP_S = 0.1  # between two calls, however fast a busy store answers
LOOK_S = 0.5  # how often the choice of stores is looked at
Submit = Callable[[PartsHeard | PartsUnheard], None]
Event = tuple[int, str, str, str, int, str]  # number, + or -, salt, part, tokens, model


class CacheEvents(Struct):
    """What a store answers; ``next`` is where the next call goes on."""

    bootEpoch: int  # noqa: N815
    next: int
    events: list[Event]
    lost: bool = False


class CacheListener:
    """Keeps one long call open at each store that is listened to."""

    def __init__(
        self,
        submit: Submit,
        choose: Callable[[], list[ForwardService]],
        count_call: Callable[[str], None],
    ) -> None:
        self._submit = submit
        self._choose = choose
        self._count_call = count_call
        self._scopes: dict[tuple[str, str], trio.CancelScope] = {}

    async def run(self) -> None:
        """Listen to the chosen stores; runs for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                wanted = {
                    (service.name, service.store.address)
                    for service in self._choose()
                    if service.store is not None
                }
                for key in [key for key in self._scopes if key not in wanted]:
                    self._scopes.pop(key).cancel()
                    self._submit(PartsUnheard(key[0]))
                for key in wanted - set(self._scopes):
                    scope = self._scopes[key] = trio.CancelScope()
                    nursery.start_soon(self._listen, key, scope)
                await trio.sleep(LOOK_S)

    async def _listen(self, key: tuple[str, str], scope: trio.CancelScope) -> None:
        name, address = key
        pool = httpcore.AsyncConnectionPool(
            max_connections=1, network_backend=LeanBackend()
        )
        since, boot = 0, 0
        with scope:
            while True:
                try:
                    heard = await self._ask(pool, address, since)
                except StoreFailed:
                    since = boot = 0
                    self._submit(PartsUnheard(name))
                    await trio.sleep(PAUSE_S)
                    continue
                if boot and heard.bootEpoch != boot:
                    # Another start: what was asked for belonged to the one before.
                    self._submit(PartsUnheard(name))
                    since, boot = 0, heard.bootEpoch
                    continue
                since, boot = heard.next, heard.bootEpoch
                self._submit(describe_heard(name, heard))
                await trio.sleep(LEAST_GAP_S)

    async def _ask(
        self, pool: httpcore.AsyncConnectionPool, address: str, since: int
    ) -> CacheEvents:
        self._count_call("kept cache")
        try:
            with trio.fail_after(CALL_S):
                response = await pool.request(
                    "GET",
                    f"http://{address}/v1/kv-events?since={since}",
                    headers=[("Wait-Ms", str(WAIT_MS))],
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            OSError,
            trio.TooSlowError,
        ) as error:
            raise StoreFailed(repr(error)) from error
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
