"""Sends requests to upstreams and reports to the reducer how each attempt ends.

The reducer decides on a stream's first events and on its end. The events between them
go straight to the caller.
"""

from collections.abc import Callable
from typing import Protocol

import h11
import trio
from msgspec import Struct
from msgspec.structs import replace

from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    StartAttempt,
    StopAttempt,
    StreamBegun,
    StreamEventsReceived,
)
from masticdrum.shell.asgi import Body, Headers
from masticdrum.shell.bufferbudget import MAX_BUFFERED_BYTES, BufferBudget
from masticdrum.shell.eventsplitter import EventSplitter, EventTooLong
from masticdrum.shell.headercodec import HeaderCodec, UpstreamHeaders, drop_hop_headers
from masticdrum.shell.supervision import log_failure
from masticdrum.shell.upstreamconnection import (
    AnswerCutOff,
    AnswerGarbled,
    AnswerHead,
    BodyPart,
    UpstreamConnection,
)
from masticdrum.shell.upstreampool import UpstreamConnectionPool

# A lost SYN is sent again after a second; another upstream answers sooner.
CONNECT_S = 0.6
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Statuses which state that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421
REFUSALS = frozenset({AttemptEnd.REJECTED, AttemptEnd.MISDIRECTED})
METHODS_WITHOUT_BODY = (b"GET", b"HEAD")
AttemptEvent = StreamBegun | StreamEventsReceived | AttemptEnded
CONNECTION_ERRORS = (
    OSError,
    trio.ClosedResourceError,
    h11.LocalProtocolError,
    AnswerCutOff,
    AnswerGarbled,
)


class CallerRequest(Struct, frozen=True):
    """A caller's request to be forwarded."""

    request: str
    method: bytes
    target: bytes
    headers: Headers
    body: Body


class UpstreamAnswer(Struct):
    """An upstream's status and headers, and the body unless it is streamed."""

    status: int
    headers: Headers
    body: Body = b""


class AnswerSink(Protocol):
    """Takes what attempts receive; ``handle`` is that of the caller's request.

    What is held is sent together with what follows, or with ``release``.
    """

    def store_answer(self, handle: int, attempt: int, answer: UpstreamAnswer) -> None:
        """Keep an answer until the reducer decides what becomes of it."""

    def forward_events(self, handle: int, events: bytes, *, hold: bool) -> None:
        """Send a caller further events of its stream, or hold them."""

    def hold(self, handle: int) -> None:
        """Buffer what is written to a caller."""

    def release(self, handle: int) -> None:
        """Send a caller what was buffered."""

    def is_blocked(self, handle: int) -> bool:
        """Return whether a caller accepts no more events for now."""

    async def wait_until_sent(self, handle: int) -> None:
        """Wait until a caller has accepted what was sent to it."""


