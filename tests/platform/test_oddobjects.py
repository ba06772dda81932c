"""An odd object among those of a kind names nothing, and the others are followed."""

import pytest

from masticdrum.model.cluster_events import (
    ClusterEvent,
    SourceLost,
    UpstreamChanged,
    UpstreamGone,
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
    record_logs,
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


# Guards against an entry that ends, or that never reads the list, since one
# registration is nested deeply (RecursionError) or isn't valid JSON (LOST).
@pytest.mark.parametrize("odd", ODD_OBJECTS.values(), ids=ODD_OBJECTS)
def test_an_odd_registration_in_a_list_leaves_out_only_itself(
    odd: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged = record_logs(monkeypatch, "masticdrum.platform.watchers")
    page = make_page([SOUND, odd, make_server("i-c")])
    events, calls = follow(UPSTREAMS, [page], [])
    assert [list_names(event) for event in events] == [["i-b", "i-c"]]
    assert calls == ["list", "watch"]
    assert [log.facts["object"] for log in logged] == ["i-a"]
    assert logged[0].detail


# Guards against an entry that ends at, or asks again and again for, a change that is
# nested deeply (RecursionError) or isn't valid JSON, and so never hears of later ones.
@pytest.mark.parametrize("odd", ODD_OBJECTS.values(), ids=ODD_OBJECTS)
def test_an_odd_registration_in_a_watch_leaves_out_only_itself(odd: bytes) -> None:
    watches = [make_changes([SOUND, odd, make_server("i-c")])]
    watches.append(make_changes([make_server("i-d")]))
    events, calls = follow(UPSTREAMS, [make_page([])], watches)
    changed = [e.upstream.name for e in events if isinstance(e, UpstreamChanged)]
    assert changed == ["i-b", "i-c", "i-d"]
    assert calls == ["list", "watch", "watch", "watch"]


# Guards against a registration that stays in use after it was replaced by one that is
# nested deeply (RecursionError) or isn't valid JSON.
@pytest.mark.parametrize("odd", ODD_OBJECTS.values(), ids=ODD_OBJECTS)
def test_a_registration_that_becomes_odd_is_gone_until_it_is_sound(odd: bytes) -> None:
    sound = make_server("i-a")
    watches = [make_changes([odd]), make_changes([sound]), make_changes([odd])]
    watches.append(make_changes([odd], deleted=b"true"))
    events, _ = follow(UPSTREAMS, [make_page([sound])], watches)
    gone = UpstreamGone("i-a")
    assert [event for event in events[1:] if event == gone] == [gone] * 3
    assert isinstance(events[2], UpstreamChanged)


@pytest.mark.parametrize("watched", KINDS, ids=lambda watched: watched.kind)
@pytest.mark.parametrize("odd", ODD_OBJECTS.values(), ids=ODD_OBJECTS)
def test_an_odd_object_of_any_kind_ends_nothing(
    watched: WatchedKind, odd: bytes
) -> None:
    page = make_page([odd, make_object("i-b", b"{}")])
    watches = [make_changes([odd]), make_changes([odd], deleted=b"true")]
    _, calls = follow(watched, [page], watches)
    assert calls == ["list", "watch", "watch", "watch"]


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
