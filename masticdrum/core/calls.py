"""Plain service calls at an entry: claim, dispatch, recorded reply, answer.

A non-idempotent call is dispatched only under its own claim in the ledger, once, by the
process that made the claim. "Not run" is reported for its key in two cases only: the
ledger was read after the request arrived and shows that nothing ran under the key, or
the request holds its own claim and its attempt certainly did not run.
"""

from returns.result import Failure

from masticdrum.core.callends import (
    DEADLINE,
    PROBE,
    refuse_call,
    replay_reply,
)
from masticdrum.core.candidates import select_from_pool
from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.forwarding import (
    END_WAIT_S,
    PEER,
    answer_commit,
    commit_unanswered,
    forward_commit,
    resolve_forwarded,
    select_writer,
    serve_commit,
)
from masticdrum.core.invariants import require
from masticdrum.core.links import Peer
from masticdrum.core.partitionstep import Step, Verdict, make_release
from masticdrum.core.refusals import refuse_request
from masticdrum.core.requestchecks import check_call
from masticdrum.core.segments import digest_request
from masticdrum.core.servicecall import CallStage, ServiceCall
from masticdrum.core.timestamps import make_attempt, read_key_time
from masticdrum.model.entry_events import (
    CallRequested,
    EntryEffect,
    SendFrame,
)
from masticdrum.model.errors import ErrorKind, Outcome
from masticdrum.model.ledger import Decision, KeyState, Record
from masticdrum.model.messages import (
    Call,
    Commit,
    Committed,
    Hello,
    Settle,
)
from masticdrum.model.platform import ObjectAnswer
from masticdrum.model.tables import Upstream
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber

LEDGER = "ledger"

MAX_IDENTITY_AGE_S = 1.0
IDENTITY_WAIT_S = 0.5
LEDGER_WAIT_S = 2.0
PROBE_S = 1.0
MAX_PROBE_S = 8.0
RESOLVE_AFTER_S = 10.0


def begin_call(
    state: EntryState, event: CallRequested, now: float
) -> list[EntryEffect]:
    """Start a caller's call, replay its recorded reply, or refuse it."""
    checked = check_call(state, event)
    if isinstance(checked, Failure):
        # An earlier request may have run under the key; the ledger was not read.
        outcome = Outcome.UNKNOWN if event.key else Outcome.NOT_RUN
        return refuse_request(event.request, checked.failure(), outcome)
    route = checked.unwrap()
    call = ServiceCall(
        request=event.request,
        workspace=event.workspace,
        route=route,
        key=event.key,
        body=event.body,
        digest=digest_request(route.name, event.body),
        at_most_once=not route.idempotent,
        arrived_at=now,
        deadline=now + route.deadline_s,
    )
    refusal = _find_key_refusal(state, call, now)
    if refusal is not None:
        return refuse_request(event.request, refusal, Outcome.UNKNOWN)
    state.calls.add(call)
    state.open_requests.add(call.workspace, route.name)
    state.retries.record_first_try(len(state.calls.by_request))
    state.timers.set(TimerName(DEADLINE, call.request), call.deadline)
    counted = Count(Counter.REQUESTS, route.urgency.value)
    known = state.ledger.find(call.workspace, call.key) if call.at_most_once else None
    if known is not None and known.state is not KeyState.RELEASED:
        return [counted, *_look_up_key(state, call, now)]
    return [counted, *try_next(state, call, now)]


def _find_key_refusal(
    state: EntryState, call: ServiceCall, now: float
) -> ErrorKind | None:
    if not call.at_most_once:
        return None
    made_at = read_key_time(call.key)
    wall = state.ledger.compute_wall_time(now)
    if made_at is not None and made_at + state.ledger.retention_s < wall:
        return ErrorKind.KEY_EXPIRED
    other = state.calls.find_by_key(call.workspace, call.key)
    if other is None:
        return None
    if other.digest != call.digest:
        return ErrorKind.KEY_CONFLICT
    return ErrorKind.KEY_IN_PROGRESS


