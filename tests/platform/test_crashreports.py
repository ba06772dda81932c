"""How entries' crash reports get into the store and back."""

from random import Random
from typing import Any

import msgspec
import trio
from trio.testing import MockClock

from masticdrum.model.crashes import (
    CrashClaim,
    CrashReport,
    CrashReportChanged,
    CrashReportsListed,
)
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.platform.crashreports import CrashReportWriter
from masticdrum.platform.watchers import CRASHES
from masticdrum.shell.latest import Latest
from tests.platform.test_followers import make_object, watch_kind

CLAIM = CrashClaim("c1", "engine-1", 7, 1.5, "r1", ("part p",), None)
REPORT = CrashReport("entry-1", (CLAIM,))


class OneObject:
    """A store of one object that fails the calls in ``failing``, by number."""

    def __init__(self, version: int = 0, failing: tuple[int, ...] = ()) -> None:
        self.version = version
        self.body = b""
        self.calls = 0
        self.failing = failing

    async def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        await trio.sleep(0.01)
        self.calls += 1
        if self.calls in self.failing:
            return ObjectAnswer(call.call, ObjectStatus.LOST)
        if isinstance(call, ObjectGet):
            status = ObjectStatus.OK if self.version else ObjectStatus.MISSING
            return ObjectAnswer(call.call, status, self.version, self.body)
        if call.expected != self.version:
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
        self.version += 1
        self.body = call.body
        return ObjectAnswer(call.call, ObjectStatus.OK, self.version, self.body)


def write_reports(store: Any, *reports: CrashReport) -> None:
    """Publish reports one second apart."""

    async def run() -> None:
        latest: Latest[CrashReport] = Latest()
        writer = CrashReportWriter(store, "entry-1", latest, Random(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            for report in reports:
                latest.set(report)
                await trio.sleep(1.0)
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


# Guards against reports that stay unwritten because the object exists from before a
# restart, or because the store failed for a moment.
def test_a_report_is_written_over_an_earlier_ones_and_after_failures() -> None:
    for version, failing in ((0, ()), (5, ()), (5, (1, 2, 3)), (0, (1, 2))):
        store = OneObject(version, failing)
        write_reports(store, CrashReport("entry-1"), REPORT)
        assert msgspec.json.decode(store.body, type=CrashReport) == REPORT


# Guards against a watch that drops reports, or takes one that can't be read for all.
def test_reports_are_listed_and_their_changes_are_submitted() -> None:
    stored = make_object("entry-1", msgspec.to_builtins(REPORT))
    odd = make_object("entry-2", {"claims": 3})
    submitted, _ = watch_kind(CRASHES, [odd], [(1.0, odd), (2.0, stored)])
    assert submitted[0] == CrashReportsListed(())
    assert submitted[1:] == [CrashReportChanged(REPORT)]
    submitted, _ = watch_kind(CRASHES, [stored], [])
    assert submitted == [CrashReportsListed((REPORT,))]
