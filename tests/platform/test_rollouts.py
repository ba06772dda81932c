"""Roll-outs with real entries: what is decided, and which version gets requests."""

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from masticdrum.core.rolloutprogress import decode_progress
from tests.platform.rolloutfleet import (
    ENTRIES,
    NEW,
    NEW_SERVERS,
    OLD_SERVERS,
    ROLLOUT,
    WORK_S,
    Callers,
    RolloutFleet,
)

DURATION_S = 20.0
SPARE_S = 2.0  # for this test to see what the store holds
LATER_S = 6.0  # when a version that is bad only later turns bad
PATHS = ("/book/7", "/look/7")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[RolloutFleet]:
    fleet = RolloutFleet(tmp_path)
    try:
        yield fleet
    finally:
        fleet.stop()


def check_exposure(fleet: RolloutFleet) -> None:
    """Check the share of a bad version between its order and the deadline."""
    time.sleep(max(0.0, fleet.ordered_at + DURATION_S - time.monotonic()))
    sent = fleet.count_all_runs(NEW_SERVERS)
    whole = sent + fleet.count_all_runs(OLD_SERVERS) - fleet.runs_before
    bound = ROLLOUT["exposure_share"] * whole + ROLLOUT["exposure_slack"]
    assert sent <= bound, f"{sent} of {whole}"


def check_nothing_more(fleet: RolloutFleet, callers: Callers) -> None:
    """Check that nothing reaches the target later than the bound."""
    time.sleep(ROLLOUT["rollback_s"])
    sent, answered = fleet.count_all_runs(NEW_SERVERS), len(callers.statuses)
    time.sleep(3.0)
    assert len(callers.statuses) > answered
    assert fleet.count_all_runs(NEW_SERVERS) == sent
    assert fleet.find_state() == "rolled_back"


def test_without_the_settings_versions_are_served_alike(fleet: RolloutFleet) -> None:
    fleet.start(rollout=None)
    fleet.start_target()
    fleet.order(DURATION_S)
    with Callers(fleet, PATHS) as callers:
        fleet.wait_until(
            lambda: fleet.count_all_runs(NEW_SERVERS) >= 50, "requests at the target"
        )
    assert callers.list_failed() == []
    assert fleet.find_status() is None and fleet.find_decider() is None
    assert fleet.read_shares(ENTRIES[0]) == {}


def test_a_good_version_is_completed_and_the_old_servers_may_stop(
    fleet: RolloutFleet,
) -> None:
    fleet.start()
    fleet.start_target()
    with Callers(fleet, PATHS) as callers:
        time.sleep(1.0)
        fleet.order(DURATION_S)
        assert fleet.wait_for_final(DURATION_S + SPARE_S) == "completed"
        fleet.stop_old()
        answered = len(callers.statuses)
        time.sleep(3.0)
        assert len(callers.statuses) > answered
    assert fleet.find_status() == {"state": "completed", "target": NEW}
    assert callers.list_failed() == []


def test_the_status_is_running_at_first(fleet: RolloutFleet) -> None:
    fleet.start()
    fleet.start_target()
    with Callers(fleet, PATHS):
        fleet.order(DURATION_S)
        fleet.wait_until(lambda: fleet.find_state() == "running", "the status")
        fleet.wait_until(
            lambda: all("desk" in fleet.read_shares(entry) for entry in ENTRIES),
            "shares at all entries",
        )
        fleet.wait_until(
            lambda: fleet.read("masticdrum-rolloutprogress", "desk") is not None,
            "the progress for operators",
        )
        stored = fleet.read("masticdrum-rolloutprogress", "desk")
        assert stored is not None
        progress = decode_progress(json.dumps(stored["spec"]).encode())
        assert (progress.target, progress.next_share) == (NEW, 1.0)


BAD = {
    "fails": {"fail_every": 3},
    "fails rarely": {"fail_every": 8},
    "slow": {"slow_every": 1, "extra_s": 6 * WORK_S},
    "slow in part": {"slow_every": 2, "extra_s": 10 * WORK_S},
    "fails on one route": {"fail_every": 2, "bad_path": "/look/"},
    "slow on one route": {"slow_every": 1, "extra_s": 0.1, "bad_path": "/look/"},
    "fails under load": {"fail_every": 2, "bad_above": 1},
}


@pytest.mark.parametrize("faults", BAD.values(), ids=BAD)
def test_a_bad_version_is_rolled_back_and_gets_nothing_more(
    fleet: RolloutFleet, faults: dict[str, Any]
) -> None:
    fleet.start()
    fleet.start_target(**faults)
    with Callers(fleet, PATHS) as callers:
        time.sleep(1.0)
        fleet.order(DURATION_S)
        assert fleet.wait_for_final(DURATION_S + SPARE_S) == "rolled_back"
        check_nothing_more(fleet, callers)
        check_exposure(fleet)


def test_a_version_that_turns_bad_later_is_rolled_back(fleet: RolloutFleet) -> None:
    fleet.start()
    fleet.start_target()
    with Callers(fleet, PATHS) as callers:
        fleet.order(DURATION_S)
        time.sleep(LATER_S)
        for name in NEW_SERVERS:
            fleet.control(name, fail_every=2)
        assert fleet.wait_for_final(DURATION_S) == "rolled_back"
        check_nothing_more(fleet, callers)
        check_exposure(fleet)


@pytest.mark.parametrize(
    ("faults", "state"), [({}, "completed"), ({"fail_every": 4}, "rolled_back")]
)
def test_another_entry_decides_once_the_decider_was_killed(
    fleet: RolloutFleet, faults: dict[str, Any], state: str
) -> None:
    fleet.start()
    fleet.start_target()
    with Callers(fleet, PATHS) as callers:
        fleet.order(DURATION_S)
        fleet.wait_until(lambda: fleet.find_decider() in ENTRIES, "a decider")
        time.sleep(2.0)
        killed = fleet.find_decider()
        assert killed in ENTRIES
        fleet.kill(killed)
        for name in NEW_SERVERS:
            fleet.control(name, **faults)
        assert fleet.wait_for_final(DURATION_S + SPARE_S) == state
        assert fleet.find_decider() != killed
        if state == "rolled_back":
            check_nothing_more(fleet, callers)
            check_exposure(fleet)
