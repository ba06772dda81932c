"""A long seeded run of completion streams under random faults.

Run as ``python -m tests.soak --seed 1 --events 1000000``. On a violation it prints the
seed and the shortest list of actions found that still causes it.
"""

from collections.abc import Callable
from random import Random

import click
from msgspec import Struct

from masticdrum.core.invariants import InvariantBroken
from tests.driver import Network
from tests.streams import StreamWorld

SCENARIO_S = 60.0
RECOVERY_S = 60.0
REQUESTS = 60
FAULTS = 12
KINDS = (
    "crash entry",
    "crash agent",
    "crash engine",
    "pause entry",
    "pause agent",
    "silence link",
    "silence engine",
    "swap version",
    "hang up",
)


class Action(Struct, frozen=True):
    """One action at a time in seconds; ``number`` selects its target."""

    at: float
    kind: str
    number: int


def draw_scenario(seed: int) -> list[Action]:
    """Return the actions of one scenario, in order."""
    rng = Random(seed)
    actions = [
        Action(rng.uniform(0, SCENARIO_S), "ask", rng.getrandbits(16))
        for _ in range(REQUESTS)
    ]
    for _ in range(FAULTS):
        at = rng.uniform(0, SCENARIO_S)
        actions.append(Action(at, rng.choice(KINDS), rng.getrandbits(16)))
        if rng.random() < 0.3:
            # A second fault at the same time, which may be of the same kind.
            actions.append(Action(at, rng.choice(KINDS), rng.getrandbits(16)))
    return sorted(actions, key=lambda action: action.at)


def play(seed: int, actions: list[Action]) -> int:
    """Run a scenario; return how many events were handled."""
    rng = Random(seed)
    network = Network(
        lost=rng.choice([0.0, 0.01, 0.05]), repeated=rng.choice([0.0, 0.02])
    )
    world = StreamWorld(seed, network=network)
    for action in actions:
        world.driver.at(action.at, make_action(world, action))
    world.driver.run(until=SCENARIO_S + RECOVERY_S)
    world.check_all_ended()
    return world.driver.handled


def make_action(world: StreamWorld, action: Action) -> Callable[[], None]:
    """Return a function that performs an action."""
    entry = world.entries[action.number % len(world.entries)]
    agent = world.agents[action.number % len(world.agents)]
    for_s = 1.0 + action.number % 9

    def disconnect_caller() -> None:
        state = world.driver.processes[entry].state
        if state.completions:
            world.disconnect_caller(entry, sorted(state.completions)[0])

    choices: dict[str, Callable[[], object]] = {
        "ask": lambda: world.send_request(entry, choose_length(action.number)),
        "crash entry": lambda: world.crash_entry(entry),
        "crash agent": lambda: world.crash_agent(agent),
        "crash engine": lambda: world.crash_engine(agent),
        "pause entry": lambda: world.driver.pause(entry, for_s),
        "pause agent": lambda: world.driver.pause(agent, for_s),
        "silence link": lambda: world.silence_link(entry),
        "silence engine": lambda: world.silence_engine(agent),
        "swap version": lambda: world.swap_version(agent, f"v{1 + action.number % 2}"),
        "hang up": disconnect_caller,
    }

    def run_action() -> None:
        choices[action.kind]()

    return run_action


def choose_length(number: int) -> int:
    """Return how many tokens a request asks for; a few exceed their deadline."""
    return 2500 if number % 16 == 0 else 40


def find_violation(seed: int, actions: list[Action]) -> InvariantBroken | None:
    """Return the invariant violation of a scenario, or None."""
    try:
        play(seed, actions)
    except InvariantBroken as broken:
        return broken
    return None


def shrink(seed: int, actions: list[Action]) -> list[Action]:
    """Return a shorter scenario that still violates an invariant."""
    step = len(actions) // 2
    while step:
        at = 0
        while at < len(actions):
            fewer = actions[:at] + actions[at + step :]
            if find_violation(seed, fewer) is not None:
                actions = fewer
            else:
                at += step
        step //= 2
    return actions


def report(seed: int, actions: list[Action]) -> str:
    """Return the report of a scenario that violates an invariant."""
    fewest = shrink(seed, actions)
    lines = [f"seed {seed}: {find_violation(seed, fewest)}"]
    lines += [f"  {a.at:.3f} s: {a.kind} ({a.number})" for a in fewest]
    return "\n".join(lines)


@click.command()
@click.option("--seed", default=1, help="The first scenario's seed.")
@click.option("--events", default=100_000, help="Stop after this many events.")
def main(seed: int, events: int) -> None:
    """Run scenarios until enough events were handled or an invariant is violated."""
    done = 0
    first = seed
    while done < events:
        actions = draw_scenario(seed)
        try:
            done += play(seed, actions)
        except InvariantBroken:
            raise click.ClickException(report(seed, actions)) from None
        seed += 1
    click.echo(f"{done} events, seeds {first} to {seed - 1}: no violation")


if __name__ == "__main__":
    main()
