"""Which version gets a request while a roll-out runs, and what is taken down of it."""

import pytest
from msgspec.structs import replace

from masticdrum.core.rolloutcontrol import (
    RolloutEffect,
    RolloutEvent,
    RolloutObjectAnswered,
    RolloutParts,
    RolloutView,
)
from masticdrum.core.rolloutsplit import WARMING_S, describe_shares
from masticdrum.model.cluster_events import (
    DirectoryRead,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
)
from masticdrum.model.exchange import AttemptEnd, StartAttempt, Ticked
from masticdrum.model.platform import ObjectAnswer, ObjectStatus
from masticdrum.model.rollouts import (
    RolloutGrant,
    RolloutOrder,
    RolloutRead,
    RolloutsRead,
    RolloutState,
)
from masticdrum.model.telemetry import Count, Counter
from tests.forwarding import Entry, get_start, make_directory, make_upstream, pick

OLD, NEW = "v1", "v2"
SERVERS = tuple(
    make_upstream(f"{service}-{version}-{n}", service, software=version)
    for service in ("desk", "engines")
    for version in (OLD, NEW)
    for n in (1, 2)
)
ORDER = RolloutOrder("desk", NEW, 60.0, 7)
MANY = 400
Evidence = tuple[str, str, bool, str, float, bool, bool]


class Rollouts:
    """Fixed shares; everything that it is told of is kept."""

    def __init__(self, share: float | None, upstreams: tuple[str, ...] = ()) -> None:
        self.share = share
        self.upstreams = upstreams
        self.evidence: list[Evidence] = []
        self.events: list[RolloutEvent] = []
        self.old_open: list[int] = []

    def find_share(
        self, service: str, now: float
    ) -> tuple[str, float, tuple[str, ...]] | None:
        return None if self.share is None else (NEW, self.share, self.upstreams)

    def record(
        self,
        service: str,
        route: str,
        is_target: bool,
        upstream: str,
        seconds: float,
        failed: bool,
        warming: bool,
    ) -> None:
        taken = (service, route, is_target, upstream, seconds, failed, warming)
        self.evidence.append(taken)

    def handle(
        self, event: RolloutEvent, view: RolloutView, now: float
    ) -> list[RolloutEffect]:
        self.events.append(event)
        self.old_open.append(view.count_old_open("desk", NEW))
        return []

    def list_results(self) -> list[tuple[bool, bool]]:
        """Return of each answer whether it was the target's, and a failure."""
        return [(taken[2], taken[5]) for taken in self.evidence]


def make_entry(rollouts: Rollouts, seed: int = 1) -> Entry:
    entry = Entry(seed, SERVERS)
    entry.state.use_rollouts(RolloutParts(rollouts, rollouts, rollouts))
    return entry


def is_new(start: StartAttempt) -> bool:
    return f"-{NEW}-" in start.upstream


def send_many(entry: Entry, route: str = "idempotent") -> list[bool]:
    """Send requests that are answered at once; return which went to the target."""
    sent = []
    for _ in range(MANY):
        start = get_start(entry.send_request(route))
        sent.append(is_new(start))
        entry.end(start, AttemptEnd.ANSWERED, 200)
    return sent


def remove(entry: Entry, version: str) -> None:
    for upstream in SERVERS:
        if upstream.software == version:
            entry.handle_event(UpstreamGone(upstream.name))


def read_state(entry: Entry, state: RolloutState | None) -> None:
    read = RolloutRead(ORDER, state, 3)
    entry.handle_event(RolloutsRead((read,), entry.now))


@pytest.mark.parametrize("route", ["idempotent", "stream"])
@pytest.mark.parametrize("share", [0.0, 0.1, 0.5, 1.0])
def test_the_target_gets_its_share_of_the_requests(share: float, route: str) -> None:
    sent = send_many(make_entry(Rollouts(share)), route)
    # Four standard deviations of a share of one half.
    assert abs(sum(sent) / MANY - share) <= (0.1 if 0 < share < 1 else 0.0)


def test_without_an_order_choices_are_the_same_as_without_roll_outs() -> None:
    def run(entry: Entry) -> list[object]:
        ends = (AttemptEnd.ANSWERED, AttemptEnd.LOST, AttemptEnd.REJECTED)
        for number in range(MANY):
            route = ("idempotent", "non_idempotent", "stream")[number % 3]
            for start in pick(entry.send_request(route), StartAttempt):
                entry.end(start, ends[number % 7 % 3], 200)
            entry.now += 0.01
            entry.confirm()
            entry.handle_event(Ticked())
        return [*entry.effects, entry.state.random.random()]

    plain = run(Entry(5, SERVERS))
    assert run(make_entry(Rollouts(None), 5)) == plain


def test_a_target_without_a_share_gets_nothing_even_if_it_alone_is_left() -> None:
    rollouts = Rollouts(0.0)
    entry = make_entry(rollouts)
    remove(entry, OLD)
    assert not pick(entry.send_request("idempotent"), StartAttempt)
    rollouts.share = 0.01
    assert is_new(get_start(entry.send_request("idempotent")))


