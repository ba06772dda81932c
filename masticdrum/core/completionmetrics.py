"""Metrics of completions."""

from masticdrum.core.completion import Completion
from masticdrum.model.entry_events import (
    EntryEffect,
)
from masticdrum.model.messages import (
    Usage,
)
from masticdrum.model.telemetry import (
    Count,
    Counter,
    Histogram,
    Observe,
)


def observe_wait(completion: Completion, now: float) -> Observe:
    """Return a sample of the wait for the first token, or since the last one."""
    urgency = completion.route.urgency.value
    if not completion.delivered:
        waited = now - completion.arrived_at
        return Observe(Histogram.FIRST_TOKEN, waited, urgency)
    return Observe(Histogram.BETWEEN_TOKENS, now - completion.token_at, urgency)


def count_blocks(usage: Usage) -> list[EntryEffect]:
    """Count a prompt's blocks by their source."""
    sources = {
        "cached": usage.cached,
        "imported": usage.imported,
        "recomputed": usage.recomputed,
    }
    return [
        Count(Counter.PROMPT_BLOCKS, source, blocks)
        for source, blocks in sources.items()
        if blocks
    ]
