"""A seeded driver that runs many reducers in virtual time.

It simulates delay, loss and repetition of messages, and crashes and pauses of
processes. It does not model a cluster's performance. Each process is a state and its
reducer; tests register a handler for each type of effect that they perform.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from msgspec import Struct, field

from masticdrum.model.entry_events import TimerExpired

Handler = Callable[[str, Any], None]
TIMER_SLACK_S = 1e-6


class Process(Struct):
    """One process: its state, its reducer and the faults that affect it.

    ``epoch`` counts its restarts. ``timer_due_at`` is when its next timer event is due.
    """

    state: Any
    reduce: Callable[[Any, Any, float], list[Any]]
    epoch: int = 0
    up: bool = True
    paused_until: float = 0.0
    backlog: list[Any] = field(default_factory=list)
    timer_due_at: float = float("inf")


class Network(Struct):
    """Network faults: shares of lost and repeated frames, and bounds of the delay."""

    lost: float = 0.0
    repeated: float = 0.0
    least_delay_s: float = 0.0005
    most_delay_s: float = 0.003


class Driver:
    """Runs processes in virtual time, one event at a time."""

    def __init__(self, seed: int, network: Network | None = None) -> None:
        self.rng = Random(seed)
        self.network = network or Network()
        self.now = 0.0
        self.handled = 0
        self.processes: dict[str, Process] = {}
        self.handlers: dict[type, Handler] = {}
        self._last_order = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def add(self, name: str, state: Any, reduce: Any) -> None:
        """Add a process, or restart it under the same name."""
        epoch = self.processes[name].epoch + 1 if name in self.processes else 0
        self.processes[name] = Process(state, reduce, epoch)
        self.submit(name, TimerExpired())

    def crash(self, name: str) -> None:
        """Stop a process; events in transit to it are lost."""
        self.processes[name].up = False

    def pause(self, name: str, for_s: float) -> None:
        """Freeze a process; its events wait until it resumes."""
        process = self.processes[name]
        epoch = process.epoch
        process.paused_until = max(process.paused_until, self.now + for_s)
        self.at(process.paused_until, lambda: self._resume(name, epoch))

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self._last_order += 1
        heappush(self._queue, (time, self._last_order, action))

    def submit(self, name: str, event: Any, delay_s: float = 0.0) -> None:
        """Deliver an event to a process, unless it is restarted before that."""
        epoch = self.processes[name].epoch
        self.at(self.now + delay_s, lambda: self._deliver(name, epoch, event))

    def transmit(self, name: str, event: Any) -> None:
        """Deliver a frame over the network, with its delays and faults."""
        network = self.network
        if self.rng.random() < network.lost:
            return
        copies = 2 if self.rng.random() < network.repeated else 1
        for _ in range(copies):
            delay_s = self.rng.uniform(network.least_delay_s, network.most_delay_s)
            self.submit(name, event, delay_s)

    def run(self, until: float) -> None:
        """Handle all events until a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heappop(self._queue)
            action()
        self.now = until

    def _deliver(self, name: str, epoch: int, event: Any) -> None:
        process = self.processes[name]
        if not process.up or process.epoch != epoch:
            return
        if self.now < process.paused_until:
            process.backlog.append(event)
            return
        self._handle(name, process, event)

    def _resume(self, name: str, epoch: int) -> None:
        process = self.processes[name]
        if process.epoch != epoch or self.now < process.paused_until:
            return
        backlog, process.backlog = process.backlog, []
        for event in backlog:
            self._deliver(name, epoch, event)

    def _handle(self, name: str, process: Process, event: Any) -> None:
        if isinstance(event, TimerExpired):
            process.timer_due_at = float("inf")
        self.handled += 1
        for effect in process.reduce(process.state, event, self.now):
            handler = self.handlers.get(type(effect))
            if handler is not None:
                handler(name, effect)
        self._schedule_timer(name, process)

    def _schedule_timer(self, name: str, process: Process) -> None:
        due = process.state.find_next_timer()
        if due is None or due >= process.timer_due_at:
            return
        process.timer_due_at = max(due, self.now)
        self.submit(name, TimerExpired(), max(due - self.now, 0.0) + TIMER_SLACK_S)
