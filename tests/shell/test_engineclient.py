"""A model engine that breaks off at each byte of a run's stream, or never ends it."""

from typing import Any

import pytest
import trio
import trio.testing

from masticdrum.model.agent_events import (
    LoadReported,
    ResumeRun,
    RunEnded,
    RunFailed,
    RunTokens,
)
from masticdrum.model.settings import UpstreamTimeouts
from masticdrum.shell.boundedcall import MAX_ANSWER_BYTES
from masticdrum.shell.engineclient import EngineClient
from tests.shell.endless import ENDLESS, EndlessServer
from tests.shell.gateway import UpstreamSide

LINES = (
    b'{"first": 0, "tokens": ["a"]}\n{"first": 1, "tokens": ["b"]}\n{"end":"length"}\n'
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
STREAMS = {
    "length": HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(LINES), LINES),
    "chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(LINES), LINES),
    "neither": HEAD + b"Connection: close\r\n\r\n" + LINES,
}


# Guards against runs that end as complete although their engine broke off.
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("form", STREAMS)
def test_a_run_ends_as_complete_only_with_its_last_line(form: str, end: str) -> None:
    answer = STREAMS[form]
    last_line = answer.index(b'"length"}\n') + len(b'"length"}\n')
    events: dict[str, list[Any]] = {}

    async def serve(stream: trio.SocketStream) -> None:
        target = bytes(await stream.receive_some()).split()[1]
        cut = int(target.removeprefix(b"/runs/").partition(b"?")[0])
        side = UpstreamSide(stream, "")
        await side.send(answer[:cut])
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
            ended = trio.Event()

            def submit(event: Any) -> None:
                events.setdefault(event.attempt, []).append(event)
                if isinstance(event, RunEnded | RunFailed):
                    ended.set()

            client = EngineClient(nursery, submit, url, UpstreamTimeouts())
            for cut in range(len(answer) + 1):
                ended = trio.Event()
                client.resume(ResumeRun(str(cut), 0))
                with trio.fail_after(5.0):
                    await ended.wait()
            nursery.cancel_scope.cancel()

    trio.run(run)
    for cut in range(len(answer) + 1):
        *tokens, last = events[str(cut)]
        assert isinstance(last, RunEnded if cut >= last_line else RunFailed)
        assert isinstance(last, RunEnded) or last.ran
        assert [e.tokens for e in tokens] == [("a",), ("b",)][: len(tokens)]
        assert all(isinstance(event, RunTokens) for event in tokens)


# Guards against an agent that runs out of memory over its engine's report without end.
@pytest.mark.parametrize("name", ENDLESS)
def test_a_load_report_without_end_is_given_up(name: str) -> None:
    async def run() -> None:
        server = EndlessServer(*ENDLESS[name])
        reported: list[Any] = []
        async with trio.open_nursery() as nursery:
            url = f"http://{await server.listen(nursery)}"
            timeouts = UpstreamTimeouts(silence_s=3.0, load_every_s=10.0)
            client = EngineClient(nursery, reported.append, url, timeouts)
            nursery.start_soon(client.poll_load)
            with trio.fail_after(5.0):
                await server.closed.wait()
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert reported == [LoadReported(False)]
            assert server.sent < MAX_ANSWER_BYTES + 16_000_000
            nursery.cancel_scope.cancel()

    trio.run(run)
