"""What a decider publishes of a roll-out for operators."""

from msgspec import Struct, field

from masticdrum.model.telemetry import Facts


class RolloutProgress(Struct, frozen=True):
    """Where an order stands, as its decider saw it at ``at_unix_s``.

    The system's own object ``rolloutprogress/SERVICE``. Nothing is decided by it: it
    may be missing, late or that of an earlier order. ``number`` is the fencing number
    of the lease under which it was written. ``share`` is the part of the service's new
    requests that entries may send to the target, from 0 to 1, and ``next_share`` that
    of the next step, which comes at ``next_at_unix_s`` at the earliest, if the evidence
    allows it. Both are None if no step follows. ``facts`` are those of the judgement by
    route, under an empty text those of no route; ``omitted`` is how many routes were
    left out for their size.
    """

    service: str
    target: str
    created: int
    number: int
    at_unix_s: float
    step: int
    share: float
    new_sent: int
    old_sent: int
    verdict: str
    next_share: float | None = None
    next_at_unix_s: float | None = None
    facts: dict[str, Facts] = field(default_factory=dict)
    omitted: int = 0


class PublishRolloutProgress(Struct, frozen=True):
    """Writes an order's progress for operators; a failed write is not repeated."""

    service: str
    body: bytes
