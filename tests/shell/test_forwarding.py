"""The application of the forwarding entry, called over a caller's connection."""

import pytest
import trio

from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import (
    BeginStream,
    ForwardDisconnected,
    ForwardRequested,
    Refuse,
)
from masticdrum.platform.headers import PlatformHeaderCodec
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.callerrequests import IncomingRequest
from masticdrum.shell.forwardapplication import (
    ForwardApplication,
    compute_fingerprint,
)
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.upstreamclient import UpstreamAnswer
from tests.shell.callers import LIMITS, REQUEST, SMALL, FakeCaller, run_connection


class Forwarding:
    """An application without upstreams; it refuses requests if it is told to."""

    def __init__(self, *, refuse: bool = True, stalled: bool = False) -> None:
        self.events: list = []
        self.refuse = refuse
        self.application = ForwardApplication(
            None,  # no attempt is started
            self.submit,
            PlatformHeaderCodec(),
            Metrics(),
            lambda: False,
            CallerLimits,
            lambda: stalled,
            LIMITS,
        )

    def submit(self, event: object) -> None:
        self.events.append(event)
        if self.refuse and isinstance(event, ForwardRequested):
            kind = ErrorKind.NO_UPSTREAM
            self.application.deliver(Refuse(event.handle, kind, 503, 0.25))

    def receive_answer(self, data: bytes) -> bytes:
        """Return the answer to ``data`` and to a close that follows."""
        received = b""

        async def script(caller: FakeCaller, connection: CallerConnection) -> None:
            nonlocal received
            await caller.send(data)
            received = await caller.receive_until(b"}")

        run_connection(self.application, script)
        return received


def test_a_refused_request_has_its_target_and_a_fractional_retry_after() -> None:
    forwarding = Forwarding()
    received = forwarding.receive_answer(SMALL)
    (requested,) = forwarding.events
    assert (requested.host, requested.path, requested.request) == (
        "desk.example",
        "/a/1",
        "r1",
    )
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 0.250\r\n" in received.lower()


def test_a_caller_that_left_with_its_request_is_sent_nowhere() -> None:
    forwarding = Forwarding()

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await caller.stream.aclose()
        await trio.sleep(0.05)

    run_connection(forwarding.application, script)
    assert forwarding.events == []


def test_a_disconnect_after_a_stall_is_seen_before_the_request_is_sent() -> None:
    forwarding = Forwarding(stalled=True)

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await trio.sleep(0.01)
        await caller.stream.aclose()
        await trio.sleep(0.1)

    run_connection(forwarding.application, script)
    assert forwarding.events == []


def test_a_later_disconnect_is_reported_to_the_reducer() -> None:
    forwarding = Forwarding(refuse=False)

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await trio.sleep(0.02)
        await caller.stream.aclose()
        await trio.sleep(0.05)

    run_connection(forwarding.application, script)
    requested, disconnected = forwarding.events
    assert disconnected == ForwardDisconnected(requested.handle)


def test_an_answer_that_cannot_be_written_ends_its_request() -> None:
    forwarding = Forwarding(refuse=False)

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await trio.sleep(0.02)
        (requested,) = forwarding.events
        answer = UpstreamAnswer(200, [(b"x-a", b"line\nbreak")])
        forwarding.application.store_answer(requested.handle, 1, answer)
        forwarding.application.deliver(BeginStream(requested.handle, 1))
        assert await caller.receive_all() == b""

    run_connection(forwarding.application, script)
    requested, disconnected = forwarding.events
    assert disconnected == ForwardDisconnected(requested.handle)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (REQUEST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (SMALL.replace(b"X-Request-Id: r1\r\n", b""), 400),
        (SMALL.replace(b"Host:", b"Host: a\r\nHost:"), 400),
        (SMALL.replace(b"\r\n\r\n", b"\r\nX-A: " + b"a" * 20_000 + b"\r\n\r\n"), 431),
        (
            REQUEST + b"Content-Length: 5000000\r\n\r\n" + b"a" * 5_000_000,
            413,
        ),
    ],
    ids=["two lengths", "no id", "two hosts", "large headers", "large body"],
)
def test_an_unsound_request_is_refused_and_its_connection_closed(
    data: bytes, status: int
) -> None:
    forwarding = Forwarding()
    received = forwarding.receive_answer(data)
    assert received.startswith(f"HTTP/1.1 {status}".encode())
    assert b"connection: close\r\n" in received.lower()
    assert forwarding.events == []


# Guards against repeats of a crashing request that aren't known as such, and against
# other requests that are taken for it.
def test_only_repeats_by_the_same_caller_share_a_fingerprint() -> None:
    def fingerprint(key: str = "k", **changes: object) -> int:
        values: dict[str, object] = {
            "method": b"POST",
            "target": b"/a/1?x=2",
            "headers": [(b"host", b"desk.example")],
            "body": b"body",
            "arrived": 1.0,
        }
        return compute_fingerprint(IncomingRequest(**{**values, **changes}), key)

    assert fingerprint() == fingerprint(arrived=2.0)
    others = [
        fingerprint(key="l"),
        fingerprint(body=b"bod"),
        fingerprint(target=b"/a/1?x=3"),
        fingerprint(method=b"PUT"),
        fingerprint(target=b"/a/1?x=2b", body=b"ody"),
    ]
    assert len({fingerprint(), *others}) == 6
