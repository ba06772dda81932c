"""Non-idempotent calls run at most once under faults, with real processes."""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.processes.deployment import Deployment, request


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: Path = tmp_path_factory.mktemp("calls")
    deployment = Deployment(folder)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture(autouse=True)
def clear_faults(deployment: Deployment) -> Iterator[None]:
    yield
    deployment.control("service", before_s=0.0, after_s=0.0, fault="none")
    deployment.control("objects", outage=False, lose_answers=0)


@pytest.fixture
def callers() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(8) as pool:
        yield pool


def test_two_entries_with_one_key_at_once(
    deployment: Deployment, callers: ThreadPoolExecutor
) -> None:
    entries = ["entry-1", "entry-2"] * 4
    results = list(callers.map(lambda entry: deployment.book(entry, "twins"), entries))
    assert deployment.count("twins") == 1
    assert deployment.book_until_resolved("entry-2", "twins").replayed
    assert {result.status for result in results} <= {200, 409}


def test_replay_conflict_and_other_workspace(deployment: Deployment) -> None:
    first = deployment.book("entry-1", "again")
    assert (first.status, first.replayed) == (200, False)
    retried = deployment.book_until_resolved("entry-2", "again")
    assert (retried.value, retried.replayed) == (first.value, True)
    assert deployment.book("entry-2", "again", "[]").kind == "key_conflict unknown"
    assert deployment.count("again") == 1
    other = deployment.book("entry-2", "again", workspace="radkranz")
    assert (other.value["workspace"], other.replayed) == ("radkranz", False)


def test_the_claim_is_written_but_its_answer_lost(deployment: Deployment) -> None:
    deployment.control("objects", lose_answers=1)
    assert deployment.book("entry-1", "lost").status == 200
    assert deployment.count("lost") == 1


def test_an_entry_is_frozen_while_its_call_runs(
    deployment: Deployment, callers: ThreadPoolExecutor
) -> None:
    deployment.control("service", before_s=0.5)
    first = callers.submit(deployment.book, "entry-1", "frozen")
    time.sleep(0.25)
    deployment.send_signal("entry-1", signal.SIGSTOP)
    deployment.wait_until_run("frozen")
    assert deployment.book("entry-2", "frozen").status in (200, 409)
    deployment.send_signal("entry-1", signal.SIGCONT)
    assert first.result().status == 200
    assert deployment.book_until_resolved("entry-1", "frozen").replayed
    assert deployment.count("frozen") == 1


def test_an_agent_is_killed_after_the_service_acted(
    deployment: Deployment, callers: ThreadPoolExecutor
) -> None:
    deployment.control("service", after_s=5.0)
    first = callers.submit(deployment.book, "entry-1", "killed")
    deployment.wait_until_run("killed")
    deployment.kill("agent")
    deployment.start_agent()
    deployment.wait_for("agent", "/readyz")
    assert first.result().kind == "outcome_unknown unknown"
    retried = deployment.book_until_resolved("entry-2", "killed")
    assert retried.kind == "outcome_unknown unknown"
    assert deployment.count("killed") == 1


def test_an_entry_is_killed_and_the_caller_asks_another(
    deployment: Deployment, callers: ThreadPoolExecutor
) -> None:
    deployment.control("service", after_s=0.5)
    first = callers.submit(deployment.book, "entry-1", "moved")
    deployment.wait_until_run("moved")
    deployment.kill("entry-1")
    assert first.exception() is not None
    result = deployment.book_until_resolved("entry-2", "moved")
    deployment.start_entry("entry-1")
    deployment.wait_for("entry-1", "/readyz")
    assert (result.status, result.replayed) == (200, True)
    assert deployment.count("moved") == 1


def test_nothing_runs_while_the_platform_is_down(deployment: Deployment) -> None:
    deployment.control("objects", outage=True)
    result = deployment.book("entry-1", "down")
    assert result.kind.startswith("ledger_unavailable")
    assert deployment.count("down") == 0
    deployment.control("objects", outage=False)
    assert deployment.book("entry-2", "down").status == 200
    assert deployment.count("down") == 1


def test_a_retry_without_a_credential_is_not_told_that_nothing_ran(
    deployment: Deployment,
) -> None:
    assert deployment.book("entry-1", "credential").status == 200
    result = deployment.book("entry-1", "credential", workspace="nobody")
    assert result.kind == "unauthenticated unknown"


def test_entries_commit_through_each_other(deployment: Deployment) -> None:
    for entry in ("entry-1", "entry-2"):
        for number in range(12):
            assert deployment.book(entry, f"{entry} {number}").status == 200
        metrics = request("GET", f"{deployment.name_url(entry)}/metrics").content
        assert b'reason="forwarded"' in metrics


def test_a_frozen_preferred_writer_is_passed_over(deployment: Deployment) -> None:
    deployment.send_signal("entry-1", signal.SIGSTOP)
    keys = [f"passed over {number}" for number in range(10)]
    statuses = [deployment.book("entry-2", key).status for key in keys]
    deployment.send_signal("entry-1", signal.SIGCONT)
    assert statuses == [200] * len(keys)
    assert [
        deployment.book_until_resolved("entry-1", key).replayed for key in keys
    ] == [True] * len(keys)
    assert [deployment.count(key) for key in keys] == [1] * len(keys)
