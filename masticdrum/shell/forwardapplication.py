"""The HTTP application of an entry that forwards callers' requests."""

from collections.abc import Callable
from itertools import count

import trio
from msgspec import Struct, field
from returns.result import Failure

from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ANSWERS, ErrorKind
from masticdrum.model.exchange import (
    AbortStream,
    BeginStream,
    EndStream,
    ForwardAnswer,
    ForwardDisconnected,
    ForwardEvents,
    ForwardRequested,
    Refuse,
    StartAttempt,
)
from masticdrum.model.settings import EntryLimits
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber
from masticdrum.shell.asgi import (
    Headers,
    Receive,
    Scope,
    Send,
    get_header_values,
    send_chunk,
    send_head,
    send_json,
)
from masticdrum.shell.callerapplication import wait_until_disconnected
from masticdrum.shell.callerchannel import CallerChannel
from masticdrum.shell.clock import read_clock
from masticdrum.shell.headercodec import CallerHeaders, HeaderCodec, drop_hop_headers
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.requestbody import Refusal, read_body
from masticdrum.shell.upstreamclient import (
    AttemptEvent,
    CallerRequest,
    UpstreamAnswer,
    UpstreamClient,
)

CallerEffect = (
    ForwardAnswer | BeginStream | ForwardEvents | EndStream | AbortStream | Refuse
)
# The server's tasks need four checkpoints to read a close and report it.
DISCONNECT_CHECKPOINTS = 6
# After a freeze of the machine, closes arrive one round trip late.
STALL_DISCONNECT_S = 0.03
CLOSE: Headers = [(b"connection", b"close")]


class OpenRequest(Struct):
    """A caller's request whose answer is not complete."""

    request: CallerRequest
    channel: CallerChannel[CallerEffect]
    answers: dict[int, UpstreamAnswer] = field(default_factory=dict)


class ForwardApplication:
    """Turns callers' requests into events, and effects into HTTP answers."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[ForwardRequested | ForwardDisconnected | AttemptEvent], None],
        codec: HeaderCodec,
        metrics: Metrics,
        is_stopping: Callable[[], bool],
        read_limits: Callable[[], CallerLimits],
        was_stalled: Callable[[], bool],
    ) -> None:
        self._was_stalled = was_stalled
        self._submit = submit
        self._codec = codec
        self.upstreams = UpstreamClient(nursery, submit, codec, self._store_answer)
        self._metrics = metrics
        self._is_stopping = is_stopping
        self._read_limits = read_limits
        self._open_requests: dict[int, OpenRequest] = {}
        self._handles = count(1)

    def start_attempt(self, effect: StartAttempt) -> None:
        """Send a caller's request to an upstream."""
        open_request = self._open_requests.get(effect.handle)
        if open_request is not None:
            self.upstreams.start(effect, open_request.request)

    def _store_answer(self, handle: int, attempt: int, answer: UpstreamAnswer) -> None:
        open_request = self._open_requests.get(handle)
        if open_request is not None:
            open_request.answers[attempt] = answer

    def deliver(self, effect: CallerEffect) -> None:
        """Pass an effect to the caller's task."""
        open_request = self._open_requests.get(effect.handle)
        if open_request is not None:
            open_request.channel.put(effect)

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request of a caller."""
        arrived = read_clock()
        limits = self._read_limits()
        refusal = check_framing(scope, limits)
        decoded = self._codec.read_caller(scope["headers"])
        if refusal is None and isinstance(decoded, Failure):
            refusal = Refusal(ErrorKind.MALFORMED_REQUEST, decoded.failure())
        if refusal is not None:
            await self._refuse(scope, send, refusal, "")
            return
        caller_headers = decoded.unwrap()
        bounds = EntryLimits(
            max_body_bytes=limits.max_body_bytes, read_timeout_s=limits.idle_s
        )
        body = await read_body(receive, bounds)
        if isinstance(body, Failure):
            if body.failure().kind is not ErrorKind.CALLER_GONE:
                await self._refuse(scope, send, body.failure(), caller_headers.request)
            return
        handle = next(self._handles)
        request = CallerRequest(
            request=caller_headers.request,
            method=str(scope["method"]).encode(),
            target=build_target(scope),
            headers=drop_hop_headers(scope["headers"]),
            body=body.unwrap(),
        )
        self._open_requests[handle] = OpenRequest(request, CallerChannel())
        await self._serve(
            make_forward_event(handle, scope, caller_headers, arrived), receive, send
        )

    async def _serve(
        self, event: ForwardRequested, receive: Receive, send: Send
    ) -> None:
        open_request = self._open_requests[event.handle]
        disconnected = submitted = ended = False

        async def write_answer(scope: trio.CancelScope) -> None:
            nonlocal ended
            await self._write(open_request, send)
            ended = True
            scope.cancel()

        async def watch_caller(scope: trio.CancelScope) -> None:
            nonlocal disconnected
            await wait_until_disconnected(receive)
            disconnected = True
            scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_caller, nursery.cancel_scope)
                await self._await_early_disconnect()
                if not disconnected:
                    submitted = True
                    self._submit(event)
                    nursery.start_soon(write_answer, nursery.cancel_scope)
        finally:
            del self._open_requests[event.handle]
            if submitted and not ended:
                self._submit(ForwardDisconnected(event.handle))

    async def _await_early_disconnect(self) -> None:
        """Give the server time to report that the caller has already disconnected.

        After a stall, the kernel holds requests whose callers disconnected long ago;
        they must not be sent to an upstream.
        """
        for _ in range(DISCONNECT_CHECKPOINTS):
            await trio.lowlevel.checkpoint()
        if self._was_stalled():
            await trio.sleep(STALL_DISCONNECT_S)

    async def _write(self, open_request: OpenRequest, send: Send) -> None:
        while True:
            for effect in join_events(await open_request.channel.get_all()):
                if await self._write_effect(open_request, effect, send):
                    return

    async def _write_effect(
        self, open_request: OpenRequest, effect: CallerEffect, send: Send
    ) -> bool:
        """Write an effect's part of the answer; return whether it was the last."""
        match effect:
            case ForwardEvents():
                await send_chunk(send, effect.events, more=True)
                return False
            case BeginStream():
                answer = open_request.answers.pop(effect.attempt)
                await send_head(send, answer.status, self._make_head(answer))
                return False
            case ForwardAnswer():
                answer = open_request.answers.pop(effect.attempt)
                length = (b"content-length", str(len(answer.body)).encode())
                headers = [*self._make_head(answer), length]
                await send_head(send, answer.status, headers)
                await send_chunk(send, answer.body, more=False)
            case EndStream():
                await send_chunk(send, b"", more=False)
            case Refuse():
                await self._write_refusal(send, effect)
            case AbortStream():
                # The server closes the connection, since the answer has no end.
                pass
        return True

    def _make_head(self, answer: UpstreamAnswer) -> Headers:
        headers = [pair for pair in answer.headers if pair[0] != b"content-length"]
        return headers + (CLOSE if self._is_stopping() else [])

    async def _write_refusal(self, send: Send, effect: Refuse) -> None:
        extra: Headers = CLOSE if self._is_stopping() else []
        if effect.retry_after_s > 0:
            wait = f"{effect.retry_after_s:.3f}".encode()
            extra = [*extra, (b"retry-after", wait)]
        value = {"error": effect.kind.value, "text": ANSWERS[effect.kind].text}
        await send_json(send, effect.status, value, extra=extra)

    async def _refuse(
        self, scope: Scope, send: Send, refusal: Refusal, request: str
    ) -> None:
        kind = refusal.kind
        self._metrics.count(Count(Counter.REFUSALS, kind.value))
        write_event(
            Log(
                LogNumber.EXCHANGE_REFUSED,
                request=request,
                detail=f"{kind.value}: {refusal.detail}",
                facts={"status": ANSWERS[kind].status, "path": str(scope["path"])},
            )
        )
        value = {"error": kind.value, "text": refusal.detail or ANSWERS[kind].text}
        await send_json(send, ANSWERS[kind].status, value, extra=CLOSE)


