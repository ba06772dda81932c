"""Handles agents' frames and timers for the attempts of plain service calls."""

from msgspec import structs

from masticdrum.core.callends import (
    DEADLINE,
    PROBE,
    RETRY,
    mark_answered,
    refuse_call,
    remove_call,
    replay_reply,
    track_after_answer,
)
from masticdrum.core.calls import (
    PROBE_S,
    commit_outcome,
    end_unfinished_call,
    release_claim,
    send_probe,
    try_next,
)
from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.partitionstep import make_release
from masticdrum.core.servicecall import CallStage, ServiceCall
from masticdrum.model.entry_events import (
    EntryEffect,
    SendAnswer,
)
from masticdrum.model.errors import ANSWERS, ErrorKind, Outcome
from masticdrum.model.ledger import KeyState, Record
from masticdrum.model.messages import (
    Accepted,
    Answered,
    Failed,
    Refused,
    Settled,
)
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber

MAX_PROBES = 3
MAX_REPLY_BYTES = 128 * 1024

CallMessage = Accepted | Answered | Refused | Failed | Settled


def handle_call_message(
    state: EntryState, message: CallMessage, incarnation: str, now: float
) -> list[EntryEffect]:
    """Handle an agent's frame about an attempt; ``incarnation`` is the sender's."""
    call = state.calls.find_by_attempt(message.attempt)
    if call is None:
        return [Count(Counter.FRAMES_DROPPED, "unknown attempt")]
    call.probes = 0
    if call.stage is CallStage.RESOLVING:
        return _handle_other_claim(state, call, message, incarnation, now)
    if call.stage is not CallStage.RUNNING:
        return [Count(Counter.FRAMES_DROPPED, "not running")]
    match message:
        case Accepted():
            state.timers.set(TimerName(PROBE, call.request), now + PROBE_S)
            return []
        case Answered():
            return _handle_answer(state, call, message, now)
    kind, retry_hint_s = _read_failure(message)
    if _reports_not_run(message) and _matches_incarnation(
        call.incarnation, incarnation
    ):
        return _handle_not_run(state, call, kind, retry_hint_s, now)
    return _handle_unknown_outcome(state, call, now)


def _read_failure(message: Refused | Failed | Settled) -> tuple[ErrorKind, float]:
    match message:
        case Refused():
            return message.kind, message.retry_after_s
        case Failed():
            return message.kind, ANSWERS[message.kind].retry_after_s
        case Settled():
            return ErrorKind.UPSTREAM_SILENT, 0.0


def _reports_not_run(message: Refused | Failed | Settled) -> bool:
    return isinstance(message, Refused) or message.outcome is Outcome.NOT_RUN


def _matches_incarnation(expected: str, incarnation: str) -> bool:
    return expected in ("", incarnation)


def _handle_answer(
    state: EntryState, call: ServiceCall, message: Answered, now: float
) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    if call.claim is not None:
        effects += _record_reply(state, call.claim, message, now)
    if not call.answered:
        effects.append(
            SendAnswer(call.request, message.status, message.content_type, message.body)
        )
        effects.append(Log(LogNumber.REQUEST_FINISHED, request=call.request))
        mark_answered(state, call)
    remove_call(state, call)
    return effects


def _record_reply(
    state: EntryState, claim: Record, message: Answered, now: float
) -> list[EntryEffect]:
    if len(message.body) > MAX_REPLY_BYTES:
        # The claim gets no recorded outcome, so the key reads as outcome unknown.
        too_long = f"reply of {len(message.body)} bytes is too long to be recorded"
        return [Log(LogNumber.REQUEST_FAILED, attempt=message.attempt, detail=too_long)]
    reply = make_reply_record(claim, message)
    return commit_outcome(state, reply, now)


def make_reply_record(claim: Record, message: Answered) -> Record:
    """Return the record of an attempt's reply."""
    return structs.replace(
        claim,
        state=KeyState.DONE,
        status=message.status,
        content_type=message.content_type,
        body=message.body,
    )


def _handle_not_run(
    state: EntryState,
    call: ServiceCall,
    kind: ErrorKind,
    retry_hint_s: float,
    now: float,
) -> list[EntryEffect]:
    state.timers.clear(TimerName(PROBE, call.request))
    call.last_kind = kind
    call.last_retry_after_s = retry_hint_s
    if call.answered:
        released = release_claim(state, call, now)
        remove_call(state, call)
        return released
    if ANSWERS[kind].retry_elsewhere:
        return _retry(state, call, kind, now, refused=True)
    return end_unfinished_call(state, call, kind, now)


