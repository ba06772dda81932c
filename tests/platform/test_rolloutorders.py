"""Reading operators' orders to move traffic, their leases, and writing their status."""

from collections.abc import Iterable
from typing import Any

import httpcore
import msgspec
import pytest
import trio
from trio.testing import MockClock

from masticdrum.core.rolloutcontrol import RolloutObjectAnswered
from masticdrum.model.platform import ObjectAnswer, ObjectPut, ObjectStatus
from masticdrum.model.rollouts import (
    PutRolloutStatus,
    RolloutLease,
    RolloutLeasesRead,
    RolloutOrder,
    RolloutRead,
    RolloutsRead,
    RolloutState,
    RolloutStatusAnswered,
)
from masticdrum.platform.rollouts import RolloutCalls, RolloutFollower
from masticdrum.platform.store import Store
from masticdrum.platform.watchers import ROLLOUT_LEASES, ROLLOUTS
from tests.platform.oddobjects import (
    ODD_SPECS,
    ODD_VALUES,
    follow,
    make_changes,
    make_object,
    make_page,
    record_logs,
)

CREATED = 41
LEASE = RolloutLease("desk", "v2", CREATED, "entry-1", "10.0.0.1:7702", 3, 8, 1.7e9)
PUT = PutRolloutStatus("desk", "v2", RolloutState.COMPLETED, 12)
EMPTY_WATCH = b'{"events":[],"asOf":6}'


def make_order(
    name: str = "desk",
    spec: bytes = b"",
    status: bytes = b"null",
    created: bytes = b"41",
    deleting: bytes = b"false",
) -> bytes:
    spec = spec or b'{"service":"%s","target":"v2","durationS":60}' % name.encode()
    metadata = b'{"name":"%s","revision":3,"created":%s,"deleting":%s}'
    text = metadata % (name.encode(), created, deleting)
    return b'{"metadata":%s,"spec":%s,"status":%s}' % (text, spec, status)


def read_orders(objects: list[bytes]) -> tuple[RolloutRead, ...]:
    """Return the orders that a list of objects names."""
    events, _ = follow(ROLLOUTS, [make_page(objects)], [])
    (read,) = [event for event in events if isinstance(event, RolloutsRead)]
    return read.rollouts


def test_an_order_is_read_with_its_mark_and_revision() -> None:
    order = RolloutOrder("desk", "v2", 60.0, CREATED)
    assert read_orders([make_order()]) == (RolloutRead(order, None, 3),)


STATUSES = {
    "running": (b'{"state":"running","target":"v2"}', RolloutState.RUNNING),
    "completed": (b'{"state":"completed","target":"v2"}', RolloutState.COMPLETED),
    "rolled back": (b'{"state":"rolled_back","target":"v2"}', RolloutState.ROLLED_BACK),
    "of an earlier order": (b'{"state":"completed","target":"v1"}', None),
    "unknown": (b'{"state":"paused","target":"v2"}', None),
    "without a target": (b'{"state":"completed"}', None),
    "a number": (b"7", None),
}


@pytest.mark.parametrize(("status", "state"), STATUSES.values(), ids=STATUSES)
def test_a_status_counts_only_for_its_target(
    status: bytes, state: RolloutState | None
) -> None:
    (read,) = read_orders([make_order(status=status)])
    assert read.state is state


ODD_ORDERS = {
    **{k: make_order("odd", v) for k, v in (ODD_SPECS | ODD_VALUES).items()},
    **{f"{k} as status": make_order("odd", status=v) for k, v in ODD_VALUES.items()},
    **{
        f"duration {value.decode()}": make_order(
            "odd", b'{"service":"odd","target":"v2","durationS":%s}' % value
        )
        for value in (b"0", b"-1", b"1e999", b'"60"', b"null")
    },
    "another service": make_order(
        "odd", b'{"service":"desk","target":"v2","durationS":60}'
    ),
    "no target": make_order("odd", b'{"service":"odd","target":"","durationS":60}'),
}


