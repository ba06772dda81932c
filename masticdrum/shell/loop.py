"""The one loop of a process: events in, the reducer, effects out, timers."""

from collections import deque
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import trio

Event = TypeVar("Event")
Effect = TypeVar("Effect")
NEVER = float("inf")


class Clocked(Protocol):
    """A reducer's state as far as the loop looks at it."""

    def find_next_timer(self) -> float | None:
        """Return when the reducer wants to be woken, in seconds, or None."""


class Loop(Generic[Event, Effect]):
    """Runs a reducer over events, one at a time, and carries out its effects.

    ``reduce`` takes an event and the time, ``carry_out`` one effect; ``wake`` is the
    event for "time has passed"; ``settle`` is called once no event is left and may
    submit more. An event submitted from within an effect waits for
    its turn. ``clock`` gives the time in seconds that the reducer and its timers see.
    """

    def __init__(
        self,
        state: Clocked,
        reduce: Callable[[Event, float], list[Effect]],
        carry_out: Callable[[Effect], None],
        wake: Event,
        settle: Callable[[], None],
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._clock = clock
        self._state = state
        self._reduce = reduce
        self._carry_out = carry_out
        self._wake = wake
        self._settle = settle
        self._events: deque[Event] = deque()
        self._draining = False
        self._sleep = trio.CancelScope()

    def submit(self, event: Event) -> None:
        """Take one event; returns when it and all that it led to are dealt with."""
        self._events.append(event)
        if self._draining:
            return
        self._draining = True
        try:
            self._drain()
        finally:
            self._draining = False
        self._sleep.deadline = self._find_deadline()

    async def run_timers(self) -> None:
        """Wake the reducer whenever one of its timers is due; runs for ever."""
        while True:
            with trio.CancelScope(deadline=self._find_deadline()) as self._sleep:
                await trio.sleep_forever()
            self.submit(self._wake)

    def _drain(self) -> None:
        while self._events:
            event = self._events.popleft()
            for effect in self._reduce(event, self._clock()):
                self._carry_out(effect)
            if not self._events:
                self._settle()

    def _find_deadline(self) -> float:
        at = self._state.find_next_timer()
        if at is None:
            return NEVER
        return trio.current_time() + (at - self._clock())
