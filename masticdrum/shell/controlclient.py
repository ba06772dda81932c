"""Calls at one server, whose whole answers are read.

They use connections as forwarded requests do: one on which more arrived than the answer
to its last request is not used again.
"""

from math import inf

import h11
import trio

from masticdrum.shell.asgi import Headers
from masticdrum.shell.upstreamconnection import (
    AnswerCutOff,
    AnswerGarbled,
    UpstreamConnection,
)
from masticdrum.shell.upstreampool import UpstreamConnectionPool

CONNECTION_ERRORS = (
    OSError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.LocalProtocolError,
    AnswerCutOff,
    AnswerGarbled,
)


class CallFailed(Exception):
    """A call got no whole answer; it may have been carried out."""


class ControlClient:
    """Calls the server at ``address``, ``IP:PORT``.

    The body of an answer may have ``max_answer_bytes``.
    """

    def __init__(self, address: str, max_answer_bytes: int) -> None:
        self._address = address
        self._max_answer_bytes = max_answer_bytes
        self._connections = UpstreamConnectionPool()

    async def call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        *,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Make one call; return the answer's status and body, or raise ``CallFailed``.

        For example::

            status, body = await client.call("GET", "/v1/report", [], timeout_s=1.0)
        """
        own: Headers = [(b"host", self._address.encode())]
        if body:
            own.append((b"content-length", str(len(body)).encode()))
        try:
            with trio.fail_after(timeout_s):
                return await self._exchange(method, target, own + headers, body)
        except CONNECTION_ERRORS as error:
            raise CallFailed(f"{method} {target}: {error!r}") from error

    async def _exchange(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> tuple[int, bytes]:
        # Bounded by the call's own timeout.
        connection = await self._connections.acquire(self._address, inf, request="")
        is_whole = False
        try:
            await connection.send_request(
                method.encode(), target.encode(), headers, body
            )
            head = await connection.receive_head()
            content = await self._read_body(connection)
            is_whole = True
        finally:
            if not is_whole:
                connection.close()
        self._connections.release(self._address, connection, None)
        return head.status, content

    async def _read_body(self, connection: UpstreamConnection) -> bytes:
        content = bytearray()
        part = connection.take_body()
        while True:
            if part is None:
                part = await connection.receive_body()
            content += part.data
            if len(content) > self._max_answer_bytes:
                raise AnswerGarbled(
                    f"the answer is over {self._max_answer_bytes} bytes"
                )
            if part.is_last:
                return bytes(content)
            part = None
