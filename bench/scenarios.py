"""What happens to a deployment during a run of the bench."""

from collections.abc import Callable

from msgspec import Struct

from bench.world import World

GRACE_S = 5.0  # between the operators' edit and the stop of a data centre's engines


class Scenario(Struct, frozen=True):
    """A load, a length and faults; times are seconds from the start."""

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
    """Set the scenario's faults on the world's clock."""
    centre = world.deployment.leaves
    at = world.driver.at
    plan: list[tuple[float, Callable[[], None]]] = []
    if scenario.out_at:
        plan += [
            (scenario.out_at, lambda: world.edit_tables(centre)),
            (scenario.out_at + GRACE_S, lambda: world.stop_data_centre(centre)),
            (scenario.back_at - GRACE_S, lambda: world.restart_data_centre(centre)),
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
