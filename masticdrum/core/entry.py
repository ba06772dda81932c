"""The entry's reducer: handles each event and returns effects as plain data."""

from masticdrum.core.callends import DEADLINE as CALL_DEADLINE
from masticdrum.core.callframes import (
    CallMessage,
    abandon_call,
    handle_call_message,
    handle_call_timer,
)
from masticdrum.core.calls import (
    LEDGER,
    advance_ledger,
    begin_call,
    claim_for_waiting_calls,
    handle_commit,
    handle_commit_timeout,
    handle_object_answer,
)
from masticdrum.core.completions import (
    DEADLINE,
    RETRY,
    SILENCE,
    abandon_completion,
    begin_completion,
    check_silence,
    end_completion_at_shutdown,
    expire_completion,
    handle_accepted,
    handle_failed,
    handle_finished,
    handle_refused,
    handle_tokens,
    try_next,
)
from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.entrytables import (
    check_tables_time,
    handle_instances,
    handle_tables_frame,
    handle_tables_object,
    run_tables_timers,
)
from masticdrum.core.forwarding import FALL_BACK, choose_writers, has_commits
from masticdrum.core.tablesync import owns_call
from masticdrum.model.entry_events import (
    CallerDisconnected,
    CallRequested,
    CompletionRequested,
    EntryEffect,
    EntryEvent,
    Exit,
    FrameReceived,
    SendFrame,
    ShutdownRequested,
    TimerExpired,
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
    """Handle one event at time ``now``, in seconds, and return its effects.

    The state changes in place. The same state, event and time always give the same
    effects.
    """
    effects = check_tables_time(state, now)
    return effects + _handle_event(state, event, now)


def _handle_event(
    state: EntryState, event: EntryEvent, now: float
) -> list[EntryEffect]:
    match event:
        case FrameReceived():
            return _handle_frame(state, event, now)
        case CompletionRequested():
            return begin_completion(state, event, now)
        case CallRequested():
            return begin_call(state, event, now)
        case CallerDisconnected():
            return _handle_disconnect(state, event, now)
        case TimerExpired():
            return _handle_due_timers(state, now)
        case ShutdownRequested():
            return _begin_shutdown(state, event, now)
        case ObjectAnswer():
            if owns_call(event):
                return handle_tables_object(state, event, now)
            effects = handle_object_answer(state, event, now)
            return effects + _exit_if_done(state, now)
        case InstancesListed():
            choose_writers(state, event)
            return handle_instances(state, event, now)


def _handle_frame(
    state: EntryState, event: FrameReceived, now: float
) -> list[EntryEffect]:
    message = event.envelope.message
    if isinstance(message, Commit | Committed):
        effects = handle_commit(state, event.link, message, now)
        return effects + _exit_if_done(state, now)
    peer = state.links.record_frame(event.link, event.envelope, now)
    if peer is None:
        return [Count(Counter.FRAMES_DROPPED, "old link")]
    effects = handle_tables_frame(state, peer, event.envelope, now)
    effects += claim_for_waiting_calls(state, peer, now)
    if isinstance(message, CallMessage) and state.calls.is_tracked(message.attempt):
        incarnation = event.envelope.incarnation
        effects += handle_call_message(state, message, incarnation, now)
    else:
        effects += _handle_message(state, event.link, message, now)
    return effects + _exit_if_done(state, now)


def _handle_message(
    state: EntryState, link: str, message: AnyMessage, now: float
) -> list[EntryEffect]:
    if not isinstance(message, Accepted | Tokens | Finished | Refused | Failed):
        return []
    request = state.by_attempt.get(message.attempt)
    if request is None:
        return _drop_unknown_attempt(link, message)
    completion = state.completions[request]
    match message:
        case Tokens():
            return handle_tokens(state, completion, message, now)
        case Accepted():
            return handle_accepted(state, completion, message, now)
        case Finished():
            return handle_finished(state, completion, message, now)
        case Refused():
            return handle_refused(state, completion, message, now)
        case Failed():
            return handle_failed(state, completion, message, now)


def _drop_unknown_attempt(
    link: str, message: Accepted | Tokens | Finished | Refused | Failed
) -> list[EntryEffect]:
    dropped = Count(Counter.FRAMES_DROPPED, "unknown attempt")
    if not isinstance(message, Accepted | Tokens):
        return [dropped]
    return [dropped, SendFrame(link, Cancel(message.attempt))]


def _handle_disconnect(
    state: EntryState, event: CallerDisconnected, now: float
) -> list[EntryEffect]:
    call = state.calls.find(event.request)
    if call is not None:
        return abandon_call(state, call, now) + _exit_if_done(state, now)
    completion = state.completions.get(event.request)
    if completion is None:
        return []
    return abandon_completion(state, completion, now) + _exit_if_done(state, now)


def _handle_due_timers(state: EntryState, now: float) -> list[EntryEffect]:
    effects = run_tables_timers(state, now)
    for name in state.timers.pop_due(now):
        effects += _handle_timer(state, name, now)
    return effects + _exit_if_done(state, now)


def _handle_timer(state: EntryState, name: TimerName, now: float) -> list[EntryEffect]:
    if name.purpose == GRACE_END:
        return _end_open_requests(state, now)
    if name.purpose == LEDGER:
        return advance_ledger(state, now)
    if name.purpose == FALL_BACK:
        return handle_commit_timeout(state, name.owner, now)
    call = state.calls.find(name.owner)
    if call is not None:
        return handle_call_timer(state, call, name.purpose, now)
    completion = state.completions.get(name.owner)
    if completion is None:
        return []
    if name.purpose == DEADLINE:
        return expire_completion(state, completion, now)
    if name.purpose == SILENCE:
        return check_silence(state, completion, now)
    if name.purpose == RETRY:
        return try_next(state, completion, now)
    return []


def _begin_shutdown(
    state: EntryState, event: ShutdownRequested, now: float
) -> list[EntryEffect]:
    if state.shutdown_by is not None:
        return []
    state.shutdown_by = now + event.grace_s
    state.timers.set(TimerName(GRACE_END, ""), state.shutdown_by)
    begun = Log(LogNumber.SHUTDOWN_BEGUN, detail=f"{event.grace_s} s of grace")
    return [begun, *_exit_if_done(state, now)]


def _end_open_requests(state: EntryState, now: float) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    for completion in list(state.completions.values()):
        effects += end_completion_at_shutdown(state, completion, now)
    for call in list(state.calls.by_request.values()):
        effects += handle_call_timer(state, call, CALL_DEADLINE, now)
    return effects


def _exit_if_done(state: EntryState, now: float) -> list[EntryEffect]:
    if state.shutdown_by is None:
        return []
    busy = state.completions or state.calls.by_request or has_commits(state)
    if busy and now < state.shutdown_by:
        return []
    return [Log(LogNumber.SHUTDOWN_DONE), Exit()]
