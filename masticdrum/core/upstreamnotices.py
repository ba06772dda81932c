"""What an attempt's end says of its upstream, besides answering the request."""

from masticdrum.core.attemptends import ANSWER_ENDS
from masticdrum.core.clusterstate import apply_leaving
from masticdrum.core.exchangestate import Attempt, Exchange, ExchangeState
from masticdrum.core.outlierdetection import OutlierDetector
from masticdrum.model.exchange import AttemptEnd, AttemptEnded
from masticdrum.model.telemetry import Facts, Log, LogNumber


def record_outcome(
    state: ExchangeState,
    name: str,
    counts_as_failure: bool,
    event: AttemptEnded,
    now: float,
) -> list[Log]:
    """Record whether an upstream failed, and avoid it if it does too often."""
    end = event.end
    # A misdirected request whose answer names no weights met another upstream at the
    # address; the list will drop the one that it was meant for.
    was_rejected = end is AttemptEnd.REJECTED or (
        end is AttemptEnd.MISDIRECTED and event.weights == 0
    )
    detector = state.outlier_detectors.get(name)
    if detector is None:
        if not counts_as_failure and not was_rejected:
            return []
        detector = state.outlier_detectors[name] = OutlierDetector()
    if was_rejected:
        detector.record_rejection(now)
        return []
    if not counts_as_failure:
        if end is AttemptEnd.ANSWERED:
            detector.record_success()
        return []
    if not detector.record_failure(now):
        return []
    return [
        Log(
            LogNumber.UPSTREAM_AVOIDED,
            detail=end.value,
            facts={
                "upstream": name,
                "in_a_row": detector.consecutive_failures,
                "failing": round(detector.failure_rate, 3),
                "for_s": round(detector.ejected_until - now, 3),
            },
        )
    ]


def update_weights(
    state: ExchangeState, exchange: Exchange, attempt: Attempt, event: AttemptEnded
) -> None:
    """Record the weight version that an upstream states in its answer."""
    known = state.cluster_state.known.get(attempt.upstream)
    if known is None or exchange.prompt is None or event.weights <= 0:
        return
    weights = known.upstream.weights
    if weights.get(exchange.prompt.model, 0) < event.weights:
        weights[exchange.prompt.model] = event.weights
        exchange.tried.discard(attempt.upstream)


def record_notices(
    state: ExchangeState,
    exchange: Exchange,
    attempt: Attempt,
    event: AttemptEnded,
    now: float,
) -> list[Log]:
    """Record what an answer says of its upstream besides answering."""
    name, born = attempt.upstream, attempt.born
    logs: list[Log] = []
    if event.end in ANSWER_ENDS and attempt.begun_at is None:
        logs += state.limits.record_answer(
            name, born, event.limit_per_s, exchange.request
        )
    if event.end is AttemptEnd.MISDIRECTED:
        return logs
    if event.leaving:
        logs += apply_leaving(state.cluster_state, name, born)
    if event.pause_s > 0 and state.pauses.record(name, born, now + event.pause_s):
        facts: Facts = {"upstream": name, "for_s": round(event.pause_s, 3)}
        number = LogNumber.UPSTREAM_PAUSED
        logs.append(Log(number, request=exchange.request, facts=facts))
    return logs
