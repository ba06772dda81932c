"""Runs the KV cache under random faults: ``python -m tests.soak_cache --seed 1``."""

import sys
from time import monotonic

import click

from tests.cacheworld import run_world

EVENTS_PER_WORLD = 5_000


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--events", default=100_000, show_default=True)
def main(seed: int, events: int) -> None:
    """Print statistics, or the seed of the world that violated an invariant."""
    begun_at = monotonic()
    worlds = max(1, events // EVENTS_PER_WORLD)
    submitted = imported = reused = damaged = 0
    for number in range(worlds):
        world_seed = seed * 1_000_000 + number
        try:
            world = run_world(world_seed, min(events, EVENTS_PER_WORLD))
        except Exception as error:
            sys.exit(f"world seed {world_seed}: {type(error).__name__}: {error}")
        submitted += world.submitted
        imported += sum(agent.engine.imported for agent in world.agents)
        reused += sum(agent.engine.reused for agent in world.agents)
        damaged += sum(store.damaged for store in world.stores.stores.values())
    click.echo(
        f"{worlds} worlds, {worlds * min(events, EVENTS_PER_WORLD)} events in "
        f"{monotonic() - begun_at:.0f} s: {submitted} prompts, "
        f"{imported} blocks imported, {reused} reused, {damaged} reads damaged, "
        "no violation"
    )


if __name__ == "__main__":
    main()
