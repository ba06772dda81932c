"""Mutants of the KV cache's mechanisms, each of which the tests must catch."""

from collections.abc import Callable
from typing import Any

from returns.result import Success

from masticdrum.core import frames, kvcache
from masticdrum.core.blocks import compute_block_keys
from masticdrum.shell import blocktransfer

Patch = Callable[[Any], None]


def skip_whole_check(patch: Any) -> None:
    def check(secret, wanted, header, payload):
        return Success(payload)

    patch.setattr(frames, "verify_block", check)


def skip_checksum(patch: Any) -> None:
    patch.setattr(frames, "compare_digest", lambda ours, theirs: True)


def skip_lease(patch: Any) -> None:
    async def read(self, key, store):
        return await self._stores.read(store, key)

    patch.setattr(blocktransfer.BlockTransfer, "_read_pinned", read)


def commit_after_failed_write(patch: Any) -> None:
    """Commit what a failed write left behind, and verify no length or checksum."""
    skip_whole_check(patch)

    async def keep(self, name, store):
        payload = await self._engine.export_block(name.key)
        frame = blocktransfer.encode_frame(self._secret, name, payload)
        try:
            await self._stores.write(store, name.key, self._holder, frame)
        except blocktransfer.StoreFull:
            await self._stores.commit(store, name.key, self._holder)
            raise
        await self._stores.commit(store, name.key, self._holder)
        return len(frame)

    patch.setattr(blocktransfer.BlockTransfer, "_export_block", keep)


def share_keys_between_workspaces(patch: Any) -> None:
    def name(workspace, model, version, prompt, block_bytes):
        return compute_block_keys("any", model, version, prompt, block_bytes)

    patch.setattr(kvcache, "compute_block_keys", name)


def trust_any_block_of_the_store(patch: Any) -> None:
    """Accept any intact frame, whichever block it contains."""

    def check(secret, wanted, header, payload):
        named = frames.BlockName(header.key, header.workspace, header.version)
        if header.checksum != frames.compute_checksum(secret, named, payload):
            return frames.Failure(frames.FrameFault.WRONG_CHECKSUM)
        return Success(payload)

    patch.setattr(frames, "verify_block", check)


def share_keys_between_versions(patch: Any) -> None:
    def name(workspace, model, version, prompt, block_bytes):
        return compute_block_keys(workspace, model, "any", prompt, block_bytes)

    patch.setattr(kvcache, "compute_block_keys", name)


def import_across_a_swap(patch: Any) -> None:
    def confirm(cache, boot, version):
        cache.boot = boot
        cache.version = version
        cache.index.forget_engine()

    patch.setattr("tests.cacheworld.confirm_engine", confirm)


def reuse_across_a_swap(patch: Any) -> None:
    def find(cache, attempt):
        prompt = cache.prompts.get(attempt)
        return "", () if prompt is None else prompt.keys

    patch.setattr("tests.cacheworld.select_reusable_blocks", find)


MUTANTS: dict[str, tuple[Patch, int]] = {
    "whole check off": (skip_whole_check, 0),
    "checksum off": (skip_checksum, 0),
    "lease off": (skip_lease, 0),
    "commit after a failed write": (commit_after_failed_write, 0),
    "one key for all workspaces": (share_keys_between_workspaces, 0),
    "any block of the store taken": (trust_any_block_of_the_store, 3),
    "one key for all versions": (share_keys_between_versions, 0),
    "import across a swap": (import_across_a_swap, 4),
    "reuse across a swap": (reuse_across_a_swap, 0),
}
