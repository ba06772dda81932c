"""Executes an agent's block effects in the background and polls cache events."""

from collections.abc import Callable

import trio
from msgspec import Struct

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.core.frames import derive_key
from masticdrum.model.agent_events import (
    BlockExported,
    BlocksChanged,
    BlocksFetched,
    ExportBlock,
    FetchBlocks,
)
from masticdrum.model.settings import AgentSettings
from masticdrum.shell.answerguard import make_pool
from masticdrum.shell.blockclients import HttpEngineBlocks, HttpStoreBlocks, call_http
from masticdrum.shell.blocktransfer import BlockTransfer, TransferFailed
from masticdrum.shell.settings import load_secret

MAX_CONNECTIONS = 32

BlockEvent = BlocksFetched | BlockExported | BlocksChanged


class EventsAnswer(Struct):
    """The engine's cache events after a given number."""

    number: int
    held: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class BlockClient:
    """Transfers an agent's blocks and reports to the reducer how each transfer ended.

    ``holder`` is the agent's incarnation. ``get_boot`` returns the engine's current
    incarnation; the engine's event numbers restart with each.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[BlockEvent], None],
        settings: AgentSettings,
        holder: str,
        get_boot: Callable[[], str],
    ) -> None:
        self._nursery = nursery
        self._submit = submit
        self._url = settings.upstream_url.rstrip("/")
        self._every_s = settings.timeouts.events_every_s
        self._get_boot = get_boot
        self._pool = make_pool(MAX_CONNECTIONS)
        self._transfer = BlockTransfer(
            HttpEngineBlocks(self._pool, self._url),
            HttpStoreBlocks(self._pool),
            holder,
            derive_key(load_secret(settings.block_secret_file).unwrap()),
            trio.current_time,
        )

    def start(self, effect: FetchBlocks | ExportBlock) -> None:
        """Import or export blocks; the result arrives as an event."""
        self._nursery.start_soon(self._carry_out, effect)

    async def poll_events(self) -> None:
        """Read the engine's cache events at an interval; runs forever."""
        boot, number = "", 0
        while True:
            if self._get_boot() != boot:
                boot, number = self._get_boot(), 0
            answer = await self._read_events(number)
            if answer is not None and answer.number > number:
                number = answer.number
                self._submit(BlocksChanged(number, answer.held, answer.evicted))
            await trio.sleep(self._every_s)

    async def _carry_out(self, effect: FetchBlocks | ExportBlock) -> None:
        if isinstance(effect, FetchBlocks):
            self._submit(await self._transfer.fetch(effect))
            return
        self._submit(await self._transfer.export(effect))

    async def _read_events(self, after: int) -> EventsAnswer | None:
        try:
            body = await call_http(
                self._pool, "GET", f"{self._url}/events?after={after}"
            )
            return read_json(body, EventsAnswer)
        except (TransferFailed, Undecodable):
            return None
