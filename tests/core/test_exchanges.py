"""Forwarded requests: what is retried, what callers are told, what never happens."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from masticdrum.core.attemptends import END_RULES
from masticdrum.core.exchangeclose import MIN_RETRY_AFTER_S
from masticdrum.model.cluster_events import (
    DataCentresDrained,
    DirectoryRead,
    UpstreamChanged,
    UpstreamGone,
    WeightsNamed,
)
from masticdrum.model.directory import Directory, ForwardWorkspace
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import (
    AbortStream,
    AttemptEnd,
    BeginStream,
    EndStream,
    Execution,
    ExitProcess,
    ForwardAnswer,
    ForwardEvents,
    Refuse,
    StartAttempt,
    StopAttempt,
    StopRequested,
    Ticked,
)
from masticdrum.model.platform import ObjectGet, ObjectPut
from tests.forwarding import (
    KEY,
    MODEL,
    UPSTREAMS,
    Entry,
    get_start,
    make_directory,
    make_upstream,
    pick,
)

FIXED_SEED = settings(derandomize=True, max_examples=300, deadline=None)
NOT_RUN_STATUSES = (408, 421, 429, 503)
FAILING = [end for end in AttemptEnd if end is not AttemptEnd.ANSWERED]
MAY_HAVE_RUN = [end for end in FAILING if END_RULES[end].ran is not Execution.NO]


def test_only_an_upstreams_statement_or_an_unsent_request_proves_not_run() -> None:
    proven = {end for end, rule in END_RULES.items() if rule.ran is Execution.NO}
    assert proven == {
        AttemptEnd.REJECTED,
        AttemptEnd.MISDIRECTED,
        AttemptEnd.UNREACHABLE,
        AttemptEnd.UNSENT,
    }


def test_an_answer_goes_back_unchanged() -> None:
    entry = Entry()
    start = get_start(entry.send_request("idempotent"))
    assert start.workspace == "depot"
    effects = entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)
    assert pick(effects, ForwardAnswer) == [ForwardAnswer(start.handle, start.attempt)]
    assert not entry.state.exchanges
    assert not entry.state.open


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
def test_a_request_that_may_have_run_is_not_retried_nor_reported_as_not_run(
    end: AttemptEnd,
) -> None:
    entry = Entry()
    start = get_start(entry.send_request("non_idempotent"))
    effects = entry.end(start, end, 500, verified=True)
    assert not pick(effects, StartAttempt)
    assert all(
        refuse.status not in NOT_RUN_STATUSES for refuse in pick(effects, Refuse)
    )
    assert len(pick(effects, Refuse)) + len(pick(effects, ForwardAnswer)) == 1


@pytest.mark.parametrize(
    "end", [end for end in FAILING if END_RULES[end].ran is Execution.NO]
)
def test_a_request_that_did_not_run_is_retried_at_another_upstream(
    end: AttemptEnd,
) -> None:
    entry = Entry()
    first = get_start(entry.send_request("non_idempotent"))
    second = get_start(entry.end(first, end, 503))
    assert second.upstream != first.upstream


def test_rejections_by_all_upstreams_end_in_not_run_with_retry_after() -> None:
    entry = Entry()
    effects = entry.send_request("non_idempotent")
    while pick(effects, StartAttempt):
        effects = entry.end(get_start(effects), AttemptEnd.REJECTED, 503)
    (refuse,) = pick(effects, Refuse)
    assert refuse.status == 503
    assert 0 < refuse.retry_after_s <= 5.0 / 3


def test_a_broken_stream_resumes_after_its_last_complete_event() -> None:
    entry = Entry()
    first = get_start(entry.send_request("stream"))
    assert pick(entry.begin(first), BeginStream)
    entry.stream(first, 4)
    second = get_start(entry.end(first, AttemptEnd.LOST, 200))
    assert second.last_event == 4
    assert second.upstream != first.upstream
    assert not pick(entry.begin(second), BeginStream)
    assert pick(entry.stream(second, 5), ForwardEvents)
    effects = entry.end(second, AttemptEnd.ANSWERED, 200, verified=True)
    assert pick(effects, EndStream)


# Guards against a broken stream that ends as if it were complete, since the next
# upstream answered with an error or something else that is no stream (ORDER, MIXED).
@pytest.mark.parametrize("status", [200, 400, 404, 413])
def test_an_answer_that_is_no_stream_does_not_end_a_stream_as_complete(
    status: int,
) -> None:
    entry = Entry()
    start = get_start(entry.send_request("stream"))
    entry.begin(start)
    entry.stream(start, 4)
    again = get_start(entry.end(start, AttemptEnd.LOST))
    effects = entry.end(again, AttemptEnd.ANSWERED, status, verified=True)
    third = get_start(effects)
    assert third.last_event == 4
    ended = entry.end(third, AttemptEnd.ANSWERED, status, verified=True)
    assert pick(ended, AbortStream)
    for effect_kind in (EndStream, ForwardAnswer, ForwardEvents, BeginStream):
        assert not pick([*effects, *ended], effect_kind)


def test_a_resumed_stream_without_further_events_is_complete() -> None:
    entry = Entry()
    start = get_start(entry.send_request("stream"))
    entry.begin(start)
    entry.stream(start, 4)
    again = get_start(entry.end(start, AttemptEnd.LOST))
    entry.begin(again)
    assert pick(entry.end(again, AttemptEnd.ANSWERED, 200, verified=True), EndStream)


def test_a_broken_stream_that_may_not_resume_ends_as_incomplete() -> None:
    entry = Entry()
    start = get_start(entry.send_request("once"))
    entry.begin(start)
    entry.stream(start, 1)
    effects = entry.end(start, AttemptEnd.LOST, 200)
    assert pick(effects, AbortStream)
    assert not pick(effects, StartAttempt)


def test_the_deadline_ends_a_request_at_once() -> None:
    entry = Entry()
    start = get_start(entry.send_request("non_idempotent", deadline_s=1.0))
    assert start.left_s == pytest.approx(1.0)
    entry.now += 1.0
    effects = entry.handle_event(Ticked())
    assert pick(effects, StopAttempt)
    (refuse,) = pick(effects, Refuse)
    assert refuse.status == 504


def test_the_routes_timeout_limits_a_longer_deadline() -> None:
    entry = Entry()
    start = get_start(entry.send_request("idempotent", deadline_s=60.0))
    assert start.left_s == pytest.approx(10.0)


def test_a_disconnected_callers_attempt_is_stopped() -> None:
    entry = Entry()
    start = get_start(entry.send_request("stream"))
    assert pick(entry.disconnect(start.handle), StopAttempt)
    assert not entry.state.exchanges
    assert not pick(entry.end(start, AttemptEnd.LOST), StartAttempt)


def test_keys_work_only_while_the_configuration_is_confirmed() -> None:
    entry = Entry()
    entry.now += 4.9
    (refuse,) = pick(entry.send_request("idempotent"), Refuse)
    assert refuse.status == 503
    entry.confirm()
    assert pick(entry.send_request("idempotent"), StartAttempt)


def test_a_stale_configuration_gives_503_instead_of_401_and_404() -> None:
    entry = Entry()
    entry.now += 30.0
    (unknown,) = pick(entry.send_request("idempotent", key="another"), Refuse)
    (missing,) = pick(entry.send_request("elsewhere"), Refuse)
    assert (unknown.status, missing.status) == (503, 503)
    entry.confirm()
    (unknown,) = pick(entry.send_request("idempotent", key="another"), Refuse)
    (missing,) = pick(entry.send_request("elsewhere"), Refuse)
    assert (unknown.status, missing.status) == (401, 404)


def test_a_retry_after_the_lease_lapsed_is_not_sent() -> None:
    entry = Entry()
    start = get_start(entry.send_request("idempotent"))
    entry.now += 4.9
    effects = entry.end(start, AttemptEnd.REJECTED, 503)
    assert not pick(effects, StartAttempt)
    (refuse,) = pick(effects, Refuse)
    assert refuse.status == 503


def test_an_older_configuration_is_never_installed() -> None:
    entry = Entry()
    entry.handle_event(DirectoryRead(make_directory(7, routes=()), entry.now))
    entry.handle_event(DirectoryRead(make_directory(3), entry.now))
    assert entry.state.cluster_state.version == 7
    (refuse,) = pick(entry.send_request("idempotent"), Refuse)
    assert refuse.status == 404


def test_nothing_new_goes_to_leaving_gone_or_evacuated_upstreams() -> None:
    entry = Entry()
    entry.handle_event(UpstreamChanged(make_upstream("desk-1", leaving=True)))
    entry.handle_event(UpstreamGone("desk-2"))
    for _ in range(20):
        assert get_start(entry.send_request("idempotent")).upstream == "desk-3"
    entry.handle_event(DataCentresDrained(frozenset({"north"})))
    (refuse,) = pick(entry.send_request("idempotent"), Refuse)
    assert refuse.status == 503


def test_kept_cache_is_shared_by_weights_and_never_over_a_wall() -> None:
    entry = Entry()
    shared = get_start(entry.send_request("stream"))
    assert (shared.expect_weights, shared.cache_scope) == (1, f"{MODEL}.1")
    workspaces = (ForwardWorkspace("depot", (KEY,), isolated=True),)
    directory = make_directory(2, workspaces=workspaces)
    entry.handle_event(DirectoryRead(directory, entry.now))
    isolated_start = get_start(entry.send_request("stream"))
    assert isolated_start.cache_scope == f"{MODEL}.1.depot"


def test_newer_weights_in_an_answer_are_recorded() -> None:
    entry = Entry(upstreams=(make_upstream("engines-1", "engines"),))
    first = get_start(entry.send_request("stream"))
    second = get_start(entry.end(first, AttemptEnd.MISDIRECTED, 421, weights=2))
    assert (second.upstream, second.expect_weights) == ("engines-1", 2)


def test_no_request_starts_on_older_weights_after_the_switch_period() -> None:
    entry = Entry()
    entry.handle_event(WeightsNamed(MODEL, 2))
    current = make_upstream("engines-2", "engines", weights={MODEL: 2})
    entry.handle_event(UpstreamChanged(current))
    entry.now += 10.5
    entry.confirm()
    for _ in range(10):
        assert get_start(entry.send_request("stream")).upstream == "engines-2"


def test_no_cache_is_fetched_from_an_engine_for_superseded_weights() -> None:
    entry = Entry()
    for _ in range(12):
        entry.send_request("stream")
    entry.effects.clear()
    entry.send_request("stream")
    (before,) = pick(entry.effects, StartAttempt)
    entry.handle_event(WeightsNamed(MODEL, 2, entry.now))
    after = [get_start(entry.send_request("stream")) for _ in range(12)]
    assert not any(start.cache_sources for start in after)
    assert before.expect_weights == after[0].expect_weights == 1


def test_shutdown_waits_for_the_load_balancer_and_cuts_off_no_request() -> None:
    """Open requests must not keep the listener open.

    Otherwise a request that arrives 5 s after SIGTERM is cut off at the end of the
    grace period.
    """
    entry = Entry()
    start = get_start(entry.send_request("idempotent"))
    entry.handle_event(StopRequested(8.0))
    assert not entry.state.is_ready(entry.now)
    entry.now += 2.9
    assert not pick(entry.handle_event(Ticked()), ExitProcess)
    entry.now += 0.1
    effects = entry.handle_event(Ticked())
    assert pick(effects, ExitProcess)
    assert not pick(effects, StopAttempt)
    assert entry.state.compute_remaining_grace(entry.now) == pytest.approx(4.0)
    effects = entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)
    assert pick(effects, ForwardAnswer)


def test_a_request_accepted_while_shutting_down_has_the_rest_of_the_grace_period() -> (
    None
):
    """A request accepted as the entry stops listening must not be cut off 1 s later.

    It is forwarded since its own deadline is within the grace period.
    """
    entry = Entry()
    entry.handle_event(StopRequested(8.0))
    entry.now += 4.0
    assert pick(entry.handle_event(Ticked()), ExitProcess)
    start = get_start(entry.send_request("stream", deadline_s=2.9))
    entry.begin(start)
    assert entry.state.compute_remaining_grace(entry.now) == pytest.approx(3.0)
    entry.now += 2.0
    assert not pick(entry.handle_event(Ticked()), AbortStream)
    assert pick(entry.end(start, AttemptEnd.ANSWERED, 200, verified=True), EndStream)


# Guards against requests that are accepted late in a stop, passed on, and cut off at
# the end of the grace period (LOST).
@pytest.mark.parametrize(
    ("after_s", "deadline_s", "is_sent"),
    [(0.0, 12.0, True), (2.8, 12.0, True), (2.9, 12.0, False), (3.4, 12.0, False)]
    + [(3.4, 3.5, True), (6.0, 1.1, False), (6.0, 0.9, True)],
)
@pytest.mark.parametrize("route", ["stream", "non_idempotent"])
def test_a_request_that_may_outlast_the_stop_is_refused_at_once(
    after_s: float, deadline_s: float, is_sent: bool, route: str
) -> None:
    entry = Entry()
    entry.handle_event(DirectoryRead(make_slow_directory(), entry.now))
    entry.handle_event(StopRequested(8.0))
    entry.now += after_s
    entry.confirm()
    effects = entry.send_request(route, deadline_s=deadline_s)
    if is_sent:
        assert pick(effects, StartAttempt)
        return
    (refusal,) = pick(effects, Refuse)
    assert (refusal.kind, refusal.status) == (ErrorKind.SHUTTING_DOWN, 503)
    assert refusal.retry_after_s == MIN_RETRY_AFTER_S
    assert not entry.state.exchanges


def test_a_stream_that_takes_too_long_by_experience_is_refused_during_a_stop() -> None:
    entry = Entry()
    entry.handle_event(DirectoryRead(make_slow_directory(), entry.now))
    start = get_start(entry.send_request("stream", deadline_s=12.0))
    entry.begin(start)
    entry.stream(start, 4)
    entry.now += 5.5
    entry.confirm()
    entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)
    entry.handle_event(StopRequested(8.0))
    entry.now += 1.4
    assert pick(entry.send_request("stream", deadline_s=12.0), StartAttempt)
    entry.now += 0.2
    (refusal,) = pick(entry.send_request("stream", deadline_s=12.0), Refuse)
    assert (refusal.kind, refusal.status) == (ErrorKind.SHUTTING_DOWN, 503)


def test_a_signal_that_was_noticed_late_takes_its_delay_from_the_stop() -> None:
    entry = Entry()
    entry.handle_event(StopRequested(8.0, delay_s=1.0))
    assert entry.state.compute_remaining_grace(entry.now) == pytest.approx(6.2)
    assert entry.state.compute_remaining_stop(entry.now) == pytest.approx(6.4)
    entry.handle_event(DirectoryRead(make_slow_directory(), entry.now))
    entry.now += 1.9
    assert pick(entry.send_request("stream", deadline_s=12.0), Refuse)


# Guards against callers whose connections are closed without an answer at the end of a
# stop (LOST), or with one that is untrue (REFUSED).
def test_what_is_open_at_the_end_of_a_stop_is_answered() -> None:
    entry = Entry()
    entry.handle_event(DirectoryRead(make_slow_directory(), entry.now))
    sent = get_start(entry.send_request("non_idempotent", deadline_s=12.0))
    begun = get_start(entry.send_request("stream", deadline_s=12.0))
    entry.begin(begun)
    entry.stream(begun, 4)
    entry.platform = SilentPlatform()
    waiting = entry.send_request(
        "stream", deadline_s=12.0, last_event=3, resumes="elsewhere"
    )
    assert not pick(waiting, StartAttempt | Refuse)
    handle = entry.handles
    entry.handle_event(StopRequested(8.0))
    entry.now += 6.9
    entry.confirm()
    assert not pick(entry.handle_event(Ticked()), AbortStream)
    entry.now += 0.1
    effects = entry.handle_event(Ticked())
    assert {stop.handle for stop in pick(effects, StopAttempt)} >= {sent.handle}
    answers = {refusal.handle: refusal.status for refusal in pick(effects, Refuse)}
    assert answers[sent.handle] == 502
    assert [abort.handle for abort in pick(effects, AbortStream)] == [begun.handle]
    assert answers[handle] == 503
    assert not entry.state.exchanges


class SilentPlatform:
    """A platform that never answers."""

    def execute(self, call: ObjectGet | ObjectPut) -> None:
        return None


def make_slow_directory() -> Directory:
    """Return a directory whose routes wait for longer than a stop takes."""
    directory = make_directory(2)
    routes = tuple(replace(route, timeout_s=12.0) for route in directory.routes)
    return replace(directory, routes=routes)


def test_a_cold_upstream_gets_its_share_only() -> None:
    cold = make_upstream("engines-1", "engines", cold_s=3.0)
    entry = Entry(upstreams=(cold,))
    sent = 0
    for _ in range(200):
        entry.now += 0.01
        entry.confirm()
        for start in pick(entry.send_request("stream"), StartAttempt):
            sent += 1
            entry.end(start, AttemptEnd.ANSWERED, 200, verified=True)
    assert 10 <= sent / 2.0 <= 12 * 1.5 + 5


@pytest.mark.parametrize(("weights", "paused"), [(0, True), (2, False)])
def test_an_upstream_that_is_another_by_now_is_not_chosen_again(
    weights: int, paused: bool
) -> None:
    """Until the list drops it, unless its answer only names newer weights."""
    names = ("engines-1", "engines-2", "engines-3")
    entry = Entry(upstreams=tuple(make_upstream(name, "engines") for name in names))
    first = get_start(entry.send_request("stream"))
    second = get_start(entry.end(first, AttemptEnd.MISDIRECTED, 421, weights=weights))
    entry.end(second, AttemptEnd.ANSWERED, 200, verified=True)
    later = get_start(entry.send_request("stream"))
    assert (later.upstream != first.upstream) is paused


def test_retries_stay_within_their_window() -> None:
    entry = Entry()
    repeats = 0
    for _ in range(400):
        entry.now += 0.02
        entry.confirm()
        effects = entry.send_request("idempotent")
        while pick(effects, StartAttempt):
            effects = entry.end(get_start(effects), AttemptEnd.LOST)
            repeats += len(pick(effects, StartAttempt))
    assert 0 < repeats <= 0.2 * 400 + 20


class CheckedEntry:
    """An entry with the invariants that every order of events must keep."""

    def __init__(self, seed: int) -> None:
        self.entry = Entry(seed)
        self.live: dict[int, StartAttempt] = {}
        self.route_of: dict[int, str] = {}
        self.ran: dict[int, int] = {}
        self.final: set[int] = set()

    def count_run(self, handle: int) -> None:
        self.ran[handle] = self.ran.get(handle, 0) + 1

    def check_effects(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.check_start(effect)
            elif isinstance(effect, StopAttempt):
                del self.live[effect.handle]
                self.count_run(effect.handle)
            elif isinstance(effect, Refuse | ForwardAnswer | EndStream | AbortStream):
                assert effect.handle not in self.final, "two final answers"
                self.final.add(effect.handle)
            if isinstance(effect, Refuse) and effect.status in NOT_RUN_STATUSES:
                assert self.ran.get(effect.handle, 0) == 0, (
                    "a request that ran is reported as not run"
                )

    def check_start(self, start: StartAttempt) -> None:
        assert start.handle not in self.final, "an attempt after the answer"
        assert start.handle not in self.live, "two attempts of one exchange"
        if self.route_of[start.handle] in ("non_idempotent", "once"):
            assert self.ran.get(start.handle, 0) == 0, "a second run"
        assert self.entry.state.cluster_state.is_leased(self.entry.now)
        self.live[start.handle] = start

    def send_request(self, number: int, end: AttemptEnd) -> None:
        route = ROUTE_NAMES[number % len(ROUTE_NAMES)]
        self.route_of[self.entry.handles + 1] = route
        self.check_effects(self.entry.send_request(route))

    def wait(self, number: int, end: AttemptEnd) -> None:
        self.entry.now += number * 0.7
        self.check_effects(self.entry.handle_event(Ticked()))

    def confirm(self, number: int, end: AttemptEnd) -> None:
        self.entry.confirm()

    def remove_upstream(self, number: int, end: AttemptEnd) -> None:
        self.entry.handle_event(UpstreamGone(UPSTREAMS[number].name))

    def restore_upstream(self, number: int, end: AttemptEnd) -> None:
        self.entry.handle_event(UpstreamChanged(UPSTREAMS[number]))

    def end(self, number: int, end: AttemptEnd) -> None:
        start = self.choose(number)
        if start is None:
            return
        del self.live[start.handle]
        if END_RULES[end].ran is not Execution.NO:
            self.count_run(start.handle)
        verified = end is AttemptEnd.ANSWERED
        self.check_effects(self.entry.end(start, end, 200, verified=verified))

    def stream(self, number: int, end: AttemptEnd) -> None:
        start = self.choose(number)
        if start is not None:
            self.check_effects(self.entry.begin(start))
            self.check_effects(self.entry.stream(start, number))

    def disconnect(self, number: int, end: AttemptEnd) -> None:
        start = self.choose(number)
        if start is not None:
            self.check_effects(self.entry.disconnect(start.handle))
            self.final.add(start.handle)

    def choose(self, number: int) -> StartAttempt | None:
        live = list(self.live.values())
        return live[number % len(live)] if live else None


ROUTE_NAMES = ("idempotent", "non_idempotent", "stream", "once")
MOVES = (
    "send_request",
    "end",
    "stream",
    "disconnect",
    "wait",
    "confirm",
    "remove_upstream",
    "restore_upstream",
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(MOVES), st.integers(0, 5), st.sampled_from(list(AttemptEnd))
    ),
    max_size=60,
)


@FIXED_SEED
@given(st.integers(0, 1000), STEPS)
def test_no_order_of_events_breaks_a_promise(
    seed: int, steps: list[tuple[str, int, AttemptEnd]]
) -> None:
    checked = CheckedEntry(seed)
    for move, number, end in steps:
        getattr(checked, move)(number, end)
    state = checked.entry.state
    sent = [exchange for exchange in state.exchanges.values() if exchange.attempt]
    assert {exchange.handle for exchange in sent} == set(checked.live)
    assert sum(state.open.values()) == sum(exchange.work for exchange in sent)
