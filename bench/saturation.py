"""Compares ways to refuse requests under saturation, in virtual time.

Run ``python -m bench.saturation``. One engine serves 10 requests a second in
order of arrival. Callers arrive at random, each at one of several entries that know
only their own requests, and disconnect after four target latencies without a first
event. The table gives the share of requests that is served in time; at best it is 10, 8
and 5 in 10 at 10, 12 and 20 requests a second.
"""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from statistics import median
from typing import Protocol

from masticdrum.core.saturation import (
    MAX_SHED_WAIT,
    MIN_SHED_WAIT,
    MIN_WAITING,
    WINDOW_S,
    Saturation,
)

SERVICE = "engines"
RANK = 2
TARGET_S = 0.8
PATIENCE_S = 4 * TARGET_S
SERVE_S = 0.1
SECONDS = 30.0
MEASURED_S = 1.0  # how long a measured wait is used
MIN_MEASURED = 4  # waits; below this nothing is refused
RATES = (8.0, 9.0, 12.0, 20.0, 30.0)  # requests a second
ENTRIES = (1, 3, 10)
SEED = 7


class Way(Protocol):
    """How one entry decides which requests it refuses."""

    def begin(self, handle: int, now: float) -> None:
        """Record that a request was sent."""

    def record_first_event(self, handle: int, now: float) -> None:
        """Record the first event of a request."""

    def forget(self, handle: int) -> None:
        """Forget a request whose caller disconnected."""

    def is_refused(self, now: float) -> bool:
        """Return whether the next request is refused."""


class QueueOnly:
    """Refuses nothing."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.sent_at: dict[int, float] = {}

    def begin(self, handle: int, now: float) -> None:
        """Record that a request was sent."""
        self.sent_at[handle] = now

    def record_first_event(self, handle: int, now: float) -> None:
        """Record the first event of a request."""
        self.sent_at.pop(handle, None)

    def forget(self, handle: int) -> None:
        """Forget a request whose caller disconnected."""
        self.sent_at.pop(handle, None)

    def is_refused(self, now: float) -> bool:
        """Refuse nothing."""
        return False

    def draw(self, wait: float) -> bool:
        """Decide at random by a wait, in target latencies."""
        share = (wait - MIN_SHED_WAIT) / (MAX_SHED_WAIT - MIN_SHED_WAIT)
        return self.random.random() < share


class MeasuredWait(QueueOnly):
    """Decides by the median of recent finished waits and of long unfinished ones."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.ended: deque[tuple[float, float]] = deque()

    def record_first_event(self, handle: int, now: float) -> None:
        """Record the wait that ended."""
        sent_at = self.sent_at.pop(handle, None)
        if sent_at is not None:
            self.ended.append((now, (now - sent_at) / TARGET_S))

    def is_refused(self, now: float) -> bool:
        """Decide at random by the median wait."""
        while self.ended and self.ended[0][0] < now - MEASURED_S:
            self.ended.popleft()
        waits = [wait for _, wait in self.ended]
        unfinished = [(now - sent_at) / TARGET_S for sent_at in self.sent_at.values()]
        waits += [wait for wait in unfinished if wait > MAX_SHED_WAIT]
        return len(waits) >= MIN_MEASURED and self.draw(median(waits))


class ExpectedWait(QueueOnly):
    """Decides by Little's law, without evidence that any request waits too long."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.first_event_times: deque[float] = deque()

    def record_first_event(self, handle: int, now: float) -> None:
        """Count a first event."""
        if self.sent_at.pop(handle, None) is not None:
            self.first_event_times.append(now)

    def estimate(self, now: float) -> float:
        """Estimate the wait in target latencies."""
        while self.first_event_times and self.first_event_times[0] < now - WINDOW_S:
            self.first_event_times.popleft()
        if len(self.sent_at) < MIN_WAITING:
            return 0.0
        return (
            len(self.sent_at)
            * WINDOW_S
            / max(1, len(self.first_event_times))
            / TARGET_S
        )

    def is_refused(self, now: float) -> bool:
        """Decide at random by the expected wait."""
        return self.draw(self.estimate(now))


class EndsEarly(ExpectedWait):
    """Sheds load from a wait of one target until a wait of a quarter of one."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.saturated = False

    def is_refused(self, now: float) -> bool:
        """Decide at random by the expected wait, while saturated."""
        wait = self.estimate(now)
        if wait >= MAX_SHED_WAIT:
            self.saturated = True
        elif wait <= MIN_SHED_WAIT / 2:
            self.saturated = False
        return self.saturated and self.draw(wait)


