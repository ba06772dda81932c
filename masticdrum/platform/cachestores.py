"""Polls the KV cache stores for the prefixes that they hold."""

from collections.abc import Callable
from random import Random

import trio
from msgspec import Struct

from masticdrum.core.decoding import read_json
from masticdrum.core.storedprefixes import PrefixesReported, PrefixStoreLost
from masticdrum.core.storepolls import StorePolls
from masticdrum.platform.objects import Count
from masticdrum.platform.store import StoreFailed, decode
from masticdrum.shell.controlclient import CallFailed, ControlClient

ANSWER_TIMEOUT_S = 0.5  # in addition to the wait, for a slow answer
RETRY_S = 0.4  # after a failed call, which is counted as a probe
BUSY_RETRY_S = 0.15  # after a call that the store rejected as one too many
BUSY = 429
JITTER = (0.8, 1.2)  # of a pause, so that polls of several entries don't stay in step
MAX_ANSWER_BYTES = 32 * 1024 * 1024
RESELECT_S = 0.5  # between checks which stores are chosen
MS_PER_S = 1000
Submit = Callable[[PrefixesReported | PrefixStoreLost], None]
Event = tuple[int, str, str, str, int, str]  # number, + or -, salt, part, tokens, model


class CacheEvents(Struct):
    """A store's answer; the next call continues at ``next``."""

    bootEpoch: Count  # noqa: N815
    next: Count
    events: list[Event]
    lost: bool = False


def read_events(body: bytes) -> CacheEvents:
    """Decode a store's answer; raises ``Undecodable``."""
    return read_json(body, CacheEvents)


class StoreBusy(Exception):
    """A store had too many calls open to accept another one."""


class CacheEventPoller:
    """Polls each chosen store."""

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
        """Poll the chosen stores; runs for ever."""
        self._scopes.clear()
        async with trio.open_nursery() as nursery:
            while True:
                wanted = {(p.store, p.address): p for p in self._choose()}
                self._polls |= wanted
                for key in [key for key in self._scopes if key not in wanted]:
                    self._scopes.pop(key).cancel()
                    self._submit(PrefixStoreLost(key[0]))
                for key in wanted.keys() - self._scopes.keys():
                    scope = self._scopes[key] = trio.CancelScope()
                    nursery.start_soon(self._poll_store, key, scope)
                await trio.sleep(RESELECT_S)

    async def _poll_store(self, key: tuple[str, str], scope: trio.CancelScope) -> None:
        name = key[0]
        client = ControlClient(key[1], MAX_ANSWER_BYTES)
        since, boot = 0, 0
        with scope:
            while True:
                polls = self._polls[key]
                try:
                    answer = await self._poll(client, polls, since)
                except StoreBusy:
                    await self._pause(BUSY_RETRY_S)
                    continue
                except StoreFailed:
                    since = boot = 0
                    self._submit(PrefixStoreLost(name))
                    await self._pause(RETRY_S)
                    continue
                if boot and answer.bootEpoch != boot:
                    # The store restarted: ``since`` belongs to its old incarnation.
                    self._submit(PrefixStoreLost(name))
                    since, boot = 0, answer.bootEpoch
                    continue
                since, boot = answer.next, answer.bootEpoch
                self._submit(build_report(name, answer))
                await self._pause(polls.pause_s)

    async def _pause(self, seconds: float) -> None:
        await trio.sleep(seconds * self._random.uniform(*JITTER))

    async def _poll(
        self, client: ControlClient, polls: StorePolls, since: int
    ) -> CacheEvents:
        self._count_call("kept cache")
        target = f"/v1/kv-events?since={since}"
        wait = str(round(polls.wait_s * MS_PER_S)).encode()
        timeout_s = polls.wait_s + ANSWER_TIMEOUT_S
        try:
            status, body = await client.call(
                "GET", target, [(b"wait-ms", wait)], timeout_s=timeout_s
            )
        except CallFailed as error:
            raise StoreFailed(str(error)) from error
        if status == BUSY:
            raise StoreBusy
        if status != 200:
            raise StoreFailed(f"status {status}")
        return decode(body, read_events)


def build_report(name: str, answer: CacheEvents) -> PrefixesReported:
    """Return the last state of each prefix that the events name."""
    last = {(event[2], event[3]): event[1] for event in answer.events}
    return PrefixesReported(
        name,
        answer.bootEpoch,
        tuple(part for part, sign in last.items() if sign == "+"),
        tuple(part for part, sign in last.items() if sign == "-"),
    )
