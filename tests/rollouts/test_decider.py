"""Tests of deciding roll-outs."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.model.rollouts import (
    PutRolloutStatus,
    RolloutOrder,
    RolloutReport,
    RolloutReported,
    RolloutState,
    SendGrant,
)
from masticdrum.rollouts.decider import OVERTIME_S
from tests.rollouts.rolloutworld import DURATION_S, ORDER, World

ACTIONS = st.tuples(
    st.sampled_from(
        ["cut store", "cut net", "heal", "freeze", "restart", "restore"]
        + ["done", "late", "turn bad"]
    ),
    st.integers(0, 2),
    st.floats(0.1, 4.0),
)
QUIET_S = DURATION_S + 15.0


def act(world: World, action: str, index: int) -> None:
    match action:
        case "cut store":
            world.cut_store.add(index)
            world.disturbed_at = world.now
        case "cut net":
            world.cut_net.add(index)
            world.disturbed_at = world.now
        case "heal":
            world.heal()
        case "freeze":
            world.freeze(index, 1.0 + 2.0 * index)
        case "restart":
            world.restart(index)
        case "restore":
            world.restore()
        case "turn bad":
            world.is_bad = True
        case lost:
            world.lose = lost
            world.disturbed_at = world.now


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(ACTIONS, max_size=10), st.integers(0, 99), st.integers(2, 3), st.booleans()
)
def test_no_trouble_makes_entries_disagree(
    actions: list[tuple[str, int, float]], seed: int, entries: int, has_dice: bool
) -> None:
    """Two final states, traffic after a roll-back, or an order that never ends."""
    world = World(entries, seed, has_dice)
    for action, index, wait_s in actions:
        act(world, action, index % entries)
        world.run(wait_s)
    world.heal()
    world.run(QUIET_S)
    assert world.store.state is not None and world.store.state.is_final


def find_decider(world: World) -> int:
    """Return the entry that sent the last grant."""
    return [i for i, effect in world.effects if isinstance(effect, SendGrant)][-1]


def find_grants(world: World) -> list[SendGrant]:
    return [effect for _, effect in world.effects if isinstance(effect, SendGrant)]


def test_a_sound_target_is_completed() -> None:
    """A sound target that stays where it is, or more than one decider in calm."""
    world = World()
    world.run(8.0)
    assert world.store.state is RolloutState.COMPLETED
    assert len({i for i, e in world.effects if isinstance(e, PutRolloutStatus)}) == 1
    running = [e for _, e in world.effects if isinstance(e, PutRolloutStatus)]
    assert [put.state.value for put in running] == ["running", "completed"]


def test_a_bad_target_gets_nothing_before_its_status_is_written() -> None:
    """Traffic for a bad target while the store is silent."""
    world = World()
    world.is_bad = True
    world.run(2.0)
    world.lose = "late"
    while not any("rolled_back" in repr(effect) for _, effect in world.effects):
        world.step()
    before = len(world.effects)
    world.run(1.0)
    grants = [e for _, e in world.effects[before:] if isinstance(e, SendGrant)]
    assert world.store.state is not RolloutState.ROLLED_BACK
    assert grants and not any(sent.grant.share for sent in grants)
    world.heal()
    world.run(8.0)
    assert world.store.state is RolloutState.ROLLED_BACK


def test_a_target_without_evidence_is_rolled_back_by_its_deadline() -> None:
    """An order that stays undecided for ever."""
    world = World()
    world.is_idle = True
    world.run(DURATION_S)
    assert world.store.state is RolloutState.ROLLED_BACK


def test_requests_that_never_end_do_not_hold_a_sound_target_up() -> None:
    """An order without an end, since one request stays open at the old side."""
    world = World()
    world.old_open = 1
    world.run(DURATION_S + OVERTIME_S - 1.0)
    assert world.store.state is RolloutState.RUNNING
    world.run(4.0)
    assert world.store.state is RolloutState.COMPLETED


def test_a_decider_that_hears_few_entries_completes_nothing() -> None:
    """The old side is stopped while most entries send there."""
    world = World(5)
    world.run(1.6)
    world.cut_net = {find_decider(world)}
    world.run(6.0)
    assert world.store.state is RolloutState.RUNNING
    world.heal()
    world.run(5.0)
    assert world.store.state is RolloutState.COMPLETED


def test_a_slow_store_does_not_hold_a_sound_target_up() -> None:
    """What was heard is forgotten each time a renewal is late."""
    world = World()
    world.answer_s, world.read_every = 1.5, 15
    world.run(DURATION_S)
    assert world.store.state is RolloutState.COMPLETED


def test_no_grants_without_a_recent_renewal() -> None:
    """A decider that is cut from the store decides on beside its successor."""
    world = World()
    world.run(2.5)
    world.cut_store = {0, 1, 2}
    world.run(2.5)
    before = len(world.effects)
    assert find_grants(world)
    world.run(2.0)
    assert not any(isinstance(e, SendGrant) for _, e in world.effects[before:])


def test_a_grant_ends_soon_after_its_lease() -> None:
    """A decider's last grants outlive a roll-back that a successor may write."""
    world = World()
    world.run(1.6)
    world.cut_store = {0, 1, 2}
    for _ in range(40):
        world.step()
        decider = world.entries[find_decider(world)].decider
        end = world.now + decider._orders["desk"].lease.compute_left(world.now) + 0.9
        for entry in world.entries:
            grant = entry.follower._orders["desk"].grant
            assert grant is None or grant.sent_at + grant.valid_s < end


