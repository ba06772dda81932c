"""Refuses prompts at once that would be served too late, while engines are saturated.

When callers send more prompts than the engines can read for longer than a moment,
without this each request waits in an engine's queue until its caller disconnects, and
those that are served are late too.

An entry estimates the wait from its own requests, so that it queries nobody and no
queue is shared. By Little's law the next request waits for the number of requests
without a first event divided by the rate of first events. A request counts only those
of its own urgency and above, since engines admit the most urgent first. For example,
with 6 requests that wait and 4 first events a second the next one waits for 1.5 s.

That rate is the engines' capacity only while there is a queue. So nothing is refused
before ``MIN_WAITING`` requests have waited for ``PROVEN_WAIT`` and the next one would
wait longer than its target; a short burst is served whole. From then on, until this has
not been the case for ``HOLD_S``, the refused share grows linearly with the expected
wait, so that the wait settles within the target.
"""

from collections import Counter, deque
from random import Random

from msgspec import Struct

WINDOW_S = 5.0  # for the rate; the refused share oscillates with shorter ones
MIN_WAITING = 2  # requests; a single slow one does not show that there is a queue
PROVEN_WAIT = 0.5  # targets; at a whole one the refusals come too late
MIN_SHED_WAIT = 0.5  # targets; above it the refused share grows
MAX_SHED_WAIT = 1.0  # targets; a stream that begins later is worth a fifth
HOLD_S = 10.0  # twice the window; with shorter ones the queue grows again each time


class WaitingRequest(Struct, frozen=True):
    """A request that was sent at ``since``, in seconds, and its urgency."""

    since: float
    urgency: int


class FirstEvent(Struct, frozen=True):
    """The time of a first event, in seconds, and the urgency of its request."""

    at: float
    urgency: int


class Queue:
    """One service's requests without a first event, and its recent first events."""

    __slots__ = (
        "_first_events",
        "_firsts_by_urgency",
        "_waiting_by_urgency",
        "_waiting",
        "saturated_until",
    )

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingRequest] = {}
        self._waiting_by_urgency: Counter[int] = Counter()
        self._first_events: deque[FirstEvent] = deque()
        self._firsts_by_urgency: Counter[int] = Counter()
        self.saturated_until: dict[int, float] = {}

    def add(self, handle: int, request: WaitingRequest) -> None:
        """Add a request that waits from now on."""
        self._waiting[handle] = request
        self._waiting_by_urgency[request.urgency] += 1

    def remove(self, handle: int) -> WaitingRequest | None:
        """Remove a request that no longer waits; returns it if it did."""
        request = self._waiting.pop(handle, None)
        if request is not None:
            self._waiting_by_urgency[request.urgency] -= 1
        return request

    def record_first_event(self, first: FirstEvent) -> None:
        """Record a first event."""
        self._first_events.append(first)
        self._firsts_by_urgency[first.urgency] += 1

    def estimate(self, urgency: int, now: float) -> float:
        """Estimate how long a request of this urgency waits, in seconds."""
        while self._first_events and self._first_events[0].at < now - WINDOW_S:
            self._firsts_by_urgency[self._first_events.popleft().urgency] -= 1
        ahead = _count_up_to(self._waiting_by_urgency, urgency)
        if ahead < MIN_WAITING:
            return 0.0
        return ahead * WINDOW_S / max(1, _count_up_to(self._firsts_by_urgency, urgency))

    def compute_proven_wait(self, urgency: int, now: float) -> float:
        """Return how long at least ``MIN_WAITING`` requests have waited, in seconds."""
        missing = MIN_WAITING
        # Requests are in the order of sending: the longest wait comes first.
        for request in self._waiting.values():
            missing -= request.urgency <= urgency
            if missing == 0:
                return now - request.since
        return 0.0


def _count_up_to(by_urgency: Counter[int], urgency: int) -> int:
    return sum(count for other, count in by_urgency.items() if other <= urgency)


class Saturation:
    """What one entry knows of the waits for first events, by service."""

    __slots__ = ("_queues", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._queues: dict[str, Queue] = {}

    def begin(self, service: str, urgency: int, handle: int, now: float) -> None:
        """Record a request that is sent and waits for its first event."""
        queue = self._queues.setdefault(service, Queue())
        queue.add(handle, WaitingRequest(now, urgency))

    def record_first_event(self, service: str, handle: int, now: float) -> None:
        """Record that a request got its first event."""
        queue = self._queues.get(service)
        request = None if queue is None else queue.remove(handle)
        if queue is not None and request is not None:
            queue.record_first_event(FirstEvent(now, request.urgency))

    def forget(self, service: str, handle: int) -> None:
        """Forget a request that no longer waits."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.remove(handle)

    def estimate(self, service: str, urgency: int, now: float) -> float:
        """Estimate how long a request would wait for its first event, in seconds."""
        queue = self._queues.get(service)
        return 0.0 if queue is None else queue.estimate(urgency, now)

    def is_refused(
        self,
        service: str,
        urgency: int,
        expected_s: float,
        target_s: float,
        now: float,
    ) -> bool:
        """Return whether a request with this target is refused, decided at random."""
        queue = self._queues.get(service)
        if queue is None or target_s <= 0:
            return False
        wait = expected_s / target_s
        if (
            wait >= MAX_SHED_WAIT
            and queue.compute_proven_wait(urgency, now) >= PROVEN_WAIT * target_s
        ):
            queue.saturated_until[urgency] = now + HOLD_S
        if now >= queue.saturated_until.get(urgency, 0.0):
            return False
        share = (wait - MIN_SHED_WAIT) / (MAX_SHED_WAIT - MIN_SHED_WAIT)
        return self._random.random() < share
