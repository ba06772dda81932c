"""Completions at an entry: attempts, token streams, resumption and the end."""

from returns.result import Failure

from masticdrum.core.candidates import choose_upstream
from masticdrum.core.completion import Attempt, Completion
from masticdrum.core.completionmetrics import count_blocks, observe_wait
from masticdrum.core.digests import fingerprint_text
from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.invariants import require
from masticdrum.core.refusals import refuse_request
from masticdrum.core.requestchecks import check_completion
from masticdrum.model.entry_events import (
    CompletionRequested,
    EntryEffect,
    SendEnd,
    SendFrame,
    SendTokens,
)
from masticdrum.model.errors import ANSWERS, ErrorKind, Outcome
from masticdrum.model.messages import (
    Accepted,
    Cancel,
    Dispatch,
    Failed,
    Finished,
    Received,
    Refused,
    Resume,
    Tokens,
)
from masticdrum.model.tables import Upstream
from masticdrum.model.telemetry import (
    Count,
    Counter,
    Log,
    LogNumber,
)

DEADLINE = "completion deadline"
SILENCE = "completion silence"
RETRY = "completion retry"
MOVED_RETRY_S = 1.0
MAX_CRASHES = 2  # attempts broken off by an upstream after which a request fails
GAP_RETRY_S = 0.2


def begin_completion(
    state: EntryState, event: CompletionRequested, now: float
) -> list[EntryEffect]:
    """Start a caller's completion, or refuse it."""
    checked = check_completion(state, event)
    if isinstance(checked, Failure):
        return refuse_request(event.request, checked.failure(), Outcome.NOT_RUN)
    route = checked.unwrap()
    completion = Completion(
        request=event.request,
        workspace=event.workspace,
        route=route,
        prompt=event.prompt,
        max_tokens=min(event.max_tokens, route.max_tokens),
        arrived_at=now,
        deadline=now + route.deadline_s,
        fingerprint=fingerprint_text(event.workspace, route.name, event.prompt),
    )
    state.completions[event.request] = completion
    state.open_requests.add(event.workspace, route.name)
    state.timers.set(TimerName(DEADLINE, event.request), completion.deadline)
    state.retries.record_first_try(len(state.completions))
    counted = Count(Counter.REQUESTS, route.urgency.value)
    return [counted, *try_next(state, completion, now)]


def abandon_completion(
    state: EntryState, completion: Completion, now: float
) -> list[EntryEffect]:
    """End a completion whose caller has disconnected."""
    effects = _cancel_attempt(state, completion)
    _remove_completion(state, completion)
    effects.append(Log(LogNumber.CALLER_GONE, request=completion.request))
    effects.append(Count(Counter.REFUSALS, ErrorKind.CALLER_GONE.value))
    return effects


def expire_completion(
    state: EntryState, completion: Completion, now: float
) -> list[EntryEffect]:
    """End a completion whose deadline has passed."""
    effects = _cancel_attempt(state, completion)
    return effects + _fail(state, completion, ErrorKind.DEADLINE_EXCEEDED)


def end_completion_at_shutdown(
    state: EntryState, completion: Completion, now: float
) -> list[EntryEffect]:
    """End a completion that outlasts this entry's shutdown, with an explicit error."""
    effects = _cancel_attempt(state, completion)
    return effects + _fail(state, completion, ErrorKind.SHUTTING_DOWN)


def handle_accepted(
    state: EntryState, completion: Completion, message: Accepted, now: float
) -> list[EntryEffect]:
    """Record that the attempt was accepted."""
    attempt = _record_activity(completion, now)
    attempt.accepted = True
    return []


def handle_tokens(
    state: EntryState, completion: Completion, message: Tokens, now: float
) -> list[EntryEffect]:
    """Send the caller the tokens that come next, each once and in order."""
    attempt = _record_activity(completion, now)
    expected = len(completion.delivered)
    if message.first > expected:
        return _request_missing_tokens(state, completion, attempt, now)
    fresh = message.tokens[expected - message.first :]
    if not fresh:
        return [Count(Counter.FRAMES_DROPPED, "duplicate")]
    effects: list[EntryEffect] = [observe_wait(completion, now)]
    if expected == 0:
        completion.version = message.version
    completion.token_at = now
    require(
        completion.version == message.version,
        f"request '{completion.request}' is served by one weight version",
    )
    completion.delivered.extend(fresh)
    attempt.digest.add(fresh)
    effects.append(SendTokens(completion.request, tuple(fresh)))
    if len(completion.delivered) - attempt.acked >= state.options.ack_every:
        effects += _acknowledge(state, completion, attempt, now)
    return effects


