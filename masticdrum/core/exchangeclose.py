"""Ends an exchange, with an upstream's answer or with an accurate error."""

from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.core.saturation import MIN_SHED_WAIT
from masticdrum.model.errors import ANSWERS, ErrorKind
from masticdrum.model.exchange import (
    AbortStream,
    AttemptEnded,
    EndStream,
    ExchangeEffect,
    ForwardAnswer,
    Refuse,
)
from masticdrum.model.telemetry import (
    Count,
    Counter,
    Facts,
    Histogram,
    Log,
    LogNumber,
    Observe,
)

DEADLINE = "deadline"
ORIGIN = "origin"
SCOPE = "scope"
WEIGHTS = "weights"
RETRY_AFTER_FRACTION = 0.25  # of the time left; callers wait for at most a third of it
MIN_RETRY_AFTER_S = 0.05
PAUSE_SPREAD = 0.25  # so that not all callers return when the upstreams' pause ends


def deliver_answer(
    state: ExchangeState, exchange: Exchange, event: AttemptEnded, now: float
) -> list[ExchangeEffect]:
    """Forward an upstream's answer, or end its stream as complete."""
    close_exchange(state, exchange)
    whole_s = now - exchange.arrived
    log = Log(
        LogNumber.EXCHANGE_ANSWERED,
        request=exchange.request,
        attempt=str(event.attempt),
        facts={"status": event.status, "after_s": round(whole_s, 3)},
    )
    kind = exchange.route.kind.value
    report: list[ExchangeEffect] = [
        log,
        Observe(Histogram.EXCHANGE_WHOLE, whole_s, kind),
    ]
    if exchange.stream_begun:
        state.stream_durations.record(exchange.route.name, whole_s)
        return [EndStream(exchange.handle), *report]
    return [ForwardAnswer(exchange.handle, event.attempt), *report]


def fail_exchange(
    state: ExchangeState,
    exchange: Exchange,
    kind: ErrorKind,
    now: float,
    wait_s: float = 0.0,
) -> list[ExchangeEffect]:
    """End an exchange without an upstream's answer.

    The status never claims that a request did not run if it may have. ``wait_s`` is
    when it may be repeated if it did not run, zero if that isn't known.
    """
    close_exchange(state, exchange)
    if exchange.stream_begun:
        log = Log(
            LogNumber.EXCHANGE_BROKEN,
            request=exchange.request,
            detail=kind.value,
            facts=_describe_attempts(state, exchange, now),
        )
        return [AbortStream(exchange.handle), log, Count(Counter.REFUSALS, kind.value)]
    kind, status = _choose_error(exchange, kind)
    if status == 503 and wait_s == 0:
        left_s = max(0.0, exchange.deadline - now)
        wait_s = draw_retry_after(state, kind, left_s, _compute_backlog(exchange))
        wait_s = max(wait_s, _draw_pause(state, exchange, now))
    log = Log(
        LogNumber.EXCHANGE_REFUSED,
        request=exchange.request,
        detail=kind.value,
        facts={
            "status": status,
            "retry_after_s": round(wait_s, 3),
            **_describe_attempts(state, exchange, now),
        },
    )
    refuse = Refuse(exchange.handle, kind, status, wait_s)
    return [refuse, log, Count(Counter.REFUSALS, kind.value)]


def _choose_error(exchange: Exchange, kind: ErrorKind) -> tuple[ErrorKind, int]:
    """Return a kind and status that agree with whether the request may have run."""
    status = ANSWERS[kind].status
    claims_not_run = status in (408, 421, 429, 503)
    if exchange.maybe_ran and claims_not_run:
        return ErrorKind.OUTCOME_UNKNOWN, 502
    if not exchange.maybe_ran and not claims_not_run:
        return ErrorKind.NO_UPSTREAM, 503
    return kind, status


def _describe_attempts(state: ExchangeState, exchange: Exchange, now: float) -> Facts:
    usable = state.cluster_state.list_usable_upstreams(exchange.service, now)
    return {
        "route": exchange.route.name,
        "tried": sorted(exchange.tried),
        "sends": exchange.sends,
        "rejections": exchange.rejections,
        "maybe_ran": exchange.maybe_ran,
        "usable": len(usable),
        "expected_s": round(exchange.expected_s, 3),
        "after_s": round(now - exchange.arrived, 3),
        "version": state.cluster_state.version,
        "lease_s": round(state.cluster_state.lease.until - now, 3),
    }


def close_exchange(state: ExchangeState, exchange: Exchange) -> None:
    """Remove an exchange that has its final answer."""
    state.exchanges.pop(exchange.handle, None)
    state.saturation.forget(exchange.service, exchange.handle)
    state.timers.clear((DEADLINE, exchange.handle))
    state.timers.clear((ORIGIN, exchange.handle))
    state.timers.clear((WEIGHTS, exchange.handle))
    state.timers.clear((SCOPE, exchange.handle))
    state.awaiting_record.discard(exchange.handle)


def _compute_backlog(exchange: Exchange) -> float:
    """Return by how many seconds the wait exceeds one that still serves in time."""
    return exchange.expected_s - MIN_SHED_WAIT * exchange.route.target_s


def _draw_pause(state: ExchangeState, exchange: Exchange, now: float) -> float:
    """Draw for how long all upstreams want nothing; zero if one of them does."""
    if state.pauses.is_empty:
        return 0.0
    usable = state.cluster_state.list_usable_upstreams(exchange.service, now)
    end = state.pauses.find_next_end([known.upstream for known in usable], now)
    if end is None:
        return 0.0
    return (end - now) * state.random.uniform(1.0, 1.0 + PAUSE_SPREAD)


def draw_retry_after(
    state: ExchangeState, kind: ErrorKind, left_s: float, backlog_s: float = 0.0
) -> float:
    """Draw how long a caller should wait, so that not all callers return at once.

    ``backlog_s`` is the time until the queue has room, as far as known.
    """
    longest_s = min(ANSWERS[kind].retry_after_s, RETRY_AFTER_FRACTION * left_s)
    if backlog_s > 0:
        longest_s = min(longest_s, 2 * backlog_s)
    return max(MIN_RETRY_AFTER_S, longest_s * state.random.uniform(0.5, 1.0))
