"""What a process knows while the platform is lost and returns."""

import pytest

from masticdrum.core.clusterstate import REREGISTER_S
from masticdrum.core.exchangestate import ExchangeState
from masticdrum.core.outlierdetection import EJECT_AFTER_FAILURES, OutlierDetector
from masticdrum.core.restores import REWRITE_S
from masticdrum.model.cluster_events import (
    DataCentresDrained,
    DirectoryRead,
    Member,
    MembersListed,
    Source,
    SourceLost,
    SourceRegained,
    StoreRestored,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
    WeightsNamed,
)
from masticdrum.model.directory import Upstream
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import Refuse, StartAttempt
from tests.forwarding import (
    BOUNDS,
    MODEL,
    UPSTREAMS,
    Entry,
    make_directory,
    make_upstream,
    pick,
)


def test_upstreams_that_expire_in_an_outage_are_used_until_they_can_register() -> None:
    entry = Entry()
    entry.handle_event(SourceLost(Source.UPSTREAMS, "silent"))
    entry.handle_event(SourceRegained(Source.UPSTREAMS, 5.0))
    entry.handle_event(UpstreamsListed(()))
    assert entry.state.cluster_state.list_usable_upstreams("desk", entry.now)
    entry.now += REREGISTER_S + 0.1
    assert not entry.state.cluster_state.list_usable_upstreams("desk", entry.now)


def test_an_upstream_that_registers_again_stays_in_use() -> None:
    entry = Entry()
    entry.handle_event(SourceLost(Source.UPSTREAMS, "silent"))
    entry.handle_event(SourceRegained(Source.UPSTREAMS, 5.0))
    entry.handle_event(UpstreamGone("desk-1"))
    entry.handle_event(UpstreamChanged(UPSTREAMS[0]))
    entry.now += REREGISTER_S + 0.1
    usable = entry.state.cluster_state.list_usable_upstreams("desk", entry.now)
    assert "desk-1" in [known.upstream.name for known in usable]


def test_an_upstream_removed_without_an_outage_is_dropped_at_once() -> None:
    entry = Entry()
    entry.handle_event(UpstreamGone("desk-1"))
    usable = entry.state.cluster_state.list_usable_upstreams("desk", entry.now)
    assert "desk-1" not in [known.upstream.name for known in usable]


def test_a_data_centre_that_returns_counts_as_cold() -> None:
    entry = Entry()
    entry.handle_event(DataCentresDrained(frozenset({"north"})))
    assert not pick(entry.send_request("stream"), StartAttempt)
    entry.handle_event(DataCentresDrained(frozenset()))
    sent = sum(len(pick(entry.send_request("stream"), StartAttempt)) for _ in range(50))
    assert sent <= 3


def test_a_restarted_upstream_is_cold_as_its_registration_states() -> None:
    entry = Entry()
    again = make_upstream("engines-1", "engines", born=2, cold_s=3.0)
    entry.handle_event(UpstreamChanged(again))
    assert entry.state.cluster_state.known["engines-1"].cold_until == entry.now + 3.0


def test_a_failing_upstream_is_ejected_longer_with_each_relapse() -> None:
    detector = OutlierDetector()
    now, pauses = 0.0, []
    for _ in range(4):
        for _ in range(EJECT_AFTER_FAILURES):
            detector.record_failure(now)
        pauses.append(detector.ejected_until - now)
        now = detector.ejected_until
        assert not detector.is_ejected(now)
    assert pauses == sorted(pauses) and pauses[0] < pauses[-1]


def test_a_rejection_is_no_failure_and_success_resets_its_pause() -> None:
    detector = OutlierDetector()
    detector.record_rejection(0.0)
    first = detector.ejected_until
    detector.record_rejection(first)
    assert detector.ejected_until - first > first
    detector.record_success()
    detector.record_rejection(10.0)
    assert detector.ejected_until == 10.0 + first
    assert detector.failure_rate == 0.0


def test_weights_are_superseded_since_the_first_newer_ones_were_named() -> None:
    entry = Entry()
    cluster_state = entry.state.cluster_state
    assert cluster_state.find_superseded_at(MODEL, 1) is None
    entry.handle_event(WeightsNamed(MODEL, 3, 110.0))
    entry.handle_event(WeightsNamed(MODEL, 7, 120.0))
    times = [
        cluster_state.find_superseded_at(MODEL, version) for version in (1, 2, 3, 7)
    ]
    assert times == [110.0, 110.0, 120.0, None]


def test_weights_superseded_before_this_process_started_have_no_known_time() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 3))
    assert entry.state.cluster_state.find_superseded_at(MODEL, 1) == float("-inf")


def list_members(*names: str) -> MembersListed:
    return MembersListed(tuple(Member(name, "entry", "north") for name in names))


# Guards against shares of common limits that grow because a restored store has
# forgotten some of the processes that share them.
def test_members_that_the_store_forgot_still_share_limits_after_a_restore() -> None:
    entry = Entry()
    entry.handle_event(list_members("entry-1", "entry-2", "entry-3"))
    entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(list_members("entry-1"))
    assert entry.state.count_peer_entries() == 3
    entry.now += REWRITE_S
    entry.handle_event(list_members("entry-1", "entry-2"))
    assert entry.state.count_peer_entries() == 2


# Guards against keys that work on after they were revoked, since a restored store that
# holds an older configuration still confirms the one in force (CONFIG).
def test_a_restored_store_with_an_older_configuration_confirms_nothing() -> None:
    entry = Entry()
    cluster_state = entry.state.cluster_state
    entry.handle_event(DirectoryRead(make_directory(7), entry.now))
    entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(DirectoryRead(make_directory(3), entry.now))
    entry.now += BOUNDS.cluster_state.revoke_s
    entry.confirm()
    assert not cluster_state.is_leased(entry.now)
    entry.handle_event(DirectoryRead(make_directory(7), entry.now))
    assert cluster_state.is_leased(entry.now)
    entry.now += BOUNDS.cluster_state.revoke_s
    entry.confirm()
    assert cluster_state.is_leased(entry.now) and cluster_state.version == 7


