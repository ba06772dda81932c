"""Streams are split into whole events, wherever the received bytes are split."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.shell.eventsplitter import EventSplitter

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
