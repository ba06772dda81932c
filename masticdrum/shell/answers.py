"""JSON bodies of the completions API, for streamed and whole answers."""

from typing import Any

import msgspec

from masticdrum.model.entry_events import SendEnd
from masticdrum.model.errors import ANSWERS, ErrorKind, Outcome
from masticdrum.model.messages import Usage

DONE = b"data: [DONE]\n\n"


def describe_error(
    kind: ErrorKind, outcome: Outcome, retry_after_s: float, detail: str = ""
) -> dict[str, Any]:
    """Return the JSON value of a refusal or of a failure within a stream."""
    return {
        "error": {
            "kind": kind.value,
            "message": detail or ANSWERS[kind].text,
            "outcome": outcome.value,
            "retry_after_s": retry_after_s,
        }
    }


def describe_chunk(
    request: str, route: str, text: str, end: SendEnd | None = None
) -> dict[str, Any]:
    """Return the JSON value of a chunk of a streamed answer, or of a whole answer."""
    choice = {
        "index": 0,
        "text": text,
        "finish_reason": None if end is None else end.reason,
    }
    chunk: dict[str, Any] = {
        "id": request,
        "object": "text_completion",
        "model": route,
        "choices": [choice],
    }
    if end is not None:
        chunk["usage"] = describe_usage(end.count, end.usage)
    return chunk


def describe_usage(count: int, usage: Usage) -> dict[str, int]:
    """Return the JSON value of a finished run's usage."""
    return {
        "completion_tokens": count,
        "prompt_blocks": usage.prompt_blocks,
        "cached_blocks": usage.cached,
        "imported_blocks": usage.imported,
        "recomputed_blocks": usage.recomputed,
    }


def encode_event(value: dict[str, Any]) -> bytes:
    """Return a server-sent event that carries a JSON value."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
