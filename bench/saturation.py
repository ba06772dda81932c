"""Plays ways to refuse under saturation, in virtual time.

Run ``python -m bench.saturation``. One engine serves 10 requests a second in their
order; callers come at random, each to one of several entries that know only their own
requests, and leave after four targets without a first event. The table gives the share
of requests that is served in time: 10, 8 and 5 in 10 at best at 10, 12 and 20 a second.
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
MEASURED_S = 1.0  # how long a measured wait counts
LEAST_MEASURED = 4  # waits
RATES = (8.0, 9.0, 12.0, 20.0, 30.0)  # requests a second
ENTRIES = (1, 3, 10)
SEED = 7


class Way(Protocol):
    """How one entry decides whom it refuses."""

    def begin(self, handle: int, now: float) -> None:
        """Count a request that is sent."""

    def record_first_event(self, handle: int, now: float) -> None:
        """Take in a first event."""

    def forget(self, handle: int) -> None:
        """Forget a request whose caller has left."""

    def is_refused(self, now: float) -> bool:
        """Tell whether the next request is refused."""


class QueueOnly:
    """Refuses nothing."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.since: dict[int, float] = {}

    def begin(self, handle: int, now: float) -> None:
        """Count a request that is sent."""
        self.since[handle] = now

    def record_first_event(self, handle: int, now: float) -> None:
        """Take in a first event."""
        self.since.pop(handle, None)

    def forget(self, handle: int) -> None:
        """Forget a request whose caller has left."""
        self.since.pop(handle, None)

    def is_refused(self, now: float) -> bool:
        """Refuse nothing."""
        return False

    def draw(self, wait: float) -> bool:
        """Draw by a wait in targets."""
        share = (wait - MIN_SHED_WAIT) / (MAX_SHED_WAIT - MIN_SHED_WAIT)
        return self.random.random() < share


class MeasuredWait(QueueOnly):
    """Goes by the median of the waits that ended, and of those that are long."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.ended: deque[tuple[float, float]] = deque()

    def record_first_event(self, handle: int, now: float) -> None:
        """Measure a wait."""
        since = self.since.pop(handle, None)
        if since is not None:
            self.ended.append((now, (now - since) / TARGET_S))

    def is_refused(self, now: float) -> bool:
        """Draw by the median."""
        while self.ended and self.ended[0][0] < now - MEASURED_S:
            self.ended.popleft()
        waits = [wait for _, wait in self.ended]
        still = [(now - since) / TARGET_S for since in self.since.values()]
        waits += [wait for wait in still if wait > MAX_SHED_WAIT]
        return len(waits) >= LEAST_MEASURED and self.draw(median(waits))


class ExpectedWait(QueueOnly):
    """Goes by Little's law, without evidence that anybody waits."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.firsts: deque[float] = deque()

    def record_first_event(self, handle: int, now: float) -> None:
        """Count a first event."""
        if self.since.pop(handle, None) is not None:
            self.firsts.append(now)

    def estimate(self, now: float) -> float:
        """Estimate the wait in targets."""
        while self.firsts and self.firsts[0] < now - WINDOW_S:
            self.firsts.popleft()
        if len(self.since) < MIN_WAITING:
            return 0.0
        return len(self.since) * WINDOW_S / max(1, len(self.firsts)) / TARGET_S

    def is_refused(self, now: float) -> bool:
        """Draw by the expected wait."""
        return self.draw(self.estimate(now))


class EndsEarly(ExpectedWait):
    """Begins at a whole target and ends once the wait is a quarter of one."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.saturated = False

    def is_refused(self, now: float) -> bool:
        """Draw by the expected wait, between beginning and end."""
        wait = self.estimate(now)
        if wait >= MAX_SHED_WAIT:
            self.saturated = True
        elif wait <= MIN_SHED_WAIT / 2:
            self.saturated = False
        return self.saturated and self.draw(wait)


class Chosen:
    """The product's own decision."""

    def __init__(self, random: Random) -> None:
        self.known = Saturation(random)

    def begin(self, handle: int, now: float) -> None:
        """Count a request that is sent."""
        self.known.begin(SERVICE, RANK, handle, now)

    def record_first_event(self, handle: int, now: float) -> None:
        """Take in a first event."""
        self.known.record_first_event(SERVICE, handle, now)

    def forget(self, handle: int) -> None:
        """Forget a request whose caller has left."""
        self.known.forget(SERVICE, handle)

    def is_refused(self, now: float) -> bool:
        """Ask the product."""
        expected_s = self.known.estimate(SERVICE, RANK, now)
        return self.known.is_refused(SERVICE, RANK, expected_s, TARGET_S, now)


WAYS: dict[str, Callable[[Random], Way]] = {
    "queue only": QueueOnly,
    "median of measured waits": MeasuredWait,
    "expected wait, no evidence": ExpectedWait,
    "expected wait, ends early": EndsEarly,
    "chosen": Chosen,
}


class World:
    """The engine, its queue, and callers who leave."""

    def __init__(self, make: Callable[[Random], Way], entries: int) -> None:
        self.entries = [make(Random(seed)) for seed in range(entries)]
        self.events: list[tuple[float, str, int]] = []
        self.queue: list[tuple[float, int]] = []
        self.free_at = 0.0
        self.in_time = 0

    def take(self, now: float, what: str, handle: int) -> None:
        """Take one event."""
        entry = self.entries[handle % len(self.entries)]
        if what == "asked":
            self.ask(entry, handle, now)
        elif what == "left":
            entry.forget(handle)
            self.queue = [waiting for waiting in self.queue if waiting[1] != handle]
        elif self.queue and now >= self.free_at:
            self.serve(now)

    def ask(self, entry: Way, handle: int, now: float) -> None:
        """Let a caller ask."""
        if entry.is_refused(now):
            return
        entry.begin(handle, now)
        heappush(self.queue, (now, handle))
        heappush(self.events, (max(now, self.free_at), "serve", handle))
        heappush(self.events, (now + PATIENCE_S, "left", handle))

    def serve(self, now: float) -> None:
        """Serve the request that has waited longest."""
        asked, handle = heappop(self.queue)
        self.free_at = now + SERVE_S
        self.entries[handle % len(self.entries)].record_first_event(
            handle, self.free_at
        )
        self.in_time += self.free_at - asked <= TARGET_S
        if self.queue:
            heappush(self.events, (self.free_at, "serve", handle))


def play(make: Callable[[Random], Way], per_s: float, entries: int) -> float:
    """Return the share of requests that are served in time."""
    random = Random(SEED)
    world = World(make, entries)
    count = int(per_s * SECONDS)
    world.events = sorted(
        (random.uniform(0.0, SECONDS), "asked", handle) for handle in range(count)
    )
    while world.events:
        world.take(*heappop(world.events))
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
