"""One HTTP/1.1 connection to an upstream: h11 over a TCP connection.

Nothing that an upstream sends is taken without a bound: neither the length of a head,
nor the number of interim answers before it, nor what follows a complete answer.
"""

import re

import h11
from msgspec import Struct

from masticdrum.shell.answerguard import FoldedLine, HeadScanner, has_folded_line
from masticdrum.shell.asgi import Body, Headers
from masticdrum.shell.tcpconnection import TcpConnection

MAX_HEAD_BYTES = 64 * 1024
TRANSFER_ENCODING = b"transfer-encoding"
MAX_INTERIM_ANSWERS = 8  # answers with a status below 200 before the final one
# A head that broke off within a line runs on into that of an error behind it.
STATUS_LINE = re.compile(rb"HTTP/\d(?:\.\d)? \d{3}(?!\S)")
PIECE_BYTES = 64 * 1024  # of a large body, so that no second copy of it is made
MAX_STATUS_BYTES = 16  # the longest match, and a byte behind it


class AnswerGarbled(Exception):
    """The upstream sent bytes that are no answer in the protocol."""


class AnswerCutOff(Exception):
    """The connection ended before the answer did."""


class AnswerHead(Struct, frozen=True):
    """The status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers


class BodyPart(Struct, frozen=True):
    """A part of an answer's body; ``is_last`` means that the body is complete.

    With ``is_closed`` only the end of the connection says so.
    """

    data: bytes
    is_last: bool
    is_closed: bool = False


class UpstreamConnection:
    """Sends one request after the other and receives their answers.

    ``has_sent`` states whether bytes of the present request may have been sent,
    ``is_reused`` whether the connection carried a request before. ``refused`` names the
    requests that the upstream stated on it not to have run.
    """

    __slots__ = (
        "_http",
        "_is_chunked",
        "_is_send_broken",
        "_scanner",
        "_tcp",
        "has_sent",
        "idle_until",
        "is_reused",
        "refused",
    )

    def __init__(self, tcp: TcpConnection) -> None:
        self._tcp = tcp
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._scanner = HeadScanner()
        self._is_chunked = False
        self._is_send_broken = False
        self.has_sent = False
        self.is_reused = False
        self.idle_until = 0.0
        self.refused: set[str] = set()

    async def send_request(
        self, method: bytes, target: bytes, headers: Headers, body: Body
    ) -> None:
        """Send a whole request.

        A connection that breaks meanwhile is reported by the reads that follow, since
        the upstream may have answered before it closed. Its end completes no answer.
        """
        http = self._http
        data = http.send(h11.Request(method=method, target=target, headers=headers))
        first, rest = bytes(body[:PIECE_BYTES]), memoryview(body)[PIECE_BYTES:]
        if first:
            data = _join(data, http.send(h11.Data(data=first)))
        self.has_sent = True
        try:
            for start in range(0, len(rest), PIECE_BYTES):
                await self._write(data)
                piece = bytes(rest[start : start + PIECE_BYTES])
                data = http.send(h11.Data(data=piece))
            await self._write(_join(data, http.send(h11.EndOfMessage())))
        except OSError:
            self._is_send_broken = True

    async def _write(self, data: bytes | None) -> None:
        self._tcp.write(data or b"")
        if self._tcp.has_unsent:
            await self._tcp.drain()

    async def receive_head(self) -> AnswerHead:
        """Wait for the status and headers of the answer.

        Raises ``AnswerGarbled``, ``AnswerCutOff`` or ``OSError``.
        """
        interim = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            if isinstance(event, h11.Response):
                head = make_head(event)
                self._is_chunked = any(n == TRANSFER_ENCODING for n, _ in head.headers)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise AnswerCutOff("closed without an answer")
            interim += 1
            if interim > MAX_INTERIM_ANSWERS:
                raise AnswerGarbled("too many interim answers")

    def take_body(self) -> BodyPart | None:
        """Return what has arrived of the body, or None if there is nothing new."""
        parts: list[bytes] = []
        while True:
            # Only an answer in chunks has fields behind its body.
            unread = self._http.trailing_data[0] if self._is_chunked else b""
            event = self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                is_closed = self._check_end(unread)
                return BodyPart(b"".join(parts), is_last=True, is_closed=is_closed)
            elif event is h11.NEED_DATA:
                return make_part(parts) if parts else None
            else:
                raise AnswerCutOff("closed within the body")

    def _check_end(self, unread: bytes) -> bool:
        """Return whether the body ended with the connection.

        ``unread`` is what had arrived behind the last piece of a body in chunks.
        """
        # The end of a body with a length or chunks is read before a close.
        behind, is_closed = self._http.trailing_data
        if is_closed and self._is_send_broken:
            raise AnswerCutOff("reset while the request was sent")
        if has_folded_line(unread[: len(unread) - len(behind)]):
            raise AnswerGarbled("a line behind the body begins with a blank")
        return is_closed

    async def receive_body(self) -> BodyPart:
        """Wait for more of the body, after ``take_body`` had nothing.

        Raises ``AnswerGarbled``, ``AnswerCutOff`` or ``OSError``.
        """
        while True:
            await self._receive()
            part = self.take_body()
            if part is not None:
                return part

    def runs_on(self, body: Body) -> bool:
        """Return whether another answer begins within a whole body and ends behind it.

        Then the body broke off, and the other answer filled its length.
        """
        behind, _ = self._http.trailing_data
        if not behind:
            return False
        found = STATUS_LINE.search(bytes(body) + behind[:MAX_STATUS_BYTES])
        return found is not None and found.start() < len(body)

    def begin_next(self) -> bool:
        """Prepare for the next request; return False if the connection is spent.

        It is spent unless the answer ended with no bytes behind it and neither side
        asked to close.
        """
        behind, is_ended = self._http.trailing_data
        if behind or is_ended:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._scanner = HeadScanner()
        self.has_sent = False
        self.is_reused = True
        return True

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may carry another request.

        Bytes that arrived while it was idle, such as a second copy of an answer, belong
        to no request.
        """
        return now < self.idle_until and not self._tcp.has_expired()

    def close(self) -> None:
        """Close, with a reset if bytes of a request were sent on the connection."""
        self._tcp.close(reset=self.has_sent)

    async def _receive(self) -> None:
        received = await self._tcp.receive()
        if not received and self._http.their_state is h11.SEND_RESPONSE:
            raise AnswerCutOff("closed without an answer")
        try:
            self._scanner.feed(received)
        except FoldedLine as error:
            raise AnswerGarbled(str(error)) from error
        self._http.receive_data(received)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            behind, is_ended = self._http.trailing_data
            if is_ended:
                raise AnswerCutOff(str(error)) from error
            raise AnswerGarbled(str(error)) from error


def make_head(event: h11.Response) -> AnswerHead:
    """Return the head of an answer.

    Raises ``AnswerGarbled`` if it has the status line of another one within it.
    """
    headers = list(event.headers)
    for text in (event.reason, *(value for _, value in headers)):
        if b"HTTP/" in text and STATUS_LINE.search(text):
            raise AnswerGarbled("another answer's head within the head")
    return AnswerHead(event.status_code, headers)


def make_part(pieces: list[bytes]) -> BodyPart:
    """Return the part of a body that consists of ``pieces``; more will follow."""
    data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
    return BodyPart(data, is_last=False)


def _join(head: bytes | None, rest: bytes | None) -> bytes:
    return (head or b"") + (rest or b"")
