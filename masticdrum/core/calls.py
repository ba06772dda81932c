"""The life of a plain service call at an entry: claim, dispatch, record, answer.

A call that may not be repeated is dispatched only under a claim of its own in the
ledger, once, by the process that made the claim. "Not run" is said of a key only:
either the ledger was read after the request came and shows that nothing ran under the
key, or the request's own claim stands and its attempt was surely not run.
"""

from returns.result import Failure

from masticdrum.core.candidates import list_excluded
from masticdrum.core.completions import refuse_request
from masticdrum.core.entrance import check_call
from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.invariants import require
from masticdrum.core.judgement import Decision
from masticdrum.core.links import Peer
from masticdrum.core.partition import Step, Verdict
from masticdrum.core.placement import order_upstreams
from masticdrum.core.segments import digest_request
from masticdrum.core.servicecall import CallStage, ServiceCall
from masticdrum.core.stamps import make_attempt, read_key_time
from masticdrum.model.entry_events import (
    CallAsked,
    EntryEffect,
    GiveAnswer,
    SendFrame,
)
from masticdrum.model.errors import ANSWERS, ErrorKind, Outcome
from masticdrum.model.ledger import KeyState, Record
from masticdrum.model.messages import (
    Accepted,
    Answered,
    Call,
    Failed,
    Hello,
    Refused,
    Settle,
    Settled,
)
from masticdrum.model.platform import ObjectAnswer
from masticdrum.model.tables import Upstream
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber

DEADLINE = "call deadline"
PROBE = "call probe"
FORGET = "call forget"
LEDGER = "ledger"

IDENTITY_FRESH_S = 1.0
GREET_S = 0.5
LEDGER_WAIT_S = 2.0
PROBE_S = 1.0
MAX_PROBE_S = 8.0
MAX_PROBES = 3
LINGER_S = 30.0
SETTLE_AFTER_S = 10.0
MAX_REPLY_BYTES = 128 * 1024

CallMessage = Accepted | Answered | Refused | Failed | Settled


def begin_call(state: EntryState, asked: CallAsked, now: float) -> list[EntryEffect]:
    """Start a caller's call, replay its recorded reply, or refuse it."""
    checked = check_call(state, asked)
    if isinstance(checked, Failure):
        # Nothing is known of what may have run under the key before.
        outcome = Outcome.UNKNOWN if asked.key else Outcome.NOT_RUN
        return refuse_request(asked.request, checked.failure(), outcome)
    route = checked.unwrap()
    call = ServiceCall(
        request=asked.request,
        workspace=asked.workspace,
        route=route,
        key=asked.key,
        body=asked.body,
        digest=digest_request(route.name, asked.body),
        keyed=not route.idempotent,
        arrived_at=now,
        deadline=now + route.deadline_s,
    )
    refusal = _find_key_refusal(state, call, now)
    if refusal is not None:
        return refuse_request(asked.request, refusal, Outcome.UNKNOWN)
    state.calls.add(call)
    state.open_requests.add(call.workspace, route.name)
    state.timers.set(TimerName(DEADLINE, call.request), call.deadline)
    counted = Count(Counter.REQUESTS, route.urgency.value)
    known = state.ledger.find(call.workspace, call.key) if call.keyed else None
    if known is not None and known.state is not KeyState.RELEASED:
        return [counted, *_look_up(state, call, now)]
    return [counted, *_try_next(state, call, now)]


def _find_key_refusal(
    state: EntryState, call: ServiceCall, now: float
) -> ErrorKind | None:
    if not call.keyed:
        return None
    made_at = read_key_time(call.key)
    wall = state.ledger.tell_wall(now)
    if made_at is not None and made_at + state.ledger.retention_s < wall:
        return ErrorKind.KEY_EXPIRED
    other = state.calls.find_by_key(call.workspace, call.key)
    if other is None:
        return None
    if other.digest != call.digest:
        return ErrorKind.KEY_CONFLICT
    return ErrorKind.KEY_IN_PROGRESS


