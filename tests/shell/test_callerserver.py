"""A server of callers' connections: what a stop does to each of them."""

import socket

import pytest
import trio
import trio.testing

from masticdrum.model.directory import CallerLimits
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.callerserver import CallerServer
from masticdrum.shell.metrics import Metrics
from tests.processes.deployment import assign_free_ports
from tests.shell.callers import LIMITS, SMALL, FakeCaller, FakeHandler

CALLERS = 40


async def open_caller(port: int) -> FakeCaller:
    return FakeCaller(await trio.open_tcp_stream("127.0.0.1", port))


def run_server(handler: FakeHandler, script, grace_s: float = 5.0) -> None:
    """Run a script with the port of a server and the event that stops it."""
    port = assign_free_ports(["http"])["http"]
    address = f"127.0.0.1:{port}"
    stop = trio.Event()

    async def run() -> None:
        server = CallerServer({address: handler}, LIMITS, Metrics(), address)
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve, stop.wait, lambda: grace_s)
                await script(port, stop)

    trio.run(run)


def answer_ok(connection: CallerConnection) -> None:
    connection.send_whole(200, [], b"ok")


@pytest.mark.parametrize("stopping", [False, True], ids=["idle", "stopping"])
def test_a_connection_is_closed_after_its_answer_once_idle_or_stopping(
    stopping: bool,
) -> None:
    """Guards against a connection that stays open after its answer.

    One that had lost its idle timer took a request 5 s after SIGTERM.
    """
    handler = FakeHandler(CallerLimits(idle_s=60.0 if stopping else 0.2))
    handler.answer = answer_ok

    async def script(port: int, stop: trio.Event) -> None:
        caller = await open_caller(port)
        await caller.send(SMALL)
        await caller.receive_until(b"ok")
        if stopping:
            stop.set()
        with trio.fail_after(1.0):
            assert await caller.receive_all() == b""
        stop.set()

    run_server(handler, script)


def test_requests_accepted_just_before_a_stop_are_answered() -> None:
    """Guards against accepted requests that a planned stop cuts off."""
    handler = FakeHandler()
    handler.answer = answer_ok
    answered: list[bytes] = []

    async def script(port: int, stop: trio.Event) -> None:
        sockets = []
        for _ in range(CALLERS):
            raw_socket = socket.create_connection(("127.0.0.1", port))
            raw_socket.sendall(SMALL)
            sockets.append(trio.socket.from_stdlib_socket(raw_socket))
        stop.set()  # no connection has been accepted yet
        for raw_socket in sockets:
            caller = FakeCaller(trio.SocketStream(raw_socket))
            answered.append(await caller.receive_all())

    run_server(handler, script)
    assert len(answered) == CALLERS
    assert all(answer.endswith(b"ok") for answer in answered)


def test_an_open_request_outlasts_a_stop_within_the_grace_period() -> None:
    handler = FakeHandler()

    async def script(port: int, stop: trio.Event) -> None:
        caller = await open_caller(port)
        await caller.send(SMALL)
        await handler.arrived.wait()
        stop.set()
        await trio.sleep(0.2)
        assert handler.connection is not None
        answer_ok(handler.connection)
        assert (await caller.receive_all()).endswith(b"ok")

    run_server(handler, script)


def test_an_open_request_ends_with_the_grace_period() -> None:
    handler = FakeHandler()

    async def script(port: int, stop: trio.Event) -> None:
        caller = await open_caller(port)
        await caller.send(SMALL)
        await handler.arrived.wait()
        stop.set()
        await caller.receive_all()
        await handler.abandoned.wait()

    run_server(handler, script, grace_s=0.1)


def test_a_failing_handler_ends_one_connection_alone() -> None:
    handler = FakeHandler()

    def fail(connection: CallerConnection) -> None:
        raise ZeroDivisionError

    async def script(port: int, stop: trio.Event) -> None:
        handler.answer = fail
        caller = await open_caller(port)
        await caller.send(SMALL)
        assert await caller.receive_all() == b""
        handler.answer = answer_ok
        caller = await open_caller(port)
        await caller.send(SMALL)
        await caller.receive_until(b"ok")
        stop.set()

    run_server(handler, script)
