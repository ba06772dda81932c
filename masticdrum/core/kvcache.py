"""The KV cache of one agent: what to import for a prompt and what to export after it.

The agent's reducer prepares each attempt with ``prepare_prompt`` before its run, starts
the run once ``is_prepared`` returns True, and passes the cache's events on to the
functions here. The cache never prevents an attempt from running: after an import that
fails or is late, the engine computes more blocks. Blocks are imported only for the
weight version that the engine confirmed last.
"""

from masticdrum.core.blocks import compute_block_keys
from masticdrum.core.cachestate import CacheEffect, KvCache, Prompt
from masticdrum.core.exportpolicy import list_candidates
from masticdrum.core.importplan import plan_import
from masticdrum.core.transfers import start_transfers
from masticdrum.model.agent_events import BlocksChanged
from masticdrum.model.tables import Urgency
from masticdrum.model.telemetry import Count, Counter


def prepare_prompt(
    cache: KvCache,
    attempt: str,
    workspace: str,
    urgency: Urgency,
    text: str,
    now: float,
) -> list[CacheEffect]:
    """Compute the keys of a prompt's blocks and start the imports that pay off."""
    if not cache.version or attempt in cache.prompts:
        return []
    rules = cache.rules
    keys = compute_block_keys(
        workspace, rules.model, cache.version, text, rules.block_bytes
    )
    prompt = Prompt(attempt, workspace, urgency, cache.version, keys)
    cache.prompts[attempt] = prompt
    known = cache.index.record_prompt(workspace, cache.version, keys, now)
    cache.export_policy.update_return_rate(workspace, known, len(keys))
    plan_import(cache, prompt, now)
    return start_transfers(cache, now)


def is_prepared(cache: KvCache, attempt: str) -> bool:
    """Return whether an attempt's run can start without waiting for an import."""
    return attempt not in cache.imports.waiting


def select_reusable_blocks(cache: KvCache, attempt: str) -> tuple[str, tuple[str, ...]]:
    """Return the version and keys of the blocks that an attempt's run may reuse.

    Both are empty if the keys belong to another version than the engine confirmed last.
    """
    prompt = cache.prompts.get(attempt)
    if prompt is None or prompt.version != cache.version or not prompt.keys:
        return "", ()
    return prompt.version, prompt.keys


def handle_run_begun(
    cache: KvCache, attempt: str, version: str, recomputed: int, now: float
) -> None:
    """Record a run that began: the engine holds its blocks or is computing them."""
    prompt = cache.prompts.get(attempt)
    cache.rate.record_begun(attempt, recomputed, now)
    if prompt is None or prompt.version != version or version != cache.version:
        return
    cache.index.record_held(prompt.keys, now)


def handle_run_tokens(cache: KvCache, attempt: str, now: float) -> list[CacheEffect]:
    """Offer a run's blocks for export.

    The first token shows that the engine has computed them all.
    """
    cache.rate.record_first_token(attempt, now)
    prompt = cache.prompts.pop(attempt, None)
    if prompt is None or prompt.version != cache.version:
        return []
    candidates = list_candidates(prompt.workspace, prompt.version, prompt.keys)
    for number, candidate in enumerate(candidates):
        if candidate.key in cache.index.stored:
            continue
        store = cache.select_store(prompt.keys, number, now)
        if not store:
            continue
        block = cache.index.seen.get(candidate.key)
        uses = 1 if block is None else block.uses
        saving_s = cache.export_policy.estimate_saving(
            prompt.workspace, uses, cache.rate.recompute_s
        )
        cache.export_policy.offer(candidate, store, saving_s)
    return start_transfers(cache, now)


def cancel_attempt(cache: KvCache, attempt: str, now: float) -> list[CacheEffect]:
    """Drop an attempt's state and start transfers on the links that this frees."""
    drop_attempt(cache, attempt)
    return start_transfers(cache, now)


def drop_attempt(cache: KvCache, attempt: str) -> None:
    """Drop the import and the prompt of an attempt that ended."""
    cache.imports.drop(attempt)
    cache.prompts.pop(attempt, None)
    cache.rate.forget(attempt)


def handle_changes(
    cache: KvCache, event: BlocksChanged, now: float
) -> list[CacheEffect]:
    """Apply the engine's cache events and start the transfers that they allow."""
    cache.index.apply_changes(event, now)
    return start_transfers(cache, now)


def expire_imports(cache: KvCache, now: float) -> list[CacheEffect]:
    """Give up late imports; their attempts run with the blocks imported so far."""
    late = cache.imports.drop_late(now)
    counts: list[CacheEffect] = [Count(Counter.BLOCKS, "late")] * len(late)
    return counts + start_transfers(cache, now)


def compute_next_timer(cache: KvCache, now: float) -> float:
    """Return when ``expire_imports`` is due next, or infinity."""
    times = [cache.imports.compute_next_timer()]
    for link in cache.links.values():
        if cache.export_policy.candidates.get(link.address):
            paused = (link.down_until, link.full_until)
            times += [until for until in paused if until > now]
    return min(times)
