"""Counts at an entry and their sum over all entries."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack

from masticdrum.model.rollouts import (
    LATENCY_BUCKETS,
    UPSTREAM_GROUPS,
    RolloutReport,
    Tally,
)
from masticdrum.rollouts.evidence import (
    MAX_ROUTES,
    OTHER_ROUTES,
    EntryTallies,
    PooledEvidence,
    find_bucket,
)

DATAGRAM_BYTES = 4096


def count_answers(target: int, old: int = 0) -> tuple[Tally, ...]:
    tallies = EntryTallies()
    for i in range(target + old):
        tallies.record("book", i < target, f"desk-{i}", 0.1, failed=i % 3 == 0)
    return tallies.snapshot()


def test_report_fits_a_datagram() -> None:
    """A report that is cut off or refused leaves the decider blind."""
    tallies = EntryTallies()
    for i in range(1000):
        for side in (False, True):
            tallies.record(f"{i}/" + "r" * (i * 7 % 60), side, "desk-1", 0.1, False)
    largest = 2**32 - 1
    full = tuple(
        Tally(
            tally.route,
            tally.is_target,
            (largest,) * UPSTREAM_GROUPS,
            (largest,) * UPSTREAM_GROUPS,
            (largest,) * LATENCY_BUCKETS,
        )
        for tally in tallies.snapshot()
    )
    report = RolloutReport(
        "service" * 6, "v" * 16, 2**40, "e" * 32, "i" * 36, 1e9, 99, 9999, "", full
    )
    assert len(full) == 2 * (MAX_ROUTES + 1)
    assert len(msgpack.encode(report)) <= DATAGRAM_BYTES


def test_later_routes_are_pooled() -> None:
    """Answers of routes past the bound would be lost."""
    tallies = EntryTallies()
    for i in range(50):
        tallies.record(f"route-{i}", True, "desk-1", 0.1, failed=False)
    by_route = {tally.route: sum(tally.answered) for tally in tallies.snapshot()}
    assert by_route[OTHER_ROUTES] == 50 - MAX_ROUTES
    assert sum(by_route.values()) == 50


def test_cold_upstreams_count_by_failures_only() -> None:
    """A version would look slow since its servers have just started."""
    tallies = EntryTallies()
    tallies.record("book", True, "desk-1", 9.0, failed=False, warming=True)
    tallies.record("book", True, "desk-1", 9.0, failed=True, warming=True)
    (tally,) = tallies.snapshot()
    assert (sum(tally.answered), sum(tally.failed)) == (2, 1)
    assert sum(tally.latencies) == 0


def test_buckets_follow_their_definition() -> None:
    """Entries of two releases would file one latency differently."""
    assert [find_bucket(s) for s in (0.0, 0.005, 0.0051, 0.0075, 1e9)] == [
        0,
        0,
        1,
        1,
        LATENCY_BUCKETS - 1,
    ]


@given(
    st.lists(
        st.tuples(st.sampled_from("ab"), st.sampled_from("xy"), st.integers(0, 30)),
        max_size=12,
    )
)
def test_reports_in_any_order_count_once(reports: list[tuple[str, str, int]]) -> None:
    """Repeated, late or reordered reports would be counted twice or take some back."""
    pooled = PooledEvidence()
    newest: dict[tuple[str, str], int] = {}
    for entry, incarnation, count in reports:
        pooled.replace(entry, incarnation, count_answers(count, old=count))
        key = entry, incarnation
        newest[key] = max(newest.get(key, 0), count)
    evidence = pooled.pool()
    assert evidence.new_sent == evidence.old_sent == sum(newest.values())
    latencies = sum(sum(e.new.latencies) for e in evidence.by_route.values())
    failed = sum(sum(e.new.failed) for e in evidence.by_route.values())
    assert latencies + failed == evidence.new_sent


def test_report_of_another_shape_is_borne() -> None:
    """A report with more buckets or fewer groups would end the decider."""
    pooled = PooledEvidence()
    for count in (1, 2):
        odd = Tally("book", True, (count,) * 9, (0,), (count,) * 99)
        pooled.replace("entry", "1", (odd,))
    assert pooled.pool().by_route["book"].new.answered == [2] * UPSTREAM_GROUPS
