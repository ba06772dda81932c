"""Refusals of callers' requests."""

from masticdrum.model.entry_events import (
    EntryEffect,
    SendRefusal,
)
from masticdrum.model.errors import ANSWERS, ErrorKind, Outcome
from masticdrum.model.telemetry import (
    Count,
    Counter,
    Log,
    LogNumber,
)


def refuse_request(
    request: str, kind: ErrorKind, outcome: Outcome, *, retry_after_s: float = 0.0
) -> list[EntryEffect]:
    """Answer a request with an error of the given kind; count and log it."""
    hint = max(retry_after_s, ANSWERS[kind].retry_after_s)
    return [
        SendRefusal(request, kind, outcome, hint),
        Count(Counter.REFUSALS, kind.value),
        Log(LogNumber.REQUEST_REFUSED, request=request, detail=kind.value),
    ]