@pytest.mark.parametrize("odd", ODD_ORDERS.values(), ids=ODD_ORDERS)
def test_an_odd_order_names_nothing_and_the_others_are_followed(
    odd: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged = record_logs(monkeypatch, "masticdrum.platform.watchers")
    read = read_orders([make_order("desk"), odd, make_order("yard")])
    services = [r.order.service for r in read]
    assert [s for s in services if s != "odd"] == ["desk", "yard"]
    # A status that can't be read is none; the order holds.
    assert all(r.state is None for r in read)
    assert [log.facts["object"] for log in logged] == ["odd"]


def test_an_order_that_is_being_deleted_is_none() -> None:
    assert read_orders([make_order(deleting=b"true")]) == ()


@pytest.mark.parametrize("created", [b'"2026-12-06"', b"1.5", b"null", b"[1]", b"-4"])
def test_a_creation_mark_of_any_type_tells_orders_apart(created: bytes) -> None:
    (first,) = read_orders([make_order(created=created)])
    (again,) = read_orders([make_order(created=created)])
    (other,) = read_orders([make_order(created=b'"another"')])
    assert first == again
    assert first.order.key != other.order.key


def test_leases_are_read_with_their_revisions(monkeypatch: pytest.MonkeyPatch) -> None:
    logged = record_logs(monkeypatch, "masticdrum.platform.watchers")
    page = make_page([make_object("desk", msgspec.json.encode(LEASE))])
    odd = make_changes([make_object("yard", b'{"service":7}')])
    events, _ = follow(ROLLOUT_LEASES, [page], [odd])
    reads = [event for event in events if isinstance(event, RolloutLeasesRead)]
    assert [read.leases for read in reads] == [((LEASE, 3),)] * 2
    assert [log.facts["object"] for log in logged] == ["yard"]


# Guards against a view that seems older than it is while nothing changes.
def test_a_watch_without_changes_confirms_the_orders() -> None:
    events, _ = follow(ROLLOUTS, [make_page([make_order()])], [EMPTY_WATCH] * 3)
    reads = [event for event in events if isinstance(event, RolloutsRead)]
    assert len(reads) == 4
    times = [read.requested_at for read in reads]
    assert times == sorted(set(times))
    assert len({read.rollouts for read in reads}) == 1


class OrderStore:
    """A store with one order, whose state changes at given times, and no leases."""

    def __init__(self, states: list[tuple[float, bytes]]) -> None:
        self.states = states
        self.waits: list[tuple[float, str, float]] = []

    async def request(self, method: str, url: str, **more: Any) -> httpcore.Response:
        kind = url.rpartition("/")[2].partition("?")[0]
        at = trio.current_time()
        objects = self.list_objects(at) if kind == ROLLOUTS.kind else []
        body = make_page(objects, b"%d" % self.count(at))
        if "watch=" in url:
            since = int(url.partition("watch=")[2].partition("&")[0])
            wait_s = int(url.partition("waitMs=")[2]) / 1000
            self.waits.append((at, kind, wait_s))
            with trio.move_on_after(wait_s):
                while self.count(trio.current_time()) <= since:
                    await trio.sleep(0.01)
            count = self.count(trio.current_time())
            objects = self.list_objects(trio.current_time()) if count > since else []
            if kind != ROLLOUTS.kind:
                objects = []
            body = make_changes(objects, as_of=b"%d" % count)
        response = httpcore.Response(200, content=body)
        await response.aread()
        return response

    def count(self, at: float) -> int:
        return 1 + sum(since <= at for since, _ in self.states)

    def list_objects(self, at: float) -> list[bytes]:
        statuses = [status for since, status in self.states if since <= at]
        return [make_order(status=statuses[-1])] if statuses else []


def test_leases_are_watched_and_watches_short_only_while_an_order_runs() -> None:
    running, done = STATUSES["running"][0], STATUSES["completed"][0]
    pool = OrderStore([(20.0, b"null"), (21.0, running), (30.0, done)])
    given: Any = pool

    async def run() -> None:
        store = Store("127.0.0.1:1", lambda how: None)
        store._pool = given
        follower = RolloutFollower(store, lambda event: None)
        with trio.move_on_after(60.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.follow_orders)
                nursery.start_soon(follower.follow_leases)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    began = min(at for at, _, _ in pool.waits)
    orders = [(at - began, w) for at, kind, w in pool.waits if kind == ROLLOUTS.kind]
    leases = [at - began for at, kind, _ in pool.waits if kind != ROLLOUTS.kind]
    assert leases and min(leases) >= 20.0 and max(leases) <= 30.1
    assert all(wait_s <= 1.0 for at, wait_s in orders if 20.1 <= at <= 29.9)
    idle = [wait_s for at, wait_s in orders if at < 20.0 or at > 30.1]
    assert idle and all(wait_s == ROLLOUTS.wait_s for wait_s in idle)


class AnsweringStore(Store):
    """A store's client that answers all calls with a status, or never."""

    def __init__(self, status: int | None) -> None:
        super().__init__("127.0.0.1:1", lambda how: None)
        self.status = status
        self.sent: list[tuple[str, str, Any]] = []
        given: Any = self
        self._pool = given

    async def request(
        self, method: str, url: str, headers: Any = None, content: bytes | None = None
    ) -> httpcore.Response:
        path = url.partition("/v1/objects/")[2]
        self.sent.append((method, path, msgspec.json.decode(content or b"null")))
        if self.status is None:
            await trio.sleep_forever()
        response = httpcore.Response(self.status or 0, content=make_order())
        await response.aread()
        return response


def execute(store: Store, calls: Iterable[Any], submitted: list[Any]) -> None:
    async def run() -> None:
        sender, receiver = trio.open_memory_channel[Any](10)
        for call in calls:
            sender.send_nowait(call)
        with trio.move_on_after(5.0):
            await RolloutCalls(store, submitted.append).run(receiver)

    trio.run(run, clock=MockClock(autojump_threshold=0))


ANSWERS = [
    (200, "ok"),
    (409, "conflict"),
    (404, "conflict"),
    (429, "rejected"),
    (503, "rejected"),
    (500, "lost"),
    (None, "lost"),
]


@pytest.mark.parametrize(("status", "answer"), ANSWERS)
def test_a_status_is_written_only_under_the_revision_that_was_read(
    status: int | None, answer: str
) -> None:
    store = AnsweringStore(status)
    submitted: list[Any] = []
    execute(store, [PUT], submitted)
    assert submitted == [RolloutStatusAnswered("desk", answer)]
    body = {
        "metadata": {"name": "desk", "revision": 12},
        "status": {"state": "completed", "target": "v2"},
    }
    assert store.sent == [("PUT", "rollouts/desk/status", body)]


def test_calls_on_leases_wait_for_no_others() -> None:
    store = AnsweringStore(None)
    submitted: list[Any] = []
    renewals = [ObjectPut(f"renew {n}", "rollouts/desk", b"{}", 5) for n in range(3)]
    execute(store, renewals, submitted)
    assert [sent[1] for sent in store.sent] == ["masticdrum-rollouts/desk"] * 3
    lost = [ObjectAnswer(c.call, ObjectStatus.LOST) for c in renewals]
    assert sorted(submitted, key=str) == [RolloutObjectAnswered(a) for a in lost]