def test_a_successor_goes_on_with_a_higher_number_and_the_same_begin() -> None:
    """A dead decider's order that nobody takes, or one that begins anew."""
    world = World()
    world.run(2.5)
    decider = find_decider(world)
    first = world.store.read_leases(0.0).leases[0][0]
    world.freeze(decider, 60.0)
    world.run(6.0)
    lease = world.store.read_leases(0.0).leases[0][0]
    assert lease.holder != first.holder and lease.number > first.number
    assert lease.began_unix_s == first.began_unix_s


def test_a_late_write_never_replaces_a_final_state() -> None:
    """A delayed write of one decider lands after another one has decided."""
    world = World()
    world.run(2.5)
    decider = find_decider(world)
    state = world.entries[decider].decider._orders["desk"]
    state.is_bad = True
    effects = world.entries[decider].decider._write(state, world.now)
    put = next(e for e in effects if isinstance(e, PutRolloutStatus))
    world.freeze(decider, 60.0)
    world.run(10.0)
    assert world.store.state is RolloutState.COMPLETED
    assert world.store.put_status(put, world.now) == "conflict"


def test_a_successor_writes_the_final_state_that_others_know() -> None:
    """A restore loses a final state, and a new decider decides another one."""
    world = World()
    world.run(2.0)
    copy = world.store.save()
    world.run(DURATION_S + 1.0)
    assert world.store.state is RolloutState.COMPLETED
    world.store.restore(copy)
    heir = (find_decider(world) + 1) % len(world.entries)
    world.restart(heir)
    for entry in world.entries:
        if entry.index != heir:
            # They report what they know, and take no lease in this time.
            entry.decider.set_members([f"other-{i}" for i in range(99)])
            entry.decider._orders.clear()
    world.run(8.0)
    assert world.store.state is RolloutState.COMPLETED


def test_another_order_begins_anew() -> None:
    """The evidence or the end of one order decides the next one."""
    world = World()
    world.is_bad = True
    world.run(8.0)
    assert world.store.state is RolloutState.ROLLED_BACK
    world.is_bad = False
    for entry in world.entries:
        entry.answered = entry.failed = 0
    world.known.clear()
    world.store.order = RolloutOrder("desk", "v2", DURATION_S, ORDER.created + 1)
    world.store.state, world.store.written = None, set()
    world.run(8.0)
    assert world.store.state is RolloutState.COMPLETED


def test_a_withdrawn_order_is_forgotten() -> None:
    """Grants, renewals and writes for an order that no longer exists."""
    world = World()
    world.run(2.5)
    world.store.order = None
    world.run(0.3)
    before = len(world.effects)
    world.run(3.0)
    assert world.effects[before:] == []
    assert world.entries[0].follower.find_share("desk", world.now) is None


def test_a_report_for_another_order_gets_no_grant() -> None:
    """A grant of one order is given for another one."""
    world = World()
    world.run(2.5)
    decider = find_decider(world)
    report = RolloutReport("desk", "v3", 5, "entry-9", "x", 1.0, 0, 0, "", ())
    before = len(find_grants(world))
    world.give(world.entries[decider], RolloutReported(("10.0.0.0", 1), report))
    assert len(find_grants(world)) == before
