"""The links from one agent to its store instances: speed, capacity and health.

Urgent imports go before other imports, and those before exports: an export starts only
on a link without any import, and one at a time, so an import waits for one block at
most. A link's speed is estimated from past transfers, so it also reflects the load that
other agents put on the store instance.
"""

from masticdrum.model.tables import Urgency

INITIAL_SPEED_BYTES_S = 500e6  # before the first transfer
SPEED_GAIN = 0.25
MIN_SAMPLE_BYTES = 1024
IMPORTS_AT_ONCE = 2
URGENT_IMPORTS_AT_ONCE = 4
FAILURE_PAUSE_S = 1.0
MAX_FAILURE_PAUSE_S = 30.0
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
        self.speed_bytes_s = INITIAL_SPEED_BYTES_S
        self.imports = 0
        self.exports = 0
        self.pending_blocks = 0
        self.failures = 0
        self.down_until = 0.0
        self.full_until = 0.0

    def is_up(self, now: float) -> bool:
        """Return whether the link may be used."""
        return now >= self.down_until

    def may_import(self, urgency: Urgency, now: float) -> bool:
        """Return whether one more import may start."""
        most = URGENT_IMPORTS_AT_ONCE if urgency is Urgency.URGENT else IMPORTS_AT_ONCE
        return self.is_up(now) and self.imports < most

    def may_export(self, now: float) -> bool:
        """Return whether an export may start: the link is idle, its store not full."""
        busy = self.imports or self.exports or self.pending_blocks
        return self.is_up(now) and not busy and now >= self.full_until

    def record_success(self, link_bytes: int, took_s: float) -> None:
        """Update the link's speed after a successful transfer."""
        self.failures = 0
        if link_bytes < MIN_SAMPLE_BYTES or took_s <= 0.0:
            return
        speed = link_bytes / took_s
        self.speed_bytes_s += SPEED_GAIN * (speed - self.speed_bytes_s)

    def record_failure(self, now: float) -> None:
        """Pause the link after a failure, longer with each consecutive one."""
        pause_s = min(FAILURE_PAUSE_S * 2**self.failures, MAX_FAILURE_PAUSE_S)
        self.failures += 1
        self.down_until = now + pause_s

    def record_full(self, now: float) -> None:
        """Pause exports, since the store is full."""
        self.full_until = now + FULL_PAUSE_S
