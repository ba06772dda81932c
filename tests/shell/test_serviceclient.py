"""Calls to a plain service that breaks off at each byte, or never ends its answer."""

from collections.abc import Callable

import pytest
import trio

from masticdrum.model.agent_events import CallService, ServiceAnswered, ServiceFailed
from masticdrum.model.settings import UpstreamTimeouts
from masticdrum.shell.boundedcall import MAX_ANSWER_BYTES
from masticdrum.shell.serviceclient import ServiceClient
from tests.shell.endless import ENDLESS, EndlessServer
from tests.shell.gateway import UpstreamSide

BODY = b"an answer"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
ANSWERS = {
    "length": HEAD + b"Content-Length: 9\r\n\r\n" + BODY,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    b"4\r\nan a\r\n5;x=y\r\nnswer\r\n0\r\nX-After: 1\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early\r\n\r\n"
    + HEAD
    + b"Content-Length: 9\r\n\r\n"
    + BODY,
    "neither": HEAD + b"Connection: close\r\n\r\n" + BODY,
}
Serve = Callable[[trio.SocketStream], object]


async def call(
    client: ServiceClient, events: dict[str, object], name: str
) -> ServiceAnswered | ServiceFailed:
    client.call(CallService(name, "depot", f"key {name}", b"body"))
    with trio.fail_after(10.0):
        while name not in events:
            await trio.sleep(0.001)
    return events[name]


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("form", ANSWERS)
def test_a_service_that_breaks_off_gives_no_answer(form: str, end: str) -> None:
    """Such a call may have run, so that it fails as sent."""
    answer = ANSWERS[form]
    head_size = answer.index(b"\r\n\r\n", answer.index(b"Content-Type")) + 4
    events: dict[str, object] = {}
    cuts: list[int] = []

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        side = UpstreamSide(stream, "")
        await side.send(answer[: cuts[-1]])
        if end == "close":
            await side.end()
            return
        await trio.sleep(0.002)
        await side.reset()

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"

            def submit(event: ServiceAnswered | ServiceFailed) -> None:
                events[event.attempt] = event

            client = ServiceClient(nursery, submit, url, UpstreamTimeouts())
            for cut in range(len(answer) + 1):
                cuts.append(cut)
                got = await call(client, events, str(cut))
                if form == "neither" and end == "close" and cut >= head_size:
                    assert isinstance(got, ServiceAnswered)
                    assert got.body == answer[head_size:cut]
                elif cut == len(answer) and form != "neither":
                    assert isinstance(got, ServiceAnswered) and got.body == BODY
                else:
                    assert isinstance(got, ServiceFailed) and got.sent
            nursery.cancel_scope.cancel()

    trio.run(run)


# Guards against an agent that runs out of memory over a service's answer without end.
@pytest.mark.parametrize("name", ENDLESS)
def test_a_service_that_answers_without_end_is_given_up(name: str) -> None:
    events: dict[str, object] = {}

    async def run() -> None:
        server = EndlessServer(*ENDLESS[name])
        async with trio.open_nursery() as nursery:
            url = f"http://{await server.listen(nursery)}"

            def submit(event: ServiceAnswered | ServiceFailed) -> None:
                events[event.attempt] = event

            timeouts = UpstreamTimeouts(service_s=3.0)
            client = ServiceClient(nursery, submit, url, timeouts)
            got = await call(client, events, "1")
            assert isinstance(got, ServiceFailed) and got.sent
            with trio.fail_after(5.0):
                await server.closed.wait()
            assert server.sent < MAX_ANSWER_BYTES + 16_000_000
            nursery.cancel_scope.cancel()

    trio.run(run)
