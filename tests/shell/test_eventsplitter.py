"""Streams are split into whole events, wherever the received bytes are split."""

import re
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.shell.eventsplitter import (
    EVENT_ID,
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLong,
    find_answer_head,
    find_last_id,
)

MAX_EVENT_S = 1.0  # of the processor, for the longest event; more delays all others
STREAM = (
    b"id: 1\ndata: a\n\n"
    b"x-weight-versions: 2\nid: 2\ndata: b\r\n\r\n"
    b"data: no id: 9\n\n"
    b"id:3\ndata: c\n\n"
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_any_split_gives_the_same_events(cuts: list[int]) -> None:
    splitter = EventSplitter()
    cut_points = sorted({0, len(STREAM), *cuts})
    pieces = [STREAM[a:b] for a, b in zip(cut_points, cut_points[1:], strict=False)]
    whole = [splitter.feed(piece) for piece in pieces]
    assert b"".join(whole) == STREAM
    assert all(part.endswith((b"\n\n", b"\r\n\r\n")) for part in whole if part)
    assert splitter.is_whole
    assert splitter.last_event == 3


def test_an_incomplete_event_is_held_back() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert not splitter.is_whole
    assert splitter.last_event == 1


FRAGMENTS = [b"id:", b"id: 7", b"id:12", b"id:  3", b"id: x", b"data: id: 9", b" "]
ENDS = [b"\n", b"\n\n", b"\r\n", b"\r", b""]


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.lists(st.sampled_from(FRAGMENTS + ENDS), max_size=12))
def test_the_last_id_is_that_of_the_last_line_with_one(pieces: list[bytes]) -> None:
    events = b"".join(pieces)
    ids = [int(found[1]) for found in EVENT_ID.finditer(events)]
    assert find_last_id(events) == (ids[-1] if ids else None)


def test_an_event_without_end_is_given_up() -> None:
    splitter = EventSplitter(max_event_bytes=100)
    with pytest.raises(EventTooLong):
        for _ in range(20):
            splitter.feed(b"data: more ")


HEAD = b"HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\n"


# Guards against callers that find another answer's head and text within their stream,
# which has no length and no chunks (MIXED, ORDER).
@pytest.mark.parametrize("begun", [b"", b"id: 3\nda", b"id: 3\ndata: c\n"])
@pytest.mark.parametrize("size", [1, 7, 1000])
def test_another_answers_head_is_no_event(begun: bytes, size: int) -> None:
    splitter = EventSplitter()
    before = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    data = before + begun + HEAD + b"failed"
    whole = b""
    for at in range(0, len(data), size):
        whole += splitter.feed(data[at : at + size])
        if splitter.fault:
            break
    assert splitter.fault
    assert (whole, splitter.last_event) == (before, 2)


# What find_answer_head finds, in time that grows with the square of the size.
ANSWER_HEAD = re.compile(
    rb"(?:^|[\r\n])(?P<line>HTTP/\d)"
    rb"|(?P<within>HTTP/\d)\.\d \d{3}[^\r\n]*(?:\r?\n[^\r\n]+)*?"
    rb"\r?\n(?:content-length|content-type|connection|transfer-encoding|date):",
    re.IGNORECASE,
)
LINES = [b"HTTP/1.1 200 OK", b"x HTTP/1.0 500 no", b"http/2", b"Date: now", b"id: 1"]
LINES += [b"DATE:x", b"a", b"HTTP/1.1 20", b"HTTP/1.1 200Content-Type: a"]


@settings(derandomize=True, max_examples=2000, deadline=None)
@given(st.lists(st.sampled_from(LINES + ENDS), max_size=14))
def test_another_answers_head_is_found_where_it_begins(pieces: list[bytes]) -> None:
    events = b"".join(pieces)
    found = ANSWER_HEAD.search(events)
    at = None if found is None else max(found.start("line"), found.start("within"))
    assert find_answer_head(events) == at


