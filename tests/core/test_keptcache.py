"""The KV cache keeps its invariants under faults, and each mutant is caught."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.blockindex import BlockIndex
from masticdrum.core.cachestate import (
    CacheRules,
    KvCache,
    confirm_engine,
    hash_home,
    install_rules,
)
from masticdrum.core.importcost import ImportCost, should_import
from masticdrum.core.importplan import select_prefix
from masticdrum.core.invariants import InvariantBroken
from masticdrum.core.kvcache import compute_next_timer, is_prepared
from masticdrum.core.storelinks import StoreLink
from masticdrum.core.transfers import start_transfers
from masticdrum.model.agent_events import BlocksChanged
from masticdrum.model.tables import Urgency
from tests.cachemutants import MUTANTS
from tests.cacheworld import BLOCK, STORES, CacheWorld, Violation, run_world

PROMPT = "preamble" + "conversation one" + "question"
CI_SEEDS = range(5)
CI_EVENTS = 2000


def store_prompt(world: CacheWorld, number: int = 0) -> None:
    """Run a prompt at an agent, export its blocks and evict them from the engine."""
    agent = world.agents[number]
    agent.submit(f"first-{world.submitted}", "radkranz", Urgency.NORMAL, PROMPT)
    world.submitted += 1
    world.finish_transfers()
    agent.engine.evict_all()
    agent.publish_events(lossy=False)


def submit_again(world: CacheWorld, urgency: Urgency = Urgency.NORMAL) -> int:
    """Submit the prompt again and return how many blocks were computed again."""
    agent = world.agents[0]
    agent.submit(f"again-{world.submitted}", "radkranz", urgency, PROMPT)
    world.submitted += 1
    world.finish_transfers()
    world.pass_time(6.0)
    world.finish_transfers()
    return agent.started[-1][1]


def test_stored_blocks_are_imported_instead_of_computed() -> None:
    world = CacheWorld(1)
    store_prompt(world)
    assert sum(len(s.frames) for s in world.stores.stores.values()) == 4
    assert submit_again(world) == 0


def test_blocks_exported_by_one_agent_serve_another() -> None:
    world = CacheWorld(1)
    store_prompt(world, 1)
    assert submit_again(world) == 0


@pytest.mark.parametrize("damage", ["truncated", "flipped", "substituted", "forged"])
def test_damaged_frame_falls_back_to_computing(damage) -> None:
    world = CacheWorld(1)
    store_prompt(world)
    for store in world.stores.stores.values():
        store.damage = damage
        store.frames["other"] = bytes(64)
    assert submit_again(world) > 0
    assert world.agents[0].engine.imported < 4


def test_dead_store_falls_back_at_once_and_is_left_alone() -> None:
    world = CacheWorld(1)
    store_prompt(world)
    for store in world.stores.stores.values():
        store.dead = True
    assert submit_again(world) == 4
    links = world.agents[0].cache.links.values()
    assert any(link.failures for link in links)


def test_silent_store_makes_the_import_late_and_cuts_nothing() -> None:
    world = CacheWorld(1)
    store_prompt(world)
    agent = world.agents[0]
    agent.submit("late", "radkranz", Urgency.URGENT, PROMPT)
    assert not is_prepared(agent.cache, "late")
    assert compute_next_timer(agent.cache, world.now) < world.now + 6.0
    world.pass_time(6.0)
    assert agent.started[-1] == ("late", 4)
    world.finish_transfers()
    assert all(link.imports == 0 for link in agent.cache.links.values())


def test_store_that_fills_mid_write_shows_no_part_of_a_block() -> None:
    world = CacheWorld(1)
    for store in world.stores.stores.values():
        store.room = 0
    store_prompt(world)
    assert not any(store.frames for store in world.stores.stores.values())
    assert submit_again(world) == 4


def test_block_stored_off_its_home_is_found_after_the_home_returned() -> None:
    world = CacheWorld(1)
    away = CacheRules("llm", BLOCK, ((STORES[0], STORES[0]),))
    whole = world.agents[1].cache.rules
    install_rules(world.agents[0].cache, away, 0.0)
    store_prompt(world)
    install_rules(world.agents[1].cache, away, 0.0)
    install_rules(world.agents[1].cache, whole, 0.0)
    agent = world.agents[1]
    agent.submit("moved", "radkranz", Urgency.NORMAL, PROMPT)
    world.finish_transfers()
    assert agent.started[-1] == ("moved", 0)


def test_loss_of_one_store_leaves_whole_runs_of_blocks() -> None:
    keys = [f"{n:016x}" for n in range(16)]
    homes = [hash_home(keys, n) for n in range(16)]
    assert homes == [0, 1, 2, 2, 4, 4, 4, 4] + [8] * 8


def test_no_block_is_exported_twice() -> None:
    world = CacheWorld(1)
    store_prompt(world)
    agent = world.agents[0]
    agent.execute(start_transfers(agent.cache, world.now))
    assert not world.tasks
    store_prompt(world, 1)
    assert world.agents[1].cache.index.stored.keys() == agent.cache.index.stored.keys()
    assert all(not store.parts for store in world.stores.stores.values())


def test_swap_during_import_gives_the_import_up() -> None:
    world = CacheWorld(1)
    store_prompt(world)
    agent = world.agents[0]
    agent.submit("swapped", "radkranz", Urgency.NORMAL, PROMPT)
    world.step_task()
    agent.engine.version = "v2"
    agent.report_engine()
    assert agent.started[-1] == ("swapped", 0)
    imported = agent.engine.imported
    world.finish_transfers()
    assert agent.engine.imported == imported


def test_exports_need_an_idle_link_and_urgent_imports_go_first() -> None:
    cache = KvCache()
    link = StoreLink("http://127.0.0.1:1")
    cache.links[link.address] = link
    link.pending_blocks = 1
    assert not link.may_export(0.0)
    link.pending_blocks, link.imports = 0, 2
    assert not link.may_import(Urgency.NORMAL, 0.0)
    assert link.may_import(Urgency.URGENT, 0.0)


def test_choice_follows_cost_and_urgency() -> None:
    slow = ImportCost(recompute_s=0.1, import_s=0.15, queue_s=0.0)
    assert not should_import(slow, 4, Urgency.URGENT)
    assert should_import(slow, 4, Urgency.NORMAL)
    assert not should_import(ImportCost(0.1, 0.15, 0.3), 4, Urgency.NORMAL)
    assert not should_import(slow, 0, Urgency.BACKGROUND)


def test_import_ends_where_the_next_link_is_slow() -> None:
    cache = KvCache()
    for address, speed in (("fast", 1e9), ("slow", 1e6)):
        cache.links[address] = StoreLink(address)
        cache.links[address].speed_bytes_s = speed
    sources = [("a", "fast"), ("b", "fast"), ("c", "slow"), ("d", "slow")]
    assert select_prefix(cache, sources) == sources[:2]
    cache.links["slow"].speed_bytes_s = 1e9
    assert select_prefix(cache, sources) == sources


def test_cache_events_late_doubled_and_with_gaps() -> None:
    index = BlockIndex()
    index.apply_changes(BlocksChanged(2, ("a", "b"), ()), 0.0)
    index.apply_changes(BlocksChanged(2, (), ("a", "b")), 1.0)
    assert index.count_held(["a", "b"]) == 2
    index.apply_changes(BlocksChanged(9, ("c",), ()), 100.0)
    assert index.count_held(["a"]) == 0
    assert index.count_held(["c"]) == 1


def test_block_of_another_workspace_or_version_breaks_an_invariant() -> None:
    cache = KvCache()
    cache.rules = CacheRules()
    confirm_engine(cache, "1", "v1")
    cache.index.record_prompt("radkranz", "v1", ["k"], 0.0)
    with pytest.raises(InvariantBroken):
        cache.index.record_prompt("gebeya", "v1", ["k"], 0.0)
    with pytest.raises(InvariantBroken):
        cache.index.record_prompt("radkranz", "v2", ["k"], 0.0)


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
