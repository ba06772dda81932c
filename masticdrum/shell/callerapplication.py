"""The entry's HTTP application for callers."""

from collections.abc import Awaitable, Callable
from hashlib import sha256
from math import ceil
from uuid import uuid4

import trio
from returns.result import Failure

from masticdrum.model.entry_events import (
    CallerDisconnected,
    CallRequested,
    CompletionRequested,
    SendAnswer,
    SendEnd,
    SendRefusal,
    SendTokens,
)
from masticdrum.model.errors import ANSWERS, ErrorKind, Outcome
from masticdrum.model.settings import EntryLimits
from masticdrum.model.telemetry import Count, Counter
from masticdrum.shell.answers import (
    DONE,
    describe_chunk,
    describe_error,
    encode_event,
)
from masticdrum.shell.asgi import (
    Headers,
    Receive,
    Scope,
    Send,
    get_header_values,
    send_chunk,
    send_head,
    send_json,
    send_whole,
)
from masticdrum.shell.callerchannel import CallerChannel
from masticdrum.shell.callerrequests import Refusal
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.requestbody import parse_completion, read_body

EVENT_STREAM: Headers = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]
MAX_KEY_BYTES = 255
CallerEvent = CompletionRequested | CallRequested | CallerDisconnected
CallerEffect = SendTokens | SendEnd | SendAnswer | SendRefusal


class CallerStalled(Exception):
    """A caller did not read its answer within the write timeout."""


