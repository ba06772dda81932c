"""The links from one agent to its store instances: speed, budget and health.

Urgent imports go before other imports, and those before exports: an export starts only
on a link without any import, and one at a time, so that an import waits for one block
at most. The speed of a link is what past transfers showed, also when other agents load
the same store instance.
"""

from masticdrum.model.tables import Urgency

SPEED_BYTES_S = 500e6  # before the first transfer
SPEED_GAIN = 0.25
SMALLEST_SAMPLE_BYTES = 1024
IMPORTS_AT_ONCE = 2
URGENT_IMPORTS_AT_ONCE = 4
FAILURE_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0
FULL_PAUSE_S = 5.0


class StoreLink:
    """The link to one store instance, at its address."""

    __slots__ = (
        "address",
        "down_until",
        "exports",
        "failures",
        "full_until",
        "imports",
        "pending_blocks",
        "speed_bytes_s",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.speed_bytes_s = SPEED_BYTES_S
        self.imports = 0
        self.exports = 0
        self.pending_blocks = 0
        self.failures = 0
        self.down_until = 0.0
        self.full_until = 0.0

    def is_up(self, now: float) -> bool:
        """Tell whether the link may be tried."""
        return now >= self.down_until

    def may_import(self, urgency: Urgency, now: float) -> bool:
        """Tell whether one more import may start."""
        most = URGENT_IMPORTS_AT_ONCE if urgency is Urgency.URGENT else IMPORTS_AT_ONCE
        return self.is_up(now) and self.imports < most

    def may_export(self, now: float) -> bool:
        """Tell whether an export may start: the link is idle and its store has room."""
        busy = self.imports or self.exports or self.pending_blocks
        return self.is_up(now) and not busy and now >= self.full_until

    def note_done(self, link_bytes: int, took_s: float) -> None:
        """Learn from a transfer that went well."""
        self.failures = 0
        if link_bytes < SMALLEST_SAMPLE_BYTES or took_s <= 0.0:
            return
        speed = link_bytes / took_s
        self.speed_bytes_s += SPEED_GAIN * (speed - self.speed_bytes_s)

    def note_failed(self, now: float) -> None:
        """Leave the link alone for a while, longer with each failure in a row."""
        pause_s = min(FAILURE_PAUSE_S * 2**self.failures, LONGEST_PAUSE_S)
        self.failures += 1
        self.down_until = now + pause_s

    def note_full(self, now: float) -> None:
        """Export nothing for a while, since the store has no room."""
        self.full_until = now + FULL_PAUSE_S
