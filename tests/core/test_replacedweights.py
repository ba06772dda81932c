"""Prompts don't begin on weights that were replaced for longer than the bound."""

from masticdrum.model.cluster_events import UpstreamChanged, WeightsNamed
from masticdrum.model.exchange import AttemptEnd
from masticdrum.model.telemetry import Log, LogNumber
from tests.forwarding import BOUNDS, MODEL, Entry, get_start, make_upstream, pick


def change_weights(entry: Entry, name: str, version: int) -> None:
    upstream = make_upstream(name, "engines", weights={MODEL: version})
    entry.handle_event(UpstreamChanged(upstream))


def list_used_weights(entry: Entry) -> set[int]:
    """Return the weights on which some prompts are sent to run now."""
    entry.confirm()
    starts = [get_start(entry.send_request("stream")) for _ in range(12)]
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
