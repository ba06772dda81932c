"""Parts of prompts that crash upstreams: whose requests are refused, and whose not."""

import pytest

from tests.crashworld import CRASHING_PART, FIRST_PART, STEP_S, CrashWorld

STABLE_S = 3.0  # after the fifth crash all entries are to know
ALLOWED_SENDS = 3
SUBJECTS = 40


def play(world: CrashWorld, seconds: float, shared_subject: bool) -> None:
    """Send 20 sound prompts a second, and about one with a crashing part."""
    for _ in range(round(seconds / STEP_S)):
        subject = f"subject-{world.random.randrange(SUBJECTS)}"
        world.request((FIRST_PART, subject))
        if world.random.random() < STEP_S:
            crashing_subject = "subject-0" if shared_subject else subject
            world.request((FIRST_PART, crashing_subject, CRASHING_PART))
        world.step()


def list_late_sends(world: CrashWorld) -> list[float]:
    """Return when crashing prompts were sent although all entries had to know."""
    if len(world.crashes) < 5:
        return []
    known_at = world.crashes[4] + STABLE_S
    return [at for at in world.crashing_sends if at > known_at]


# Guards against requests that share a crashing part, no two alike and at any entry,
# ending one upstream after the other (BUDGET).
@pytest.mark.parametrize("shared_subject", [True, False])
def test_prompts_with_a_crashing_part_stop_reaching_upstreams(
    shared_subject: bool,
) -> None:
    for seed in range(4):
        world = CrashWorld(seed)
        play(world, 25.0, shared_subject)
        late = list_late_sends(world)
        assert len(late) <= ALLOWED_SENDS, f"{len(world.crashes)} crashes, seed {seed}"
