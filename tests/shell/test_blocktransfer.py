"""Blocks move over HTTP between the stand-ins, whole or not at all."""

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


class Bench:
    """An engine and a store instance, and the transfer between them."""

    def __init__(self) -> None:
        self.engine = Engine(EngineFaults(), "engine")
        self.store = Store(StoreFaults())
        self.address = ""
        self.transfer: BlockTransfer

    def hold(self, key: str = KEY) -> None:
        model = self.engine.model
        payload = make_payload(key, model.faults.payload_bytes)
        model.cache.put(key, payload, 64, 0.0)

    async def keep(self, key: str = KEY, workspace: str = "w") -> BlockExported:
        return await self.transfer.keep(ExportBlock(key, workspace, "v1", self.address))

    async def fetch(self, workspace: str = "w", version: str = "v1") -> BlocksFetched:
        self.engine.model.cache.shrink(0, 0.0)
        sources = ((KEY, self.address),)
        return await self.transfer.fetch(
            FetchBlocks("at", workspace, version, Urgency.NORMAL, sources)
        )


def run_bench(use: Callable[[Bench], Awaitable[None]]) -> None:
    async def main() -> None:
        bench = Bench()
        async with (
            trio.open_nursery() as nursery,
            httpcore.AsyncConnectionPool() as pool,
        ):
            engine = await nursery.start(serve, bench.engine)
            bench.address = await nursery.start(serve, bench.store)
            bench.transfer = BlockTransfer(
                HttpEngineBlocks(pool, engine),
                HttpStoreBlocks(pool),
                "holder",
                derive_key("secret"),
                trio.current_time,
            )
            with trio.fail_after(60):
                await use(bench)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_kept_block_is_fetched_whole_and_kept_once() -> None:
    async def use(bench: Bench) -> None:
        bench.hold()
        assert (await bench.keep()).is_stored
        again = await bench.keep()
        assert again.is_stored and again.link_bytes == 0
        fetched = await bench.fetch()
        assert fetched.imported == (KEY,)
        assert bench.engine.model.bad_imports == 0
        assert bench.store.table.blocks[KEY].leases == {}

    run_bench(use)


@pytest.mark.parametrize("damage", [Damage.TRUNCATE, Damage.FLIP, Damage.SUBSTITUTE])
def test_damaged_block_is_not_imported(damage) -> None:
    async def use(bench: Bench) -> None:
        for key in (KEY, "cd" * 20):
            bench.hold(key)
            assert (await bench.keep(key)).is_stored
        bench.store.control({"damage": damage})
        fetched = await bench.fetch()
        assert (fetched.imported, fetched.rejected) == ((), (KEY,))
        assert len(bench.engine.model.cache) == 0

    run_bench(use)


def test_block_of_another_workspace_or_version_is_not_imported() -> None:
    async def use(bench: Bench) -> None:
        bench.hold()
        assert (await bench.keep()).is_stored
        assert (await bench.fetch(workspace="other")).rejected == (KEY,)
        assert (await bench.fetch(version="v2")).rejected == (KEY,)

    run_bench(use)


def test_engine_of_another_version_takes_no_import() -> None:
    async def use(bench: Bench) -> None:
        bench.hold()
        assert (await bench.keep()).is_stored
        bench.engine.model.load("v2", 0.0)
        assert (await bench.fetch()).imported == ()
        assert len(bench.engine.model.cache) == 0

    run_bench(use)


def test_store_that_breaks_mid_write_shows_no_block() -> None:
    async def use(bench: Bench) -> None:
        bench.hold()
        bench.store.control({"break_after": 100})
        ended = await bench.keep()
        assert not ended.is_stored and not ended.full
        bench.store.control({"break_after": -1})
        assert (await bench.fetch()).missing == (KEY,)

    run_bench(use)


def test_store_that_breaks_mid_read_fails_the_fetch() -> None:
    async def use(bench: Bench) -> None:
        bench.hold()
        assert (await bench.keep()).is_stored
        bench.store.control({"break_after": 100})
        fetched = await bench.fetch()
        assert fetched.failed == (bench.address,)
        assert len(bench.engine.model.cache) == 0

    run_bench(use)


def test_full_store_and_evicted_block_are_told_apart() -> None:
    async def use(bench: Bench) -> None:
        assert (await bench.keep()).evicted
        bench.hold()
        bench.store.control({"full": True})
        assert (await bench.keep()).full

    run_bench(use)
