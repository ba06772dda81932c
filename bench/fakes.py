"""Simulated engines and store instances in virtual time."""

from collections import OrderedDict
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from bench.deployments import BLOCK_TEXT
from masticdrum.model.agent_events import (
    BlockExported,
    BlocksChanged,
    BlocksFetched,
    ExportBlock,
    FetchBlocks,
    LoadReported,
    RunBegun,
    RunEnded,
    RunFailed,
    RunTokens,
    StartRun,
)
from masticdrum.model.tables import Urgency

BLOCK_S = 0.2  # of prefill for one block
STEP_S = 0.05  # of prefill; more urgent work can run between two steps
TOKEN_S = 0.03
TOKENS_A_FRAME = 12
ENGINE_BLOCKS = 200
BLOCK_KV_BYTES = 40_000_000
LINK_BYTES_S = 3.125e9
STORE_BLOCKS = 8000
ROUND_TRIP_S = 0.003
WARM_RUN_LIMIT = 16
COLD_RUN_LIMIT = 4
RUN_LIMIT_GROWTH = 2.0  # runs for each second of prefill done
PRIORITIES = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.BACKGROUND: 2}

At = Callable[[float, Callable[[], None]], None]
Emit = Callable[[Any], None]


class EngineRun:
    """One run at an engine; ``left_s`` is its remaining prefill time."""

    __slots__ = ("begun", "begun_at", "cancelled", "left_s", "start", "started_at")

    def __init__(self, start: StartRun, now: float) -> None:
        self.start = start
        self.started_at = now
        self.begun_at = now
        self.begun = False
        self.cancelled = False
        self.left_s = 0.0