class UpstreamClient:
    """Runs attempts and reports their progress as events."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[AttemptEvent], None],
        codec: HeaderCodec,
        sink: AnswerSink,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
        max_connections: int | None = None,
    ) -> None:
        self._sink = sink
        self._nursery = nursery
        self._submit = submit
        self._codec = codec
        self._scopes: dict[int, trio.CancelScope] = {}
        self._budget = BufferBudget(max_buffered_bytes)
        self.connections = UpstreamConnectionPool(max_connections)

    def start(self, effect: StartAttempt, request: CallerRequest) -> None:
        """Begin an attempt; its progress is reported as events."""
        scope = self._scopes[effect.attempt] = trio.CancelScope()
        self._nursery.start_soon(self._run, effect, request, scope)

    def stop(self, effect: StopAttempt) -> None:
        """Close the connection of an attempt."""
        scope = self._scopes.get(effect.attempt)
        if scope is not None:
            scope.cancel()

    async def _run(
        self, effect: StartAttempt, request: CallerRequest, scope: trio.CancelScope
    ) -> None:
        ended: AttemptEnded | None = None
        try:
            with scope:
                ended = await self._attempt(effect, request, scope)
        except Exception as error:
            log_failure("attempt", error, request.request)
            ended = make_ended(effect, AttemptEnd.GARBLED, detail=repr(error))
        finally:
            del self._scopes[effect.attempt]
            self._budget.release(effect.attempt)
        if ended is not None and not scope.cancel_called:
            self._submit(ended)
            self._sink.release(effect.handle)

    async def _attempt(
        self, effect: StartAttempt, request: CallerRequest, scope: trio.CancelScope
    ) -> AttemptEnded:
        self.connections.close_surplus(len(self._scopes))
        try:
            connection = await self.connections.acquire(
                effect.address, min(CONNECT_S, effect.left_s), request.request
            )
        except (OSError, trio.TooSlowError) as error:
            return make_ended(effect, AttemptEnd.UNREACHABLE, detail=repr(error))
        is_finished = False
        try:
            ended, idle_s = await self._exchange(effect, request, connection, scope)
            is_finished = True
        except CONNECTION_ERRORS as error:
            detail = f"{error!r} reused={connection.is_reused}"
            return make_ended(effect, classify_error(connection, error), detail=detail)
        finally:
            if not is_finished:
                connection.close()
        if ended.end in REFUSALS:
            connection.refused.add(request.request)
        self.connections.release(effect.address, connection, idle_s)
        return ended

    async def _exchange(
        self,
        effect: StartAttempt,
        request: CallerRequest,
        connection: UpstreamConnection,
        scope: trio.CancelScope,
    ) -> tuple[AttemptEnded, float | None]:
        """Return how the attempt ended, and the upstream's idle timeout."""
        head: AnswerHead | None = None
        with trio.move_on_after(effect.first_wait_s):
            await connection.send_request(
                request.method,
                request.target,
                self._make_headers(effect, request),
                request.body,
            )
            head = await connection.receive_head()
        if head is None:
            detail = "no answer within the time limit"
            return make_ended(effect, AttemptEnd.SILENT, detail=detail), 0.0
        upstream_headers = self._codec.read_upstream(head.status, head.headers)
        if upstream_headers.request != request.request:
            return make_ended(effect, AttemptEnd.FOREIGN, head.status), 0.0
        answer = UpstreamAnswer(head.status, drop_hop_headers(head.headers))
        if (
            upstream_headers.events
            and head.status == 200
            and upstream_headers.signed
            and upstream_headers.plain
        ):
            begun = StreamBegun(
                effect.handle,
                effect.attempt,
                upstream_headers.limit_per_s,
                upstream_headers.leaving,
            )
            ended = await self._read_events(
                effect, connection, answer, scope, begun, request.request
            )
        else:
            ended = await self._read_whole(effect, connection, answer, upstream_headers)
            ended = replace(
                ended,
                limit_per_s=upstream_headers.limit_per_s,
                leaving=upstream_headers.leaving,
                pause_s=upstream_headers.pause_s,
            )
        return ended, upstream_headers.idle_s

    def _make_headers(self, effect: StartAttempt, request: CallerRequest) -> Headers:
        headers = self._codec.write_upstream(request.headers, effect)
        if request.body or request.method not in METHODS_WITHOUT_BODY:
            headers.append((b"content-length", str(len(request.body)).encode()))
        return headers

    async def _read_events(
        self,
        effect: StartAttempt,
        connection: UpstreamConnection,
        answer: UpstreamAnswer,
        scope: trio.CancelScope,
        begun: StreamBegun,
        request: str,
    ) -> AttemptEnded:
        self._sink.store_answer(effect.handle, effect.attempt, answer)
        forwarder = StreamForwarder(effect, self._submit, self._sink, self._budget)
        forwarder.begin(begun)
        try:
            part = connection.take_body()
            if part is None:
                self._sink.release(effect.handle)
                part = await connection.receive_body()
            while not scope.cancel_called:
                forwarder.forward(part.data, hold=part.is_last)
                if forwarder.fault:
                    connection.close()
                    return forwarder.make_ended(
                        AttemptEnd.GARBLED, detail=forwarder.fault
                    )
                if part.is_last:
                    break
                if self._sink.is_blocked(effect.handle):
                    await self._sink.wait_until_sent(effect.handle)
                part = await connection.receive_body()
        except EventTooLong as error:
            connection.close()
            return forwarder.make_ended(AttemptEnd.GARBLED, detail=str(error))
        except CONNECTION_ERRORS as error:
            connection.close()
            detail = f"mid-stream {error!r}"
            return forwarder.make_ended(AttemptEnd.LOST, detail=detail)
        except Exception as error:
            connection.close()
            log_failure("stream", error, request)
            return forwarder.make_ended(AttemptEnd.GARBLED, detail=repr(error))
        if not forwarder.is_whole(part):
            detail = "the stream ended within an event, or closed before the first"
            return forwarder.make_ended(AttemptEnd.TRUNCATED, detail=detail)
        return forwarder.make_ended(AttemptEnd.ANSWERED, verified=True)

    async def _read_whole(
        self,
        effect: StartAttempt,
        connection: UpstreamConnection,
        answer: UpstreamAnswer,
        upstream_headers: UpstreamHeaders,
    ) -> AttemptEnded:
        body = bytearray()
        try:
            part = connection.take_body()
            while True:
                if part is None:
                    part = await connection.receive_body()
                body += part.data
                size = len(body)
                is_kept = size <= MAX_ANSWER_BYTES
                if not is_kept or not self._budget.try_resize(effect.attempt, size):
                    detail = f"an answer of {size} bytes and more"
                    connection.close()
                    return make_ended(
                        effect, AttemptEnd.GARBLED, answer.status, detail=detail
                    )
                if part.is_last:
                    break
                part = None
        except CONNECTION_ERRORS as error:
            connection.close()
            if upstream_headers.not_run:
                return self._classify_answer(effect, answer, upstream_headers)
            return make_ended(
                effect, AttemptEnd.TRUNCATED, answer.status, detail=repr(error)
            )
        answer.body = body
        if connection.runs_on(answer.body) and not upstream_headers.not_run:
            connection.close()
            detail = "another answer begins within the body"
            return make_ended(effect, AttemptEnd.GARBLED, answer.status, detail=detail)
        self._sink.store_answer(effect.handle, effect.attempt, answer)
        return self._classify_answer(effect, answer, upstream_headers)

    def _classify_answer(
        self,
        effect: StartAttempt,
        answer: UpstreamAnswer,
        upstream_headers: UpstreamHeaders,
    ) -> AttemptEnded:
        status, weights = answer.status, upstream_headers.weights
        if status == MISDIRECTED:
            return make_ended(effect, AttemptEnd.MISDIRECTED, status, weights=weights)
        if upstream_headers.not_run:
            return make_ended(effect, AttemptEnd.REJECTED, status, weights=weights)
        if (
            not upstream_headers.signed
            or not upstream_headers.plain
            or status in NOT_RUN_STATUSES
        ):
            return make_ended(effect, AttemptEnd.UNPROVEN, status)
        if status >= 500:
            return make_ended(effect, AttemptEnd.FAULT_ANSWERED, status, verified=True)
        return make_ended(effect, AttemptEnd.ANSWERED, status, verified=True)


