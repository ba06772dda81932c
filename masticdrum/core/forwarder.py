"""The reducer of an entry that forwards exchanges: events in, effects out."""

from masticdrum.core.beliefs import take_belief
from masticdrum.core.exchangeclose import DEADLINE
from masticdrum.core.exchanges import (
    abandon_exchange,
    begin_exchange,
    begin_stream,
    end_attempt,
    pass_deadline,
    pass_events,
)
from masticdrum.core.exchangestate import ExchangeState
from masticdrum.core.keptparts import PartsHeard, PartsUnheard
from masticdrum.model.belief import BeliefEvent, WeightsNamed
from masticdrum.model.exchange import (
    AttemptEnded,
    ExchangeEffect,
    ForwardAsked,
    ForwardGone,
    Leave,
    StopAsked,
    StreamBegun,
    StreamPassed,
    Ticked,
)
from masticdrum.model.telemetry import Log, LogNumber

STOP = "stop"
STOP_RESERVE_S = 1.0  # of the grace time, for closing connections
ForwardEvent = (
    ForwardAsked
    | ForwardGone
    | StreamBegun
    | StreamPassed
    | AttemptEnded
    | StopAsked
    | Ticked
    | PartsHeard
    | PartsUnheard
    | BeliefEvent
)


def reduce_forwarder(
    state: ExchangeState, event: ForwardEvent, now: float
) -> list[ExchangeEffect]:
    """Take one event at ``now``, in seconds that include time asleep.

    The state changes in place; the same state, event and time give the same effects.
    """
    effects = _take_timers(state, now)
    effects += _take_event(state, event, now)
    effects += _watch_lease(state, now)
    return effects + _leave_if_done(state, now)


def _take_timers(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    effects: list[ExchangeEffect] = []
    for name, handle in state.timers.pop_due(now):
        if name == DEADLINE:
            effects += pass_deadline(state, handle, now)
    return effects


def _take_event(
    state: ExchangeState, event: ForwardEvent, now: float
) -> list[ExchangeEffect]:
    match event:
        case StreamPassed():
            return pass_events(state, event, now)
        case ForwardAsked():
            return begin_exchange(state, event, now)
        case StreamBegun():
            return begin_stream(state, event, now)
        case AttemptEnded():
            return end_attempt(state, event, now)
        case ForwardGone():
            return abandon_exchange(state, event, now)
        case StopAsked():
            return _begin_stop(state, event, now)
        case Ticked():
            return []
        case PartsHeard() | PartsUnheard():
            return _take_parts(state, event, now)
        case _:
            return _take_belief(state, event, now)


def _take_parts(
    state: ExchangeState, event: PartsHeard | PartsUnheard, now: float
) -> list[ExchangeEffect]:
    if isinstance(event, PartsHeard):
        state.parts.hear(event, now)
    else:
        state.parts.lose(event)
    return []


def _take_belief(
    state: ExchangeState, event: BeliefEvent, now: float
) -> list[ExchangeEffect]:
    before = dict(state.beliefs.weights)
    logs = take_belief(state.beliefs, event, now)
    if isinstance(event, WeightsNamed) and state.beliefs.weights != before:
        state.weights_at[event.model] = now
    _forget_gone(state)
    return [*logs]


def _forget_gone(state: ExchangeState) -> None:
    """Drop what was noted of upstreams that are gone."""
    for name in [name for name in state.standings if name not in state.beliefs.known]:
        del state.standings[name]


def _watch_lease(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    leased = state.beliefs.is_leased(now)
    if leased == state.leased:
        return []
    state.leased = leased
    number = LogNumber.LEASE_REGAINED if leased else LogNumber.LEASE_LAPSED
    left_s = round(state.beliefs.lease_until - now, 3)
    facts = {"version": state.beliefs.version, "lease_s": left_s}
    return [Log(number, facts={**facts})]


def _begin_stop(
    state: ExchangeState, event: StopAsked, now: float
) -> list[ExchangeEffect]:
    if state.stop_from is not None:
        return []
    state.stop_by = now + event.grace_s - STOP_RESERVE_S
    state.stop_from = min(now + state.bounds.stop_linger_s, state.stop_by)
    state.timers.set((STOP, 0), state.stop_from)
    state.timers.set((STOP, 1), state.stop_by)
    detail = f"{event.grace_s} s of grace"
    facts = {"open": len(state.exchanges)}
    return [Log(LogNumber.SHUTDOWN_BEGUN, detail=detail, facts={**facts})]


def _leave_if_done(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    if state.stop_from is None or state.stop_by is None or state.left:
        return []
    if now < state.stop_from:
        return []
    # Nothing new is taken from here on; what is open has the rest of the grace time.
    state.left = True
    facts = {"open": len(state.exchanges)}
    return [Log(LogNumber.SHUTDOWN_DONE, facts={**facts}), Leave()]
