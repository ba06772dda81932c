"""Ends an exchange: with an upstream's answer, or truthfully without one."""

from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.core.saturation import EASY_WAIT
from masticdrum.model.errors import ANSWERS, ErrorKind
from masticdrum.model.exchange import (
    AttemptEnded,
    BreakStream,
    EndStream,
    ExchangeEffect,
    PassAnswer,
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
RETRY_AFTER_PART = 0.25  # of the time left; callers heed a third at most
LEAST_RETRY_AFTER_S = 0.05


def finish(
    state: ExchangeState, exchange: Exchange, event: AttemptEnded, now: float
) -> list[ExchangeEffect]:
    """Pass an upstream's answer on, or end its stream as complete."""
    close(state, exchange)
    whole_s = now - exchange.arrived
    log = Log(
        LogNumber.EXCHANGE_ANSWERED,
        request=exchange.request,
        attempt=str(event.attempt),
        facts={"status": event.status, "after_s": round(whole_s, 3)},
    )
    kind = exchange.route.kind.value
    told: list[ExchangeEffect] = [
        log,
        Observe(Histogram.EXCHANGE_WHOLE, whole_s, kind),
    ]
    if exchange.begun:
        return [EndStream(exchange.handle), *told]
    return [PassAnswer(exchange.handle, event.attempt), *told]


def give_up(
    state: ExchangeState, exchange: Exchange, kind: ErrorKind, now: float
) -> list[ExchangeEffect]:
    """End an exchange without an upstream's answer, truthfully."""
    close(state, exchange)
    if exchange.begun:
        log = Log(
            LogNumber.EXCHANGE_BROKEN,
            request=exchange.request,
            detail=kind.value,
            facts=_describe_tries(state, exchange, now),
        )
        return [BreakStream(exchange.handle), log, Count(Counter.REFUSALS, kind.value)]
    kind, status = _find_answer(exchange, kind)
    wait_s = 0.0
    if status == 503:
        left_s = max(0.0, exchange.deadline - now)
        wait_s = draw_wait(state, kind, left_s, _find_backlog(exchange))
    log = Log(
        LogNumber.EXCHANGE_REFUSED,
        request=exchange.request,
        detail=kind.value,
        facts={
            "status": status,
            "retry_after_s": round(wait_s, 3),
            **_describe_tries(state, exchange, now),
        },
    )
    refuse = Refuse(exchange.handle, kind, status, wait_s)
    return [refuse, log, Count(Counter.REFUSALS, kind.value)]


def _find_answer(exchange: Exchange, kind: ErrorKind) -> tuple[ErrorKind, int]:
    """Return the kind and status that are true of an exchange."""
    status = ANSWERS[kind].status
    promises = status in (408, 421, 429, 503)
    if exchange.maybe_ran and promises:
        return ErrorKind.OUTCOME_UNKNOWN, 502
    if not exchange.maybe_ran and not promises:
        return ErrorKind.NO_UPSTREAM, 503
    return kind, status


def _describe_tries(state: ExchangeState, exchange: Exchange, now: float) -> Facts:
    usable = state.beliefs.find_usable(exchange.service, now)
    return {
        "route": exchange.route.name,
        "tried": sorted(exchange.tried),
        "sends": exchange.sends,
        "rejections": exchange.rejections,
        "maybe_ran": exchange.maybe_ran,
        "usable": len(usable),
        "expected_s": round(exchange.expected_s, 3),
        "after_s": round(now - exchange.arrived, 3),
        "version": state.beliefs.version,
        "lease_s": round(state.beliefs.lease_until - now, 3),
    }


def close(state: ExchangeState, exchange: Exchange) -> None:
    """Forget an exchange that has its final answer."""
    state.exchanges.pop(exchange.handle, None)
    state.saturation.forget(exchange.service, exchange.handle)
    state.timers.clear((DEADLINE, exchange.handle))


def _find_backlog(exchange: Exchange) -> float:
    """Return how many seconds the queue is longer than one that serves in time."""
    return exchange.expected_s - EASY_WAIT * exchange.route.target_s


def draw_wait(
    state: ExchangeState, kind: ErrorKind, left_s: float, backlog_s: float = 0.0
) -> float:
    """Return when a caller should come back, spread so that not all do at once.

    ``backlog_s`` is when there will be room, as far as that is known.
    """
    most = min(ANSWERS[kind].retry_after_s, RETRY_AFTER_PART * left_s)
    if backlog_s > 0:
        most = min(most, 2 * backlog_s)
    return max(LEAST_RETRY_AFTER_S, most * state.random.uniform(0.5, 1.0))
