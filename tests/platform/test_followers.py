"""Watching a kind of the store: which events are submitted, and with how many calls."""

from random import Random
from typing import Any

import httpcore
import msgspec
import pytest
import trio
from msgspec import Raw
from trio.testing import MockClock

from masticdrum.core.restores import REWRITE_S
from masticdrum.model.cluster_events import (
    ClusterEvent,
    DataCentresDrained,
    DirectoryConfirmed,
    DirectoryRead,
    UpstreamChanged,
    WeightsNamed,
)
from masticdrum.platform import store as store_module
from masticdrum.platform import watchers
from masticdrum.platform.pages import Change, Changes, Page
from masticdrum.platform.store import (
    CALL_TIMEOUT_S,
    Store,
    StoreFailed,
    WatchInterrupted,
)
from masticdrum.platform.watchers import (
    AGENT_UPSTREAMS,
    DATA_CENTRES,
    DIRECTORY,
    MEMBERS,
    UPSTREAMS,
    WEIGHTS,
    KindWatcher,
    WatchedKind,
)


def make_object(name: str, spec: dict[str, Any]) -> Raw:
    body = {"metadata": {"name": name, "revision": 1}, "spec": spec}
    return Raw(msgspec.json.encode(body))


def make_server(name: str, state: str = "ready") -> Raw:
    spec = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": state}
    return make_object(name, spec)


class KindOfStore:
    """A store with one kind; ``later`` holds objects and when they appear."""

    def __init__(self, first: list[Raw], later: list[tuple[float, Raw]]) -> None:
        self.first = first
        self.later = later
        self.calls: list[tuple[str, bool]] = []
        self.era = 1
        self.began = trio.current_time()
        self.not_before = float("-inf")  # what other answers prove
        self.era_ended_at = float("-inf")

    def find_not_before(self, revision: int) -> float:
        return self.not_before

    async def list_page(self, kind: str, after: str, *, stale: bool = False) -> Page:
        self.calls.append(("list", stale))
        return Page(self.first, 0)

    async def watch(
        self, kind: str, since: int, wait_s: float, *, stale: bool = False
    ) -> Changes:
        self.calls.append(("watch", stale))
        with trio.move_on_after(wait_s):
            while not self.list_due(since):
                await trio.sleep(0.001)
        due = self.list_due(since)
        return Changes([Change(item) for item in due], since + len(due))

    def list_due(self, since: int) -> list[Raw]:
        elapsed_s = trio.current_time() - self.began
        return [item for at, item in self.later if at <= elapsed_s][since:]


def watch_kind(
    watched: WatchedKind, first: list[Raw], later: list[tuple[float, Raw]]
) -> tuple[list[ClusterEvent], list[tuple[str, bool]]]:
    """Watch for four seconds; return the events and the calls."""
    submitted: list[ClusterEvent] = []
    calls: list[tuple[str, bool]] = []

    async def run() -> None:
        store: Any = KindOfStore(first, later)
        with trio.move_on_after(4.0):
            await KindWatcher(watched, store, submitted.append, Random(1)).run()
        calls.extend(store.calls)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return submitted, calls


def test_servers_that_register_together_are_read_by_few_calls() -> None:
    """Without a gap between watches each process made a call for each of 26 servers."""
    later = [(1.0 + n / 100, make_server(f"i-{n}")) for n in range(26)]
    submitted, calls = watch_kind(UPSTREAMS, [], later)
    assert (
        len([event for event in submitted if isinstance(event, UpstreamChanged)]) == 26
    )
    assert len(calls) <= 6


# Guards against a pause between watches in which a draining upstream is sent to for
# longer than it may: two seconds at least, of which a request may take 0.6 s and a slow
# store 0.25 s (DRAIN).
@pytest.mark.parametrize("left_ms", range(1000, 1500, 70))
def test_a_leaving_server_is_known_in_time_among_other_changes(left_ms: int) -> None:
    left_s = left_ms / 1000
    later = [(0.5 + n / 20, make_server(f"i-{n}")) for n in range(40)]
    later.append((left_s, make_server("leaving", state="draining")))
    known_at: list[float] = []

    def submit(event: ClusterEvent) -> None:
        if isinstance(event, UpstreamChanged) and event.upstream.leaving:
            known_at.append(trio.current_time())

    async def run() -> float:
        began = trio.current_time()
        store: Any = KindOfStore([], sorted(later, key=lambda change: change[0]))
        with trio.move_on_after(4.0):
            await KindWatcher(UPSTREAMS, store, submit, Random(1)).run()
        return began

    began = trio.run(run, clock=MockClock(autojump_threshold=0))
    (at,) = known_at
    assert at - began - left_s <= 2.0 - 0.6 - 0.25


