"""Helpers for answering HTTP over ASGI."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

JSON = "application/json"
Headers = list[tuple[bytes, bytes]]
Body = bytes | bytearray


async def send_head(send: Send, status: int, headers: Headers) -> None:
    """Send status and headers."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_chunk(send: Send, body: bytes, *, more: bool) -> None:
    """Send a piece of the body.

    Sending the last piece is shielded from cancellation. The server reports that the
    caller disconnected before it has prepared the connection for the next request;
    cancelling the task then would leave the connection without its idle timeout.
    """
    with trio.CancelScope(shield=not more):
        await send({"type": "http.response.body", "body": body, "more_body": more})


async def send_whole(
    send: Send,
    status: int,
    body: bytes,
    *,
    content_type: str = JSON,
    extra: Headers | None = None,
) -> None:
    """Send a whole answer."""
    headers = [
        (b"content-type", content_type.encode("latin-1")),
        (b"content-length", str(len(body)).encode()),
        *(extra or []),
    ]
    await send_head(send, status, headers)
    await send_chunk(send, body, more=False)


async def send_json(
    send: Send, status: int, value: object, *, extra: Headers | None = None
) -> None:
    """Send a whole answer as JSON."""
    await send_whole(send, status, msgspec.json.encode(value), extra=extra)


def get_header_values(scope: Scope, name: bytes) -> list[bytes]:
    """Return all values of a header; ``name`` is in lower case."""
    return [value for key, value in scope["headers"] if key.lower() == name]
