"""A stopping server grants open requests the grace period that is left at the stop."""

import httpcore
import pytest
import trio

from masticdrum.shell.asgi import Receive, Scope, Send, send_whole
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.webserver import run_webserver
from tests.processes.deployment import assign_free_ports
from tests.shell.callers import LIMITS


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
                limits=LIMITS,
                metrics=Metrics(),
            )

    trio.run(run)
    assert answered == ([200] if ends else [])
