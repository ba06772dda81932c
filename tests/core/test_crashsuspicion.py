"""Parts of prompts that crash upstreams: whose requests are refused, and whose not."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.crashsuspicion import (
    MAX_CLAIMS,
    MAX_CLEARANCES,
    MAX_KNOWN_CLAIMS,
    MAX_QUARANTINE_S,
    QUARANTINE_S,
    RETENTION_S,
    CrashSuspicion,
)
from masticdrum.model.cluster_events import (
    StoreRestored,
    UpstreamGone,
    UpstreamsListed,
)
from masticdrum.model.crashes import (
    Clearance,
    CrashClaim,
    CrashReport,
    CrashReportsListed,
    PublishCrashReport,
)
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import AttemptEnd, Refuse, StartAttempt, Ticked
from tests.crashworld import CRASHING_PART, FIRST_PART, NOON, STEP_S, CrashWorld
from tests.forwarding import BOUNDS, Entry, get_start, make_upstream, pick

STABLE_S = 3.0  # after the fifth crash all entries are to know
ALLOWED_SENDS = 3
SUBJECTS = 40


def play(world: CrashWorld, seconds: float, shared_subject: bool) -> None:
    """Send 20 sound prompts a second, and about one with a crashing part."""
    for _ in range(round(seconds / STEP_S)):
        subject = f"subject-{world.random.randrange(SUBJECTS)}"
        world.request((FIRST_PART, subject))
        if world.random.random() < STEP_S:
            crashing_subject = "subject-0" if shared_subject else subject
            world.request((FIRST_PART, crashing_subject, CRASHING_PART))
        world.step()


def list_late_sends(world: CrashWorld) -> list[float]:
    """Return when crashing prompts were sent although all entries had to know."""
    if len(world.crashes) < 5:
        return []
    known_at = world.crashes[4] + STABLE_S
    return [at for at in world.crashing_sends if at > known_at]


# Guards against requests that share a crashing part, no two alike and at any entry,
# ending one upstream after the other (BUDGET).
@pytest.mark.parametrize("shared_subject", [True, False])
def test_prompts_with_a_crashing_part_stop_reaching_upstreams(
    shared_subject: bool,
) -> None:
    for seed in range(4):
        world = CrashWorld(seed)
        play(world, 25.0, shared_subject)
        late = list_late_sends(world)
        assert len(late) <= ALLOWED_SENDS, f"{len(world.crashes)} crashes, seed {seed}"


# Guards against taking sound prompts for crashing ones because they share their other
# parts: first part and subject (LOST).
@pytest.mark.parametrize("shared_subject", [True, False])
def test_sound_prompts_that_share_the_other_parts_are_still_sent(
    shared_subject: bool,
) -> None:
    for seed in range(4):
        world = CrashWorld(seed)
        play(world, 12.0, shared_subject)
        world.finish(3.0)
        for subject in range(SUBJECTS):
            effects = world.request((FIRST_PART, f"subject-{subject}"))
            assert pick(effects, StartAttempt), f"subject {subject}, seed {seed}"
            world.finish(1.5)


# Guards against prompts that are sent again because the crashed upstream's entry, or
# all entries, were restarted.
def test_an_entry_that_starts_later_refuses_what_others_saw_crash() -> None:
    world = CrashWorld(1)
    play(world, 12.0, shared_subject=True)
    world.finish(2.0)
    started = world.make_entry(9, "entry-0")
    started.now = world.now
    started.confirm()
    reports = CrashReportsListed(tuple(world.stored.values()))
    started.handle_event(reports)
    world.request((FIRST_PART, "subject-0", CRASHING_PART), started)
    (refuse,) = pick(started.effects, Refuse)
    assert (refuse.kind, refuse.status) == (ErrorKind.CRASH_SUSPECT, 503)
    assert refuse.retry_after_s > 30


# Guards against a quarantine that begins anew at each entry that starts, long after the
# last crash and after it has ended at the others (LOST).
def test_an_entry_that_starts_later_counts_a_quarantine_from_the_crashes() -> None:
    world = CrashWorld(1)
    play(world, 12.0, shared_subject=True)
    world.finish(2.0)
    (running, *_) = world.entries
    for entry in (running, world.make_entry(9, "entry-0")):
        entry.now = world.now + MAX_QUARANTINE_S
        entry.confirm()
        entry.handle_event(CrashReportsListed(tuple(world.stored.values())))
        before = len(pick(entry.effects, StartAttempt))
        world.request((FIRST_PART, "subject-0", CRASHING_PART), entry)
        assert len(pick(entry.effects, StartAttempt)) == before + 1


# Guards against an entry that serves before it knows what crashes upstreams.
def test_an_entry_is_ready_only_when_it_has_read_the_reports() -> None:
    entry = Entry()
    assert entry.state.is_ready(entry.now)
    entry.state.suspicion.is_listed = False
    assert not entry.state.is_ready(entry.now)
    entry.handle_event(CrashReportsListed(()))
    assert entry.state.is_ready(entry.now)


def lose(entry: Entry, route: str, upstreams: list[str], **changes: object) -> None:
    """Lose a request at each of these upstreams, as if they had crashed."""
    start = get_start(entry.send_request(route, **changes))
    while True:
        upstreams.append(start.upstream)
        entry.now += 0.3
        entry.confirm()
        entry.handle_event(UpstreamGone(start.upstream))
        starts = pick(entry.end(start, AttemptEnd.LOST), StartAttempt)
        if not starts:
            return
        (start,) = starts


# Guards against entries that start after a restore and don't know what crashes
# upstreams, since the store has forgotten the reports.
def test_an_entry_reports_its_crashes_again_after_a_restore() -> None:
    entry = Entry(upstreams=(make_upstream("engines-1", "engines"),))
    lose(entry, "stream", [], fingerprint=7)
    published: list[PublishCrashReport] = []
    for _ in range(20):
        entry.now += 0.5
        published += pick(entry.handle_event(Ticked()), PublishCrashReport)
    assert len(published) == 1
    entry.handle_event(StoreRestored(2, 1))
    entry.now += 0.5
    again = pick(entry.handle_event(Ticked()), PublishCrashReport)
    assert [p.report for p in again] == [published[0].report]


# Guards against claims that are dropped because a restored store lists the crashed
# upstream as if it lived.
def test_a_crashed_upstream_that_a_copy_brings_back_clears_no_claim() -> None:
    crashed = make_upstream("engines-1", "engines", born=7, sequence=4)
    entry = Entry(upstreams=(crashed,))
    lose(entry, "stream", [], fingerprint=7)
    entry.now += BOUNDS.unregister_s
    entry.handle_event(StoreRestored(2, 1))
    entry.handle_event(UpstreamsListed((crashed,)))
    entry.now += 2.0
    entry.handle_event(Ticked())
    assert entry.state.suspicion.count_claims() == 1


# Guards against a request that its caller repeats crashing each upstream (BUDGET).
@pytest.mark.parametrize("route", ["idempotent", "non_idempotent"])
def test_a_repeat_of_a_request_that_crashed_three_upstreams_is_refused(
    route: str,
) -> None:
    upstreams = tuple(make_upstream(f"desk-{number}") for number in range(9))
    entry = Entry(upstreams=upstreams)
    crashed: list[str] = []
    while len(crashed) < 3:
        lose(entry, route, crashed, fingerprint=7)
    (refuse,) = pick(entry.send_request(route, fingerprint=7), Refuse)
    assert (refuse.kind, refuse.status) == (ErrorKind.CRASH_SUSPECT, 503)
    assert pick(entry.send_request(route, fingerprint=8), StartAttempt)


def make_claim(number: int, **changes: object) -> CrashClaim:
    values: dict[str, object] = {
        "claim": f"c{number}",
        "upstream": f"engines-{number}",
        "born": 1,
        "at": NOON + 80.0 + 10.0 * number,
        "request": f"r{number}",
        "keys": ("part p", f"request {number}"),
        "begun_s": 0.1,
    }
    return CrashClaim(**{**values, **changes})


def make_suspicion(*claims: CrashClaim) -> CrashSuspicion:
    suspicion = CrashSuspicion("entry-1", Random(1))
    apply(suspicion, CrashReport("entry-2", claims), 100.0)
    return suspicion


def apply(
    suspicion: CrashSuspicion, report: CrashReport, now: float, ahead_s: float = 0.0
) -> None:
    """Read a report at an entry whose time of day is some seconds ahead."""
    suspicion.apply_reports([report], now, NOON + now + ahead_s, is_list=True)


def is_refused(suspicion: CrashSuspicion, *keys: str, now: float = 101.0) -> bool:
    return suspicion.compute_quarantine(keys, now) > 0


# Guards against a quarantine of what merely was there when a data centre lost power.
def test_upstreams_that_crash_at_the_same_moment_count_once() -> None:
    spread = [make_claim(number) for number in range(3)]
    at_once = [make_claim(number, at=NOON + 95.0 + number / 500) for number in range(9)]
    assert is_refused(make_suspicion(*spread), "part p")
    assert not is_refused(make_suspicion(*at_once), "part p")


# Guards against a quarantine without end, and against one that starts from nothing.
def test_a_quarantine_ends_and_one_more_crash_renews_it_for_longer() -> None:
    suspicion = make_suspicion(*(make_claim(number) for number in range(3)))
    assert is_refused(suspicion, "part p", now=100.0 + QUARANTINE_S - 1)
    later = 100.0 + QUARANTINE_S + 1
    assert not is_refused(suspicion, "part p", now=later)
    apply(suspicion, CrashReport("entry-3", (make_claim(3, at=NOON + later),)), later)
    assert is_refused(suspicion, "part p", now=later + 2 * QUARANTINE_S - 1)
    assert not is_refused(suspicion, "part p", now=later + 2 * QUARANTINE_S + 1)


# Guards against a quarantine that ends early, while crashes go on, at an entry whose
# clock is ahead of those of the others (BUDGET).
def test_a_clock_that_is_ahead_ends_no_quarantine_early() -> None:
    for ahead_s in (-5.0, 0.0, 5.0):
        suspicion = CrashSuspicion("entry-1", Random(1))
        claims = tuple(make_claim(number) for number in range(3))
        apply(suspicion, CrashReport("entry-2", claims), 100.0, ahead_s)
        assert is_refused(suspicion, "part p", now=100.0 + QUARANTINE_S - 0.1), ahead_s
        assert not is_refused(suspicion, "part p", now=100.0 + QUARANTINE_S), ahead_s


# Guards against a quarantine without end because the writer's clock was wrong.
def test_a_claim_that_is_dated_ahead_counts_as_of_now() -> None:
    for at in (NOON + 200.0, NOON + 1e6, 1e300):
        claims = [make_claim(number, at=at + number) for number in range(3)]
        claims += [make_claim(number + 3) for number in range(3)]
        suspicion = make_suspicion(*claims)
        lasts_s = suspicion.compute_quarantine(("part p",), 100.0)
        assert QUARANTINE_S <= lasts_s <= MAX_QUARANTINE_S, at
        assert not is_refused(suspicion, "part p", now=100.0 + MAX_QUARANTINE_S)
        suspicion.review(100.0 + RETENTION_S, lambda *_: False, lambda *_: False)
        assert suspicion.count_claims() == 0, at


# Guards against claims that are kept, and count as crashes, for as long again after
# each start.
def test_claims_that_are_too_old_are_left_out_at_a_start() -> None:
    report = CrashReport("entry-1", (make_claim(1), make_claim(2, at=-1e300)))
    started_at = NOON + 90.0 + RETENTION_S
    for own_name in ("entry-1", "entry-2"):
        suspicion = CrashSuspicion(own_name, Random(1))
        suspicion.apply_reports([report], 50.0, started_at, is_list=True)
        assert suspicion.count_claims() == 1
        suspicion.review(56.0, lambda *_: False, lambda *_: False)
        assert suspicion.count_claims() == 0
        late = CrashSuspicion(own_name, Random(1))
        late.apply_reports([report], 50.0, started_at + 6.0, is_list=True)
        assert late.count_claims() == 0
        assert late.is_listed


# Guards against a quarantine because connections broke while the upstreams lived.
def test_claims_of_upstreams_that_are_still_registered_are_dropped() -> None:
    suspicion = make_suspicion(*(make_claim(number) for number in range(3)))
    suspicion.review(106.0, lambda *_: False, lambda _, age_s: age_s >= 6.0)
    assert not is_refused(suspicion, "part p", now=106.0)


# Guards against parts that stay in quarantine although answers with them are complete.
def test_a_complete_answer_that_began_after_the_crashes_clears_its_parts() -> None:
    suspicion = make_suspicion(*(make_claim(number) for number in range(3)))
    suspicion.record_answer(("part p",), 99.0, 103.0)
    assert is_refused(suspicion, "part p")
    suspicion.record_answer(("part p",), 102.0, 103.0)
    assert not is_refused(suspicion, "part p")
    report = suspicion.take_report(104.0)
    assert report is not None
    elsewhere = make_suspicion(*(make_claim(number) for number in range(3)))
    apply(elsewhere, report, 104.0)
    assert not is_refused(elsewhere, "part p", now=104.0)


CLAIMS = st.lists(
    st.builds(
        make_claim,
        st.integers(0, 30),
        upstream=st.sampled_from(["e1", "e2", "e3", "e4"]),
        request=st.sampled_from(["r1", "r2", "r3"]),
        keys=st.lists(
            st.sampled_from(["part a", "part b", "part c"]), min_size=1, unique=True
        ).map(tuple),
        begun_s=st.sampled_from([None, 0.0, 0.1, 0.4]),
    ),
    max_size=12,
    unique_by=lambda claim: claim.claim,
)
CLEARANCES = st.lists(
    st.builds(
        Clearance,
        st.integers(0, 30).map("c{}".format),
        st.sampled_from(["part a", "part b"]),
    ),
    max_size=6,
)


# Guards against entries that disagree on what crashes upstreams after reading the same.
@settings(derandomize=True, max_examples=200, deadline=None)
@given(CLAIMS, CLEARANCES, st.randoms(use_true_random=False))
def test_entries_agree_whatever_the_order_of_the_reports(
    claims: list[CrashClaim], clearances: list[Clearance], random: Random
) -> None:
    reports = [CrashReport(f"p{n}", (claim,)) for n, claim in enumerate(claims)]
    reports += [CrashReport(f"q{n}", (), (item,)) for n, item in enumerate(clearances)]
    shuffled = random.sample(reports, len(reports))
    together = CrashSuspicion("entry-1", Random(1))
    together.apply_reports(reports, 100.0, NOON + 100.0, is_list=True)
    one_by_one = CrashSuspicion("entry-2", Random(2))
    for report in shuffled + shuffled[:3]:
        one_by_one.apply_reports([report], 100.0, NOON + 100.0, is_list=False)
    for keys in (("part a",), ("part b", "part c"), ("part a", "part b", "part c")):
        quarantines = [
            suspicion.compute_quarantine(keys, 101.0)
            for suspicion in (together, one_by_one)
        ]
        assert quarantines[0] == quarantines[1], keys


# Guards against reports and beliefs that grow without end on a day of many losses.
def test_what_is_kept_and_published_is_bounded() -> None:
    suspicion = CrashSuspicion("entry-1", Random(1))
    for number in range(3000):
        now = number / 10
        suspicion.record_loss(make_claim(number, keys=(f"part {number % 50}",)), now)
        suspicion.record_answer((f"part {number % 50}",), now, now)
        report = suspicion.take_report(now)
        suspicion.review(now, lambda *_: False, lambda *_: False)
        if report is not None:
            assert len(report.claims) <= MAX_CLAIMS
            assert len(report.clearances) <= MAX_CLEARANCES
    assert suspicion.count_claims() <= MAX_KNOWN_CLAIMS


# Guards against a store that is flooded with writes while many connections break.
def test_an_entry_publishes_its_losses_together_and_not_those_of_live_upstreams() -> (
    None
):
    suspicion = CrashSuspicion("entry-1", Random(1))
    published = []
    for number in range(300):
        now = 50.0 + number / 100
        suspicion.record_loss(make_claim(number), now)
        suspicion.review(now, lambda *_: False, lambda *_: False)
        published.append(suspicion.take_report(now))
    assert sum(report is not None for report in published) <= 11
    alive = CrashSuspicion("entry-1", Random(1))
    alive.record_loss(make_claim(1), 50.0)
    alive.review(50.1, lambda *_: True, lambda *_: False)
    assert alive.take_report(50.2) is None or not alive.count_claims()
