"""A stopping server grants open requests the grace period that is left at the stop."""

import httpcore
import pytest
import trio

from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import ForwardRequested, Refuse
from masticdrum.platform.headers import PlatformHeaderCodec
from masticdrum.shell.asgi import Receive, Scope, Send, send_whole
from masticdrum.shell.forwardapplication import ForwardApplication
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.webserver import run_webserver
from tests.processes.deployment import assign_free_ports


@pytest.mark.parametrize(("grace_s", "ends"), [(5.0, True), (0.05, False)])
def test_open_requests_have_the_grace_that_is_left_at_the_stop(
    grace_s: float, ends: bool
) -> None:
    port = assign_free_ports(["http"])["http"]
    stop = trio.Event()
    answered: list[int] = []

    async def answer(scope: Scope, receive: Receive, send: Send) -> None:
        stop.set()
        await trio.sleep(0.5)
        await send_whole(send, 200, b"whole")

    async def send_request() -> None:
        async with httpcore.AsyncConnectionPool(retries=5) as pool:
            try:
                response = await pool.request("GET", f"http://127.0.0.1:{port}/")
                answered.append(response.status)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request)
            await run_webserver(
                answer,
                f"127.0.0.1:{port}",
                max_header_bytes=1000,
                grace_s=lambda: grace_s,
                until=stop.wait,
            )

    trio.run(run)
    assert answered == ([200] if ends else [])


REQUEST = b"GET /a/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n\r\n"


@pytest.mark.parametrize("stop", [False, True], ids=["idle", "stopping"])
def test_a_connection_is_closed_after_its_answer_once_idle_or_stopping(
    stop: bool,
) -> None:
    """Guards against a connection that stays open after its answer.

    At the end of an answer the server reports to the application that the caller is
    gone. Cancelling the writer on that report left the connection without its idle
    timer; on trouble-2 of shard-addis it took a request 5 s after SIGTERM.
    """
    port = assign_free_ports(["http"])["http"]
    shutdown = trio.Event()
    closed: list[bool] = []

    async def send_request(nursery: trio.Nursery) -> None:
        stream = await open_when_listening(port)
        await stream.send_all(REQUEST)
        assert bytes(await stream.receive_some()).startswith(b"HTTP/1.1 503")
        # Let the server's tasks finish the answer first.
        await trio.sleep(0.1)
        if stop:
            shutdown.set()
        with trio.move_on_after(2.0):
            while await stream.receive_some():
                pass
            closed.append(True)
        nursery.cancel_scope.cancel()

    async def run() -> None:
        async with trio.open_nursery() as nursery:

            def submit(event: object) -> None:
                if isinstance(event, ForwardRequested):
                    kind = ErrorKind.NO_UPSTREAM
                    forwarding.deliver(Refuse(event.handle, kind, 503, 0.25))

            forwarding = ForwardApplication(
                nursery,
                submit,
                PlatformHeaderCodec(),
                Metrics(),
                lambda: False,
                CallerLimits,
                lambda: False,
            )
            nursery.start_soon(send_request, nursery)
            await run_webserver(
                forwarding.answer,
                f"127.0.0.1:{port}",
                max_header_bytes=1000,
                grace_s=5.0,
                until=shutdown.wait,
                read_idle_s=lambda: 60.0 if stop else 0.2,
            )

    trio.run(run)
    assert closed == [True]


async def open_when_listening(port: int) -> trio.SocketStream:
    while True:
        try:
            return await trio.open_tcp_stream("127.0.0.1", port)
        except OSError:
            await trio.sleep(0.01)
