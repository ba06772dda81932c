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
from tests.platform.oddobjects import ODD_SPECS, ODD_VALUES
from tests.shell.endless import ENDLESS, EndlessServer

BORN = 1767225600000
REPORT = json.dumps({"models": [{"name": "m1", "version": 3}], "born": BORN}).encode()


@asynccontextmanager
async def serve_report(
    listener: trio.SocketListener, report: bytes = REPORT
) -> AsyncIterator[None]:
    """Answer each connection's first request with the report."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(report)}\r\n\r\n"
        await stream.send_all(head.encode() + report)

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
    assert reported == EngineReported({"m1": 3}, BORN)


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


# Each field has a default, and others aren't looked at.
SOUND_SPECS = {"an empty object", "bytes that aren't UTF-8"}
ODD_REPORTS = {
    **{k: v for k, v in ODD_SPECS.items() if k not in SOUND_SPECS},
    **ODD_VALUES,
    **{f"{k} in an unread field": b'{"more":%s}' % v for k, v in ODD_VALUES.items()},
    "a negative version": b'{"models":[{"name":"m1","version":-3}]}',
    "a version of 400 digits": b'{"models":[{"name":"m1","version":%s}]}'
    % (b"9" * 400),
    "a sequence of 5,000 digits": b'{"sequence":%s}' % (b"9" * 5000),
}


# Guards against an agent that ends at its engine's report since that is nested deeply
# (RecursionError) or has a number too large.
@pytest.mark.parametrize("report", ODD_REPORTS.values(), ids=ODD_REPORTS)
def test_an_odd_report_of_an_engine_is_one_that_cant_be_read(report: bytes) -> None:
    submitted: list[object] = []

    async def run() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        settings = EngineControllerSettings(
            "side-1", "north", f"127.0.0.1:{port}", "", ""
        )
        engine = Engine(submitted.append, settings)
        async with serve_report(listener, report):
            assert await engine.read_report() is None

    trio.run(run)
    (lost,) = submitted
    assert isinstance(lost, SourceLost) and "can't be decoded" in lost.reason


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
