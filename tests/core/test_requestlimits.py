"""Upstreams that name how many requests a second they take, and what they get."""

from random import Random

import pytest

from masticdrum.model.cluster_events import Member, MembersListed
from masticdrum.model.exchange import AttemptEnd, StartAttempt
from tests.forwarding import Entry, make_upstream, pick

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
