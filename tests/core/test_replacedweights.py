"""Prompts don't begin on weights that were replaced for longer than the bound."""

import pytest

from masticdrum.model.cluster_events import (
    Source,
    SourceLost,
    SourceRegained,
    UpstreamChanged,
    WeightsNamed,
)
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import (
    AttemptEnd,
    Refuse,
    StartAttempt,
    StopAttempt,
    Ticked,
)
from masticdrum.model.telemetry import Log, LogNumber
from tests.forwarding import BOUNDS, MODEL, Entry, get_start, make_upstream, pick


def change_weights(entry: Entry, name: str, version: int) -> None:
    upstream = make_upstream(name, "engines", weights={MODEL: version})
    entry.handle_event(UpstreamChanged(upstream))


def list_used_weights(entry: Entry) -> set[int]:
    """Return the weights on which some prompts are sent to run now."""
    entry.confirm()
    starts: list[StartAttempt] = []
    for _ in range(12):
        starts += pick(entry.send_request("stream"), StartAttempt)
    for start in starts:
        entry.end(start, AttemptEnd.ANSWERED, 200)
    return {start.expect_weights for start in starts}


# VERSION: each newer version let prompts begin on all older weights anew.
def test_a_second_version_does_not_prolong_the_use_of_the_first() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    change_weights(entry, "engines-2", 2)
    entry.now += BOUNDS.weights_s - 1.0
    entry.handle_event(WeightsNamed(MODEL, 3, entry.now))
    change_weights(entry, "engines-3", 3)
    assert list_used_weights(entry) == {1, 2, 3}
    entry.now += 2.0
    assert list_used_weights(entry) == {2, 3}


# VERSION: an entry that was restarted counted the time from its own start.
def test_an_entry_that_has_started_sends_nothing_to_older_weights() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2))
    change_weights(entry, "engines-2", 2)
    assert list_used_weights(entry) == {2}


# VERSION: an entry that stood still counted the time from when it had woken.
def test_an_entry_that_stood_still_counts_from_its_last_read() -> None:
    entry = Entry()
    change_weights(entry, "engines-2", 2)
    read_at = entry.now
    entry.now += BOUNDS.weights_s + 1.0
    entry.handle_event(WeightsNamed(MODEL, 2, read_at))
    assert list_used_weights(entry) == {2}


def test_the_log_tells_on_which_weights_a_prompt_is_to_run() -> None:
    entry = Entry(upstreams=(make_upstream("engines-1", "engines"),))
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now - 0.5))
    entry.now += 1.0
    start = get_start(entry.send_request("stream"))
    sent = [log for log in pick(entry.effects, Log) if log.attempt]
    (log,) = [log for log in sent if log.attempt == str(start.attempt)]
    assert log.number is LogNumber.EXCHANGE_SENT
    facts = (log.facts["weights"], log.facts["newest"], log.facts["superseded_s"])
    assert facts == (1, 2, 1.5)


def run_for(entry: Entry, seconds: float) -> None:
    """Let an entry run, with its ticks."""
    for _ in range(round(seconds / 0.2)):
        entry.now += 0.2
        entry.handle_event(Ticked())


def lose(entry: Entry, source: Source, seconds: float) -> None:
    """Let a source be lost for some time; the entry runs on."""
    entry.handle_event(SourceLost(source, "silent"))
    run_for(entry, seconds)


# VERSION: an entry that had lost any source, such as the crash reports, used older
# weights without a bound.
@pytest.mark.parametrize(
    "source", [s for s in Source if s not in (Source.DIRECTORY, Source.ENGINE)]
)
def test_a_lost_source_does_not_prolong_the_use_of_older_weights(
    source: Source,
) -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    lose(entry, source, BOUNDS.weights_s + 0.2)
    assert list_used_weights(entry) == set()


# VERSION: after an outage of the store older weights were used at once for as long as
# another source stayed lost. Callers: nothing was served in an outage.
def test_older_weights_are_used_in_an_outage_and_count_its_time_out() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    run_for(entry, 4.0)
    lose(entry, Source.DIRECTORY, 20.0)
    assert list_used_weights(entry) == {1}
    entry.handle_event(SourceRegained(Source.DIRECTORY, 20.0))
    run_for(entry, 3.0)
    assert list_used_weights(entry) == {1}
    run_for(entry, 1.0)
    assert list_used_weights(entry) == set()
    change_weights(entry, "engines-2", 2)
    assert list_used_weights(entry) == {2}


