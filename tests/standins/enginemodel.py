"""A model engine without I/O: batches, prefix cache, priorities, cold starts."""

from collections import OrderedDict, deque
from math import inf
from typing import Any

from msgspec import Struct, field
from xxhash import xxh64_hexdigest, xxh64_intdigest

from tests.standins.server import Faults

RUN_RETENTION = 60.0  # seconds that an ended run's tokens can still be read
MAX_EVENTS = 10_000


class EngineFaults(Faults):
    """Settings and faults of an engine; times are seconds, sizes bytes.

    The name of each boot starts with ``name``. Each block of a prompt that is not
    cached costs ``block_s`` of prefill, then a token is generated every ``token_s``;
    one prefill runs at a time. A line of a stream carries at least ``line_tokens``,
    except for the last one. ``batch`` runs share the engine, others wait. A cold
    engine accepts ``cold_ceiling`` open runs and ``cold_growth`` more for each second
    of work; a further run crashes it, and it needs ``restart_s`` to restart. It is
    warm after ``warm_after_s`` of work. Every ``events_gap``-th cache event is lost.
    A prompt that contains ``crash_text`` crashes the engine. An answer is
    ``stop_after`` tokens long, if that is above zero and at most ``max_tokens``.
    """

    name: str = "engine"
    version: str = "v1"
    token_s: float = 0.044
    line_tokens: int = 1
    block_s: float = 0.2
    batch: int = 16
    max_waiting: int = 64
    capacity_blocks: int = 64
    payload_bytes: int = 4096
    cold_ceiling: int = 1000
    cold_growth: float = 0.0
    warm_after_s: float = 0.0
    restart_s: float = 1.0
    report_lag_s: float = 0.0
    events_lag_s: float = 0.0
    events_gap: int = 0
    checks_fence: bool = True
    load_s: float = 1.0
    weights: str = ""
    crash_text: str = ""
    stop_after: int = 0


class RunBody(Struct):
    """The body of ``POST /runs``; ``max_tokens`` includes the delivered tokens."""

    run: str
    prompt: str
    max_tokens: int
    delivered: list[str] = field(default_factory=list)
    priority: int = 0
    version: str = ""
    blocks: list[str] = field(default_factory=list)


class OrderBody(Struct):
    """The body of ``POST /orders``."""

    order: str
    action: str
    target: str
    fence: int = 0


class Run(Struct, eq=False):
    """One run, which generates the tokens from ``first`` to ``last - 1``."""

    body: RunBody
    version: str
    first: int
    last: int
    reason: str
    begun_at: float = inf
    ready_at: float = inf
    ended_at: float = inf
    cached: int = 0
    recomputed: int = 0
    aborted: bool = False

    def make_tokens(self, first: int, last: int) -> list[str]:
        """Make the run's tokens from ``first`` to ``last - 1``."""
        return make_tokens(self.body.prompt, first, last, self.version)


class LoadReport(Struct):
    """The answer to ``GET /load``."""

    boot: str
    version: str
    running: int
    waiting: int
    cold: bool


def make_token(prompt: str, number: int, version: str) -> str:
    """Make token ``number``, the same on every engine with this weight version."""
    name = f"{version}/{number}".encode()
    return xxh64_hexdigest(name, seed=xxh64_intdigest(prompt.encode()))[:5] + " "


def make_tokens(prompt: str, first: int, last: int, version: str) -> list[str]:
    """Make the tokens from ``first`` to ``last - 1``."""
    return [make_token(prompt, number, version) for number in range(first, last)]


