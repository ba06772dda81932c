"""Splits a stream of server-sent events into whole events.

splitter = EventSplitter()
splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")  # b"id: 1\\ndata: a\\n\\n"
splitter.last_event  # 1
"""

import re

from masticdrum.core.decoding import MAX_DIGITS, read_digits

EVENT_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)(?=[\r\n])")
LONG_ID = re.compile(rb"id:[ ]?\d{%d}" % (MAX_DIGITS + 1))
MAX_END_BYTES = 4
MAX_EVENT_BYTES = 256 * 1024
# The head of another answer, in a stream that its connection's end ends. It may
# follow a part of an event on the same line; no line of an event begins like a header.
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}", re.IGNORECASE)
LINE_OF_ANSWER = re.compile(rb"(?:^|[\r\n])HTTP/\d", re.IGNORECASE)
HEADER = re.compile(
    rb"\n(?:content-length|content-type|connection|transfer-encoding|date):",
    re.IGNORECASE,
)
# Neither a line nor what ends it stands here, so a head doesn't go on behind it.
HEAD_BREAK = re.compile(rb"\n(?=[\r\n])|\r(?!\n)")
ANSWER_MARK = b"HTTP/"


class EventTooLong(Exception):
    """An upstream sends an event without an end."""


class EventSplitter:
    """Buffers the last event until it has arrived completely.

    ``fault`` says why what follows the last event is none, or is empty.
    """

    __slots__ = (
        "_max_event_bytes",
        "_rest",
        "_unnamed_bytes",
        "fault",
        "last_event",
    )

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = bytearray()
        self._unnamed_bytes = 0  # since the last event with an id
        self.fault = ""
        self.last_event: int | None = None

    @property
    def is_whole(self) -> bool:
        """Whether the data so far ends with a complete event."""
        return not self._rest

    @property
    def kept_bytes(self) -> int:
        """The size of the event that has not arrived completely."""
        return len(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Add data and return the whole events that it completes.

        Raises ``EventTooLong`` for an event that doesn't end.
        """
        if not self._rest and data.endswith(b"\n\n") and b"\r" not in data:
            whole = data
        else:
            whole = self._take_whole(data)
        if ANSWER_MARK in whole:
            whole = self._cut_off_answer(whole)
        if LONG_ID.search(whole) is not None:
            whole = self._cut_off_long_id(whole)
        last_event = find_last_id(whole)
        if last_event is not None:
            self.last_event = last_event
            self._unnamed_bytes = 0
            return whole
        self._unnamed_bytes += len(whole)
        if self.last_event is None or self._unnamed_bytes <= self._max_event_bytes:
            return whole
        self.fault = f"{self._unnamed_bytes} bytes without an event id"
        return b""

    def _take_whole(self, data: bytes) -> bytes:
        """Add data to the rest and remove the whole events from it.

        Only what was added is searched for an end: an event may come in many pieces.
        """
        searched = max(0, len(self._rest) - MAX_END_BYTES + 1)
        self._rest += data
        end = 0
        for found in EVENT_END.finditer(self._rest, searched):
            end = found.end()
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        if len(self._rest) > self._max_event_bytes:
            raise EventTooLong(f"an event is over {self._max_event_bytes} bytes")
        return whole

    def _cut_off_answer(self, events: bytes) -> bytes:
        """Return the events before another answer's head, if there is one."""
        at = find_answer_head(events)
        if at is None:
            return events
        self.fault = "another answer follows the last event"
        return cut_events(events, at)

    def _cut_off_long_id(self, events: bytes) -> bytes:
        """Return the events before one whose id has too many digits, if there is one.

        No caller could name it to go on behind it.
        """
        for found in EVENT_ID.finditer(events):
            if len(found[1]) > MAX_DIGITS:
                self.fault = f"an event id of {len(found[1])} digits"
                return cut_events(events, found.start(1))
        return events


def find_answer_head(events: bytes) -> int | None:
    """Return where the first head of another answer begins, or None.

    That is a status line at the start of a line, or one elsewhere with a line of a
    header in the same block of lines behind it. The time is linear in the size.
    """
    line = LINE_OF_ANSWER.search(events)
    first = None if line is None else line.end() - len(b"HTTP/0")
    at = 0
    while status := STATUS_LINE.search(events, at):
        if first is not None and first < status.start():
            return first
        found = HEAD_BREAK.search(events, status.end())
        at = len(events) if found is None else found.start()
        if HEADER.search(events, status.end(), at):
            return status.start()
    return first


def cut_events(events: bytes, until: int) -> bytes:
    """Return the events that end before a position."""
    end = 0
    for found in EVENT_END.finditer(events, 0, until):
        end = found.end()
    return events[:end]


def find_last_id(events: bytes) -> int | None:
    """Return the id of the last event that has one, or None.

    Raises ``Undecodable`` for an id that has too many digits.
    """
    at = events.rfind(b"\nid:") + 1
    end = events.find(b"\n", at)
    if end > 0 and b"\r" not in events and events.startswith(b"id:", at):
        digits = events[at + 3 : end].removeprefix(b" ")
        if digits.isdigit():
            return read_digits(digits)
    last_event = None
    for found in EVENT_ID.finditer(events):
        last_event = read_digits(found[1])
    return last_event
