"""Sends requests to upstreams and reports to the reducer how each attempt ends."""

from collections.abc import Callable

import httpcore
import trio
from msgspec import Struct

from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    StartAttempt,
    StopAttempt,
    StreamBegun,
    StreamEventsReceived,
)
from masticdrum.shell.asgi import Headers
from masticdrum.shell.eventsplitter import EventSplitter
from masticdrum.shell.headercodec import HeaderCodec, UpstreamHeaders, drop_hop_headers
from masticdrum.shell.upstreampool import PooledConnection, UpstreamConnectionPool

# A lost SYN is sent again after a second; another upstream answers sooner.
CONNECT_S = 0.6
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Statuses which state that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421
AttemptEvent = StreamBegun | StreamEventsReceived | AttemptEnded
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


class CallerRequest(Struct, frozen=True):
    """A caller's request to be forwarded."""

    request: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class UpstreamAnswer(Struct):
    """An upstream's status and headers, and the body unless it is streamed."""

    status: int
    headers: Headers
    body: bytes = b""


class UpstreamClient:
    """Runs attempts; ``store_answer`` receives the answer that events refer to."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[AttemptEvent], None],
        codec: HeaderCodec,
        store_answer: Callable[[int, int, UpstreamAnswer], None],
    ) -> None:
        self._store_answer = store_answer
        self._nursery = nursery
        self._submit = submit
        self._codec = codec
        self._scopes: dict[int, trio.CancelScope] = {}
        self.connections = UpstreamConnectionPool()

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
                ended = await self._attempt(effect, request)
        finally:
            del self._scopes[effect.attempt]
        if ended is not None:
            self._submit(ended)

    async def _attempt(
        self, effect: StartAttempt, request: CallerRequest
    ) -> AttemptEnded:
        try:
            pooled = await self.connections.acquire(
                effect.address, min(CONNECT_S, effect.left_s)
            )
        except (OSError, trio.TooSlowError) as error:
            return make_ended(effect, AttemptEnd.UNREACHABLE, detail=repr(error))
        try:
            return await self._exchange(effect, request, pooled)
        except CONNECTION_ERRORS as error:
            await pooled.connection.aclose()
            how = AttemptEnd.LOST if pooled.stream.has_sent else AttemptEnd.UNSENT
            if isinstance(error, httpcore.ProtocolError):
                how = AttemptEnd.GARBLED
                if "disconnected without sending" in str(error):
                    how = AttemptEnd.LOST
            return make_ended(effect, how, detail=f"{error!r} reused={pooled.reused}")

    async def _exchange(
        self, effect: StartAttempt, request: CallerRequest, pooled: PooledConnection
    ) -> AttemptEnded:
        response: httpcore.Response | None = None
        with trio.move_on_after(effect.first_wait_s):
            outgoing = self._make_request(effect, request)
            response = await pooled.connection.handle_async_request(outgoing)
        if response is None:
            return make_ended(
                effect, AttemptEnd.SILENT, detail="no answer within the time limit"
            )
        headers = [(name.lower(), value) for name, value in response.headers]
        upstream_headers = self._codec.read_upstream(response.status, headers)
        if upstream_headers.request != request.request:
            await response.aclose()
            await pooled.connection.aclose()
            return make_ended(effect, AttemptEnd.FOREIGN, response.status)
        answer = UpstreamAnswer(response.status, drop_hop_headers(headers))
        if (
            upstream_headers.events
            and response.status == 200
            and upstream_headers.signed
            and upstream_headers.plain
        ):
            ended = await self._read_events(effect, response, answer)
        else:
            ended = await self._read_whole(effect, response, answer, upstream_headers)
        await response.aclose()
        await self.connections.release(effect.address, pooled, upstream_headers.idle_s)
        return ended

    def _make_request(
        self, effect: StartAttempt, request: CallerRequest
    ) -> httpcore.Request:
        headers = self._codec.write_upstream(request.headers, effect)
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        host, _, port = effect.address.rpartition(":")
        url = httpcore.URL(
            scheme=b"http", host=host.encode(), port=int(port), target=request.target
        )
        content = request.body or None
        return httpcore.Request(request.method, url, headers=headers, content=content)

    async def _read_events(
        self, effect: StartAttempt, response: httpcore.Response, answer: UpstreamAnswer
    ) -> AttemptEnded:
        self._store_answer(effect.handle, effect.attempt, answer)
        self._submit(StreamBegun(effect.handle, effect.attempt))
        splitter = EventSplitter()
        try:
            async for data in response.aiter_stream():
                whole = splitter.feed(data)
                if whole:
                    event = StreamEventsReceived(
                        effect.handle, effect.attempt, whole, splitter.last_event
                    )
                    self._submit(event)
        except CONNECTION_ERRORS as error:
            return make_ended(
                effect, AttemptEnd.LOST, 200, detail=f"mid-stream {error!r}"
            )
        if not splitter.is_whole:
            return make_ended(
                effect,
                AttemptEnd.TRUNCATED,
                200,
                detail="the stream ended within an event",
            )
        return make_ended(effect, AttemptEnd.ANSWERED, 200, verified=True)

    async def _read_whole(
        self,
        effect: StartAttempt,
        response: httpcore.Response,
        answer: UpstreamAnswer,
        upstream_headers: UpstreamHeaders,
    ) -> AttemptEnded:
        try:
            async for data in response.aiter_stream():
                answer.body += data
                if len(answer.body) > MAX_ANSWER_BYTES:
                    return make_ended(effect, AttemptEnd.GARBLED, answer.status)
        except CONNECTION_ERRORS as error:
            if upstream_headers.not_run:
                return self._classify_answer(effect, answer, upstream_headers)
            return make_ended(
                effect, AttemptEnd.TRUNCATED, answer.status, detail=repr(error)
            )
        self._store_answer(effect.handle, effect.attempt, answer)
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
