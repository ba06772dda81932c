"""Datagrams between processes arrive, or are dropped and counted."""

import socket
from contextlib import suppress

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct
from msgspec.structs import astuple

from masticdrum.core.decoding import Undecodable, read_msgpack
from masticdrum.model.origins import (
    OriginMessage,
    OriginQueried,
    OriginQuery,
    OriginRecord,
    OriginReply,
)
from masticdrum.model.rollouts import (
    LATENCY_BUCKETS,
    UPSTREAM_GROUPS,
    RolloutGrant,
    RolloutMessage,
    RolloutReport,
    RolloutReported,
    Tally,
)
from masticdrum.shell.datagrams import (
    MAX_DATAGRAM_BYTES,
    DatagramEvent,
    DatagramSocket,
    Message,
)
from masticdrum.shell.metrics import Metrics
from tests.processes.deployment import assign_free_ports

WAIT_S = 10.0
RECORD = OriginRecord("r1", "v1")


class OlderRecord(Struct, frozen=True, array_like=True, tag="record"):
    """What processes of the version before send and decode."""

    request: str
    software: str


class OlderQuery(Struct, frozen=True, array_like=True, tag="query"):
    """What entries of the version before send, and agents decode."""

    handle: int
    request: str
    service: str
    life_s: float


class OlderReply(Struct, frozen=True, array_like=True, tag="reply"):
    """What agents of the version before send, and entries decode."""

    handle: int
    request: str
    software: str | None
    versions: tuple[str, ...]
    is_complete: bool


OlderMessage = OlderRecord | OlderQuery | OlderReply


def exchange(messages: list[Message | bytes]) -> list[DatagramEvent]:
    """Send messages and raw datagrams, then a record; return what arrived before it."""
    port = assign_free_ports(("datagrams",))["datagrams"]
    heard: list[DatagramEvent] = []

    async def run() -> None:
        receiver = DatagramSocket(f"127.0.0.1:{port}", Metrics())
        sender = DatagramSocket(f"127.0.0.2:{port}", Metrics())
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for message in messages:
            if isinstance(message, bytes):
                raw.sendto(message, ("127.0.0.1", port))
            elif isinstance(message, RolloutMessage):
                sender.send_to_address(f"127.0.0.1:{port}", message)
            else:
                sender.send_to_hosts(("127.0.0.1:80",), message)
        sender.send_to_hosts(("127.0.0.1:80",), RECORD)
        raw.close()

        def submit(event: DatagramEvent) -> None:
            heard.append(event)
            if event == RECORD:
                nursery.cancel_scope.cancel()

        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as nursery:
                await receiver.receive(submit)

    trio.run(run)
    return heard[:-1]


def test_messages_arrive_and_queries_name_their_sender() -> None:
    query = OriginQuery(7, "r2")
    reply = OriginReply(7, "r2", None)
    queried, replied = exchange([query, reply])
    assert isinstance(queried, OriginQueried)
    assert queried.peer[0] == "127.0.0.2" and queried.query == query
    assert replied == reply


def make_report(routes: int) -> RolloutReport:
    counts, latencies = (10**6,) * UPSTREAM_GROUPS, (10**6,) * LATENCY_BUCKETS
    tallies = tuple(
        Tally(f"route-{n}", is_target, counts, counts, latencies)
        for n in range(routes)
        for is_target in (False, True)
    )
    return RolloutReport("s", "v2", 7, "e", "i", 1.5, 3, 12, "", tallies)


# A report on 30 routes still is one datagram.
@pytest.mark.parametrize("routes", [0, 1, 30])
def test_reports_name_their_sender_and_grants_arrive(routes: int) -> None:
    report = make_report(routes)
    grant = RolloutGrant("s", "v2", 7, 2, 3, 0.25, 1.5, 1.2, "", ("i-1",))
    reported, granted = exchange([report, grant])
    assert isinstance(reported, RolloutReported)
    assert reported.peer[0] == "127.0.0.2" and reported.report == report
    assert granted == grant


