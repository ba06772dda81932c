"""Whether a prompt's blocks are imported, and from which store instances."""

from collections.abc import Sequence

from masticdrum.core.cachestate import KeptCache, Prompt
from masticdrum.core.importcost import ImportCost, choose_import, find_late_s
from masticdrum.core.imports import Import


def plan_import(cache: KeptCache, prompt: Prompt, now: float) -> None:
    """Queue an import of the prompt's kept blocks if that beats computing them."""
    sources = choose_prefix(cache, find_sources(cache, prompt.keys, now))
    cost = find_cost(cache, sources)
    if not choose_import(cost, len(sources), prompt.urgency):
        return
    late_at = now + find_late_s(cost, len(sources), prompt.urgency)
    job = Import(
        prompt.attempt,
        prompt.workspace,
        prompt.version,
        prompt.urgency,
        sources,
        late_at,
    )
    cache.imports.add(job)


def find_sources(
    cache: KeptCache, keys: Sequence[str], now: float
) -> list[tuple[str, str]]:
    """Return the blocks behind the held prefix that may be kept, with their stores."""
    sources: list[tuple[str, str]] = []
    for number in range(cache.index.count_held(keys), len(keys)):
        key = keys[number]
        store = cache.index.kept.get(key, "") or cache.find_store(keys, number, now)
        if not store or cache.index.is_missing(key, now):
            break
        if store not in cache.links or not cache.links[store].is_up(now):
            break
        sources.append((key, store))
    return sources


def choose_prefix(
    cache: KeptCache, sources: list[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Return the prefix of the sources whose import saves the most time.

    A prefix may end where the next block is at another store instance, whose link may
    be slow.
    """
    best: list[tuple[str, str]] = []
    best_s = 0.0
    for count in range(1, len(sources) + 1):
        if count < len(sources) and sources[count][1] == sources[count - 1][1]:
            continue
        cost = find_cost(cache, sources[:count])
        saved_s = cost.count_recompute_s(count) - cost.count_import_s(count)
        if saved_s > best_s:
            best, best_s = sources[:count], saved_s
    return best or sources


def find_cost(cache: KeptCache, sources: Sequence[tuple[str, str]]) -> ImportCost:
    """Weigh an import by the slowest link that it needs."""
    links = [cache.links[store] for store in {store for _, store in sources}]
    speed = min((link.speed_bytes_s for link in links), default=1.0)
    pending = max((link.pending_blocks for link in links), default=0)
    import_s = cache.block_bytes / max(speed, 1.0)
    return ImportCost(cache.rate.recompute_s, import_s, pending * import_s)
