"""Sends requests to upstreams and tells the reducer how each attempt ends."""

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
from masticdrum.shell.keptconnections import Kept, KeptConnections
from masticdrum.shell.wireform import UpstreamWords, WireForm, drop_hop_headers

CONNECT_S = 0.6  # a lost first packet is sent again after a second, elsewhere is sooner
MAX_ANSWER_BYTES = 8 * 1024 * 1024
PROMISES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421
AttemptEvent = StreamBegun | StreamEventsReceived | AttemptEnded
BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


class CallerRequest(Struct, frozen=True):
    """A caller's request as it is passed on."""

    request: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class UpstreamAnswer(Struct):
    """An upstream's head, and the body of an answer that was read whole."""

    status: int
    headers: Headers
    body: bytes = b""


class UpstreamClient:
    """Runs attempts; ``keep`` takes the answer that an attempt's events speak of."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[AttemptEvent], None],
        form: WireForm,
        keep: Callable[[int, int, UpstreamAnswer], None],
    ) -> None:
        self._keep = keep
        self._nursery = nursery
        self._submit = submit
        self._form = form
        self._scopes: dict[int, trio.CancelScope] = {}
        self.connections = KeptConnections()

    def start(self, effect: StartAttempt, request: CallerRequest) -> None:
        """Begin an attempt; what comes of it arrives as events."""
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
            kept = await self.connections.take(
                effect.address, min(CONNECT_S, effect.left_s)
            )
        except (OSError, trio.TooSlowError) as error:
            return end(effect, AttemptEnd.UNREACHABLE, detail=repr(error))
        try:
            return await self._exchange(effect, request, kept)
        except BROKEN as error:
            await kept.connection.aclose()
            how = AttemptEnd.LOST if kept.stream.offered else AttemptEnd.UNSENT
            if isinstance(error, httpcore.ProtocolError):
                how = AttemptEnd.GARBLED
                if "disconnected without sending" in str(error):
                    how = AttemptEnd.LOST
            return end(effect, how, detail=f"{error!r} reused={kept.reused}")

    async def _exchange(
        self, effect: StartAttempt, request: CallerRequest, kept: Kept
    ) -> AttemptEnded:
        response: httpcore.Response | None = None
        with trio.move_on_after(effect.first_wait_s):
            outgoing = self._describe(effect, request)
            response = await kept.connection.handle_async_request(outgoing)
        if response is None:
            return end(effect, AttemptEnd.SILENT, detail="no answer began")
        headers = [(name.lower(), value) for name, value in response.headers]
        words = self._form.read_upstream(response.status, headers)
        if words.request != request.request:
            await response.aclose()
            await kept.connection.aclose()
            return end(effect, AttemptEnd.FOREIGN, response.status)
        answer = UpstreamAnswer(response.status, drop_hop_headers(headers))
        if words.events and response.status == 200 and words.signed and words.plain:
            ended = await self._read_events(effect, response, answer)
        else:
            ended = await self._read_whole(effect, response, answer, words)
        await response.aclose()
        await self.connections.give(effect.address, kept, words.idle_s)
        return ended

    def _describe(
        self, effect: StartAttempt, request: CallerRequest
    ) -> httpcore.Request:
        headers = self._form.write_upstream(request.headers, effect)
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
        self._keep(effect.handle, effect.attempt, answer)
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
        except BROKEN as error:
            return end(effect, AttemptEnd.LOST, 200, detail=f"mid-stream {error!r}")
        if not splitter.is_whole:
            return end(effect, AttemptEnd.TRUNCATED, 200, detail="part of an event")
        return end(effect, AttemptEnd.ANSWERED, 200, verified=True)

    async def _read_whole(
        self,
        effect: StartAttempt,
        response: httpcore.Response,
        answer: UpstreamAnswer,
        words: UpstreamWords,
    ) -> AttemptEnded:
        try:
            async for data in response.aiter_stream():
                answer.body += data
                if len(answer.body) > MAX_ANSWER_BYTES:
                    return end(effect, AttemptEnd.GARBLED, answer.status)
        except BROKEN as error:
            if words.not_run:
                return self._judge(effect, answer, words)
            return end(effect, AttemptEnd.TRUNCATED, answer.status, detail=repr(error))
        self._keep(effect.handle, effect.attempt, answer)
        return self._judge(effect, answer, words)

    def _judge(
        self, effect: StartAttempt, answer: UpstreamAnswer, words: UpstreamWords
    ) -> AttemptEnded:
        status, weights = answer.status, words.weights
        if status == MISDIRECTED:
            return end(effect, AttemptEnd.MISDIRECTED, status, weights=weights)
        if words.not_run:
            return end(effect, AttemptEnd.REJECTED, status, weights=weights)
        if not words.signed or not words.plain or status in PROMISES:
            return end(effect, AttemptEnd.UNPROVEN, status)
        if status >= 500:
            return end(effect, AttemptEnd.FAULT_ANSWERED, status, verified=True)
        return end(effect, AttemptEnd.ANSWERED, status, verified=True)


def end(
    effect: StartAttempt,
    how: AttemptEnd,
    status: int = 0,
    *,
    verified: bool = False,
    weights: int = 0,
    detail: str = "",
) -> AttemptEnded:
    """Describe the end of an attempt."""
    return AttemptEnded(
        effect.handle, effect.attempt, how, status, verified, weights, detail
    )
