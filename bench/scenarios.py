"""Scenarios: the load and the faults of a simulation run."""

from collections.abc import Callable

from msgspec import Struct

from bench.world import World

DRAIN_GRACE_S = 5.0  # from a drain to the engines' stop, from restart to its end


class Scenario(Struct, frozen=True):
    """A load, a length and faults; times are seconds from the start.

    A data centre is drained from ``out_at`` to ``back_at``, a store's link is slow from
    ``slow_at`` to ``fast_at``, a store is down from ``lost_at`` to ``found_at``.
    """

    name: str
    load: float
    length_s: float
    out_at: float = 0.0
    back_at: float = 0.0
    slow_at: float = 0.0
    fast_at: float = 0.0
    lost_at: float = 0.0
    found_at: float = 0.0


STEADY = Scenario("steady", load=0.8, length_s=300.0)
FAULTS = Scenario(
    "faults",
    load=0.5,
    length_s=400.0,
    out_at=140.0,
    back_at=200.0,
    slow_at=270.0,
    fast_at=300.0,
    lost_at=330.0,
    found_at=340.0,
)
SCENARIOS = {each.name: each for each in (STEADY, FAULTS)}


def plan_faults(world: World, scenario: Scenario) -> None:
    """Schedule the scenario's faults in virtual time."""
    centre = world.deployment.drained_data_centre
    at = world.driver.at
    plan: list[tuple[float, Callable[[], None]]] = []
    if scenario.out_at:
        plan += [
            (scenario.out_at, lambda: world.edit_tables(centre)),
            (scenario.out_at + DRAIN_GRACE_S, lambda: world.stop_data_centre(centre)),
            (
                scenario.back_at - DRAIN_GRACE_S,
                lambda: world.restart_data_centre(centre),
            ),
            (scenario.back_at, lambda: world.edit_tables("")),
        ]
    if scenario.slow_at:
        plan += [
            (scenario.slow_at, lambda: world.slow_store_link(0, 10.0)),
            (scenario.fast_at, lambda: world.slow_store_link(0, 1.0)),
            (scenario.lost_at, lambda: world.stop_store(1)),
            (scenario.found_at, lambda: world.restart_store(1)),
        ]
    for time, action in plan:
        at(time, action)
