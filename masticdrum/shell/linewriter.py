"""Writes log lines to a descriptor without ever waiting for its reader.

Lines beyond ``LINES_PER_S`` and lines that a stalled reader leaves no room for are
counted, not written; one line a second tells how many of which kind were left out.
"""

import os
import time
from collections import Counter
from collections.abc import Callable

LINES_PER_S = 150  # about 1 % of a core; a busy entry writes 30
BURST_LINES = 300
MAX_BUFFER = 256 * 1024  # bytes kept for a reader that is slow
SUMMARY_S = 1.0


class LineWriter:
    """A text stream for ``logging`` over a descriptor that it makes non-blocking."""

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._allowance = float(BURST_LINES)
        self._seen_at = clock()
        self._told_at = self._seen_at
        self.dropped: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def admit(self, name: str) -> bool:
        """Tell whether a line of this kind may be written now; counts it if not."""
        now = self._clock()
        earned = (now - self._seen_at) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._seen_at = now
        if self._allowance < 1 or len(self._buffer) > MAX_BUFFER:
            self.dropped[name] += 1
            return False
        self._allowance -= 1
        return True

    def take_dropped(self) -> dict[str, int]:
        """Return what was left out, once a second at most, and start counting anew."""
        now = self._clock()
        if not self.dropped or now - self._told_at < SUMMARY_S:
            return {}
        if len(self._buffer) > MAX_BUFFER:
            return {}
        self._told_at = now
        dropped = dict(self.dropped)
        self.dropped.clear()
        return dropped

    def write(self, text: str) -> int:
        """Take a text; what the reader has no room for is kept for later."""
        self._buffer += text.encode()
        return len(text)

    def flush(self) -> None:
        """Write as much as the reader takes at once."""
        while self._buffer:
            try:
                count = os.write(self._descriptor, self._buffer)
            except (BlockingIOError, BrokenPipeError):
                return
            del self._buffer[:count]
