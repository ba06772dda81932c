"""Outlier detection: ejects failing upstreams by this entry's own traffic.

There are no health checks. An upstream that fails several attempts in a row, or a large
share of its recent ones, is ejected for a time that doubles with each relapse. Then
requests go to it again, and until one succeeds the next failure ejects it again. If
every upstream is ejected, all are used.
"""

EJECT_AFTER_FAILURES = 2  # one failure is as often the request's as the upstream's
EJECT_FAILURE_RATE = 0.3  # of recent attempts; a failing upstream loses 0.4 and more
DECAY = 0.85  # weight of the past at each attempt, a memory of about 7 attempts
MIN_EJECTION_S = 0.5
MIN_REJECTION_PAUSE_S = 0.3  # an engine that loads weights rejects for some 2 to 3 s
MAX_REJECTION_PAUSE_S = 1.2  # so that one that has room again is soon used again
MAX_EJECTION_S = 4.0


class OutlierDetector:
    """The recent attempts at one upstream, and until when it is ejected."""

    __slots__ = (
        "ejected_until",
        "failure_rate",
        "consecutive_failures",
        "ejection_s",
        "rejection_pause_s",
    )

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.ejection_s = MIN_EJECTION_S
        self.rejection_pause_s = MIN_REJECTION_PAUSE_S
        self.ejected_until = 0.0

    def record_success(self) -> None:
        """Record an attempt that the upstream answered."""
        self.consecutive_failures = 0
        self.rejection_pause_s = MIN_REJECTION_PAUSE_S
        self.failure_rate *= DECAY
        if self.failure_rate < EJECT_FAILURE_RATE / 2:
            self.ejection_s = MIN_EJECTION_S

    def record_failure(self, now: float) -> bool:
        """Record a failed attempt; returns whether the upstream is now ejected."""
        self.consecutive_failures += 1
        self.failure_rate = self.failure_rate * DECAY + (1 - DECAY)
        if (
            self.consecutive_failures < EJECT_AFTER_FAILURES
            and self.failure_rate < EJECT_FAILURE_RATE
        ):
            return False
        self.ejected_until = now + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s)
        return True

    def record_rejection(self, now: float) -> None:
        """Record that the upstream took no request, which is no sign of a fault."""
        if now < self.ejected_until:
            return
        self.ejected_until = now + self.rejection_pause_s
        self.rejection_pause_s = min(MAX_REJECTION_PAUSE_S, 2 * self.rejection_pause_s)

    def is_ejected(self, now: float) -> bool:
        """Return whether other upstreams should be preferred now."""
        return now < self.ejected_until
