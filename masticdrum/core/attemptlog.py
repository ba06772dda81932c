"""Logs how an attempt at an upstream started, and how it ended."""

from masticdrum.core.clusterstate import MAX_LOGGED_S
from masticdrum.core.exchangestate import Attempt, Exchange, ExchangeState
from masticdrum.model.directory import Upstream
from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    ExchangeEffect,
    Execution,
)
from masticdrum.model.telemetry import Count, Counter, Facts, Log, LogNumber


def log_start(
    state: ExchangeState,
    exchange: Exchange,
    upstream: Upstream,
    load: int,
    candidates: int,
    scope: str,
    now: float,
) -> Log:
    """Return the log of an attempt's start.

    ``load`` is the work that was open at the upstream before, ``candidates`` how many
    upstreams could have got it, and ``scope`` where a prompt shares KV cache.
    """
    return Log(
        LogNumber.EXCHANGE_SENT,
        request=exchange.request,
        attempt=str(state.attempts),
        facts={
            "route": exchange.route.name,
            "upstream": upstream.name,
            "software": upstream.software,
            "after_event": -1 if exchange.last_event is None else exchange.last_event,
            "resumes": exchange.resumes,
            "open": load,
            "candidates": candidates,
            "left_s": round(exchange.deadline - now, 3),
            "version": state.cluster_state.version,
            "lease_s": round(state.cluster_state.lease.until - now, 3),
            **_describe_scope(state, exchange, scope, now),
            **_describe_weights(state, exchange, upstream, now),
        },
    )


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


def _describe_scope(
    state: ExchangeState, exchange: Exchange, scope: str, now: float
) -> Facts:
    """Describe where a prompt shares KV cache, and how old that decision's basis is."""
    if exchange.prompt is None:
        return {}
    workspace = exchange.workspace
    confirmed_at = state.cluster_state.lease.confirmed_at
    return {
        "scope": scope,
        "workspace": "" if workspace is None else workspace.name,
        "confirmed_s": round(min(now - confirmed_at, MAX_LOGGED_S), 3),
    }


def _describe_weights(
    state: ExchangeState, exchange: Exchange, upstream: Upstream, now: float
) -> Facts:
    """Describe on which weights a prompt is to run, and since when newer are wanted."""
    if exchange.prompt is None:
        return {}
    model = exchange.prompt.model
    weights = upstream.weights.get(model, 0)
    newest = state.cluster_state.weights.get(model, 0)
    read_s = now - state.cluster_state.superseded.confirmed_at
    facts: Facts = {"weights": weights, "newest": newest}
    facts["weights_read_s"] = round(min(read_s, MAX_LOGGED_S), 3)
    superseded_at = state.cluster_state.find_superseded_at(model, weights)
    if superseded_at is None:
        return facts
    # Unknown for what was superseded before this process read the newer version.
    known = superseded_at > float("-inf")
    facts["superseded_s"] = round(now - superseded_at, 3) if known else "unknown"
    return facts


def _describe_prompt(exchange: Exchange, attempt: Attempt, now: float) -> Facts:
    """Describe what distinguishes a request that ran at an upstream's crash."""
    facts: Facts = {}
    if exchange.prompt is not None:
        facts["parts"] = [part.name for part in exchange.prompt.parts]
    if attempt.begun_at is not None:
        facts["begun_s"] = round(now - attempt.begun_at, 3)
    return facts
