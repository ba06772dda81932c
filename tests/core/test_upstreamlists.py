"""Lists and rankings of upstreams that are kept agree with what is known."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.clusterstate import ClusterState
from masticdrum.model.cluster_events import (
    ClusterEvent,
    DataCentresDrained,
    DirectoryConfirmed,
    Source,
    SourceLost,
    SourceRegained,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
)
from tests.forwarding import Entry, make_upstream

NAMES = [f"engines-{number}" for number in range(5)]
SERVICES = ["engines", "desk"]
CENTRES = ["north", "south"]


def draw_upstreams() -> st.SearchStrategy:
    return st.builds(
        lambda name, service, centre, leaving, born: make_upstream(
            name, service, data_centre=centre, leaving=leaving, born=born
        ),
        st.sampled_from(NAMES),
        st.sampled_from(SERVICES),
        st.sampled_from(CENTRES),
        st.booleans(),
        st.integers(0, 1),
    )


EVENTS: st.SearchStrategy[ClusterEvent] = st.one_of(
    st.builds(UpstreamChanged, draw_upstreams()),
    st.builds(UpstreamGone, st.sampled_from(NAMES)),
    st.builds(UpstreamsListed, st.lists(draw_upstreams(), max_size=4).map(tuple)),
    st.builds(DataCentresDrained, st.frozensets(st.sampled_from(CENTRES))),
    st.just(SourceLost(Source.UPSTREAMS, "silent")),
    st.just(SourceRegained(Source.UPSTREAMS, 5.0)),
    st.just(DirectoryConfirmed(100.0)),
)


def list_afresh(cluster_state: ClusterState, service: str, now: float) -> list[str]:
    return sorted(
        known.upstream.name
        for known in cluster_state.known.values()
        if known.upstream.service == service
        and not known.upstream.leaving
        and known.upstream.data_centre not in (cluster_state.drained or ())
        and (known.usable_until is None or now < known.usable_until)
    )


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(EVENTS, st.floats(0.0, 3.0)), max_size=25))
def test_kept_lists_agree_with_what_is_known(
    steps: list[tuple[ClusterEvent, float]],
) -> None:
    entry = Entry(upstreams=())
    state = entry.state.cluster_state
    for event, wait_s in steps:
        entry.handle_event(event)
        entry.now += wait_s
        for service in SERVICES:
            listed = state.list_usable_upstreams(service, entry.now)
            names = sorted(known.upstream.name for known in listed)
            assert names == list_afresh(state, service, entry.now)
            ranked = sorted(state.rank_upstreams(service, 7))
            assert ranked == sorted(state.by_service.get(service, {}))
        coldest = max((k.cold_until for k in state.known.values()), default=0.0)
        assert coldest <= state.any_cold_until


def test_processes_that_know_the_same_upstreams_rank_them_alike() -> None:
    upstreams = tuple(make_upstream(name, "engines") for name in NAMES)
    one, other = Entry(upstreams=upstreams), Entry(upstreams=upstreams[::-1])
    for key in range(50):
        ranked = [
            list(entry.state.cluster_state.rank_upstreams("engines", key))
            for entry in (one, other)
        ]
        assert ranked[0] == ranked[1]


def test_an_upstream_that_leaves_moves_no_other_key() -> None:
    entry = Entry(upstreams=tuple(make_upstream(name, "engines") for name in NAMES))
    state = entry.state.cluster_state
    before = [list(state.rank_upstreams("engines", key)) for key in range(50)]
    entry.handle_event(UpstreamGone(NAMES[2]))
    for key, ranked in enumerate(before):
        after = list(state.rank_upstreams("engines", key))
        assert after == [name for name in ranked if name != NAMES[2]]