class Chosen:
    """The system's own decision."""

    def __init__(self, random: Random) -> None:
        self.saturation = Saturation(random)

    def begin(self, handle: int, now: float) -> None:
        """Record that a request was sent."""
        self.saturation.begin(SERVICE, RANK, handle, now)

    def record_first_event(self, handle: int, now: float) -> None:
        """Record the first event of a request."""
        self.saturation.record_first_event(SERVICE, handle, now)

    def forget(self, handle: int) -> None:
        """Forget a request whose caller disconnected."""
        self.saturation.forget(SERVICE, handle)

    def is_refused(self, now: float) -> bool:
        """Decide as an entry does."""
        expected_s = self.saturation.estimate(SERVICE, RANK, now)
        return self.saturation.is_refused(SERVICE, RANK, expected_s, TARGET_S, now)


WAYS: dict[str, Callable[[Random], Way]] = {
    "queue only": QueueOnly,
    "median of measured waits": MeasuredWait,
    "expected wait, no evidence": ExpectedWait,
    "expected wait, ends early": EndsEarly,
    "chosen": Chosen,
}


class World:
    """The engine, its queue, and callers who disconnect."""

    def __init__(self, make: Callable[[Random], Way], entries: int) -> None:
        self.entries = [make(Random(seed)) for seed in range(entries)]
        self.events: list[tuple[float, str, int]] = []
        self.queue: list[tuple[float, int]] = []
        self.free_at = 0.0
        self.in_time = 0

    def handle(self, now: float, kind: str, handle: int) -> None:
        """Handle one event."""
        entry = self.entries[handle % len(self.entries)]
        if kind == "asked":
            self.request(entry, handle, now)
        elif kind == "left":
            entry.forget(handle)
            self.queue = [waiting for waiting in self.queue if waiting[1] != handle]
        elif self.queue and now >= self.free_at:
            self.serve(now)

    def request(self, entry: Way, handle: int, now: float) -> None:
        """Send a request, unless its entry refuses it."""
        if entry.is_refused(now):
            return
        entry.begin(handle, now)
        heappush(self.queue, (now, handle))
        heappush(self.events, (max(now, self.free_at), "serve", handle))
        heappush(self.events, (now + PATIENCE_S, "left", handle))

    def serve(self, now: float) -> None:
        """Serve the request that has waited longest."""
        requested_at, handle = heappop(self.queue)
        self.free_at = now + SERVE_S
        self.entries[handle % len(self.entries)].record_first_event(
            handle, self.free_at
        )
        self.in_time += self.free_at - requested_at <= TARGET_S
        if self.queue:
            heappush(self.events, (self.free_at, "serve", handle))


def play(make: Callable[[Random], Way], per_s: float, entries: int) -> float:
    """Simulate one way and return the share of requests that are served in time."""
    random = Random(SEED)
    world = World(make, entries)
    count = int(per_s * SECONDS)
    world.events = sorted(
        (random.uniform(0.0, SECONDS), "asked", handle) for handle in range(count)
    )
    while world.events:
        world.handle(*heappop(world.events))
    return world.in_time / count


def main() -> None:
    """Print the table."""
    rates = ", ".join(f"{rate:g}" for rate in RATES)
    print(f"| way | {' | '.join(f'{n} entries: {rates} a second' for n in ENTRIES)} |")
    print("|---" * (len(ENTRIES) + 1) + "|")
    for name, make in WAYS.items():
        cells = []
        for entries in ENTRIES:
            shares = [play(make, rate, entries) for rate in RATES]
            cells.append(", ".join(f"{share:.2f}" for share in shares))
        print(f"| {name} | {' | '.join(cells)} |")


if __name__ == "__main__":
    main()
