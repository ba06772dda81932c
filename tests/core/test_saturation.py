"""Load from callers that send more prompts than the engines can read."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.saturation import RANK, SERVICE, TARGET_S, Chosen, QueueOnly, play
from masticdrum.core.saturation import (
    HOLD_S,
    MAX_SHED_WAIT,
    MIN_SHED_WAIT,
    MIN_WAITING,
    WINDOW_S,
    Saturation,
)
from masticdrum.core.servedsoftware import MIN_STREAM_LIFE_S
from masticdrum.model.exchange import AttemptEnd, Refuse, StartAttempt
from tests.forwarding import Entry, get_start, pick


def is_refused(saturation: Saturation, now: float, urgency: int = RANK) -> bool:
    expected_s = saturation.estimate(SERVICE, urgency, now)
    return saturation.is_refused(SERVICE, urgency, expected_s, TARGET_S, now)


@pytest.mark.parametrize("entries", [1, 3])
def test_saturated_engines_serve_in_time_up_to_their_capacity(entries: int) -> None:
    """Half can be in time at best at twice the capacity; without refusals few are."""
    assert play(QueueOnly, 20.0, entries) < 0.1
    assert play(Chosen, 20.0, entries) > 0.3


def test_a_small_excess_is_shed_and_no_more() -> None:
    """Five of six can be in time at best."""
    assert play(QueueOnly, 12.0, 3) < 0.1
    assert play(Chosen, 12.0, 3) > 0.7


def test_hardly_anything_is_refused_below_capacity() -> None:
    assert play(Chosen, 8.0, 3) > 0.97


def make_queue(count: int, per_s: float, waited_s: float) -> Saturation:
    """Return a state at 10 s with ``count`` waiting and ``per_s`` first events."""
    saturation = Saturation(Random(1))
    for handle in range(int(per_s * WINDOW_S)):
        saturation.begin(SERVICE, RANK, handle, 9.0)
        saturation.record_first_event(SERVICE, handle, 10.0)
    for handle in range(1000, 1000 + count):
        saturation.begin(SERVICE, RANK, handle, 10.0 - waited_s)
    return saturation


def measure_share(
    saturation: Saturation, now: float = 10.0, urgency: int = RANK
) -> float:
    """Return the share of requests that is refused."""
    return sum(is_refused(saturation, now, urgency) for _ in range(1000)) / 1000


def test_the_wait_is_the_queue_divided_by_the_rate_of_first_events() -> None:
    saturation = make_queue(6, 4.0, 0.0)
    assert saturation.estimate(SERVICE, RANK, 10.0) == pytest.approx(1.5)
    assert saturation.estimate(SERVICE, RANK - 1, 10.0) == 0.0, (
        "urgent requests go first"
    )
    assert saturation.estimate("others", RANK, 10.0) == 0.0


def test_a_burst_that_has_not_waited_is_served_whole() -> None:
    assert measure_share(make_queue(200, 1.0, TARGET_S / 4)) == 0.0


def test_a_single_waiting_request_is_no_queue() -> None:
    assert measure_share(make_queue(1, 0.0, 9.0)) == 0.0


def test_refusing_starts_with_a_long_queue_and_ends_without_one() -> None:
    saturation = make_queue(6, 4.0, TARGET_S)
    assert measure_share(saturation) == 1.0
    assert measure_share(saturation, urgency=RANK - 1) == 0.0, (
        "urgent requests are not refused"
    )
    for handle in (1000, 1001, 1002):
        saturation.record_first_event(SERVICE, handle, 10.0)
    assert 0.2 < measure_share(saturation) < 0.8
    for handle in (1003, 1004, 1005):
        saturation.record_first_event(SERVICE, handle, 10.0)
    assert measure_share(saturation) == 0.0
    for handle in range(2000, 2020):
        saturation.begin(SERVICE, RANK, handle, 10.0 + HOLD_S)
    assert measure_share(saturation, 10.0 + HOLD_S) == 0.0, (
        "refusing starts again only after a proven wait"
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["begin", "first", "forget"]),
        st.integers(0, 9),
        st.integers(0, 2),
        st.floats(0.0, 2.0),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(STEPS)
def test_the_expected_wait_is_what_counting_each_request_gives(
    steps: list[tuple[str, int, int, float]],
) -> None:
    saturation = Saturation(Random(1))
    pending: dict[int, int] = {}
    firsts: list[tuple[float, int]] = []
    now = 0.0
    for move, handle, urgency, passed_s in steps:
        now += passed_s
        if move == "begin" and handle not in pending:
            saturation.begin(SERVICE, urgency, handle, now)
            pending[handle] = urgency
        elif move == "first":
            saturation.record_first_event(SERVICE, handle, now)
            if handle in pending:
                firsts.append((now, pending.pop(handle)))
        elif move == "forget":
            saturation.forget(SERVICE, handle)
            pending.pop(handle, None)
        ahead = sum(other <= urgency for other in pending.values())
        recent = sum(now - at <= WINDOW_S and r <= urgency for at, r in firsts)
        wanted = ahead * WINDOW_S / max(1, recent) if ahead >= MIN_WAITING else 0.0
        assert saturation.estimate(SERVICE, urgency, now) == pytest.approx(wanted)


def saturate_entry(entry: Entry) -> None:
    """Make an entry's requests wait for longer than their target."""
    for _ in range(8):
        entry.send_request("stream", deadline_s=9.0)
    entry.now += 0.2
    entry.confirm()


