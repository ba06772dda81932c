"""How long an engine takes to compute a block, learned from its runs."""

RECOMPUTE_S = 0.2  # for one block, before the first run
RATE_GAIN = 0.1
LARGEST_STEP = 4.0  # a sample counts as this many times the estimate at most


class EngineRate:
    """Seconds that one block takes, from each run's start to its first token."""

    __slots__ = ("recompute_s", "started")

    def __init__(self) -> None:
        self.recompute_s = RECOMPUTE_S
        self.started: dict[str, tuple[float, int]] = {}

    def note_begun(self, attempt: str, recomputed: int, now: float) -> None:
        """Record that a run began with ``recomputed`` blocks to compute."""
        if recomputed > 0:
            self.started[attempt] = (now, recomputed)

    def note_token(self, attempt: str, now: float) -> None:
        """Learn from a run's first token."""
        started = self.started.pop(attempt, None)
        if started is None:
            return
        begun_at, blocks = started
        sample_s = (now - begun_at) / blocks
        capped_s = min(sample_s, LARGEST_STEP * self.recompute_s)
        self.recompute_s += RATE_GAIN * (capped_s - self.recompute_s)

    def forget(self, attempt: str) -> None:
        """Forget a run that ended without a token."""
        self.started.pop(attempt, None)
