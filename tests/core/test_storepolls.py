"""More entries than a KV cache store can take calls from at once."""

import pytest

from masticdrum.core.storedprefixes import REPORT_VALID_S
from masticdrum.core.storepolls import (
    LONG_WAIT_S,
    MAX_TURN_S,
    MIN_PAUSE_S,
    TURNS_FRACTION,
    StorePolls,
    choose_polls,
)
from masticdrum.model.directory import ForwardService, StoreShape

STORE = ForwardService("one", store=StoreShape("one:80", "north", 1000, 12))


def list_polls(entries: int) -> list[StorePolls]:
    """Return the polls of all entries at one store with twelve concurrent calls."""
    peers = [f"entry-{n}" for n in range(entries)]
    return [p for own in peers for p in choose_polls([STORE], own, peers)]


def test_few_entries_always_have_a_poll_open() -> None:
    polls = list_polls(10)
    assert len(polls) == 10
    assert {(p.wait_s, p.pause_s) for p in polls} == {(LONG_WAIT_S, MIN_PAUSE_S)}


@pytest.mark.parametrize("entries", [11, 38, 49, 1100])
def test_many_entries_take_turns_within_the_stores_limit(entries: int) -> None:
    """In a larger deployment 28 of 38 entries got no reports from the stores."""
    polls = list_polls(entries)
    assert len(polls) == min(entries, 50)
    at_once = sum(p.wait_s / (p.wait_s + p.pause_s) for p in polls)
    assert at_once <= 12 * TURNS_FRACTION + 0.1
    assert all(p.wait_s + p.pause_s <= MAX_TURN_S < REPORT_VALID_S for p in polls)
