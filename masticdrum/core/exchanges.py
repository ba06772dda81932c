"""Forwards one caller's request: where it is sent, when it is retried, how it ends.

An exchange has at most one live attempt. A request that may not be retried is sent
again only after proof that it did not run. A caller is told "not run" only with such
proof.
"""

from msgspec.structs import replace

from masticdrum.core.attemptends import END_RULES
from masticdrum.core.attemptlog import log_end, log_start
from masticdrum.core.attemptstart import describe_attempt
from masticdrum.core.candidatelist import is_cold, list_candidates
from masticdrum.core.clusterstate import apply_leaving
from masticdrum.core.crashes import list_keys, record_end
from masticdrum.core.exchangeclose import (
    DEADLINE,
    MIN_RETRY_AFTER_S,
    SCOPE,
    WEIGHTS,
    close_exchange,
    deliver_answer,
    draw_retry_after,
    fail_exchange,
)
from masticdrum.core.exchangestate import Attempt, Exchange, ExchangeState
from masticdrum.core.invariants import require
from masticdrum.core.resumption import (
    Resumption,
    begin_resumption,
    continue_search,
    handle_reply,
    record_origin,
    use_record,
)
from masticdrum.core.rolloutevidence import (
    record_attempt_end,
    record_first_event,
    record_stop,
)
from masticdrum.core.rolloutsplit import record_start
from masticdrum.core.scopechoice import choose_cache_scope
from masticdrum.core.upstreamchoice import choose_upstream, estimate_work
from masticdrum.core.upstreamnotices import (
    record_notices,
    record_outcome,
    update_weights,
)
from masticdrum.core.weightsbound import set_timer
from masticdrum.model.directory import ForwardRoute, ForwardWorkspace
from masticdrum.model.errors import ANSWERS, ErrorKind
from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    BeginStream,
    ExchangeEffect,
    Execution,
    ForwardDisconnected,
    ForwardEvents,
    ForwardRequested,
    Refuse,
    StopAttempt,
    StreamBegun,
    StreamEventsReceived,
)
from masticdrum.model.origins import OriginReply
from masticdrum.model.telemetry import (
    Count,
    Counter,
    Histogram,
    Log,
    LogNumber,
    Observe,
)

MAX_REJECTIONS = 3  # attempts of one request that upstreams proved not to have run
MIN_LEFT_S = 0.02  # an attempt with less time left could not be answered in time


def start_exchange(
    state: ExchangeState, event: ForwardRequested, now: float
) -> list[ExchangeEffect]:
    """Route a caller's request and check its key, then send or refuse it."""
    index = state.cluster_state.index
    if index is None:
        return _refuse_request(state, event, ErrorKind.TABLES_MISSING, now)
    leased = state.cluster_state.is_leased(now)
    route = index.find_route(event.host, event.path)
    if route is None:
        kind = ErrorKind.ROUTE_UNKNOWN if leased else ErrorKind.TABLES_STALE
        return _refuse_request(state, event, kind, now)
    workspace = index.find_workspace(event.key) if event.key and leased else None
    if index.directory.keyed and not route.public and workspace is None:
        kind = ErrorKind.UNAUTHENTICATED if leased else ErrorKind.TABLES_STALE
        return _refuse_request(state, event, kind, now)
    exchange = _make_exchange(state, event, route, workspace)
    if state.stop is not None:
        expected_s = state.stream_durations.estimate(route.name)
        if not state.stop.may_forward(exchange.deadline, expected_s, now):
            return _refuse_request(state, event, ErrorKind.SHUTTING_DOWN, now)
    state.exchanges[exchange.handle] = exchange
    state.timers.set((DEADLINE, exchange.handle), exchange.deadline)
    state.get_retry_window(exchange.service).record_request(now)
    counted = Count(Counter.EXCHANGES, route.kind.value)
    quarantine_s = state.suspicion.compute_quarantine(exchange.keys, now)
    if quarantine_s > 0:
        kind = ErrorKind.CRASH_SUSPECT
        return [counted, *fail_exchange(state, exchange, kind, now, quarantine_s)]
    verdict, effects = begin_resumption(state, exchange, now)
    return [counted, *effects, *_proceed(state, exchange, verdict, now)]


