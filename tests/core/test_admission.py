"""Tests of admission: cold start, early refusal, suspects, and a seeded load test."""

from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from masticdrum.core import coldstart
from masticdrum.core.admission import Admission
from masticdrum.core.coldstart import ColdStartGate
from masticdrum.core.concurrency import AdaptiveLimit
from masticdrum.core.occupancy import Occupancy
from masticdrum.core.waiting import Ticket
from masticdrum.model.errors import ErrorKind
from masticdrum.model.tables import ColdStart, Pool, PoolKind, Urgency
from tests.soak_admission import find_violation, make_script, run_script

POOL = Pool(
    "lathe-desk", PoolKind.ENGINE, [], max_running=4, cold_start=ColdStart(2, 1, 2.0)
)
CI_SEEDS = range(1, 9)


def make_ticket(attempt: str, ttl: float = 60.0, now: float = 0.0) -> Ticket:
    return Ticket(attempt, "radkranz", Urgency.NORMAL, 1.0, now + ttl, now)


def make_ready(now: float = 2.0) -> Admission:
    admission = Admission(POOL, 0.0)
    for tick in range(int(now * 4)):
        admission.gate.observe_time(tick / 4)
    admission.report(True, 0, "boot-1", now)
    return admission


def offer_many(admission: Admission, count: int, now: float) -> None:
    for number in range(count):
        admission.offer(make_ticket(f"a{number}-{now}", now=now), now)


def warm_up(admission: Admission, now: float, seconds: float) -> float:
    """Keep the upstream busy with runs that produce tokens and never end."""
    until = now + seconds
    while now < until:
        now = round(now + 0.1, 3)
        offer_many(admission, 1, now)
        for ticket in admission.start_ready(now):
            admission.begin(ticket.attempt, now)
        for attempt in list(admission.occupancy.runs):
            admission.progress(attempt, 4, now)
        if round(now * 10) % 5 == 0:
            running = len(admission.occupancy.runs)
            admission.report(True, running, "boot-1", now)
    return now


def test_a_new_agent_waits_for_a_fresh_report() -> None:
    admission = Admission(POOL, 0.0)
    # The report may be older than the end of the agent's predecessor.
    admission.report(True, 0, "boot-1", 0.3)
    offer_many(admission, 3, 0.3)
    assert admission.start_ready(0.3) == []
    for tick in range(2, 6):
        admission.start_ready(tick / 4)
    admission.report(True, 1, "boot-1", 1.25)
    assert len(admission.start_ready(1.25)) == 1  # the predecessor's run counts


def test_the_limit_grows_with_work_and_restarts_with_the_boot() -> None:
    admission = make_ready()
    assert admission.gate.limit == 2
    now = warm_up(admission, 2.0, 12.0)
    assert admission.gate.limit == 4 and not admission.gate.cold
    admission.report(True, 0, "boot-2", now)
    assert admission.gate.limit == 2 and admission.make_load().cold


def test_an_idle_upstream_does_not_warm_up() -> None:
    admission = make_ready()
    for tick in range(8, 200):
        admission.report(True, 0, "boot-1", tick / 4)
    assert admission.gate.limit == 2


def test_a_burst_of_faults_restarts_the_ramp() -> None:
    admission = make_ready()
    now = warm_up(admission, 2.0, 12.0)
    for attempt in list(admission.occupancy.runs)[:3]:
        admission.fail(attempt, now, certain=True)
    assert admission.gate.limit == 2


def test_an_unreachable_upstream_gets_nothing_and_is_cold_after() -> None:
    admission = make_ready()
    now = warm_up(admission, 2.0, 12.0)
    admission.report(False, 0, "", now)
    assert admission.gate.limit == 2
    for attempt in list(admission.occupancy.runs):
        admission.end(attempt, now)
    offer_many(admission, 2, now)
    assert admission.start_ready(now) == []


def test_a_request_that_would_wait_too_long_is_refused_at_once() -> None:
    admission = make_ready()
    now = warm_up(admission, 2.0, 12.0)
    admission.end(next(iter(admission.occupancy.runs)), now)
    offer_many(admission, 20, now)
    admission.start_ready(now)
    [refusal] = admission.offer(make_ticket("late", ttl=1.0, now=now), now)
    assert refusal.kind == ErrorKind.QUEUE_FULL and refusal.retry_after_s > 1.0


