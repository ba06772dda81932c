"""Upstreams that say in their answers that they leave get nothing more."""

import pytest

from masticdrum.model.cluster_events import (
    StoreRestored,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
)
from masticdrum.model.exchange import AttemptEnd, StartAttempt
from tests.forwarding import UPSTREAMS, Entry, get_start, make_upstream, pick

ANSWERS = (
    (AttemptEnd.ANSWERED, 200),
    (AttemptEnd.FAULT_ANSWERED, 500),
    (AttemptEnd.REJECTED, 503),
    (AttemptEnd.UNPROVEN, 503),
)


def list_sent(entry: Entry, route: str) -> set[str]:
    """List the upstreams that get a few dozen requests."""
    sent = set()
    for _ in range(60):
        for start in pick(entry.send_request(route), StartAttempt):
            sent.add(start.upstream)
            entry.disconnect(start.handle)
    return sent


def announce_leaving(entry: Entry, end: AttemptEnd, status: int) -> str:
    """Let the answer to a request say that its upstream leaves; return its name."""
    start = get_start(entry.send_request("idempotent"))
    entry.end(start, end, status, leaving=True)
    entry.disconnect(start.handle)
    return start.upstream


# Guards against requests at a server that has said in an answer that it leaves, while
# its registration doesn't say so yet (DRAIN).
@pytest.mark.parametrize(("end", "status"), ANSWERS)
def test_an_upstream_that_says_that_it_leaves_gets_nothing_more(
    end: AttemptEnd, status: int
) -> None:
    entry = Entry()
    left = announce_leaving(entry, end, status)
    assert left not in list_sent(entry, "idempotent")


def test_an_upstream_whose_stream_says_that_it_leaves_gets_nothing_more() -> None:
    entry = Entry()
    start = get_start(entry.send_request("stream"))
    entry.begin(start, leaving=True)
    entry.stream(start, 4)
    entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)
    assert start.upstream not in list_sent(entry, "stream")


# Guards against a registration that is older than the answer, also one that a restored
# store has brought back (DRAIN).
@pytest.mark.parametrize("gone", [False, True])
@pytest.mark.parametrize("born", [0, 7])
def test_an_older_registration_does_not_bring_a_leaving_upstream_back(
    gone: bool, born: int
) -> None:
    upstreams = [make_upstream(f"desk-{n}", born=born) for n in (1, 2, 3)]
    entry = Entry(upstreams=tuple(upstreams))
    left = announce_leaving(entry, AttemptEnd.ANSWERED, 200)
    if gone and born:
        entry.handle_event(UpstreamGone(left))
        entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(UpstreamsListed(tuple(upstreams)))
    assert left not in list_sent(entry, "idempotent")


def test_an_answer_that_comes_after_the_registration_is_gone_counts_too() -> None:
    entry = Entry(upstreams=(make_upstream("desk-1", born=7),))
    start = get_start(entry.send_request("idempotent"))
    entry.handle_event(UpstreamGone("desk-1"))
    entry.end(start, AttemptEnd.ANSWERED, 200, leaving=True)
    entry.handle_event(UpstreamChanged(make_upstream("desk-1", born=7)))
    assert list_sent(entry, "idempotent") == set()


@pytest.mark.parametrize(("before", "after"), [(7, 8), (0, 0)])
def test_an_upstream_that_has_started_again_is_used(before: int, after: int) -> None:
    entry = Entry(upstreams=(make_upstream("desk-1", born=before),))
    assert announce_leaving(entry, AttemptEnd.ANSWERED, 200) == "desk-1"
    entry.handle_event(UpstreamGone("desk-1"))
    entry.handle_event(UpstreamChanged(make_upstream("desk-1", born=after)))
    assert list_sent(entry, "idempotent") == {"desk-1"}


def test_an_answer_of_another_upstream_at_the_address_says_nothing() -> None:
    entry = Entry(upstreams=UPSTREAMS[:1])
    announce_leaving(entry, AttemptEnd.MISDIRECTED, 421)
    entry.now += 5.0
    entry.confirm()
    assert list_sent(entry, "idempotent") == {"desk-1"}
