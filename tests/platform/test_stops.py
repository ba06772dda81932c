"""Planned stops of several entries at once, as real processes under load."""

import pytest

from tests.platform.stops import play_stops


# Guards against requests that are taken during a planned stop and cut off at its end,
# on fresh and kept connections and when they were sent by halves (LOST).
@pytest.mark.parametrize("seed", [3, 4, 5])
def test_no_request_is_lost_while_entries_are_stopped_in_series(seed: int) -> None:
    world = play_stops(seed, entries=4, callers=60, at_once=2, gap_s=1.5, busy=2)
    assert not world.list_lost()
    assert not world.list_kills()
    stopped = [entry for entry in world.entries if entry.stopped_at]
    assert len(stopped) == 4
    assert sum(outcome.status == 200 for outcome in world.outcomes) > 100