class Engine:
    """An engine: one prefill step at a time by priority; decoding runs in parallel."""

    def __init__(self, name: str, at: At, clock: Callable[[], float]) -> None:
        self.name = name
        self.at = at
        self.clock = clock
        self.emit: Emit = lambda event: None
        self.boot = 1
        self.up = True
        self.worked_s = 60.0
        self.runs: dict[str, EngineRun] = {}
        self.queue: list[tuple[int, int, EngineRun]] = []
        self.cached_blocks: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[str, bool]] = []
        self.reported_events = 0
        self.busy = False
        self.last_order = 0
        self.computed_blocks = 0
        self.busy_s = 0.0
        self.worst_overload = 0.0
        self.on_first_token: Callable[[EngineRun], None] = lambda run: None

    def compute_run_limit(self) -> float:
        """Return how many concurrent runs the engine can serve now."""
        return min(WARM_RUN_LIMIT, COLD_RUN_LIMIT + self.worked_s * RUN_LIMIT_GROWTH)

    def start(self, effect: StartRun) -> None:
        """Start a run, or report its failure if the engine is down."""
        if not self.up:
            self.emit(RunFailed(effect.attempt, False, detail="down"))
            return
        run = EngineRun(effect, self.clock())
        self.runs[effect.attempt] = run
        overload = len(self.runs) / self.compute_run_limit()
        self.worst_overload = max(self.worst_overload, overload)
        self.push(run)
        self.step()

    def cancel(self, attempt: str) -> None:
        """Cancel a run."""
        run = self.runs.pop(attempt, None)
        if run is not None:
            run.cancelled = True

    def push(self, run: EngineRun) -> None:
        """Queue a run's prefill by urgency, then by arrival."""
        self.last_order += 1
        heappush(self.queue, (PRIORITIES[run.start.urgency], self.last_order, run))

    def step(self) -> None:
        """Start the next prefill step, if one is queued and none is running."""
        while self.queue and not self.busy:
            priority, order, run = heappop(self.queue)
            if run.cancelled:
                continue
            if not run.begun:
                self.begin(run)
            self.compute(run, (priority, order))

    def compute(self, run: EngineRun, queue_key: tuple[int, int]) -> None:
        """Compute one step of a run's prefill."""
        step_s = min(STEP_S, run.left_s)
        boot = self.boot
        self.busy = True
        self.at(
            self.clock() + step_s,
            lambda: self.finish_step(boot, run, queue_key, step_s),
        )

    def begin(self, run: EngineRun) -> None:
        """Begin a run: compute how much of its prompt still needs prefill."""
        run.begun = True
        run.begun_at = self.clock()
        blocks = run.start.blocks
        cached = 0
        while cached < len(blocks) and blocks[cached] in self.cached_blocks:
            self.cached_blocks.move_to_end(blocks[cached])
            cached += 1
        whole = len(run.start.prompt) // BLOCK_TEXT
        recomputed = whole - cached
        tail = len(run.start.prompt) / BLOCK_TEXT - whole
        run.left_s = (recomputed + tail) * BLOCK_S
        self.computed_blocks += recomputed
        self.emit(RunBegun(run.start.attempt, "v1", cached, recomputed))

    def finish_step(
        self, boot: int, run: EngineRun, queue_key: tuple[int, int], step_s: float
    ) -> None:
        """Finish a step; queue the run again as before, or emit its first token."""
        if boot != self.boot:
            return
        self.busy = False
        self.worked_s += step_s
        self.busy_s += step_s
        run.left_s -= step_s
        if run.cancelled:
            pass
        elif run.left_s > 1e-9:
            heappush(self.queue, (*queue_key, run))
        else:
            self.cache_blocks(run.start.blocks)
            self.on_first_token(run)
            self.emit_tokens(boot, run, len(run.start.delivered), 1)
        self.step()

    def emit_tokens(self, boot: int, run: EngineRun, first: int, count: int) -> None:
        """Emit finished tokens and schedule the next ones, or end the run."""
        if boot != self.boot or run.cancelled:
            return
        attempt = run.start.attempt
        self.emit(RunTokens(attempt, first, ("t",) * count))
        first += count
        more = min(run.start.max_tokens - first, TOKENS_A_FRAME)
        if more <= 0:
            self.runs.pop(attempt, None)
            self.emit(RunEnded(attempt, "length"))
            return
        at = self.clock() + more * TOKEN_S
        self.at(at, lambda: self.emit_tokens(boot, run, first, more))

    def cache_blocks(self, keys: tuple[str, ...]) -> None:
        """Cache blocks, deepest as least recently used; evict the excess."""
        for key in reversed(keys):
            if key not in self.cached_blocks:
                self.events.append((key, True))
            self.cached_blocks[key] = None
            self.cached_blocks.move_to_end(key)
        while len(self.cached_blocks) > ENGINE_BLOCKS:
            key, _ = self.cached_blocks.popitem(last=False)
            self.events.append((key, False))

    def stop(self) -> None:
        """Stop at once: fail all runs and drop the cache."""
        self.up = False
        self.busy = False
        self.boot += 1
        self.queue.clear()
        self.cached_blocks.clear()
        self.events.clear()
        self.reported_events = 0
        for attempt, run in list(self.runs.items()):
            run.cancelled = True
            self.emit(RunFailed(attempt, True, detail="down"))
        self.runs.clear()

    def restart(self) -> None:
        """Restart with a cold run limit."""
        self.up = True
        self.worked_s = 0.0

    def report(self) -> None:
        """Report the load and the cache events since the last report."""
        if not self.up:
            self.emit(LoadReported(False))
            return
        boot = f"{self.name}-{self.boot}"
        self.emit(LoadReported(True, len(self.runs), boot, "v1"))
        fresh = dict(self.events[self.reported_events :])
        self.reported_events = len(self.events)
        if fresh:
            added = tuple(key for key, is_cached in fresh.items() if is_cached)
            evicted = tuple(key for key, is_cached in fresh.items() if not is_cached)
            self.emit(BlocksChanged(self.reported_events, added, evicted))


