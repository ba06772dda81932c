"""The kept cache of one agent: what to import for a prompt, what to export after it.

The agent's reducer prepares each attempt with ``prepare_prompt`` when it arrives,
starts its run once ``is_prepared`` says so, and hands the cache's events on. Nothing
here keeps an attempt from running: an import that fails or is late just leaves more to
compute. Imports go to the weight version that the engine confirmed last and no other.
"""

from masticdrum.core.blocks import name_blocks
from masticdrum.core.cachestate import CacheEffect, KeptCache, Prompt
from masticdrum.core.importplan import plan_import
from masticdrum.core.keeping import list_candidates
from masticdrum.core.transfers import start_transfers
from masticdrum.model.agent_events import BlocksChanged
from masticdrum.model.tables import Urgency
from masticdrum.model.telemetry import Count, Counter


def prepare_prompt(
    cache: KeptCache,
    attempt: str,
    workspace: str,
    urgency: Urgency,
    text: str,
    now: float,
) -> list[CacheEffect]:
    """Name a prompt's blocks and start to import those worth it."""
    if not cache.version or attempt in cache.prompts:
        return []
    rules = cache.rules
    keys = name_blocks(workspace, rules.model, cache.version, text, rules.block_bytes)
    prompt = Prompt(attempt, workspace, urgency, cache.version, keys)
    cache.prompts[attempt] = prompt
    known = cache.index.note_prompt(workspace, cache.version, keys, now)
    cache.keeping.learn_return(workspace, known, len(keys))
    plan_import(cache, prompt, now)
    return start_transfers(cache, now)


def is_prepared(cache: KeptCache, attempt: str) -> bool:
    """Tell whether an attempt's run need not wait for an import."""
    return attempt not in cache.imports.waiting


def find_blocks(cache: KeptCache, attempt: str) -> tuple[str, tuple[str, ...]]:
    """Return the version and keys that an attempt's run may reuse, maybe none.

    Blocks named for a version that the engine no longer confirms are left out.
    """
    prompt = cache.prompts.get(attempt)
    if prompt is None or prompt.version != cache.version or not prompt.keys:
        return "", ()
    return prompt.version, prompt.keys


def note_begun(
    cache: KeptCache, attempt: str, version: str, recomputed: int, now: float
) -> None:
    """Learn from a run that began: its blocks are held, or being computed."""
    prompt = cache.prompts.get(attempt)
    cache.rate.note_begun(attempt, recomputed, now)
    if prompt is None or prompt.version != version or version != cache.version:
        return
    cache.index.note_held(prompt.keys, now)


def note_tokens(cache: KeptCache, attempt: str, now: float) -> list[CacheEffect]:
    """Offer a run's blocks for export once its first token shows them computed."""
    cache.rate.note_token(attempt, now)
    prompt = cache.prompts.pop(attempt, None)
    if prompt is None or prompt.version != cache.version:
        return []
    candidates = list_candidates(prompt.workspace, prompt.version, prompt.keys)
    for number, candidate in enumerate(candidates):
        if candidate.key in cache.index.kept:
            continue
        store = cache.find_store(prompt.keys, number, now)
        if not store:
            continue
        block = cache.index.seen.get(candidate.key)
        uses = 1 if block is None else block.uses
        worth = cache.keeping.find_worth(prompt.workspace, uses, cache.rate.recompute_s)
        cache.keeping.offer(candidate, store, worth)
    return start_transfers(cache, now)


def forget_attempt(cache: KeptCache, attempt: str, now: float) -> list[CacheEffect]:
    """Give up what was under way for an attempt, and use the room that it leaves."""
    drop_attempt(cache, attempt)
    return start_transfers(cache, now)


def drop_attempt(cache: KeptCache, attempt: str) -> None:
    """Give up what was under way for an attempt that ended."""
    cache.imports.drop(attempt)
    cache.prompts.pop(attempt, None)
    cache.rate.forget(attempt)


def take_changes(
    cache: KeptCache, event: BlocksChanged, now: float
) -> list[CacheEffect]:
    """Take the engine's cache events in."""
    cache.index.take_changes(event, now)
    return start_transfers(cache, now)


def wake_cache(cache: KeptCache, now: float) -> list[CacheEffect]:
    """Give up late imports, whose attempts then run with what has arrived."""
    late = cache.imports.drop_late(now)
    counts: list[CacheEffect] = [Count(Counter.BLOCKS, "late")] * len(late)
    return counts + start_transfers(cache, now)


def find_wake(cache: KeptCache, now: float) -> float:
    """Return when ``wake_cache`` is wanted next, or infinity."""
    times = [cache.imports.find_wake()]
    for link in cache.links.values():
        if cache.keeping.candidates.get(link.address):
            paused = (link.down_until, link.full_until)
            times += [until for until in paused if until > now]
    return min(times)
