"""Refuses prompts at once that would be served too late, while engines are saturated.

Answers the load of callers who ask for more than the engines can read for longer than a
moment: without it each request waits in an engine's queue until its caller leaves, and
those that are served are late too.

An entry knows the wait from its own requests, so that nothing is asked and no queue is
shared: those that wait for their first event, divided by the first events a second, is
how long the next one waits (Little's law). A request counts those of its own urgency
and above, since engines admit the most urgent first. For example, with 6 that wait and
4 first events a second the next one waits for 1.5 s.

That rate is what engines can do only while there is a queue. So nothing is refused
before ``EVIDENCE`` requests have really waited for a while and the next one would wait
longer than its target; a burst that is over sooner is served whole. From then on, until
that was not so for ``HOLD_S``, the share that is refused grows evenly with the expected
wait, so that the wait settles within the target.
"""

from collections import Counter, deque
from random import Random

from msgspec import Struct

WINDOW_S = 5.0  # for the rate; shorter ones let the share swing, by simulation
EVIDENCE = 2  # requests; a single one says more of itself than of a queue
WAITED = 0.5  # targets; waiting for all of one costs 0.1 of those in time, simulated
EASY_WAIT = 0.5  # targets; above it the share that is refused grows
FULL_WAIT = 1.0  # targets; later than this a stream is worth a fifth
HOLD_S = 10.0  # twice the window; shorter ones let the queue grow anew each time


class Pending(Struct, frozen=True):
    """A request that was sent at ``since``, in seconds, and its rank."""

    since: float
    urgency: int


class First(Struct, frozen=True):
    """A first event, in seconds, and the rank of its request."""

    at: float
    urgency: int


class Queue:
    """One service's requests without a first event, and its first events."""

    __slots__ = ("_firsts", "_firsts_by_rank", "_ranks", "_since", "saturated_until")

    def __init__(self) -> None:
        self._since: dict[int, Pending] = {}
        self._ranks: Counter[int] = Counter()
        self._firsts: deque[First] = deque()
        self._firsts_by_rank: Counter[int] = Counter()
        self.saturated_until: dict[int, float] = {}

    def add(self, handle: int, pending: Pending) -> None:
        """Add a request that waits from now on."""
        self._since[handle] = pending
        self._ranks[pending.urgency] += 1

    def remove(self, handle: int) -> Pending | None:
        """Remove a request that waits no more; returns it if it did."""
        pending = self._since.pop(handle, None)
        if pending is not None:
            self._ranks[pending.urgency] -= 1
        return pending

    def note_first(self, first: First) -> None:
        """Count a first event."""
        self._firsts.append(first)
        self._firsts_by_rank[first.urgency] += 1

    def estimate(self, urgency: int, now: float) -> float:
        """Estimate how long a request of this rank waits, in seconds."""
        while self._firsts and self._firsts[0].at < now - WINDOW_S:
            self._firsts_by_rank[self._firsts.popleft().urgency] -= 1
        ahead = _count_until(self._ranks, urgency)
        if ahead < EVIDENCE:
            return 0.0
        return ahead * WINDOW_S / max(1, _count_until(self._firsts_by_rank, urgency))

    def find_waited(self, urgency: int, now: float) -> float:
        """Return how long at least ``EVIDENCE`` requests have waited, in seconds."""
        missing = EVIDENCE
        for pending in self._since.values():  # the longest wait comes first
            missing -= pending.urgency <= urgency
            if missing == 0:
                return now - pending.since
        return 0.0


def _count_until(by_rank: Counter[int], urgency: int) -> int:
    return sum(count for rank, count in by_rank.items() if rank <= urgency)


class Saturation:
    """What one entry knows of the queues for first events, by service."""

    __slots__ = ("_queues", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._queues: dict[str, Queue] = {}

    def begin(self, service: str, urgency: int, handle: int, now: float) -> None:
        """Count a request that is sent to wait for its first event."""
        queue = self._queues.setdefault(service, Queue())
        queue.add(handle, Pending(now, urgency))

    def note_first(self, service: str, handle: int, now: float) -> None:
        """Take in that a request got its first event."""
        queue = self._queues.get(service)
        pending = None if queue is None else queue.remove(handle)
        if queue is not None and pending is not None:
            queue.note_first(First(now, pending.urgency))

    def forget(self, service: str, handle: int) -> None:
        """Forget a request that waits no more."""
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
        """Draw whether a request is refused that wants its first event in a target."""
        queue = self._queues.get(service)
        if queue is None or target_s <= 0:
            return False
        wait = expected_s / target_s
        if wait >= FULL_WAIT and queue.find_waited(urgency, now) >= WAITED * target_s:
            queue.saturated_until[urgency] = now + HOLD_S
        if now >= queue.saturated_until.get(urgency, 0.0):
            return False
        share = (wait - EASY_WAIT) / (FULL_WAIT - EASY_WAIT)
        return self._random.random() < share
