"""Non-idempotent calls run at most once, and "not run" holds when reported."""

from collections.abc import Callable
from copy import deepcopy

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.segments import decode_head
from masticdrum.model.entry_events import CallRequested
from masticdrum.model.platform import ObjectPut
from tests.callworld import START, Action, World
from tests.core.mutants import MUTANTS, Patch, skip_ledger
from tests.soak_calls import FAULTS, find_violation, make_episode, shrink, soak

UNKNOWN = "outcome_unknown unknown"
MUTANT_SEEDS = range(1, 600)
# The seed decides whether entries forward commits to each other.
WITHOUT_AND_WITH_FORWARDING = pytest.mark.parametrize("seed", [2, 4])
IN_PROGRESS = "key_in_progress unknown"


def call_at(at: float, entry: int = 0, *, workspace: int = 0, body: int = 0) -> Action:
    return Action(at, "ask", entry, 0.0, workspace, 0, body)


def run(actions: list[Action], seed: int = 2) -> World:
    world = World(seed)
    world.run(actions)
    return world


def list_results(world: World, count: int) -> list[str]:
    return [world.answered.get(f"r{number}", "") for number in range(count)]


def count_executions(world: World) -> list[int]:
    return [len(done) for done in world.executions.values()]


@WITHOUT_AND_WITH_FORWARDING
def test_two_entries_with_one_key_at_once_run_it_once(seed: int) -> None:
    world = run([call_at(0.0, 0), call_at(0.0, 1), call_at(20.0, 2)], seed)
    first = sorted(list_results(world, 2))
    assert first == ["answered", IN_PROGRESS]
    assert list_results(world, 3)[2] == "replayed"
    assert count_executions(world) == [1]


@WITHOUT_AND_WITH_FORWARDING
def test_a_retry_with_another_body_is_refused(seed: int) -> None:
    world = run([call_at(0.0, 0), call_at(5.0, 1, body=1), call_at(6.0, 1)], seed)
    assert list_results(world, 3) == ["answered", "key_conflict unknown", "replayed"]
    assert count_executions(world) == [1]


@WITHOUT_AND_WITH_FORWARDING
def test_a_reply_is_replayed_to_its_own_workspace_alone(seed: int) -> None:
    world = run(
        [call_at(0.0, 0), call_at(5.0, 0, workspace=1), call_at(9.0, 1, workspace=1)],
        seed,
    )
    assert list_results(world, 3) == ["answered", "answered", "replayed"]
    assert count_executions(world) == [1, 1]


def test_a_key_older_than_the_retention_is_refused_as_such() -> None:
    world = run([call_at(0.0, 0), call_at(60.0, 1)], seed=1)
    assert list_results(world, 2) == ["answered", "key_expired unknown"]
    assert count_executions(world) == [1]


def test_nothing_runs_while_the_platform_is_down() -> None:
    down = Action(0.0, "down", 0, 300.0)
    world = World(2)
    for action in [down, *[call_at(10.0 + 3 * n) for n in range(5)]]:
        world.schedule(START + action.at, lambda action=action: world.act(action))
    world.run_until(START + 200.0)
    results = list_results(world, 5)
    assert all(answer.startswith("ledger_unavailable") for answer in results)
    assert count_executions(world) == []
    world.until.clear()
    world.act(call_at(0.0, 1))
    world.run_until(START + 220.0)
    assert list_results(world, 6)[5] == "answered"
    assert count_executions(world) == [1]


# Guards against a call that runs again under its key, since the platform came back from
# an older copy without the key's record.
def test_a_key_runs_once_though_the_platform_came_back_from_a_copy() -> None:
    world = World(2)
    copied: dict[str, object] = {}
    steps = [
        (1.0, lambda: world.act(call_at(0.0, 2, workspace=1))),
        (3.0, lambda: copied.update(deepcopy(vars(world.objects)))),
        (4.0, lambda: world.act(call_at(0.0, 0))),
        (8.0, lambda: vars(world.objects).update(copied)),
        (8.5, lambda: world.act(call_at(0.0, 1))),
    ]
    for at, step in steps:
        world.schedule(START + at, step)
    world.run_until(START + 60.0)
    assert count_executions(world) == [1, 1]


@pytest.mark.parametrize(
    ("seed", "expected"),
    [
        (2, "ledger_unavailable unknown"),
        # The preferred writer still has the reply in memory.
        (4, "replayed"),
    ],
)
def test_a_retry_in_an_outage_is_not_told_that_nothing_ran(
    seed: int, expected: str
) -> None:
    world = run([call_at(0.0, 0), Action(3.0, "down", 0, 20.0), call_at(5.0, 1)], seed)
    results = list_results(world, 2)
    assert results == ["answered", expected]


