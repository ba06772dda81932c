"""How a plain service call ends at an entry: replayed, refused, removed."""

from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.invariants import require
from masticdrum.core.refusals import refuse_request
from masticdrum.core.servicecall import ServiceCall
from masticdrum.model.entry_events import (
    EntryEffect,
    SendAnswer,
)
from masticdrum.model.errors import ErrorKind, Outcome
from masticdrum.model.ledger import KeyState, Record
from masticdrum.model.telemetry import Log, LogNumber

DEADLINE = "call deadline"
PROBE = "call probe"
RETRY = "call retry"
REMOVE = "call removal"
TRACK_AFTER_ANSWER_S = 30.0


def replay_reply(
    state: EntryState, call: ServiceCall, record: Record
) -> list[EntryEffect]:
    """Answer a call with the reply that the ledger holds."""
    require(
        record.workspace == call.workspace and record.key == call.key,
        f"key '{call.key}' is replayed to workspace '{record.workspace}' only",
    )
    require(
        record.state is KeyState.DONE,
        f"key '{call.key}' is replayed only after its reply was recorded",
    )
    answer = SendAnswer(
        call.request, record.status, record.content_type, record.body, replayed=True
    )
    mark_answered(state, call)
    remove_call(state, call)
    return [answer, Log(LogNumber.REQUEST_FINISHED, request=call.request)]


def track_after_answer(state: EntryState, call: ServiceCall, now: float) -> None:
    """Track an attempt for a limited time after its caller was answered."""
    until = max(call.deadline, now) + TRACK_AFTER_ANSWER_S
    state.timers.set(TimerName(REMOVE, call.request), until)


def refuse_call(
    state: EntryState,
    call: ServiceCall,
    kind: ErrorKind,
    outcome: Outcome,
    *,
    keep_tracking: bool = False,
) -> list[EntryEffect]:
    """Answer a call with an error; ``keep_tracking`` leaves its attempt tracked."""
    require(not call.answered, f"request '{call.request}' is answered once")
    require(
        outcome is Outcome.UNKNOWN or call.claim is None,
        f"request '{call.request}' holds no claim when it is reported as not run",
    )
    hint = call.last_retry_after_s
    mark_answered(state, call)
    if not keep_tracking:
        remove_call(state, call)
    return refuse_request(call.request, kind, outcome, retry_after_s=hint)


def mark_answered(state: EntryState, call: ServiceCall) -> None:
    """Record that the caller has an answer or has disconnected."""
    call.answered = True
    state.open_requests.remove(call.workspace, call.route.name)


def remove_call(state: EntryState, call: ServiceCall) -> None:
    """Remove a call and its timers."""
    for purpose in (DEADLINE, PROBE, RETRY, REMOVE):
        state.timers.clear(TimerName(purpose, call.request))
    state.calls.remove(call)