def test_a_side_without_upstreams_leaves_its_requests_to_the_other() -> None:
    entry = make_entry(Rollouts(1.0))
    remove(entry, NEW)
    assert not any(send_many(entry))


def test_only_granted_upstreams_are_used_while_one_of_them_is_usable() -> None:
    rollouts = Rollouts(1.0, ("desk-v2-2",))
    entry = make_entry(rollouts)
    used = {get_start(entry.send_request("idempotent")).upstream for _ in range(20)}
    assert used == {"desk-v2-2"}
    entry.handle_event(UpstreamGone("desk-v2-2"))
    assert get_start(entry.send_request("idempotent")).upstream == "desk-v2-1"


def test_a_retry_of_what_failed_at_the_target_goes_to_the_others() -> None:
    for seed in range(20):
        entry = make_entry(Rollouts(1.0), seed)
        start = get_start(entry.send_request("idempotent"))
        assert is_new(start)
        assert not is_new(get_start(entry.end(start, AttemptEnd.LOST)))


def test_a_share_that_is_gone_before_a_retry_holds_for_it() -> None:
    rollouts = Rollouts(1.0)
    entry = make_entry(rollouts)
    start = get_start(entry.send_request("non_idempotent"))
    rollouts.share = 0.0
    assert not is_new(get_start(entry.end(start, AttemptEnd.REJECTED)))


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_a_begun_stream_goes_on_at_its_version(share: float) -> None:
    for seed in range(20):
        rollouts = Rollouts(0.5)
        entry = make_entry(rollouts, seed)
        start = get_start(entry.send_request("stream"))
        entry.begin(start)
        entry.stream(start, 1)
        rollouts.share = share
        for _ in range(4):
            for again in pick(entry.end(start, AttemptEnd.TRUNCATED), StartAttempt):
                assert is_new(again) == is_new(start)
                start = again


def test_a_stream_of_a_rolled_back_target_is_not_taken_up_anywhere() -> None:
    rollouts = Rollouts(1.0)
    entry = make_entry(rollouts)
    start = get_start(entry.send_request("stream"))
    entry.begin(start)
    entry.stream(start, 1)
    rollouts.share = 0.0
    assert not pick(entry.end(start, AttemptEnd.TRUNCATED), StartAttempt)


def test_once_completed_nothing_goes_to_the_old_servers_again() -> None:
    entry = make_entry(Rollouts(1.0))
    read_state(entry, RolloutState.RUNNING)
    start = get_start(entry.send_request("idempotent"))
    assert not is_new(get_start(entry.end(start, AttemptEnd.LOST)))
    read_state(entry, RolloutState.COMPLETED)
    start = get_start(entry.send_request("idempotent"))
    assert is_new(get_start(entry.end(start, AttemptEnd.LOST)))
    remove(entry, NEW)
    assert not pick(entry.send_request("idempotent"), StartAttempt)


@pytest.mark.parametrize("told_by", ["store", "grant"])
def test_a_final_state_holds_even_if_the_share_or_a_restored_store_say_otherwise(
    told_by: str,
) -> None:
    entry = make_entry(Rollouts(1.0))
    read_state(entry, RolloutState.RUNNING)
    if told_by == "store":
        read_state(entry, RolloutState.ROLLED_BACK)
    else:
        grant = RolloutGrant("desk", NEW, 7, 1, 9, 1.0, 0.0, 1.2, "rolled_back")
        entry.handle_event(grant)
    read_state(entry, None)
    assert not any(send_many(entry))
    again = replace(ORDER, created=8)
    entry.handle_event(RolloutsRead((RolloutRead(again, None, 9),), entry.now))
    assert all(send_many(entry))


FAILED = (
    (AttemptEnd.FAULT_ANSWERED, 500),
    (AttemptEnd.ANSWERED, 503),
    (AttemptEnd.LOST, 0),
    (AttemptEnd.GARBLED, 0),
    (AttemptEnd.SILENT, 0),
    (AttemptEnd.UNREACHABLE, 0),
)
NEITHER = (AttemptEnd.REJECTED, AttemptEnd.MISDIRECTED, AttemptEnd.UNSENT)


@pytest.mark.parametrize(("end", "status"), FAILED)
def test_failures_count_against_their_side(end: AttemptEnd, status: int) -> None:
    rollouts = Rollouts(1.0)
    entry = make_entry(rollouts)
    start = get_start(entry.send_request("idempotent"))
    entry.now += 0.05
    entry.end(start, end, status)
    (taken,) = rollouts.evidence
    assert taken[:4] == ("desk", "idempotent", True, start.upstream)
    assert taken[4] == pytest.approx(0.05)
    assert taken[5] is True