def handle_object_answer(
    state: EntryState, answer: ObjectAnswer, now: float
) -> list[EntryEffect]:
    """Pass an object call's answer to the ledger and handle its verdicts."""
    return apply_step(state, state.ledger.handle_call_answer(answer, now), now)


def advance_ledger(state: EntryState, now: float) -> list[EntryEffect]:
    """Handle the ledger's due timers."""
    return apply_step(state, state.ledger.advance(now), now)


def apply_step(state: EntryState, step: Step, now: float) -> list[EntryEffect]:
    """Make the ledger's object calls and handle its verdicts."""
    effects: list[EntryEffect] = list(step.calls)
    effects += [Count(Counter.PLATFORM_CALLS, "ledger") for _ in step.calls]
    for verdict in step.verdicts:
        effects += _handle_verdict(state, verdict, now)
    at = state.ledger.find_next()
    if at is not None:
        state.timers.set(TimerName(LEDGER, ""), at)
    return effects


def _handle_verdict(
    state: EntryState, verdict: Verdict, now: float
) -> list[EntryEffect]:
    purpose, _, ticket = verdict.ticket.partition("/")
    if purpose == PEER:
        return answer_commit(state, verdict)
    if purpose == "claim":
        return _handle_claim_verdict(state, ticket, verdict, now)
    call = state.calls.find(ticket)
    if call is None:
        return []
    if purpose == "look" and call.stage is CallStage.LOOKING_UP:
        return _handle_lookup_verdict(state, call, verdict, now)
    return []


def _handle_claim_verdict(
    state: EntryState, attempt: str, verdict: Verdict, now: float
) -> list[EntryEffect]:
    call = state.calls.find_by_attempt(attempt)
    granted = verdict.decision is Decision.GRANTED
    if call is None or call.attempt != attempt:
        if not granted or verdict.record is None:
            return []
        return commit_outcome(state, make_release(verdict.record), now)
    if granted:
        return _dispatch(state, call, now)
    state.calls.untrack(attempt)
    call.attempt = ""
    call.claim = None
    if verdict.decision is Decision.OVERTAKEN:
        return try_next(state, call, now)
    return _handle_lookup_verdict(state, call, verdict, now)


def _handle_lookup_verdict(
    state: EntryState, call: ServiceCall, verdict: Verdict, now: float
) -> list[EntryEffect]:
    record = verdict.record
    match verdict.decision:
        case Decision.REPLAY if record is not None:
            return replay_reply(state, call, record)
        case Decision.BUSY if record is not None:
            return _resolve_other_claim(state, call, record, now)
        case Decision.CONFLICT:
            return refuse_call(state, call, ErrorKind.KEY_CONFLICT, Outcome.UNKNOWN)
        case Decision.ABSENT if call.last_kind is ErrorKind.NO_UPSTREAM:
            if not call.tried:
                return try_next(state, call, now, known_not_run=True)
            return refuse_call(state, call, call.last_kind, Outcome.NOT_RUN)
        case Decision.ABSENT:
            return refuse_call(state, call, call.last_kind, Outcome.NOT_RUN)
        case _:
            outcome = Outcome.NOT_RUN if verdict.unclaimed else Outcome.UNKNOWN
            return refuse_call(state, call, ErrorKind.LEDGER_UNAVAILABLE, outcome)


