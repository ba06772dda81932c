"""Long randomised runs of the call path: at most once, and "not run" holds.

``python -m tests.soak_calls --seed 1 --events 1000000`` runs episodes of scripted
faults until the reducers have handled that many events. On a violation it prints the
episode's seed and a shrunk list of actions.
"""

import time
from collections import Counter
from collections.abc import Callable
from random import Random

import click

from tests.callworld import Action, World

FAULTS = [
    "kill entry",
    "kill agent",
    "freeze entry",
    "freeze agent",
    "mute",
    "down",
    "reject",
    "lose",
    "storm",
    "break",
]
EPISODE_S = 90.0
CALLS = 60
KEYS = 10
MAX_FAULTS = 14
EPISODE_SEEDS = 1_000_000


def make_episode(seed: int) -> list[Action]:
    """Make an episode's actions: calls that share a few keys, and random faults."""
    rng = Random(seed)
    actions = [make_call_action(rng) for _ in range(CALLS)]
    actions += [make_duplicate(rng, first_call) for first_call in actions[:10]]
    for _ in range(rng.randrange(MAX_FAULTS)):
        at = rng.uniform(0.0, EPISODE_S)
        actions.append(make_fault(rng, at))
        if rng.random() < 0.5:
            actions.append(make_fault(rng, at + rng.uniform(0.0, 5.0)))
    actions.sort(key=lambda action: action.at)
    return actions


def make_fault(rng: Random, at: float) -> Action:
    for_s = rng.choice([0.5, 3.0, 12.0, 30.0])
    return Action(at, rng.choice(FAULTS), rng.randrange(3), for_s)


def make_call_action(rng: Random) -> Action:
    return Action(
        at=rng.uniform(0.0, EPISODE_S),
        what="ask",
        target=rng.randrange(3),
        for_s=rng.uniform(0.01, 2.0) if rng.random() < 0.1 else 0.0,
        workspace=rng.randrange(2),
        key=rng.randrange(KEYS),
        body=0 if rng.random() < 0.9 else 1,
    )


def make_duplicate(rng: Random, first_call: Action) -> Action:
    """Make the same call through another entry at nearly the same time."""
    return Action(
        at=first_call.at + rng.choice([0.0, 0.001, 0.02, 1.0]),
        what="ask",
        target=first_call.target + 1,
        workspace=first_call.workspace,
        key=first_call.key,
        body=first_call.body,
    )


def find_violation(seed: int, actions: list[Action]) -> str:
    """Run an episode; return its error, or an empty text."""
    try:
        World(seed).run(actions)
    except Exception as error:
        return f"{type(error).__name__}: {error}"
    return ""


def shrink(
    seed: int,
    actions: list[Action],
    find: Callable[[int, list[Action]], str] = find_violation,
) -> list[Action]:
    """Drop actions, in ever smaller groups, as long as the run still fails."""
    size = max(1, len(actions) // 2)
    while True:
        start = 0
        while start < len(actions):
            fewer = actions[:start] + actions[start + size :]
            if find(seed, fewer):
                actions = fewer
            else:
                start += size
        if size == 1:
            return actions
        size //= 2


def soak(seed: int, events: int) -> tuple[int, int, Counter[str]]:
    """Run episodes; return the numbers of events, of episodes and of each result."""
    done = 0
    episode = 0
    results: Counter[str] = Counter()
    while done < events:
        episode_seed = seed * EPISODE_SEEDS + episode
        actions = make_episode(episode_seed)
        world = World(episode_seed)
        try:
            world.run(actions)
        except Exception as error:
            report(episode_seed, actions, error)
            raise
        done += world.events
        results += world.result_counts
        episode += 1
    return done, episode, results


def report(seed: int, actions: list[Action], error: Exception) -> None:
    click.echo(f"episode seed {seed}: {type(error).__name__}: {error}")
    for action in shrink(seed, actions):
        click.echo(f"  {action}")


@click.command()
@click.option("--seed", default=1, help="Seed of the run.")
@click.option("--events", default=1_000_000, help="Reducer events to run.")
def main(seed: int, events: int) -> None:
    """Run the call path under random faults."""
    begun = time.monotonic()
    done, episodes, results = soak(seed, events)
    took_s = time.monotonic() - begun
    click.echo(f"seed {seed}: {done} events, {episodes} episodes, {took_s:.0f} s")
    for what, count in sorted(results.items()):
        click.echo(f"  {count:8d} {what}")


if __name__ == "__main__":
    main()