class StoreInstance:
    """A store instance: an LRU cache of blocks behind one link."""

    def __init__(self) -> None:
        self.blocks: OrderedDict[str, None] = OrderedDict()
        self.rate = LINK_BYTES_S
        self.stopped = False
        self.free_at = 0.0
        self.carried_bytes = 0

    def schedule_transfer(self, now: float) -> float:
        """Schedule the transfer of one block on the link and return its end time."""
        self.free_at = max(now, self.free_at) + BLOCK_KV_BYTES / self.rate
        self.carried_bytes += BLOCK_KV_BYTES
        return self.free_at

    def stop(self) -> None:
        """Stop and lose all blocks."""
        self.stopped = True
        self.blocks.clear()

    def store_block(self, key: str) -> None:
        """Store a block, evicting the least recently used ones."""
        self.blocks[key] = None
        self.blocks.move_to_end(key)
        while len(self.blocks) > STORE_BLOCKS:
            self.blocks.popitem(last=False)


class Transfers:
    """Carries out one agent's transfers between its engine and the stores."""

    def __init__(self, engine: Engine, stores: dict[str, StoreInstance]) -> None:
        self.engine = engine
        self.stores = stores

    def fetch(self, effect: FetchBlocks) -> None:
        """Fetch blocks one after the other."""
        self.fetch_next(effect, 0, self.engine.clock())

    def fetch_next(self, effect: FetchBlocks, index: int, begun_at: float) -> None:
        """Fetch the block at ``index``, or finish after the last one."""
        if index == len(effect.sources):
            self.finish_fetch(effect, index, begun_at)
            return
        key, address = effect.sources[index]
        store = self.stores[address]
        now = self.engine.clock()
        if store.stopped:
            self.finish_fetch(effect, index, begun_at, failed=(address,))
        elif key not in store.blocks:
            self.finish_fetch(effect, index, begun_at, missing=(key,))
        else:
            store.blocks.move_to_end(key)
            at = store.schedule_transfer(now + ROUND_TRIP_S)
            self.engine.at(at, lambda: self.finish_block(effect, index, begun_at))

    def finish_block(self, effect: FetchBlocks, index: int, begun_at: float) -> None:
        """Import a fetched block into the engine."""
        if self.engine.up:
            self.engine.cache_blocks((effect.sources[index][0],))
        self.fetch_next(effect, index + 1, begun_at)

    def finish_fetch(
        self,
        effect: FetchBlocks,
        index: int,
        begun_at: float,
        missing: tuple[str, ...] = (),
        failed: tuple[str, ...] = (),
    ) -> None:
        """Report the result of a fetch after a round trip."""
        at = self.engine.clock() + ROUND_TRIP_S
        event = BlocksFetched(
            attempt=effect.attempt,
            imported=tuple(key for key, _ in effect.sources[:index]),
            rejected=(),
            link_bytes=index * BLOCK_KV_BYTES,
            took_s=at - begun_at,
            missing=missing,
            failed=failed,
        )
        self.engine.at(at, lambda: self.engine.emit(event))

    def export(self, effect: ExportBlock) -> None:
        """Export a block, unless the store has it already or the engine evicted it."""
        store = self.stores[effect.store]
        now = self.engine.clock()
        soon = now + ROUND_TRIP_S
        if store.stopped:
            self.finish_export(effect, soon, False)
        elif effect.key in store.blocks:
            self.finish_export(effect, soon, True)
        elif effect.key not in self.engine.cached_blocks:
            self.finish_export(effect, soon, False, evicted=True)
        else:
            at = store.schedule_transfer(soon)
            self.engine.at(at, lambda: store.store_block(effect.key))
            self.finish_export(effect, at, True, BLOCK_KV_BYTES, at - now)

    def finish_export(
        self,
        effect: ExportBlock,
        at: float,
        stored: bool,
        link_bytes: int = 0,
        took_s: float = ROUND_TRIP_S,
        evicted: bool = False,
    ) -> None:
        """Report the result of an export."""
        event = BlockExported(effect.key, stored, link_bytes, took_s, evicted=evicted)
        self.engine.at(at, lambda: self.engine.emit(event))
