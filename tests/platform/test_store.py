"""Calls to the platform's store while it fails and returns."""

from typing import Any

import httpcore
import pytest
import trio
from trio.testing import MockClock

from masticdrum.model.cluster_events import StoreRestored
from masticdrum.model.platform import ObjectGet, ObjectPut, ObjectStatus
from masticdrum.platform import store as store_module
from masticdrum.platform.store import (
    HistoryGone,
    Store,
    StoreFailed,
    WatchInterrupted,
)
from tests.platform.oddobjects import (
    NESTED,
    ODD_SPECS,
    ODD_VALUES,
    ScriptedStore,
    make_object,
)

OUTAGE_S = 4.0
EMPTY_PAGE = b'{"items": [], "asOf": 7}'


class SilentPool:
    """Answers calls that begin after the outage, and never any other."""

    async def request(self, method: str, url: str, **more: Any) -> httpcore.Response:
        if trio.current_time() < OUTAGE_S or "watch=" in url:
            await trio.sleep_forever()
        response = httpcore.Response(200, content=EMPTY_PAGE)
        await response.aread()
        return response


# Guards against changes that a process learns only when its longest watch times out,
# tens of seconds after an outage in which the store was silent.
def test_watches_that_a_silent_store_forgot_are_sent_again_after_it() -> None:
    ended_at: list[float] = []

    async def watch(store: Store) -> None:
        with pytest.raises(WatchInterrupted):
            await store.watch("crashes", 5, 20.0)
        ended_at.append(trio.current_time())

    async def run() -> None:
        store = Store("127.0.0.1:1", lambda how: None)
        pool: Any = SilentPool()
        store._pool = pool
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, store)
            while not ended_at:
                try:
                    await store.list_page("config", "")
                except StoreFailed:
                    continue
                await trio.sleep(0.01)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert OUTAGE_S <= ended_at[0] <= OUTAGE_S + 2.0


class EraPool:
    """Answers each list with the next of ``eras``, and no watch."""

    def __init__(self, *eras: int) -> None:
        self.eras = list(eras)

    async def request(self, method: str, url: str, **more: Any) -> httpcore.Response:
        if "watch=" in url:
            await trio.sleep_forever()
        era = str(self.eras.pop(0)).encode()
        headers = [(b"Store-Era", era)]
        response = httpcore.Response(200, headers=headers, content=EMPTY_PAGE)
        await response.aread()
        return response


# Guards against changes that are missed because a watch goes on over a restore.
def test_a_restore_is_reported_once_and_ends_the_watches_of_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "read_clock", trio.current_time)
    ended_at: list[float] = []
    restores: list[StoreRestored] = []
    interrupted: list[float] = []

    async def watch(store: Store) -> None:
        with pytest.raises(WatchInterrupted):
            await store.watch("crashes", 5, 20.0)
        interrupted.append(trio.current_time())

    async def run() -> None:
        store = Store("127.0.0.1:1", lambda how: None, restores.append)
        pool: Any = EraPool(3, 3, 4, 4)
        store._pool = pool
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, store)
            for _ in range(4):
                await trio.sleep(1.0)
                await store.list_page("config", "")
        ended_at.append(store.era_ended_at)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert restores == [StoreRestored(4, 3)]
    assert interrupted == [3.0]
    assert ended_at == [2.0]


# Guards against an answer from before a restore that arrives after it.
def test_an_answer_of_an_earlier_era_is_a_failed_call() -> None:
    async def run() -> None:
        store = Store("127.0.0.1:1", lambda how: None)
        pool: Any = EraPool(2, 1)
        store._pool = pool
        await store.list_page("config", "")
        with pytest.raises(StoreFailed):
            await store.list_page("config", "")

    trio.run(run)


class SpoiltPool:
    """Answers each call with a body that is no object."""

    async def request(self, method: str, url: str, **more: Any) -> httpcore.Response:
        response = httpcore.Response(200, content=b"spoilt")
        await response.aread()
        return response


# Guards against a process that ends because the store sent it a spoilt body.
def test_a_body_that_is_no_object_is_a_lost_answer() -> None:
    store = Store("127.0.0.1:1", lambda how: None)
    pool: Any = SpoiltPool()
    store._pool = pool
    answer = trio.run(store.execute, ObjectGet("read", "members/entry-1"))
    assert answer.status is ObjectStatus.LOST


# Guards against an object of this system's own that can't be replaced, nor read with a
# reason in the log, since another writer left what can't be decoded in it.
@pytest.mark.parametrize(
    "spec", (ODD_SPECS | ODD_VALUES).values(), ids=ODD_SPECS | ODD_VALUES
)
def test_an_odd_object_of_our_own_has_its_revision(spec: bytes) -> None:
    store = ScriptedStore([make_object("weights", spec)], [])
    answer = trio.run(store.execute, ObjectGet("read", "permits/weights"))
    assert (answer.status, answer.version) == (ObjectStatus.OK, 3)


def test_an_object_with_an_odd_revision_is_not_read() -> None:
    for revision in (b"-1", b"%d" % 2**70, b"1" * 5000, NESTED, b"null"):
        metadata = b'{"name":"weights","revision":%s}' % revision
        store = ScriptedStore([make_object("", b"{}", metadata)], [])
        answer = trio.run(store.execute, ObjectGet("read", "permits/weights"))
        assert answer.status is ObjectStatus.LOST


CHANGES = (
    b'{"events": [{"object": {"metadata": {"name": "n", "revision": 8}, "spec": {}}}],'
    b' "asOf": 8}'
)


class AnsweringPool:
    """Answers each call with the next status and body, or an error."""

    def __init__(self, *answers: tuple[int, bytes] | Exception) -> None:
        self.answers = list(answers)

    async def request(self, *call: Any, **more: Any) -> httpcore.Response:
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        response = httpcore.Response(answer[0], content=answer[1])
        await response.aread()
        return response


def test_calls_are_counted_by_method_kind_and_reason() -> None:
    counted: list[str] = []
    object_body = b'{"metadata": {"name": "n", "revision": 8}, "spec": {}}'
    pool: Any = AnsweringPool(
        (200, EMPTY_PAGE),
        (200, b'{"events": [], "asOf": 7}'),
        (200, CHANGES),
        (410, b""),
        httpcore.ReadError("reset"),
        (200, object_body),
        (200, object_body),
        (200, object_body),
    )

    async def run() -> None:
        store = Store("127.0.0.1:1", counted.append)
        store._pool = pool
        await store.list_page("servers", "")
        await store.watch("servers", 7, 1.0)
        await store.watch("servers", 7, 1.0)
        with pytest.raises(HistoryGone):
            await store.watch("servers", 7, 1.0)
        with pytest.raises(StoreFailed):
            await store.watch("servers", 7, 1.0)
        await store.execute(ObjectGet("c", "members/n"))
        await store.execute(ObjectPut("c", "members/n", b"{}", 0))
        await store.execute(ObjectPut("c", "members/n", b"{}", 8))

    trio.run(run)
    assert counted == [
        "GET servers list",
        "GET servers unchanged watch",
        "GET servers changed watch",
        "GET servers failed watch",
        "GET servers failed watch",
        "GET masticdrum-members read",
        "POST masticdrum-members write",
        "PUT masticdrum-members write",
    ]
