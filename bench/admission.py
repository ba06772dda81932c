"""Measures admission and retries in virtual time, against simpler policies.

Run ``python -m bench.admission``. It prints three tables and writes
``bench/results/admission.json``: how an outage and a crash loop multiply load under
four retry policies, and the time in the queue by urgency and by workspace.
"""

import heapq
import json
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from random import Random
from statistics import median
from typing import Any
from unittest.mock import patch

from msgspec import Struct

from masticdrum.core.admission import Admission
from masticdrum.core.coldstart import ColdStartGate
from masticdrum.core.retries import RetryBudget
from masticdrum.core.waiting import Ticket
from masticdrum.model.tables import ColdStart, Pool, PoolKind, Urgency

RESULTS = Path(__file__).parent / "results" / "admission.json"
SEEDS = range(1, 6)
TICK_S = 0.25
POLL_S = 0.5
TOKEN_S = 0.044
PREFILL_S = 0.1
LINK_S = 0.001
MAX_TRIES = 4
OUTAGE = (60.0, 90.0)  # begin and end, in seconds
CRASH_EVERY_S = 3.0
OUTAGE_END_S = 180.0
OUTAGE_RATE = 24.0  # first tries a second
UPSTREAMS = 8
ENTRIES = 10
FAILED_UPSTREAMS = 6  # upstreams that fail in the outage
LOAD_END_S = 240.0
RUN_TOKENS = 90  # mean tokens of a run


