"""All entries together keep the rate of a cold upstream, however many they are."""

from random import Random

import pytest

from masticdrum.core.coldstartpacing import ColdStartBounds, ColdStartPacer, Place
from masticdrum.model.cluster_events import Member, MembersListed
from tests.forwarding import Entry

BOUNDS = ColdStartBounds(factor=1.5, slack=5.0)
PER_S = 10.0
LIMIT = PER_S * BOUNDS.factor + BOUNDS.slack
STEP_S = 0.01
COLD_S = 12.0


class PacedEntry:
    """One of several entries; its clock differs, and it may not be listed yet."""

    def __init__(self, rank: int, random: Random, skew_s: float) -> None:
        self.rank = rank
        self.skew_s = skew_s
        self.pacer = ColdStartPacer(BOUNDS, random)

    def try_send(self, members: int, now: float) -> bool:
        place = Place(self.rank, members, now + self.skew_s)
        if not self.pacer.may_send("engine", PER_S, place, now):
            return False
        self.pacer.record_send("engine", PER_S, place, now)
        return True


def send_all(
    entries: int, seed: int, demand_per_s: float, quiet_s: float = 0.0
) -> list[float]:
    """Return when requests go to one cold upstream.

    Each entry has ``demand_per_s`` requests for it, after ``quiet_s`` without any in
    which each may have saved up a request.
    """
    random = Random(seed)
    paced = [
        PacedEntry(rank, random, random.uniform(-0.4, 0.4)) for rank in range(entries)
    ]
    sent: list[float] = []
    now = 1000.0 + random.random()
    end = now + COLD_S
    for entry in paced:
        place = Place(entry.rank, entries, now)
        entry.pacer.may_send("engine", PER_S, place, now)
    now += quiet_s
    while now < end:
        for entry in random.sample(paced, len(paced)):
            if random.random() < demand_per_s * STEP_S and entry.try_send(entries, now):
                sent.append(now)
        now += STEP_S
    return sent


def find_busiest_second(sent: list[float]) -> int:
    return max(
        (sum(start <= at < start + 1.0 for at in sent) for start in sent), default=0
    )


def check_large_fleet() -> None:
    """Raise ``AssertionError`` if many entries with saved-up requests exceed the limit.

    Each of them had a request due at the same moment, 68 where 20 are allowed.
    """
    for seed in range(3):
        sent = send_all(68, seed, demand_per_s=20.0, quiet_s=6.0)
        assert find_busiest_second(sent) <= LIMIT


def test_a_large_fleet_with_sudden_work_keeps_the_limit() -> None:
    check_large_fleet()


@pytest.mark.parametrize(
    "entries", [1, 3, 6, 7, 8, 10, 11, 13, 15, 16, 20, 21, 38, 49, 68, 300]
)
@pytest.mark.parametrize("demand_per_s", [1.0, 30.0])
def test_any_number_of_entries_keeps_the_limit(
    entries: int, demand_per_s: float
) -> None:
    for seed in range(6):
        sent = send_all(entries, seed, demand_per_s)
        assert find_busiest_second(sent) <= LIMIT


@pytest.mark.parametrize("entries", range(1, 21))
def test_few_entries_that_send_at_the_same_moments_keep_the_limit(
    entries: int,
) -> None:
    sent = send_all(entries, 1, demand_per_s=100.0, quiet_s=6.0)
    assert find_busiest_second(sent) <= LIMIT


@pytest.mark.parametrize("entries", [21, 68, 300])
def test_a_cold_upstream_of_many_entries_still_gets_work(entries: int) -> None:
    sent = send_all(entries, 1, demand_per_s=20.0)
    assert len(sent) / COLD_S >= LIMIT / 4


def test_entries_take_turns() -> None:
    served = set()
    for turn in range(68):
        for rank in range(68):
            pacer = ColdStartPacer(BOUNDS, Random(1))
            if pacer.may_send("engine", PER_S, Place(rank, 68, 1000.0 + turn), 0.0):
                served.add(rank)
    assert served == set(range(68))


def test_an_entry_finds_its_place_among_the_listed_ones() -> None:
    entry = Entry()
    entry.state.clock_offset = 5.0
    names = ["entry-0", "entry-1", "entry-2"]
    members = [Member(name, "entry", "north") for name in names]
    entry.handle_event(MembersListed((*members, Member("entry-00", "agent", "north"))))
    assert entry.state.find_place(100.0) == Place(1, 3, 105.0)
    entry.handle_event(MembersListed((members[0], members[2])))
    assert entry.state.find_place(100.0) == Place(2, 3, 105.0)
