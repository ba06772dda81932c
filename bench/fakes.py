"""Small engines and store instances for the bench, in virtual time."""

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

BLOCK_S = 0.2  # to compute one block
STEP_S = 0.05  # of prefill, between which more urgent work goes first
TOKEN_S = 0.03
TOKENS_A_FRAME = 12
ENGINE_BLOCKS = 200
BLOCK_KV_BYTES = 40_000_000
LINK_BYTES_S = 3.125e9
STORE_BLOCKS = 8000
ROUND_TRIP_S = 0.003
WARM_CEILING = 16
COLD_CEILING = 4
COLD_GROWTH = 2.0  # runs for each second of work
PRIORITIES = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.BACKGROUND: 2}

At = Callable[[float, Callable[[], None]], None]
Tell = Callable[[Any], None]


class EngineRun:
    """One run at an engine; ``left_s`` is the prefill still to do."""

    __slots__ = ("begun", "begun_at", "cancelled", "left_s", "start", "started_at")

    def __init__(self, start: StartRun, now: float) -> None:
        self.start = start
        self.started_at = now
        self.begun_at = now
        self.begun = False
        self.cancelled = False
        self.left_s = 0.0


class Engine:
    """An engine: one prefill step at a time by priority, decoding beside it."""

    def __init__(self, name: str, at: At, clock: Callable[[], float]) -> None:
        self.name = name
        self.at = at
        self.clock = clock
        self.tell: Tell = lambda event: None
        self.boot = 1
        self.up = True
        self.worked_s = 60.0
        self.runs: dict[str, EngineRun] = {}
        self.queue: list[tuple[int, int, EngineRun]] = []
        self.held: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[str, bool]] = []
        self.told = 0
        self.busy = False
        self.count = 0
        self.computed = 0
        self.busy_s = 0.0
        self.worst_overload = 0.0
        self.note_first: Callable[[EngineRun], None] = lambda run: None

    def find_ceiling(self) -> float:
        """Return how many runs the engine bears now."""
        return min(WARM_CEILING, COLD_CEILING + self.worked_s * COLD_GROWTH)

    def start(self, effect: StartRun) -> None:
        """Take a run."""
        if not self.up:
            self.tell(RunFailed(effect.attempt, False, detail="down"))
            return
        run = EngineRun(effect, self.clock())
        self.runs[effect.attempt] = run
        overload = len(self.runs) / self.find_ceiling()
        self.worst_overload = max(self.worst_overload, overload)
        self.push(run)
        self.step()

    def cancel(self, attempt: str) -> None:
        """Cancel a run."""
        run = self.runs.pop(attempt, None)
        if run is not None:
            run.cancelled = True

    def push(self, run: EngineRun) -> None:
        """Queue a run's prefill by its priority."""
        self.count += 1
        heappush(self.queue, (PRIORITIES[run.start.urgency], self.count, run))

    def step(self) -> None:
        """Do the next step of prefill, if there is any."""
        while self.queue and not self.busy:
            priority, count, run = heappop(self.queue)
            if run.cancelled:
                continue
            if not run.begun:
                self.begin(run)
            self.compute(run, (priority, count))

    def compute(self, run: EngineRun, place: tuple[int, int]) -> None:
        """Compute one step of a run's prefill."""
        step_s = min(STEP_S, run.left_s)
        boot = self.boot
        self.busy = True
        self.at(self.clock() + step_s, lambda: self.end_step(boot, run, place, step_s))

    def begin(self, run: EngineRun) -> None:
        """Find what of a prompt is cached, and what is to be computed."""
        run.begun = True
        run.begun_at = self.clock()
        blocks = run.start.blocks
        cached = 0
        while cached < len(blocks) and blocks[cached] in self.held:
            self.held.move_to_end(blocks[cached])
            cached += 1
        whole = len(run.start.prompt) // BLOCK_TEXT
        recomputed = whole - cached
        tail = len(run.start.prompt) / BLOCK_TEXT - whole
        run.left_s = (recomputed + tail) * BLOCK_S
        self.computed += recomputed
        self.tell(RunBegun(run.start.attempt, "v1", cached, recomputed))

    def end_step(
        self, boot: int, run: EngineRun, place: tuple[int, int], step_s: float
    ) -> None:
        """End a step; the run goes on in its place or gives its first token."""
        if boot != self.boot:
            return
        self.busy = False
        self.worked_s += step_s
        self.busy_s += step_s
        run.left_s -= step_s
        if run.cancelled:
            pass
        elif run.left_s > 1e-9:
            heappush(self.queue, (*place, run))
        else:
            self.hold(run.start.blocks)
            self.note_first(run)
            self.give_tokens(boot, run, len(run.start.delivered), 1)
        self.step()

    def give_tokens(self, boot: int, run: EngineRun, first: int, count: int) -> None:
        """Give tokens that are made, and make the next ones."""
        if boot != self.boot or run.cancelled:
            return
        attempt = run.start.attempt
        self.tell(RunTokens(attempt, first, ("t",) * count))
        first += count
        more = min(run.start.max_tokens - first, TOKENS_A_FRAME)
        if more <= 0:
            self.runs.pop(attempt, None)
            self.tell(RunEnded(attempt, "length"))
            return
        at = self.clock() + more * TOKEN_S
        self.at(at, lambda: self.give_tokens(boot, run, first, more))

    def hold(self, keys: tuple[str, ...]) -> None:
        """Hold blocks, the deepest used longest ago, and evict what has no room."""
        for key in reversed(keys):
            if key not in self.held:
                self.events.append((key, True))
            self.held[key] = None
            self.held.move_to_end(key)
        while len(self.held) > ENGINE_BLOCKS:
            key, _ = self.held.popitem(last=False)
            self.events.append((key, False))

    def stop(self) -> None:
        """Go down at once and lose everything."""
        self.up = False
        self.busy = False
        self.boot += 1
        self.queue.clear()
        self.held.clear()
        self.events.clear()
        self.told = 0
        for attempt, run in list(self.runs.items()):
            run.cancelled = True
            self.tell(RunFailed(attempt, True, detail="down"))
        self.runs.clear()

    def come_back(self) -> None:
        """Come back cold."""
        self.up = True
        self.worked_s = 0.0

    def report(self) -> None:
        """Tell the load and the cache events."""
        if not self.up:
            self.tell(LoadReported(False))
            return
        boot = f"{self.name}-{self.boot}"
        self.tell(LoadReported(True, len(self.runs), boot, "v1"))
        fresh = dict(self.events[self.told :])
        self.told = len(self.events)
        if fresh:
            held = tuple(key for key, is_held in fresh.items() if is_held)
            evicted = tuple(key for key, is_held in fresh.items() if not is_held)
            self.tell(BlocksChanged(self.told, held, evicted))


