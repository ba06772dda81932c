"""Sessions that return after their engine has dropped their cache."""

from collections.abc import Callable

import pytest

from masticdrum.core.storedprefixes import (
    REPORT_VALID_S,
    SAVE_TIMEOUT_S,
    PrefixesReported,
    PrefixPlan,
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


def make_plan(
    prefixes: StoredPrefixes,
    now: float,
    scope: str = SCOPE,
    unloaded_until: float | None = None,
    may_save: bool = True,
) -> PrefixPlan:
    """Plan for weights that are the newest now, or were until some time."""
    until = now if unloaded_until is None else unloaded_until
    return prefixes.plan(
        STORES, PROMPT, scope, now, unloaded_until=until, may_save=may_save
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
    first = make_plan(prefixes, 0.1)
    assert not any(first.sources)
    assert all(first.targets[:2])
    assert first.targets[2] == ""
    again = make_plan(prefixes, 0.2)
    assert not any(again.targets), "saved twice"
    report_all(prefixes, 1.0, "all", "mine")
    later = make_plan(prefixes, 1.1)
    assert later.sources == first.targets
    assert not any(later.targets)


def test_superseded_weights_fetch_what_was_whole_before_and_save_nothing() -> None:
    """A run whose engine changes weights meanwhile saves prefixes of the newer ones."""
    prefixes = StoredPrefixes()
    report_all(prefixes, 1.0, "all")
    report_all(prefixes, 3.0, "mine")
    plan = make_plan(prefixes, 3.1, unloaded_until=2.0, may_save=False)
    assert [bool(source) for source in plan.sources] == [True, False, False]
    assert not any(plan.targets)
    early = make_plan(prefixes, 3.1, unloaded_until=float("-inf"), may_save=False)
    assert not any(early.sources) and not any(early.targets)


# Guards against a part that newer weights have made in place of one that was dropped,
# whose removal was never told of (STALE).
def test_a_prefix_that_is_stored_again_counts_from_then() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 1.0, "all", "mine")
    assert all(make_plan(prefixes, 2.1, unloaded_until=2.0, may_save=False).sources[:2])
    report_all(prefixes, 3.0, "mine")
    plan = make_plan(prefixes, 3.1, unloaded_until=2.0, may_save=False)
    assert [bool(source) for source in plan.sources] == [True, False, False]


def test_a_prefix_behind_a_missing_one_is_not_fetched() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0, "mine")
    assert not any(make_plan(prefixes, 0.1).sources)


def test_another_scope_finds_nothing() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0, "all", "mine")
    assert not any(make_plan(prefixes, 0.1, "m1.2").sources)
    assert not any(make_plan(prefixes, 0.1, "m1.1.walled").sources)


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
    assert not any(make_plan(prefixes, 0.3).sources)


def test_a_store_that_is_silent_is_neither_fetched_from_nor_saved_to() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0, "all", "mine")
    plan = make_plan(prefixes, REPORT_VALID_S + 0.1)
    assert not any(plan.sources) and not any(plan.targets)


def test_a_lost_save_is_requested_again() -> None:
    prefixes = StoredPrefixes()
    report_all(prefixes, 0.0)
    make_plan(prefixes, 0.0)
    report_all(prefixes, SAVE_TIMEOUT_S)
    assert all(make_plan(prefixes, SAVE_TIMEOUT_S + 0.1).targets[:2])


def test_prefixes_are_spread_by_the_capacity_of_the_stores() -> None:
    homes = [select_store(STORES, (SCOPE, f"part-{n}")) for n in range(2000)]
    small = sum(home is STORES[0] for home in homes)
    assert 120 <= small <= 250  # one part in eleven