class Clock:
    """Virtual time: runs scheduled calls in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def after(self, delay: float, call: Callable[..., None], *values: Any) -> None:
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, call, values))

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, values = heapq.heappop(self._heap)
            call(*values)


class Upstream:
    """A simulated engine behind the real admission of its agent."""

    def __init__(self, clock: Clock, pool: Pool) -> None:
        self.clock = clock
        self.admission = Admission(pool, clock.now)
        self.boot, self.up = 0, True
        self.running: dict[str, None] = {}
        self.answers: dict[str, Callable[[str], None]] = {}
        self.tokens: dict[str, int] = {}
        clock.after(TICK_S, self._tick)
        clock.after(POLL_S, self._poll)

    def offer(self, ticket: Ticket, tokens: int, answer: Callable[[str], None]) -> None:
        """Offer a request to admission.

        ``answer`` is called with started, ended, failed, refused or expired.
        """
        if not self.up:
            self.clock.after(LINK_S, answer, "refused")
            return
        self.answers[ticket.attempt] = answer
        self.tokens[ticket.attempt] = tokens
        for refusal in self.admission.offer(ticket, self.clock.now):
            self._notify(refusal.attempt, "refused")
        self._start()

    def crash(self) -> None:
        """Fail all runs and refuse all waiting requests.

        Until ``up`` is set again, polls find the engine down.
        """
        self.up = False
        self.boot += 1
        lost, self.running = list(self.running), {}
        for attempt in lost:
            self.admission.fail(attempt, self.clock.now, certain=True)
            self._notify(attempt, "failed")
        for attempt in self.admission.list_waiting():
            self.admission.withdraw(attempt)
            self._notify(attempt, "refused")

    def _start(self) -> None:
        for ticket in self.admission.start_ready(self.clock.now):
            attempt = ticket.attempt
            self.running[attempt] = None
            self.answers[attempt]("started")
            self.clock.after(PREFILL_S, self._begin, attempt, self.boot)

    def _begin(self, attempt: str, boot: int) -> None:
        if boot != self.boot:
            return
        self.admission.begin(attempt, self.clock.now)
        self.clock.after(TOKEN_S, self._emit_token, attempt, boot)

    def _emit_token(self, attempt: str, boot: int) -> None:
        if boot != self.boot:
            return
        self.tokens[attempt] -= 1
        if self.tokens[attempt] > 0:
            self.admission.progress(attempt, 1, self.clock.now)
            self.clock.after(TOKEN_S, self._emit_token, attempt, boot)
            return
        self.running.pop(attempt, None)
        self.admission.end(attempt, self.clock.now)
        self._notify(attempt, "ended")
        self._start()

    def _notify(self, attempt: str, event: str) -> None:
        answer = self.answers.pop(attempt, None)
        if answer is not None:
            answer(event)

    def _tick(self) -> None:
        for refusal in self.admission.expire(self.clock.now):
            self._notify(refusal.attempt, "expired")
        self._start()
        self.clock.after(TICK_S, self._tick)

    def _poll(self) -> None:
        count = len(self.running)
        boot = f"boot-{self.boot}"
        self.admission.report(self.up, count, boot, self.clock.now)
        self.clock.after(POLL_S, self._poll)


class Outcome(Struct):
    """The counts of one run during the outage; ``peak_tries`` is for one second."""

    first_tries: int = 0
    tries: int = 0
    started: int = 0
    served: int = 0
    peak_tries: int = 0


class OutageRun:
    """Entries that send to upstreams, most of which fail during the outage."""

    def __init__(self, policy: str, seed: int, crash_loop: bool) -> None:
        self.policy = policy
        self.crash_loop = crash_loop
        self.random = Random(seed)
        self.clock = Clock()
        pool = Pool(
            "p",
            PoolKind.ENGINE,
            [],
            max_running=16,
            max_queued=32,
            cold_start=ColdStart(4, 2, 1.0),
        )
        self.upstreams = [Upstream(self.clock, pool) for _ in range(UPSTREAMS)]
        self.budgets = [RetryBudget(seed * 100 + n) for n in range(ENTRIES)]
        self.tries_by_second: dict[int, int] = {}
        self.outcome = Outcome()
        self.counter = 0
        self.open = 0

    def run(self) -> Outcome:
        self.clock.after(2.0, self._arrive)
        self.clock.after(OUTAGE[0], self._begin_outage)
        self.clock.after(OUTAGE[1], self._end_outage)
        self.clock.run(OUTAGE_END_S)
        first, last = int(OUTAGE[0]), int(OUTAGE[1])
        self.outcome.peak_tries = max(
            self.tries_by_second.get(s, 0) for s in range(first, last)
        )
        return self.outcome

    def _begin_outage(self) -> None:
        for upstream in self.upstreams[:FAILED_UPSTREAMS]:
            upstream.crash()
            upstream.up = self.crash_loop
        if self.crash_loop and self.clock.now + CRASH_EVERY_S < OUTAGE[1]:
            self.clock.after(CRASH_EVERY_S, self._begin_outage)

    def _end_outage(self) -> None:
        for upstream in self.upstreams[:FAILED_UPSTREAMS]:
            upstream.up = True

    def _arrive(self) -> None:
        self.clock.after(self.random.expovariate(OUTAGE_RATE), self._arrive)
        budget = self.budgets[self.random.randrange(ENTRIES)]
        self.open += 1
        budget.record_first_try(self.open // ENTRIES)
        if self._in_outage():
            self.outcome.first_tries += 1
        self._try(budget, 1, self.clock.now + 15.0)

    def _in_outage(self) -> bool:
        return OUTAGE[0] <= self.clock.now < OUTAGE[1]

    def _try(self, budget: RetryBudget, tries: int, deadline: float) -> None:
        second = int(self.clock.now)
        self.tries_by_second[second] = self.tries_by_second.get(second, 0) + 1
        counted = self._in_outage()
        self.outcome.tries += counted
        self.counter += 1
        now = self.clock.now
        ticket = Ticket(
            f"t{self.counter}", "w", Urgency.NORMAL, 1.0, deadline, arrived=now
        )

        def answer(event: str) -> None:
            if event == "started":
                self.outcome.started += counted
                return
            if event in {"failed", "refused"}:
                self._retry(budget, tries, deadline, event == "refused")
                return
            self.outcome.served += counted and event == "ended"
            self.open -= 1

        tokens = 1 + int(self.random.expovariate(1 / RUN_TOKENS))
        self.random.choice(self.upstreams).offer(ticket, tokens, answer)

    def _retry(
        self, budget: RetryBudget, tries: int, deadline: float, refused: bool
    ) -> None:
        delay = self._plan_delay(budget, tries, deadline, refused)
        if delay is None:
            self.open -= 1
            return
        self.clock.after(delay, self._try, budget, tries + 1, deadline)

    def _plan_delay(
        self, budget: RetryBudget, tries: int, deadline: float, refused: bool
    ) -> float | None:
        now = self.clock.now
        if self.policy == "at once":
            return LINK_S if tries < MAX_TRIES else None
        if self.policy == "until deadline":
            return 0.1 if now < deadline else None
        if self.policy == "no retries" or tries >= MAX_TRIES:
            return None
        at = budget.plan_retry(tries, refused, now, deadline)
        return None if at is None else at - now


class LoadRun:
    """One upstream under a steady load of mixed urgency and workspaces.

    ``plain`` gives all requests the same workspace and urgency, so that they are
    admitted in order of arrival.
    """

    def __init__(self, seed: int, load: float, ramp: ColdStart, plain: bool) -> None:
        self.random = Random(seed)
        self.clock = Clock()
        self.plain = plain
        pool = Pool(
            "p",
            PoolKind.ENGINE,
            [],
            max_running=16,
            max_queued=4096,
            cold_start=ramp,
        )
        self.upstream = Upstream(self.clock, pool)
        self.rate = load * 16 / (PREFILL_S + RUN_TOKENS * TOKEN_S)
        self.waits: dict[str, list[float]] = {}
        self.counter = 0

    def run(self) -> dict[str, list[float]]:
        self.clock.after(2.0, self._arrive)
        self.clock.run(LOAD_END_S)
        return self.waits

    def _arrive(self) -> None:
        self.clock.after(self.random.expovariate(self.rate), self._arrive)
        large = self.random.random() < 0.8
        workspace = "large" if large else f"small-{self.random.randrange(4)}"
        urgency = self.random.choices(list(Urgency), [2, 5, 3])[0]
        self._offer(workspace, urgency)

    def _offer(self, workspace: str, urgency: Urgency) -> None:
        now = self.clock.now
        self.counter += 1
        name = f"t{self.counter}"
        ticket = Ticket(name, workspace, urgency, 1.0, now + 1e6, arrived=now)
        if self.plain:
            ticket.workspace, ticket.urgency = "all", Urgency.NORMAL
        size = "large" if workspace == "large" else "small"

        def answer(event: str) -> None:
            if event == "started" and now > LOAD_END_S / 4:
                for label in (urgency.value, size):
                    waited = self.clock.now - now
                    self.waits.setdefault(label, []).append(waited)

        tokens = 1 + int(self.random.expovariate(1 / RUN_TOKENS))
        self.upstream.offer(ticket, tokens, answer)


def compute_quantile(values: list[float], part: float) -> float:
    """Return a quantile of values, or zero if there are none."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def format_spread(values: list[float]) -> str:
    """Format the median, minimum and maximum over the seeds."""
    return f"{median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def measure_outage(crash_loop: bool) -> list[dict[str, str]]:
    """Measure how much each retry policy multiplies the load in an outage."""
    rows = []
    for policy in ["no retries", "budget", "at once", "until deadline"]:
        outcomes = [OutageRun(policy, seed, crash_loop).run() for seed in SEEDS]
        rows.append(
            {
                "policy": policy,
                "tries per first try": format_spread(
                    [o.tries / o.first_tries for o in outcomes]
                ),
                "runs per first try": format_spread(
                    [o.started / o.first_tries for o in outcomes]
                ),
                "peak tries per s": format_spread([o.peak_tries for o in outcomes]),
                "served share": format_spread(
                    [o.served / o.first_tries for o in outcomes]
                ),
            }
        )
    return rows


