"""Divides the grace period of a planned stop, so that no request in it is cut off.

A load balancer goes on sending callers until it has noticed the stop. What they send is
forwarded if it will have its answer before the end; everything else is refused, so that
its caller can turn to another entry at once.
"""

from collections import OrderedDict

from msgspec import Struct

from masticdrum.model.exchange import StopRequested

# A load balancer that probes each second removes an entry after two failed probes, and
# may need it nevertheless while several others stop.
FORWARD_S = 2.9
RESERVE_S = 1.0  # of the grace period, for closing connections
FLUSH_S = 0.2  # of the reserve, in which the last answers are sent
MAX_DELAY_S = 0.2  # that a signal's delivery may take from the reserve
MAX_ROUTES = 10_000
GROWTH, DECAY = 0.3, 0.03  # towards a longer and a shorter duration


class GracefulStop(Struct, frozen=True):
    """A stop that has begun; all are times of the entry's clock, in seconds.

    Until ``forward_until`` requests are forwarded that are expected to end in time,
    and until ``accept_until`` connections are accepted. At ``deadline`` what is still
    open ends, and its answers are sent until ``ends_at``.
    """

    forward_until: float
    accept_until: float
    deadline: float
    ends_at: float

    def may_forward(self, deadline: float, expected_s: float, now: float) -> bool:
        """Return whether a request will have its answer before the end.

        ``deadline`` is that of the request, ``expected_s`` how long it will take, zero
        if that isn't known.
        """
        if deadline <= self.deadline:
            return True
        return now < self.forward_until and now + expected_s < self.deadline


def plan_stop(event: StopRequested, linger_s: float, now: float) -> GracefulStop:
    """Return the plan for a stop that is noticed now.

    The signal may have been sent up to ``delay_s`` before.
    """
    noticed_at = now - max(0.0, event.delay_s - MAX_DELAY_S)
    deadline = noticed_at + event.grace_s - RESERVE_S
    return GracefulStop(
        forward_until=min(now - event.delay_s + FORWARD_S, deadline),
        accept_until=min(now + linger_s, deadline),
        deadline=deadline,
        ends_at=deadline + FLUSH_S,
    )


class StreamDurations:
    """How long the streams of each route take, in seconds, near their longest."""

    __slots__ = ("_durations",)

    def __init__(self) -> None:
        self._durations: OrderedDict[str, float] = OrderedDict()

    def record(self, route: str, duration_s: float) -> None:
        """Record a stream that has ended as complete."""
        known_s = self._durations.get(route, duration_s)
        step = GROWTH if duration_s > known_s else DECAY
        self._durations[route] = known_s + step * (duration_s - known_s)
        if len(self._durations) > MAX_ROUTES:
            self._durations.popitem(last=False)

    def estimate(self, route: str) -> float:
        """Return how long a stream will take, zero if none has ended yet."""
        return self._durations.get(route, 0.0)
