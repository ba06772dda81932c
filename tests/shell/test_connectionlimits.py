"""Which callers' connections close when all together hold too much or are too many."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from masticdrum.core.processlimits import CONNECTION_BYTES
from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ErrorKind
from masticdrum.model.resources import ProcessLimits
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.callerserver import CallerServer
from masticdrum.shell.metrics import Metrics
from tests.processes.deployment import assign_free_ports
from tests.shell.callers import REQUEST, SMALL, FakeCaller, FakeHandler

KIB = 1024
LIMITS = ProcessLimits(
    caller_bytes=400 * KIB,
    max_caller_bytes=400 * KIB,
    answer_bytes=400 * KIB,
    caller_connections=8,
    probe_connections=2,
    upstream_connections=8,
)
Open = Callable[[], Awaitable[FakeCaller]]
Script = Callable[[Open, CallerServer], Awaitable[None]]


def answer_ok(connection: CallerConnection) -> None:
    connection.send_whole(200, [], b"ok")


def run_server(handler: FakeHandler, script: Script) -> Metrics:
    """Run a script with what opens a connection, and the server."""
    address = f"127.0.0.1:{assign_free_ports(['http'])['http']}"
    metrics = Metrics()

    async def open_caller() -> FakeCaller:
        port = int(address.rpartition(":")[2])
        caller = FakeCaller(await trio.open_tcp_stream("127.0.0.1", port))
        await trio.sleep(0.01)
        return caller

    async def run() -> None:
        server = CallerServer({address: handler}, LIMITS, metrics, address)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve, trio.sleep_forever, lambda: 1.0)
                await script(open_caller, server)
                nursery.cancel_scope.cancel()

    trio.run(run)
    return metrics


def make_body(size: int, sent: int) -> bytes:
    return REQUEST + f"Content-Length: {size}\r\n\r\n".encode() + b"a" * sent


def test_the_largest_unfinished_body_is_refused_as_not_run() -> None:
    handler = FakeHandler()
    handler.answer = answer_ok

    async def script(open_caller: Open, server: CallerServer) -> None:
        small, large = await open_caller(), await open_caller()
        await small.send(make_body(100 * KIB, 90 * KIB))
        await large.send(make_body(400 * KIB, 300 * KIB))
        await trio.sleep(0.05)
        other = await open_caller()
        await other.send(make_body(100 * KIB, 90 * KIB))
        assert (await large.receive_all()).startswith(b"HTTP/1.1 503")
        for caller in (small, other):
            await caller.send(b"a" * 10 * KIB)
            await caller.receive_until(b"ok")

    metrics = run_server(handler, script)
    assert [refusal.kind for refusal in handler.refusals] == [ErrorKind.OVERLOADED]
    assert len(handler.requests) == 2
    assert b'connections_total{reason="shed_memory"} 1.0' in metrics.export()


def test_a_caller_that_reads_no_answer_is_closed_without_a_word() -> None:
    """Guards against a refusal that says of a request that ran that it has not."""
    handler = FakeHandler()
    handler.answer = lambda connection: connection.send_whole(200, [], b"x" * 10**7)

    async def script(open_caller: Open, server: CallerServer) -> None:
        caller = await open_caller()
        await caller.send(SMALL)
        await trio.sleep(0.05)
        with pytest.raises(trio.BrokenResourceError):
            await caller.receive_all()
        assert caller.received.count(b"HTTP/1.1") <= 1
        await trio.testing.wait_all_tasks_blocked()
        assert server.limits.held_bytes < CONNECTION_BYTES

    run_server(handler, script)


def test_requests_sent_ahead_wait_until_the_answers_are_read() -> None:
    handler = FakeHandler(CallerLimits(max_header_bytes=10**6))
    handler.answer = lambda connection: connection.send_whole(200, [], b"x" * 100 * KIB)

    async def script(open_caller: Open, server: CallerServer) -> None:
        caller = await open_caller()
        await caller.send(SMALL * 200)
        await trio.sleep(0.2)
        begun = len(handler.requests)
        assert begun < 100
        for _ in range(200):
            await caller.receive_until(b"x" * 100 * KIB)
        assert len(handler.requests) == 200

    run_server(handler, script)


def test_little_is_read_of_requests_sent_ahead() -> None:
    """Guards against more being read with each request than it takes off."""
    handler = FakeHandler()
    handler.answer = answer_ok
    requests = 5000

    async def script(open_caller: Open, server: CallerServer) -> None:
        caller = await open_caller()
        held: list[int] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.send, SMALL * requests)
            while len(handler.requests) < requests:
                held.append(server.limits.held_bytes)
                await caller.receive_until(b"ok")
        assert max(held) < 2 * CONNECTION_BYTES + 32 * KIB

    run_server(handler, script)


def test_connections_that_wait_longest_make_room() -> None:
    handler = FakeHandler(CallerLimits(idle_s=60.0))
    handler.answer = answer_ok

    async def script(open_caller: Open, server: CallerServer) -> None:
        silent = [await open_caller() for _ in range(LIMITS.caller_connections)]
        others = [await open_caller() for _ in range(LIMITS.caller_connections)]
        for caller in others:
            await caller.send(SMALL)
            await caller.receive_until(b"ok")
        assert server.limits.connection_count <= LIMITS.caller_connections
        for caller in silent:
            with pytest.raises(trio.BrokenResourceError):
                await caller.receive_all()
                raise trio.BrokenResourceError  # closed in order

    run_server(handler, script)


def test_open_requests_are_never_closed_for_newcomers() -> None:
    handler = FakeHandler()

    async def script(open_caller: Open, server: CallerServer) -> None:
        callers = [await open_caller() for _ in range(LIMITS.caller_connections)]
        for caller in callers:
            await caller.send(SMALL)
        await trio.sleep(0.05)
        newcomer = await open_caller()
        assert await newcomer.receive_all() == b""
        assert len(handler.requests) == LIMITS.caller_connections
        assert not handler.abandoned.is_set()

    metrics = run_server(handler, script)
    assert b'connections_total{reason="refused"} 1.0' in metrics.export()


def test_a_body_that_is_announced_as_too_large_is_refused_unread() -> None:
    handler = FakeHandler(CallerLimits(max_body_bytes=100))

    async def script(open_caller: Open, server: CallerServer) -> None:
        caller = await open_caller()
        await caller.send(make_body(10**12, 0))
        assert (await caller.receive_all()).startswith(b"HTTP/1.1 413")

    run_server(handler, script)