def check_framing(scope: Scope, limits: CallerLimits) -> Refusal | None:
    """Return why a request is unsafe to forward, or None."""
    headers = scope["headers"]
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.max_header_bytes:
        detail = f"the headers are over {limits.max_header_bytes} bytes"
        return Refusal(ErrorKind.HEADERS_TOO_LARGE, detail)
    lengths = get_header_values(scope, b"content-length")
    if lengths and get_header_values(scope, b"transfer-encoding"):
        detail = "the request has both a content-length and a transfer-encoding"
        return Refusal(ErrorKind.MALFORMED_REQUEST, detail)
    if len(get_header_values(scope, b"host")) != 1:
        return Refusal(
            ErrorKind.MALFORMED_REQUEST, "the request needs exactly one host header"
        )
    return None


def build_target(scope: Scope) -> bytes:
    """Return the request target as the caller sent it."""
    query = scope["query_string"]
    path: bytes = scope["raw_path"]
    return path + b"?" + query if query else path


def make_forward_event(
    handle: int, scope: Scope, caller_headers: CallerHeaders, arrived: float
) -> ForwardRequested:
    """Return the event that reports a request to the reducer."""
    host = get_header_values(scope, b"host")[0].decode("latin-1").lower()
    name, _, port = host.rpartition(":")
    return ForwardRequested(
        handle=handle,
        request=caller_headers.request,
        host=name if name and port.isdigit() else host,
        path=scope["raw_path"].decode("latin-1"),
        arrived=arrived,
        key=caller_headers.key,
        deadline_s=caller_headers.deadline_s,
        prompt=caller_headers.prompt,
        last_event=caller_headers.last_event,
    )


def join_events(effects: list[CallerEffect]) -> list[CallerEffect]:
    """Join the stream events of consecutive effects, to write them at once."""
    joined: list[CallerEffect] = []
    for item in effects:
        last = joined[-1] if joined else None
        if isinstance(item, ForwardEvents) and isinstance(last, ForwardEvents):
            joined[-1] = ForwardEvents(item.handle, last.events + item.events)
        else:
            joined.append(item)
    return joined
