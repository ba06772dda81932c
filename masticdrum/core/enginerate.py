"""Estimates how long an engine takes to compute a block."""

RECOMPUTE_S = 0.2  # for one block; the estimate before the first run
RATE_GAIN = 0.1  # weight of the newest sample in the moving average
MAX_SAMPLE_RATIO = 4.0  # samples are capped at this many times the estimate


class EngineRate:
    """Estimates the seconds for one block, by each run's time to its first token."""

    __slots__ = ("recompute_s", "started")

    def __init__(self) -> None:
        self.recompute_s = RECOMPUTE_S
        self.started: dict[str, tuple[float, int]] = {}

    def record_begun(self, attempt: str, recomputed: int, now: float) -> None:
        """Record that a run began with ``recomputed`` blocks to compute."""
        if recomputed > 0:
            self.started[attempt] = (now, recomputed)

    def record_first_token(self, attempt: str, now: float) -> None:
        """Update the estimate at a run's first token."""
        started = self.started.pop(attempt, None)
        if started is None:
            return
        begun_at, blocks = started
        sample_s = (now - begun_at) / blocks
        capped_s = min(sample_s, MAX_SAMPLE_RATIO * self.recompute_s)
        self.recompute_s += RATE_GAIN * (capped_s - self.recompute_s)

    def forget(self, attempt: str) -> None:
        """Drop a run that ended without a token."""
        self.started.pop(attempt, None)