def test_a_saturated_service_refuses_only_prompts_and_as_not_run() -> None:
    entry = Entry()
    saturate_entry(entry)
    effects = entry.send_request("stream", deadline_s=9.0)
    (refuse,) = pick(effects, Refuse)
    assert (refuse.status, refuse.kind.value) == (503, "saturated")
    assert 0 < refuse.retry_after_s <= 9.0 / 3
    assert not pick(effects, StartAttempt)
    assert pick(entry.send_request("idempotent"), StartAttempt)


def make_saturated_entry(seed: int = 1) -> Entry:
    """Return an entry that serves four prompts a second and has eight that wait."""
    entry = Entry(seed)
    entry.now += MIN_STREAM_LIFE_S
    entry.confirm()
    for _ in range(20):
        start = get_start(entry.send_request("stream"))
        entry.begin(start)
        entry.stream(start, 1)
        entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)
    saturate_entry(entry)
    assert pick(entry.send_request("stream", deadline_s=9.0), Refuse)
    return entry


# Guards against refusing callers of broken streams, who have a part of their answer, as
# often as those that have nothing to lose yet (LOST).
@pytest.mark.parametrize("seed", range(20))
def test_a_stream_that_is_taken_up_is_not_shed_while_it_can_go_on_in_time(
    seed: int,
) -> None:
    entry = make_saturated_entry(seed)
    wait_s = entry.state.saturation.estimate("engines", 2, entry.now)
    left_s = wait_s / MIN_SHED_WAIT
    assert get_start(entry.send_request("stream", deadline_s=left_s, last_event=4))


def test_a_stream_that_is_taken_up_too_late_to_go_on_is_shed() -> None:
    entry = make_saturated_entry()
    wait_s = entry.state.saturation.estimate("engines", 2, entry.now)
    left_s = wait_s / MAX_SHED_WAIT
    assert pick(entry.send_request("stream", deadline_s=left_s, last_event=4), Refuse)


def test_ended_requests_no_longer_count_as_waiting() -> None:
    entry = Entry()
    saturate_entry(entry)
    for handle in list(entry.state.exchanges)[:4]:
        entry.disconnect(handle)
    for start in [s for s in pick(entry.effects, StartAttempt)][4:]:
        entry.begin(start)
        entry.stream(start, 1)
        entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)
    assert get_start(entry.send_request("stream"))