@pytest.mark.parametrize("watched", [UPSTREAMS, AGENT_UPSTREAMS])
def test_only_agents_read_stale_servers(watched: WatchedKind) -> None:
    _, calls = watch_kind(watched, [], [])
    assert {stale for _, stale in calls} == {watched is AGENT_UPSTREAMS}


def test_weights_in_the_first_list_have_no_known_start() -> None:
    named = make_object("m1", {"model": "m1", "version": 2})
    submitted, _ = watch_kind(WEIGHTS, [named], [])
    assert submitted[0] == WeightsNamed("m1", 2, float("-inf"))


def test_weights_of_a_watch_were_not_named_before_the_watch_began() -> None:
    named = make_object("m1", {"model": "m1", "version": 2})
    submitted, _ = watch_kind(WEIGHTS, [], [(2.0, named)])
    (event,) = [event for event in submitted if isinstance(event, WeightsNamed)]
    assert event.not_before > 0


class LateWatch(KindOfStore):
    """Lists nothing at first; its watch answers as ``answers`` say, one after another.

    Each answer is the seconds that it takes, and the version of the weights that are
    named in it or an error.
    """

    def __init__(self, answers: list[tuple[float, int | Exception]]) -> None:
        super().__init__([], [])
        self.answers = answers

    async def watch(
        self, kind: str, since: int, wait_s: float, *, stale: bool = False
    ) -> Changes:
        if not self.answers:
            await trio.sleep_forever()
        after_s, answer = self.answers.pop(0)
        await trio.sleep(after_s)
        if isinstance(answer, Exception):
            raise answer
        named = make_object("m1", {"model": "m1", "version": answer})
        return Changes([Change(named)], since + 1)


class RestoredWatch(LateWatch):
    """Restored after a second, unless it was before the first list."""

    async def watch(self, *call: Any, **more: Any) -> Changes:
        if self.era > 1:
            return await super().watch(*call, **more)
        await trio.sleep(1.0)
        self.era = 2
        raise WatchInterrupted


def watch_weights(
    monkeypatch: pytest.MonkeyPatch,
    answers: list[tuple[float, int | Exception]],
    kind: type[LateWatch] = LateWatch,
    **changes: Any,
) -> list[WeightsNamed]:
    """Return what is told of weights; the first list is asked for at zero."""
    submitted: list[ClusterEvent] = []

    async def run() -> None:
        began = trio.current_time()
        monkeypatch.setattr(watchers, "read_clock", lambda: trio.current_time() - began)
        store: Any = kind(answers)
        for name, value in changes.items():
            setattr(store, name, value)
        with trio.move_on_after(60.0):
            await KindWatcher(WEIGHTS, store, submitted.append, Random(1)).run()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return [event for event in submitted if isinstance(event, WeightsNamed)]


# Guards against a bound that starts when a process was thawed or could reach the store
# again: the version may have been named since the last answer.
def test_weights_named_between_two_watches_count_from_the_last_answered_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers: list[tuple[float, int | Exception]] = [
        (4.0, 2),
        (20.0, WatchInterrupted()),
        (0.1, 3),
    ]
    events = watch_weights(monkeypatch, answers)
    assert [(event.version, event.not_before) for event in events] == [
        (2, 0.0),
        (3, 0.0),
    ]


