"""Tests of what an entry may send to the target of a roll-out."""

from msgspec import structs

from masticdrum.model.rollouts import (
    RolloutGrant,
    RolloutLease,
    RolloutLeasesRead,
    RolloutOrder,
    RolloutRead,
    RolloutsRead,
    RolloutState,
)
from masticdrum.rollouts.follower import RolloutFollower

ORDER = RolloutOrder("desk", "v2", 60.0, created=5)
LEASE = RolloutLease("desk", "v2", 5, "entry-0/x", "10.0.0.1:7", 3, 1, 1.8e9)
GRANT = RolloutGrant("desk", "v2", 5, 3, 1, 0.2, 10.0, 1.2, "", ("a",))
NOTHING = ("v2", 0.0, ())


def read(
    state: RolloutState | None, at: float, order: RolloutOrder = ORDER
) -> RolloutsRead:
    return RolloutsRead((RolloutRead(order, state, 7),), at)


def make_follower() -> RolloutFollower:
    """Make one that has sent a report at 10.0."""
    follower = RolloutFollower("entry-1", "x")
    follower.handle_orders(read(None, 9.0))
    follower.handle_leases(RolloutLeasesRead(((LEASE, 8),), 9.0))
    (sent,) = follower.make_reports(10.0, {}, {"desk": 4})
    assert (sent.address, sent.report.old_open) == ("10.0.0.1:7", 4)
    return follower


def test_a_grant_ends_by_the_time_of_its_report() -> None:
    """A cut off or frozen entry goes on sending to the target."""
    follower = make_follower()
    assert follower.find_share("desk", 10.0) == NOTHING
    follower.handle_grant(GRANT)
    assert follower.find_share("desk", 11.1) == ("v2", 0.2, ("a",))
    assert follower.find_share("desk", 11.3) == NOTHING


def test_a_grant_with_a_lower_number_is_void() -> None:
    """A decider that was superseded still moves traffic."""
    follower = make_follower()
    follower.handle_grant(structs.replace(GRANT, number=2))
    assert follower.find_share("desk", 10.1) == NOTHING
    follower.handle_grant(GRANT)
    newer = structs.replace(LEASE, number=4)
    follower.handle_leases(RolloutLeasesRead(((newer, 9),), 10.1))
    assert follower.find_share("desk", 10.2) == NOTHING


def test_an_overtaken_grant_is_ignored() -> None:
    """An older grant that arrives last undoes a newer one."""
    follower = make_follower()
    follower.make_reports(10.5, {}, {})
    follower.handle_grant(structs.replace(GRANT, sent_at=10.5, share=0.0))
    follower.handle_grant(GRANT)
    assert follower.find_share("desk", 10.6) == ("v2", 0.0, ("a",))


def test_a_grant_for_another_order_or_process_is_ignored() -> None:
    """A grant of an earlier order, or to the address's user before, is used."""
    follower = make_follower()
    follower.handle_grant(structs.replace(GRANT, created=4))
    follower.handle_grant(structs.replace(GRANT, target="v1"))
    follower.handle_grant(structs.replace(GRANT, sent_at=9e9))
    assert follower.find_share("desk", 10.1) == NOTHING


def test_the_first_final_state_stays() -> None:
    """A restore, or a grant under way, brings a decided order back."""
    follower = make_follower()
    follower.handle_grant(structs.replace(GRANT, decided="rolled_back"))
    assert follower.find_share("desk", 10.1) == NOTHING
    follower.handle_grant(GRANT)
    follower.handle_orders(read(RolloutState.COMPLETED, 10.2))
    assert follower.find_share("desk", 10.3) == NOTHING
    done = make_follower()
    done.handle_orders(read(RolloutState.COMPLETED, 10.1))
    done.handle_orders(read(RolloutState.RUNNING, 10.2))
    assert done.find_share("desk", 99.0) == ("v2", 1.0, ())


def test_a_lost_final_state_is_reported() -> None:
    """After a restore nobody tells the decider how the order ended."""
    follower = make_follower()
    follower.handle_orders(read(RolloutState.COMPLETED, 10.1))
    assert follower.make_reports(11.0, {}, {}) == []
    follower.handle_orders(read(RolloutState.RUNNING, 11.0))
    (sent,) = follower.make_reports(11.1, {}, {})
    assert sent.report.decided == "completed"


def test_an_older_read_changes_nothing() -> None:
    """A read that was overtaken brings an order back that was withdrawn."""
    follower = make_follower()
    follower.handle_orders(RolloutsRead((), 10.1))
    follower.handle_orders(read(None, 10.0))
    assert follower.find_share("desk", 10.2) is None


def test_another_order_begins_without_grant_or_end() -> None:
    """The grant or the end of one order is used for the next one."""
    follower = make_follower()
    follower.handle_orders(read(RolloutState.COMPLETED, 10.1))
    follower.handle_orders(read(None, 10.2, structs.replace(ORDER, created=6)))
    assert follower.find_share("desk", 10.3) == NOTHING
    assert follower.make_reports(10.8, {}, {}) == []