def take_object_answer(
    state: EntryState, answer: ObjectAnswer, now: float
) -> list[EntryEffect]:
    """Hand an object call's answer to the ledger and act on its verdicts."""
    return _take_step(state, state.ledger.take(answer, now), now)


def advance_ledger(state: EntryState, now: float) -> list[EntryEffect]:
    """Let the ledger do what is due."""
    return _take_step(state, state.ledger.advance(now), now)


def _take_step(state: EntryState, step: Step, now: float) -> list[EntryEffect]:
    effects: list[EntryEffect] = list(step.calls)
    effects += [Count(Counter.PLATFORM_CALLS, "ledger") for _ in step.calls]
    for verdict in step.verdicts:
        effects += _take_verdict(state, verdict, now)
    at = state.ledger.find_next()
    if at is not None:
        state.timers.set(TimerName(LEDGER, ""), at)
    return effects


def _take_verdict(state: EntryState, verdict: Verdict, now: float) -> list[EntryEffect]:
    purpose, _, ticket = verdict.ticket.partition("/")
    if purpose == "claim":
        return _take_claim_verdict(state, ticket, verdict, now)
    call = state.calls.find(ticket)
    if call is None:
        return []
    if purpose == "look" and call.stage is CallStage.LOOKING:
        return _take_look_up_verdict(state, call, verdict, now)
    return []


def _take_claim_verdict(
    state: EntryState, attempt: str, verdict: Verdict, now: float
) -> list[EntryEffect]:
    call = state.calls.find_by_attempt(attempt)
    granted = verdict.decision is Decision.GRANTED
    if call is None or call.attempt != attempt:
        if not granted or verdict.record is None:
            return []
        return _take_step(state, state.ledger.release(verdict.record, now), now)
    if granted:
        return _dispatch(state, call, now)
    state.calls.leave(attempt)
    call.attempt = ""
    call.claim = None
    if verdict.decision is Decision.OVERTAKEN:
        return _try_next(state, call, now)
    return _take_look_up_verdict(state, call, verdict, now)


def _take_look_up_verdict(
    state: EntryState, call: ServiceCall, verdict: Verdict, now: float
) -> list[EntryEffect]:
    record = verdict.record
    match verdict.decision:
        case Decision.REPLAY if record is not None:
            return _replay(state, call, record)
        case Decision.BUSY if record is not None:
            return _settle_foreign(state, call, record, now)
        case Decision.CONFLICT:
            return _refuse(state, call, ErrorKind.KEY_CONFLICT, Outcome.UNKNOWN)
        case Decision.ABSENT if call.last_kind is ErrorKind.NO_UPSTREAM:
            if not call.tried:
                return _try_next(state, call, now, looked=True)
            return _refuse(state, call, call.last_kind, Outcome.NOT_RUN)
        case Decision.ABSENT:
            return _refuse(state, call, call.last_kind, Outcome.NOT_RUN)
        case _:
            outcome = Outcome.NOT_RUN if verdict.unclaimed else Outcome.UNKNOWN
            return _refuse(state, call, ErrorKind.LEDGER_UNAVAILABLE, outcome)


