"""Blocks are transferred over HTTP between the stand-ins, completely or not at all."""

from collections.abc import Awaitable, Callable

import httpcore
import pytest
import trio

from masticdrum.core.frames import derive_key
from masticdrum.model.agent_events import (
    BlockExported,
    BlocksFetched,
    ExportBlock,
    FetchBlocks,
)
from masticdrum.model.tables import Urgency
from masticdrum.shell.blockclients import HttpEngineBlocks, HttpStoreBlocks
from masticdrum.shell.blocktransfer import BlockTransfer
from tests.standins.engine import Engine
from tests.standins.enginemodel import EngineFaults, make_payload
from tests.standins.server import serve
from tests.standins.store import Damage, Store, StoreFaults

KEY = "ab" * 20


class TransferSetup:
    """A stand-in engine and store, and the block transfer between them."""

    def __init__(self) -> None:
        self.engine = Engine(EngineFaults(), "engine")
        self.store = Store(StoreFaults())
        self.address = ""
        self.transfer: BlockTransfer

    def fill_engine_cache(self, key: str = KEY) -> None:
        model = self.engine.model
        payload = make_payload(key, model.faults.payload_bytes)
        model.cache.put(key, payload, 64, 0.0)

    async def run_export(self, key: str = KEY, workspace: str = "w") -> BlockExported:
        return await self.transfer.export(
            ExportBlock(key, workspace, "v1", self.address)
        )

    async def run_fetch(
        self, workspace: str = "w", version: str = "v1"
    ) -> BlocksFetched:
        self.engine.model.cache.shrink(0, 0.0)
        sources = ((KEY, self.address),)
        return await self.transfer.fetch(
            FetchBlocks("at", workspace, version, Urgency.NORMAL, sources)
        )


def run_with_setup(use: Callable[[TransferSetup], Awaitable[None]]) -> None:
    async def main() -> None:
        setup = TransferSetup()
        async with (
            trio.open_nursery() as nursery,
            httpcore.AsyncConnectionPool() as pool,
        ):
            engine = await nursery.start(serve, setup.engine)
            setup.address = await nursery.start(serve, setup.store)
            setup.transfer = BlockTransfer(
                HttpEngineBlocks(pool, engine),
                HttpStoreBlocks(pool),
                "holder",
                derive_key("secret"),
                trio.current_time,
            )
            with trio.fail_after(60):
                await use(setup)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_exported_block_is_fetched_whole_and_stored_once() -> None:
    async def use(setup: TransferSetup) -> None:
        setup.fill_engine_cache()
        assert (await setup.run_export()).is_stored
        again = await setup.run_export()
        assert again.is_stored and again.link_bytes == 0
        fetched = await setup.run_fetch()
        assert fetched.imported == (KEY,)
        assert setup.engine.model.bad_imports == 0
        assert setup.store.table.blocks[KEY].leases == {}

    run_with_setup(use)


@pytest.mark.parametrize("damage", [Damage.TRUNCATE, Damage.FLIP, Damage.SUBSTITUTE])
def test_damaged_block_is_not_imported(damage) -> None:
    async def use(setup: TransferSetup) -> None:
        for key in (KEY, "cd" * 20):
            setup.fill_engine_cache(key)
            assert (await setup.run_export(key)).is_stored
        setup.store.control({"damage": damage})
        fetched = await setup.run_fetch()
        assert (fetched.imported, fetched.rejected) == ((), (KEY,))
        assert len(setup.engine.model.cache) == 0

    run_with_setup(use)


def test_block_of_another_workspace_or_version_is_not_imported() -> None:
    async def use(setup: TransferSetup) -> None:
        setup.fill_engine_cache()
        assert (await setup.run_export()).is_stored
        assert (await setup.run_fetch(workspace="other")).rejected == (KEY,)
        assert (await setup.run_fetch(version="v2")).rejected == (KEY,)

    run_with_setup(use)


def test_engine_of_another_version_takes_no_import() -> None:
    async def use(setup: TransferSetup) -> None:
        setup.fill_engine_cache()
        assert (await setup.run_export()).is_stored
        setup.engine.model.load("v2", 0.0)
        assert (await setup.run_fetch()).imported == ()
        assert len(setup.engine.model.cache) == 0

    run_with_setup(use)


def test_store_that_breaks_mid_write_shows_no_block() -> None:
    async def use(setup: TransferSetup) -> None:
        setup.fill_engine_cache()
        setup.store.control({"break_after": 100})
        exported = await setup.run_export()
        assert not exported.is_stored and not exported.full
        setup.store.control({"break_after": -1})
        assert (await setup.run_fetch()).missing == (KEY,)

    run_with_setup(use)


def test_store_that_breaks_mid_read_fails_the_fetch() -> None:
    async def use(setup: TransferSetup) -> None:
        setup.fill_engine_cache()
        assert (await setup.run_export()).is_stored
        setup.store.control({"break_after": 100})
        fetched = await setup.run_fetch()
        assert fetched.failed == (setup.address,)
        assert len(setup.engine.model.cache) == 0

    run_with_setup(use)


def test_full_store_and_evicted_block_are_told_apart() -> None:
    async def use(setup: TransferSetup) -> None:
        assert (await setup.run_export()).evicted
        setup.fill_engine_cache()
        setup.store.control({"full": True})
        assert (await setup.run_export()).full

    run_with_setup(use)
