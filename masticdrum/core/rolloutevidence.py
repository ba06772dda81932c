"""Tells roll-outs how the attempts at a service's versions end."""

from masticdrum.core.attemptends import END_RULES
from masticdrum.core.exchangestate import Attempt, Exchange, ExchangeState
from masticdrum.model.exchange import AttemptEnd, AttemptEnded

SILENT_TARGETS = 4.0  # targets; after so long without an answer an upstream has failed
FIRST_FAULT_STATUS = 500


def record_first_event(state: ExchangeState, exchange: Exchange, now: float) -> None:
    """Record how long the first event of an attempt's stream took."""
    attempt = exchange.attempt
    if attempt is None or attempt.has_events:
        return
    attempt.has_events = True
    _record(state, exchange, attempt, failed=False, now=now)


def record_attempt_end(
    state: ExchangeState,
    exchange: Exchange,
    attempt: Attempt,
    event: AttemptEnded,
    now: float,
) -> None:
    """Record an attempt's answer or failure, unless it proves neither."""
    if _is_failure(event):
        exchange.failed_software = attempt.software
        _record(state, exchange, attempt, failed=True, now=now)
    elif event.end is AttemptEnd.WITHDRAWN:
        record_stop(state, exchange, attempt, now)
    elif event.end is AttemptEnd.ANSWERED and not attempt.has_events:
        _record(state, exchange, attempt, failed=False, now=now)


def record_stop(
    state: ExchangeState, exchange: Exchange, attempt: Attempt, now: float
) -> None:
    """Record a failure if an attempt that this entry ends was silent for too long."""
    if attempt.begun_at is not None or attempt.has_events:
        return
    if now - attempt.started_at < SILENT_TARGETS * exchange.route.target_s:
        return
    exchange.failed_software = attempt.software
    _record(state, exchange, attempt, failed=True, now=now)


def _is_failure(event: AttemptEnded) -> bool:
    if END_RULES[event.end].counts_as_failure:
        return True
    return event.end is AttemptEnd.ANSWERED and event.status >= FIRST_FAULT_STATUS


def _record(
    state: ExchangeState,
    exchange: Exchange,
    attempt: Attempt,
    *,
    failed: bool,
    now: float,
) -> None:
    if state.rollouts is None or state.evidence is None:
        return
    found = state.rollouts.find_share(exchange.service, now)
    if found is None:
        return
    state.evidence.record(
        exchange.service,
        exchange.route.name,
        attempt.software == found[0],
        attempt.upstream,
        now - attempt.started_at,
        failed,
        attempt.warming,
    )
