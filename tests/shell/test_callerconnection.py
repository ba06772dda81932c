"""One connection of a caller: what is read, what is answered, when it is closed."""

import pytest
import trio
import trio.testing

from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ErrorKind
from masticdrum.shell import callerconnection
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.tcpconnection import TcpConnection
from tests.shell.callers import (
    REQUEST,
    SMALL,
    WAIT_S,
    FakeCaller,
    FakeHandler,
    make_tcp_pair,
    run_connection,
)

END = b"\r\n0\r\n\r\n"


def answer_ok(connection: CallerConnection) -> None:
    connection.send_whole(200, [(b"x-a", b"1")], b"ok")


@pytest.fixture
def handler() -> FakeHandler:
    handler = FakeHandler()
    handler.answer = answer_ok
    return handler


def test_requests_follow_each_other_on_one_connection(handler: FakeHandler) -> None:
    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        for _ in range(3):
            await caller.send(SMALL)
            assert b"content-length: 2" in (await caller.receive_until(b"ok")).lower()

    run_connection(handler, script)
    assert [request.body for request in handler.requests] == [b"abc"] * 3
    assert handler.requests[0].target == b"/a/1?x=%2f"
    assert (b"host", b"desk.example") in handler.requests[0].headers


def test_pipelined_requests_are_answered_one_after_the_other() -> None:
    handler = FakeHandler()

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL + SMALL.replace(b"abc", b"def"))
        for body in (b"abc", b"def"):
            await handler.arrived.wait()
            handler.arrived = trio.Event()
            assert handler.requests[-1].body == body
            connection.send_whole(200, [], b"to " + body)
            await caller.receive_until(b"to " + body)

    run_connection(handler, script)
    assert len(handler.requests) == 2


def test_a_request_in_pieces_and_chunks_is_read_whole(handler: FakeHandler) -> None:
    chunked = (
        REQUEST + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    )

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        for start in range(0, len(chunked), 7):
            await caller.send(chunked[start : start + 7])
            await trio.sleep(0)
        await caller.receive_until(b"ok")

    run_connection(handler, script)
    assert handler.requests[0].body == b"abc"


def test_a_caller_that_expects_it_is_told_to_continue(handler: FakeHandler) -> None:
    head = REQUEST + b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(head)
        await caller.receive_until(b"HTTP/1.1 100 \r\n\r\n")
        await caller.send(b"abc")
        await caller.receive_until(b"ok")

    run_connection(handler, script)


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"\x00\x01 no request\r\n\r\n", ErrorKind.MALFORMED_REQUEST),
        (REQUEST + b"X-A: " + b"a" * 200_000, ErrorKind.HEADERS_TOO_LARGE),
        (
            REQUEST + b"Content-Length: 99999999\r\n\r\n" + b"a" * 200,
            ErrorKind.BODY_TOO_LARGE,
        ),
    ],
    ids=["no request", "head without end", "body too large"],
)
def test_what_is_no_sound_request_is_refused_and_the_connection_closed(
    data: bytes, kind: ErrorKind
) -> None:
    handler = FakeHandler(CallerLimits(max_body_bytes=100))

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(data)
        received = await caller.receive_all()
        assert b"connection: close" in received.lower()

    run_connection(handler, script)
    assert not handler.requests
    assert [refusal.kind for refusal in handler.refusals] == [kind]


def test_a_head_that_trickles_in_is_given_up() -> None:
    handler = FakeHandler(CallerLimits(header_s=0.1))

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(100):
                await caller.send(b"G")
                await trio.sleep(0.02)

    run_connection(handler, script)
    assert not handler.requests


def test_a_body_that_does_not_arrive_is_refused() -> None:
    handler = FakeHandler(CallerLimits(idle_s=0.1))

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(REQUEST + b"Content-Length: 3\r\n\r\na")
        assert (await caller.receive_all()).startswith(b"HTTP/1.1 400")

    run_connection(handler, script)
    assert handler.refusals[0].detail == "the body did not arrive in time"


def test_an_idle_connection_is_closed_but_not_one_with_an_open_request() -> None:
    handler = FakeHandler(CallerLimits(idle_s=0.1))

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await trio.sleep(0.3)
        connection.send_whole(200, [], b"late")
        await caller.receive_until(b"late")
        with trio.fail_after(0.5):
            assert await caller.receive_all() == b""

    run_connection(handler, script)


def test_a_caller_that_disconnects_abandons_its_request() -> None:
    handler = FakeHandler()

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await handler.arrived.wait()
        await caller.stream.aclose()
        await handler.abandoned.wait()

    run_connection(handler, script)


def test_a_request_whose_caller_has_left_is_not_begun(handler: FakeHandler) -> None:
    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await caller.stream.aclose()
        await trio.testing.wait_all_tasks_blocked()

    run_connection(handler, script)
    assert not handler.requests