def _retry(
    state: EntryState, call: ServiceCall, kind: ErrorKind, now: float, *, refused: bool
) -> list[EntryEffect]:
    tries = len(call.tried)
    at = state.retries.plan_retry(tries, refused, now, call.deadline)
    if at is None:
        return end_unfinished_call(state, call, ErrorKind.RETRY_BUDGET_SPENT, now)
    counted = Count(Counter.RETRIES, kind.value)
    if at > now:
        state.timers.set(TimerName(RETRY, call.request), at)
        return [counted]
    return [counted, *try_next(state, call, now)]


def _handle_unknown_outcome(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    state.timers.clear(TimerName(PROBE, call.request))
    if call.answered:
        remove_call(state, call)
        return []
    if call.at_most_once:
        refused = refuse_call(
            state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN, keep_tracking=True
        )
        track_after_answer(state, call, now)
        return refused
    call.may_have_run = True
    call.last_kind = ErrorKind.UPSTREAM_FAILED
    return _retry(state, call, ErrorKind.UPSTREAM_FAILED, now, refused=False)


def _handle_other_claim(
    state: EntryState,
    call: ServiceCall,
    message: CallMessage,
    incarnation: str,
    now: float,
) -> list[EntryEffect]:
    record = call.other_claim
    assert record is not None
    state.timers.clear(TimerName(PROBE, call.request))
    state.calls.untrack(record.attempt)
    call.other_claim = None
    match message:
        case Accepted():
            return refuse_call(state, call, ErrorKind.KEY_IN_PROGRESS, Outcome.UNKNOWN)
        case Answered():
            recorded = _record_reply(state, record, message, now)
            return recorded + replay_reply(
                state, call, make_reply_record(record, message)
            )
    if _reports_not_run(message) and _matches_incarnation(
        record.incarnation, incarnation
    ):
        released = commit_outcome(state, make_release(record), now)
        return released + try_next(state, call, now)
    return refuse_call(state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)


def handle_call_timer(
    state: EntryState, call: ServiceCall, purpose: str, now: float
) -> list[EntryEffect]:
    """Handle one of a call's timers."""
    if purpose == PROBE:
        return _probe_call(state, call, now)
    if purpose == DEADLINE:
        return _handle_deadline(state, call, now)
    if purpose == RETRY:
        return try_next(state, call, now)
    remove_call(state, call)
    return []


def _probe_call(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    # A link on which an earlier probe got no answer is replaced by a new one.
    if call.stage is CallStage.IDENTIFYING:
        return _skip_silent_agent(state, call, now)
    if call.stage not in (CallStage.RUNNING, CallStage.RESOLVING):
        return []
    assert call.upstream is not None
    peer, effects = state.links.ensure_open(call.upstream)
    expected = (
        call.incarnation if call.other_claim is None else call.other_claim.incarnation
    )
    if peer.incarnation and not _matches_incarnation(expected, peer.incarnation):
        return effects + _handle_replaced_agent(state, call, now)
    if call.probes >= MAX_PROBES and call.stage is CallStage.RESOLVING:
        return refuse_call(state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
    if call.probes >= MAX_PROBES and not call.at_most_once:
        return _handle_unknown_outcome(state, call, now)
    if call.probes > 0 and peer.link == call.link:
        peer, effects = state.links.reopen(call.upstream)
    return effects + send_probe(state, call, peer, now)


def _skip_silent_agent(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    assert call.upstream is not None
    call.tried.append(call.upstream.name)
    counted = Count(Counter.RETRIES, ErrorKind.UPSTREAM_SILENT.value)
    _, effects = state.links.reopen(call.upstream)
    return [*effects, counted, *try_next(state, call, now)]


def _handle_replaced_agent(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    if call.stage is CallStage.RESOLVING:
        return refuse_call(state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
    return _handle_unknown_outcome(state, call, now)


def _handle_deadline(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    if call.answered:
        return []
    if call.stage is CallStage.RUNNING:
        kind = ErrorKind.OUTCOME_UNKNOWN
        refused = refuse_call(state, call, kind, Outcome.UNKNOWN, keep_tracking=True)
        track_after_answer(state, call, now)
        return refused
    return refuse_call(state, call, ErrorKind.DEADLINE_EXCEEDED, Outcome.UNKNOWN)


def abandon_call(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    """Handle the caller's disconnect; a dispatched attempt is tracked further."""
    if call.answered:
        return []
    mark_answered(state, call)
    logged = Log(LogNumber.CALLER_GONE, request=call.request)
    if call.stage is CallStage.RUNNING:
        track_after_answer(state, call, now)
    else:
        remove_call(state, call)
    return [logged]
