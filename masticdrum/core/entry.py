"""The entry's reducer: every event in, effects as data out."""

from masticdrum.core.callends import DEADLINE as CALL_DEADLINE
from masticdrum.core.callframes import (
    CallMessage,
    abandon_call,
    take_call_message,
    take_call_timer,
)
from masticdrum.core.calls import (
    LEDGER,
    advance_ledger,
    begin_call,
    fall_back_commit,
    greet_calls,
    take_commit,
    take_object_answer,
)
from masticdrum.core.completions import (
    DEADLINE,
    RETRY,
    SILENCE,
    abandon_completion,
    begin_completion,
    check_silence,
    cut_completion,
    pass_deadline,
    take_accepted,
    take_failed,
    take_finished,
    take_refused,
    take_tokens,
    try_next,
)
from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.entrytables import (
    take_instances,
    take_tables_frame,
    take_tables_object,
    take_tables_time,
    wake_tables,
)
from masticdrum.core.forwarding import FALL_BACK, choose_writers, has_commits
from masticdrum.core.tablesync import owns_call
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
    Commit,
    Committed,
    Failed,
    Finished,
    Refused,
    Tokens,
)
from masticdrum.model.platform import InstancesListed, ObjectAnswer
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber

GRACE_END = "shutdown grace end"


def reduce_entry(state: EntryState, event: EntryEvent, now: float) -> list[EntryEffect]:
    """Take one event at time ``now``, in seconds, and return what is to be done.

    The state changes in place. The same state, event and time always give the same
    effects.
    """
    effects = take_tables_time(state, now)
    return effects + _take_event(state, event, now)


def _take_event(state: EntryState, event: EntryEvent, now: float) -> list[EntryEffect]:
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
            if owns_call(event):
                return take_tables_object(state, event, now)
            effects = take_object_answer(state, event, now)
            return effects + _exit_if_done(state, now)
        case InstancesListed():
            choose_writers(state, event)
            return take_instances(state, event, now)


def _take_frame(
    state: EntryState, event: FrameReceived, now: float
) -> list[EntryEffect]:
    message = event.envelope.message
    if isinstance(message, Commit | Committed):
        effects = take_commit(state, event.link, message, now)
        return effects + _exit_if_done(state, now)
    peer = state.links.note(event.link, event.envelope, now)
    if peer is None:
        return [Count(Counter.FRAMES_DROPPED, "old link")]
    effects = take_tables_frame(state, peer, event.envelope, now)
    effects += greet_calls(state, peer, now)
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
    effects = wake_tables(state, now)
    for name in state.timers.pop_due(now):
        effects += _take_timer(state, name, now)
    return effects + _exit_if_done(state, now)


def _take_timer(state: EntryState, name: TimerName, now: float) -> list[EntryEffect]:
    if name.purpose == GRACE_END:
        return _cut_all(state, now)
    if name.purpose == LEDGER:
        return advance_ledger(state, now)
    if name.purpose == FALL_BACK:
        return fall_back_commit(state, name.owner, now)
    call = state.calls.find(name.owner)
    if call is not None:
        return take_call_timer(state, call, name.purpose, now)
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
    if state.shutdown_by is not None:
        return []
    state.shutdown_by = now + event.grace_s
    state.timers.set(TimerName(GRACE_END, ""), state.shutdown_by)
    begun = Log(LogNumber.SHUTDOWN_BEGUN, detail=f"{event.grace_s} s of grace")
    return [begun, *_exit_if_done(state, now)]


def _cut_all(state: EntryState, now: float) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    for completion in list(state.completions.values()):
        effects += cut_completion(state, completion, now)
    for call in list(state.calls.by_request.values()):
        effects += take_call_timer(state, call, CALL_DEADLINE, now)
    return effects


def _exit_if_done(state: EntryState, now: float) -> list[EntryEffect]:
    if state.shutdown_by is None:
        return []
    busy = state.completions or state.calls.by_request or has_commits(state)
    if busy and now < state.shutdown_by:
        return []
    return [Log(LogNumber.SHUTDOWN_DONE), Exit()]
