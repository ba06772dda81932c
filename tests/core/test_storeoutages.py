"""How long the store could be reached, as a process counts it."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.storeoutages import MAX_GAP_S, NOTICE_S, StoreOutages

STEP_S = 0.2
PHASES = st.lists(
    st.tuples(
        st.sampled_from(["reached", "out", "frozen", "frozen and out"]),
        st.integers(1, 60),
        st.integers(0, int(NOTICE_S / STEP_S) - 1),
    ),
    max_size=24,
)


# Guards against prompts on superseded weights after outages and freezes of any length,
# since the time in which engines could be ordered was taken for shorter than it was.
@settings(deadline=None, derandomize=True)
@given(PHASES, st.integers(1, 100))
def test_the_time_in_which_the_store_was_reached_is_never_taken_for_shorter(
    phases: list[tuple[str, int, int]], bound: int
) -> None:
    outages = StoreOutages()
    reached: list[float] = []  # the steps in which the store could be reached
    now, lost, unnoticed = 0.0, False, 0
    for phase, steps, delay in phases:
        for _ in range(steps):
            now += STEP_S
            is_out = phase.endswith("out")
            if not is_out:
                reached.append(now)
            if phase.startswith("frozen"):
                continue
            outages.observe(now)
            # What has changed is noticed some steps later.
            unnoticed = unnoticed + 1 if is_out != lost else 0
            if unnoticed <= delay:
                continue
            lost, unnoticed = is_out, 0
            if lost:
                outages.record_lost(now)
            else:
                outages.record_regained(now)
    since = outages.rewind(now, bound * STEP_S)
    counted = sum(at > since + STEP_S / 2 for at in reached)
    assert counted <= bound


def test_an_outage_counts_until_it_may_have_ended() -> None:
    outages = StoreOutages()
    outages.record_lost(10.0)
    for tenth in range(101, 201):
        outages.observe(tenth / 10)
    outages.record_regained(20.0)
    assert not outages.is_out(20.0)
    assert outages.rewind(21.0, 1.0) == 20.0
    assert outages.rewind(21.0, 1.0 + NOTICE_S + 3.0) == 7.0


def test_an_outage_that_no_tick_confirms_is_none() -> None:
    outages = StoreOutages()
    outages.record_lost(10.0)
    for tenth in range(101, 151):
        outages.observe(tenth / 10)
    assert outages.is_out(15.0)
    assert not outages.is_out(15.1 + MAX_GAP_S)
