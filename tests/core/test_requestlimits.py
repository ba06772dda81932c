"""Upstreams that name how many requests a second they take, and what they get."""

from random import Random

import pytest

from masticdrum.core.coldstartpacing import Place
from masticdrum.core.requestlimits import KEEP_S, RequestLimits
from masticdrum.model.cluster_events import (
    Member,
    MembersListed,
    UpstreamChanged,
    UpstreamGone,
)
from masticdrum.model.exchange import AttemptEnd, StartAttempt
from tests.forwarding import Entry, get_start, make_upstream, pick

NEEDY, SOUND = "engines-1", "engines-2"
STEP_S = 0.02
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
TOLD_S = 0.5  # after its first answer with a limit an entry is bound by it


class LimitWorld:
    """Entries before two engines; one names a limit in each of its answers."""

    def __init__(self, entries: int, limit: float | None, clocks_apart_s: float = 0.0):
        self.random = Random(entries)
        self.now = 100.0
        self.limit = limit
        upstreams = (
            make_upstream(NEEDY, "engines"),
            make_upstream(SOUND, "engines"),
        )
        names = [f"entry-{number:03}" for number in range(entries)]
        self.entries = [Entry(n, upstreams, name) for n, name in enumerate(names)]
        members = tuple(Member(name, "entry", "north") for name in names)
        for entry in self.entries:
            entry.handle_event(MembersListed(members))
            entry.state.clock_offset = self.random.uniform(0.0, clocks_apart_s)
        self.told: dict[Entry, float] = {}
        self.needy_sends: list[float] = []

    def request(self, entry: Entry) -> None:
        """Send a request that is answered at once."""
        for start in pick(entry.send_request("stream"), StartAttempt):
            limit = self.limit if start.upstream == NEEDY else None
            if start.upstream == NEEDY:
                if self.now >= self.told.get(entry, self.now) + TOLD_S:
                    self.needy_sends.append(self.now)
                if limit is not None:
                    self.told.setdefault(entry, self.now)
            entry.begin(start, limit)
            entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)

    def run(self, seconds: float, per_s: float) -> None:
        """Send ``per_s`` requests a second to each entry."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for entry in self.entries:
                entry.now = self.now
                if self.random.random() < per_s * STEP_S:
                    entry.confirm()
                    self.request(entry)

    def find_busiest(self) -> int:
        """Return the most requests that the needy engine got in any four seconds."""
        return max(
            (
                sum(at <= other < at + WINDOW_S for other in self.needy_sends)
                for at in self.needy_sends
            ),
            default=0,
        )


# Guards against entries that together send an upstream in need several times what it
# says that it takes (LIMIT).
@pytest.mark.parametrize("entries", [1, 3, 10, 38, 68])
def test_an_upstream_in_need_gets_no_more_than_it_names(entries: int) -> None:
    for limit in (0.0, 0.4, 2.5, 4.9, 20.0):
        world = LimitWorld(entries, limit, clocks_apart_s=0.8)
        world.run(6.0, 60 / entries)
        world.run(8.0, 0.2)
        world.run(8.0, 60 / entries)
        allowed = FACTOR * limit * WINDOW_S + SLACK
        assert world.find_busiest() <= allowed, f"limit {limit}"


# Guards against entries that leave much of a limit unused while callers are refused.
@pytest.mark.parametrize(("entries", "share"), [(3, 0.85), (10, 0.85), (38, 0.4)])
def test_entries_use_what_an_upstream_in_need_takes(entries: int, share: float) -> None:
    world = LimitWorld(entries, 6.0)
    world.run(5.0, 60 / entries)
    world.needy_sends.clear()
    world.run(20.0, 60 / entries)
    assert share * 6.0 * 20 <= len(world.needy_sends) <= 1.1 * 6.0 * 20


# Guards against a limit that outlives the need, or is taken for another upstream's.
def test_a_limit_ends_with_an_answer_without_one_or_with_a_restart() -> None:
    limits = RequestLimits(Random(1))
    place = Place(0, 1, 0.0)
    limits.record_answer("engines-1", 1, 0.5, "r1")
    assert not limits.may_send("engines-1", 1, place, 100.0)
    assert limits.may_send("engines-1", 2, place, 100.0)
    limits.record_answer("engines-1", 1, None, "r2")
    assert limits.may_send("engines-1", 1, place, 100.0)
    entry = Entry()
    start = get_start(entry.send_request("stream"))
    entry.begin(start, 0.5)
    assert entry.state.limits.has_limit(start.upstream)
    entry.handle_event(UpstreamGone(start.upstream))
    entry.now += KEEP_S
    entry.handle_event(UpstreamGone("another"))
    assert not entry.state.limits.has_limit(start.upstream)


# Guards against a limit that is forgotten as its upstream's registration lapses for
# some seconds, as while its heartbeats don't arrive (LIMIT).
@pytest.mark.parametrize("absent_s", [0.5, 2.4, 30.0])
def test_a_limit_outlasts_a_lapse_of_the_registration(absent_s: float) -> None:
    needy = make_upstream(NEEDY, "engines", born=7)
    entry = Entry(upstreams=(needy,))
    entry.begin(get_start(entry.send_request("stream")), 1.0)
    entry.handle_event(UpstreamGone(NEEDY))
    entry.now += absent_s
    entry.handle_event(UpstreamGone("another"))
    entry.handle_event(UpstreamChanged(needy))
    sent = 0
    for _ in range(40):
        entry.now += 0.1
        entry.confirm()
        sent += len(pick(entry.send_request("stream"), StartAttempt))
    assert sent <= FACTOR * WINDOW_S + SLACK
    restarted = make_upstream(NEEDY, "engines", born=8)
    entry.handle_event(UpstreamChanged(restarted))
    sent = sum(len(pick(entry.send_request("stream"), StartAttempt)) for _ in range(20))
    assert sent == 20


# Guards against a stream that began before the limit was named lifting it at its end.
def test_the_end_of_a_stream_says_nothing_of_limits() -> None:
    entry = Entry(upstreams=(make_upstream(NEEDY, "engines"),))
    before = get_start(entry.send_request("stream"))
    entry.begin(before)
    after = get_start(entry.send_request("stream"))
    entry.begin(after, 0.5)
    entry.end(before, AttemptEnd.ANSWERED, 200, verified=True)
    assert entry.state.limits.has_limit(NEEDY)


# Guards against refusing prompts as saturated while an upstream with a limit, whose
# queue is short, could take one more.
def test_a_prompt_that_would_be_shed_takes_a_limited_upstreams_share() -> None:
    upstreams = (make_upstream(NEEDY, "engines"), make_upstream(SOUND, "engines"))
    entry = Entry(upstreams=upstreams)
    entry.state.limits.record_answer(NEEDY, 0, 1.0, "r0")
    for _ in range(8):
        entry.send_request("stream")
    entry.now += 0.5
    entry.confirm()
    sent: list[str] = []
    for _ in range(200):
        entry.now += 0.02
        entry.confirm()
        sent += [s.upstream for s in pick(entry.send_request("stream"), StartAttempt)]
    assert set(sent) == {NEEDY}
    assert 3 <= len(sent) <= 5


# Guards against plain requests, which are answered whole, ignoring limits.
def test_whole_answers_name_limits_too() -> None:
    entry = Entry()
    start = get_start(entry.send_request("idempotent"))
    entry.end(start, AttemptEnd.ANSWERED, 200, verified=True, limit_per_s=0.5)
    assert entry.state.limits.has_limit(start.upstream)
