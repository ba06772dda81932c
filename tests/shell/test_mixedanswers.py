"""Answers that only look complete or sound, at all clients of HTTP."""

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from typing import Any

import httpcore
import pytest
import trio

from masticdrum.model.platform import ObjectGet, ObjectPut, ObjectStatus
from masticdrum.platform.store import Store, StoreFailed
from masticdrum.shell.answerguard import make_pool
from masticdrum.shell.controlclient import CallFailed, ControlClient
from masticdrum.shell.objectclient import ObjectClient
from masticdrum.shell.upstreamstream import UpstreamBackend
from tests.shell.gateway import Gateway, Received, UpstreamSide, run_gateway

WITHIN_S = 30.0
LARGE = b"u" * 6_000_000  # more than the buffers of both ends take
SMALL = b"ab"
TRIES = 6
PART = b"a part of the an"
EVENT = b"id: 1\ndata: e\n\n"
SIGNED = "X-Request-Id: {}\r\nX-Response-Signature: s1\r\n"
STREAM = "Content-Type: text/event-stream\r\n"
OLD, NEW = "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"
RESET = struct.pack("ii", 1, 0)


async def reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    await stream.aclose()


async def close_unread(stream: trio.SocketStream) -> None:
    """Close with bytes unread, which resets the connection too."""
    await stream.aclose()


ENDS = {"linger": reset, "unread": close_unread}


def ask_gateway(
    answer: str, body: bytes, route: str, end: str, upload: bytes, pause_s: float
) -> list[Received]:
    """Let an upstream answer at once and reset; return what callers receive."""
    received: list[Received] = []

    async def script(side: UpstreamSide, number: int) -> None:
        await side.send(answer.format(side.request).encode() + body)
        await trio.sleep(pause_s)
        await ENDS[end](side.stream)

    async def play(gateway: Gateway) -> None:
        for number in range(TRIES):
            answered = await gateway.ask(f"r{number}", route, script, body=upload)
            received.append(answered)

    run_gateway(play, within_s=WITHIN_S, max_attempts=1)
    return received


# Guards against a part of an answer that its caller takes for the whole, since its
# connection was reset while a long request was still being sent (MIXED).
@pytest.mark.parametrize("pause_s", [0.0, 0.05, 0.3])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("version", [OLD, NEW], ids=["1.0", "1.1"])
@pytest.mark.parametrize("route", ["idempotent", "non_idempotent", "stream"])
def test_a_reset_during_an_upload_completes_no_answer(
    route: str, version: str, end: str, pause_s: float
) -> None:
    head = version + SIGNED + (STREAM if route == "stream" else "") + "\r\n"
    body = EVENT if route == "stream" else PART
    for received in ask_gateway(head, body, route, end, LARGE, pause_s):
        _, is_complete = received.read_body()
        is_success = 200 <= received.status < 300
        assert not (is_success and is_complete), received.data


# Guards against refusing what is whole: an early answer that says where it ends.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize(
    ("status", "framing", "content"),
    [
        ("413 Too Large", "Content-Length: 4\r\n", b"full"),
        ("200 OK", "Content-Length: 4\r\n", b"full"),
        ("200 OK", "Transfer-Encoding: chunked\r\n", b"4\r\nfull\r\n0\r\n\r\n"),
    ],
)
def test_an_early_answer_that_says_where_it_ends_is_passed_on(
    status: str, framing: str, content: bytes, end: str
) -> None:
    head = f"HTTP/1.1 {status}\r\n{SIGNED}{framing}\r\n"
    for received in ask_gateway(head, content, "non_idempotent", end, LARGE, 0.3):
        assert received.status == int(status.split()[0])
        assert received.read_body() == (b"full", True)


def test_an_answer_without_a_length_is_whole_after_an_orderly_close() -> None:
    async def script(side: UpstreamSide, number: int) -> None:
        await side.send((NEW + SIGNED + "\r\n").format(side.request).encode() + PART)
        await side.end()

    async def play(gateway: Gateway) -> None:
        received = await gateway.ask("r1", "idempotent", script)
        assert (received.status, received.read_body()) == (200, (PART, True))

    run_gateway(play, within_s=WITHIN_S)


STATUSES = ["000", "001", "099", "00", "0200", "2OO", "+20", "-20", "60", "1000"]
LINES = [
    f"{before}{name}{behind}"
    for name, behind in [("X-A", ": 1"), ("X A", ": 1"), ("X-A", " : 1")]
    for before in ("", " ", "\t", "\x01", "\x0b")
    if (before, name, behind) != ("", "X-A", ": 1")
] + ["X\x00A: 1", "X\x7fA: 1", "X-A\t: 1", ": 1", "no colon"]


