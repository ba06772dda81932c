"""The whole path through real processes, and what a fault on it leaves."""

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
LENGTH = 300  # tokens, three seconds' worth
PATIENCE_S = 120.0


def ask(system: System, entry: int, prompt: str, length: int = 20) -> Answer:
    return complete(system.entries[entry], TOKEN, NORMAL_ROUTE, prompt, length)


def ask_and_disturb(
    system: System, prompt: str, disturb: Callable[[str], None]
) -> Answer:
    """Send a prompt and, once its text grows, disturbs the engine that serves it."""
    disturbed = False

    def take_text(text: str) -> None:
        nonlocal disturbed
        if len(text) > 60 and not disturbed:
            disturbed = True
            disturb(find_serving(system))

    entry = system.entries[0]
    answer = complete(entry, TOKEN, NORMAL_ROUTE, prompt, LENGTH, take_text)
    assert disturbed, answer
    return answer


def find_serving(system: System) -> str:
    """Find the engine that runs something."""
    serving = [name for name in system.plan.engines if system.show(name)["running"]]
    assert len(serving) == 1
    return serving[0]


def check_text(answer: Answer, prompt: str, length: int) -> None:
    """Check that every token came once, in order, or an explicit error behind them."""
    expected = "".join(make_tokens(prompt, 0, length, "v1"))
    if answer.whole:
        assert answer.text == expected
        return
    assert expected.startswith(answer.text)
    assert answer.kind, answer
    assert answer.outcome == "unknown"


def test_prompt_is_answered_through_each_entry(system: System) -> None:
    for entry in range(len(system.entries)):
        answer = ask(system, entry, "whole path")
        assert answer.whole, answer
        check_text(answer, "whole path", 20)


def test_kept_cache_comes_back_from_a_store(system: System) -> None:
    prompt = "returning prompt " * 3000
    blocks = ask(system, 0, prompt).usage["prompt_blocks"]
    store = next(iter(system.plan.stores))
    wait_until(
        lambda: system.show(store)["blocks"] >= blocks, "blocks kept", PATIENCE_S
    )
    system.evict_caches()
    answer = ask(system, 1, prompt)
    check_text(answer, prompt, 20)
    assert answer.usage["imported_blocks"] == blocks
    assert answer.usage["recomputed_blocks"] == 0


def test_engine_killed_mid_stream(system: System) -> None:
    answer = ask_and_disturb(system, "engine killed", system.kill)
    check_text(answer, "engine killed", LENGTH)


def test_engine_crash_mid_stream(system: System) -> None:
    answer = ask_and_disturb(
        system, "engine crash", lambda engine: system.control(engine, do="crash")
    )
    check_text(answer, "engine crash", LENGTH)


def test_engine_connections_silent_mid_stream(system: System) -> None:
    answer = ask_and_disturb(
        system, "silence", lambda engine: system.control(engine, do="silence")
    )
    assert answer.whole, answer
    check_text(answer, "silence", LENGTH)


def test_agent_killed_mid_stream(system: System) -> None:
    answer = ask_and_disturb(
        system, "agent killed", lambda engine: system.kill(f"agent-{engine}")
    )
    check_text(answer, "agent killed", LENGTH)


def test_agent_frozen_mid_stream(system: System) -> None:
    frozen = []

    def freeze(engine: str) -> None:
        frozen.append(f"agent-{engine}")
        system.send(frozen[0], signal.SIGSTOP)

    answer = ask_and_disturb(system, "agent frozen", freeze)
    check_text(answer, "agent frozen", LENGTH)
    system.send(frozen[0], signal.SIGCONT)
    again = ask(system, 0, "after the freeze")
    assert again.whole, again
    check_text(again, "after the freeze", 20)


def test_entry_killed_mid_stream(system: System) -> None:
    name = next(iter(system.plan.entries))
    answer = ask_and_disturb(system, "entry killed", lambda _: system.kill(name))
    expected = "".join(make_tokens("entry killed", 0, LENGTH, "v1"))
    assert not answer.whole
    assert answer.broken
    assert expected.startswith(answer.text)
    again = ask(system, 1, "entry killed", LENGTH)
    assert again.whole, again
    assert again.text == expected


def test_work_of_a_vanished_caller_is_cancelled(system: System) -> None:
    class Gone(Exception):
        pass

    def leave(text: str) -> None:
        raise Gone

    with pytest.raises(Gone):
        complete(system.entries[0], TOKEN, NORMAL_ROUTE, "vanished", 100_000, leave)
    wait_until(
        lambda: not any(system.show(name)["running"] for name in system.plan.engines),
        "runs cancelled",
        PATIENCE_S,
    )


def test_platform_outage_stops_no_prompt(system: System) -> None:
    for name in ("objects", "instances"):
        system.control(name, outage=True)
    for entry in range(len(system.entries)):
        answer = ask(system, entry, "outage")
        assert answer.whole, answer
        check_text(answer, "outage", 20)


def test_data_centre_out_gets_no_new_work(system: System) -> None:
    names = [n for n, place in system.plan.engines.items() if place == "olten-a"]

    def count() -> int:
        return sum(system.show(name)["counts"].get("POST runs", 0) for name in names)

    system.wait_in_force(system.set_out("olten-a", True))
    before = count()
    for number in range(8):
        assert ask(system, number % 2, f"out {number}").whole
    assert count() == before
    system.wait_in_force(system.set_out("olten-a", False))
    numbers = itertools.count()

    def send_prompt() -> bool:
        assert ask(system, 0, f"back {next(numbers)}").whole
        return count() > before

    wait_until(send_prompt, "work again in olten-a", PATIENCE_S)


def test_operator_takes_a_data_centre_out_and_back(system: System) -> None:
    for what in ("out", "back"):
        ended = system.operate("--json", what, "olten-a")
        assert ended.returncode == 0, ended
        for name in system.plan.entries:
            status = system.show(name)
            assert status["serial"] == json.loads(ended.stdout)["serial"]


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_graceful_shutdown_cuts_no_stream(system: System, role: str) -> None:
    ended = []

    def shut_down(engine: str) -> None:
        ended.append("entry-1" if role == "entry" else f"agent-{engine}")
        system.send(ended[0], signal.SIGTERM)

    answer = ask_and_disturb(system, f"shutdown of {role}", shut_down)
    assert answer.whole, answer
    check_text(answer, f"shutdown of {role}", LENGTH)
    child = system.children[ended[0]]
    assert child.wait(PATIENCE_S)
    assert child.process.returncode == 0
