"""What answered calls prove about when revisions of the store were written."""

from typing import Any

import httpcore
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from masticdrum.core.revisiontimes import RevisionTimes
from masticdrum.platform import store as store_module
from masticdrum.platform.store import Store

CALLS = st.lists(st.tuples(st.floats(0.0, 30.0), st.floats(0.0, 10.0)), max_size=60)
WRITES = st.lists(st.floats(0.0, 40.0), max_size=40, unique=True)


# Guards against a time that is later than the write, whatever calls overtake another.
@settings(deadline=None, derandomize=True)
@given(CALLS, WRITES)
def test_no_revision_is_taken_for_younger_than_it_is(
    calls: list[tuple[float, float]], writes: list[float]
) -> None:
    written = sorted(writes)
    times = RevisionTimes()
    for sent_at, lasts_s in sorted(calls, key=sum):
        # The call may be executed at any time until its answer, here in the middle.
        executed_at = sent_at + lasts_s / 2
        times.record(sum(at <= executed_at for at in written), sent_at)
    for revision, at in enumerate(written, 1):
        assert times.find_not_before(revision) <= at


def test_the_latest_call_that_was_answered_before_the_write_counts() -> None:
    times = RevisionTimes()
    for as_of, sent_at in [(3, 1.0), (5, 2.0), (9, 4.0), (5, 3.0)]:
        times.record(as_of, sent_at)
    found = [times.find_not_before(revision) for revision in (3, 4, 5, 6, 9, 10)]
    assert found == [float("-inf"), 1.0, 1.0, 3.0, 3.0, 4.0]


class AnsweringPool:
    """Answers each call after a second, as of the next of ``answers``."""

    def __init__(self, answers: list[tuple[int, int]]) -> None:
        self.answers = answers

    async def request(self, method: str, url: str, **more: Any) -> httpcore.Response:
        await trio.sleep(1.0)
        era, as_of = self.answers.pop(0)
        body = f'{{"items": [], "events": [], "asOf": {as_of}}}'.encode()
        headers = [(b"Store-Era", str(era).encode())]
        response = httpcore.Response(200, headers=headers, content=body)
        await response.aread()
        return response


# Guards against proofs by reads that may be old, and by revisions of before a restore,
# which are given out again.
def test_stale_reads_and_earlier_eras_prove_nothing(monkeypatch: Any) -> None:
    found: list[float] = []

    async def run() -> None:
        began = trio.current_time()
        monkeypatch.setattr(
            store_module, "read_clock", lambda: trio.current_time() - began
        )
        store = Store("127.0.0.1:1", lambda how: None)
        pool: Any = AnsweringPool([(1, 50), (1, 50), (1, 60), (2, 40)])
        store._pool = pool
        await store.watch("config", 0, 1.5)
        found.append(store.find_not_before(51))
        await store.list_page("servers", "", stale=True)
        found.append(store.find_not_before(51))
        await store.watch("config", 50, 1.5)
        found.append(store.find_not_before(61))
        await store.list_page("versions", "")
        found.append(store.find_not_before(41))
        found.append(store.find_not_before(40))

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert found == [0.0, 0.0, 2.0, 3.0, float("-inf")]
