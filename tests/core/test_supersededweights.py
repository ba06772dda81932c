"""Since when weights are superseded, whatever was named and learned when."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.supersededweights import SupersededWeights

UNKNOWN = float("-inf")
NAMED = st.lists(
    st.tuples(st.integers(1, 40), st.floats(0.0, 60.0) | st.just(UNKNOWN)),
    max_size=20,
)


# Guards against a bound that a further version sets anew, and against a table that
# grows with each version.
@settings(deadline=None, derandomize=True)
@given(NAMED, st.integers(0, 41))
def test_weights_are_never_taken_for_younger_than_the_first_newer_ones(
    named: list[tuple[int, float]], version: int
) -> None:
    superseded = SupersededWeights()
    recorded = [(v, at) for v, at in named if superseded.record("m1", v, at)]
    times = [at for newer, at in recorded if newer > version]
    found = superseded.find_superseded_at("m1", version)
    if not times:
        assert found is None
        return
    assert found is not None
    assert found <= min(times)
    assert len(recorded) > 8 or found == min(times)


# Guards against two answers to one question: which weights are too old, and since when.
@settings(deadline=None, derandomize=True)
@given(NAMED, st.integers(0, 41), st.floats(0.0, 80.0))
def test_the_oldest_weights_allowed_are_those_not_superseded_for_too_long(
    named: list[tuple[int, float]], version: int, now: float
) -> None:
    superseded = SupersededWeights()
    for newer, at in named:
        superseded.record("m1", newer, at)
    at = superseded.find_superseded_at("m1", version)
    is_allowed = at is None or at > now - 10.0
    assert (version >= superseded.find_oldest("m1", now - 10.0)) == is_allowed
