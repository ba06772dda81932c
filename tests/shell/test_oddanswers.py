"""Answers of the platform's interfaces, and of an engine, that can't be decoded."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from masticdrum.model.platform import ObjectGet, ObjectList, ObjectStatus
from masticdrum.shell.instanceclient import InstanceClient
from masticdrum.shell.objectclient import ObjectClient

NESTED = b'{"more":' + b"[" * 2000 + b"]" * 2000 + b"}"
ODD_BODIES = [NESTED, b"", b"{", b"null", b"[]", b'{"names":[7]}', b"\xff"]
ODD_VERSIONS = [b'"x"', b'""', b"9" * 5000, b"-1", b"\xb2"]
Ask = Callable[[str], Awaitable[Any]]


def ask(ask_once: Ask, body: bytes, *headers: bytes) -> Any:
    """Give one answer to a client and return what it made of it."""
    heard: list[Any] = []

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
        await stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    async def run() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        url = f"http://127.0.0.1:{listener.socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, answer, [listener])
            heard.append(await ask_once(url))
            nursery.cancel_scope.cancel()

    trio.run(run)
    return heard[0]


async def list_names(url: str) -> Any:
    async with trio.open_nursery() as nursery:
        client = ObjectClient(nursery, lambda answer: None, url, timeout_s=2.0)
        return await client.execute(ObjectList("list", "a"))


async def read_object(url: str) -> Any:
    async with trio.open_nursery() as nursery:
        client = ObjectClient(nursery, lambda answer: None, url, timeout_s=2.0)
        return await client.execute(ObjectGet("read", "a"))


async def list_instances(url: str) -> Any:
    client = InstanceClient(lambda event: None, url, every_s=1.0, timeout_s=2.0)
    return await client.read()


# Guards against processes that end at a list that is nested deeply (RecursionError) or
# has other contents.
@pytest.mark.parametrize("body", ODD_BODIES, ids=lambda body: repr(body[:12]))
def test_an_odd_list_is_one_that_was_not_read(body: bytes) -> None:
    assert ask(list_names, body).status is ObjectStatus.LOST
    assert ask(list_instances, body) is None


# Guards against processes that end at an object's version that is no number.
@pytest.mark.parametrize("version", ODD_VERSIONS, ids=lambda text: repr(text[:12]))
def test_an_object_with_an_odd_version_was_not_read(version: bytes) -> None:
    assert ask(read_object, b"x", b"ETag: " + version).status is ObjectStatus.LOST
    assert ask(read_object, b"x", b'ETag: "7"').version == 7
