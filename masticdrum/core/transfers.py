"""Transfers of blocks between an agent's engine and store instances: start and end."""

from masticdrum.core.cachestate import MOVED_S, CacheEffect, KeptCache
from masticdrum.core.imports import Import
from masticdrum.core.invariants import require
from masticdrum.core.storelinks import StoreLink
from masticdrum.model.agent_events import BlockKept, BlocksFetched, KeepBlock
from masticdrum.model.telemetry import Count, Counter

BLOCK_BYTES_GAIN = 0.25


def start_transfers(cache: KeptCache, now: float) -> list[CacheEffect]:
    """Start what the links have room for: imports, then exports."""
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


def start_export(cache: KeptCache, link: StoreLink) -> list[CacheEffect]:
    """Start the export of highest worth to a store, if the engine still holds one."""
    while candidate := cache.keeping.take_best(link.address):
        if candidate.key in cache.index.kept or candidate.key not in cache.index.held:
            continue
        block = cache.index.seen.get(candidate.key)
        require(
            block is None or block.workspace == candidate.workspace,
            f"block '{candidate.key}' is kept for its own workspace only",
        )
        cache.keeping.begin(candidate, link.address)
        link.exports += 1
        return [
            KeepBlock(
                candidate.key, candidate.workspace, candidate.version, link.address
            )
        ]
    return []


def take_fetched(
    cache: KeptCache, event: BlocksFetched, now: float
) -> list[CacheEffect]:
    """Take the end of a piece in; a block that did not come ends the import there."""
    job = cache.imports.end_piece(event.attempt)
    if job is None:
        return []
    stores = dict(job.ended)
    note_transfer(cache, event, stores, now)
    if job.version == cache.version:
        cache.index.note_held(event.imported, now)
    whole = len(event.imported) == len(job.ended)
    if whole and job.sources:
        return count_fetched(event) + start_transfers(cache, now)
    second = find_second(cache, job, event, now)
    if second:
        cache.imports.redirect(job, second)
    else:
        cache.imports.drop(event.attempt)
    return count_fetched(event) + start_transfers(cache, now)


def find_second(
    cache: KeptCache, job: Import, event: BlocksFetched, now: float
) -> list[tuple[str, str]]:
    """Return where else the blocks of an import may be, from the missing one on.

    While stores come and go, blocks are kept at the next store in their order, and
    an agent can't know which ones others kept there.
    """
    known = job.attempt in cache.imports.waiting and not job.redirected
    if not event.missing or not known or now >= cache.moved_until:
        return []
    left = job.ended[len(event.imported) :] + job.sources
    missed = left[0][1]
    others = [
        address
        for address in cache.addresses.values()
        if address != missed and cache.links[address].is_up(now)
    ]
    if not others:
        return []
    return [(key, others[0] if store == missed else store) for key, store in left]


def count_fetched(event: BlocksFetched) -> list[CacheEffect]:
    """Count what a piece brought."""
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


def note_transfer(
    cache: KeptCache, event: BlocksFetched, stores: dict[str, str], now: float
) -> None:
    """Learn from a piece about its links and blocks."""
    for key in event.imported:
        cache.index.note_kept(key, stores[key])
    for key in (*event.missing, *event.rejected):
        cache.index.note_missing(key, now)
    for store in event.failed:
        if store in cache.links:
            cache.links[store].note_failed(now)
            cache.index.forget_store(store)
            cache.moved_until = now + MOVED_S
    if not event.imported:
        return
    size = event.link_bytes / len(event.imported)
    cache.block_bytes += BLOCK_BYTES_GAIN * (size - cache.block_bytes)
    for store in {stores[key] for key in event.imported}:
        cache.links[store].note_done(event.link_bytes, event.took_s)


def take_kept(cache: KeptCache, event: BlockKept, now: float) -> list[CacheEffect]:
    """Take the end of an export in."""
    ended = cache.keeping.end(event.key)
    if ended is None:
        return []
    _, store = ended
    link = cache.links[store]
    link.exports -= 1
    counts: list[CacheEffect] = []
    if event.kept:
        cache.index.note_kept(event.key, store)
        link.note_done(event.link_bytes, event.took_s)
    elif event.full:
        link.note_full(now)
    elif event.evicted:
        cache.index.held.pop(event.key, None)
        counts.append(Count(Counter.BLOCKS, "evicted before export"))
    else:
        link.note_failed(now)
    if event.link_bytes:
        counts.append(Count(Counter.LINK_BYTES, "export", event.link_bytes))
    if event.kept and event.link_bytes:
        counts.append(Count(Counter.BLOCKS, "exported"))
    return counts + start_transfers(cache, now)
