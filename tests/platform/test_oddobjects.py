"""An odd object among those of a kind names nothing, and the others are followed."""

import pytest

from masticdrum.model.cluster_events import (
    ClusterEvent,
    SourceLost,
    UpstreamsListed,
)
from masticdrum.platform.watchers import (
    CRASHES,
    DATA_CENTRES,
    DIRECTORY,
    MEMBERS,
    UPSTREAMS,
    WEIGHTS,
    WatchedKind,
)
from tests.platform.oddobjects import (
    ODD_SPECS,
    ODD_VALUES,
    follow,
    make_changes,
    make_object,
    make_page,
    make_server,
)

KINDS = (CRASHES, DATA_CENTRES, DIRECTORY, MEMBERS, UPSTREAMS, WEIGHTS)
SOUND = make_server("i-b")
ODD_OBJECTS = {
    **{k: make_object("i-a", v) for k, v in (ODD_SPECS | ODD_VALUES).items()},
    **{f"{k}, unread": make_server("i-a", more=v) for k, v in ODD_VALUES.items()},
}


def list_names(event: ClusterEvent) -> list[str]:
    assert isinstance(event, UpstreamsListed)
    return [upstream.name for upstream in event.upstreams]


# Guards against a process that ends at an object of any kind that is nested deeply
# (RecursionError), also in a field that nobody reads (LOST).
@pytest.mark.parametrize("watched", KINDS, ids=lambda watched: watched.kind)
@pytest.mark.parametrize("odd", ODD_OBJECTS.values(), ids=ODD_OBJECTS)
def test_a_nested_object_doesnt_end_the_process_by_recursionerror(
    watched: WatchedKind, odd: bytes
) -> None:
    _, calls = follow(watched, [make_page([odd]), make_page([])], [make_changes([odd])])
    assert calls[-1] == "watch"


# Guards against a process that ends at a list that is nested deeply (RecursionError),
# or asks for it again and again without a pause.
@pytest.mark.parametrize("body", [b"[" * 5000, b'{"items":[{"', b"", b"\xff", b"[]"])
def test_a_list_that_is_no_list_is_read_again_with_pauses(body: bytes) -> None:
    events, calls = follow(UPSTREAMS, [body], [], for_s=10.0)
    assert 10 < len(calls) < 30
    assert {type(event) for event in events} == {SourceLost}
    events, calls = follow(UPSTREAMS, [body, make_page([SOUND])], [])
    assert calls == ["list", "list", "watch"]
    assert list_names(events[-1]) == ["i-b"]