@pytest.mark.parametrize("end", NEITHER)
def test_refusals_of_what_was_not_run_are_no_evidence(end: AttemptEnd) -> None:
    rollouts = Rollouts(1.0)
    entry = make_entry(rollouts)
    entry.end(get_start(entry.send_request("idempotent")), end)
    assert rollouts.evidence == []


def test_answers_of_both_sides_count_for_them() -> None:
    rollouts = Rollouts(0.5)
    sent = send_many(make_entry(rollouts))
    assert rollouts.list_results() == [(side, False) for side in sent]


# The target time of the route is 0.1 s.
@pytest.mark.parametrize(("after_s", "expected"), [(0.3, []), (0.5, [(True, True)])])
@pytest.mark.parametrize("how", ["caller left", "deadline"])
def test_an_attempt_that_is_stopped_failed_only_if_it_was_silent_for_long(
    after_s: float, expected: list[tuple[bool, bool]], how: str
) -> None:
    rollouts = Rollouts(1.0)
    entry = make_entry(rollouts)
    start = get_start(entry.send_request("non_idempotent", deadline_s=after_s))
    entry.now += after_s
    if how == "caller left":
        entry.state.timers.clear(("deadline", start.handle))
        entry.disconnect(start.handle)
    else:
        entry.handle_event(Ticked())
    assert rollouts.list_results() == expected


def test_a_stream_counts_with_its_first_event_and_again_if_it_breaks() -> None:
    rollouts = Rollouts(1.0)
    entry = make_entry(rollouts)
    start = get_start(entry.send_request("stream"))
    entry.begin(start)
    entry.now += 0.25
    entry.stream(start, 1)
    assert rollouts.evidence[0][4] == pytest.approx(0.25)
    entry.now += 1.0
    entry.end(start, AttemptEnd.TRUNCATED)
    assert rollouts.list_results() == [(True, False), (True, True)]
    whole = get_start(entry.send_request("stream"))
    entry.begin(whole)
    entry.stream(whole, 1)
    entry.end(whole, AttemptEnd.ANSWERED, 200)
    assert rollouts.list_results()[2:] == [(True, False)]


def test_upstreams_that_registered_just_before_are_warming() -> None:
    rollouts = Rollouts(1.0, ("desk-v2-9",))
    entry = make_entry(rollouts)
    added = make_upstream("desk-v2-9", software=NEW)
    entry.handle_event(UpstreamChanged(added))
    for _ in range(2):
        entry.end(get_start(entry.send_request("idempotent")), AttemptEnd.ANSWERED, 200)
        entry.now += WARMING_S + 0.1
        entry.confirm()
    entry.handle_event(UpstreamChanged(replace(added, cold_s=3.0)))
    entry.end(get_start(entry.send_request("idempotent")), AttemptEnd.ANSWERED, 200)
    assert [taken[6] for taken in rollouts.evidence] == [True, False, True]


def test_the_driver_is_ticked_and_told_of_open_requests_at_old_versions() -> None:
    rollouts = Rollouts(0.0)
    entry = make_entry(rollouts)
    for _ in range(3):
        entry.send_request("non_idempotent")
    rollouts.share = 1.0
    entry.send_request("non_idempotent")
    rollouts.events.clear()
    for _ in range(16):
        entry.now += 0.125
        entry.handle_event(Ticked())
    assert rollouts.events == [Ticked()] * 8
    assert rollouts.old_open[-1] == 3


# Guards against an entry that has just started and serves a bad target like all others.
def test_an_entry_is_ready_only_once_it_has_read_the_orders() -> None:
    entry = Entry(1, SERVERS)
    assert entry.state.is_ready(entry.now)
    rollouts = Rollouts(None)
    entry.state.use_rollouts(RolloutParts(rollouts, rollouts, rollouts))
    assert not entry.state.is_ready(entry.now)
    entry.handle_event(RolloutsRead((), entry.now))
    assert entry.state.is_ready(entry.now)


def test_answers_to_calls_on_leases_reach_only_the_driver() -> None:
    rollouts = Rollouts(0.5)
    entry = make_entry(rollouts)
    answered = RolloutObjectAnswered(ObjectAnswer("renew", ObjectStatus.OK, 5))
    assert not pick(entry.handle_event(answered), StartAttempt)
    assert rollouts.events[-1] == answered


def test_requests_are_counted_by_side_and_shares_shown() -> None:
    rollouts = Rollouts(0.5)
    entry = make_entry(rollouts)
    entry.handle_event(DirectoryRead(make_directory(), entry.now))
    entry.handle_event(UpstreamsListed(SERVERS))
    sent = send_many(entry)
    counted = [
        effect.reason
        for effect in pick(entry.effects, Count)
        if effect.counter is Counter.ROLLOUT_REQUESTS
    ]
    assert counted == ["target" if side else "old" for side in sent]
    shown = describe_shares(entry.state, entry.now)
    expected = {"target": NEW, "share": 0.5, "upstreams": [], "state": "running"}
    assert shown["desk"] == expected