def _look_up(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    call.stage = CallStage.LOOKING
    step = state.ledger.look_up(
        f"look/{call.request}",
        call.workspace,
        call.key,
        call.digest,
        until=min(call.deadline, now + LEDGER_WAIT_S),
        now=now,
    )
    return _take_step(state, step, now)


def _replay(state: EntryState, call: ServiceCall, record: Record) -> list[EntryEffect]:
    require(
        record.workspace == call.workspace and record.key == call.key,
        f"key '{call.key}' is replayed to workspace '{record.workspace}' only",
    )
    require(
        record.state is KeyState.DONE,
        f"key '{call.key}' is replayed only after its reply was recorded",
    )
    answer = GiveAnswer(
        call.request, record.status, record.content_type, record.body, replayed=True
    )
    _mark_answered(state, call)
    _forget(state, call)
    return [answer, Log(LogNumber.REQUEST_FINISHED, request=call.request)]


def _try_next(
    state: EntryState, call: ServiceCall, now: float, *, looked: bool = False
) -> list[EntryEffect]:
    if now >= call.deadline:
        return _give_up(state, call, ErrorKind.DEADLINE_EXCEEDED, now)
    upstream = None
    if len(call.tried) < state.options.max_attempts:
        upstream = _choose_upstream(state, call, now)
    if upstream is None and looked:
        return _refuse(state, call, call.last_kind, Outcome.NOT_RUN)
    if upstream is None:
        return _give_up(state, call, call.last_kind, now)
    call.upstream = upstream
    if not call.keyed:
        return _dispatch_repeatable(state, call, now)
    peer, effects = state.links.reach(upstream)
    if peer.incarnation and now - peer.heard_at <= IDENTITY_FRESH_S:
        return effects + _claim(state, call, peer, now)
    call.stage = CallStage.GREETING
    state.timers.set(TimerName(PROBE, call.request), now + GREET_S)
    if not effects:
        effects = [SendFrame(peer.link, Hello())]
    return effects


def _choose_upstream(
    state: EntryState, call: ServiceCall, now: float
) -> Upstream | None:
    pool = state.view.find_pool(call.route.pool)
    if pool is None:
        return None
    names = order_upstreams(
        state.view.find_ranking(pool.name),
        state.rng.getrandbits(64),
        call.route.urgency,
        state.links.hints,
        list_excluded(state, pool) | set(call.tried),
        now,
        most=1,
    )
    if not names:
        return None
    return state.view.find_upstream(pool.name, names[0])


def greet_calls(state: EntryState, peer: Peer, now: float) -> list[EntryEffect]:
    """Go on with the calls that waited to hear who an agent is."""
    effects: list[EntryEffect] = []
    for call in state.calls.list_greeting(peer.upstream.name):
        state.timers.clear(TimerName(PROBE, call.request))
        effects += _claim(state, call, peer, now)
    return effects


def _claim(
    state: EntryState, call: ServiceCall, peer: Peer, now: float
) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    if call.claim is not None:
        effects += _release(state, call, now)
    assert call.upstream is not None
    require(
        peer.incarnation != "",
        f"request '{call.request}' claims for an agent that is known",
    )
    call.attempt = _make_attempt(state, now)
    call.incarnation = peer.incarnation
    call.stage = CallStage.CLAIMING
    call.claimed_at = now
    call.claim = Record(
        workspace=call.workspace,
        key=call.key,
        digest=call.digest,
        attempt=call.attempt,
        agent=call.upstream.name,
        incarnation=peer.incarnation,
        at=state.ledger.tell_wall(now),
    )
    state.calls.follow(call, call.attempt)
    until = min(call.deadline, now + LEDGER_WAIT_S)
    step = state.ledger.claim(f"claim/{call.attempt}", call.claim, until, now)
    return effects + _take_step(state, step, now)


def _make_attempt(state: EntryState, now: float) -> str:
    state.calls.numbered += 1
    wall = state.ledger.tell_wall(now)
    return make_attempt(state.options.incarnation, state.calls.numbered, wall)


def _dispatch(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    assert call.claim is not None and call.upstream is not None
    require(
        call.stage is CallStage.CLAIMING and call.claim.attempt == call.attempt,
        f"attempt '{call.attempt}' is dispatched under its own claim",
    )
    peer = state.links.find(call.upstream.name)
    late = now >= min(call.deadline, call.claimed_at + LEDGER_WAIT_S)
    if late:
        return _give_up(state, call, ErrorKind.DEADLINE_EXCEEDED, now)
    if peer is None or peer.incarnation != call.incarnation:
        call.last_kind = ErrorKind.WRONG_INCARNATION
        call.tried.append(call.upstream.name)
        return _try_next(state, call, now)
    return _send_call(state, call, peer, now)


def _dispatch_repeatable(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    assert call.upstream is not None
    state.calls.leave(call.attempt)
    call.attempt = _make_attempt(state, now)
    state.calls.follow(call, call.attempt)
    peer, effects = state.links.reach(call.upstream)
    return effects + _send_call(state, call, peer, now)


def _send_call(
    state: EntryState, call: ServiceCall, peer: Peer, now: float
) -> list[EntryEffect]:
    require(
        call.attempt not in state.calls.dispatched,
        f"attempt '{call.attempt}' is dispatched once",
    )
    state.calls.dispatched.add(call.attempt)
    call.tried.append(peer.upstream.name)
    call.stage = CallStage.RUNNING
    call.link = peer.link
    call.probes = 0
    state.timers.set(TimerName(PROBE, call.request), now + PROBE_S)
    message = Call(
        attempt=call.attempt,
        request=call.request,
        workspace=call.workspace,
        pool=call.route.pool,
        urgency=call.route.urgency,
        ttl_s=call.deadline - now,
        key=call.key,
        body=call.body,
        incarnation=call.incarnation,
    )
    logged = Log(
        LogNumber.ATTEMPT_DISPATCHED,
        request=call.request,
        attempt=call.attempt,
        detail=peer.upstream.name,
    )
    return [SendFrame(peer.link, message), logged]


def take_call_message(
    state: EntryState, message: CallMessage, incarnation: str, now: float
) -> list[EntryEffect]:
    """Act on an agent's frame about an attempt; ``incarnation`` is the sender's."""
    call = state.calls.find_by_attempt(message.attempt)
    if call is None:
        return [Count(Counter.FRAMES_DROPPED, "unknown attempt")]
    call.probes = 0
    if call.stage is CallStage.SETTLING:
        return _take_foreign(state, call, message, incarnation, now)
    if call.stage is not CallStage.RUNNING:
        return [Count(Counter.FRAMES_DROPPED, "not running")]
    match message:
        case Accepted():
            state.timers.set(TimerName(PROBE, call.request), now + PROBE_S)
            return []
        case Answered():
            return _take_answer(state, call, message, now)
    kind, hint = _read_end(message)
    if _tells_not_run(message) and _is_from(call.incarnation, incarnation):
        return _take_not_run(state, call, kind, hint, now)
    return _take_unknown(state, call, now)


def _read_end(message: Refused | Failed | Settled) -> tuple[ErrorKind, float]:
    match message:
        case Refused():
            return message.kind, message.retry_after_s
        case Failed():
            return message.kind, ANSWERS[message.kind].retry_after_s
        case Settled():
            return ErrorKind.UPSTREAM_SILENT, 0.0


def _tells_not_run(message: Refused | Failed | Settled) -> bool:
    return isinstance(message, Refused) or message.outcome is Outcome.NOT_RUN


def _is_from(expected: str, incarnation: str) -> bool:
    return expected in ("", incarnation)


def _take_answer(
    state: EntryState, call: ServiceCall, message: Answered, now: float
) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    if call.claim is not None:
        effects += _record(state, call.claim, message, now)
    if not call.answered:
        effects.append(
            GiveAnswer(call.request, message.status, message.content_type, message.body)
        )
        effects.append(Log(LogNumber.REQUEST_FINISHED, request=call.request))
        _mark_answered(state, call)
    _forget(state, call)
    return effects


def _record(
    state: EntryState, claim: Record, message: Answered, now: float
) -> list[EntryEffect]:
    if len(message.body) > MAX_REPLY_BYTES:
        # The claim stays without an end: the key reads as outcome unknown.
        too_long = f"reply of {len(message.body)} bytes"
        return [Log(LogNumber.REQUEST_FAILED, attempt=message.attempt, detail=too_long)]
    reply = Record(
        workspace=claim.workspace,
        key=claim.key,
        digest=claim.digest,
        attempt=claim.attempt,
        agent=claim.agent,
        incarnation=claim.incarnation,
        at=claim.at,
        state=KeyState.DONE,
        status=message.status,
        content_type=message.content_type,
        body=message.body,
    )
    return _take_step(state, state.ledger.record(reply, now), now)


def _take_not_run(
    state: EntryState, call: ServiceCall, kind: ErrorKind, hint: float, now: float
) -> list[EntryEffect]:
    state.timers.clear(TimerName(PROBE, call.request))
    call.last_kind = kind
    call.last_retry_after_s = hint
    if call.answered:
        return _release(state, call, now) + _forget(state, call)
    if ANSWERS[kind].elsewhere:
        counted = Count(Counter.RETRIES, kind.value)
        return [counted, *_try_next(state, call, now)]
    return _give_up(state, call, kind, now)


def _take_unknown(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    state.timers.clear(TimerName(PROBE, call.request))
    if call.answered:
        return _forget(state, call)
    if call.keyed:
        refused = _refuse(
            state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN, keep=True
        )
        return refused + _linger(state, call, now)
    call.may_have_run = True
    call.last_kind = ErrorKind.UPSTREAM_FAILED
    counted = Count(Counter.RETRIES, ErrorKind.UPSTREAM_FAILED.value)
    return [counted, *_try_next(state, call, now)]


def _give_up(
    state: EntryState, call: ServiceCall, kind: ErrorKind, now: float
) -> list[EntryEffect]:
    """Refuse a call whose attempt, if it has one, was surely not run."""
    call.last_kind = kind
    if not call.keyed:
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        return _refuse(state, call, kind, outcome)
    if call.claim is None and now >= call.deadline:
        return _refuse(state, call, kind, Outcome.UNKNOWN)
    if call.claim is None:
        return _look_up(state, call, now)
    released = _release(state, call, now)
    return released + _refuse(state, call, kind, Outcome.NOT_RUN)


def _release(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    state.calls.leave(call.attempt)
    claim = call.claim
    call.claim = None
    call.attempt = ""
    if claim is None:
        return []
    return _take_step(state, state.ledger.release(claim, now), now)


def _settle_foreign(
    state: EntryState, call: ServiceCall, record: Record, now: float
) -> list[EntryEffect]:
    known = state.calls.find_by_attempt(record.attempt) is not None
    young = state.ledger.tell_wall(now) < record.at + SETTLE_AFTER_S
    if known or young:
        return _refuse(state, call, ErrorKind.KEY_IN_PROGRESS, Outcome.UNKNOWN)
    upstream = state.view.find_upstream(call.route.pool, record.agent)
    if upstream is None:
        return _refuse(state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
    call.stage = CallStage.SETTLING
    call.foreign = record
    call.upstream = upstream
    call.probes = 0
    state.calls.follow(call, record.attempt)
    peer, effects = state.links.reach(upstream)
    return effects + _probe(state, call, peer, now)


def _take_foreign(
    state: EntryState,
    call: ServiceCall,
    message: CallMessage,
    incarnation: str,
    now: float,
) -> list[EntryEffect]:
    record = call.foreign
    assert record is not None
    state.timers.clear(TimerName(PROBE, call.request))
    state.calls.leave(record.attempt)
    call.foreign = None
    match message:
        case Accepted():
            return _refuse(state, call, ErrorKind.KEY_IN_PROGRESS, Outcome.UNKNOWN)
        case Answered():
            recorded = _record(state, record, message, now)
            return recorded + _answer_foreign(state, call, message)
    if _tells_not_run(message) and _is_from(record.incarnation, incarnation):
        released = _take_step(state, state.ledger.release(record, now), now)
        return released + _try_next(state, call, now)
    return _refuse(state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)


def _answer_foreign(
    state: EntryState, call: ServiceCall, message: Answered
) -> list[EntryEffect]:
    answer = GiveAnswer(
        call.request, message.status, message.content_type, message.body, replayed=True
    )
    _mark_answered(state, call)
    _forget(state, call)
    return [answer, Log(LogNumber.REQUEST_FINISHED, request=call.request)]


def take_call_timer(
    state: EntryState, call: ServiceCall, purpose: str, now: float
) -> list[EntryEffect]:
    """Act on one of a call's timers."""
    if purpose == PROBE:
        return _probe_call(state, call, now)
    if purpose == DEADLINE:
        return _pass_deadline(state, call, now)
    return _forget(state, call)


def _probe_call(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    # A link on which an earlier probe had no answer is replaced by a new one.
    if call.stage is CallStage.GREETING:
        return _pass_over(state, call, now)
    if call.stage not in (CallStage.RUNNING, CallStage.SETTLING):
        return []
    assert call.upstream is not None
    peer, effects = state.links.reach(call.upstream)
    expected = call.incarnation if call.foreign is None else call.foreign.incarnation
    if peer.incarnation and not _is_from(expected, peer.incarnation):
        return effects + _take_replaced(state, call, now)
    if call.probes >= MAX_PROBES and call.stage is CallStage.SETTLING:
        return _refuse(state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
    if call.probes >= MAX_PROBES and not call.keyed:
        return _take_unknown(state, call, now)
    if call.probes > 0 and peer.link == call.link:
        peer, effects = state.links.renew(call.upstream)
    return effects + _probe(state, call, peer, now)


def _probe(
    state: EntryState, call: ServiceCall, peer: Peer, now: float
) -> list[EntryEffect]:
    call.probes += 1
    call.link = peer.link
    wait_s = min(MAX_PROBE_S, PROBE_S * 2 ** (call.probes - 1))
    state.timers.set(TimerName(PROBE, call.request), now + wait_s)
    if call.foreign is not None:
        asked = Settle(call.foreign.attempt, call.foreign.incarnation)
    else:
        asked = Settle(call.attempt, call.incarnation)
    return [SendFrame(peer.link, asked)]


def _pass_over(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    assert call.upstream is not None
    call.tried.append(call.upstream.name)
    counted = Count(Counter.RETRIES, ErrorKind.UPSTREAM_SILENT.value)
    _, effects = state.links.renew(call.upstream)
    return [*effects, counted, *_try_next(state, call, now)]


def _take_replaced(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    if call.stage is CallStage.SETTLING:
        return _refuse(state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
    return _take_unknown(state, call, now)


def _pass_deadline(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    if call.answered:
        return []
    if call.stage is CallStage.RUNNING:
        kind = ErrorKind.OUTCOME_UNKNOWN
        refused = _refuse(state, call, kind, Outcome.UNKNOWN, keep=True)
        return refused + _linger(state, call, now)
    return _refuse(state, call, ErrorKind.DEADLINE_EXCEEDED, Outcome.UNKNOWN)


def abandon_call(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    """Go on without the caller, who is gone."""
    if call.answered:
        return []
    _mark_answered(state, call)
    gone = Log(LogNumber.CALLER_GONE, request=call.request)
    if call.stage is CallStage.RUNNING:
        return [gone, *_linger(state, call, now)]
    return [gone, *_forget(state, call)]


def _linger(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    until = max(call.deadline, now) + LINGER_S
    state.timers.set(TimerName(FORGET, call.request), until)
    return []


def _refuse(
    state: EntryState,
    call: ServiceCall,
    kind: ErrorKind,
    outcome: Outcome,
    *,
    keep: bool = False,
) -> list[EntryEffect]:
    require(not call.answered, f"request '{call.request}' is answered once")
    require(
        outcome is Outcome.UNKNOWN or call.claim is None,
        f"request '{call.request}' is not run and holds no claim",
    )
    hint = call.last_retry_after_s
    _mark_answered(state, call)
    if not keep:
        _forget(state, call)
    return refuse_request(call.request, kind, outcome, retry_after_s=hint)


def _mark_answered(state: EntryState, call: ServiceCall) -> None:
    call.answered = True
    state.open_requests.remove(call.workspace, call.route.name)


def _forget(state: EntryState, call: ServiceCall) -> list[EntryEffect]:
    for purpose in (DEADLINE, PROBE, FORGET):
        state.timers.clear(TimerName(purpose, call.request))
    state.calls.remove(call)
    return []
