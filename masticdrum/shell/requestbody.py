"""Reads a request's body within limits, and validates a completion's body."""

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.errors import ErrorKind
from masticdrum.model.settings import EntryLimits
from masticdrum.shell.asgi import Receive
from masticdrum.shell.callerrequests import Refusal


class CompletionBody(Struct, frozen=True):
    """The body of a completion; ``model`` names the route.

    Unknown fields are accepted and ignored, since client libraries for this API send
    many.
    """

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False


async def read_body(receive: Receive, limits: EntryLimits) -> Result[bytes, Refusal]:
    """Return the whole body, or why it is refused."""
    body = bytearray()
    with trio.move_on_after(limits.read_timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Failure(Refusal(ErrorKind.CALLER_GONE))
            part = message.get("body", b"")
            if len(body) + len(part) > limits.max_body_bytes:
                detail = f"the body is over {limits.max_body_bytes} bytes"
                return Failure(Refusal(ErrorKind.BODY_TOO_LARGE, detail))
            body += part
            if not message.get("more_body", False):
                return Success(bytes(body))
    detail = f"the body did not arrive within {limits.read_timeout_s} s"
    return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, detail))


def parse_completion(body: bytes) -> Result[CompletionBody, Refusal]:
    """Return a completion's body, or why it is malformed."""
    try:
        parsed = read_json(body, CompletionBody)
    except Undecodable as error:
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, f"the body: {error}"))
    if parsed.max_tokens < 1:
        detail = f"the body: max_tokens: {parsed.max_tokens} is below 1"
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, detail))
    return Success(parsed)