def count_none_unconfirmed(self: ColdStartGate, occupancy: object) -> int:
    """Count no run as unconfirmed, in place of ``ColdStartGate.count_unconfirmed``.

    The gate then admits up to its limit between two load reports.
    """
    return 0


def measure_load() -> list[dict[str, str]]:
    """Measure waits by urgency and workspace, with and without each mechanism."""
    rows = []
    cases: list[tuple[str, float, int, bool, bool]] = [
        ("fair, guarded, cold limit 1", 0.5, 1, False, False),
        ("fair, guarded, cold limit 2", 0.5, 2, False, False),
        ("fair, unguarded", 0.5, 1, False, True),
        ("fair, guarded, cold limit 1", 0.8, 1, False, False),
        ("fair, guarded, cold limit 2", 0.8, 2, False, False),
        ("fair, guarded, cold limit 4", 0.8, 4, False, False),
        ("fair, unguarded", 0.8, 1, False, True),
        ("in order of arrival, unguarded", 0.8, 1, True, True),
        ("fair, guarded, cold limit 4", 1.1, 4, False, False),
        ("in order of arrival, unguarded", 1.1, 1, True, True),
    ]
    for name, load, limit, plain, unguarded in cases:
        guard: AbstractContextManager[Any] = nullcontext()
        if unguarded:
            guard = patch.object(
                ColdStartGate, "count_unconfirmed", count_none_unconfirmed
            )
        with guard:
            ramp = ColdStart(limit, 1, 1.0)
            runs = [LoadRun(seed, load, ramp, plain).run() for seed in SEEDS]
        row = {"policy": name, "load": f"{load:.1f}"}
        for label in ["urgent", "normal", "background", "small", "large"]:
            waits = [compute_quantile(run.get(label, []), 0.95) for run in runs]
            row[f"{label} p95 s"] = format_spread(waits)
        rows.append(row)
    return rows


def print_table(title: str, rows: list[dict[str, str]]) -> None:
    """Print rows with the same keys as an aligned table."""
    print(f"\n{title}")
    names = list(rows[0])
    widths = [max(len(n), *(len(row[n]) for row in rows)) for n in names]
    for row in [dict(zip(names, names, strict=True)), *rows]:
        cells = (row[n].ljust(w) for n, w in zip(names, widths, strict=True))
        print("  ".join(cells).rstrip())


def main() -> None:
    """Run all measurements."""
    outage = measure_outage(crash_loop=False)
    print_table(f"Outage of {FAILED_UPSTREAMS} of {UPSTREAMS} upstreams", outage)
    loop = measure_outage(crash_loop=True)
    print_table(f"{FAILED_UPSTREAMS} of {UPSTREAMS} upstreams crash in a loop", loop)
    load = measure_load()
    print_table("Time in the queue at one upstream", load)
    RESULTS.parent.mkdir(exist_ok=True)
    results = {"outage": outage, "crash loop": loop, "load": load}
    RESULTS.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
