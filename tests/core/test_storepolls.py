"""Load of more entries than a store of kept cache bears calls."""

import pytest

from masticdrum.core.keptparts import HEARD_S
from masticdrum.core.storepolls import (
    LEAST_PAUSE_S,
    LONG_WAIT_S,
    LONGEST_TURN_S,
    TURNS_PART,
    StorePolls,
    choose_polls,
)
from masticdrum.model.directory import ForwardService, StoreShape

STORE = ForwardService("one", store=StoreShape("one:80", "north", 1000, 12))


def list_polls(entries: int) -> list[StorePolls]:
    """Return how each of so many entries listens to one store of twelve calls."""
    fellows = [f"entry-{n}" for n in range(entries)]
    return [p for own in fellows for p in choose_polls([STORE], own, fellows)]


def test_few_entries_always_have_a_call_open() -> None:
    polls = list_polls(10)
    assert len(polls) == 10
    assert {(p.wait_s, p.pause_s) for p in polls} == {(LONG_WAIT_S, LEAST_PAUSE_S)}


@pytest.mark.parametrize("entries", [11, 38, 49, 1100])
def test_many_entries_take_turns_that_a_store_bears(entries: int) -> None:
    """Seen on the grown deployment: 28 of 38 entries heard nothing of the stores."""
    polls = list_polls(entries)
    assert len(polls) == min(entries, 50)
    at_once = sum(p.wait_s / (p.wait_s + p.pause_s) for p in polls)
    assert at_once <= 12 * TURNS_PART + 0.1
    assert all(p.wait_s + p.pause_s <= LONGEST_TURN_S < HEARD_S for p in polls)