class StoreInstance:
    """A store instance: blocks, the least recently used evicted, behind one link."""

    def __init__(self) -> None:
        self.blocks: OrderedDict[str, None] = OrderedDict()
        self.rate = LINK_BYTES_S
        self.dead = False
        self.free_at = 0.0
        self.carried = 0

    def book(self, now: float) -> float:
        """Book one block on the link and return when it is over."""
        self.free_at = max(now, self.free_at) + BLOCK_KV_BYTES / self.rate
        self.carried += BLOCK_KV_BYTES
        return self.free_at

    def lose(self) -> None:
        """Die with everything that was kept."""
        self.dead = True
        self.blocks.clear()

    def keep(self, key: str) -> None:
        """Keep a block."""
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

    def fetch_next(self, effect: FetchBlocks, place: int, begun_at: float) -> None:
        """Fetch the block at ``place``, or end."""
        if place == len(effect.sources):
            self.end_fetch(effect, place, begun_at)
            return
        key, address = effect.sources[place]
        store = self.stores[address]
        now = self.engine.clock()
        if store.dead:
            self.end_fetch(effect, place, begun_at, failed=(address,))
        elif key not in store.blocks:
            self.end_fetch(effect, place, begun_at, missing=(key,))
        else:
            store.blocks.move_to_end(key)
            at = store.book(now + ROUND_TRIP_S)
            self.engine.at(at, lambda: self.end_block(effect, place, begun_at))

    def end_block(self, effect: FetchBlocks, place: int, begun_at: float) -> None:
        """Import a block that came."""
        if self.engine.up:
            self.engine.hold((effect.sources[place][0],))
        self.fetch_next(effect, place + 1, begun_at)

    def end_fetch(
        self,
        effect: FetchBlocks,
        place: int,
        begun_at: float,
        missing: tuple[str, ...] = (),
        failed: tuple[str, ...] = (),
    ) -> None:
        """Tell how a fetch ended, after a round trip."""
        at = self.engine.clock() + ROUND_TRIP_S
        event = BlocksFetched(
            attempt=effect.attempt,
            imported=tuple(key for key, _ in effect.sources[:place]),
            rejected=(),
            link_bytes=place * BLOCK_KV_BYTES,
            took_s=at - begun_at,
            missing=missing,
            failed=failed,
        )
        self.engine.at(at, lambda: self.engine.tell(event))

    def keep(self, effect: ExportBlock) -> None:
        """Export a block, unless the store has it or the engine doesn't."""
        store = self.stores[effect.store]
        now = self.engine.clock()
        soon = now + ROUND_TRIP_S
        if store.dead:
            self.end_keep(effect, soon, False)
        elif effect.key in store.blocks:
            self.end_keep(effect, soon, True)
        elif effect.key not in self.engine.held:
            self.end_keep(effect, soon, False, evicted=True)
        else:
            at = store.book(soon)
            self.engine.at(at, lambda: store.keep(effect.key))
            self.end_keep(effect, at, True, BLOCK_KV_BYTES, at - now)

    def end_keep(
        self,
        effect: ExportBlock,
        at: float,
        kept: bool,
        link_bytes: int = 0,
        took_s: float = ROUND_TRIP_S,
        evicted: bool = False,
    ) -> None:
        """Tell how an export ended."""
        event = BlockExported(effect.key, kept, link_bytes, took_s, evicted=evicted)
        self.engine.at(at, lambda: self.engine.tell(event))
