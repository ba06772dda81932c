"""Judges upstreams by this entry's own traffic, without health checks.

An upstream that fails several attempts in a row, or a large part of its recent ones, is
avoided for a while that doubles with each relapse; then single requests try it again.
Where every upstream is avoided, none is.
"""

FAILURES_IN_A_ROW = 2  # a single failure is as often the request's as the upstream's
FAILING_PART = 0.3  # of recent attempts; a failing upstream loses 0.4 and more
DECAY = 0.85  # weight of the past at each attempt, a memory of about 7 attempts
FIRST_PAUSE_S = 0.5
FIRST_REJECTED_S = 0.3  # an engine under orders rejects for some 2 to 3 s
LONGEST_REJECTED_S = 1.2  # so that one that has room again is soon used again
LONGEST_PAUSE_S = 4.0


class Standing:
    """What recent attempts say of one upstream."""

    __slots__ = ("avoid_until", "failing", "in_a_row", "pause_s", "rejected_s")

    def __init__(self) -> None:
        self.in_a_row = 0
        self.failing = 0.0
        self.pause_s = FIRST_PAUSE_S
        self.rejected_s = FIRST_REJECTED_S
        self.avoid_until = 0.0

    def note_success(self) -> None:
        """Take in an attempt that the upstream answered."""
        self.in_a_row = 0
        self.rejected_s = FIRST_REJECTED_S
        self.failing *= DECAY
        if self.failing < FAILING_PART / 2:
            self.pause_s = FIRST_PAUSE_S

    def note_failure(self, now: float) -> bool:
        """Take in a failed attempt; returns whether the upstream is now avoided."""
        self.in_a_row += 1
        self.failing = self.failing * DECAY + (1 - DECAY)
        if self.in_a_row < FAILURES_IN_A_ROW and self.failing < FAILING_PART:
            return False
        self.avoid_until = now + self.pause_s
        self.pause_s = min(LONGEST_PAUSE_S, 2 * self.pause_s)
        return True

    def note_rejection(self, now: float) -> None:
        """Take in that the upstream had no room; its health is not in doubt."""
        if now < self.avoid_until:
            return
        self.avoid_until = now + self.rejected_s
        self.rejected_s = min(LONGEST_REJECTED_S, 2 * self.rejected_s)

    def is_avoided(self, now: float) -> bool:
        """Tell whether others should be preferred now."""
        return now < self.avoid_until
