"""An odd object among those of a kind names nothing, and the others are followed."""

import msgspec
import pytest

from masticdrum.model.cluster_events import (
    ClusterEvent,
    DirectoryRead,
    SourceLost,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
    WeightsNamed,
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
    NESTED,
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


ODD_METADATA = {
    "a revision of 70 bits": b'{"name":"i-a","revision":%d}' % 2**70,
    "a negative revision": b'{"name":"i-a","revision":-1}',
    "a revision of 5,000 digits": b'{"name":"i-a","revision":1%s}' % (b"0" * 5000),
    "nested (RecursionError)": b'{"name":"i-a","labels":%s}' % NESTED,
    "text for a flag": b'{"name":"i-a","deleting":"no"}',
}
NAMELESS = {
    "no object": b"7",
    "nested (RecursionError)": NESTED,
    "an empty object": b"{}",
    "null metadata": make_object("", b"{}", b"null"),
    "no name": make_object("", b"{}", b"{}"),
    "a number for a name": make_object("", b"{}", b'{"name":7}'),
    "half a surrogate pair": make_object("", b"{}", b'{"name":"\\ud800"}'),
}


@pytest.mark.parametrize("metadata", ODD_METADATA.values(), ids=ODD_METADATA)
def test_odd_metadata_names_no_server(metadata: bytes) -> None:
    odd = make_object("", b'{"service":"desk"}', metadata)
    page = make_page([SOUND, odd, make_server("i-c")])
    events, _ = follow(UPSTREAMS, [page], [make_changes([make_server("i-a"), odd])])
    assert list_names(events[0]) == ["i-b", "i-c"]
    assert events[-1] == UpstreamGone("i-a")


@pytest.mark.parametrize("odd", NAMELESS.values(), ids=NAMELESS)
def test_an_object_without_a_name_is_left_out(
    odd: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged = record_logs(monkeypatch, "masticdrum.platform.watchers")
    page = make_page([SOUND, odd, make_server("i-c")])
    watches = [make_changes([odd, make_server("i-d")])]
    events, calls = follow(UPSTREAMS, [page], watches)
    assert list_names(events[0]) == ["i-b", "i-c"]
    assert isinstance(events[-1], UpstreamChanged)
    assert events[-1].upstream.name == "i-d"
    assert calls == ["list", "watch", "watch"]
    assert len(logged) == 2


# Guards against a page of a list that is read again and again without a pause, since
# the object with which the next one begins has no name.
@pytest.mark.parametrize("odd", NAMELESS.values(), ids=NAMELESS)
def test_a_page_that_names_nothing_is_not_read_in_a_tight_loop(odd: bytes) -> None:
    pages = [make_page([SOUND], more=b"true"), make_page([odd], more=b"true")]
    _, calls = follow(UPSTREAMS, pages, [], for_s=10.0)
    assert 10 < len(calls) < 40


def test_the_next_page_begins_after_the_last_name() -> None:
    pages = [make_page([SOUND, NAMELESS["no object"]], more=b"true")]
    pages.append(make_page([make_server("i-c")]))
    events, calls = follow(UPSTREAMS, pages, [])
    assert list_names(events[0]) == ["i-b", "i-c"]
    assert calls == ["list", "list", "watch"]


@pytest.mark.parametrize("as_of", [b"-1", b"1e3", b'"7"', b"null", b"1" * 5000, NESTED])
def test_an_odd_revision_of_a_list_or_watch_is_read_again_with_pauses(
    as_of: bytes,
) -> None:
    pages = [make_page([SOUND], as_of), make_page([SOUND])]
    events, calls = follow(UPSTREAMS, pages, [make_changes([SOUND], as_of=as_of)])
    assert calls == ["list", "list", "watch", "list", "watch"]
    assert list_names(events[-1]) == ["i-b"]


ODD_ADDRESSES = {
    "no address": b'""',
    "no port": b'"10.0.0.1"',
    "an empty port": b'"10.0.0.1:"',
    "no host": b'":80"',
    "port zero": b'"10.0.0.1:0"',
    "a negative port": b'"10.0.0.1:-80"',
    "a port of 65536": b'"10.0.0.1:65536"',
    "a port of 99999": b'"10.0.0.1:99999"',
    "a port of 5,000 digits": b'"10.0.0.1:8%s"' % (b"0" * 5000),
    "a superscript port": '"10.0.0.1:8²"'.encode(),
    "an Arabic port": '"10.0.0.1:٨٠"'.encode(),
    "a spaced port": b'"10.0.0.1: 80"',
    "a path": b'"10.0.0.1:80/x"',
    "a scheme": b'"http://10.0.0.1:80"',
    "a host name": b'"desk.example:80"',
    "a short host": b'"10.1:80"',
    "a host out of range": b'"10.0.0.256:80"',
    "an IPv6 address": b'"[::1]:80"',
    "a NUL": b'"10.0.0.1\\u0000:80"',
    "a line break": b'"10.0.0.1:80\\r\\n"',
    "a number": b"80",
    "null": b"null",
}
ODD_IDS = ["", " ", "i\r\nx: y", "i\x00", "i\u00e9", " i", "i "]


# Guards against an entry that ends as it connects to a port out of range or of too many
# digits, or that stands still while it looks a name up (LOST).
@pytest.mark.parametrize("address", ODD_ADDRESSES.values(), ids=ODD_ADDRESSES)
def test_an_address_that_cant_be_connected_to_names_no_server(
    address: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged = record_logs(monkeypatch, "masticdrum.platform.watchers")
    odd = make_server("i-a", address=address)
    events, _ = follow(UPSTREAMS, [make_page([SOUND, odd])], [make_changes([odd])])
    assert list_names(events[0]) == ["i-b"]
    assert events[1:] == [UpstreamGone("i-a")]
    assert len(logged[0].detail) <= 200


@pytest.mark.parametrize("name", ODD_IDS)
def test_an_id_that_cant_be_sent_in_a_header_names_no_server(name: str) -> None:
    metadata = b'{"name":%s}' % msgspec.json.encode(name)
    odd = make_server("i-a").replace(b'{"name":"i-a","revision":3}', metadata)
    assert metadata in odd
    events, _ = follow(UPSTREAMS, [make_page([SOUND, odd])], [])
    assert list_names(events[0]) == ["i-b"]


@pytest.mark.parametrize("address", ODD_ADDRESSES.values(), ids=ODD_ADDRESSES)
def test_an_odd_address_of_a_cache_store_refuses_the_configuration(
    address: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    if address == b'""':
        return  # means that the service is no store
    logged = record_logs(monkeypatch, "masticdrum.platform.watchers")
    service = b'{"name":"kept","kvStoreAddr":%s}' % address
    config = make_object("main", b'{"version":2,"services":[%s]}' % service)
    sound = make_object("main", b'{"version":1}')
    events, _ = follow(DIRECTORY, [make_page([sound])], [make_changes([config])])
    versions = [e.directory.version for e in events if isinstance(e, DirectoryRead)]
    assert versions == [1]
    assert logged[0].facts["object"] == "main"


HUGE = b"9" * 400
ODD_NUMBERS = [
    b"1" + b"0" * 5000,
    HUGE,
    b"-" + HUGE,
    b"1e400",
    b"true",
    b"null",
    b'"1"',
]
ODD_FIELDS = {
    **{
        f"{field} {number[:12].decode()} of {len(number)}": {field: number}
        for field in ("slots", "coldRemainingMs", "born", "sequence")
        for number in ODD_NUMBERS
    },
    "negative slots": {"slots": b"-1"},
    "slots of 64 bits": {"slots": b"%d" % 2**63},
    "slots with a fraction": {"slots": b"1.5"},
    "cold for 1e308 ms": {"coldRemainingMs": b"1e308"},
    "cold for -1e308 ms": {"coldRemainingMs": b"-1e308"},
    "born before the epoch": {"born": b"-1"},
    "born with 70 bits": {"born": b"%d" % 2**70},
    "a negative sequence": {"sequence": b"-1"},
    "huge weights": {"models": b'[{"name":"m1","version":%s}]' % HUGE},
    "negative weights": {"models": b'[{"name":"m1","version":-2}]'},
    "weights without a name": {"models": b'[{"version":2}]'},
    "models that are none": {"models": b"[7]"},
    "a number for its software": {"version": b"7"},
    "a list for a service": {"service": b"[]"},
    "an unknown state": {"state": b'"asleep"'},
}


# Guards against an entry that ends in its arithmetic on a number that is too large, or
# that believes a server to be cold or free for ever (LOST).
@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_an_odd_field_names_no_server(fields: dict[str, bytes]) -> None:
    odd = make_server("i-a", **fields)
    events, _ = follow(UPSTREAMS, [make_page([odd, SOUND])], [make_changes([odd])])
    assert list_names(events[0]) == ["i-b"]
    assert events[1:] == [UpstreamGone("i-a")]


@pytest.mark.parametrize("version", [HUGE, b"-1", b"1.5", b"%d" % 2**64, b'"2"'])
def test_an_odd_version_of_weights_is_not_wanted(version: bytes) -> None:
    odd = make_object("m1", b'{"model":"m1","version":%s}' % version)
    sound = make_object("m2", b'{"model":"m2","version":2}')
    events, _ = follow(WEIGHTS, [make_page([odd, sound])], [make_changes([odd])])
    assert {e.model for e in events if isinstance(e, WeightsNamed)} == {"m2"}


@pytest.mark.parametrize(
    "field", ["maxConnections", "coldStartS", "coldPerS", "maxConcurrency"]
)
@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda number: number[:8].decode())
def test_a_configuration_with_an_odd_number_is_refused(
    field: str, number: bytes
) -> None:
    service = b'{"name":"desk","%s":%s}' % (field.encode(), number)
    config = make_object("main", b'{"version":2,"services":[%s]}' % service)
    sound = make_object("main", b'{"version":1}')
    events, _ = follow(DIRECTORY, [make_page([sound])], [make_changes([config])])
    versions = [e.directory.version for e in events if isinstance(e, DirectoryRead)]
    assert versions == [1]


# Guards against a log that is full of one odd object, at each change of any other.
@pytest.mark.parametrize("watched", [MEMBERS, WEIGHTS], ids=lambda w: w.kind)
def test_an_odd_object_is_logged_once_until_it_changes(
    watched: WatchedKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged = record_logs(monkeypatch, "masticdrum.platform.watchers")
    odd, other = make_object("a" * 5000, NESTED), make_object("b", b'{"model":"b"}')
    both = b'{"model":"b","version":1,"name":"b","role":"entry","data_centre":"n"}'
    sound = make_object("b", both)
    watches = [make_changes([sound])] * 8
    follow(watched, [make_page([odd])], watches, for_s=30.0)
    assert [log.facts["object"] for log in logged] == ["a" * 100]
    logged.clear()
    follow(watched, [make_page([odd])], [make_changes([other]), make_changes([odd])])
    assert [log.facts["object"][:1] for log in logged] == ["a", "b", "a"]
