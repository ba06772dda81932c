"""HTTP calls whose whole answers have a bound in bytes."""

import httpcore
from msgspec import Struct

from masticdrum.shell.asgi import Headers

MAX_ANSWER_BYTES = 8 * 1024 * 1024


class AnswerTooLong(httpcore.RemoteProtocolError):
    """A server sends a body without an end."""


class WholeAnswer(Struct, frozen=True):
    """A complete answer; the names of headers are as they were received."""

    status: int
    headers: Headers
    body: bytes


async def call_bounded(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    *,
    headers: list[tuple[str, str]] | None = None,
    content: bytes | None = None,
    extensions: dict[str, dict[str, float]] | None = None,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> WholeAnswer:
    """Make one call and read its answer; raises what httpcore does.

    A body over ``max_bytes`` raises ``AnswerTooLong`` and closes the connection.
    """
    async with pool.stream(
        method, url, headers=headers, content=content, extensions=extensions
    ) as response:
        body = bytearray()
        async for part in response.aiter_stream():
            body += part
            if len(body) > max_bytes:
                raise AnswerTooLong(f"the answer is over {max_bytes} bytes")
        return WholeAnswer(response.status, response.headers, bytes(body))
