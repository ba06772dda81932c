"""Plans the import of a prompt's blocks and chooses their store instances."""

from collections.abc import Sequence

from masticdrum.core.cachestate import KvCache, Prompt
from masticdrum.core.importcost import (
    ImportCost,
    compute_import_timeout_s,
    should_import,
)
from masticdrum.core.imports import Import


def plan_import(cache: KvCache, prompt: Prompt, now: float) -> None:
    """Queue an import of the prompt's stored blocks if computing them costs more."""
    sources = select_prefix(cache, list_sources(cache, prompt.keys, now))
    cost = estimate_cost(cache, sources)
    if not should_import(cost, len(sources), prompt.urgency):
        return
    late_at = now + compute_import_timeout_s(cost, len(sources), prompt.urgency)
    job = Import(
        prompt.attempt,
        prompt.workspace,
        prompt.version,
        prompt.urgency,
        sources,
        late_at,
    )
    cache.imports.add(job)


def list_sources(
    cache: KvCache, keys: Sequence[str], now: float
) -> list[tuple[str, str]]:
    """Return the blocks to import and their stores.

    They start after the prefix that the engine holds, and end before the first block
    that is known to be missing or whose store is down.
    """
    sources: list[tuple[str, str]] = []
    for number in range(cache.index.count_held(keys), len(keys)):
        key = keys[number]
        store = cache.index.stored.get(key, "") or cache.select_store(keys, number, now)
        if not store or cache.index.is_missing(key, now):
            break
        if store not in cache.links or not cache.links[store].is_up(now):
            break
        sources.append((key, store))
    return sources


def select_prefix(
    cache: KvCache, sources: list[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Return the prefix of the sources whose import saves the most time.

    Only prefixes that end where the next block is at another store instance are
    considered, since that instance's link may be slow. If none saves time, all sources
    are returned.
    """
    best: list[tuple[str, str]] = []
    best_s = 0.0
    for count in range(1, len(sources) + 1):
        if count < len(sources) and sources[count][1] == sources[count - 1][1]:
            continue
        cost = estimate_cost(cache, sources[:count])
        saved_s = cost.estimate_recompute_s(count) - cost.estimate_import_s(count)
        if saved_s > best_s:
            best, best_s = sources[:count], saved_s
    return best or sources


def estimate_cost(cache: KvCache, sources: Sequence[tuple[str, str]]) -> ImportCost:
    """Estimate the cost of an import, by the slowest link that it needs."""
    links = [cache.links[store] for store in {store for _, store in sources}]
    speed = min((link.speed_bytes_s for link in links), default=1.0)
    pending = max((link.pending_blocks for link in links), default=0)
    import_s = cache.kv_block_bytes / max(speed, 1.0)
    return ImportCost(cache.rate.recompute_s, import_s, pending * import_s)
