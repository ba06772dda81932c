"""Turns callers' requests into events for the reducer, and its effects into answers."""

from collections.abc import Callable
from itertools import count

import h11
import msgspec
import trio
from msgspec import Struct, field
from returns.result import Failure
from xxhash import xxh3_64

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
from masticdrum.model.resources import ProcessLimits
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber
from masticdrum.shell.asgi import JSON, Headers
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.callerrequests import IncomingRequest, Refusal
from masticdrum.shell.headercodec import CallerHeaders, HeaderCodec, drop_hop_headers
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.upstreamclient import (
    AttemptEvent,
    CallerRequest,
    UpstreamAnswer,
    UpstreamClient,
)

CallerEffect = (
    ForwardAnswer | BeginStream | ForwardEvents | EndStream | AbortStream | Refuse
)
CLOSE: Headers = [(b"connection", b"close")]
CONTENT_LENGTH = b"content-length"
JSON_HEADERS: Headers = [(b"content-type", JSON.encode())]


class OpenRequest(Struct):
    """A caller's request whose answer is not complete."""

    request: CallerRequest
    connection: CallerConnection
    answers: dict[int, UpstreamAnswer] = field(default_factory=dict)


class ForwardApplication:
    """Handles the requests of callers' connections, and takes upstreams' answers."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[ForwardRequested | ForwardDisconnected | AttemptEvent], None],
        codec: HeaderCodec,
        metrics: Metrics,
        is_stopping: Callable[[], bool],
        read_limits: Callable[[], CallerLimits],
        was_stalled: Callable[[], bool],
        limits: ProcessLimits,
    ) -> None:
        self.was_stalled = was_stalled
        self.read_limits = read_limits
        self._submit = submit
        self._codec = codec
        self.upstreams = UpstreamClient(
            nursery,
            submit,
            codec,
            self,
            limits.answer_bytes,
            limits.upstream_connections,
        )
        self._metrics = metrics
        self._is_stopping = is_stopping
        self._open_requests: dict[int, OpenRequest] = {}
        self._handles_by_connection: dict[CallerConnection, int] = {}
        self._handles = count(1)

    # Requests of callers

    def check(self, request: IncomingRequest) -> Refusal | None:
        """Return why a request is refused before its body is read, or None."""
        return check_framing(request, self.read_limits())

    def begin(self, connection: CallerConnection, request: IncomingRequest) -> None:
        """Pass a whole request to the reducer."""
        decoded = self._codec.read_caller(request.headers)
        if isinstance(decoded, Failure):
            refusal = Refusal(ErrorKind.MALFORMED_REQUEST, decoded.failure())
            self.refuse(connection, request, refusal)
            return
        caller_headers = decoded.unwrap()
        handle = next(self._handles)
        forwarded = CallerRequest(
            request=caller_headers.request,
            method=request.method,
            target=request.target,
            headers=drop_hop_headers(request.headers),
            body=request.body,
        )
        self._open_requests[handle] = OpenRequest(forwarded, connection)
        self._handles_by_connection[connection] = handle
        self._submit(make_forward_event(handle, request, caller_headers))

    def abandon(self, connection: CallerConnection) -> None:
        """Tell the reducer that a caller has left before its answer was complete."""
        handle = self._handles_by_connection.get(connection)
        if handle is None:
            return
        self._close(handle)
        self._submit(ForwardDisconnected(handle))

    def refuse(
        self,
        connection: CallerConnection,
        request: IncomingRequest | None,
        refusal: Refusal,
    ) -> None:
        """Answer a request that can't be forwarded, and close the connection."""
        kind = refusal.kind
        path = "" if request is None else get_path(request)
        self._metrics.count(Count(Counter.REFUSALS, kind.value))
        write_event(
            Log(
                LogNumber.EXCHANGE_REFUSED,
                request=read_request_name(self._codec, request),
                detail=f"{kind.value}: {refusal.detail}",
                facts={"status": ANSWERS[kind].status, "path": path},
            )
        )
        value = {"error": kind.value, "text": refusal.detail or ANSWERS[kind].text}
        body = msgspec.json.encode(value)
        headers = JSON_HEADERS + CLOSE + make_retry_headers(ANSWERS[kind].retry_after_s)
        connection.send_whole(ANSWERS[kind].status, headers, body)

    # Effects of the reducer

    def start_attempt(self, effect: StartAttempt) -> None:
        """Send a caller's request to an upstream."""
        open_request = self._open_requests.get(effect.handle)
        if open_request is not None:
            self.upstreams.start(effect, open_request.request)

    def deliver(self, effect: CallerEffect) -> None:
        """Write an effect's part of the answer."""
        open_request = self._open_requests.get(effect.handle)
        if open_request is None:
            return
        try:
            self._write(effect, open_request)
        except h11.LocalProtocolError as error:
            request = open_request.request.request
            log = Log(LogNumber.ANSWER_UNWRITABLE, request=request, detail=str(error))
            write_event(log)
            self._close(effect.handle)
            open_request.connection.abort()
            self._submit(ForwardDisconnected(effect.handle))

    def _write(self, effect: CallerEffect, open_request: OpenRequest) -> None:
        connection = open_request.connection
        match effect:
            case ForwardEvents():
                connection.send_body(effect.events)
            case BeginStream():
                answer = open_request.answers.pop(effect.attempt)
                connection.send_head(answer.status, self._make_head(answer))
            case ForwardAnswer():
                answer = open_request.answers.pop(effect.attempt)
                self._close(effect.handle)
                headers = self._make_head(answer)
                connection.send_whole(answer.status, headers, answer.body)
            case EndStream():
                self._close(effect.handle)
                connection.finish()
            case Refuse():
                self._close(effect.handle)
                self._write_refusal(effect, connection)
            case AbortStream():
                self._close(effect.handle)
                connection.abort()

    def _close(self, handle: int) -> None:
        open_request = self._open_requests.pop(handle, None)
        if open_request is not None:
            del self._handles_by_connection[open_request.connection]

    def _make_head(self, answer: UpstreamAnswer) -> Headers:
        headers = [pair for pair in answer.headers if pair[0] != CONTENT_LENGTH]
        return headers + (CLOSE if self._is_stopping() else [])

    def _write_refusal(self, effect: Refuse, connection: CallerConnection) -> None:
        headers = JSON_HEADERS + (CLOSE if self._is_stopping() else [])
        headers = headers + make_retry_headers(effect.retry_after_s)
        value = {"error": effect.kind.value, "text": ANSWERS[effect.kind].text}
        connection.send_whole(effect.status, headers, msgspec.json.encode(value))

    # What attempts receive

    def store_answer(self, handle: int, attempt: int, answer: UpstreamAnswer) -> None:
        """Keep an answer until the reducer decides what becomes of it."""
        open_request = self._open_requests.get(handle)
        if open_request is not None:
            open_request.answers[attempt] = answer

    def forward_events(self, handle: int, events: bytes, *, hold: bool) -> None:
        """Send a caller further events of its stream, or hold them."""
        open_request = self._open_requests.get(handle)
        if open_request is None:
            return
        if hold:
            open_request.connection.hold()
        open_request.connection.send_body(events)

    def hold(self, handle: int) -> None:
        """Buffer what is written to a caller."""
        open_request = self._open_requests.get(handle)
        if open_request is not None:
            open_request.connection.hold()

    def release(self, handle: int) -> None:
        """Send a caller what was buffered."""
        open_request = self._open_requests.get(handle)
        if open_request is not None:
            open_request.connection.release()

    def is_blocked(self, handle: int) -> bool:
        """Return whether a caller accepts no more events for now."""
        open_request = self._open_requests.get(handle)
        return open_request is not None and open_request.connection.is_blocked

    async def wait_until_sent(self, handle: int) -> None:
        """Wait until a caller has accepted what was sent to it."""
        open_request = self._open_requests.get(handle)
        if open_request is not None:
            await open_request.connection.wait_until_sent()