# Guards against engines that get nothing for seconds because the watch that tells of
# newer weights had waited long.
def test_other_answers_tell_more_closely_when_weights_were_named(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    (event,) = watch_weights(monkeypatch, [(4.0, 2)], not_before=3.1)
    assert event.not_before == 3.1


# Guards against a bound that starts anew because the version is written again after a
# restore, whether this process was cut off before it or started after it; and against
# engines that get nothing because a version named after a restore is taken for old.
@pytest.mark.parametrize(
    ("era", "era_ended_at", "not_before"),
    [(1, 0.9, 2.0), (1, -0.5, 0.0), (1, -6.0, 0.0), (2, 0.9, float("-inf"))],
    ids=["watching", "cut off", "long cut off", "started after it"],
)
def test_weights_after_a_restore_count_from_before_it_unless_none_can_be_lost(
    monkeypatch: pytest.MonkeyPatch, era: int, era_ended_at: float, not_before: float
) -> None:
    changes = {"kind": RestoredWatch, "era": era, "era_ended_at": era_ended_at}
    (event,) = watch_weights(monkeypatch, [(3.0, 2)], not_before=2.0, **changes)
    assert event.not_before == not_before


# Guards against a data centre that stays drained for ever after a restore because a
# failed call took the place of the list that was due.
def test_a_failed_call_does_not_replace_the_second_list_after_a_restore(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watchers, "read_clock", trio.current_time)
    lists: list[float] = []

    class Failing(RestoredKind):
        async def watch(self, *call: Any, **more: Any) -> Changes:
            if self.era > 1 and len(lists) == 2:
                raise StoreFailed("reset")
            return await super().watch(*call, **more)

    async def run() -> None:
        first = make_object("north", {})
        store: Any = Failing(first, first, answers=True)
        began = trio.current_time()

        def submit(event: ClusterEvent) -> None:
            if isinstance(event, DataCentresDrained):
                lists.append(trio.current_time() - began)

        with trio.move_on_after(30.0):
            await KindWatcher(DATA_CENTRES, store, submit, Random(1)).run()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert [round(at) for at in lists] == [0, 1, 1, 1 + REWRITE_S]


class RestoredKind(KindOfStore):
    """Restored after a second; the watch that waits then is ended, or answered.

    Revisions begin again below the last one that was watched, so that a watch from
    there never hears of ``second``.
    """

    def __init__(self, first: Raw, second: Raw, answers: bool) -> None:
        super().__init__([first], [])
        self.second = second
        self.answers = answers

    async def watch(
        self, kind: str, since: int, wait_s: float, *, stale: bool = False
    ) -> Changes:
        self.calls.append(("watch", stale))
        if self.era > 1:
            await trio.sleep(wait_s)
            return Changes([], since)
        await trio.sleep(1.0)
        self.era, self.first = 2, [self.second]
        if self.answers:
            return Changes([], since)
        raise WatchInterrupted


# Guards against an operator's change that is never in force because it was written
# again by a restored store under a revision that had been watched already (CONFIG).
@pytest.mark.parametrize("answers", [True, False])
def test_a_kind_is_listed_again_after_a_restore(answers: bool) -> None:
    first = make_object("m1", {"model": "m1", "version": 2})
    second = make_object("m1", {"model": "m1", "version": 3})
    submitted: list[ClusterEvent] = []

    async def run() -> None:
        store: Any = RestoredKind(first, second, answers)
        with trio.move_on_after(4.0):
            await KindWatcher(WEIGHTS, store, submitted.append, Random(1)).run()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert [e.version for e in submitted if isinstance(e, WeightsNamed)] == [2, 3]


# Guards against KV cache that is shared over a wall which a restored store forgot, by
# an entry that had not read of it before (WALL).
def test_a_copy_read_by_a_late_process_may_be_outdated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watchers, "read_clock", trio.current_time)
    submitted: list[tuple[float, bool]] = []

    async def run() -> None:
        spec = {"version": 1, "routes": [], "services": [], "limits": {}}
        store: Any = KindOfStore([make_object("main", spec)], [])
        store.era = 2
        began = trio.current_time()

        def submit(event: ClusterEvent) -> None:
            if isinstance(event, DirectoryRead | DirectoryConfirmed):
                at = trio.current_time() - began
                submitted.append((at, event.may_be_outdated))

        with trio.move_on_after(2 * REWRITE_S):
            await KindWatcher(DIRECTORY, store, submit, Random(1)).run()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert len(submitted) > 8
    longest_s = REWRITE_S + DIRECTORY.wait_s
    for at, is_unsure in submitted:
        assert is_unsure == (at < REWRITE_S) or REWRITE_S <= at <= longest_s


# Guards against a data centre that stays drained for ever because its operators put it
# back while a restored store had forgotten that it was drained.
def test_a_kind_is_listed_once_more_when_all_should_be_written_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watchers, "read_clock", trio.current_time)
    first = make_object("north", {})
    lists: list[float] = []

    async def run() -> None:
        store: Any = RestoredKind(first, first, answers=True)
        began = trio.current_time()

        def submit(event: ClusterEvent) -> None:
            if isinstance(event, DataCentresDrained):
                lists.append(trio.current_time() - began)

        with trio.move_on_after(30.0):
            await KindWatcher(DATA_CENTRES, store, submit, Random(1)).run()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert [round(at) for at in lists] == [0, 1, 1 + REWRITE_S]


# Guards against an entry that can't tell whether it has the newest configuration, since
# the watch before a change and the one after it both waited.
def test_a_configuration_is_confirmed_soon_after_a_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watchers, "read_clock", trio.current_time)
    spec = {"version": 1, "routes": [], "services": [], "limits": {}}
    change = (1.2, make_object("main", spec | {"version": 2}))
    confirmed: list[tuple[float, float]] = []

    def submit(event: ClusterEvent) -> None:
        if isinstance(event, DirectoryRead | DirectoryConfirmed):
            confirmed.append((trio.current_time(), event.last_confirmed_at))

    async def run() -> None:
        store: Any = KindOfStore([make_object("main", spec)], [change])
        with trio.move_on_after(8.0):
            await KindWatcher(DIRECTORY, store, submit, Random(1)).run()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert len(confirmed) >= 5
    for (_, before), (at, _) in zip(confirmed, confirmed[1:], strict=False):
        assert at - before <= DIRECTORY.wait_s + 0.2


