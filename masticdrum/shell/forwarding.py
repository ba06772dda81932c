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
    find_header,
    send_chunk,
    send_head,
    send_json,
)
from masticdrum.shell.callerchannel import CallerChannel
from masticdrum.shell.callers import wait_until_gone
from masticdrum.shell.clock import read_clock
from masticdrum.shell.journal import write_event
from masticdrum.shell.meters import Meters
from masticdrum.shell.requestbody import Refusal, read_body
from masticdrum.shell.upstreamclient import (
    AttemptEvent,
    CallerRequest,
    UpstreamAnswer,
    UpstreamClient,
)
from masticdrum.shell.wireform import CallerWords, WireForm, drop_hop_headers

Given = ForwardAnswer | BeginStream | ForwardEvents | EndStream | AbortStream | Refuse
SETTLE_CHECKPOINTS = 6  # the server's tasks need four to read a close and pass it on
SETTLE_STALLED_S = 0.03  # closes reach a machine that was frozen a round trip later
CLOSE: Headers = [(b"connection", b"close")]


class Open(Struct):
    """A caller's request that has no final answer yet."""

    request: CallerRequest
    channel: CallerChannel[Given]
    answers: dict[int, UpstreamAnswer] = field(default_factory=dict)


class Forwarding:
    """Turns callers' requests into events, and effects into answers."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[ForwardRequested | ForwardDisconnected | AttemptEvent], None],
        form: WireForm,
        meters: Meters,
        is_stopping: Callable[[], bool],
        read_limits: Callable[[], CallerLimits],
        was_stalled: Callable[[], bool],
    ) -> None:
        self._was_stalled = was_stalled
        self._submit = submit
        self._form = form
        self.upstreams = UpstreamClient(nursery, submit, form, self._keep_answer)
        self._meters = meters
        self._is_stopping = is_stopping
        self._read_limits = read_limits
        self._open: dict[int, Open] = {}
        self._handles = count(1)

    def start_attempt(self, effect: StartAttempt) -> None:
        """Send a caller's request to an upstream."""
        opened = self._open.get(effect.handle)
        if opened is not None:
            self.upstreams.start(effect, opened.request)

    def _keep_answer(self, handle: int, attempt: int, answer: UpstreamAnswer) -> None:
        opened = self._open.get(handle)
        if opened is not None:
            opened.answers[attempt] = answer

    def give(self, given: Given) -> None:
        """Pass an effect to the caller's task."""
        opened = self._open.get(given.handle)
        if opened is not None:
            opened.channel.give(given)

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request of a caller."""
        arrived = read_clock()
        limits = self._read_limits()
        refusal = check_framing(scope, limits)
        words = self._form.read_caller(scope["headers"])
        if refusal is None and isinstance(words, Failure):
            refusal = Refusal(ErrorKind.MALFORMED_REQUEST, words.failure())
        if refusal is not None:
            await self._refuse(scope, send, refusal, "")
            return
        said = words.unwrap()
        bounds = EntryLimits(
            max_body_bytes=limits.max_body_bytes, read_timeout_s=limits.idle_s
        )
        body = await read_body(receive, bounds)
        if isinstance(body, Failure):
            if body.failure().kind is not ErrorKind.CALLER_GONE:
                await self._refuse(scope, send, body.failure(), said.request)
            return
        handle = next(self._handles)
        request = CallerRequest(
            request=said.request,
            method=str(scope["method"]).encode(),
            target=find_target(scope),
            headers=drop_hop_headers(scope["headers"]),
            body=body.unwrap(),
        )
        self._open[handle] = Open(request, CallerChannel())
        await self._serve(describe_asked(handle, scope, said, arrived), receive, send)

    async def _serve(
        self, asked: ForwardRequested, receive: Receive, send: Send
    ) -> None:
        opened = self._open[asked.handle]
        gone = asked_for = ended = False

        async def write_answer(scope: trio.CancelScope) -> None:
            nonlocal ended
            await self._write(opened, send)
            ended = True
            scope.cancel()

        async def watch_caller(scope: trio.CancelScope) -> None:
            nonlocal gone
            await wait_until_gone(receive)
            gone = True
            scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_caller, nursery.cancel_scope)
                await self._settle()
                if not gone:
                    asked_for = True
                    self._submit(asked)
                    nursery.start_soon(write_answer, nursery.cancel_scope)
        finally:
            del self._open[asked.handle]
            if asked_for and not ended:
                self._submit(ForwardDisconnected(asked.handle))

    async def _settle(self) -> None:
        """Let a close that came with the request be seen before the request is sent.

        After a stall, requests lie in the kernel whose callers have long left.
        """
        for _ in range(SETTLE_CHECKPOINTS):
            await trio.lowlevel.checkpoint()
        if self._was_stalled():
            await trio.sleep(SETTLE_STALLED_S)

    async def _write(self, opened: Open, send: Send) -> None:
        while True:
            for given in join_events(await opened.channel.take()):
                if await self._write_one(opened, given, send):
                    return

    async def _write_one(self, opened: Open, given: Given, send: Send) -> bool:
        """Write what was given; returns whether it was the last."""
        match given:
            case ForwardEvents():
                await send_chunk(send, given.events, more=True)
                return False
            case BeginStream():
                answer = opened.answers.pop(given.attempt)
                await send_head(send, answer.status, self._make_head(answer))
                return False
            case ForwardAnswer():
                answer = opened.answers.pop(given.attempt)
                length = (b"content-length", str(len(answer.body)).encode())
                headers = [*self._make_head(answer), length]
                await send_head(send, answer.status, headers)
                await send_chunk(send, answer.body, more=False)
            case EndStream():
                await send_chunk(send, b"", more=False)
            case Refuse():
                await self._write_refusal(send, given)
            case AbortStream():
                # The server closes the connection of an answer left without its end.
                pass
        return True

    def _make_head(self, answer: UpstreamAnswer) -> Headers:
        headers = [pair for pair in answer.headers if pair[0] != b"content-length"]
        return headers + (CLOSE if self._is_stopping() else [])

    async def _write_refusal(self, send: Send, given: Refuse) -> None:
        extra: Headers = CLOSE if self._is_stopping() else []
        if given.retry_after_s > 0:
            wait = f"{given.retry_after_s:.3f}".encode()
            extra = [*extra, (b"retry-after", wait)]
        value = {"error": given.kind.value, "text": ANSWERS[given.kind].text}
        await send_json(send, given.status, value, extra=extra)

    async def _refuse(
        self, scope: Scope, send: Send, refusal: Refusal, request: str
    ) -> None:
        kind = refusal.kind
        self._meters.count(Count(Counter.REFUSALS, kind.value))
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
    """Find what makes a request unsafe to pass on."""
    headers = scope["headers"]
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.max_header_bytes:
        detail = f"the headers are over {limits.max_header_bytes} bytes"
        return Refusal(ErrorKind.HEADERS_TOO_LARGE, detail)
    lengths = find_header(scope, b"content-length")
    if lengths and find_header(scope, b"transfer-encoding"):
        detail = "the request has both a content-length and a transfer-encoding"
        return Refusal(ErrorKind.MALFORMED_REQUEST, detail)
    if len(find_header(scope, b"host")) != 1:
        return Refusal(ErrorKind.MALFORMED_REQUEST, "the request needs one host")
    return None


def find_target(scope: Scope) -> bytes:
    """Return the request target as the caller sent it."""
    query = scope["query_string"]
    path: bytes = scope["raw_path"]
    return path + b"?" + query if query else path


def describe_asked(
    handle: int, scope: Scope, words: CallerWords, arrived: float
) -> ForwardRequested:
    """Describe a request for the reducer."""
    host = find_header(scope, b"host")[0].decode("latin-1").lower()
    name, _, port = host.rpartition(":")
    return ForwardRequested(
        handle=handle,
        request=words.request,
        host=name if name and port.isdigit() else host,
        path=scope["raw_path"].decode("latin-1"),
        arrived=arrived,
        key=words.key,
        deadline_s=words.deadline_s,
        prompt=words.prompt,
        last_event=words.last_event,
    )


def join_events(given: list[Given]) -> list[Given]:
    """Join events that wait together, so that they leave in one piece."""
    joined: list[Given] = []
    for item in given:
        last = joined[-1] if joined else None
        if isinstance(item, ForwardEvents) and isinstance(last, ForwardEvents):
            joined[-1] = ForwardEvents(item.handle, last.events + item.events)
        else:
            joined.append(item)
    return joined
