"""Load on upstreams that turn requests away and name a time to send nothing in."""

import pytest

from masticdrum.model.cluster_events import UpstreamChanged, UpstreamGone
from masticdrum.model.exchange import AttemptEnd, Refuse, StartAttempt
from tests.forwarding import UPSTREAMS, Entry, get_start, make_upstream, pick

PAUSE_S = 3.0


class PauseWorld:
    """An entry whose upstreams in ``full`` turn all requests away."""

    def __init__(
        self, *full: str, end: AttemptEnd = AttemptEnd.REJECTED, born: int = 0
    ) -> None:
        self.entry = Entry(
            upstreams=tuple(make_upstream(f"desk-{n}", born=born) for n in (1, 2, 3))
        )
        self.full = full
        self.end = end
        self.arrivals: list[tuple[float, str]] = []

    def play(self, for_s: float, every_s: float = 0.05) -> list[Refuse]:
        """Send requests; return the refusals of the entry."""
        refusals: list[Refuse] = []
        until = self.entry.now + for_s
        while self.entry.now < until:
            self.entry.confirm()
            effects = self.entry.send_request("idempotent")
            while starts := pick(effects, StartAttempt):
                (start,) = starts
                self.arrivals.append((self.entry.now, start.upstream))
                effects = self.answer(start)
            refusals += pick(effects, Refuse)
            self.entry.now += every_s
        return refusals

    def answer(self, start: StartAttempt) -> list:
        if start.upstream in self.full:
            return self.entry.end(start, self.end, 503, pause_s=PAUSE_S)
        return self.entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)


# Guards against requests to an upstream that has answered 503 with a time in which it
# wants nothing (BUDGET).
@pytest.mark.parametrize("end", [AttemptEnd.REJECTED, AttemptEnd.UNPROVEN])
def test_an_upstream_gets_nothing_until_the_time_it_named_has_passed(
    end: AttemptEnd,
) -> None:
    world = PauseWorld("desk-1", end=end)
    refusals = world.play(20.0)
    times = [at for at, upstream in world.arrivals if upstream == "desk-1"]
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert gaps and min(gaps) >= PAUSE_S
    assert not refusals


def test_a_request_is_refused_until_the_first_upstream_wants_requests_again() -> None:
    world = PauseWorld("desk-1", "desk-2", "desk-3")
    world.play(0.05)
    left = PAUSE_S - 1.0
    world.entry.now += 0.95
    (refuse,) = world.play(0.05)
    assert refuse.status == 503
    assert left - 0.06 <= refuse.retry_after_s <= 1.3 * left
    assert len(world.arrivals) == 3
    world.entry.now += PAUSE_S
    world.full = ()
    assert not world.play(0.5)


def test_an_answer_to_an_earlier_request_does_not_end_the_pause() -> None:
    entry = Entry(upstreams=UPSTREAMS[:1])
    first, second = (get_start(entry.send_request("idempotent")) for _ in range(2))
    entry.end(first, AttemptEnd.REJECTED, 503, pause_s=PAUSE_S)
    entry.end(second, AttemptEnd.ANSWERED, 200, verified=True)
    assert pick(entry.send_request("idempotent"), Refuse)


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    entry = Entry(upstreams=UPSTREAMS[:1])
    first, second = (get_start(entry.send_request("idempotent")) for _ in range(2))
    entry.end(first, AttemptEnd.REJECTED, 503, pause_s=PAUSE_S)
    entry.end(second, AttemptEnd.REJECTED, 503, pause_s=0.1)
    entry.now += PAUSE_S / 2
    entry.confirm()
    assert pick(entry.send_request("idempotent"), Refuse)


def test_an_upstream_that_has_started_again_is_not_paused() -> None:
    world = PauseWorld("desk-1", "desk-2", "desk-3", born=7)
    world.play(0.05)
    world.entry.handle_event(UpstreamChanged(make_upstream("desk-2", born=8)))
    assert get_start(world.entry.send_request("idempotent")).upstream == "desk-2"


# Guards against requests to an upstream that wants none, after its registration lapsed
# and came back, as in an outage of the store (BUDGET).
def test_a_pause_outlasts_a_registration_that_lapses() -> None:
    entry = Entry(upstreams=UPSTREAMS[:1])
    start = get_start(entry.send_request("idempotent"))
    entry.end(start, AttemptEnd.REJECTED, 503, pause_s=PAUSE_S)
    entry.handle_event(UpstreamGone(start.upstream))
    entry.handle_event(UpstreamChanged(UPSTREAMS[0]))
    entry.now += PAUSE_S - 0.1
    assert pick(entry.send_request("idempotent"), Refuse)
    entry.now += 0.2
    assert get_start(entry.send_request("idempotent"))


def test_pauses_that_have_ended_are_forgotten() -> None:
    entry = Entry(upstreams=UPSTREAMS[:1])
    start = get_start(entry.send_request("idempotent"))
    entry.end(start, AttemptEnd.REJECTED, 503, pause_s=PAUSE_S)
    entry.now += PAUSE_S
    entry.handle_event(UpstreamGone(start.upstream))
    assert entry.state.pauses.is_empty


def test_a_503_of_another_upstream_at_the_address_pauses_nothing() -> None:
    entry = Entry(upstreams=UPSTREAMS[:1])
    start = get_start(entry.send_request("idempotent"))
    entry.end(start, AttemptEnd.MISDIRECTED, 421, pause_s=PAUSE_S)
    assert entry.state.pauses.is_empty