def test_a_stream_is_sent_in_pieces_and_its_end_is_marked() -> None:
    handler = FakeHandler()

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await handler.arrived.wait()
        connection.hold()
        connection.send_head(200, [])
        connection.send_body(b"one")
        await trio.sleep(0.02)
        connection.release()
        await caller.receive_until(b"one")
        connection.send_body(b"two")
        await caller.receive_until(b"two")
        connection.finish()
        await caller.receive_until(END)
        await caller.send(SMALL)

    run_connection(handler, script)


def test_an_aborted_stream_looks_incomplete() -> None:
    handler = FakeHandler()

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await handler.arrived.wait()
        connection.send_head(200, [])
        connection.send_body(b"one")
        connection.abort()
        received = await caller.receive_all()
        assert b"one" in received
        assert not received.endswith(END)

    run_connection(handler, script)
    assert not handler.abandoned.is_set()


def test_an_old_caller_gets_a_stream_that_ends_with_its_connection() -> None:
    handler = FakeHandler()

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL.replace(b"HTTP/1.1", b"HTTP/1.0"))
        await handler.arrived.wait()
        connection.send_head(200, [])
        connection.send_body(b"one")
        connection.send_body(b"two")
        connection.finish()
        assert (await caller.receive_all()).endswith(b"\r\n\r\nonetwo")

    run_connection(handler, script)


# Guards against a stream without chunks that looks complete since its entry was killed.
def test_a_stream_to_an_old_caller_is_reset_when_its_entry_ends() -> None:
    handler = FakeHandler()

    async def run() -> None:
        own, other = make_tcp_pair()
        caller = FakeCaller(trio.SocketStream(trio.socket.from_stdlib_socket(other)))
        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as nursery:
                connection = CallerConnection(TcpConnection(own), handler, nursery)
                nursery.start_soon(connection.serve)
                await caller.send(SMALL.replace(b"HTTP/1.1", b"HTTP/1.0"))
                await handler.arrived.wait()
                connection.send_head(200, [])
                connection.send_body(b"id: 1\n\n")
                await caller.receive_until(b"id: 1\n\n")
                nursery.cancel_scope.cancel()
            with pytest.raises(trio.BrokenResourceError):
                await caller.receive_all()

    trio.run(run)


def test_an_answer_to_a_head_request_has_no_body(handler: FakeHandler) -> None:
    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(REQUEST.replace(b"POST", b"HEAD") + b"\r\n")
        received = await caller.receive_until(b"\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 200")
        await caller.send(SMALL)
        assert (await caller.receive_until(b"ok")).startswith(b"HTTP/1.1 200")

    run_connection(handler, script)


def test_a_slow_caller_gets_everything_and_holds_up_its_stream() -> None:
    handler = FakeHandler()
    data = b"x" * 4_000_000

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await handler.arrived.wait()
        connection.send_head(200, [])
        connection.send_body(data)
        assert connection.is_blocked
        connection.finish()
        received = await caller.receive_until(END)
        assert received.count(b"x") == len(data)
        await connection.wait_until_sent()
        assert not connection.is_blocked

    run_connection(handler, script)


def test_a_caller_that_accepts_nothing_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(callerconnection, "WRITE_TIMEOUT_S", 0.1)
    handler = FakeHandler()

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await handler.arrived.wait()
        connection.send_head(200, [])
        connection.send_body(b"x" * 4_000_000)
        await handler.abandoned.wait()

    run_connection(handler, script)


@pytest.mark.parametrize("used", [False, True], ids=["fresh", "used"])
def test_a_stop_closes_an_idle_connection(
    used: bool, handler: FakeHandler, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(callerconnection, "FIRST_REQUEST_S", 0.1)

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        if used:
            await caller.send(SMALL)
            await caller.receive_until(b"ok")
        await trio.testing.wait_all_tasks_blocked()
        connection.stop()
        with trio.fail_after(0.5):
            assert await caller.receive_all() == b""

    run_connection(handler, script)


@pytest.mark.parametrize("used", [False, True], ids=["fresh", "used"])
def test_a_request_on_its_way_at_a_stop_is_answered(
    used: bool, handler: FakeHandler
) -> None:
    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        if used:
            await caller.send(SMALL)
            await caller.receive_until(b"ok")
        await trio.testing.wait_all_tasks_blocked()
        await caller.send(SMALL)
        connection.stop()
        assert b"ok" in await caller.receive_all()

    run_connection(handler, script)


def test_an_open_request_is_answered_after_a_stop_and_its_connection_closed() -> None:
    handler = FakeHandler()

    async def script(caller: FakeCaller, connection: CallerConnection) -> None:
        await caller.send(SMALL)
        await handler.arrived.wait()
        connection.stop()
        await trio.sleep(0.05)
        answer_ok(connection)
        assert (await caller.receive_all()).endswith(b"ok")

    run_connection(handler, script)
