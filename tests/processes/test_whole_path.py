"""The path from caller to engine through real processes, with faults on it."""

import itertools
import json
import signal
from collections.abc import Callable

import pytest

from demo.caller import Answer, complete
from demo.processes import wait_until
from demo.system import NORMAL_ROUTE, TOKENS, System
from tests.standins.enginemodel import make_tokens

TOKEN = TOKENS["olten-depot"]
MAX_TOKENS = 300  # about three seconds of streaming
WAIT_TIMEOUT_S = 120.0


def request_completion(
    system: System, entry: int, prompt: str, length: int = 20
) -> Answer:
    return complete(system.entries[entry], TOKEN, NORMAL_ROUTE, prompt, length)


def complete_with_fault(
    system: System, prompt: str, inject_fault: Callable[[str], None]
) -> Answer:
    """Send a prompt; inject a fault at its engine once text has arrived."""
    injected = False

    def handle_text(text: str) -> None:
        nonlocal injected
        if len(text) > 60 and not injected:
            injected = True
            inject_fault(find_serving_engine(system))

    entry = system.entries[0]
    answer = complete(entry, TOKEN, NORMAL_ROUTE, prompt, MAX_TOKENS, handle_text)
    assert injected, answer
    return answer


def find_serving_engine(system: System) -> str:
    """Return the name of the only engine with a run."""
    serving = [name for name in system.plan.engines if system.show(name)["running"]]
    assert len(serving) == 1
    return serving[0]


def check_text(answer: Answer, prompt: str, length: int) -> None:
    """Check that the tokens came once and in order, then the end or an error."""
    expected = "".join(make_tokens(prompt, 0, length, "v1"))
    if answer.is_complete:
        assert answer.text == expected
        return
    assert expected.startswith(answer.text)
    assert answer.kind, answer
    assert answer.outcome == "unknown"


def test_prompt_is_answered_through_each_entry(system: System) -> None:
    for entry in range(len(system.entries)):
        answer = request_completion(system, entry, "whole path")
        assert answer.is_complete, answer
        check_text(answer, "whole path", 20)


def test_stored_kv_cache_is_imported_from_a_store(system: System) -> None:
    prompt = "returning prompt " * 3000
    blocks = request_completion(system, 0, prompt).usage["prompt_blocks"]
    store = next(iter(system.plan.stores))
    wait_until(
        lambda: system.show(store)["blocks"] >= blocks, "blocks stored", WAIT_TIMEOUT_S
    )
    system.evict_caches()
    answer = request_completion(system, 1, prompt)
    check_text(answer, prompt, 20)
    assert answer.usage["imported_blocks"] == blocks
    assert answer.usage["recomputed_blocks"] == 0


def test_engine_killed_mid_stream(system: System) -> None:
    answer = complete_with_fault(system, "engine killed", system.kill)
    check_text(answer, "engine killed", MAX_TOKENS)


def test_engine_crash_mid_stream(system: System) -> None:
    answer = complete_with_fault(
        system, "engine crash", lambda engine: system.control(engine, do="crash")
    )
    check_text(answer, "engine crash", MAX_TOKENS)


def test_engine_connections_silent_mid_stream(system: System) -> None:
    answer = complete_with_fault(
        system, "silence", lambda engine: system.control(engine, do="silence")
    )
    assert answer.is_complete, answer
    check_text(answer, "silence", MAX_TOKENS)


def test_agent_killed_mid_stream(system: System) -> None:
    answer = complete_with_fault(
        system, "agent killed", lambda engine: system.kill(f"agent-{engine}")
    )
    check_text(answer, "agent killed", MAX_TOKENS)


def test_agent_frozen_mid_stream(system: System) -> None:
    frozen = []

    def freeze(engine: str) -> None:
        frozen.append(f"agent-{engine}")
        system.send(frozen[0], signal.SIGSTOP)

    answer = complete_with_fault(system, "agent frozen", freeze)
    check_text(answer, "agent frozen", MAX_TOKENS)
    system.send(frozen[0], signal.SIGCONT)
    second = request_completion(system, 0, "after the freeze")
    assert second.is_complete, second
    check_text(second, "after the freeze", 20)


def test_entry_killed_mid_stream(system: System) -> None:
    name = next(iter(system.plan.entries))
    answer = complete_with_fault(system, "entry killed", lambda _: system.kill(name))
    expected = "".join(make_tokens("entry killed", 0, MAX_TOKENS, "v1"))
    assert not answer.is_complete
    assert answer.connection_error
    assert expected.startswith(answer.text)
    second = request_completion(system, 1, "entry killed", MAX_TOKENS)
    assert second.is_complete, second
    assert second.text == expected


def test_work_of_a_disconnected_caller_is_cancelled(system: System) -> None:
    class CallerLeft(Exception):
        pass

    def disconnect(text: str) -> None:
        raise CallerLeft

    with pytest.raises(CallerLeft):
        complete(
            system.entries[0], TOKEN, NORMAL_ROUTE, "vanished", 100_000, disconnect
        )
    wait_until(
        lambda: not any(system.show(name)["running"] for name in system.plan.engines),
        "runs cancelled",
        WAIT_TIMEOUT_S,
    )


def test_platform_outage_stops_no_prompt(system: System) -> None:
    for name in ("objects", "instances"):
        system.control(name, outage=True)
    for entry in range(len(system.entries)):
        answer = request_completion(system, entry, "outage")
        assert answer.is_complete, answer
        check_text(answer, "outage", 20)


def test_data_centre_out_gets_no_new_work(system: System) -> None:
    names = [
        n for n, data_centre in system.plan.engines.items() if data_centre == "olten-a"
    ]

    def count_runs() -> int:
        return sum(system.show(name)["counts"].get("POST runs", 0) for name in names)

    system.wait_for_serial(system.set_out("olten-a", True))
    before = count_runs()
    for number in range(8):
        assert request_completion(system, number % 2, f"out {number}").is_complete
    assert count_runs() == before
    system.wait_for_serial(system.set_out("olten-a", False))
    numbers = itertools.count()

    def is_served_again() -> bool:
        assert request_completion(system, 0, f"back {next(numbers)}").is_complete
        return count_runs() > before

    wait_until(is_served_again, "work again in olten-a", WAIT_TIMEOUT_S)


def test_operator_takes_a_data_centre_out_and_back(system: System) -> None:
    for what in ("out", "back"):
        process = system.run_ctl("--json", what, "olten-a")
        assert process.returncode == 0, process
        for name in system.plan.entries:
            status = system.show(name)
            assert status["serial"] == json.loads(process.stdout)["serial"]


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_graceful_shutdown_cuts_no_stream(system: System, role: str) -> None:
    stopped = []

    def shut_down(engine: str) -> None:
        stopped.append("entry-1" if role == "entry" else f"agent-{engine}")
        system.send(stopped[0], signal.SIGTERM)

    answer = complete_with_fault(system, f"shutdown of {role}", shut_down)
    assert answer.is_complete, answer
    check_text(answer, f"shutdown of {role}", MAX_TOKENS)
    child = system.children[stopped[0]]
    assert child.wait(WAIT_TIMEOUT_S)
    assert child.process.returncode == 0
