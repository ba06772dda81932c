"""Applies an edit of the tables by a conditional write, also if answers are lost.

A write names the object's version that was read before, so it takes effect at most
once. If its answer is lost, the object is read back: the edit is recognised by its
serial and digest, even if other edits came after it.
"""

from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Protocol

import msgspec
import trio
from msgspec import Struct
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from masticdrum.core.decoding import decode_json
from masticdrum.core.tablecheck import check_tables
from masticdrum.core.tableedit import (
    KEPT_EDITS,
    TABLES_PATH,
    digest_tables,
    holds_edit,
    prepare_edit,
)
from masticdrum.model.faults import Fault
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut, ObjectStatus
from masticdrum.model.tables import Edit, Tables

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0

Change = Callable[[Tables], Result[Tables, tuple[Fault, ...]]]


class ObjectCaller(Protocol):
    """Executes object calls; a failure is an answer too, never an exception."""

    async def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        """Return the call's answer."""


class EditOutcome(StrEnum):
    """How an edit ended."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    WRONG = "wrong"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


class EditResult(Struct, frozen=True):
    """The result of an edit.

    ``tables`` are those that the edit wrote, or for a conflict the current ones.
    ``overtaken`` means that another edit followed the accepted one.
    """

    ending: EditOutcome
    tables: Tables = Tables()
    faults: tuple[Fault, ...] = ()
    overtaken: bool = False


class StoredTables(Struct, frozen=True):
    """The tables stored at the platform; version zero means that there are none."""

    version: int
    tables: Tables


class ReadTimedOut(Struct, frozen=True):
    """The tables could not be read in time."""


class TablesEditor:
    """Applies edits at one platform, each within ``timeout_s``."""

    __slots__ = ("_objects", "_rng", "_timeout_s")

    def __init__(self, objects: ObjectCaller, rng: Random, timeout_s: float) -> None:
        self._objects = objects
        self._rng = rng
        self._timeout_s = timeout_s

    async def read(self) -> Result[StoredTables, Fault | ReadTimedOut]:
        """Read the tables, with retries until the timeout."""
        return await self._read_until(trio.current_time() + self._timeout_s)

    async def apply(self, change: Change) -> EditResult:
        """Apply ``change`` to the current tables. It is safe to retry."""
        return await self._edit(change, None, 0)

    async def replace(
        self, wanted: Tables, serial: int | None = None, floor: int = 0
    ) -> EditResult:
        """Replace the tables whose serial is ``serial`` by ``wanted``.

        Without a serial, replace the current ones. The new serial is above ``floor``,
        which matters if the object was deleted. It is safe to retry.
        """
        return await self._edit(lambda _: Success(wanted), serial, floor)

    async def _edit(self, change: Change, serial: int | None, floor: int) -> EditResult:
        deadline = trio.current_time() + self._timeout_s
        stored = await self._read_until(deadline)
        if not isinstance(stored, Success):
            return describe_read_failure(stored.failure(), EditOutcome.UNREACHABLE)
        current = stored.unwrap().tables
        wanted = change(current).bind(check_tables)
        if not isinstance(wanted, Success):
            return EditResult(EditOutcome.WRONG, current, wanted.failure())
        if serial is not None and serial != current.serial:
            return resolve_conflict(current, serial, wanted.unwrap())
        if current.serial and digest_tables(wanted.unwrap()) == digest_tables(current):
            return EditResult(EditOutcome.UNCHANGED, current)
        edited = prepare_edit(current, wanted.unwrap(), floor)
        return await self._write(edited, stored.unwrap().version, deadline)

    async def _write(
        self, edited: Tables, expected: int, deadline: float
    ) -> EditResult:
        body = msgspec.json.encode(edited)
        put = ObjectPut("apply", TABLES_PATH, body, expected)
        may_have_landed = False
        pause = FIRST_PAUSE_S
        while True:
            answer = await self._objects.execute(put)
            if answer.status is ObjectStatus.OK:
                return EditResult(EditOutcome.ACCEPTED, edited)
            if answer.status is not ObjectStatus.REJECTED:
                may_have_landed = may_have_landed or answer.status is ObjectStatus.LOST
                stored = await self._read_until(deadline)
                outcome = resolve_write(stored, edited, expected, may_have_landed)
                if outcome is not None:
                    return outcome
            if trio.current_time() >= deadline:
                return EditResult(
                    EditOutcome.UNKNOWN if may_have_landed else EditOutcome.UNREACHABLE
                )
            pause = await self._wait(pause)

    async def _read_until(
        self, deadline: float
    ) -> Result[StoredTables, Fault | ReadTimedOut]:
        pause = FIRST_PAUSE_S
        while True:
            answer = await self._objects.execute(ObjectGet("apply", TABLES_PATH))
            if answer.status is ObjectStatus.MISSING:
                return Success(StoredTables(0, Tables()))
            if answer.status is ObjectStatus.OK:
                return read_stored(answer)
            if trio.current_time() >= deadline:
                return Failure(ReadTimedOut())
            pause = await self._wait(pause)

    async def _wait(self, pause: float) -> float:
        await trio.sleep(pause * self._rng.uniform(0.5, 1.5))
        return min(pause * 2, LONGEST_PAUSE_S)


def read_stored(answer: ObjectAnswer) -> Result[StoredTables, Fault | ReadTimedOut]:
    """Decode the tables that the platform returned."""
    decoded = decode_json(answer.body, Tables)
    if not isinstance(decoded, Success):
        return Failure(decoded.failure())
    return Success(StoredTables(answer.version, decoded.unwrap()))


def describe_read_failure(
    failure: Fault | ReadTimedOut, ending: EditOutcome
) -> EditResult:
    """Return the result of an edit whose tables can't be read."""
    if isinstance(failure, Fault):
        return EditResult(EditOutcome.WRONG, faults=(failure,))
    return EditResult(ending)