@pytest.mark.parametrize(
    "address",
    ["", "nowhere", "127.0.0.1:", "127.0.0.1:99999999999", "localhost:80", "1.2.3:80"],
)
def test_a_report_to_no_address_is_dropped_and_counted(address: str) -> None:
    metrics = Metrics()

    async def run() -> None:
        port = assign_free_ports(("datagrams",))["datagrams"]
        sender = DatagramSocket(f"127.0.0.1:{port}", metrics)
        sender.send_to_address(address, make_report(1))

    trio.run(run)
    dropped = metrics.registry.get_sample_value(
        "masticdrum_frames_dropped_total", {"reason": "not sent"}
    )
    assert dropped == 1


def test_datagrams_that_are_no_message_are_dropped() -> None:
    cut_off = msgspec.msgpack.encode(OriginRecord("r2", "v2"))[:-1]
    other_tag = msgspec.msgpack.encode({"type": "else", "request": "r2"})
    other_type = msgspec.msgpack.encode({"type": "record", "request": 7})
    too_long = msgspec.msgpack.encode(OriginRecord("r" * MAX_DATAGRAM_BYTES, "v2"))
    assert (
        exchange([b"", b"\xff" * 100, cut_off, other_tag, other_type, too_long]) == []
    )


# Guards against processes that end at a datagram that is nested deeply
# (RecursionError), which anyone on the network can send (LOST).
@pytest.mark.parametrize(
    "start", [b"", b"\x94\xa6record\xa2r2\xa2v2", b"\x81\xa4type"], ids=repr
)
@pytest.mark.parametrize("levels", [500, 1000, 2000, 4000])
def test_a_nested_datagram_doesnt_end_the_process_by_recursionerror(
    start: bytes, levels: int
) -> None:
    nested = start + b"\x91" * levels + b"\xc0"
    expected = [OriginRecord("r2", "v2")] if b"record" in start and levels < 900 else []
    assert exchange([nested]) == expected


@given(st.binary(max_size=60) | st.binary(max_size=40).map(b"\x93\xa6record".__add__))
@settings(derandomize=True, max_examples=2000)
def test_any_bytes_are_a_message_or_undecodable(data: bytes) -> None:
    decoder = msgspec.msgpack.Decoder(Message)
    with suppress(Undecodable):
        assert isinstance(read_msgpack(data, decoder), Message)


def test_messages_that_are_too_long_are_not_sent() -> None:
    assert exchange([OriginRecord("r" * MAX_DATAGRAM_BYTES, "v2")]) == []


# Guards against refused streams while a new version of this system is rolled out, since
# its processes and those of the version before can't decode each other's messages.
@pytest.mark.parametrize(
    ("sent", "decoded"),
    [
        (RECORD, OlderRecord("r1", "v1")),
        (OriginQuery(7, "r2"), OlderQuery(7, "r2", "", 0.0)),
        (OriginReply(7, "r2", "v1"), OlderReply(7, "r2", "v1", (), False)),
        (OriginReply(7, "r2", None), OlderReply(7, "r2", None, (), False)),
    ],
)
def test_older_processes_decode_messages(
    sent: OriginMessage, decoded: OlderMessage
) -> None:
    decoder = msgspec.msgpack.Decoder(OlderMessage)
    assert read_msgpack(msgspec.msgpack.encode(sent), decoder) == decoded


@pytest.mark.parametrize(
    ("sent", "kind", "values"),
    [
        (OlderRecord("r1", "v1"), OriginRecord, ("r1", "v1")),
        (OlderQuery(7, "r2", "desk", 30.0), OriginQuery, (7, "r2")),
        (OlderReply(7, "r2", "v1", ("v1",), True), OriginReply, (7, "r2", "v1")),
        (OlderReply(7, "r2", None, (), False), OriginReply, (7, "r2", None)),
    ],
)
def test_messages_of_older_processes_are_decoded(
    sent: OlderMessage, kind: type[OriginMessage], values: tuple[object, ...]
) -> None:
    decoder = msgspec.msgpack.Decoder(OriginMessage)
    message = read_msgpack(msgspec.msgpack.encode(sent), decoder)
    assert type(message) is kind
    assert astuple(message)[: len(values)] == values
