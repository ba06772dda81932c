"""The event loop of a process: feeds the reducer, carries out effects, runs timers."""

from collections import deque
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import trio

Event = TypeVar("Event")
Effect = TypeVar("Effect")
NEVER = float("inf")


class TimedState(Protocol):
    """The part of a reducer's state that the loop uses."""

    def find_next_timer(self) -> float | None:
        """Return when the reducer's next timer is due, in seconds, or None."""


class Loop(Generic[Event, Effect]):
    """Runs a reducer over events, one at a time, and carries out its effects.

    ``reduce`` handles an event at a given time, ``carry_out`` executes one effect.
    ``timer_event`` is submitted when a timer is due. ``on_idle`` is called when the
    queue of events is empty and may submit more. An event that is submitted while an
    effect is carried out is queued. ``clock`` returns the time in seconds that the
    reducer and its timers use.
    """

    def __init__(
        self,
        state: TimedState,
        reduce: Callable[[Event, float], list[Effect]],
        carry_out: Callable[[Effect], None],
        timer_event: Event,
        on_idle: Callable[[], None],
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._clock = clock
        self._state = state
        self._reduce = reduce
        self._carry_out = carry_out
        self._timer_event = timer_event
        self._on_idle = on_idle
        self._events: deque[Event] = deque()
        self._processing = False
        self._timer_scope = trio.CancelScope()

    def submit(self, event: Event) -> None:
        """Process an event and all events that follow from it.

        While another event is being processed, only queue it and return.
        """
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            self._process_events()
        finally:
            self._processing = False
        self._timer_scope.deadline = self._compute_deadline()

    async def run_timers(self) -> None:
        """Submit the timer event whenever a timer is due; runs forever."""
        while True:
            with trio.CancelScope(
                deadline=self._compute_deadline()
            ) as self._timer_scope:
                await trio.sleep_forever()
            self.submit(self._timer_event)

    def _process_events(self) -> None:
        while self._events:
            event = self._events.popleft()
            for effect in self._reduce(event, self._clock()):
                self._carry_out(effect)
            if not self._events:
                self._on_idle()

    def _compute_deadline(self) -> float:
        at = self._state.find_next_timer()
        if at is None:
            return NEVER
        return trio.current_time() + (at - self._clock())
