"""Odd numbers in what an entry reads end nothing, and sound upstreams serve on.

Each test replaces the numbers of an otherwise sound body. What is refused changes
nothing; what is taken goes through the entry's reducer, with requests behind it.
"""

from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.decoding import Undecodable
from masticdrum.core.forwarder import ForwardEvent
from masticdrum.model.cluster_events import (
    DirectoryRead,
    MembersListed,
    UpstreamChanged,
    WeightsNamed,
)
from masticdrum.model.crashes import CrashReportChanged
from masticdrum.model.exchange import StartAttempt, Ticked
from masticdrum.model.platform import ObjectAnswer, ObjectStatus
from masticdrum.platform.cachestores import build_report, read_events
from masticdrum.platform.engine import read_report
from masticdrum.platform.objects import (
    read_crash_report,
    read_directory,
    read_member,
    read_named_weights,
    read_upstream,
)
from tests.forwarding import HOST, Entry, pick

NUMBERS = st.one_of(
    st.integers().map(str),
    st.floats().map(repr),
    st.sampled_from(
        ["0", "-0.0", "-1", "1e308", "-1e308", "1e999", "0.5", "1_0", "+1", "NaN"]
        + ["true", "null", '"7"', "[7]", str(2**53), str(2**63), str(2**64)]
    ),
    st.integers(20, 5000).map(lambda digits: "9" * digits),
)
STEPS_S = (0.0, 0.05, 0.5, 2.0, 10.0)
EXAMPLES = settings(derandomize=True, max_examples=150, deadline=None)


def use(entry: Entry, events: list[ForwardEvent]) -> None:
    """Let an entry take events, and requests of each kind while time passes."""
    for event in events:
        entry.handle_event(event)
    for step_s in STEPS_S:
        entry.now += step_s
        entry.confirm()
        entry.handle_event(Ticked())
        for route in ("idempotent", "non_idempotent", "stream", "once"):
            for start in pick(entry.send_request(route), StartAttempt):
                entry.disconnect(start.handle)


def take(read: Callable[[], list[ForwardEvent]]) -> Entry:
    """Let a new entry use what is read, unless that is refused."""
    entry = Entry()
    try:
        events = read()
    except Undecodable:
        events = []
    use(entry, events)
    return entry


def assert_serves(entry: Entry) -> None:
    for route in ("idempotent", "non_idempotent", "stream", "once"):
        assert pick(entry.send_request(route), StartAttempt)


def list_configs(number: str) -> list[str]:
    """Return configurations, each with another field that is ``number``."""
    route = (
        f'"name":"stream","hostname":"{HOST}","pathPrefix":"/stream/",'
        '"routeType":"streaming","service":"engines","public":true'
    )
    routes = [
        f'{{{route},"{field}":{number}}}'
        for field in (
            "timeoutMs",
            "targetLatencyMs",
            "maxAttempts",
            "priority",
            "gapTargetMs",
        )
    ]
    backends = f'"backends":[{{"service":"engines","weight":{number}}}]'
    routes.append("{" + route.replace('"service":"engines"', backends) + "}")
    services = [
        f'{{"name":"engines","{field}":{number}}}'
        for field in ("maxConnections", "coldStartS", "coldPerS")
    ]
    services += [
        f'{{"name":"engines","engine":{{"{field}":{number}}}}}'
        for field in ("slots", "kvCapacityTokens")
    ]
    services += [
        f'{{"name":"kept","kvStoreAddr":"10.0.0.9:80","{field}":{number}}}'
        for field in ("kvCapacityTokens", "maxConcurrency")
    ]
    limits = [
        f'{{"{field}":{number}}}'
        for field in (
            "maxHeaderBytes",
            "maxBodyBytes",
            "headerTimeoutMs",
            "idleTimeoutMs",
        )
    ]
    tenant = f'{{"name":"depot","apiKeys":["k"],"priority":{number}}}'
    parts = [f'"version":{number}', f'"version":9,"tenants":[{tenant}]']
    parts += [f'"version":9,"routes":[{one}]' for one in routes]
    parts += [f'"version":9,"services":[{one}]' for one in services]
    parts += [f'"version":9,"limits":{one}' for one in limits]
    return [f"{{{part}}}" for part in parts]


@EXAMPLES
@given(NUMBERS)
def test_an_odd_number_in_a_configuration_ends_nothing(number: str) -> None:
    for config in list_configs(number):

        def read(spec: bytes = config.encode()) -> list[ForwardEvent]:
            return [DirectoryRead(read_directory(spec), 100.0)]

        take(read)


@EXAMPLES
@given(NUMBERS)
def test_sound_upstreams_serve_beside_one_with_odd_numbers(number: str) -> None:
    for service in ("desk", "engines"):
        sound = (
            f'"service":"{service}","address":"10.0.0.1:80","zone":"n","state":"ready"'
        )
        fields = ("slots", "coldRemainingMs", "born", "sequence")
        odd = [f'{{{sound},"{field}":{number}}}' for field in fields]
        odd.append(f'{{{sound},"models":[{{"name":"m1","version":{number}}}]}}')
        for body in odd:

            def read(spec: bytes = body.encode()) -> list[ForwardEvent]:
                return [UpstreamChanged(read_upstream("odd", spec))]

            assert_serves(take(read))


@EXAMPLES
@given(NUMBERS)
def test_odd_numbers_in_objects_of_the_system_end_nothing(number: str) -> None:
    claim = '"claim":"c","upstream":"engines-1","request":"r","keys":["part a"]'
    claims = [
        f'{{{claim},"born":{number},"at":1.0}}',
        f'{{{claim},"born":1,"at":{number}}}',
        f'{{{claim},"born":1,"at":1.0,"begun_s":{number}}}',
    ]
    for one in claims:
        body = f'{{"publisher":"entry-2","claims":[{one}]}}'.encode()
        take(lambda b=body: [CrashReportChanged(read_crash_report(b))])
    member = '"name":"entry-2","role":"entry","data_centre":"n"'
    body = f'{{{member},"directory":{number}}}'.encode()
    take(lambda b=body: [MembersListed((read_member(b),))])
    body = f'{{"model":"m1","version":{number}}}'.encode()
    take(lambda b=body: [WeightsNamed(*read_named_weights(b))])


@EXAMPLES
@given(NUMBERS)
def test_odd_numbers_in_the_record_of_software_end_nothing(number: str) -> None:
    for body in (
        f'{{"era":{number},"versions":{{}}}}',
        f'{{"era":1,"versions":{{"engines":{{"v1":{number}}}}}}}',
    ):

        def read(spec: bytes = body.encode()) -> list[ForwardEvent]:
            return [ObjectAnswer("read", ObjectStatus.OK, spec, 1)]

        take(read)


@EXAMPLES
@given(NUMBERS)
def test_odd_numbers_of_a_cache_store_or_an_engine_end_nothing(number: str) -> None:
    event = '"+","m1.1","a1"'
    for body in (
        f'{{"bootEpoch":{number},"next":1,"events":[]}}',
        f'{{"bootEpoch":1,"next":{number},"events":[]}}',
        f'{{"bootEpoch":1,"next":1,"events":[[{number},{event},600,"m1"]]}}',
        f'{{"bootEpoch":1,"next":1,"events":[[1,{event},{number},"m1"]]}}',
    ):

        def read(spec: bytes = body.encode()) -> list[ForwardEvent]:
            return [build_report("kept", read_events(spec))]

        take(read)
    for field in ("sequence", "born"):
        try:
            view = read_report(f'{{"{field}":{number}}}'.encode()).describe()
        except Undecodable:
            continue
        assert view.accepted >= 0
