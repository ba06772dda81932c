"""Polling a KV cache store that is busy, restarts or is gone."""

import json
from collections.abc import Callable
from contextlib import suppress

import pytest
import trio

from masticdrum.core.storedprefixes import PrefixesReported, PrefixStoreLost
from masticdrum.core.storepolls import StorePolls
from masticdrum.platform.cachestores import CacheEventPoller
from tests.platform.oddobjects import ODD_SPECS, ODD_VALUES

Submitted = list[PrefixesReported | PrefixStoreLost]


def describe_events(boot: int, after: int, *parts: str) -> bytes:
    events = [[after + n, "+", "s1", part, 100, "m1"] for n, part in enumerate(parts)]
    following = after + len(parts)
    body = {"bootEpoch": boot, "next": following, "lost": False, "events": events}
    return json.dumps(body).encode()


def poll(
    replies: list[tuple[int, bytes]], copies: int = 1
) -> tuple[Submitted, list[str]]:
    """Poll until a store has sent its replies; return the events and the requests.

    It sends each reply ``copies`` times.
    """
    submitted: Submitted = []
    requests: list[str] = []

    async def answer(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while replies:
                request = await stream.receive_some()
                if not request:
                    return
                requests.append(request.decode())
                status, body = replies.pop(0)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                await stream.send_all((head.encode() + body) * copies)

    async def run() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        polls = [StorePolls("store", f"127.0.0.1:{port}", 0.2, 0.01)]
        stores = CacheEventPoller(submitted.append, lambda: polls, lambda how: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, answer, [listener])
            nursery.start_soon(stores.run)
            await wait_until(lambda: not replies)
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return submitted, requests


async def wait_until(holds: Callable[[], bool]) -> None:
    with trio.fail_after(10.0):
        while not holds():
            await trio.sleep(0.01)


def test_a_busy_store_is_still_known_to_hold_its_prefixes() -> None:
    submitted, requests = poll(
        [
            (200, describe_events(1, 1, "a")),
            (429, b""),
            (200, describe_events(1, 2, "b")),
        ]
    )
    assert [type(event) for event in submitted[:2]] == [
        PrefixesReported,
        PrefixesReported,
    ]
    assert submitted[1] == PrefixesReported("store", 1, (("s1", "b"),))
    assert "since=2" in requests[1] and "since=2" in requests[2]
    assert all("wait-ms: 200" in request.lower() for request in requests)


def test_a_restarted_store_is_polled_from_its_first_event() -> None:
    submitted, requests = poll(
        [
            (200, describe_events(1, 1, "a")),
            (200, describe_events(2, 5, "x")),
            (200, describe_events(2, 0, "b")),
        ]
    )
    assert submitted[1] == PrefixStoreLost("store")
    assert submitted[2] == PrefixesReported("store", 2, (("s1", "b"),))
    assert "since=0" in requests[2]


def test_a_failing_store_is_reported_as_lost() -> None:
    submitted, _ = poll([(200, describe_events(1, 1, "a")), (500, b"")])
    assert submitted[1] == PrefixStoreLost("store")


ODD_EVENTS = {
    **ODD_SPECS,
    **ODD_VALUES,
    **{
        f"{k} in an unread field": b'{"bootEpoch":1,"next":2,"events":[],"more":%s}' % v
        for k, v in ODD_VALUES.items()
    },
    "a negative number": b'{"bootEpoch":1,"next":-2,"events":[]}',
    "a number of 400 digits": b'{"bootEpoch":1,"next":%s,"events":[]}' % (b"9" * 400),
    "a number of 5,000 digits": b'{"bootEpoch":%s,"next":2,"events":[]}'
    % (b"9" * 5000),
    "an odd event": b'{"bootEpoch":1,"next":2,"events":[[7]]}',
}


# Guards against an entry that ends at a store's answer that is nested deeply
# (RecursionError) or has a number too large (LOST).
@pytest.mark.parametrize("body", ODD_EVENTS.values(), ids=ODD_EVENTS)
def test_a_store_with_an_odd_answer_is_lost_until_it_is_sound(body: bytes) -> None:
    sound = describe_events(1, 1, "a")
    submitted, requests = poll([(200, sound), (200, body), (200, sound)])
    reported = PrefixesReported("store", 1, (("s1", "a"),))
    assert submitted[:3] == [reported, PrefixStoreLost("store"), reported]
    assert "since=0" in requests[2]


# Guards against an entry that takes the second copy of a store's events for its answer
# to the next poll, and is one poll behind from then on.
def test_a_second_copy_of_a_stores_events_answers_no_later_poll() -> None:
    replies = [(200, describe_events(1, n, f"p{n}")) for n in (1, 2, 3)]
    submitted, _ = poll(replies, copies=2)
    parts = [event.stored for event in submitted if isinstance(event, PrefixesReported)]
    assert parts == [(("s1", "p1"),), (("s1", "p2"),), (("s1", "p3"),)]
