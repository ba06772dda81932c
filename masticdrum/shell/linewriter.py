"""Writes log lines to a descriptor without ever blocking on its reader.

Lines beyond ``LINES_PER_S``, and lines for which a stalled reader leaves no room in the
buffer, are dropped and counted; at most one line a second reports the dropped lines by
kind.
"""

import os
import time
from collections import Counter
from collections.abc import Callable

LINES_PER_S = 150  # about 1 % of a core; a busy entry writes 30
BURST_LINES = 300
MAX_BUFFER = 256 * 1024  # bytes that are buffered for a slow reader
SUMMARY_S = 1.0


class LineWriter:
    """A text stream for ``logging``; sets its descriptor to non-blocking."""

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._allowance = float(BURST_LINES)
        self._refilled_at = clock()
        self._summarised_at = self._refilled_at
        self.dropped: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def admit(self, name: str) -> bool:
        """Return whether a line of this kind may be written now; if not, count it."""
        now = self._clock()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._refilled_at = now
        if self._allowance < 1 or len(self._buffer) > MAX_BUFFER:
            self.dropped[name] += 1
            return False
        self._allowance -= 1
        return True

    def pop_dropped(self) -> dict[str, int]:
        """Return the counts of dropped lines, at most once a second, and reset them."""
        now = self._clock()
        if not self.dropped or now - self._summarised_at < SUMMARY_S:
            return {}
        if len(self._buffer) > MAX_BUFFER:
            return {}
        self._summarised_at = now
        dropped = dict(self.dropped)
        self.dropped.clear()
        return dropped

    def write(self, text: str) -> int:
        """Buffer a text; ``flush`` writes it."""
        self._buffer += text.encode()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                count = os.write(self._descriptor, self._buffer)
            except (BlockingIOError, BrokenPipeError):
                return
            del self._buffer[:count]
