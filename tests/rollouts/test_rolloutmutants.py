"""Breaking a mechanism of roll-outs makes a test fail."""

from collections.abc import Callable

import pytest

from tests.rollouts import rolloutmutants, test_decider, test_follower

Check = Callable[[], None]
CAUGHT: list[tuple[Callable[[pytest.MonkeyPatch], None], Check]] = [
    (
        rolloutmutants.write_status_unconditionally,
        test_decider.test_a_late_write_never_replaces_a_final_state,
    ),
    (
        rolloutmutants.grant_without_a_recent_renewal,
        test_decider.test_no_grants_without_a_recent_renewal,
    ),
    (
        rolloutmutants.ignore_what_others_know,
        test_decider.test_a_successor_writes_the_final_state_that_others_know,
    ),
    (
        rolloutmutants.decide_at_once_after_a_takeover,
        test_decider.test_a_successor_writes_the_final_state_that_others_know,
    ),
    (
        rolloutmutants.report_no_final_states,
        test_decider.test_a_successor_writes_the_final_state_that_others_know,
    ),
    (
        rolloutmutants.grant_until_the_write_is_answered,
        test_decider.test_a_bad_target_gets_nothing_before_its_status_is_written,
    ),
    (
        rolloutmutants.begin_again_with_each_holder,
        test_decider.test_a_successor_goes_on_with_a_higher_number_and_the_same_begin,
    ),
    (
        rolloutmutants.take_leases_unconditionally,
        test_decider.test_a_sound_target_is_completed,
    ),
    (
        rolloutmutants.obey_superseded_deciders,
        test_follower.test_a_grant_with_a_lower_number_is_void,
    ),
    (
        rolloutmutants.change_a_final_state,
        test_follower.test_the_first_final_state_stays,
    ),
    (
        rolloutmutants.grant_beyond_the_lease,
        test_decider.test_a_grant_ends_soon_after_its_lease,
    ),
    (
        rolloutmutants.complete_alone,
        test_decider.test_a_decider_that_hears_few_entries_completes_nothing,
    ),
    (
        rolloutmutants.keep_grants,
        test_follower.test_a_grant_ends_by_the_time_of_its_report,
    ),
]


@pytest.mark.parametrize(
    ("mutate", "check"), CAUGHT, ids=[mutate.__name__ for mutate, _ in CAUGHT]
)
def test_mutants_of_rollouts_are_caught(
    mutate: Callable[[pytest.MonkeyPatch], None],
    check: Check,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    check()
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        check()
