"""Splits a stream of server-sent events into whole events.

splitter = EventSplitter()
splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")  # b"id: 1\\ndata: a\\n\\n"
splitter.last_event  # 1
"""

import re

EVENT_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)(?=[\r\n])")
MAX_EVENT_BYTES = 256 * 1024
# The head of another answer, in a stream that its connection's end ends. It may
# follow a part of an event on the same line; no line of an event begins like a header.
ANSWER_HEAD = re.compile(
    rb"(?:^|[\r\n])HTTP/\d"
    rb"|HTTP/\d\.\d \d{3}[^\r\n]*(?:\r?\n[^\r\n]+)*?"
    rb"\r?\n(?:content-length|content-type|connection|transfer-encoding|date):",
    re.IGNORECASE,
)
ANSWER_MARK = b"HTTP/"


class EventTooLong(Exception):
    """An upstream sends an event without an end."""


class EventSplitter:
    """Buffers the last event until it has arrived completely.

    ``is_garbled`` means that the head of another answer followed the last event.
    """

    __slots__ = ("_max_event_bytes", "_rest", "is_garbled", "last_event")

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = b""
        self.is_garbled = False
        self.last_event: int | None = None

    @property
    def is_whole(self) -> bool:
        """Whether the data so far ends with a complete event."""
        return not self._rest

    def feed(self, data: bytes) -> bytes:
        """Add data and return the whole events that it completes.

        Raises ``EventTooLong`` for an event that doesn't end.
        """
        if self._rest:
            data = self._rest + data
        if data.endswith(b"\n\n") and b"\r" not in data:
            whole, self._rest = data, b""
        else:
            end = 0
            for found in EVENT_END.finditer(data):
                end = found.end()
            whole, self._rest = data[:end], data[end:]
            if len(self._rest) > self._max_event_bytes:
                raise EventTooLong(f"an event is over {self._max_event_bytes} bytes")
        if ANSWER_MARK in whole:
            whole = self._cut_off_answer(whole)
        last_event = find_last_id(whole)
        if last_event is not None:
            self.last_event = last_event
        return whole

    def _cut_off_answer(self, events: bytes) -> bytes:
        """Return the events before another answer's head, if there is one."""
        head = ANSWER_HEAD.search(events)
        if head is None:
            return events
        self.is_garbled = True
        end = 0
        for found in EVENT_END.finditer(events, 0, head.start() + 1):
            end = found.end()
        return events[:end]


def find_last_id(events: bytes) -> int | None:
    """Return the id of the last event that has one, or None."""
    at = events.rfind(b"\nid:") + 1
    end = events.find(b"\n", at)
    if end > 0 and b"\r" not in events and events.startswith(b"id:", at):
        digits = events[at + 3 : end].removeprefix(b" ")
        if digits.isdigit():
            return int(digits)
    last_event = None
    for found in EVENT_ID.finditer(events):
        last_event = int(found[1])
    return last_event