def make_retry_headers(wait_s: float) -> Headers:
    """Return the header that says when to come back, none for no such time."""
    return [(b"retry-after", f"{wait_s:.3f}".encode())] if wait_s > 0 else []


def check_framing(request: IncomingRequest, limits: CallerLimits) -> Refusal | None:
    """Return why a request is unsafe to forward, or None."""
    headers = request.headers
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.max_header_bytes:
        detail = f"the headers are over {limits.max_header_bytes} bytes"
        return Refusal(ErrorKind.HEADERS_TOO_LARGE, detail)
    names = [name for name, _ in headers]
    if CONTENT_LENGTH in names and b"transfer-encoding" in names:
        detail = "the request has both a content-length and a transfer-encoding"
        return Refusal(ErrorKind.MALFORMED_REQUEST, detail)
    if names.count(b"host") != 1:
        return Refusal(
            ErrorKind.MALFORMED_REQUEST, "the request needs exactly one host header"
        )
    return None


def get_path(request: IncomingRequest) -> str:
    """Return the path of a request without its query."""
    return request.target.partition(b"?")[0].decode("latin-1")


def read_request_name(codec: HeaderCodec, request: IncomingRequest | None) -> str:
    """Return the id of a request, or an empty string if it can't be read."""
    if request is None:
        return ""
    decoded = codec.read_caller(request.headers)
    return "" if isinstance(decoded, Failure) else decoded.unwrap().request


def make_forward_event(
    handle: int, request: IncomingRequest, caller_headers: CallerHeaders
) -> ForwardRequested:
    """Return the event that reports a request to the reducer."""
    host = dict(request.headers)[b"host"].decode("latin-1").lower()
    name, _, port = host.rpartition(":")
    return ForwardRequested(
        handle=handle,
        request=caller_headers.request,
        host=name if name and port.isdigit() else host,
        path=get_path(request),
        arrived=request.arrived,
        key=caller_headers.key,
        deadline_s=caller_headers.deadline_s,
        prompt=caller_headers.prompt,
        last_event=caller_headers.last_event,
        resumes=caller_headers.resumes,
        fingerprint=compute_fingerprint(request, caller_headers.key),
    )


def compute_fingerprint(request: IncomingRequest, key: str) -> int:
    """Return a hash that repeats of a request by the same caller share."""
    digest = xxh3_64()
    for value in (request.method, request.target, key.encode(), request.body):
        digest.update(len(value).to_bytes(8, "big"))
        digest.update(value)
    return digest.intdigest()
