"""Splits a stream of server-sent events into whole events.

splitter = EventSplitter()
splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")  # b"id: 1\\ndata: a\\n\\n"
splitter.last_event  # 1
"""

import re

EVENT_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)(?=[\r\n])")


class EventSplitter:
    """Buffers the last event until it has arrived completely."""

    __slots__ = ("_rest", "last_event")

    def __init__(self) -> None:
        self._rest = b""
        self.last_event: int | None = None

    @property
    def is_whole(self) -> bool:
        """Whether the data so far ends with a complete event."""
        return not self._rest

    def feed(self, data: bytes) -> bytes:
        """Add data and return the whole events that it completes."""
        data = self._rest + data
        end = 0
        for found in EVENT_END.finditer(data):
            end = found.end()
        whole, self._rest = data[:end], data[end:]
        for found in EVENT_ID.finditer(whole):
            self.last_event = int(found[1])
        return whole
