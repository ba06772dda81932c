"""An agent's client of its engine, which is not reachable at first."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest
import trio

from masticdrum.core.enginecontroller import EngineReported
from masticdrum.model.cluster_events import Source, SourceLost, SourceRegained
from masticdrum.model.settings import EngineControllerSettings
from masticdrum.platform.engine import Engine
from tests.shell.endless import ENDLESS, EndlessServer

REPORT = json.dumps({"models": [{"name": "m1", "version": 3}]}).encode()


@asynccontextmanager
async def serve_report(listener: trio.SocketListener) -> AsyncIterator[None]:
    """Answer each connection's first request with the report."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(REPORT)}\r\n\r\n"
        await stream.send_all(head.encode() + REPORT)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, answer, [listener])
        yield
        nursery.cancel_scope.cancel()


def test_loss_and_return_of_an_engine_are_reported_once_each() -> None:
    submitted: list[object] = []

    async def run() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        await listener.aclose()
        settings = EngineControllerSettings(
            "side-1", "north", f"127.0.0.1:{port}", "", ""
        )
        engine = Engine(submitted.append, settings)
        assert await engine.read_report() is None
        assert await engine.read_report() is None
        (listener,) = await trio.open_tcp_listeners(port, host="127.0.0.1")
        async with serve_report(listener):
            assert await engine.read_report() is not None

    trio.run(run)
    lost, regained, reported = submitted
    assert isinstance(lost, SourceLost) and lost.source is Source.ENGINE
    assert isinstance(regained, SourceRegained)
    assert reported == EngineReported({"m1": 3})


# Guards against an agent that runs out of memory over its engine's report without end.
@pytest.mark.parametrize("name", ENDLESS)
def test_a_report_without_end_is_given_up(name: str) -> None:
    submitted: list[object] = []

    async def run() -> None:
        server = EndlessServer(*ENDLESS[name])
        async with trio.open_nursery() as nursery:
            address = await server.listen(nursery)
            settings = EngineControllerSettings("side-1", "north", address, "", "")
            engine = Engine(submitted.append, settings)
            assert await engine.read_report() is None
            with trio.fail_after(5.0):
                await server.closed.wait()
            assert server.sent < 20_000_000  # kernel buffers take most of it
            nursery.cancel_scope.cancel()

    trio.run(run)
    (lost,) = submitted
    assert isinstance(lost, SourceLost) and lost.source is Source.ENGINE


# Guards against an agent that takes the second copy of a report for the answer to its
# next call, and is one answer behind from then on.
def test_a_second_copy_of_a_report_answers_no_later_call() -> None:
    submitted: list[object] = []
    served = connections = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal served, connections
        connections += 1
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                served += 1
                report = {"models": [{"name": "m1", "version": served}]}
                body = json.dumps(report).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                await stream.send_all((head + body) * (2 if served == 1 else 1))

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            settings = EngineControllerSettings("side-1", "north", address, "", "")
            engine = Engine(submitted.append, settings)
            for _ in range(4):
                await engine.read_report()
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert submitted == [EngineReported({"m1": n}) for n in (1, 2, 3, 4)]
    assert connections == 2  # the others are used again