def handle_finished(
    state: EntryState, completion: Completion, message: Finished, now: float
) -> list[EntryEffect]:
    """End the answer if every token has arrived; otherwise request the missing ones."""
    attempt = _record_activity(completion, now)
    count = len(completion.delivered)
    if message.count > count:
        return _request_missing_tokens(state, completion, attempt, now)
    if message.count < count or message.digest != attempt.digest.read():
        return _fail(state, completion, ErrorKind.UPSTREAM_FAILED)
    require(
        attempt.base <= count,
        f"request '{completion.request}' has all tokens at its end",
    )
    effects = _acknowledge(state, completion, attempt, now)
    _remove_completion(state, completion)
    effects.append(SendEnd(completion.request, count, message.reason, message.usage))
    effects += count_blocks(message.usage)
    effects.append(
        Log(
            LogNumber.REQUEST_FINISHED,
            request=completion.request,
            attempt=attempt.id,
            detail=f"{count} tokens from {attempt.upstream}",
        )
    )
    return effects


def handle_refused(
    state: EntryState, completion: Completion, message: Refused, now: float
) -> list[EntryEffect]:
    """Try another upstream if that can help, or pass the refusal on."""
    completion.last_kind = message.kind
    completion.last_retry_after_s = message.retry_after_s
    _end_attempt(state, completion, may_have_run=False)
    if not ANSWERS[message.kind].retry_elsewhere:
        return _fail(state, completion, message.kind)
    return _retry(state, completion, message.kind, now, refused=True)


def handle_failed(
    state: EntryState, completion: Completion, message: Failed, now: float
) -> list[EntryEffect]:
    """Continue at another upstream after the tokens already delivered."""
    completion.last_kind = message.kind
    completion.moved |= message.kind is ErrorKind.SHUTTING_DOWN
    may_have_run = message.outcome is not Outcome.NOT_RUN
    _end_attempt(state, completion, may_have_run=may_have_run)
    completion.crashes += message.broken
    if not ANSWERS[message.kind].retry_elsewhere or completion.crashes >= MAX_CRASHES:
        return _fail(state, completion, message.kind)
    return _retry(state, completion, message.kind, now)


def check_silence(
    state: EntryState, completion: Completion, now: float
) -> list[EntryEffect]:
    """Resume a silent attempt over a new connection, or retry at another upstream."""
    attempt = completion.attempt
    if attempt is None:
        return []
    quiet_until = attempt.heard_at + state.options.silence_s
    effects: list[EntryEffect] = []
    if now < quiet_until:
        if now - attempt.acked_at >= state.options.ack_after_s:
            effects += _acknowledge(state, completion, attempt, now)
        _set_silence_timer(state, completion, quiet_until)
        return effects
    if attempt.resumes >= state.options.max_resumes:
        completion.last_kind = ErrorKind.UPSTREAM_SILENT
        effects += _cancel_attempt(state, completion)
        _end_attempt(state, completion, may_have_run=True)
        return effects + _retry(state, completion, ErrorKind.UPSTREAM_SILENT, now)
    _set_silence_timer(state, completion, now + state.options.silence_s)
    return resume_over_new_link(state, attempt.upstream, now)


def resume_over_new_link(
    state: EntryState, upstream: str, now: float
) -> list[EntryEffect]:
    """Open a new connection to an upstream's agent and resume its attempts there."""
    peer = state.links.find(upstream)
    if peer is None:
        return []
    fresh, opened = state.links.reopen(peer.upstream)
    effects = list(opened)
    for completion in list(state.completions.values()):
        attempt = completion.attempt
        if attempt is None or attempt.upstream != upstream:
            continue
        attempt.resumes += 1
        resume = Resume(attempt.id, len(completion.delivered))
        effects.append(SendFrame(fresh.link, resume))
        effects.append(Count(Counter.RETRIES, "resumed"))
        effects.append(
            Log(
                LogNumber.ATTEMPT_RESUMED,
                request=completion.request,
                attempt=attempt.id,
                detail=upstream,
            )
        )
    return effects


def _record_activity(completion: Completion, now: float) -> Attempt:
    attempt = completion.attempt
    assert attempt is not None
    attempt.heard_at = now
    attempt.resumes = 0
    return attempt


def _request_missing_tokens(
    state: EntryState, completion: Completion, attempt: Attempt, now: float
) -> list[EntryEffect]:
    if now < attempt.gap_requested_at + GAP_RETRY_S:
        return [Count(Counter.FRAMES_DROPPED, "after a gap")]
    attempt.gap_requested_at = now
    resume = Resume(attempt.id, len(completion.delivered))
    return [
        Count(Counter.FRAMES_DROPPED, "after a gap"),
        *_send(state, attempt.upstream, resume),
    ]


def _acknowledge(
    state: EntryState, completion: Completion, attempt: Attempt, now: float
) -> list[EntryEffect]:
    attempt.acked = len(completion.delivered)
    attempt.acked_at = now
    return _send(state, attempt.upstream, Received(attempt.id, attempt.acked))