# Guards against keys that work on after they were revoked, since a restored store that
# has forgotten the configuration still confirms it (CONFIG).
def test_a_store_without_a_configuration_confirms_none() -> None:
    submitted, calls = watch_kind(DIRECTORY, [], [])
    assert ("watch", False) in calls
    assert not [event for event in submitted if isinstance(event, DirectoryConfirmed)]
    submitted, _ = watch_kind(DIRECTORY, [make_object("main", {"version": 2})], [])
    assert [event for event in submitted if isinstance(event, DirectoryConfirmed)]


def test_a_data_centre_that_is_put_back_is_named_as_removed() -> None:
    submitted, _ = watch_kind(DATA_CENTRES, [make_object("north", {})], [])
    assert submitted == [DataCentresDrained(frozenset({"north"}))]
    gone = Change(make_object("north", {}), deleted=True)

    async def run() -> list[ClusterEvent]:
        store: Any = KindOfStore([make_object("north", {})], [])
        heard: list[ClusterEvent] = []
        watcher = KindWatcher(DATA_CENTRES, store, heard.append, Random(1))
        await watcher._list()
        store.watch = make_watch(Changes([gone], 5))
        await watcher._watch()
        return heard

    assert trio.run(run, clock=MockClock(autojump_threshold=0))[1:] == [
        DataCentresDrained(frozenset(), frozenset({"north"}))
    ]


def make_watch(changes: Changes) -> Any:
    async def watch(*call: Any, **more: Any) -> Changes:
        await trio.sleep(0)
        return changes

    return watch


class ForgettingPool:
    """Answers no call that begins or whose wait ends in an outage.

    Nor does it ever answer a longer watch that was open then.
    """

    def __init__(self, began_s: float, ended_s: float) -> None:
        self.outage = (began_s, ended_s)
        self.sent: list[tuple[float, str]] = []

    async def request(self, method: str, url: str, **more: Any) -> httpcore.Response:
        at = trio.current_time()
        kind = url.rpartition("/")[2]
        self.sent.append((at, kind.partition("?")[0]))
        wait_s = float(url.rpartition("waitMs=")[2]) / 1000 if "waitMs=" in url else 0.0
        began_s, ended_s = self.outage
        is_forgotten = wait_s > DIRECTORY.wait_s and at < began_s
        if began_s <= at < ended_s or began_s <= at + wait_s < ended_s or is_forgotten:
            await trio.sleep_forever()
        await trio.sleep(wait_s)
        item = bytes(make_object("main", {"version": 2})).decode()
        items = f"[{item}]" if kind.startswith("config") else "[]"
        body = f'{{"items": {items}, "events": [], "asOf": 7}}'
        response = httpcore.Response(200, content=body.encode())
        await response.aread()
        return response


# Guards against entries that hear nothing of a kind for the thirty seconds of its watch
# since the store, silent for a moment, forgot that they were watching.
@pytest.mark.parametrize("began_s", [1.5, 2.0, 2.5, 2.9])
@pytest.mark.parametrize("lasted_s", [1.6, 4.0])
def test_a_forgotten_watch_is_sent_again_though_its_wait_is_long(
    monkeypatch: pytest.MonkeyPatch, began_s: float, lasted_s: float
) -> None:
    slow = msgspec.structs.replace(MEMBERS, wait_s=30.0)
    pool: Any = ForgettingPool(0.0, 0.0)

    async def run() -> float:
        began = trio.current_time()
        pool.outage = (began + began_s, began + began_s + lasted_s)
        for module in (watchers, store_module):
            monkeypatch.setattr(module, "read_clock", trio.current_time)
        store = Store("127.0.0.1:1", lambda how: None)
        store._pool = pool
        with trio.move_on_after(20.0):
            async with trio.open_nursery() as nursery:
                for watched in (DIRECTORY, slow):
                    watcher = KindWatcher(watched, store, lambda event: None, Random(1))
                    nursery.start_soon(watcher.run)
        return pool.outage[1]

    ended_at = trio.run(run, clock=MockClock(autojump_threshold=0))
    members = [at for at, kind in pool.sent if kind == MEMBERS.kind]
    assert any(ended_at <= at <= ended_at + 3.1 for at in members)
    assert DIRECTORY.wait_s + CALL_TIMEOUT_S <= 3.0
