"""Breaking a mechanism of forwarded requests makes a test fail."""

from collections.abc import Callable
from functools import partial

import pytest

from tests.core import (
    forwardmutants,
    test_coldstartpacing,
    test_crashsuspicion,
    test_exchanges,
    test_keptparts,
    test_leavingupstreams,
    test_ordercourse,
    test_outofstep,
    test_replacedweights,
    test_requestlimits,
    test_resumption,
    test_saturation,
    test_softwarerecords,
    test_storeoutages,
    test_upstreamlists,
    test_upstreampauses,
    test_weightsbound,
)

Check = Callable[[], None]
CAUGHT: list[tuple[Callable[[pytest.MonkeyPatch], None], Check]] = [
    (
        forwardmutants.retry_whatever_ran,
        test_exchanges.test_no_order_of_events_breaks_a_promise,
    ),
    (
        forwardmutants.treat_unknown_as_not_run,
        test_exchanges.test_only_an_upstreams_statement_or_an_unsent_request_proves_not_run,
    ),
    (
        forwardmutants.trust_any_configuration,
        test_exchanges.test_a_retry_after_the_lease_lapsed_is_not_sent,
    ),
    (
        forwardmutants.install_older_configurations,
        test_exchanges.test_an_older_configuration_is_never_installed,
    ),
    (
        forwardmutants.use_draining_upstreams,
        test_exchanges.test_nothing_new_goes_to_leaving_gone_or_evacuated_upstreams,
    ),
    (
        forwardmutants.keep_gone_upstreams,
        test_exchanges.test_nothing_new_goes_to_leaving_gone_or_evacuated_upstreams,
    ),
    (
        forwardmutants.flood_cold_upstreams,
        test_exchanges.test_a_cold_upstream_gets_its_share_only,
    ),
    (
        forwardmutants.send_whoevers_turn_it_is,
        test_coldstartpacing.check_large_fleet,
    ),
    (
        forwardmutants.retry_without_bound,
        test_exchanges.test_retries_stay_within_their_window,
    ),
    (
        forwardmutants.share_despite_isolation,
        test_exchanges.test_kept_cache_is_shared_by_weights_and_never_over_a_wall,
    ),
    (
        forwardmutants.fetch_for_superseded_weights,
        test_exchanges.test_no_cache_is_fetched_from_an_engine_for_superseded_weights,
    ),
    (
        forwardmutants.start_the_bound_at_each_version,
        test_replacedweights.test_a_second_version_does_not_prolong_the_use_of_the_first,
    ),
    (
        forwardmutants.begin_on_any_weights,
        test_weightsbound.test_no_prompt_begins_on_weights_superseded_for_too_long,
    ),
    (
        forwardmutants.take_any_silence_for_an_outage,
        test_replacedweights.test_a_slow_answer_is_no_outage,
    ),
    (
        forwardmutants.count_no_freeze_in_an_outage,
        test_storeoutages.test_the_time_in_which_the_store_was_reached_is_never_taken_for_shorter,
    ),
    (
        forwardmutants.forget_when_prefixes_were_stored,
        test_keptparts.test_superseded_weights_fetch_what_was_whole_before_and_save_nothing,
    ),
    (
        forwardmutants.fetch_from_silent_stores,
        test_keptparts.test_a_store_that_is_silent_is_neither_fetched_from_nor_saved_to,
    ),
    (
        forwardmutants.order_after_the_lease,
        test_ordercourse.test_nothing_goes_out_to_a_busy_engine_or_after_the_lease,
    ),
    (
        forwardmutants.resend_accepted_orders,
        test_ordercourse.test_a_report_older_than_an_accepted_order_sends_nothing,
    ),
    (
        forwardmutants.keep_old_lists,
        test_upstreamlists.test_kept_lists_agree_with_what_is_known,
    ),
    (
        forwardmutants.keep_old_rankings,
        test_upstreamlists.test_kept_lists_agree_with_what_is_known,
    ),
    (
        forwardmutants.refuse_without_evidence,
        test_saturation.test_a_burst_that_has_not_waited_is_served_whole,
    ),
    (
        forwardmutants.ignore_what_others_saw_crash,
        test_crashsuspicion.test_an_entry_that_starts_later_refuses_what_others_saw_crash,
    ),
    (
        forwardmutants.refuse_any_implicated_part,
        partial(
            test_crashsuspicion.test_sound_prompts_that_share_the_other_parts_are_still_sent,
            shared_subject=True,
        ),
    ),
    (
        forwardmutants.take_whole_limits,
        partial(
            test_requestlimits.test_entries_use_what_an_upstream_in_need_takes,
            entries=10,
            share=0.85,
        ),
    ),
    (
        forwardmutants.refuse_nothing,
        test_saturation.test_a_small_excess_is_shed_and_no_more,
    ),
    (
        forwardmutants.resume_at_any_version,
        test_resumption.test_another_entry_learns_from_agents_which_version_began_a_stream,
    ),
    (
        forwardmutants.trust_the_only_version,
        partial(
            test_outofstep.test_an_entry_that_stood_still_joins_no_streams,
            frozen_s=3.0,
        ),
    ),
    (
        forwardmutants.trust_the_only_version,
        partial(
            test_outofstep.test_an_entry_that_is_cut_off_unnoticed_joins_no_streams,
            cut_s=3.0,
        ),
    ),
    (
        forwardmutants.begin_at_unrecorded_versions,
        test_softwarerecords.test_no_stream_begins_at_a_version_that_can_not_be_recorded,
    ),
    (
        forwardmutants.record_unseen_versions_as_gone,
        partial(
            test_softwarerecords.test_a_version_that_an_entry_has_not_heard_of_yet_is_not_recorded_as_gone,
            frozen_s=0.0,
        ),
    ),
    (
        forwardmutants.trust_an_unread_record,
        test_softwarerecords.test_after_a_restore_that_no_entry_outlived_a_streams_life_passes,
    ),
    (
        forwardmutants.end_streams_with_any_answer,
        partial(
            test_exchanges.test_an_answer_that_is_no_stream_does_not_end_a_stream_as_complete,
            status=404,
        ),
    ),
    (
        forwardmutants.forget_who_leaves,
        partial(
            test_leavingupstreams.test_an_older_registration_does_not_bring_a_leaving_upstream_back,
            gone=False,
            born=7,
        ),
    ),
    (
        forwardmutants.send_during_pauses,
        test_upstreampauses.test_a_shorter_pause_does_not_end_a_longer_one,
    ),
]


@pytest.mark.parametrize(
    ("mutate", "check"), CAUGHT, ids=[mutate.__name__ for mutate, _ in CAUGHT]
)
def test_mutants_of_forwarding_are_caught(
    mutate: Callable[[pytest.MonkeyPatch], None],
    check: Check,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    check()
    mutate(monkeypatch)
    with pytest.raises((AssertionError, ValueError)):
        check()
