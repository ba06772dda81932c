"""An accepted edit is in force everywhere within 18 s and never reverts."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.invariants import InvariantBroken
from masticdrum.core.syncpeers import SyncPeers
from masticdrum.core.tablesync import TableSync
from masticdrum.model.messages import TablesGive
from masticdrum.model.platform import ObjectAnswer
from masticdrum.model.telemetry import LogNumber
from tests.driver import Network
from tests.syncworld import SyncWorld

IN_FORCE_S = 18.0
START_S = 10.0


def make_world(seed: int = 1, **sizes: Any) -> SyncWorld:
    """Return a world in which every process has the first tables."""
    world = SyncWorld(seed, **sizes)
    world.run(START_S)
    assert world.list_behind(1) == []
    return world


def check_in_force(world: SyncWorld) -> None:
    """Wait for the time an edit may take and check that it is in force everywhere."""
    world.run(IN_FORCE_S)
    assert world.list_behind(world.tables.serial) == []


@pytest.mark.parametrize(("seed", "entries", "agents"), [(1, 30, 90), (2, 50, 150)])
def test_edit_reaches_hundreds(seed: int, entries: int, agents: int) -> None:
    network = Network(lost=0.05, repeated=0.05)
    world = make_world(seed, entries=entries, agents=agents, centres=5, network=network)
    world.calls.clear()
    world.edit("dc-1")
    check_in_force(world)
    assert world.calls["watch"] + world.calls["read"] <= 15 + entries + agents


@pytest.mark.parametrize("seed", range(5))
def test_edit_just_before_an_outage(seed: int) -> None:
    world = make_world(seed)
    world.edit("dc-1")
    world.run(0.01)
    world.faults.outage = True
    check_in_force(world)


@pytest.mark.parametrize("seed", range(5))
def test_edit_that_no_watcher_heard_of_before_the_outage(seed: int) -> None:
    world = make_world(seed)
    world.faults.lost_answers = 1.0
    world.edit("dc-1", push=True)
    world.faults.outage = world.faults.hang = True
    check_in_force(world)


@pytest.mark.parametrize("seed", range(5))
def test_edit_while_answers_are_lost(seed: int) -> None:
    world = make_world(seed)
    world.faults.lost_answers = 0.7
    world.edit("dc-1")
    check_in_force(world)


# Guards against an edit that is accepted but never in force, since the platform came
# back from an older copy and gives it a version that watches had reached (CONFIG).
@pytest.mark.parametrize("lost_edits", [1, 2, 3])
@pytest.mark.parametrize("breaks_watches", [True, False])
def test_edit_after_the_platform_came_back_from_a_copy(
    lost_edits: int, breaks_watches: bool
) -> None:
    world = make_world()
    copied, older = world.objects.copy(), world.tables
    for number in range(lost_edits):
        world.edit(f"dc-{number % 2}")
        check_in_force(world)
    floor = world.tables.serial
    world.restore(copied, older, breaks_watches)
    world.run(1.0 if breaks_watches else IN_FORCE_S)
    world.edit("dc-2", floor=floor)
    assert world.tables.serial == floor + 1
    check_in_force(world)


def test_edit_reaches_idle_agents_where_no_entry_is() -> None:
    world = make_world(entries=2, agents=12, centres=4)
    world.calls.clear()
    world.edit("dc-3")
    world.run(1.0)
    assert world.list_behind(2) == []
    assert world.calls["read"] == 0


def test_edit_reaches_agents_without_any_entry() -> None:
    world = make_world()
    for name in world.entries:
        world.driver.crash(name)
    world.run(START_S)
    world.edit("dc-1")
    check_in_force(world)


def test_edit_reaches_agents_whose_links_fell_silent() -> None:
    world = make_world()
    for name in world.agents:
        world.silence_links(name)
    world.edit("dc-1")
    check_in_force(world)


def test_out_in_out_in_quick_succession() -> None:
    world = make_world(network=Network(lost=0.1, repeated=0.1, most_delay_s=0.5))
    for out in ("dc-1", None, "dc-1", None, "dc-1"):
        world.edit(out)
        world.run(0.2)
    check_in_force(world)
    views = [process.state.view for process in world.driver.processes.values()]
    assert all(view.is_out("dc-1") for view in views)


def test_replaced_process_is_not_misled_by_a_stale_first_peer() -> None:
    world = make_world(entries=3, agents=6, centres=1)
    stale, fresh = set(world.agents[:2]), world.agents[2:]
    world.cut = stale
    world.edit("dc-0")
    world.run(1.0)
    world.faults.outage = True
    world.driver.crash("entry-0")
    for name in ["entry-1", "entry-2", *fresh]:
        world.driver.pause(name, 1.5)
    world.cut = set()
    world.start("entry-0")
    sync = world.driver.processes["entry-0"].state.sync
    while world.driver.now < START_S + 10.0:
        world.run(0.01)
        assert not sync.is_ready or sync.serial == 2
    assert sync.is_ready


@pytest.mark.parametrize("name", ["entry-0", "agent-0"])
def test_frozen_process_does_not_serve_with_old_tables(name: str) -> None:
    world = make_world()
    world.driver.pause(name, 20.0)
    world.edit("dc-1")
    world.run(20.0 - 1e-6)
    process = world.driver.processes[name]
    while process.state.sync.serial == 1:
        world.run(0.001)
        assert process.state.sync.serial == 2 or not process.state.sync.is_ready
    world.run(5.0)
    assert process.state.sync.is_ready
    assert world.logs[LogNumber.TABLES_DOUBTED] >= 1


def test_process_without_an_answer_never_serves() -> None:
    world = make_world(entries=1, agents=1, centres=1)
    world.faults.outage = True
    world.driver.crash("agent-0")
    world.driver.crash("entry-0")
    world.start("entry-0")
    world.run(100.0)
    assert not world.driver.processes["entry-0"].state.sync.is_ready
    assert world.logs[LogNumber.TABLES_UNCONFIRMED] >= 1


def test_wrong_tables_from_the_platform_are_rejected_whole() -> None:
    world = make_world()
    good = world.tables
    wrong = msgspec.structs.replace(good, serial=9, routes=good.routes * 2)
    world._write(wrong)
    world.run(IN_FORCE_S)
    assert len(world.list_behind(2)) == len(world.names)
    assert world.logs[LogNumber.TABLES_REJECTED] >= 1
    world._write(msgspec.structs.replace(good, serial=10))
    check_in_force(world)


def test_lower_serial_from_the_platform_is_rejected() -> None:
    world = make_world()
    world.edit("dc-1")
    world.run(1.0)
    world._write(msgspec.structs.replace(world.tables, serial=1))
    world.run(IN_FORCE_S)
    assert world.list_behind(2) == []


def test_late_copy_of_older_tables_changes_nothing() -> None:
    world = make_world()
    older = TablesGive(world.body)
    world.edit("dc-1")
    world.run(1.0)
    world.send_operator_message("agent-0", older)
    world.run(10.0)
    assert world.list_behind(2) == []


def test_entry_that_stays_behind_is_stale() -> None:
    world = make_world()
    world.edit("dc-1")
    world.run(5.0)
    sync = world.driver.processes["agent-0"].state.sync
    assert sync.is_stale(1, world.driver.now)
    assert not sync.is_stale(2, world.driver.now)


# Guards against runs by tables of any age while edits follow closely: each edit let all
# older tables be used anew.
def test_a_peer_that_stays_behind_is_stale_though_further_edits_follow() -> None:
    world = make_world()
    sync = world.driver.processes["agent-0"].state.sync
    behind: list[bool] = []
    for _ in range(6):
        world.edit("dc-1")
        world.run(1.5)
        behind.append(sync.is_stale(1, world.driver.now))
    assert behind == [False, *[True] * 5]
    assert not sync.is_stale(sync.serial - 1, world.driver.now)


FAULTS = ["edit", "push", "outage", "hang", "replace", "pause", "silence", "lose"]


def inject_fault(world: SyncWorld, fault: str, who: int) -> None:
    """Inject one drawn fault; outages, pauses and replacements end by themselves."""
    name = world.names[who % len(world.names)]
    match fault:
        case "edit" | "push":
            world.edit(world.centres[who % 3] if who % 2 else None, fault == "push")
        case "outage" | "hang":
            world.faults.outage, world.faults.hang = True, fault == "hang"
            world.driver.at(world.driver.now + who, lambda: end_outage(world))
        case "replace":
            world.replace(name, down_s=who / 10)
        case "pause":
            world.driver.pause(name, float(who))
        case "silence":
            world.silence_links(name)
        case "lose":
            world.faults.lost_answers = 0.0 if world.faults.lost_answers else 0.6


def end_outage(world: SyncWorld) -> None:
    world.faults.outage = world.faults.hang = False


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.integers(0, 99),
    st.lists(
        st.tuples(
            st.sampled_from(FAULTS), st.integers(0, 19), st.sampled_from([0.01, 1, 5])
        ),
        max_size=15,
    ),
)
def test_any_faults_then_every_process_has_the_newest(
    seed: int, faults: list[tuple[str, int, float]]
) -> None:
    world = make_world(seed, network=Network(lost=0.05, repeated=0.05))
    for fault, who, wait_s in faults:
        inject_fault(world, fault, who)
        world.run(wait_s)
    world.faults.lost_answers = 0.0
    world.run(20.0)
    end_outage(world)
    check_in_force(world)


def install_any_serial(self: TableSync, tables: Any, source: str, now: float) -> list:
    self.tables = tables
    return []


def confirm_by_first_peer(self: TableSync, now: float) -> None:
    if self._peer_answered and self.serial:
        self._unconfirmed_since = None


def ignore_object_answer(self: TableSync, answer: ObjectAnswer, now: float) -> list:
    self._calls.pop(answer.call, None)
    return []


def choose_no_agents(name: str, data_centre: str, instances: Any) -> SyncPeers:
    return SyncPeers(watches=True, processes=5000)


MUTANTS: dict[str, tuple[Any, str, Any, Callable[[], None]]] = {
    "any serial installed": (
        TableSync,
        "_install",
        install_any_serial,
        test_late_copy_of_older_tables_changes_nothing,
    ),
    "first peer trusted": (
        TableSync,
        "_confirm_by_peers",
        confirm_by_first_peer,
        test_replaced_process_is_not_misled_by_a_stale_first_peer,
    ),
    "freeze not noticed": (
        TableSync,
        "check_time",
        lambda self, now: [] if self._started else self._start(now),
        lambda: test_frozen_process_does_not_serve_with_old_tables("agent-0"),
    ),
    "nobody greeted": (
        TableSync,
        "_send_hellos",
        lambda self, peers, now: [],
        test_edit_reaches_idle_agents_where_no_entry_is,
    ),
    "platform ignored": (
        TableSync,
        "handle_read_answer",
        ignore_object_answer,
        lambda: test_edit_just_before_an_outage(0),
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, attribute, broken, proof = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, broken)
    with pytest.raises((AssertionError, InvariantBroken)):
        proof()
