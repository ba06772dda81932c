"""Sessions that return after their engine has dropped their cache."""

from collections.abc import Callable

import pytest

from masticdrum.core.storedprefixes import (
    REPORT_VALID_S,
    SAVE_TIMEOUT_S,
    PrefixesReported,
    PrefixStoreLost,
    StoredPrefixes,
    select_store,
)
from masticdrum.model.directory import ForwardService, StoreShape
from masticdrum.model.exchange import Prompt, PromptPart

SCOPE = "m1.1"


def make_store(name: str, room: int = 1000, polls: int = 12) -> ForwardService:
    shape = StoreShape(f"{name}:80", "north", room, polls)
    return ForwardService(name, store=shape)


STORES = [make_store("small", 100), make_store("large", 1000)]
PROMPT = Prompt(
    "m1", (PromptPart("all", 500), PromptPart("mine", 8000), PromptPart("own", 900))
)


def report_all(
    prefixes: StoredPrefixes, now: float, *names: str, boot: int = 1
) -> None:
    for store in STORES:
        parts = tuple((SCOPE, name) for name in names)
        prefixes.handle_report(PrefixesReported(store.name, boot, parts), now)


def test_a_session_is_saved_once_and_then_fetched() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0)
    first = prefixes.plan(STORES, PROMPT, SCOPE, 0.1)
    assert not any(first.sources)
    assert all(first.targets[:2])
    assert first.targets[2] == ""
    again = prefixes.plan(STORES, PROMPT, SCOPE, 0.2)
    assert not any(again.targets), "saved twice"
    report_all(prefixes, 1.0, "all", "mine")
    later = prefixes.plan(STORES, PROMPT, SCOPE, 1.1)
    assert later.sources == first.targets
    assert not any(later.targets)


def test_superseded_weights_fetch_what_was_whole_before_and_save_nothing() -> None:
    """A run whose engine changes weights meanwhile saves prefixes of the newer ones."""
    prefixes = StoredPrefixes()
    report_all(prefixes, 1.0, "all")
    report_all(prefixes, 3.0, "mine")
    plan = prefixes.plan(STORES, PROMPT, SCOPE, 3.1, superseded=2.0)
    assert [bool(source) for source in plan.sources] == [True, False, False]
    assert not any(plan.targets)
    early = prefixes.plan(STORES, PROMPT, SCOPE, 3.1, superseded=float("-inf"))
    assert not any(early.sources) and not any(early.targets)


def test_a_prefix_reported_again_keeps_its_first_time() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 1.0, "all", "mine")
    report_all(prefixes, 3.0, "all", "mine")
    assert all(prefixes.plan(STORES, PROMPT, SCOPE, 3.1, superseded=2.0).sources[:2])


def test_a_prefix_behind_a_missing_one_is_not_fetched() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0, "mine")
    assert not any(prefixes.plan(STORES, PROMPT, SCOPE, 0.1).sources)


def test_another_scope_finds_nothing() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0, "all", "mine")
    assert not any(prefixes.plan(STORES, PROMPT, "m1.2", 0.1).sources)
    assert not any(prefixes.plan(STORES, PROMPT, "m1.1.walled", 0.1).sources)


@pytest.mark.parametrize(
    "lose_stores",
    [
        lambda prefixes: [
            prefixes.handle_lost_store(PrefixStoreLost(store.name)) for store in STORES
        ],
        lambda prefixes: report_all(prefixes, 0.2, boot=2),
    ],
    ids=["lost", "restarted"],
)
def test_nothing_is_fetched_from_a_store_that_may_be_another(
    lose_stores: Callable[[StoredPrefixes], object],
) -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.1, "all", "mine")
    lose_stores(prefixes)
    assert not any(prefixes.plan(STORES, PROMPT, SCOPE, 0.3).sources)


def test_a_store_that_is_silent_is_neither_fetched_from_nor_saved_to() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0, "all", "mine")
    plan = prefixes.plan(STORES, PROMPT, SCOPE, REPORT_VALID_S + 0.1)
    assert not any(plan.sources) and not any(plan.targets)


def test_a_lost_save_is_requested_again() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0)
    prefixes.plan(STORES, PROMPT, SCOPE, 0.0)
    report_all(prefixes, SAVE_TIMEOUT_S)
    assert all(prefixes.plan(STORES, PROMPT, SCOPE, SAVE_TIMEOUT_S + 0.1).targets[:2])


def test_prefixes_are_spread_by_the_capacity_of_the_stores() -> None:
    homes = [select_store(STORES, (SCOPE, f"part-{n}")) for n in range(2000)]
    small = sum(home is STORES[0] for home in homes)
    assert 120 <= small <= 250  # one part in eleven
