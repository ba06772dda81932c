"""The entry's reducer: every event in, effects as data out."""

from masticdrum.core.calls import (
    LEDGER,
    CallMessage,
    abandon_call,
    advance_ledger,
    begin_call,
    greet_calls,
    take_call_message,
    take_call_timer,
    take_object_answer,
)
from masticdrum.core.completions import (
    DEADLINE,
    RETRY,
    SILENCE,
    abandon_completion,
    begin_completion,
    check_silence,
    pass_deadline,
    take_accepted,
    take_failed,
    take_finished,
    take_refused,
    take_tokens,
    try_next,
)
from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.tablepoll import POLL, poll_tables, take_tables
from masticdrum.model.entry_events import (
    CallAsked,
    CallerGone,
    CompletionAsked,
    EntryEffect,
    EntryEvent,
    Exit,
    FrameReceived,
    SendFrame,
    ShutdownAsked,
    Woken,
)
from masticdrum.model.messages import (
    Accepted,
    AnyMessage,
    Cancel,
    Failed,
    Finished,
    Refused,
    Tokens,
)
from masticdrum.model.platform import InstancesListed, ObjectAnswer
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber


def reduce_entry(state: EntryState, event: EntryEvent, now: float) -> list[EntryEffect]:
    """Take one event at time ``now``, in seconds, and return what is to be done.

    The state changes in place. The same state, event and time always give the same
    effects.
    """
    match event:
        case FrameReceived():
            return _take_frame(state, event, now)
        case CompletionAsked():
            return begin_completion(state, event, now)
        case CallAsked():
            return begin_call(state, event, now)
        case CallerGone():
            return _take_caller_gone(state, event, now)
        case Woken():
            return _take_woken(state, now)
        case ShutdownAsked():
            return _begin_shutdown(state, event, now)
        case ObjectAnswer():
            if event.call == POLL:
                return list(take_tables(state, event))
            effects = take_object_answer(state, event, now)
            return effects + _exit_if_done(state, now)
        case InstancesListed():
            return []


def _take_frame(
    state: EntryState, event: FrameReceived, now: float
) -> list[EntryEffect]:
    peer = state.links.note(event.link, event.envelope, now)
    if peer is None:
        return [Count(Counter.FRAMES_DROPPED, "old link")]
    effects = greet_calls(state, peer, now)
    message = event.envelope.message
    if isinstance(message, CallMessage) and state.calls.is_followed(message.attempt):
        incarnation = event.envelope.incarnation
        effects += take_call_message(state, message, incarnation, now)
    else:
        effects += _take_message(state, event.link, message, now)
    return effects + _exit_if_done(state, now)


def _take_message(
    state: EntryState, link: str, message: AnyMessage, now: float
) -> list[EntryEffect]:
    if not isinstance(message, Accepted | Tokens | Finished | Refused | Failed):
        return []
    request = state.by_attempt.get(message.attempt)
    if request is None:
        return _drop_stray(link, message)
    completion = state.completions[request]
    match message:
        case Tokens():
            return take_tokens(state, completion, message, now)
        case Accepted():
            return take_accepted(state, completion, message, now)
        case Finished():
            return take_finished(state, completion, message, now)
        case Refused():
            return take_refused(state, completion, message, now)
        case Failed():
            return take_failed(state, completion, message, now)


def _drop_stray(
    link: str, message: Accepted | Tokens | Finished | Refused | Failed
) -> list[EntryEffect]:
    dropped = Count(Counter.FRAMES_DROPPED, "unknown attempt")
    if not isinstance(message, Accepted | Tokens):
        return [dropped]
    return [dropped, SendFrame(link, Cancel(message.attempt))]


def _take_caller_gone(
    state: EntryState, event: CallerGone, now: float
) -> list[EntryEffect]:
    call = state.calls.find(event.request)
    if call is not None:
        return abandon_call(state, call, now) + _exit_if_done(state, now)
    completion = state.completions.get(event.request)
    if completion is None:
        return []
    return abandon_completion(state, completion, now) + _exit_if_done(state, now)


def _take_woken(state: EntryState, now: float) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    for name in state.timers.pop_due(now):
        effects += _take_timer(state, name, now)
    return effects + _exit_if_done(state, now)


def _take_timer(state: EntryState, name: TimerName, now: float) -> list[EntryEffect]:
    if name.purpose == LEDGER:
        return advance_ledger(state, now)
    call = state.calls.find(name.owner)
    if call is not None:
        return take_call_timer(state, call, name.purpose, now)
    if name.purpose == POLL:
        return list(poll_tables(state, now))
    completion = state.completions.get(name.owner)
    if completion is None:
        return []
    if name.purpose == DEADLINE:
        return pass_deadline(state, completion, now)
    if name.purpose == SILENCE:
        return check_silence(state, completion, now)
    if name.purpose == RETRY:
        return try_next(state, completion, now)
    return []


def _begin_shutdown(
    state: EntryState, event: ShutdownAsked, now: float
) -> list[EntryEffect]:
    state.shutdown_by = now + event.grace_s
    begun = Log(LogNumber.SHUTDOWN_BEGUN, detail=f"{event.grace_s} s of grace")
    return [begun, *_exit_if_done(state, now)]


def _exit_if_done(state: EntryState, now: float) -> list[EntryEffect]:
    if state.shutdown_by is None:
        return []
    busy = state.completions or state.calls.by_request or not state.ledger.is_idle()
    if busy and now < state.shutdown_by:
        return []
    return [Log(LogNumber.SHUTDOWN_DONE), Exit()]