def resolve_write(
    stored: Result[StoredTables, Fault | ReadTimedOut],
    edited: Tables,
    expected: int,
    may_have_landed: bool,
) -> EditResult | None:
    """Decide from a read whether an edit took effect; None while it still may.

    An unchanged version decides nothing: a write whose answer was lost may still
    arrive. Writing again is safe, since one of the two writes finds a newer version.
    """
    if not isinstance(stored, Success):
        ending = EditOutcome.UNKNOWN if may_have_landed else EditOutcome.UNREACHABLE
        return describe_read_failure(stored.failure(), ending)
    current = stored.unwrap()
    if holds_edit(current.tables, edited.edits[-1]):
        overtaken = current.tables.serial > edited.serial
        return EditResult(EditOutcome.ACCEPTED, edited, overtaken=overtaken)
    if current.version == expected:
        return None
    if may_have_landed and is_too_old(current.tables, edited.serial):
        return EditResult(EditOutcome.UNKNOWN, current.tables)
    return EditResult(EditOutcome.CONFLICT, current.tables)


def is_too_old(tables: Tables, serial: int) -> bool:
    """Return whether an edit is too old to be listed in the tables' history."""
    return tables.serial - serial >= KEPT_EDITS


def resolve_conflict(current: Tables, serial: int, wanted: Tables) -> EditResult:
    """Decide whether an edit of an older serial is a retry of its own or a conflict."""
    edit = Edit(serial + 1, digest_tables(wanted))
    if not serial and current.edits:
        edit = replace(edit, serial=current.edits[0].serial)
    if is_too_old(current, edit.serial):
        return EditResult(EditOutcome.UNKNOWN, current)
    if not holds_edit(current, edit):
        return EditResult(EditOutcome.CONFLICT, current)
    overtaken = current.serial > edit.serial
    return EditResult(EditOutcome.ACCEPTED, current, overtaken=overtaken)