def test_a_waiting_request_is_refused_at_its_deadline() -> None:
    admission = Admission(POOL, 0.0)
    assert admission.offer(make_ticket("a", ttl=1.0), 0.0) == []
    assert admission.expire(0.9) == []
    [refusal] = admission.expire(1.0)
    assert refusal.kind == ErrorKind.DEADLINE_EXCEEDED


def test_one_suspect_runs_at_a_time_beside_others() -> None:
    admission = make_ready()
    now = warm_up(admission, 2.0, 12.0)
    for attempt in [*admission.list_waiting(), *admission.occupancy.runs]:
        admission.withdraw(attempt)
        admission.end(attempt, now)
    for name in ["suspect-1", "suspect-2", "other"]:
        ticket = make_ticket(name, now=now)
        admission.offer(replace(ticket, suspect=name.startswith("suspect")), now)
    assert [t.attempt for t in admission.start_ready(now)] == ["suspect-1", "other"]
    assert admission.list_waiting() == ["suspect-2"]
    admission.end("suspect-1", now)
    assert [t.attempt for t in admission.start_ready(now)] == ["suspect-2"]


def test_the_adaptive_limit_follows_the_token_gap() -> None:
    limit = AdaptiveLimit(20)
    for step in range(100):
        limit.observe(0.2, 1, step * 0.1)
    assert limit.limit < 15
    for _ in range(2000):
        limit.observe(0.02, 1, 100.0)
        limit.end()
    assert limit.limit == 20


@settings(derandomize=True, max_examples=12, deadline=None)
@given(st.integers(1000, 1_000_000))
def test_no_upstream_gets_more_than_it_bears(seed: int) -> None:
    script = make_script(seed, steps=120)
    assert find_violation(seed, script) == ""


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_soak_of_fixed_seeds(seed: int) -> None:
    world = run_script(seed, make_script(seed))
    assert world.counts["ended"] > 100


def count_no_unconfirmed(self: ColdStartGate, occupancy: Occupancy) -> int:
    return 0


def report_same_boot(
    self: ColdStartGate, reachable: bool, boot: str, now: float
) -> None:
    ORIGINAL_REPORT(self, reachable, "same", now)


def trust_at_start(self: ColdStartGate, *values: Any) -> None:
    ORIGINAL_INIT(self, *values)
    self.trusted = True


def end_orphan(self: Occupancy, attempt: str, now: float) -> None:
    self.end(attempt, now)


def add_no_foreign_runs(self: Occupancy, running: int, now: float) -> None:
    return None


ORIGINAL_REPORT: Callable[..., None] = ColdStartGate.report
ORIGINAL_INIT: Callable[..., None] = ColdStartGate.__init__


@pytest.mark.parametrize(
    ("owner", "name", "mutant", "seed"),
    [
        (ColdStartGate, "count_unconfirmed", count_no_unconfirmed, 2),
        (ColdStartGate, "report", report_same_boot, 1),
        (ColdStartGate, "__init__", trust_at_start, 3),
        (Occupancy, "orphan", end_orphan, 8),
        (Occupancy, "_add_foreign_runs", add_no_foreign_runs, 32),
        (coldstart, "LOAD_LAG_S", 0.0, 1),
        (coldstart, "PAUSE_S", 1e9, 29),
    ],
    ids=["unconfirmed", "boot", "start", "orphan", "adopt", "lag", "pause"],
)
def test_cold_start_mutants_are_caught(
    owner: Any, name: str, mutant: Any, seed: int
) -> None:
    script = make_script(seed)
    with patch.object(owner, name, mutant):
        assert "Violation" in find_violation(seed, script)
    assert find_violation(seed, script) == ""


def test_prefill_is_no_sample_of_the_token_gap() -> None:
    admission = make_ready()
    offer_many(admission, 1, 2.0)
    (ticket,) = admission.start_ready(2.0)
    admission.begin(ticket.attempt, 2.0)
    admission.progress(ticket.attempt, 1, 12.0)
    assert admission.adaptive.token_gap_s == 0.0
    admission.progress(ticket.attempt, 1, 22.0)
    assert admission.adaptive.token_gap_s > 0.0


def test_the_last_slot_is_reserved_for_urgent_requests() -> None:
    admission = make_ready()
    admission.configure(replace(POOL, cold_start=ColdStart(4, 1, 2.0)))
    admission.gate.limit = 4
    offer_many(admission, 4, 2.0)
    assert len(admission.start_ready(2.0)) == 3
    urgent = replace(make_ticket("u", now=2.0), urgency=Urgency.URGENT)
    assert admission.offer(urgent, 2.0) == []
    assert [ticket.attempt for ticket in admission.start_ready(2.0)] == ["u"]