def test_newer_weights_are_preferred_in_an_outage() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    change_weights(entry, "engines-2", 2)
    lose(entry, Source.DIRECTORY, 20.0)
    assert list_used_weights(entry) == {2}


# VERSION: one slow answer let an entry use weights of any age.
def test_a_slow_answer_is_no_outage() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    run_for(entry, BOUNDS.weights_s)
    lose(entry, Source.DIRECTORY, 1.6)
    assert list_used_weights(entry) == set()
    entry.handle_event(SourceRegained(Source.DIRECTORY, 1.6))
    assert list_used_weights(entry) == set()


# VERSION: the time in which an entry stood still isn't one in which the store was out.
def test_a_freeze_in_an_outage_does_not_prolong_it() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    lose(entry, Source.DIRECTORY, 4.0)
    entry.now += 20.0
    assert list_used_weights(entry) == set()
    entry.handle_event(Ticked())
    assert list_used_weights(entry) == set()
    entry.handle_event(SourceRegained(Source.DIRECTORY, 24.0))
    assert list_used_weights(entry) == set()


def send_before_the_bound(entry: Entry, route: str) -> StartAttempt:
    """Send a prompt to weights that were superseded for nearly as long as allowed."""
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    entry.now += BOUNDS.weights_s - 0.5
    entry.confirm()
    start = get_start(entry.send_request(route, deadline_s=8.0))
    assert start.expect_weights == 1
    change_weights(entry, "engines-9", 2)
    return start


# VERSION: a prompt that waited at its engine began there after the bound.
def test_a_prompt_that_waits_up_to_the_bound_goes_on_at_newer_weights() -> None:
    entry = Entry()
    start = send_before_the_bound(entry, "stream")
    entry.now += BOUNDS.weights_begin_s - BOUNDS.weights_s + 0.4
    assert not pick(entry.handle_event(Ticked()), StopAttempt)
    entry.now += 0.2
    effects = entry.handle_event(Ticked())
    assert pick(effects, StopAttempt) == [StopAttempt(start.handle, start.attempt)]
    assert get_start(effects).expect_weights == 2


def test_a_stream_that_began_before_the_bound_goes_on() -> None:
    entry = Entry()
    start = send_before_the_bound(entry, "stream")
    entry.begin(start)
    entry.now += 6.0
    assert not pick(entry.handle_event(Ticked()), StopAttempt)
    assert entry.stream(start, 1)


# TWICE, REFUSED: a prompt that can't be repeated may have begun unseen.
def test_a_prompt_that_may_not_be_repeated_ends_with_an_unknown_outcome() -> None:
    entry = Entry()
    start = send_before_the_bound(entry, "once")
    entry.now += BOUNDS.weights_begin_s - BOUNDS.weights_s + 0.5
    effects = entry.handle_event(Ticked())
    assert pick(effects, StopAttempt) == [StopAttempt(start.handle, start.attempt)]
    (refused,) = pick(effects, Refuse)
    assert (refused.kind, refused.status) == (ErrorKind.OUTCOME_UNKNOWN, 504)
    assert not pick(effects, StartAttempt)


# VERSION: a prompt that was sent to the newest weights waited past the bound of the
# next version.
def test_a_prompt_that_waits_since_before_a_version_is_ended_too() -> None:
    entry = Entry()
    entry.now += 1.0
    starts = [get_start(entry.send_request("stream", deadline_s=9.9)) for _ in "ab"]
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now - 10.0))
    change_weights(entry, starts[0].upstream, 2)
    entry.now += BOUNDS.weights_begin_s - 10.0 + 0.2
    effects = entry.handle_event(Ticked())
    other = starts[1].upstream != starts[0].upstream
    assert len(pick(effects, StopAttempt)) == other
    assert all(start.expect_weights == 2 for start in pick(effects, StartAttempt))


def test_a_prompt_whose_engine_has_loaded_newer_weights_stays_there() -> None:
    entry = Entry()
    start = send_before_the_bound(entry, "stream")
    change_weights(entry, start.upstream, 2)
    entry.now += BOUNDS.weights_begin_s - BOUNDS.weights_s + 0.5
    assert not pick(entry.handle_event(Ticked()), StopAttempt)


# Callers: a prompt that can't be repeated was sent where it could not begin in time.
def test_a_prompt_that_may_not_be_repeated_goes_where_it_can_begin_in_time() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    change_weights(entry, "engines-9", 2)
    entry.now += BOUNDS.weights_s - 0.5
    entry.confirm()
    waiting = [entry.send_request("once", deadline_s=9.0) for _ in range(40)]
    assert get_start(waiting[-1]).expect_weights == 2