class CallerApplication:
    """Turns callers' requests into events, and effects into HTTP answers."""

    def __init__(
        self,
        submit: Callable[[CallerEvent], None],
        credentials: dict[str, str],
        limits: EntryLimits,
        metrics: Metrics,
    ) -> None:
        self._submit = submit
        self._credentials = credentials
        self._limits = limits
        self._metrics = metrics
        self._channels: dict[str, CallerChannel[CallerEffect]] = {}

    def deliver(self, effect: CallerEffect) -> None:
        """Pass an effect to the caller's task; ignored if the caller disconnected."""
        channel = self._channels.get(effect.request)
        if channel is not None:
            channel.put(effect)

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request of a caller."""
        refusal = self._check_headers(scope)
        if refusal is not None:
            await self._refuse(scope, send, refusal)
            return
        path = str(scope["path"])
        if scope["method"] == "POST" and path == "/v1/completions":
            await self._answer_completion(scope, receive, send)
            return
        route = parse_call_route(path)
        if scope["method"] == "POST" and route:
            await self._answer_call(scope, receive, send, route)
            return
        detail = f"{scope['method']} {path} does not exist"
        await self._refuse(scope, send, Refusal(ErrorKind.ROUTE_UNKNOWN, detail))

    async def _answer_completion(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        body = await read_body(receive, self._limits)
        parsed = body.bind(parse_completion)
        if isinstance(parsed, Failure):
            await self._refuse(scope, send, parsed.failure())
            return
        completion = parsed.unwrap()
        request = uuid4().hex
        event = CompletionRequested(
            request=request,
            workspace=self._find_workspace(scope),
            route=completion.model,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            stream=completion.stream,
        )
        write = self._write_stream if completion.stream else self._write_whole
        await self._serve(event, receive, send, write)

    async def _answer_call(
        self, scope: Scope, receive: Receive, send: Send, route: str
    ) -> None:
        body = await read_body(receive, self._limits)
        if isinstance(body, Failure):
            await self._refuse(scope, send, body.failure())
            return
        keys = get_header_values(scope, b"idempotency-key")
        key = keys[0].decode("latin-1") if keys else ""
        event = CallRequested(
            request=uuid4().hex,
            workspace=self._find_workspace(scope),
            route=route,
            key=key,
            body=body.unwrap(),
        )
        await self._serve(event, receive, send, self._write_whole)

    async def _serve(
        self,
        event: CompletionRequested | CallRequested,
        receive: Receive,
        send: Send,
        write: Callable[..., Awaitable[None]],
    ) -> None:
        channel: CallerChannel[CallerEffect] = CallerChannel()
        self._channels[event.request] = channel
        answered = False

        async def write_answer(scope: trio.CancelScope) -> None:
            nonlocal answered
            try:
                await write(event, channel, send)
                answered = True
            except CallerStalled:
                answered = False
            scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                self._submit(event)
                nursery.start_soon(write_answer, nursery.cancel_scope)
                await wait_until_disconnected(receive)
                nursery.cancel_scope.cancel()
        finally:
            del self._channels[event.request]
            if not answered:
                self._submit(CallerDisconnected(event.request))

    async def _write_stream(
        self,
        event: CompletionRequested,
        channel: CallerChannel[CallerEffect],
        send: Send,
    ) -> None:
        head_sent = False
        while True:
            effects = await channel.get_all()
            last = effects[-1]
            if not head_sent and isinstance(last, SendRefusal) and len(effects) == 1:
                await self._write_refusal(send, last)
                return
            if not head_sent:
                await send_head(send, 200, EVENT_STREAM)
                head_sent = True
            body = b"".join(encode_effects(event, effects))
            more = isinstance(last, SendTokens)
            await self._send_in_time(send, body, more=more)
            if not more:
                return

    async def _write_whole(
        self,
        event: CompletionRequested | CallRequested,
        channel: CallerChannel[CallerEffect],
        send: Send,
    ) -> None:
        texts: list[str] = []
        while True:
            for effect in await channel.get_all():
                match effect:
                    case SendTokens():
                        texts += effect.tokens
                    case SendEnd():
                        chunk = describe_chunk(
                            event.request, event.route, "".join(texts), effect
                        )
                        await send_json(send, 200, chunk)
                        return
                    case SendAnswer():
                        await self._write_answer(send, effect)
                        return
                    case SendRefusal():
                        await self._write_refusal(send, effect)
                        return

    async def _send_in_time(self, send: Send, body: bytes, *, more: bool) -> None:
        with trio.move_on_after(self._limits.write_timeout_s) as scope:
            await send_chunk(send, body, more=more)
        if scope.cancelled_caught:
            raise CallerStalled

    async def _write_answer(self, send: Send, effect: SendAnswer) -> None:
        replayed = b"true" if effect.replayed else b"false"
        await send_whole(
            send,
            effect.status,
            effect.body,
            content_type=effect.content_type,
            extra=[(b"idempotent-replayed", replayed)],
        )

    async def _write_refusal(self, send: Send, effect: SendRefusal) -> None:
        value = describe_error(effect.kind, effect.outcome, effect.retry_after_s)
        extra: Headers = []
        if effect.retry_after_s > 0:
            extra = [(b"retry-after", str(ceil(effect.retry_after_s)).encode())]
        await send_json(send, ANSWERS[effect.kind].status, value, extra=extra)

    async def _refuse(self, scope: Scope, send: Send, refusal: Refusal) -> None:
        self._metrics.count(Count(Counter.REFUSALS, refusal.kind.value))
        # An earlier request with the same key may have run; it isn't looked up here.
        keyed = bool(get_header_values(scope, b"idempotency-key"))
        outcome = Outcome.UNKNOWN if keyed else Outcome.NOT_RUN
        value = describe_error(refusal.kind, outcome, 0.0, refusal.detail)
        extra: Headers = []
        if refusal.kind is ErrorKind.BODY_TOO_LARGE:
            extra = [(b"connection", b"close")]
        await send_json(send, ANSWERS[refusal.kind].status, value, extra=extra)

    def _check_headers(self, scope: Scope) -> Refusal | None:
        headers = scope["headers"]
        size = sum(len(name) + len(value) for name, value in headers)
        if size > self._limits.max_header_bytes:
            detail = f"the headers are over {self._limits.max_header_bytes} bytes"
            return Refusal(ErrorKind.HEADERS_TOO_LARGE, detail)
        for name in (b"authorization", b"idempotency-key", b"content-type"):
            if len(get_header_values(scope, name)) > 1:
                detail = f"the header '{name.decode()}' occurs more than once"
                return Refusal(ErrorKind.MALFORMED_REQUEST, detail)
        for key in get_header_values(scope, b"idempotency-key"):
            if not 0 < len(key) <= MAX_KEY_BYTES or not key.isascii():
                detail = (
                    f"the header 'idempotency-key' is not 1-{MAX_KEY_BYTES} ASCII bytes"
                )
                return Refusal(ErrorKind.MALFORMED_REQUEST, detail)
        if not self._find_workspace(scope):
            return Refusal(ErrorKind.UNAUTHENTICATED)
        return None

    def _find_workspace(self, scope: Scope) -> str:
        for value in get_header_values(scope, b"authorization"):
            scheme, _, token = value.partition(b" ")
            if scheme.lower() == b"bearer":
                return self._credentials.get(sha256(token).hexdigest(), "")
        return ""


def parse_call_route(path: str) -> str:
    """Return the route in a path ``/v1/routes/ROUTE/calls``, or an empty string."""
    parts = path.split("/")
    if len(parts) != 5 or parts[:3] != ["", "v1", "routes"] or parts[4] != "calls":
        return ""
    return parts[3]


def encode_effects(
    event: CompletionRequested, effects: list[CallerEffect]
) -> list[bytes]:
    """Return the server-sent events for effects, with all tokens in one event."""
    tokens = [
        t for item in effects if isinstance(item, SendTokens) for t in item.tokens
    ]
    events: list[bytes] = []
    if tokens:
        chunk = describe_chunk(event.request, event.route, "".join(tokens))
        events.append(encode_event(chunk))
    last = effects[-1]
    match last:
        case SendEnd():
            chunk = describe_chunk(event.request, event.route, "", last)
            events += [encode_event(chunk), DONE]
        case SendRefusal():
            error = describe_error(last.kind, last.outcome, last.retry_after_s)
            events.append(encode_event(error))
        case _:
            pass
    return events


async def wait_until_disconnected(receive: Receive) -> None:
    """Wait until the caller closes its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