def list_versions(*versions: int) -> MembersListed:
    members = (
        Member(f"entry-{version}", "entry", "north", directory=version)
        for version in versions
    )
    return MembersListed(tuple(members))


# Guards against a process that starts after a restore and serves by the configuration
# in the copy, with revoked keys and without routes that were added (CONFIG).
@pytest.mark.parametrize("members_first", [True, False])
def test_a_process_that_starts_with_an_outdated_configuration_has_no_lease(
    members_first: bool,
) -> None:
    entry = Entry()
    state = entry.state = ExchangeState("entry-2", "entry", BOUNDS, 1)
    read = DirectoryRead(make_directory(3), entry.now)
    for event in (
        [list_versions(7), read] if members_first else [read, list_versions(7)]
    ):
        entry.handle_event(event)
    assert not state.cluster_state.is_leased(entry.now)
    entry.confirm()
    (refuse,) = pick(entry.send_request("idempotent"), Refuse)
    assert (refuse.kind, refuse.status) == (ErrorKind.TABLES_STALE, 503)
    entry.handle_event(DirectoryRead(make_directory(7), entry.now))
    assert state.cluster_state.is_leased(entry.now)


def test_a_process_that_serves_keeps_its_lease_when_others_read_sooner() -> None:
    entry = Entry()
    entry.now += REWRITE_S
    entry.confirm()
    entry.handle_event(list_versions(7))
    assert entry.state.cluster_state.is_leased(entry.now)
    until = entry.state.cluster_state.lease.until
    entry.now += 1.0
    entry.confirm()
    assert entry.state.cluster_state.lease.until == until


def make_desk(sequence: int, **changes: object) -> Upstream:
    return make_upstream("desk-1", born=7, sequence=sequence, **changes)


def list_desks(entry: Entry) -> list[str]:
    usable = entry.state.cluster_state.list_usable_upstreams("desk", entry.now)
    return [known.upstream.name for known in usable]


# Guards against requests at a server that is leaving, since the copy that the store
# came back from still calls it ready (DRAIN).
def test_an_upstream_that_said_it_leaves_is_not_used_again_after_a_restore() -> None:
    entry = Entry(upstreams=(make_desk(4), make_upstream("desk-2")))
    entry.handle_event(UpstreamChanged(make_desk(20, leaving=True)))
    entry.handle_event(StoreRestored(2, 1))
    listed = (make_desk(4), make_upstream("desk-2"))
    entry.handle_event(UpstreamsListed(listed))
    assert list_desks(entry) == ["desk-2"]
    entry.handle_event(UpstreamChanged(make_desk(21, leaving=True)))
    assert list_desks(entry) == ["desk-2"]


# Guards against requests at a server that is gone, since the copy that the store came
# back from still lists it (DRAIN).
def test_an_upstream_that_had_left_is_not_used_again_after_a_restore() -> None:
    entry = Entry(upstreams=(make_desk(4), make_upstream("desk-2")))
    entry.handle_event(UpstreamGone("desk-1"))
    entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(UpstreamsListed((make_desk(4), make_upstream("desk-2"))))
    assert list_desks(entry) == ["desk-2"]
    entry.now += BOUNDS.unregister_s - 0.1
    assert list_desks(entry) == ["desk-2"]


def test_an_upstream_that_the_copy_brought_back_is_used_once_it_reports() -> None:
    entry = Entry(upstreams=(make_desk(4), make_upstream("desk-2")))
    entry.handle_event(UpstreamGone("desk-1"))
    entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(UpstreamsListed((make_desk(4), make_upstream("desk-2"))))
    entry.handle_event(UpstreamChanged(make_desk(9)))
    assert "desk-1" in list_desks(entry)


def test_an_upstream_that_stays_registered_after_a_restore_is_used() -> None:
    entry = Entry(upstreams=(make_desk(4), make_upstream("desk-2")))
    entry.handle_event(UpstreamGone("desk-1"))
    entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(UpstreamsListed((make_desk(4), make_upstream("desk-2"))))
    assert list_desks(entry) == ["desk-2"]
    entry.now += BOUNDS.unregister_s
    assert sorted(list_desks(entry)) == ["desk-1", "desk-2"]


# Guards against callers refused for want of servers, since a restored store has
# forgotten those that registered last and was away too shortly for an outage.
def test_upstreams_that_the_store_forgot_are_used_until_they_can_register() -> None:
    entry = Entry()
    entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(UpstreamsListed(()))
    assert len(list_desks(entry)) == 3
    entry.now += REREGISTER_S + 0.1
    assert not list_desks(entry)


# Guards against requests in a data centre that operators have drained, since a restored
# store has forgotten that (EVAC).
def test_a_data_centre_stays_drained_while_its_operators_write_that_again() -> None:
    entry = Entry()
    entry.handle_event(DataCentresDrained(frozenset({"north", "south"})))
    entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(DataCentresDrained(frozenset()))
    assert entry.state.cluster_state.drained == {"north", "south"}
    put_back = DataCentresDrained(frozenset({"south"}), frozenset({"north"}))
    entry.handle_event(put_back)
    assert entry.state.cluster_state.drained == {"south"}
    entry.now += REWRITE_S
    entry.handle_event(DataCentresDrained(frozenset()))
    assert entry.state.cluster_state.drained == frozenset()
