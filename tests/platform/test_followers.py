"""Following a kind of the store: what is told, and how many calls it takes."""

from random import Random
from typing import Any

import msgspec
import pytest
import trio
from msgspec import Raw
from trio.testing import MockClock

from masticdrum.model.belief import BeliefEvent, UpstreamChanged, WeightsNamed
from masticdrum.platform.followers import (
    UPSTREAMS,
    UPSTREAMS_OF_AGENT,
    WEIGHTS,
    Followed,
    Follower,
)
from masticdrum.platform.store import Change, Changes, Page


def make_object(name: str, spec: dict[str, Any]) -> Raw:
    body = {"metadata": {"name": name, "revision": 1}, "spec": spec}
    return Raw(msgspec.json.encode(body))


def make_server(name: str) -> Raw:
    spec = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}
    return make_object(name, spec)


class KindOfStore:
    """A store of one kind: ``later`` gives objects that appear at their time."""

    def __init__(self, first: list[Raw], later: list[tuple[float, Raw]]) -> None:
        self.first = first
        self.later = later
        self.calls: list[tuple[str, bool]] = []
        self.began = trio.current_time()

    async def list_page(self, kind: str, after: str, *, stale: bool = False) -> Page:
        self.calls.append(("list", stale))
        return Page(self.first, 0)

    async def watch(
        self, kind: str, since: int, wait_s: float, *, stale: bool = False
    ) -> Changes:
        self.calls.append(("watch", stale))
        with trio.move_on_after(wait_s):
            while not self.find_due(since):
                await trio.sleep(0.001)
        due = self.find_due(since)
        return Changes([Change(item) for item in due], since + len(due))

    def find_due(self, since: int) -> list[Raw]:
        elapsed_s = trio.current_time() - self.began
        return [item for at, item in self.later if at <= elapsed_s][since:]


def follow(
    followed: Followed, first: list[Raw], later: list[tuple[float, Raw]]
) -> tuple[list[BeliefEvent], list[tuple[str, bool]]]:
    """Follow for four seconds; returns what was told, and the calls."""
    told: list[BeliefEvent] = []
    calls: list[tuple[str, bool]] = []

    async def run() -> None:
        store: Any = KindOfStore(first, later)
        with trio.move_on_after(4.0):
            await Follower(followed, store, told.append, Random(1)).run()
        calls.extend(store.calls)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return told, calls


def test_servers_that_register_together_are_read_by_few_calls() -> None:
    """Seen on the grown deployment: a call for each of 26 servers at each process."""
    later = [(1.0 + n / 100, make_server(f"i-{n}")) for n in range(26)]
    told, calls = follow(UPSTREAMS, [], later)
    assert len([event for event in told if isinstance(event, UpstreamChanged)]) == 26
    assert len(calls) <= 6


@pytest.mark.parametrize("followed", [UPSTREAMS, UPSTREAMS_OF_AGENT])
def test_only_agents_read_stale_servers(followed: Followed) -> None:
    _, calls = follow(followed, [], [])
    assert {stale for _, stale in calls} == {followed is UPSTREAMS_OF_AGENT}


def test_weights_of_the_first_list_may_have_been_named_at_any_time() -> None:
    named = make_object("m1", {"model": "m1", "version": 2})
    told, _ = follow(WEIGHTS, [named], [])
    assert told[0] == WeightsNamed("m1", 2, float("-inf"))


def test_weights_were_not_named_yet_when_they_were_asked_for_in_vain() -> None:
    named = make_object("m1", {"model": "m1", "version": 2})
    told, _ = follow(WEIGHTS, [], [(2.0, named)])
    (event,) = told
    assert isinstance(event, WeightsNamed)
    assert event.not_before > 0