def test_a_claim_whose_write_lost_its_answer_still_runs_once() -> None:
    for seed in range(2, 40, 2):
        world = run(
            [Action(0.0, "lose", 0, 4.0), call_at(0.1, 0), call_at(0.2, 1)], seed
        )
        assert max(count_executions(world), default=0) <= 1


def test_an_agent_killed_after_the_service_acted_leaves_the_outcome_unknown() -> None:
    world = World(2)
    world.schedule(START, lambda: world.act(call_at(0.0, 0)))
    while not world.executions:
        world.run_until(world.now + 0.001)
    for number in range(3):
        world.act(Action(0.0, "kill agent", number))
    world.schedule(START + 30.0, lambda: world.act(call_at(0.0, 1)))
    world.run_until(START + 60.0)
    assert list_results(world, 2) == [UNKNOWN, UNKNOWN]
    assert count_executions(world) == [1]


@pytest.mark.parametrize("frozen_s", [3.0, 15.0, 40.0])
@pytest.mark.parametrize("after_s", [0.01, 0.02, 0.03, 0.04])
def test_an_entry_frozen_with_its_claim_wakes_late(
    frozen_s: float, after_s: float
) -> None:
    world = run(
        [
            call_at(0.0, 0),
            Action(after_s, "freeze entry", 0, frozen_s),
            call_at(13.0, 1),
        ]
    )
    assert count_executions(world) == [1]
    assert list_results(world, 2)[1] in ("answered", "replayed")


def test_segments_that_no_head_names_are_deleted() -> None:
    world = World(2)
    for number in range(2):
        left = f"ledger/00{number}/000000000000-000000000005-dead-1"
        world.objects.apply(ObjectPut("left", left, b"left behind", 0))
    world.run([Action(3.0 * n, "ask", n % 3, key=n) for n in range(30)])
    assert world.result_counts["answered"] == 30
    named: list[str] = []
    for number in range(2):
        head = decode_head(world.objects.objects[f"ledger/00{number}/head"][1])
        named += [ref.path for ref in head.unwrap().segments]
    held = [name for name in world.objects.objects if name.startswith("ledger/")]
    segments = [name for name in held if not name.endswith("head")]
    assert named and sorted(segments) == sorted(named)


def test_an_idempotent_call_is_retried_after_its_agent_died() -> None:
    world = World(2)
    call = CallRequested("r0", "gebeya", "look", "", b"b0")
    world.calls["r0"] = (call, START)
    world.deliver(world.entries[0], call)
    while not world.executions:
        world.run_until(world.now + 0.001)
    [(_, attempt, _)] = world.executions["gebeya", ""]
    running = [a.state.attempts.count_running() for a in world.agents]
    world.act(Action(0.0, "kill agent", running.index(1)))
    world.run_until(START + 10.0)
    assert list_results(world, 1) == ["answered"]
    assert [a for _, a, _ in world.executions["gebeya", ""]] != [attempt]
    assert not any(name.startswith("ledger/") for name in world.objects.objects)


ACTIONS = st.builds(
    Action,
    at=st.floats(0.0, 60.0),
    what=st.sampled_from(["ask", "ask", "ask", *FAULTS]),
    target=st.integers(0, 2),
    for_s=st.sampled_from([0.0, 0.5, 3.0, 15.0]),
    workspace=st.integers(0, 1),
    key=st.integers(0, 1),
    body=st.integers(0, 1),
)


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(seed=st.integers(0, 1000), actions=st.lists(ACTIONS, max_size=40))
def test_any_faults_leave_at_most_one_execution(
    seed: int, actions: list[Action]
) -> None:
    run(sorted(actions, key=lambda action: action.at), seed)


@pytest.mark.parametrize("seed", [5000164, 42004889])
def test_an_episode_that_once_went_wrong_does_no_more(seed: int) -> None:
    assert find_violation(seed, make_episode(seed)) == ""


def test_a_small_soak_finds_nothing() -> None:
    events, _, results = soak(seed=7, events=20_000)
    assert events >= 20_000
    assert results["answered"] > 0 and results["replayed"] > 0


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_a_mutant_is_caught(
    mutant: Callable[[Patch], None], monkeypatch: Patch
) -> None:
    mutant(monkeypatch)
    caught = (s for s in MUTANT_SEEDS if find_violation(s, make_episode(s)))
    seed = next(caught, None)
    assert seed is not None, f"mutant '{mutant.__name__}' lives"
    monkeypatch.undo()
    assert find_violation(seed, make_episode(seed)) == ""


def test_a_violation_is_shrunk(monkeypatch: Patch) -> None:
    skip_ledger(monkeypatch)
    shrunk = shrink(1, make_episode(1))
    assert len(shrunk) <= 4
    assert find_violation(1, shrunk) != ""
