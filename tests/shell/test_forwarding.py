"""The HTTP application of the forwarding entry, called over ASGI."""

from collections import deque

import trio

from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import ForwardDisconnected, ForwardRequested, Refuse
from masticdrum.platform.headers import PlatformHeaderCodec
from masticdrum.shell.asgi import Message
from masticdrum.shell.forwardapplication import ForwardApplication
from masticdrum.shell.metrics import Metrics

HEADERS = [(b"host", b"desk.example"), (b"x-request-id", b"r1")]


class Caller:
    """One request over ASGI; ``messages`` are those that the caller sends."""

    def __init__(self, messages: list[Message], headers: list | None = None) -> None:
        self.messages = deque(messages)
        self.sent: list[Message] = []
        self.scope = {
            "type": "http",
            "method": "POST",
            "path": "/a/1",
            "raw_path": b"/a/1",
            "query_string": b"x=%2f",
            "headers": HEADERS if headers is None else headers,
        }

    async def receive(self) -> Message:
        if not self.messages:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        return self.messages.popleft()

    async def send(self, message: Message) -> None:
        self.sent.append(message)

    @property
    def status(self) -> int:
        return self.sent[0]["status"]


BODY: Message = {"type": "http.request", "body": b"abc", "more_body": False}
DISCONNECT: Message = {"type": "http.disconnect"}


def serve(caller: Caller, stalled: bool = False, refuse: bool = True) -> list:
    """Serve one request, refuse it unless told not to, and return the events."""
    events: list = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:

            def submit(event: object) -> None:
                events.append(event)
                if refuse and isinstance(event, ForwardRequested):
                    kind = ErrorKind.NO_UPSTREAM
                    forwarding.deliver(Refuse(event.handle, kind, 503, 0.25))

            forwarding = ForwardApplication(
                nursery,
                submit,
                PlatformHeaderCodec(),
                Metrics(),
                lambda: False,
                CallerLimits,
                lambda: stalled,
            )
            await forwarding.answer(caller.scope, caller.receive, caller.send)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return events


def test_a_refused_request_has_its_target_and_a_fractional_retry_after() -> None:
    caller = Caller([BODY])
    (requested,) = serve(caller)
    assert (requested.host, requested.path, requested.request) == (
        "desk.example",
        "/a/1",
        "r1",
    )
    assert caller.status == 503
    assert (b"retry-after", b"0.250") in caller.sent[0]["headers"]


def test_a_caller_that_left_with_its_request_is_sent_nowhere() -> None:
    assert serve(Caller([BODY, DISCONNECT])) == []


def test_a_disconnect_after_a_stall_is_seen_before_the_request_is_sent() -> None:
    caller = Caller([BODY])

    async def disconnect_late() -> Message:
        if caller.messages:
            return caller.messages.popleft()
        await trio.sleep(0.01)
        return DISCONNECT

    caller.receive = disconnect_late
    assert serve(caller, stalled=True) == []


def test_a_later_disconnect_is_reported_to_the_reducer() -> None:
    caller = Caller([BODY])

    async def disconnect_late() -> Message:
        if caller.messages:
            return caller.messages.popleft()
        await trio.sleep(0.01)
        return DISCONNECT

    caller.receive = disconnect_late
    requested, disconnected = serve(caller, refuse=False)
    assert disconnected == ForwardDisconnected(requested.handle)


def test_two_lengths_are_refused_and_the_connection_is_closed() -> None:
    headers = [*HEADERS, (b"content-length", b"3"), (b"transfer-encoding", b"chunked")]
    caller = Caller([BODY], headers)
    assert serve(caller) == []
    assert caller.status == 400
    assert (b"connection", b"close") in caller.sent[0]["headers"]


def test_a_request_without_an_id_is_refused() -> None:
    caller = Caller([BODY], [(b"host", b"desk.example")])
    assert serve(caller) == []
    assert caller.status == 400


def test_large_headers_and_bodies_are_refused() -> None:
    caller = Caller([BODY], [*HEADERS, (b"x-long", b"a" * 20_000)])
    serve(caller)
    assert caller.status == 431
    large: Message = {"type": "http.request", "body": b"a" * 5_000_000}
    caller = Caller([large])
    serve(caller)
    assert caller.status == 413
