"""Tells what a forwarded request's end says about crashes of its upstream."""

from masticdrum.core.attemptends import ANSWER_ENDS
from masticdrum.core.exchangestate import Attempt, Exchange, ExchangeState
from masticdrum.model.cluster_events import Source
from masticdrum.model.crashes import (
    PART_PREFIX,
    REPEAT_PREFIX,
    CrashClaim,
    CrashReportChanged,
    CrashReportsListed,
    PublishCrashReport,
)
from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    ExchangeEffect,
    ForwardRequested,
)
from masticdrum.model.telemetry import Log

# Ends of an attempt whose upstream may have crashed.
CRASH_ENDS = frozenset({AttemptEnd.LOST, AttemptEnd.TRUNCATED})

MAX_PARTS = 32


def list_keys(event: ForwardRequested) -> tuple[str, ...]:
    """List what a request may have in common with others that crash upstreams.

    The last part of a prompt is left out, since only its own session has it.
    """
    parts = () if event.prompt is None else event.prompt.parts[:-1][:MAX_PARTS]
    keys = [f"{PART_PREFIX}{part.name}" for part in parts]
    if event.fingerprint:
        keys.append(f"{REPEAT_PREFIX}{event.fingerprint:016x}")
    return tuple(keys)


def record_end(
    state: ExchangeState,
    exchange: Exchange,
    attempt: Attempt,
    event: AttemptEnded,
    now: float,
) -> list[Log]:
    """Record an attempt's end that incriminates its request, or clears it."""
    if event.end in ANSWER_ENDS:
        state.heard_at[attempt.upstream] = now
    if event.end is AttemptEnd.ANSWERED and 200 <= event.status < 300:
        begun_at = attempt.begun_at or attempt.started_at
        return state.suspicion.record_answer(exchange.keys, begun_at, now)
    if event.end not in CRASH_ENDS:
        return []
    claim = CrashClaim(
        "",
        attempt.upstream,
        attempt.born,
        round(now + state.clock_offset, 3),
        exchange.request,
        exchange.keys,
        None if attempt.begun_at is None else round(now - attempt.begun_at, 3),
    )
    return state.suspicion.record_loss(claim, now)


def apply_crash_event(
    state: ExchangeState, event: CrashReportsListed | CrashReportChanged, now: float
) -> list[Log]:
    """Add what other entries have reported."""
    is_list = isinstance(event, CrashReportsListed)
    reports = event.reports if isinstance(event, CrashReportsListed) else [event.report]
    unix_now = now + state.clock_offset
    return state.suspicion.apply_reports(reports, now, unix_now, is_list=is_list)


def review_crashes(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    """Drop claims that turned out to be wrong, and publish what is new."""

    def is_alive(upstream: str, since: float) -> bool:
        return state.heard_at.get(upstream, since) > since

    def is_registered(claim: CrashClaim, age_s: float) -> bool:
        known = state.cluster_state.known.get(claim.upstream)
        return (
            age_s >= state.bounds.unregister_s
            and known is not None
            and known.upstream.born == claim.born
            and now >= known.trusted_at
            and Source.UPSTREAMS not in state.cluster_state.lost
        )

    logs = state.suspicion.review(now, is_alive, is_registered)
    report = state.suspicion.take_report(now)
    return [*logs, *([] if report is None else [PublishCrashReport(report)])]
