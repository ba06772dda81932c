"""Starts and ends transfers of blocks between an agent's engine and store instances."""

from masticdrum.core.cachestate import MISPLACED_S, CacheEffect, KvCache
from masticdrum.core.imports import Import
from masticdrum.core.invariants import require
from masticdrum.core.storelinks import StoreLink
from masticdrum.model.agent_events import BlockExported, BlocksFetched, ExportBlock
from masticdrum.model.telemetry import Count, Counter

KV_BLOCK_BYTES_GAIN = 0.25


def start_transfers(cache: KvCache, now: float) -> list[CacheEffect]:
    """Start the transfers for which the links have capacity: imports, then exports."""
    effects: list[CacheEffect] = []
    for fetch in cache.imports.start_pieces(cache.version, now):
        require(
            fetch.version == cache.version,
            f"attempt '{fetch.attempt}' imports for the confirmed version only",
        )
        effects.append(fetch)
    for link in cache.links.values():
        if link.may_export(now):
            effects += start_export(cache, link)
    return effects


def start_export(cache: KvCache, link: StoreLink) -> list[CacheEffect]:
    """Start a store's best export among the blocks that the engine still holds."""
    while candidate := cache.export_policy.pop_best(link.address):
        if candidate.key in cache.index.stored or candidate.key not in cache.index.held:
            continue
        block = cache.index.seen.get(candidate.key)
        require(
            block is None or block.workspace == candidate.workspace,
            f"block '{candidate.key}' is exported for its own workspace only",
        )
        cache.export_policy.begin(candidate, link.address)
        link.exports += 1
        return [
            ExportBlock(
                candidate.key, candidate.workspace, candidate.version, link.address
            )
        ]
    return []


def handle_fetched(
    cache: KvCache, event: BlocksFetched, now: float
) -> list[CacheEffect]:
    """Handle the end of a piece.

    A block that was not imported ends the import, unless it may be at another store.
    """
    job = cache.imports.end_piece(event.attempt)
    if job is None:
        return []
    stores = dict(job.last_piece)
    record_transfer(cache, event, stores, now)
    if job.version == cache.version:
        cache.index.record_held(event.imported, now)
    whole = len(event.imported) == len(job.last_piece)
    if whole and job.sources:
        return build_counts(event) + start_transfers(cache, now)
    second = list_alternatives(cache, job, event, now)
    if second:
        cache.imports.redirect(job, second)
    else:
        cache.imports.drop(event.attempt)
    return build_counts(event) + start_transfers(cache, now)


def list_alternatives(
    cache: KvCache, job: Import, event: BlocksFetched, now: float
) -> list[tuple[str, str]]:
    """Return where else the blocks of an import may be, from the missing one on.

    While a block's home store is absent, agents store the block at the next one in its
    ranking, and an agent can't know which blocks other agents stored there.
    """
    known = job.attempt in cache.imports.waiting and not job.redirected
    if not event.missing or not known or now >= cache.misplaced_until:
        return []
    left = job.last_piece[len(event.imported) :] + job.sources
    missed = left[0][1]
    others = [
        address
        for address in cache.addresses.values()
        if address != missed and cache.links[address].is_up(now)
    ]
    if not others:
        return []
    return [(key, others[0] if store == missed else store) for key, store in left]


def build_counts(event: BlocksFetched) -> list[CacheEffect]:
    """Return the counter updates for a fetched piece."""
    counts: list[CacheEffect] = [
        Count(Counter.BLOCKS, reason, len(keys))
        for reason, keys in (
            ("imported", event.imported),
            ("rejected", event.rejected),
            ("missing", event.missing),
        )
        if keys
    ]
    if event.link_bytes:
        counts.append(Count(Counter.LINK_BYTES, "import", event.link_bytes))
    return counts


def record_transfer(
    cache: KvCache, event: BlocksFetched, stores: dict[str, str], now: float
) -> None:
    """Record what the result of a piece shows about its links and blocks."""
    for key in event.imported:
        cache.index.record_stored(key, stores[key])
    for key in (*event.missing, *event.rejected):
        cache.index.record_missing(key, now)
    for store in event.failed:
        if store in cache.links:
            cache.links[store].record_failure(now)
            cache.index.forget_store(store)
            cache.misplaced_until = now + MISPLACED_S
    if not event.imported:
        return
    size = event.link_bytes / len(event.imported)
    cache.kv_block_bytes += KV_BLOCK_BYTES_GAIN * (size - cache.kv_block_bytes)
    for store in {stores[key] for key in event.imported}:
        cache.links[store].record_success(event.link_bytes, event.took_s)


def handle_exported(
    cache: KvCache, event: BlockExported, now: float
) -> list[CacheEffect]:
    """Handle the end of an export."""
    ended = cache.export_policy.end(event.key)
    if ended is None:
        return []
    _, store = ended
    link = cache.links[store]
    link.exports -= 1
    counts: list[CacheEffect] = []
    if event.is_stored:
        cache.index.record_stored(event.key, store)
        link.record_success(event.link_bytes, event.took_s)
    elif event.full:
        link.record_full(now)
    elif event.evicted:
        cache.index.held.pop(event.key, None)
        counts.append(Count(Counter.BLOCKS, "evicted before export"))
    else:
        link.record_failure(now)
    if event.link_bytes:
        counts.append(Count(Counter.LINK_BYTES, "export", event.link_bytes))
    if event.is_stored and event.link_bytes:
        counts.append(Count(Counter.BLOCKS, "exported"))
    return counts + start_transfers(cache, now)