# Guards against an entry that does nothing else for half a minute, while it looks for
# another answer's head in an event with many status lines (CONFIG).
@pytest.mark.parametrize(
    "line",
    [
        b"worker 3: HTTP/1.1 200 OK\n",
        b"worker 3: HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK HTTP/1.1 200 OK",
        b"a HTTP/1.1 200\r",
        b"a HTTP/1.1 200\n\n",
        b"HTTP/",
        b"HTTP/1.1 20",
        b"id: 7",
        b"id: 7\n",
        b"\n",
        b"\r",
        b"\r\n",
        b"7",
        b"a\nDate",
    ],
)
def test_the_time_for_an_event_grows_with_its_size_alone(line: bytes) -> None:
    event = b"data: a " + line * (MAX_EVENT_BYTES // len(line)) + b"\n\n"
    began = time.process_time()
    EventSplitter(max_event_bytes=2 * MAX_EVENT_BYTES).feed(event)
    assert time.process_time() - began < MAX_EVENT_S


# Guards against an entry that is held up by an event in thousands of pieces, each of
# which it joins with all before it (CONFIG).
@pytest.mark.parametrize("size", [8, 16])
def test_the_time_for_an_event_does_not_grow_with_its_pieces(size: int) -> None:
    event = b"data: " + b"x" * 4096 * size + b"\n\n"
    splitter = EventSplitter()
    began = time.process_time()
    for _ in range(4):
        pieces = [event[at : at + size] for at in range(0, len(event), size)]
        assert b"".join(splitter.feed(piece) for piece in pieces) == event
    assert time.process_time() - began < MAX_EVENT_S


# Guards against an entry that is kept busy by text without an end, in whole events, of
# an upstream whose stream it no longer is (CONFIG).
def test_a_stream_with_ids_ends_where_they_cease() -> None:
    splitter = EventSplitter(max_event_bytes=1000)
    sound = b"id: 1\ndata: a\n\n: still here\n\nid: 2\ndata: b\n\n"
    assert splitter.feed(sound) == sound
    fed = 0
    while not splitter.fault:
        fed += len(splitter.feed(b"data: worker 3 is idle\n\n"))
        assert fed <= 1000
    assert "without an event id" in splitter.fault and splitter.last_event == 2


def test_a_stream_without_ids_goes_on() -> None:
    splitter = EventSplitter(max_event_bytes=1000)
    event = b"data: " + b"a" * 300 + b"\n\n"
    assert all(splitter.feed(event) == event for _ in range(50))
    assert not splitter.fault


LONG_ID = b"7" * 5000


# Guards against an entry that ends at an event id with more digits than Python
# converts, and loses the requests of all others (LOST).
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("behind", [b"", b"id: 3"])
def test_an_event_with_an_id_of_thousands_of_digits_is_no_event(
    end: bytes, behind: bytes
) -> None:
    splitter = EventSplitter()
    before = b"id: 2" + end + b"data: b" + end + end
    odd = b"id: " + LONG_ID + end + b"data: c" + end + end
    after = behind + end + b"data: d" + end + end if behind else b""
    assert splitter.feed(before + odd + after) == before
    assert "5000 digits" in splitter.fault
    assert splitter.last_event == 2


def test_an_event_may_hold_a_long_number_elsewhere() -> None:
    splitter = EventSplitter()
    event = b"id: 1\ndata: id: " + LONG_ID + b"\n\n"
    assert splitter.feed(event) == event
    assert not splitter.fault and splitter.last_event == 1


@pytest.mark.parametrize(
    "event",
    [
        b"id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Type: text/plain\n\n",
        b"id: 1\r\ndata: HTTP/1.1 200 OK\r\ndata: Date: now\r\n\r\n",
        b"data: see HTTP/2\nid: 1\n\n",
    ],
)
def test_an_event_may_tell_of_an_answers_head(event: bytes) -> None:
    splitter = EventSplitter()
    assert splitter.feed(event) == event
    assert not splitter.fault and splitter.last_event == 1
