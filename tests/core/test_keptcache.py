"""The kept cache keeps its promises under faults, and each mutant is caught."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.blockindex import BlockIndex
from masticdrum.core.cachestate import (
    CacheRules,
    KeptCache,
    confirm_engine,
    hash_home,
    install_rules,
)
from masticdrum.core.importcost import ImportCost, choose_import
from masticdrum.core.importplan import choose_prefix
from masticdrum.core.invariants import InvariantBroken
from masticdrum.core.keptcache import find_wake, is_prepared
from masticdrum.core.storelinks import StoreLink
from masticdrum.core.transfers import start_transfers
from masticdrum.model.agent_events import BlocksChanged
from masticdrum.model.tables import Urgency
from tests.cachemutants import MUTANTS
from tests.cacheworld import BLOCK, STORES, CacheWorld, Violation, run_world

PROMPT = "preamble" + "conversation one" + "question"
CI_SEEDS = range(5)
CI_EVENTS = 2000


def keep_prompt(world: CacheWorld, number: int = 0) -> None:
    """Run a prompt at an agent, keep its blocks and evict them from the engine."""
    agent = world.agents[number]
    agent.ask(f"first-{world.asked}", "radkranz", Urgency.NORMAL, PROMPT)
    world.asked += 1
    world.settle()
    agent.engine.evict_all()
    agent.publish(lossy=False)


def ask_again(world: CacheWorld, urgency: Urgency = Urgency.NORMAL) -> int:
    """Ask the prompt again and return how many blocks were computed again."""
    agent = world.agents[0]
    agent.ask(f"again-{world.asked}", "radkranz", urgency, PROMPT)
    world.asked += 1
    world.settle()
    world.pass_time(6.0)
    world.settle()
    return agent.started[-1][1]


def test_kept_blocks_come_back_instead_of_being_computed() -> None:
    world = CacheWorld(1)
    keep_prompt(world)
    assert sum(len(s.frames) for s in world.stores.stores.values()) == 4
    assert ask_again(world) == 0


def test_blocks_kept_by_one_agent_serve_another() -> None:
    world = CacheWorld(1)
    keep_prompt(world, 1)
    assert ask_again(world) == 0


@pytest.mark.parametrize("damage", ["truncated", "flipped", "substituted", "forged"])
def test_damaged_frame_falls_back_to_computing(damage) -> None:
    world = CacheWorld(1)
    keep_prompt(world)
    for store in world.stores.stores.values():
        store.damage = damage
        store.frames["other"] = bytes(64)
    assert ask_again(world) > 0
    assert world.agents[0].engine.imported < 4


def test_dead_store_falls_back_at_once_and_is_left_alone() -> None:
    world = CacheWorld(1)
    keep_prompt(world)
    for store in world.stores.stores.values():
        store.dead = True
    assert ask_again(world) == 4
    links = world.agents[0].cache.links.values()
    assert any(link.failures for link in links)


def test_silent_store_makes_the_import_late_and_cuts_nothing() -> None:
    world = CacheWorld(1)
    keep_prompt(world)
    agent = world.agents[0]
    agent.ask("late", "radkranz", Urgency.URGENT, PROMPT)
    assert not is_prepared(agent.cache, "late")
    assert find_wake(agent.cache, world.now) < world.now + 6.0
    world.pass_time(6.0)
    assert agent.started[-1] == ("late", 4)
    world.settle()
    assert all(link.imports == 0 for link in agent.cache.links.values())


def test_store_that_fills_mid_write_shows_no_part_of_a_block() -> None:
    world = CacheWorld(1)
    for store in world.stores.stores.values():
        store.room = 0
    keep_prompt(world)
    assert not any(store.frames for store in world.stores.stores.values())
    assert ask_again(world) == 4


def test_block_kept_away_from_home_is_found_after_the_home_came_back() -> None:
    world = CacheWorld(1)
    away = CacheRules("llm", BLOCK, ((STORES[0], STORES[0]),))
    whole = world.agents[1].cache.rules
    install_rules(world.agents[0].cache, away, 0.0)
    keep_prompt(world)
    install_rules(world.agents[1].cache, away, 0.0)
    install_rules(world.agents[1].cache, whole, 0.0)
    agent = world.agents[1]
    agent.ask("moved", "radkranz", Urgency.NORMAL, PROMPT)
    world.settle()
    assert agent.started[-1] == ("moved", 0)


def test_loss_of_one_store_leaves_whole_runs_of_blocks() -> None:
    keys = [f"{n:016x}" for n in range(16)]
    homes = [hash_home(keys, n) for n in range(16)]
    assert homes == [0, 1, 2, 2, 4, 4, 4, 4] + [8] * 8


def test_no_block_is_exported_twice() -> None:
    world = CacheWorld(1)
    keep_prompt(world)
    agent = world.agents[0]
    agent.carry_out(start_transfers(agent.cache, world.now))
    assert not world.tasks
    keep_prompt(world, 1)
    assert world.agents[1].cache.index.kept.keys() == agent.cache.index.kept.keys()
    assert all(not store.parts for store in world.stores.stores.values())


def test_swap_during_import_gives_the_import_up() -> None:
    world = CacheWorld(1)
    keep_prompt(world)
    agent = world.agents[0]
    agent.ask("swapped", "radkranz", Urgency.NORMAL, PROMPT)
    world.step_task()
    agent.engine.version = "v2"
    agent.report()
    assert agent.started[-1] == ("swapped", 0)
    imported = agent.engine.imported
    world.settle()
    assert agent.engine.imported == imported


def test_import_waits_for_one_export_at_most_and_urgent_goes_first() -> None:
    cache = KeptCache()
    link = StoreLink("http://127.0.0.1:1")
    cache.links[link.address] = link
    link.pending_blocks = 1
    assert not link.may_export(0.0)
    link.pending_blocks, link.imports = 0, 2
    assert not link.may_import(Urgency.NORMAL, 0.0)
    assert link.may_import(Urgency.URGENT, 0.0)


def test_choice_follows_cost_and_urgency() -> None:
    slow = ImportCost(recompute_s=0.1, import_s=0.15, queue_s=0.0)
    assert not choose_import(slow, 4, Urgency.URGENT)
    assert choose_import(slow, 4, Urgency.NORMAL)
    assert not choose_import(ImportCost(0.1, 0.15, 0.3), 4, Urgency.NORMAL)
    assert not choose_import(slow, 0, Urgency.BACKGROUND)


def test_import_ends_where_the_next_link_is_slow() -> None:
    cache = KeptCache()
    for address, speed in (("fast", 1e9), ("slow", 1e6)):
        cache.links[address] = StoreLink(address)
        cache.links[address].speed_bytes_s = speed
    sources = [("a", "fast"), ("b", "fast"), ("c", "slow"), ("d", "slow")]
    assert choose_prefix(cache, sources) == sources[:2]
    cache.links["slow"].speed_bytes_s = 1e9
    assert choose_prefix(cache, sources) == sources


def test_cache_events_late_doubled_and_with_gaps() -> None:
    index = BlockIndex()
    index.take_changes(BlocksChanged(2, ("a", "b"), ()), 0.0)
    index.take_changes(BlocksChanged(2, (), ("a", "b")), 1.0)
    assert index.count_held(["a", "b"]) == 2
    index.take_changes(BlocksChanged(9, ("c",), ()), 100.0)
    assert index.count_held(["a"]) == 0
    assert index.count_held(["c"]) == 1


def test_version_is_asserted_in_the_program() -> None:
    cache = KeptCache()
    cache.rules = CacheRules()
    confirm_engine(cache, "1", "v1")
    cache.index.note_prompt("radkranz", "v1", ["k"], 0.0)
    with pytest.raises(InvariantBroken):
        cache.index.note_prompt("gebeya", "v1", ["k"], 0.0)
    with pytest.raises(InvariantBroken):
        cache.index.note_prompt("radkranz", "v2", ["k"], 0.0)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(0, 10**6), st.integers(1, 400))
def test_promises_hold_under_random_faults(seed, events) -> None:
    run_world(seed, events)


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_soak_of_fixed_seeds(seed) -> None:
    world = run_world(seed, CI_EVENTS)
    assert sum(agent.engine.imported for agent in world.agents) > 0


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_caught(name, monkeypatch) -> None:
    mutate, seed = MUTANTS[name]
    run_world(seed, CI_EVENTS)
    mutate(monkeypatch)
    with pytest.raises((Violation, InvariantBroken)):
        run_world(seed, CI_EVENTS)