def use_origin_reply(
    state: ExchangeState, reply: OriginReply, now: float
) -> list[ExchangeEffect]:
    """Go on with a request whose stream's origin an agent was queried for."""
    exchange = state.exchanges.get(reply.handle)
    if exchange is None:
        return []
    verdict, effects = handle_reply(state, exchange, reply, now)
    return [*effects, *_proceed(state, exchange, verdict, now)]


def end_origin_search(
    state: ExchangeState, handle: int, now: float
) -> list[ExchangeEffect]:
    """Go on with a request as the time of its search passes."""
    exchange = state.exchanges.get(handle)
    if exchange is None:
        return []
    verdict, effects = continue_search(state, exchange, now)
    return [*effects, *_proceed(state, exchange, verdict, now)]


def use_software_record(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    """Go on with the requests that wait for a read of the record."""
    effects: list[ExchangeEffect] = []
    for handle in sorted(state.awaiting_record):
        exchange = state.exchanges[handle]
        verdict, logs = use_record(state, exchange, now)
        effects += [*logs, *_proceed(state, exchange, verdict, now)]
    return effects


def _proceed(
    state: ExchangeState, exchange: Exchange, verdict: Resumption, now: float
) -> list[ExchangeEffect]:
    match verdict:
        case Resumption.SEARCHING:
            return []
        case Resumption.REFUSED:
            return fail_exchange(state, exchange, ErrorKind.ORIGIN_UNKNOWN, now)
        case Resumption.ALLOWED:
            return _admit(state, exchange, now)


def _admit(
    state: ExchangeState, exchange: Exchange, now: float
) -> list[ExchangeEffect]:
    """Send a request, unless it has to be shed."""
    if exchange.prompt is not None:
        if _must_shed(state, exchange, now):
            exchange.spare_only = True
            if not list_candidates(state, exchange, now):
                return fail_exchange(state, exchange, ErrorKind.SATURATED, now)
        urgency = exchange.urgency
        state.saturation.begin(exchange.service, urgency, exchange.handle, now)
    return _send(state, exchange, now)


def _must_shed(state: ExchangeState, exchange: Exchange, now: float) -> bool:
    service, urgency = exchange.service, exchange.urgency
    exchange.expected_s = state.saturation.estimate(service, urgency, now)
    target_s = exchange.route.target_s
    if exchange.last_event is not None:
        # Its first event was in time or not; what counts is that it goes on at all.
        target_s = max(target_s, exchange.deadline - now)
    return state.saturation.is_refused(
        service, urgency, exchange.expected_s, target_s, now
    )


def _make_exchange(
    state: ExchangeState,
    event: ForwardRequested,
    route: ForwardRoute,
    workspace: ForwardWorkspace | None,
) -> Exchange:
    weights = [backend.weight for backend in route.backends]
    backend = state.random.choices(route.backends, weights)[0]
    limit_s = route.timeout_s
    if event.deadline_s is not None:
        limit_s = min(limit_s, event.deadline_s)
    exchange = Exchange(
        event.handle,
        event.request,
        route,
        backend.service,
        workspace,
        event.arrived,
        event.arrived + limit_s,
    )
    exchange.prompt = event.prompt
    exchange.work = estimate_work(event.prompt)
    exchange.last_event = event.last_event
    exchange.resumes = event.resumes
    exchange.keys = list_keys(event)
    return exchange


def _refuse_request(
    state: ExchangeState, event: ForwardRequested, kind: ErrorKind, now: float
) -> list[ExchangeEffect]:
    status = ANSWERS[kind].status
    wait_s = 0.0
    if status == 503:
        left_s = event.deadline_s if event.deadline_s is not None else 1.0
        wait_s = draw_retry_after(state, kind, left_s)
        if kind is ErrorKind.SHUTTING_DOWN:
            wait_s = MIN_RETRY_AFTER_S  # the caller's next connection is another's
    log = Log(
        LogNumber.EXCHANGE_REFUSED,
        request=event.request,
        detail=kind.value,
        facts={
            "status": status,
            "host": event.host,
            "path": event.path,
            "version": state.cluster_state.version,
            "lease_s": round(state.cluster_state.lease.until - now, 3),
        },
    )
    refuse = Refuse(event.handle, kind, status, wait_s)
    return [refuse, log, Count(Counter.REFUSALS, kind.value)]


def _send(state: ExchangeState, exchange: Exchange, now: float) -> list[ExchangeEffect]:
    """Send an exchange to the best upstream, or end it."""
    require(exchange.attempt is None, "an exchange has at most one live attempt")
    if exchange.deadline - now < MIN_LEFT_S:
        return fail_exchange(state, exchange, ErrorKind.DEADLINE_EXCEEDED, now)
    if exchange.workspace is not None and not state.cluster_state.is_leased(now):
        return fail_exchange(state, exchange, ErrorKind.TABLES_STALE, now)
    candidates = list_candidates(state, exchange, now)
    known = choose_upstream(
        candidates,
        exchange.prompt,
        lambda name: state.open.get(name, 0),
        state.random,
        lambda key: state.cluster_state.rank_upstreams(exchange.service, key),
    )
    if known is None:
        return fail_exchange(state, exchange, ErrorKind.NO_UPSTREAM, now)
    exchange.spare_only = False
    upstream = known.upstream
    service = state.cluster_state.find_service(upstream)
    if is_cold(known, now) and service is not None and service.cold_per_s > 0:
        place = state.find_place(now)
        state.pacer.record_send(upstream.name, service.cold_per_s, place, now)
    if not state.limits.is_empty:
        state.limits.record_send(upstream.name, state.find_place(now), now)
    scope = choose_cache_scope(state, exchange, upstream, now)
    state.attempts += 1
    exchange.attempt = Attempt(
        state.attempts,
        upstream.name,
        upstream.born,
        now,
        upstream.software,
        0
        if exchange.prompt is None
        else upstream.weights.get(exchange.prompt.model, 0),
        scope,
    )
    set_timer(state, exchange, now)
    exchange.tried.add(upstream.name)
    load = state.open.get(upstream.name, 0)
    state.open[upstream.name] = load + exchange.work
    start = describe_attempt(state, exchange, upstream, scope, now)
    log = log_start(state, exchange, upstream, load, len(candidates), scope.name, now)
    side = record_start(state, exchange, known, now)
    if not side:
        return [start, log]
    return [start, log, Count(Counter.ROLLOUT_REQUESTS, side)]


def begin_stream(
    state: ExchangeState, event: StreamBegun, now: float
) -> list[ExchangeEffect]:
    """Forward the head of a stream, unless an earlier attempt's was forwarded."""
    exchange = _find_exchange(state, event.handle, event.attempt)
    if exchange is None or exchange.attempt is None:
        return []
    attempt = exchange.attempt
    attempt.begun_at = now
    _clear_start_timers(state, exchange)
    state.heard_at[attempt.upstream] = now
    logs = state.limits.record_answer(
        attempt.upstream, attempt.born, event.limit_per_s, exchange.request
    )
    if event.leaving:
        logs += apply_leaving(state.cluster_state, attempt.upstream, attempt.born)
    if exchange.stream_begun:
        return [*logs]
    exchange.stream_begun = True
    exchange.maybe_ran = True
    return [BeginStream(exchange.handle, event.attempt), *logs]


def forward_events(
    state: ExchangeState, event: StreamEventsReceived, now: float
) -> list[ExchangeEffect]:
    """Forward an attempt's first complete events to the caller."""
    exchange = _find_exchange(state, event.handle, event.attempt)
    if exchange is None:
        return []
    record_first_event(state, exchange, now)
    effects: list[ExchangeEffect] = [ForwardEvents(exchange.handle, event.events)]
    if not exchange.events_forwarded:
        exchange.events_forwarded = True
        effects += record_origin(state, exchange, now)
        state.saturation.record_first_event(exchange.service, exchange.handle, now)
        first_s = now - exchange.arrived
        effects.append(
            Observe(Histogram.EXCHANGE_FIRST, first_s, exchange.route.kind.value)
        )
    if event.last_event is not None:
        exchange.last_event = event.last_event
    return effects


def end_attempt(
    state: ExchangeState, event: AttemptEnded, now: float
) -> list[ExchangeEffect]:
    """Handle an attempt's end: forward its answer, retry elsewhere, or fail."""
    exchange = _find_exchange(state, event.handle, event.attempt)
    if exchange is None:
        return []
    attempt = _release_attempt(state, exchange)
    if event.last_event is not None:
        exchange.last_event = event.last_event
    if _answers_stream_otherwise(exchange, attempt, event):
        event = replace(event, end=AttemptEnd.FAULT_ANSWERED)
    rule = END_RULES[event.end]
    if rule.ran is not Execution.NO:
        exchange.maybe_ran = True
        exchange.sends += 1
    else:
        exchange.rejections += 1
    effects: list[ExchangeEffect] = [
        *record_outcome(state, attempt.upstream, rule.counts_as_failure, event, now)
    ]
    record_attempt_end(state, exchange, attempt, event, now)
    update_weights(state, exchange, attempt, event)
    effects += log_end(exchange, attempt, event, rule.ran, now)
    effects += record_end(state, exchange, attempt, event, now)
    effects += record_notices(state, exchange, attempt, event, now)
    if event.end is AttemptEnd.ANSWERED:
        return effects + deliver_answer(state, exchange, event, now)
    if _may_retry(state, exchange, rule.ran, now):
        effects.append(Count(Counter.RETRIES, event.end.value))
        return effects + _send(state, exchange, now)
    if event.end is AttemptEnd.FAULT_ANSWERED and not exchange.stream_begun:
        return effects + deliver_answer(state, exchange, event, now)
    return effects + fail_exchange(state, exchange, rule.kind, now)


def _answers_stream_otherwise(
    exchange: Exchange, attempt: Attempt, event: AttemptEnded
) -> bool:
    """Return whether an answer that is no stream came for the rest of a stream."""
    answered = event.end is AttemptEnd.ANSWERED
    return answered and exchange.stream_begun and attempt.begun_at is None


def _release_attempt(state: ExchangeState, exchange: Exchange) -> Attempt:
    attempt = exchange.attempt
    if attempt is None:
        raise LookupError(f"exchange {exchange.handle} has no attempt")
    exchange.attempt = None
    _clear_start_timers(state, exchange)
    left = state.open.get(attempt.upstream, 0) - exchange.work
    require(left >= 0, "an upstream's open work is never negative")
    if left > 0:
        state.open[attempt.upstream] = left
    else:
        state.open.pop(attempt.upstream, None)
    return attempt


def _clear_start_timers(state: ExchangeState, exchange: Exchange) -> None:
    state.timers.clear((WEIGHTS, exchange.handle))
    state.timers.clear((SCOPE, exchange.handle))


def _may_retry(
    state: ExchangeState, exchange: Exchange, ran: Execution, now: float
) -> bool:
    if exchange.deadline - now < MIN_LEFT_S:
        return False
    if ran is not Execution.NO and not exchange.route.repeatable:
        return False
    if exchange.sends >= exchange.route.max_attempts:
        return False
    if exchange.rejections > MAX_REJECTIONS:
        return False
    if not list_candidates(state, exchange, now):
        return False
    if state.suspicion.compute_quarantine(exchange.keys, now) > 0:
        return False
    window = state.get_retry_window(exchange.service)
    return window.try_acquire(state.count_peer_entries(), now)


def end_exchange(
    state: ExchangeState, handle: int, kind: ErrorKind, now: float
) -> list[ExchangeEffect]:
    """End an exchange whose time is over, and the attempt that it has."""
    exchange = state.exchanges.get(handle)
    if exchange is None:
        return []
    stop = _stop_attempt(state, exchange, now)
    return [*stop, *fail_exchange(state, exchange, kind, now)]


def abandon_exchange(
    state: ExchangeState, event: ForwardDisconnected, now: float
) -> list[ExchangeEffect]:
    """Stop all work for a caller that has disconnected."""
    exchange = state.exchanges.get(event.handle)
    if exchange is None:
        return []
    stop = _stop_attempt(state, exchange, now)
    close_exchange(state, exchange)
    log = Log(
        LogNumber.EXCHANGE_ABANDONED,
        request=exchange.request,
        facts={
            "after_s": round(now - exchange.arrived, 3),
            "begun": exchange.stream_begun,
        },
    )
    return [*stop, log]


def _stop_attempt(
    state: ExchangeState, exchange: Exchange, now: float
) -> list[ExchangeEffect]:
    if exchange.attempt is None:
        return []
    attempt = _release_attempt(state, exchange)
    record_stop(state, exchange, attempt, now)
    exchange.maybe_ran = True
    return [StopAttempt(exchange.handle, attempt.number)]


def _find_exchange(state: ExchangeState, handle: int, attempt: int) -> Exchange | None:
    exchange = state.exchanges.get(handle)
    if exchange is None or exchange.attempt is None:
        return None
    return exchange if exchange.attempt.number == attempt else None
