"""Logs how an attempt at an upstream ended."""

from masticdrum.core.exchangestate import Attempt, Exchange
from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    ExchangeEffect,
    Execution,
)
from masticdrum.model.telemetry import Count, Counter, Facts, Log, LogNumber


def log_end(
    exchange: Exchange,
    attempt: Attempt,
    event: AttemptEnded,
    ran: Execution,
    now: float,
) -> list[ExchangeEffect]:
    """Return the count of an attempt's end, and its log unless it was answered."""
    counted = Count(Counter.ATTEMPTS, event.end.value)
    if event.end is AttemptEnd.ANSWERED:
        return [counted]
    log = Log(
        LogNumber.EXCHANGE_ATTEMPT_ENDED,
        request=exchange.request,
        attempt=str(attempt.number),
        detail=event.detail,
        facts={
            "upstream": attempt.upstream,
            "software": attempt.software,
            "end": event.end.value,
            "ran": ran.value,
            "status": event.status,
            "after_s": round(now - attempt.started_at, 3),
            **_describe_prompt(exchange, attempt, now),
        },
    )
    return [counted, log]


def _describe_prompt(exchange: Exchange, attempt: Attempt, now: float) -> Facts:
    """Describe what distinguishes a request that ran at an upstream's crash."""
    facts: Facts = {}
    if exchange.prompt is not None:
        facts["parts"] = [part.name for part in exchange.prompt.parts]
    if attempt.begun_at is not None:
        facts["begun_s"] = round(now - attempt.begun_at, 3)
    return facts