def _look_up_key(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    call.stage = CallStage.LOOKING_UP
    step = state.ledger.look_up(
        f"look/{call.request}",
        call.workspace,
        call.key,
        call.digest,
        until=min(call.deadline, now + LEDGER_WAIT_S),
        now=now,
    )
    return apply_step(state, step, now)


def try_next(
    state: EntryState, call: ServiceCall, now: float, *, known_not_run: bool = False
) -> list[EntryEffect]:
    """Send a call to the next upstream.

    ``known_not_run`` means that the ledger shows that nothing ran under its key.
    """
    if now >= call.deadline:
        return end_unfinished_call(state, call, ErrorKind.DEADLINE_EXCEEDED, now)
    upstream = None
    if len(call.tried) < state.options.max_attempts:
        upstream = _choose_upstream(state, call, now)
    if upstream is None and known_not_run:
        return refuse_call(state, call, call.last_kind, Outcome.NOT_RUN)
    if upstream is None:
        return end_unfinished_call(state, call, call.last_kind, now)
    call.upstream = upstream
    if not call.at_most_once:
        return _dispatch_idempotent(state, call, now)
    peer, effects = state.links.ensure_open(upstream)
    if peer.incarnation and now - peer.heard_at <= MAX_IDENTITY_AGE_S:
        return effects + _claim(state, call, peer, now)
    call.stage = CallStage.IDENTIFYING
    state.timers.set(TimerName(PROBE, call.request), now + IDENTITY_WAIT_S)
    if not effects:
        effects = [SendFrame(peer.link, Hello())]
    return effects


def _choose_upstream(
    state: EntryState, call: ServiceCall, now: float
) -> Upstream | None:
    pool = state.view.find_pool(call.route.pool)
    if pool is None:
        return None
    key = state.rng.getrandbits(64)
    return select_from_pool(state, pool, key, call.route.urgency, call.tried, now)


def claim_for_waiting_calls(
    state: EntryState, peer: Peer, now: float
) -> list[EntryEffect]:
    """Claim for the calls that waited for an agent's identity."""
    effects: list[EntryEffect] = []
    for call in state.calls.list_awaiting_identity(peer.upstream.name):
        state.timers.clear(TimerName(PROBE, call.request))
        effects += _claim(state, call, peer, now)
    return effects


def _claim(
    state: EntryState, call: ServiceCall, peer: Peer, now: float
) -> list[EntryEffect]:
    before = None if call.claim is None else make_release(call.claim)
    state.calls.untrack(call.attempt)
    assert call.upstream is not None
    require(
        peer.incarnation != "",
        f"request '{call.request}' claims for an agent whose incarnation is known",
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
        at=state.ledger.compute_wall_time(now),
    )
    state.calls.track(call, call.attempt)
    until = min(call.deadline, now + LEDGER_WAIT_S)
    return _commit_claim(state, call.claim, before, until, now)


def _commit_claim(
    state: EntryState, claim: Record, before: Record | None, until: float, now: float
) -> list[EntryEffect]:
    ticket = f"claim/{claim.attempt}"
    writer = select_writer(state, claim, now)
    if writer is not None:
        return forward_commit(state, ticket, claim, writer, until, now, before)
    effects: list[EntryEffect] = []
    if before is not None:
        effects += apply_step(state, state.ledger.record("", before, now), now)
    return effects + apply_step(
        state, state.ledger.claim(ticket, claim, until, now), now
    )


def commit_outcome(state: EntryState, end: Record, now: float) -> list[EntryEffect]:
    """Commit a reply or a release to the ledger; no caller waits for it."""
    writer = select_writer(state, end, now)
    if writer is None:
        return apply_step(state, state.ledger.record("", end, now), now)
    ticket = f"end/{end.attempt}"
    return forward_commit(state, ticket, end, writer, now + END_WAIT_S, now)


def handle_commit(
    state: EntryState, link: str, message: Commit | Committed, now: float
) -> list[EntryEffect]:
    """Commit a record for another entry, or handle another entry's answer."""
    if isinstance(message, Commit):
        return apply_step(state, serve_commit(state, link, message, now), now)
    verdict = resolve_forwarded(state, message)
    if verdict is None:
        return []
    return _handle_verdict(state, verdict, now)


def handle_commit_timeout(
    state: EntryState, ticket: str, now: float
) -> list[EntryEffect]:
    """Commit a forwarded record here, since no verdict came in time."""
    return apply_step(state, commit_unanswered(state, ticket, now), now)


def _make_attempt(state: EntryState, now: float) -> str:
    state.calls.attempt_count += 1
    wall = state.ledger.compute_wall_time(now)
    return make_attempt(state.options.incarnation, state.calls.attempt_count, wall)


def _dispatch(state: EntryState, call: ServiceCall, now: float) -> list[EntryEffect]:
    assert call.claim is not None and call.upstream is not None
    require(
        call.stage is CallStage.CLAIMING and call.claim.attempt == call.attempt,
        f"attempt '{call.attempt}' is dispatched under its own claim",
    )
    peer = state.links.find(call.upstream.name)
    late = now >= min(call.deadline, call.claimed_at + LEDGER_WAIT_S)
    if late:
        return end_unfinished_call(state, call, ErrorKind.DEADLINE_EXCEEDED, now)
    if peer is None or peer.incarnation != call.incarnation:
        call.last_kind = ErrorKind.WRONG_INCARNATION
        call.tried.append(call.upstream.name)
        return try_next(state, call, now)
    return _send_call(state, call, peer, now)


def _dispatch_idempotent(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    assert call.upstream is not None
    state.calls.untrack(call.attempt)
    call.attempt = _make_attempt(state, now)
    state.calls.track(call, call.attempt)
    peer, effects = state.links.ensure_open(call.upstream)
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


def end_unfinished_call(
    state: EntryState, call: ServiceCall, kind: ErrorKind, now: float
) -> list[EntryEffect]:
    """Refuse a call; the attempt of a non-idempotent one certainly did not run."""
    call.last_kind = kind
    if not call.at_most_once:
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        return refuse_call(state, call, kind, outcome)
    if call.claim is None and now >= call.deadline:
        return refuse_call(state, call, kind, Outcome.UNKNOWN)
    if call.claim is None:
        return _look_up_key(state, call, now)
    released = release_claim(state, call, now)
    return released + refuse_call(state, call, kind, Outcome.NOT_RUN)


def release_claim(
    state: EntryState, call: ServiceCall, now: float
) -> list[EntryEffect]:
    """Release a call's claim, since its attempt did not run and never will."""
    state.calls.untrack(call.attempt)
    claim = call.claim
    call.claim = None
    call.attempt = ""
    if claim is None:
        return []
    return commit_outcome(state, make_release(claim), now)


def _resolve_other_claim(
    state: EntryState, call: ServiceCall, record: Record, now: float
) -> list[EntryEffect]:
    is_open_here = state.calls.find_by_attempt(record.attempt) is not None
    is_recent = state.ledger.compute_wall_time(now) < record.at + RESOLVE_AFTER_S
    if is_open_here or is_recent:
        return refuse_call(state, call, ErrorKind.KEY_IN_PROGRESS, Outcome.UNKNOWN)
    upstream = state.view.find_upstream(call.route.pool, record.agent)
    if upstream is None:
        return refuse_call(state, call, ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
    call.stage = CallStage.RESOLVING
    call.other_claim = record
    call.upstream = upstream
    call.probes = 0
    state.calls.track(call, record.attempt)
    peer, effects = state.links.ensure_open(upstream)
    return effects + send_probe(state, call, peer, now)


def send_probe(
    state: EntryState, call: ServiceCall, peer: Peer, now: float
) -> list[EntryEffect]:
    """Query an agent about the outcome of the attempt that a call waits for."""
    call.probes += 1
    call.link = peer.link
    wait_s = min(MAX_PROBE_S, PROBE_S * 2 ** (call.probes - 1))
    state.timers.set(TimerName(PROBE, call.request), now + wait_s)
    if call.other_claim is not None:
        query = Settle(call.other_claim.attempt, call.other_claim.incarnation)
    else:
        query = Settle(call.attempt, call.incarnation)
    return [SendFrame(peer.link, query)]