def make_payload(key: str, size: int) -> bytes:
    """Make the payload of a block, the same on every engine."""
    seed = xxh64_hexdigest(key.encode()).encode()
    return (seed * (size // len(seed) + 1))[:size]


class PrefixCache:
    """Blocks in limited memory; the least recently used is evicted first."""

    def __init__(self) -> None:
        self._payloads: OrderedDict[str, bytes] = OrderedDict()
        self._events: deque[tuple[int, float, str, bool]] = deque(maxlen=MAX_EVENTS)
        self.number = 0

    def __len__(self) -> int:
        return len(self._payloads)

    def reuse(self, keys: list[str]) -> int:
        """Return how many leading keys are cached, and mark them as recently used."""
        for count, key in enumerate(keys):
            if key not in self._payloads:
                return count
            self._payloads.move_to_end(key)
        return len(keys)

    def get(self, key: str) -> bytes | None:
        """Read a block's payload."""
        return self._payloads.get(key)

    def put(self, key: str, payload: bytes, capacity: int, now: float) -> None:
        """Store a block and evict down to ``capacity`` blocks."""
        if key not in self._payloads:
            self._record_change(key, True, now)
        self._payloads[key] = payload
        self._payloads.move_to_end(key)
        self.shrink(capacity, now)

    def shrink(self, capacity: int, now: float) -> None:
        """Evict the least recently used blocks down to ``capacity`` blocks."""
        while len(self._payloads) > capacity:
            key, _ = self._payloads.popitem(last=False)
            self._record_change(key, False, now)

    def list_events(self, after: int, until: float, gap: int) -> dict[str, Any]:
        """Return the changes after number ``after``, except for every ``gap``-th."""
        number = after
        changes: dict[str, bool] = {}
        for event, time, key, is_cached in self._events:
            if event <= after or time > until:
                continue
            number = event
            if not gap or event % gap:
                changes[key] = is_cached
        cached = [key for key, is_cached in changes.items() if is_cached]
        evicted = [key for key, is_cached in changes.items() if not is_cached]
        return {"number": number, "held": cached, "evicted": evicted}

    def _record_change(self, key: str, is_cached: bool, now: float) -> None:
        self.number += 1
        self._events.append((self.number, now, key, is_cached))


class EngineModel:
    """An engine without I/O; every method takes the time ``now`` in seconds.

    ``boot_prefix`` is part of each boot's name; it keeps the names of two processes
    apart.
    """

    def __init__(
        self, faults: EngineFaults, now: float = 0.0, boot_prefix: str = ""
    ) -> None:
        self.faults = faults
        self.boot_prefix = boot_prefix
        self.version = faults.version
        self.cache = PrefixCache()
        self.runs: dict[str, Run] = {}
        self.boots = 1
        self.falls = 0
        self.peak = 0
        self.bad_imports = 0
        self.fence = 0
        self.role = ""
        self.adapter = ""
        self._waiting: list[Run] = []
        self._prefill: Run | None = None
        self._decoding: list[Run] = []
        self._now = now
        self._starting_until = now
        self._worked_s = 0.0
        self._reports: deque[tuple[float, LoadReport]] = deque(maxlen=1000)
        self._record_load()

    @property
    def boot(self) -> str:
        """The name of the engine's current boot; a crash starts a new one."""
        return f"{self.faults.name}-{self.boot_prefix}{self.boots}"

    @property
    def is_cold(self) -> bool:
        """Whether the engine can't serve its full load yet."""
        return self._worked_s < self.faults.warm_after_s

    def is_starting(self, now: float) -> bool:
        """Return whether the engine is still starting and answers no request."""
        return now < self._starting_until

    def start(self, body: RunBody, now: float) -> int:
        """Accept a run; return an HTTP status.

        That is 200, also for a known run; 409 for another weight version, 429 when
        full, or 503 while starting or when the run crashes a cold engine.
        """
        self.advance(now)
        if self.is_starting(now):
            return 503
        if body.run in self.runs:
            return 200
        if body.version not in ("", self.version):
            return 409
        open_runs = len(self._waiting) + self.count_running()
        if open_runs >= self.faults.batch + self.faults.max_waiting:
            return 429
        self.peak = max(self.peak, open_runs + 1)
        if self.is_cold and open_runs + 1 > self._compute_ceiling():
            self.falls += 1
            self.crash(now)
            return 503
        self.runs[body.run] = run = self._make_run(body)
        self._waiting.append(run)
        self._waiting.sort(key=lambda run: run.body.priority)
        self._start_next_run(now)
        self._record_load()
        return 200

    def cancel(self, name: str, now: float) -> None:
        """Cancel a run and delete it."""
        self.advance(now)
        run = self.runs.pop(name, None)
        if run is None:
            return
        run.aborted = True
        self._waiting = [other for other in self._waiting if other is not run]
        self._decoding = [other for other in self._decoding if other is not run]
        self._prefill = None if self._prefill is run else self._prefill
        self._start_next_run(now)
        self._record_load()

    def crash(self, now: float) -> None:
        """Abort all runs, lose all blocks and restart."""
        for run in self.runs.values():
            run.aborted = True
        self.runs, self._waiting, self._decoding = {}, [], []
        self._prefill = None
        self.cache = PrefixCache()
        self.boots += 1
        self._worked_s = 0.0
        self._now = now
        self._starting_until = now + self.faults.restart_s
        self._record_load()

    def reset_warmup(self) -> None:
        """Make the engine cold without a restart or a new boot name."""
        self._worked_s = 0.0

    def order(self, body: OrderBody, now: float) -> int:
        """Check an order's fence and apply a role or an adapter.

        Return 200, or 409 for an old fence; ``load`` applies new weights.
        """
        if self.faults.checks_fence and body.fence < self.fence:
            return 409
        self.fence = max(self.fence, body.fence)
        if body.action == "role":
            self.role = body.target
        if body.action == "adapter":
            self.adapter = body.target
        return 200

    def load(self, version: str, now: float) -> None:
        """Serve ``version`` with an empty cache; open runs keep their version."""
        self.advance(now)
        self.cache.shrink(0, now)
        self.version = version
        self._record_load()

    def import_block(self, key: str, payload: bytes, version: str, now: float) -> int:
        """Add a block to the cache; return 204, or 409 for another weight version."""
        self.advance(now)
        if version != self.version:
            return 409
        if payload != make_payload(key, self.faults.payload_bytes):
            self.bad_imports += 1
        self.cache.put(key, payload, self.faults.capacity_blocks, now)
        return 204

    def report(self, now: float) -> LoadReport:
        """Return the load as it was ``report_lag_s`` ago."""
        self.advance(now)
        self._record_load()
        until = now - self.faults.report_lag_s
        seen = [report for time, report in self._reports if time <= until]
        return seen[-1] if seen else self._reports[0][1]

    def list_events(self, after: int, now: float) -> dict[str, Any]:
        """Return the cache events after number ``after``, with the lag and the gaps."""
        self.advance(now)
        until = now - self.faults.events_lag_s
        return self.cache.list_events(after, until, self.faults.events_gap)

    def count_generated(self, run: Run, now: float) -> int:
        """Count the tokens generated so far, including those delivered before."""
        if now < run.ready_at:
            return run.first
        if not self.faults.token_s:
            return run.last
        made = 1 + int((now - run.ready_at) / self.faults.token_s + 1e-6)
        return min(run.last, run.first + made)

    def compute_token_time(self, run: Run, number: int) -> float:
        """Compute the time at which token ``number`` is generated."""
        return run.ready_at + (number - run.first) * self.faults.token_s

    def advance(self, now: float) -> None:
        """Simulate the engine up to ``now``."""
        while (step := self._select_next_step()) is not None and step[0] <= now:
            time, run = step
            self._advance_clock(time)
            if run is self._prefill:
                self._finish_prefill(run, time)
            else:
                self._decoding.remove(run)
            self._start_next_run(time)
            self._record_load()
        self._advance_clock(now)
        self._delete_ended_runs(now)

    def count_running(self) -> int:
        """Count the runs in prefill or decoding."""
        return len(self._decoding) + (self._prefill is not None)

    def _select_next_step(self) -> tuple[float, Run] | None:
        steps = [(run.ended_at, run) for run in self._decoding]
        if self._prefill is not None:
            steps.append((self._prefill.ready_at, self._prefill))
        return min(steps, key=lambda step: step[0], default=None)

    def _start_next_run(self, now: float) -> None:
        is_full = self._prefill is not None or self.count_running() >= self.faults.batch
        if is_full or not self._waiting:
            return
        run = self._prefill = self._waiting.pop(0)
        crash_text = self.faults.crash_text
        if crash_text and crash_text in run.body.prompt:
            self.crash(now)
            return
        run.begun_at = now
        run.cached = self.cache.reuse(run.body.blocks)
        run.recomputed = len(run.body.blocks) - run.cached
        run.ready_at = now + run.recomputed * self.faults.block_s

    def _finish_prefill(self, run: Run, now: float) -> None:
        for key in run.body.blocks if run.version == self.version else []:
            payload = make_payload(key, self.faults.payload_bytes)
            self.cache.put(key, payload, self.faults.capacity_blocks, now)
        run.ended_at = max(now, self.compute_token_time(run, run.last - 1))
        self._prefill = None
        self._decoding.append(run)

    def _delete_ended_runs(self, now: float) -> None:
        cutoff = now - RUN_RETENTION
        ended = [name for name, run in self.runs.items() if run.ended_at < cutoff]
        for name in ended:
            del self.runs[name]

    def _advance_clock(self, now: float) -> None:
        if self.count_running():
            self._worked_s += now - self._now
        self._now = now

    def _compute_ceiling(self) -> int:
        growth = int(self._worked_s * self.faults.cold_growth)
        return self.faults.cold_ceiling + growth

    def _record_load(self) -> None:
        report = LoadReport(
            self.boot,
            self.version,
            self.count_running(),
            len(self._waiting),
            self.is_cold,
        )
        if not self._reports or self._reports[-1][1] != report:
            self._reports.append((self._now, report))

    def _make_run(self, body: RunBody) -> Run:
        stop = self.faults.stop_after
        first = len(body.delivered)
        stops = 0 < stop <= body.max_tokens
        last = max(first, stop if stops else body.max_tokens)
        return Run(body, self.version, first, last, "stop" if stops else "length")
