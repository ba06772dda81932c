"""A request that crashes upstreams costs at most two, if its record spreads in time."""

import heapq
from collections.abc import Callable
from random import Random
from typing import Any
from unittest.mock import patch

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core import suspects
from masticdrum.core.suspects import (
    SUSPICION_S,
    TRIAL_S,
    WATCH_S,
    Claim,
    SuspectRow,
    Suspects,
    SuspectStatus,
    SuspectTable,
)
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut, ObjectStatus

FIXED = settings(derandomize=True, max_examples=60, deadline=None)
CULPRIT = "culprit"
SPREAD_S = 2.0  # for a write and its watches, with the fake's delays and no outage
AGENTS = 6


class Fleet:
    """Agents with their suspects, and one object whose answers are late or lost."""

    def __init__(self, seed: int, lost: float = 0.0) -> None:
        self.random = Random(seed)
        self.lost = lost
        self.now, self.order = 0.0, 0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.version, self.body = 0, b""
        self.watches: list[tuple[int, ObjectGet]] = []
        self.agents = [Suspects(f"agent-{n}/1") for n in range(AGENTS)]
        self.running: dict[int, list[str]] = {n: [] for n in range(AGENTS)}
        self.parked: dict[int, list[str]] = {n: [] for n in range(AGENTS)}
        self.crashes = self.trial_crashes = self.refused = 0
        self.step_all()

    def after(self, delay: float, call: Callable[..., None], *values: Any) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + delay, self.order, call, values))

    def run(self, until: float) -> None:
        self.step_all()
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, values = heapq.heappop(self.heap)
            call(*values)
            self.step_all()
        self.now = until
        self.step_all()

    def step_all(self) -> None:
        for number, agent in enumerate(self.agents):
            call = agent.plan_call(self.now)
            if call is not None:
                self.after(self.random.uniform(0.001, 0.2), self.serve, number, call)

    def serve(self, number: int, call: ObjectGet | ObjectPut) -> None:
        if isinstance(call, ObjectGet) and self.version == call.known and call.wait_s:
            self.watches.append((number, call))
            return
        answer = self.answer(call)
        if self.random.random() < self.lost:
            answer = ObjectAnswer(call.call, ObjectStatus.LOST)
        self.after(self.random.uniform(0.001, 0.2), self.deliver, number, answer)

    def answer(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        if isinstance(call, ObjectGet):
            if not self.version:
                return ObjectAnswer(call.call, ObjectStatus.MISSING)
            return ObjectAnswer(call.call, ObjectStatus.OK, self.version, self.body)
        if call.expected != self.version:
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
        self.version, self.body = self.version + 1, call.body
        watches, self.watches = self.watches, []
        for number, watch in watches:
            self.after(self.random.uniform(0.001, 0.2), self.serve, number, watch)
        return ObjectAnswer(call.call, ObjectStatus.OK, self.version)

    def deliver(self, number: int, answer: ObjectAnswer) -> None:
        agent = self.agents[number]
        for claim in agent.handle_answer(answer, self.now):
            if claim.fingerprint in agent.trials:
                self.start(number, claim.fingerprint, on_trial=True)
            else:
                self.refused += 1

    def dispatch(self, number: int, name: str) -> None:
        """Dispatch a request at an agent, as its reducer would."""
        agent = self.agents[number]
        match agent.get_status(name):
            case SuspectStatus.FREE:
                self.start(number, name, on_trial=False)
            case SuspectStatus.SUSPECT:
                agent.claim_trial(name)
            case SuspectStatus.QUARANTINED:
                self.refused += 1

    def start(self, number: int, name: str, on_trial: bool) -> None:
        if on_trial:
            holders = [a for a in self.agents if name in a.trials]
            assert len(holders) == 1, "two trials of one suspect at once"
        self.running[number].append(name)
        wait_s = self.random.uniform(0.01, 0.3)
        self.after(wait_s, self.end, number, name, on_trial)

    def end(self, number: int, name: str, on_trial: bool) -> None:
        if name not in self.running[number]:
            return
        if name == CULPRIT:
            self.crashes += 1
            self.trial_crashes += on_trial
            self.agents[number].record_crash(tuple(dict.fromkeys(self.running[number])))
            self.running[number].clear()
            return
        self.running[number].remove(name)
        self.agents[number].end_trial(name, succeeded=True)

    def is_spread(self) -> bool:
        """Return whether all changes are written and every agent has read them."""
        rows = self.read()
        return all(a.is_flushed() and a.table.rows == rows for a in self.agents)

    def read(self) -> dict[str, SuspectRow]:
        return msgspec.json.decode(self.body, type=SuspectTable).rows


def check_resends(seed: int, lost: float = 0.0) -> Fleet:
    """Check resends after each answer, with answers held until the record spreads."""
    fleet = Fleet(seed, lost)
    fleet.run(SPREAD_S * 2)
    for _ in range(8):
        for number in range(AGENTS):
            fleet.dispatch(number, f"innocent-{number}-{fleet.random.random()}")
        fleet.dispatch(fleet.random.randrange(AGENTS), CULPRIT)
        fleet.run(fleet.now + 1.0)
        while not fleet.is_spread():
            assert lost or fleet.now < 100.0, "the record does not spread"
            fleet.run(fleet.now + 0.5)
    assert fleet.crashes <= 2, f"{fleet.crashes} upstreams lost"
    return fleet


def check_races(seed: int, copies: int) -> None:
    """Check resends at any time; one crash at most may be that of a trial.

    Upstreams whose agents don't know the suspect yet crash as well.
    """
    fleet = Fleet(seed, lost=0.05)
    fleet.run(SPREAD_S * 2)
    for _ in range(copies):
        number = fleet.random.randrange(AGENTS)
        fleet.after(fleet.random.uniform(0, 3.0), fleet.dispatch, number, CULPRIT)
    fleet.run(fleet.now + 60.0)
    assert fleet.trial_crashes <= 1, f"{fleet.trial_crashes} trials crashed"


@FIXED
@given(st.integers(0, 2**32))
def test_resends_after_the_spread_cost_two_upstreams(seed: int) -> None:
    fleet = check_resends(seed)
    assert fleet.crashes == 2 and fleet.refused >= 6


@FIXED
@given(st.integers(0, 2**32))
def test_lost_answers_do_not_change_the_bound(seed: int) -> None:
    check_resends(seed, lost=0.1)


@FIXED
@given(st.integers(0, 2**32), st.integers(2, 20))
def test_racing_resends_crash_one_trial_at_most(seed: int, copies: int) -> None:
    check_races(seed, copies)


def test_innocent_suspects_are_cleared_after_a_good_trial() -> None:
    fleet = Fleet(3)
    fleet.run(SPREAD_S)
    fleet.running[0] = ["innocent", "other"]
    fleet.dispatch(0, CULPRIT)
    fleet.running[0] += ["late"]
    fleet.run(4.0)
    assert set(fleet.read()) == {"innocent", "other", "late", CULPRIT}
    fleet.dispatch(1, "innocent")
    fleet.run(8.0)
    assert "innocent" not in fleet.read()
    assert fleet.agents[2].get_status("innocent") is SuspectStatus.FREE
    assert fleet.agents[2].get_status("other") is SuspectStatus.SUSPECT


def test_suspicion_and_quarantine_expire() -> None:
    fleet = check_resends(4)
    assert fleet.agents[5].get_status(CULPRIT) is SuspectStatus.QUARANTINED
    until = fleet.now + SUSPICION_S + suspects.JITTER_S
    while fleet.now < until:
        fleet.run(fleet.now + WATCH_S)
    fleet.run(fleet.now + SPREAD_S)
    assert fleet.agents[5].get_status(CULPRIT) is SuspectStatus.FREE


def test_a_trial_whose_agent_died_counts_as_a_crash() -> None:
    fleet = Fleet(5)
    fleet.run(SPREAD_S)
    fleet.agents[0].claim_trial("suspect")
    while "suspect" not in fleet.agents[0].trials:
        fleet.run(fleet.now + 0.001)
    fleet.running[0].clear()
    fleet.agents[0] = Suspects("agent-0/2")
    fleet.agents[1].claim_trial("suspect")
    fleet.run(SPREAD_S * 4)
    assert "suspect" not in fleet.agents[1].trials
    until = fleet.now + TRIAL_S + suspects.JITTER_S
    while fleet.now < until:
        fleet.run(fleet.now + WATCH_S)
    assert fleet.agents[1].get_status("suspect") is SuspectStatus.QUARANTINED


def mutate_claim(rows: Any, change: Any, holder: str) -> None:
    """Claim a trial although another agent has it."""
    if isinstance(change, Claim):
        rows.setdefault(change.fingerprint, SuspectRow(1)).trial = change.token
        return
    APPLY(rows, change, holder)


def mutate_crash(rows: Any, crash: Any, holder: str) -> None:
    """Never quarantine a suspect."""
    for name in crash.fingerprints:
        rows[name] = SuspectRow(1, "", [crash.crash_id])


def mutate_judge(self: Suspects, fingerprint: str) -> SuspectStatus:
    return SuspectStatus.FREE


APPLY = suspects.apply_change


@pytest.mark.parametrize(
    ("owner", "name", "mutant", "check", "seed"),
    [
        (suspects, "apply_change", mutate_claim, check_races, 1),
        (suspects, "apply_crash", mutate_crash, check_resends, 1),
        (Suspects, "get_status", mutate_judge, check_resends, 1),
    ],
    ids=["claim", "crash", "judge"],
)
def test_suspect_mutants_are_caught(
    owner: Any, name: str, mutant: Any, check: Any, seed: int
) -> None:
    values = (20,) if check is check_races else ()
    with patch.object(owner, name, mutant), pytest.raises(AssertionError):
        for tried in range(seed, seed + 10):
            check(tried, *values)
