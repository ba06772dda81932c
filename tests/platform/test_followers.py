"""Watching a kind of the store: which events are submitted, and with how many calls."""

from random import Random
from typing import Any

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
    UpstreamChanged,
    WeightsNamed,
)
from masticdrum.platform import watchers
from masticdrum.platform.pages import Change, Changes, Page
from masticdrum.platform.store import WatchInterrupted
from masticdrum.platform.watchers import (
    AGENT_UPSTREAMS,
    DATA_CENTRES,
    DIRECTORY,
    UPSTREAMS,
    WEIGHTS,
    KindWatcher,
    WatchedKind,
)


def make_object(name: str, spec: dict[str, Any]) -> Raw:
    body = {"metadata": {"name": name, "revision": 1}, "spec": spec}
    return Raw(msgspec.json.encode(body))


def make_server(name: str) -> Raw:
    spec = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}
    return make_object(name, spec)


class KindOfStore:
    """A store with one kind; ``later`` holds objects and when they appear."""

    def __init__(self, first: list[Raw], later: list[tuple[float, Raw]]) -> None:
        self.first = first
        self.later = later
        self.calls: list[tuple[str, bool]] = []
        self.era = 1
        self.began = trio.current_time()

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
    (event,) = submitted
    assert isinstance(event, WeightsNamed)
    assert event.not_before > 0


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
