"""The conditional update that puts an edit in force, whatever answers are lost.

A write names the object's version that was read before, so it takes effect once at
most. When its answer is lost the object is read back: the edit is recognised by its
serial and digest, also when other edits came after it.
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
    """Carries out an object call; it answers whatever fails."""

    async def ask(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        """Return the call's answer."""


class Ending(StrEnum):
    """How an edit ended."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    WRONG = "wrong"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


class Applied(Struct, frozen=True):
    """The end of an edit.

    ``tables`` are those that the edit put in force, or for a conflict those that
    stand instead. ``overtaken`` tells that another edit came after an accepted one.
    """

    ending: Ending
    tables: Tables = Tables()
    faults: tuple[Fault, ...] = ()
    overtaken: bool = False


class Stored(Struct, frozen=True):
    """The tables as the platform holds them; version zero: it holds none."""

    version: int
    tables: Tables


class Unread(Struct, frozen=True):
    """The tables could not be read in time."""


class Editor:
    """Puts edits in force against one platform, with ``timeout_s`` for each."""

    __slots__ = ("_objects", "_rng", "_timeout_s")

    def __init__(self, objects: ObjectCaller, rng: Random, timeout_s: float) -> None:
        self._objects = objects
        self._rng = rng
        self._timeout_s = timeout_s

    async def read(self) -> Result[Stored, Fault | Unread]:
        """Read the tables, with repeats until the time is up."""
        return await self._read_until(trio.current_time() + self._timeout_s)

    async def apply(self, change: Change) -> Applied:
        """Apply ``change`` to the tables that stand now. It is safe to repeat."""
        return await self._edit(change, None, 0)

    async def replace(
        self, wanted: Tables, serial: int | None = None, floor: int = 0
    ) -> Applied:
        """Put ``wanted`` in force instead of the tables whose serial is ``serial``.

        Without a serial, instead of those that stand now. The new serial is above
        ``floor``, which matters where the object was deleted. It is safe to repeat.
        """
        return await self._edit(lambda _: Success(wanted), serial, floor)

    async def _edit(self, change: Change, serial: int | None, floor: int) -> Applied:
        deadline = trio.current_time() + self._timeout_s
        stored = await self._read_until(deadline)
        if not isinstance(stored, Success):
            return end_unread(stored.failure(), Ending.UNREACHABLE)
        current = stored.unwrap().tables
        wanted = change(current).bind(check_tables)
        if not isinstance(wanted, Success):
            return Applied(Ending.WRONG, current, wanted.failure())
        if serial is not None and serial != current.serial:
            return judge_conflict(current, serial, wanted.unwrap())
        if current.serial and digest_tables(wanted.unwrap()) == digest_tables(current):
            return Applied(Ending.UNCHANGED, current)
        edited = prepare_edit(current, wanted.unwrap(), floor)
        return await self._write(edited, stored.unwrap().version, deadline)

    async def _write(self, edited: Tables, expected: int, deadline: float) -> Applied:
        body = msgspec.json.encode(edited)
        put = ObjectPut("apply", TABLES_PATH, body, expected)
        in_doubt = False
        pause = FIRST_PAUSE_S
        while True:
            answer = await self._objects.ask(put)
            if answer.status is ObjectStatus.OK:
                return Applied(Ending.ACCEPTED, edited)
            if answer.status is not ObjectStatus.REJECTED:
                in_doubt = in_doubt or answer.status is ObjectStatus.LOST
                stored = await self._read_until(deadline)
                settled = settle(stored, edited, expected, in_doubt)
                if settled is not None:
                    return settled
            if trio.current_time() >= deadline:
                return Applied(Ending.UNKNOWN if in_doubt else Ending.UNREACHABLE)
            pause = await self._wait(pause)

    async def _read_until(self, deadline: float) -> Result[Stored, Fault | Unread]:
        pause = FIRST_PAUSE_S
        while True:
            answer = await self._objects.ask(ObjectGet("apply", TABLES_PATH))
            if answer.status is ObjectStatus.MISSING:
                return Success(Stored(0, Tables()))
            if answer.status is ObjectStatus.OK:
                return read_stored(answer)
            if trio.current_time() >= deadline:
                return Failure(Unread())
            pause = await self._wait(pause)

    async def _wait(self, pause: float) -> float:
        await trio.sleep(pause * self._rng.uniform(0.5, 1.5))
        return min(pause * 2, LONGEST_PAUSE_S)


def read_stored(answer: ObjectAnswer) -> Result[Stored, Fault | Unread]:
    """Decode the tables that the platform holds."""
    decoded = decode_json(answer.body, Tables)
    if not isinstance(decoded, Success):
        return Failure(decoded.failure())
    return Success(Stored(answer.version, decoded.unwrap()))


def end_unread(failure: Fault | Unread, ending: Ending) -> Applied:
    """End an edit whose tables can't be read."""
    if isinstance(failure, Fault):
        return Applied(Ending.WRONG, faults=(failure,))
    return Applied(ending)


def settle(
    stored: Result[Stored, Fault | Unread],
    edited: Tables,
    expected: int,
    in_doubt: bool,
) -> Applied | None:
    """Judges by a read whether an edit took effect; None while it still may.

    An unchanged version settles nothing: a write whose answer was lost may yet
    arrive. Writing again is safe, since one of the two finds a newer version.
    """
    if not isinstance(stored, Success):
        ending = Ending.UNKNOWN if in_doubt else Ending.UNREACHABLE
        return end_unread(stored.failure(), ending)
    standing = stored.unwrap()
    if holds_edit(standing.tables, edited.edits[-1]):
        overtaken = standing.tables.serial > edited.serial
        return Applied(Ending.ACCEPTED, edited, overtaken=overtaken)
    if standing.version == expected:
        return None
    if in_doubt and is_forgotten(standing.tables, edited.serial):
        return Applied(Ending.UNKNOWN, standing.tables)
    return Applied(Ending.CONFLICT, standing.tables)


def is_forgotten(tables: Tables, serial: int) -> bool:
    """Tells whether an edit is too old for the tables to remember it."""
    return tables.serial - serial >= KEPT_EDITS


def judge_conflict(current: Tables, serial: int, wanted: Tables) -> Applied:
    """Judges an edit of a serial that stands no more: its own repeat, or too late."""
    edit = Edit(serial + 1, digest_tables(wanted))
    if not serial and current.edits:
        edit = replace(edit, serial=current.edits[0].serial)
    if is_forgotten(current, edit.serial):
        return Applied(Ending.UNKNOWN, current)
    if not holds_edit(current, edit):
        return Applied(Ending.CONFLICT, current)
    overtaken = current.serial > edit.serial
    return Applied(Ending.ACCEPTED, current, overtaken=overtaken)
