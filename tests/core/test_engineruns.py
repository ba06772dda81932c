"""What an agent waits for is bound to the run of its engine."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.enginecontroller import (
    EngineControllerState,
    EngineReported,
    reduce_engine_controller,
)
from masticdrum.core.ordercopies import EngineRun, OrderCopies
from masticdrum.model.cluster_events import UpstreamsListed
from tests.forwarding import make_upstream
from tests.orderworld import OrderWorld, Violation

FIXED = settings(derandomize=True, max_examples=150, deadline=None)
FATES = ("answered", "unanswered", "lost", "late", "late")


# Guards against an agent that goes on waiting for an order that its engine lost in a
# restart, and holds its permit meanwhile.
@pytest.mark.parametrize("same_name", [True, False])
def test_an_order_lost_with_its_engine_is_given_again(same_name: bool) -> None:
    world = OrderWorld(1)
    world.at(1.0, lambda: world.name_weights(2))
    world.at(1.4, lambda: world.restart(same_name, 2.0))
    world.run_until(6.0)
    assert [version for _, version in world.given] == [2, 2]
    ended_at, answer = world.ended[0]
    assert not answer.done and answer.detail == "the engine restarted"
    assert ended_at <= 3.8
    world.run_until(7.0)
    assert world.engine.version == 2
    assert not world.table.leases


# Guards against a late copy of an order that undoes a newer one: the engine is back
# under its name, and has accepted as many orders as when the copy was sent.
def test_a_copy_that_may_reach_a_restarted_engine_is_waited_for() -> None:
    world = OrderWorld(1)
    world.at(1.0, lambda: world.name_weights(2))
    world.run_until(8.0)
    assert world.engine.sequence == 1
    world.fates, world.late_s = ("late",), (8.0, 9.0)
    world.at(8.1, lambda: world.name_weights(3))
    world.run_until(8.4)
    world.fates = ("answered",)
    world.at(8.4, lambda: world.restart(True, 0.5))
    world.at(8.5, lambda: world.name_weights(4))
    world.run_until(18.0)
    assert world.engine.version == 2, "late copies have come by now"
    world.run_until(26.0)
    assert world.engine.version == 4


# Guards against ordering weights that were replaced while the order was open.
def test_an_order_that_was_not_sent_yet_gives_way_to_newer_weights() -> None:
    world = OrderWorld(1)
    world.at(1.0, lambda: world.pause(0.8))
    world.at(1.0, lambda: world.name_weights(2))
    world.at(1.5, lambda: world.name_weights(3))
    world.run_until(5.0)
    assert [version for _, version in world.given] == [2, 3]
    assert [version for _, version in world.engine.accepted] == [3]
    assert world.given[1][0] < 2.3


# Guards against an agent that holds a permit for an order that it can't send any more.
def test_an_order_that_was_never_sent_ends_with_its_lease() -> None:
    world = OrderWorld(1)
    world.at(1.0, lambda: world.pause(4.0))
    world.at(1.0, lambda: world.name_weights(2))
    world.run_until(4.0)
    _, answer = world.ended[0]
    assert answer.detail == "the permit lapsed"
    world.run_until(7.0)
    assert world.engine.version == 2


# Guards against waiting 15 s for an order that was lost, though its permit is renewed.
def test_an_order_without_an_answer_is_repeated_while_its_permit_is_renewed() -> None:
    world = OrderWorld(1, ("lost",))
    world.at(1.0, lambda: world.name_weights(2))
    world.run_until(4.0)
    world.fates = ("answered",)
    world.run_until(7.0)
    assert [version for _, version in world.given] == [2]
    assert world.engine.version == 2


def test_an_order_that_may_be_executed_is_not_withdrawn() -> None:
    world = OrderWorld(1, ("lost",))
    world.at(1.0, lambda: world.name_weights(2))
    world.at(1.5, lambda: world.name_weights(3))
    world.run_until(5.0)
    assert [version for _, version in world.given] == [2]


def test_only_copies_to_another_run_of_the_same_name_are_waited_for() -> None:
    copies = OrderCopies()
    copies.record(EngineRun("i-1", 10), 5.0)
    assert not copies.may_reach(EngineRun("i-1", 10), 6.0)
    assert not copies.may_reach(EngineRun("i-2", 20), 6.0)
    assert copies.may_reach(EngineRun("i-1", 20), 19.9)
    assert not copies.may_reach(EngineRun("i-1", 20), 20.0)


def play(seed: int) -> OrderWorld:
    """Play restarts, new weights and late orders for 40 s, then 35 calm seconds."""
    random = Random(seed)
    world = OrderWorld(seed, FATES)
    for version, at in enumerate(sorted(random.uniform(1.0, 40.0) for _ in range(6))):
        world.at(at, lambda v=version + 2: world.name_weights(v))  # type: ignore[misc]
    for _ in range(random.randrange(8)):
        same_name, down_s = random.random() < 0.7, random.uniform(0.2, 2.0)
        at = random.uniform(1.0, 40.0)
        world.at(at, lambda s=same_name, d=down_s: world.restart(s, d))  # type: ignore[misc]
    world.run_until(40.0)
    world.fates = ("answered",)
    world.run_until(75.0)
    return world


@FIXED
@given(st.integers(0, 2**32))
def test_no_copy_takes_effect_after_a_newer_order(seed: int) -> None:
    world = play(seed)
    assert world.engine.version == 7
    assert not world.table.leases


def test_forgetting_open_copies_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OrderCopies, "may_reach", lambda self, run, now: False)
    with pytest.raises(Violation):
        for seed in range(1, 400):
            play(seed)


# Guards against an agent that takes another writer's entry at its engine's address for
# its engine, so that nobody orders the engine any more (VERSION).
@pytest.mark.parametrize("models", [{}, {"m": 1}, {"m": 1, "other": 3}])
@pytest.mark.parametrize("is_first", [False, True])
@pytest.mark.parametrize("service", ["engines", "of nobody"])
def test_another_writers_entry_at_the_address_is_not_the_own_engine(
    models: dict[str, int], is_first: bool, service: str
) -> None:
    address = "10.0.0.1:80"
    own = make_upstream(
        "engines-1", "engines", address=address, born=1000, weights={"m": 1}
    )
    foreign = make_upstream(
        "engines-0", service, address=address, born=9000, weights=models
    )
    state = EngineControllerState("agent", "a", address, 1)
    entries = (foreign, own) if is_first else (own, foreign)
    reduce_engine_controller(state, UpstreamsListed(entries), 100.0)
    reduce_engine_controller(state, EngineReported({"m": 1}, 1000), 100.0)
    found = state.find_own_engine()
    assert found is not None and found.upstream.name == "engines-1"


def test_an_engine_that_does_not_tell_its_birth_is_known_by_its_models() -> None:
    address = "10.0.0.1:80"
    own = make_upstream(
        "engines-1", "engines", address=address, born=1000, weights={"m": 1}
    )
    foreign = make_upstream(
        "engines-0", "of nobody", address=address, born=9000, weights={}
    )
    state = EngineControllerState("agent", "a", address, 1)
    reduce_engine_controller(state, UpstreamsListed((own, foreign)), 100.0)
    reduce_engine_controller(state, EngineReported({"m": 1}, 0), 100.0)
    found = state.find_own_engine()
    assert found is not None and found.upstream.name == "engines-1"
