"""Transfers blocks between an engine and store instances, verifying each one.

A fetch pins the block with a lease, reads its frame, checks the complete frame against
the requested block, and only then imports its payload for the version that the agent
named; the engine refuses any other version. An export writes the frame under a
temporary name and commits it, so that a store never shows a part of a block. There are
no timeouts here: the clients bound each call.
"""

from collections.abc import Callable
from typing import Protocol

from returns.result import Failure

from masticdrum.core.frames import BlockName, decode_frame, encode_frame
from masticdrum.model.agent_events import (
    BlockExported,
    BlocksFetched,
    ExportBlock,
    FetchBlocks,
)

LEASE_S = 10.0


class TransferFailed(Exception):
    """A call to a store instance or engine failed or was refused."""


class StoreFull(TransferFailed):
    """The store instance is full."""


class BlockNotFound(TransferFailed):
    """The store instance or engine does not have the block."""


class StoreBlocks(Protocol):
    """The blocks of store instances; each call raises ``TransferFailed`` if it fails.

    ``store`` is the instance's address.
    """

    async def lease(self, store: str, key: str, holder: str, for_s: float) -> None:
        """Pin a block against eviction; ``BlockNotFound`` if there is none."""

    async def release(self, store: str, key: str, holder: str) -> None:
        """Release a lease."""

    async def read(self, store: str, key: str) -> bytes:
        """Return a block's frame; ``BlockNotFound`` if there is none."""

    async def write(self, store: str, key: str, part: str, frame: bytes) -> None:
        """Write a frame under the temporary name ``part``; ``StoreFull`` if full."""

    async def commit(self, store: str, key: str, part: str) -> None:
        """Make the written frame readable."""


class EngineBlocks(Protocol):
    """The blocks of an engine; each call raises ``TransferFailed`` if it fails."""

    async def export_block(self, key: str) -> bytes:
        """Return a block's payload; ``BlockNotFound`` once it was evicted."""

    async def import_block(self, key: str, version: str, payload: bytes) -> None:
        """Send a block to the engine, which refuses any other version."""


class FetchProgress:
    """The progress of one fetch."""

    __slots__ = ("failed", "imported", "link_bytes", "missing", "rejected")

    def __init__(self) -> None:
        self.imported: list[str] = []
        self.rejected: list[str] = []
        self.missing: list[str] = []
        self.failed: list[str] = []
        self.link_bytes = 0


class BlockTransfer:
    """Carries out an agent's ``FetchBlocks`` and ``ExportBlock`` effects.

    ``holder`` names the agent's incarnation in leases and temporary names; ``secret``
    keys the checksums of frames; ``clock`` gives the time in seconds.
    """

    def __init__(
        self,
        engine: EngineBlocks,
        stores: StoreBlocks,
        holder: str,
        secret: bytes,
        clock: Callable[[], float],
    ) -> None:
        self._engine = engine
        self._stores = stores
        self._holder = holder
        self._secret = secret
        self._clock = clock

    async def fetch(self, effect: FetchBlocks) -> BlocksFetched:
        """Import blocks in order up to the first that can't be imported."""
        started_at = self._clock()
        progress = FetchProgress()
        for key, store in effect.sources:
            name = BlockName(key, effect.workspace, effect.version)
            if not await self._fetch_block(progress, name, store):
                break
        return BlocksFetched(
            attempt=effect.attempt,
            imported=tuple(progress.imported),
            rejected=tuple(progress.rejected),
            link_bytes=progress.link_bytes,
            took_s=self._clock() - started_at,
            missing=tuple(progress.missing),
            failed=tuple(progress.failed),
        )

    async def export(self, effect: ExportBlock) -> BlockExported:
        """Export a block, unless its store instance has it already."""
        started_at = self._clock()
        name = BlockName(effect.key, effect.workspace, effect.version)
        link_bytes, full, evicted = 0, False, False
        try:
            link_bytes = await self._export_block(name, effect.store)
            is_stored = True
        except TransferFailed as error:
            is_stored = False
            full = isinstance(error, StoreFull)
            evicted = isinstance(error, BlockNotFound)
        took_s = self._clock() - started_at
        return BlockExported(effect.key, is_stored, link_bytes, took_s, full, evicted)

    async def _fetch_block(
        self, progress: FetchProgress, name: BlockName, store: str
    ) -> bool:
        try:
            frame = await self._read_pinned(name.key, store)
        except BlockNotFound:
            progress.missing.append(name.key)
            return False
        except TransferFailed:
            progress.failed.append(store)
            return False
        progress.link_bytes += len(frame)
        payload = decode_frame(self._secret, name, frame)
        if isinstance(payload, Failure):
            progress.rejected.append(name.key)
            return False
        try:
            await self._engine.import_block(name.key, name.version, payload.unwrap())
        except TransferFailed:
            return False
        progress.imported.append(name.key)
        return True

    async def _read_pinned(self, key: str, store: str) -> bytes:
        await self._stores.lease(store, key, self._holder, LEASE_S)
        frame = await self._stores.read(store, key)
        await self._release(key, store)
        return frame

    async def _release(self, key: str, store: str) -> None:
        try:
            await self._stores.release(store, key, self._holder)
        except TransferFailed:
            return  # the lease expires by itself

    async def _export_block(self, name: BlockName, store: str) -> int:
        if await self._is_stored(name.key, store):
            return 0
        payload = await self._engine.export_block(name.key)
        frame = encode_frame(self._secret, name, payload)
        await self._stores.write(store, name.key, self._holder, frame)
        await self._stores.commit(store, name.key, self._holder)
        return len(frame)

    async def _is_stored(self, key: str, store: str) -> bool:
        try:
            await self._stores.lease(store, key, self._holder, LEASE_S)
        except BlockNotFound:
            return False
        await self._release(key, store)
        return True