class StreamForwarder:
    """Forwards the whole events of one attempt's stream.

    The first ones pass through the reducer, which forwards nothing of an attempt that
    it has stopped.
    """

    __slots__ = ("_budget", "_effect", "_has_events", "_sink", "_splitter", "_submit")

    def __init__(
        self,
        effect: StartAttempt,
        submit: Callable[[AttemptEvent], None],
        sink: AnswerSink,
        budget: BufferBudget,
    ) -> None:
        self._budget = budget
        self._effect = effect
        self._submit = submit
        self._sink = sink
        self._splitter = EventSplitter()
        self._has_events = False

    def is_whole(self, last: BodyPart) -> bool:
        """Return whether the stream ends with a complete event.

        One without any is whole only if more than a close says that it has ended.
        """
        return self._splitter.is_whole and (self._has_events or not last.is_closed)

    @property
    def fault(self) -> str:
        """Why what followed the events is none of the stream, or an empty string."""
        return self._splitter.fault

    def begin(self, begun: StreamBegun) -> None:
        """Report the start of the stream; its head is sent with what follows at once.

        The caller of this method releases what is held.
        """
        self._sink.hold(begun.handle)
        self._submit(begun)

    def forward(self, data: bytes, *, hold: bool) -> None:
        """Forward the events that ``data`` completes; raises ``EventTooLong``.

        With ``hold`` they are sent together with what follows.
        """
        whole = self._splitter.feed(data)
        kept = self._splitter.kept_bytes
        if not self._budget.try_resize(self._effect.attempt, kept):
            raise EventTooLong(f"{kept} bytes and more without an end")
        if not whole:
            return
        handle = self._effect.handle
        if self._has_events:
            self._sink.forward_events(handle, whole, hold=hold)
            return
        self._has_events = True
        if hold:
            self._sink.hold(handle)
        self._submit(
            StreamEventsReceived(
                handle, self._effect.attempt, whole, self._splitter.last_event
            )
        )
        if not hold:
            self._sink.release(handle)

    def make_ended(
        self, how: AttemptEnd, *, verified: bool = False, detail: str = ""
    ) -> AttemptEnded:
        """Return the event for the end of the stream."""
        return AttemptEnded(
            self._effect.handle,
            self._effect.attempt,
            how,
            200,
            verified,
            detail=detail,
            last_event=self._splitter.last_event,
        )


def classify_error(connection: UpstreamConnection, error: Exception) -> AttemptEnd:
    """Return how an attempt ended whose connection failed before the answer's body."""
    if isinstance(error, AnswerGarbled):
        return AttemptEnd.GARBLED
    return AttemptEnd.LOST if connection.has_sent else AttemptEnd.UNSENT


def make_ended(
    effect: StartAttempt,
    how: AttemptEnd,
    status: int = 0,
    *,
    verified: bool = False,
    weights: int = 0,
    detail: str = "",
) -> AttemptEnded:
    """Return the event for the end of an attempt."""
    return AttemptEnded(
        effect.handle, effect.attempt, how, status, verified, weights, detail
    )
