"""Every caller gets the whole answer to its own request, or an explicit error."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from masticdrum.core import completions
from masticdrum.core.invariants import InvariantBroken
from masticdrum.model.entry_events import SendEnd, SendRefusal, SendTokens
from masticdrum.model.errors import ErrorKind, Outcome
from masticdrum.model.messages import Dispatch, Finished, Tokens
from masticdrum.model.telemetry import Count, Counter, Observe
from tests.driver import Network
from tests.soak import draw_scenario, play
from tests.streams import DEADLINE_S, StreamWorld

SEEDS = [*range(1, 13), 299]
MUTANT_SEEDS = range(1, 60)


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_are_whole_under_random_faults(seed: int) -> None:
    play(seed, draw_scenario(seed))


def begin_one(seed: int, **world_options: Any) -> tuple[StreamWorld, str]:
    world = StreamWorld(seed, entries=1, **world_options)
    world.driver.run(until=1.0)
    request = world.send_request("entry-0", max_tokens=50)
    world.driver.run(until=2.0)
    assert 5 < len(world.streams[request].texts) < 45
    return world, request


def find_upstream(world: StreamWorld, request: str) -> str:
    attempt = world.driver.processes["entry-0"].state.completions[request].attempt
    return str(attempt.upstream)


def test_a_silent_link_is_resumed_over_a_new_connection() -> None:
    world, request = begin_one(seed=1)
    serving = find_upstream(world, request)
    world.silent_links |= set(world.links)
    world.driver.run(until=12.0)
    assert isinstance(world.streams[request].end, SendEnd)
    assert len(world.engines[serving].runs) == 0
    assert sum(engine.peak for engine in world.engines.values()) == 1


@pytest.mark.parametrize("fault", ["agent", "engine"])
def test_a_lost_upstream_is_replaced_after_the_delivered_tokens(fault: str) -> None:
    world, request = begin_one(seed=2)
    serving = find_upstream(world, request)
    if fault == "agent":
        world.crash_agent(serving)
    world.crash_engine(serving)
    world.driver.run(until=15.0)
    assert isinstance(world.streams[request].end, SendEnd)
    assert sum(engine.peak for engine in world.engines.values()) == 2


def test_an_answer_that_cannot_be_completed_ends_with_an_explicit_error() -> None:
    world, request = begin_one(seed=3)
    for name in world.agents:
        world.driver.crash(name)
    world.driver.run(until=1.0 + DEADLINE_S + 1.0)
    end = world.streams[request].end
    assert isinstance(end, SendRefusal)
    assert end.outcome is Outcome.UNKNOWN
    assert end.kind in {ErrorKind.UPSTREAM_SILENT, ErrorKind.DEADLINE_EXCEEDED}


def test_a_run_keeps_its_weight_version_across_a_swap() -> None:
    world, request = begin_one(seed=4)
    for name in world.agents:
        world.swap_version(name, "v2")
    world.driver.run(until=10.0)
    assert isinstance(world.streams[request].end, SendEnd)
    assert {text.split("/")[1] for text in world.streams[request].texts} == {"v1"}


def test_times_between_tokens_and_prompt_blocks_are_measured() -> None:
    world, request = begin_one(seed=8)
    seen: list[Observe | Count] = []
    for kind in (Observe, Count):
        world.driver.handlers[kind] = lambda _, effect: seen.append(effect)
    world.driver.run(until=10.0)
    assert isinstance(world.streams[request].end, SendEnd)
    gaps = [e.value for e in seen if isinstance(e, Observe)]
    assert gaps and all(0.04 < gap < 0.05 for gap in gaps)
    counts = [e for e in seen if isinstance(e, Count)]
    assert Count(Counter.PROMPT_BLOCKS, "recomputed", 1) in counts


def test_a_caller_that_disconnects_cancels_the_run() -> None:
    world, request = begin_one(seed=5)
    serving = find_upstream(world, request)
    world.disconnect_caller("entry-0", request)
    world.driver.run(until=2.2)
    assert not world.engines[serving].runs


def test_a_run_whose_entry_died_is_cancelled() -> None:
    world = StreamWorld(6, entries=1)
    world.driver.run(until=1.0)
    request = world.send_request("entry-0", max_tokens=2000)
    world.driver.run(until=2.0)
    serving = find_upstream(world, request)
    world.driver.crash("entry-0")
    world.driver.run(until=20.0)
    assert not world.engines[serving].runs


def deliver_repeats(state: Any, completion: Any, message: Tokens, now: float) -> Any:
    completion.delivered.extend(message.tokens)
    return [SendTokens(completion.request, tuple(message.tokens))]


def end_without_count(
    state: Any, completion: Any, message: Finished, now: float
) -> Any:
    completions._remove_completion(state, completion)
    count = len(completion.delivered)
    return [SendEnd(completion.request, count, message.reason, message.usage)]


def drop_version(**fields: Any) -> Dispatch:
    return Dispatch(**{**fields, "version": ""})


def report_not_run(request: str, kind: ErrorKind, outcome: Outcome, **rest: Any) -> Any:
    return [SendRefusal(request, kind, Outcome.NOT_RUN, 0.0)]


def ignore_deadline(state: Any, completion: Any, now: float) -> Any:
    return []


MUTANTS: dict[str, tuple[str, Callable[..., Any]]] = {
    "repeated tokens are sent on": ("handle_tokens", deliver_repeats),
    "the end is accepted without a count": ("handle_finished", end_without_count),
    "another version may continue": ("Dispatch", drop_version),
    "every refusal reports not run": ("refuse_request", report_not_run),
    "the deadline is not enforced": ("expire_completion", ignore_deadline),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_the_randomised_run_catches(
    mutant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    name, broken = MUTANTS[mutant]
    monkeypatch.setattr(completions, name, broken)
    if name in {"handle_tokens", "handle_finished", "expire_completion"}:
        monkeypatch.setattr(f"masticdrum.core.entry.{name}", broken)
    with pytest.raises(InvariantBroken):
        for seed in MUTANT_SEEDS:
            play(seed, draw_scenario(seed))


def test_frames_that_arrive_in_any_order_make_one_answer() -> None:
    network = Network(repeated=0.3, least_delay_s=0.0, most_delay_s=0.4)
    world = StreamWorld(7, network=network)
    world.driver.run(until=1.0)
    requests = [
        world.send_request(entry, 60) for entry in world.entries for _ in range(4)
    ]
    world.driver.run(until=1.0 + DEADLINE_S)
    ends = [type(world.streams[request].end) for request in requests]
    assert ends == [SendEnd] * len(requests)


def test_messages_survive_the_wire() -> None:
    tokens = Tokens("attempt", 3, ["a", "b"], "v1")
    data = msgspec.msgpack.encode(tokens)
    assert msgspec.msgpack.decode(data, type=Tokens) == tokens