def make_spoilt(line: str) -> list[str]:
    """Return heads and a body with a spoilt line at some places."""
    chunked = "Transfer-Encoding: chunked\r\n"
    return [
        f"HTTP/1.1 200 OK\r\n{SIGNED}{line}\r\nContent-Length: 4\r\n\r\nfull",
        f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Length: 4\r\n{line}\r\n\r\nfull",
        f"HTTP/1.1 103 Early\r\nX-B: 1\r\n{line}\r\n\r\n"
        f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Length: 4\r\n\r\nfull",
        f"HTTP/1.1 200 OK\r\n{SIGNED}{chunked}\r\n4\r\nfull\r\n0\r\nX-B: 1\r\n"
        f"{line}\r\n\r\n",
    ]


SPOILT = [
    *(
        f"HTTP/1.1 {status} OK\r\n{SIGNED}Content-Length: 4\r\n\r\nfull"
        for status in STATUSES
    ),
    f"HTTP/1.1 200 OK\r\n{SIGNED}X-B: 1\r\n Content-Length: 4\r\n\r\nfull",
    *(text for line in LINES for text in make_spoilt(line)),
]


# Guards against answers with a status that is none, or with a field whose name was
# spoilt, that a caller gets as answers, with that line or a body that isn't the
# server's (MIXED).
def test_a_spoilt_head_is_never_passed_on() -> None:
    async def play(gateway: Gateway) -> None:
        for number, text in enumerate(SPOILT):

            async def script(side: UpstreamSide, number: int, text: str = text) -> None:
                answer = text.format(side.request).encode("latin-1")
                middle = len(answer) // 2
                await side.send(answer[:middle])
                await trio.sleep(0.001)
                await side.send(answer[middle:])
                await side.end()

            received = await gateway.ask(f"r{number}", "non_idempotent", script)
            assert received.status >= 500, (text, received.data)

    run_gateway(play, within_s=WITHIN_S)


Ask = Callable[[str, bytes], Awaitable[Any]]


def serve_once(ask: Ask, answer: bytes, upload: bytes, end: str = "") -> Any:
    """Give one answer to a client, then reset or close; return what it made of it."""
    results: list[Any] = []

    async def serve(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            await stream.receive_some()
            await stream.send_all(answer)
            if not end:
                await stream.send_eof()
            await trio.sleep(0.2)
            if end:
                await ENDS[end](stream)

    async def run() -> None:
        with trio.fail_after(WITHIN_S):
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, [listener])
                results.append(await ask(address, upload))
                nursery.cancel_scope.cancel()

    trio.run(run)
    return results[0]


async def call_control(address: str, upload: bytes) -> Any:
    client = ControlClient(address, 1_000_000)
    try:
        return await client.call("POST", "/x", [], upload, timeout_s=5.0)
    except CallFailed:
        return None


async def call_pool(
    address: str, upload: bytes, backend: httpcore.AsyncNetworkBackend | None = None
) -> Any:
    pool = make_pool(2, backend=backend)
    try:
        answer = await pool.request("POST", f"http://{address}/x", content=upload)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None
    return answer.status, answer.content


async def put_object(address: str, upload: bytes) -> Any:
    async with trio.open_nursery() as nursery:
        client = ObjectClient(
            nursery, lambda answer: None, f"http://{address}", timeout_s=5.0
        )
        answer = await client.execute(ObjectPut("put", "a", upload, 1))
    return None if answer.status is ObjectStatus.LOST else answer


async def read_store(address: str, upload: bytes) -> Any:
    store = Store(address, lambda how: None)
    try:
        return await store.list_page("config", "")
    except StoreFailed:
        answer = await store.execute(ObjectGet("read", "a/b"))
        return None if answer.status is ObjectStatus.LOST else answer


CLIENTS: dict[str, Ask] = {
    "control": call_control,
    "pool": call_pool,
    "store's pool": partial(call_pool, backend=UpstreamBackend()),
    "objects": put_object,
}


# Guards against the same at the clients of the platform, engines and objects.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("client", CLIENTS)
def test_no_client_takes_a_reset_during_its_upload_for_an_end(
    client: str, end: str
) -> None:
    for head in (OLD, NEW):
        answer = head.encode() + b"\r\n" + PART
        assert serve_once(CLIENTS[client], answer, LARGE, end) is None
    whole = b"HTTP/1.1 200 OK\r\nETag: 7\r\nContent-Length: 2\r\n\r\n{}"
    assert serve_once(CLIENTS[client], whole, LARGE, end) is not None


@pytest.mark.parametrize("client", [*CLIENTS, "store"])
def test_no_client_takes_a_spoilt_head_for_an_answer(client: str) -> None:
    ask = CLIENTS.get(client, read_store)
    bodies = [text for text in SPOILT if "chunked" not in text]
    for text in bodies[:: 1 if client == "pool" else 5] + bodies[10:12]:
        answer = text.replace("full", "{}  ").encode("latin-1")
        assert serve_once(ask, answer, SMALL) is None, text