def _send(
    state: EntryState, upstream: str, message: Received | Resume | Cancel
) -> list[EntryEffect]:
    peer = state.links.find(upstream)
    if peer is None:
        return []
    return [SendFrame(peer.link, message)]


def try_next(
    state: EntryState, completion: Completion, now: float
) -> list[EntryEffect]:
    """Send the completion to the best untried upstream, or end it."""
    if len(completion.tried) >= state.options.max_attempts:
        return _fail_unless_moved(state, completion, completion.last_kind, now)
    upstream = choose_upstream(state, completion, now)
    if upstream is None:
        return _fail_unless_moved(state, completion, completion.last_kind, now)
    return _dispatch(state, completion, upstream, now)


def _dispatch(
    state: EntryState, completion: Completion, upstream: Upstream, now: float
) -> list[EntryEffect]:
    peer, effects = state.links.ensure_open(upstream)
    base = len(completion.delivered)
    attempt = Attempt(state.make_attempt_id(), upstream.name, base, now, acked=base)
    attempt.acked_at = now
    completion.attempt = attempt
    completion.tried.append(upstream.name)
    state.by_attempt[attempt.id] = completion.request
    _set_silence_timer(state, completion, now + state.options.silence_s)
    message = Dispatch(
        attempt=attempt.id,
        request=completion.request,
        workspace=completion.workspace,
        pool=completion.route.pool,
        urgency=completion.route.urgency,
        ttl_s=completion.deadline - now,
        prompt=completion.prompt,
        max_tokens=completion.max_tokens,
        delivered=list(completion.delivered),
        version=completion.version if base else "",
        fingerprint=completion.fingerprint,
        crashes=completion.crashes,
    )
    logged = Log(
        LogNumber.ATTEMPT_DISPATCHED,
        request=completion.request,
        attempt=attempt.id,
        detail=upstream.name,
    )
    return [*effects, SendFrame(peer.link, message), logged]


def _retry(
    state: EntryState,
    completion: Completion,
    kind: ErrorKind,
    now: float,
    *,
    refused: bool = False,
) -> list[EntryEffect]:
    tries = len(completion.tried)
    if tries >= state.options.max_attempts:
        return _fail_unless_moved(state, completion, completion.last_kind, now)
    if completion.moved:
        return [Count(Counter.RETRIES, kind.value), *try_next(state, completion, now)]
    at = state.retries.plan_retry(tries, refused, now, completion.deadline)
    if at is None:
        return _fail(state, completion, ErrorKind.RETRY_BUDGET_SPENT)
    counted = Count(Counter.RETRIES, kind.value)
    if at > now:
        state.timers.set(TimerName(RETRY, completion.request), at)
        return [counted]
    return [counted, *try_next(state, completion, now)]


def _fail_unless_moved(
    state: EntryState, completion: Completion, kind: ErrorKind, now: float
) -> list[EntryEffect]:
    # A stream that its agent's shutdown moved waits while other upstreams are full.
    if not completion.moved or now + MOVED_RETRY_S >= completion.deadline:
        return _fail(state, completion, kind)
    completion.tried.clear()
    state.timers.set(TimerName(RETRY, completion.request), now + MOVED_RETRY_S)
    return [Count(Counter.RETRIES, "moved")]


def _fail(
    state: EntryState, completion: Completion, kind: ErrorKind
) -> list[EntryEffect]:
    retry_after_s = completion.last_retry_after_s
    _remove_completion(state, completion)
    outcome = Outcome.UNKNOWN if completion.may_have_run else Outcome.NOT_RUN
    return refuse_request(
        completion.request, kind, outcome, retry_after_s=retry_after_s
    )


def _cancel_attempt(state: EntryState, completion: Completion) -> list[EntryEffect]:
    attempt = completion.attempt
    if attempt is None:
        return []
    return _send(state, attempt.upstream, Cancel(attempt.id))


def _end_attempt(
    state: EntryState, completion: Completion, *, may_have_run: bool
) -> None:
    if completion.attempt is None:
        return
    completion.may_have_run |= may_have_run
    state.by_attempt.pop(completion.attempt.id, None)
    state.timers.clear(TimerName(SILENCE, completion.request))
    completion.attempt = None


def _remove_completion(state: EntryState, completion: Completion) -> None:
    _end_attempt(state, completion, may_have_run=True)
    state.timers.clear(TimerName(DEADLINE, completion.request))
    state.timers.clear(TimerName(RETRY, completion.request))
    del state.completions[completion.request]
    state.open_requests.remove(completion.workspace, completion.route.name)


def _set_silence_timer(state: EntryState, completion: Completion, at: float) -> None:
    state.timers.set(TimerName(SILENCE, completion.request), at)
