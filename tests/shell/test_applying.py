"""An edit takes effect at most once and reports its true outcome despite lost calls."""

from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success
from trio.testing import MockClock

from masticdrum.core import tableedit
from masticdrum.core.tableedit import TABLES_PATH, digest_tables, prepare_edit, set_out
from masticdrum.model.faults import Fault
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut, ObjectStatus
from masticdrum.model.tables import Tables
from masticdrum.shell import tableseditor
from masticdrum.shell.tableseditor import EditOutcome, EditResult, TablesEditor
from tests.tablesamples import make_tables

FAULTS = ["none", "reject", "lose_before", "lose_after", "late", "other_edit"]


class FakeStore:
    """Stores one object; each call takes the next fault, then ``after`` for the rest.

    ``late`` loses the answer of a write that is applied just before the next write.
    ``other_edit`` applies another operator's edit just before the call.
    """

    def __init__(self, tables: Tables, faults: list[str], after: str = "none") -> None:
        self.version = 1
        self.tables = tables
        self.history = [tables]
        self.faults = faults
        self.after = after
        self.late: tuple[bytes, int] | None = None

    def next_fault(self) -> str:
        fault = self.faults.pop(0) if self.faults else self.after
        if fault == "other_edit":
            pool = msgspec.structs.replace(
                self.tables.pools[0], max_queued=self.tables.serial + 100
            )
            other = msgspec.structs.replace(self.tables, pools=[pool])
            self.write(msgspec.json.encode(prepare_edit(self.tables, other)))
        return fault

    def write(self, body: bytes) -> None:
        self.version += 1
        self.tables = msgspec.json.decode(body, type=Tables)
        self.history.append(self.tables)

    def write_if(self, body: bytes, expected: int) -> ObjectStatus:
        if expected != self.version:
            return ObjectStatus.CONFLICT
        self.write(body)
        return ObjectStatus.OK

    async def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        assert call.path == TABLES_PATH
        await trio.lowlevel.checkpoint()
        if isinstance(call, ObjectGet):
            return self.get()
        return self.put(call.body, call.expected)

    def get(self) -> ObjectAnswer:
        fault = self.next_fault()
        if fault == "reject":
            return ObjectAnswer("", ObjectStatus.REJECTED)
        if fault.startswith("lose"):
            return ObjectAnswer("", ObjectStatus.LOST)
        body = msgspec.json.encode(self.tables)
        return ObjectAnswer("", ObjectStatus.OK, self.version, body)

    def put(self, body: bytes, expected: int) -> ObjectAnswer:
        fault = self.next_fault()
        self.apply_late_write()
        if fault == "reject":
            return ObjectAnswer("", ObjectStatus.REJECTED)
        if fault == "late":
            self.late = body, expected
        if fault in ("lose_before", "late"):
            return ObjectAnswer("", ObjectStatus.LOST)
        status = self.write_if(body, expected)
        if fault == "lose_after":
            status = ObjectStatus.LOST
        return ObjectAnswer("", status, self.version)

    def apply_late_write(self) -> None:
        """Apply a delayed write now."""
        if self.late is not None:
            self.write_if(*self.late)
            self.late = None


def drain_data_centre_a(tables: Tables) -> Result[Tables, tuple[Fault, ...]]:
    return set_out(tables, "a", True).alt(lambda fault: (fault,))


def run_edit(
    store: FakeStore, edit: Callable[[TablesEditor], Awaitable[EditResult]]
) -> EditResult:
    editor = TablesEditor(store, Random(7), timeout_s=5.0)
    return trio.run(edit, editor, clock=MockClock(autojump_threshold=0))


def edit_once(store: FakeStore, serial: int | None = None) -> EditResult:
    if serial is None:
        return run_edit(store, lambda editor: editor.apply(drain_data_centre_a))
    wanted = drain_data_centre_a(start_tables()).unwrap()
    return run_edit(store, lambda editor: editor.replace(wanted, serial))


def start_tables() -> Tables:
    return prepare_edit(Tables(), make_tables())


def count_drains(store: FakeStore) -> int:
    out = [tables.data_centres[0].out for tables in store.history]
    return sum(now and not before for before, now in zip(out, out[1:], strict=False))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(st.sampled_from(FAULTS), max_size=12),
    st.sampled_from(["none", "reject", "lose_before", "lose_after"]),
    st.booleans(),
)
def test_end_of_an_edit_is_told_truly(
    faults: list[str], after: str, names_serial: bool
) -> None:
    store = FakeStore(start_tables(), faults, after)
    applied = edit_once(store, 1 if names_serial else None)
    without_effect = {EditOutcome.CONFLICT, EditOutcome.UNREACHABLE, EditOutcome.WRONG}
    if applied.ending in without_effect:
        store.apply_late_write()
        assert count_drains(store) == 0, applied
    if applied.ending is EditOutcome.ACCEPTED:
        assert count_drains(store) == 1, applied
    store.apply_late_write()
    assert count_drains(store) <= 1
    serials = [tables.serial for tables in store.history]
    assert serials == sorted(set(serials))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.sampled_from(FAULTS), max_size=12))
def test_repeat_after_a_lost_answer_is_safe(faults: list[str]) -> None:
    store = FakeStore(start_tables(), faults, "reject")
    first = edit_once(store, 1)
    store.faults, store.after = [], "none"
    store.apply_late_write()
    second = edit_once(store, 1)
    assert second.ending in (EditOutcome.ACCEPTED, EditOutcome.CONFLICT)
    assert (count_drains(store) == 1) == (second.ending is EditOutcome.ACCEPTED)
    if first.ending is EditOutcome.ACCEPTED:
        assert second.ending is EditOutcome.ACCEPTED


def test_two_racing_operators_one_wins_and_the_other_is_told() -> None:
    store = FakeStore(start_tables(), ["none", "other_edit"])
    applied = edit_once(store, 1)
    assert applied.ending is EditOutcome.CONFLICT
    assert applied.tables.serial == 2
    assert count_drains(store) == 0


def test_wrong_edit_is_refused_whole() -> None:
    store = FakeStore(start_tables(), [])

    def change(tables: Tables) -> Result[Tables, tuple[Fault, ...]]:
        return Success(msgspec.structs.replace(tables, stores=[]))

    applied = run_edit(store, lambda editor: editor.apply(change))
    assert applied.ending is EditOutcome.WRONG
    assert str(applied.faults[0]) == "pools[0].stores[0]: store 's' is not listed"
    assert len(store.history) == 1


def test_unchanged_edit_writes_nothing() -> None:
    store = FakeStore(start_tables(), [])
    unchanged = run_edit(store, lambda editor: editor.apply(Success))
    assert unchanged.ending is EditOutcome.UNCHANGED
    failed = run_edit(store, lambda editor: editor.apply(lambda _: Failure(())))
    assert failed.ending is EditOutcome.WRONG
    assert len(store.history) == 1


MUTANTS = {
    "edit not recognised": (tableseditor, "holds_edit", lambda tables, edit: False),
    "any edit recognised": (tableseditor, "holds_edit", lambda tables, edit: True),
    "lost answer handled as a refusal": (
        tableseditor,
        "resolve_write",
        lambda *_: EditResult(EditOutcome.UNREACHABLE),
    ),
    "digest without content": (tableedit, "digest_tables", lambda tables: "same"),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*MUTANTS[name])
    if name == "digest without content":
        monkeypatch.setattr(tableseditor, "digest_tables", lambda tables: "same")
    with pytest.raises(AssertionError):
        test_end_of_an_edit_is_told_truly()
    assert digest_tables(make_tables()) != ""
