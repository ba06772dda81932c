"""Connections to the platform and to engines, whose answers have a bound."""

import httpcore
import pytest
import trio

from masticdrum.shell.upstreamstream import UpstreamBackend
from tests.shell.endless import ENDLESS, EndlessServer

MAX_BYTES = 300_000


# Guards against a process that runs out of memory over an answer without end.
@pytest.mark.parametrize("name", ENDLESS)
def test_an_answer_without_end_is_given_up_and_its_connection_closed(name: str) -> None:
    async def run() -> None:
        server = EndlessServer(*ENDLESS[name])
        async with trio.open_nursery() as nursery:
            address = await server.listen(nursery)
            pool = httpcore.AsyncConnectionPool(
                network_backend=UpstreamBackend(MAX_BYTES)
            )
            with trio.fail_after(10.0):
                with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
                    await pool.request("GET", f"http://{address}/report")
                await server.closed.wait()
            assert server.sent < MAX_BYTES + 16_000_000  # what kernel buffers take
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_each_answer_on_a_connection_has_the_whole_bound() -> None:
    body = b"b" * (MAX_BYTES * 2 // 3)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    async def serve(stream: trio.SocketStream) -> None:
        while await stream.receive_some():
            await stream.send_all(answer)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            backend = UpstreamBackend(MAX_BYTES)
            pool = httpcore.AsyncConnectionPool(network_backend=backend)
            for _ in range(3):
                response = await pool.request("GET", f"http://127.0.0.1:{port}/")
                assert response.content == body
            assert len(pool.connections) == 1
            nursery.cancel_scope.cancel()

    trio.run(run)
