"""Edits of the tables, and how to recognise later that an edit was made."""

import msgspec
from msgspec.structs import replace
from returns.result import Failure, Result, Success
from xxhash import xxh3_128_hexdigest

from masticdrum.model.faults import Fault
from masticdrum.model.tables import DataCentre, Edit, Tables

TABLES_PATH = "config/tables"
KEPT_EDITS = 32


def digest_tables(tables: Tables) -> str:
    """Return a digest of the tables' contents without their serial and edits."""
    bare = replace(tables, serial=0, edits=[])
    return xxh3_128_hexdigest(msgspec.json.encode(bare))


def prepare_edit(current: Tables, wanted: Tables, floor: int = 0) -> Tables:
    """Return the tables that put ``wanted`` in force after ``current``.

    Their serial is the next one, and above ``floor``.
    """
    serial = max(current.serial, floor) + 1
    edit = Edit(serial, digest_tables(wanted))
    edits = [*current.edits, edit][-KEPT_EDITS:]
    return replace(wanted, serial=serial, edits=edits)


def holds_edit(tables: Tables, edit: Edit) -> bool:
    """Return whether ``edit`` is the latest edit of the tables or an earlier one."""
    return edit in tables.edits


def set_out(tables: Tables, data_centre: str, out: bool) -> Result[Tables, Fault]:
    """Return the tables with one data centre taken out or brought back."""
    if all(row.name != data_centre for row in tables.data_centres):
        text = f"data centre {data_centre!r} is not listed"
        return Failure(Fault("data_centres", text))
    rows = [set_out_flag(row, data_centre, out) for row in tables.data_centres]
    return Success(replace(tables, data_centres=rows))


def set_out_flag(row: DataCentre, data_centre: str, out: bool) -> DataCentre:
    """Return the row, with ``out`` set if it is the named data centre's."""
    return replace(row, out=out) if row.name == data_centre else row


def list_returning(current: Tables, wanted: Tables) -> list[str]:
    """List the data centres that are out now and that an edit would bring back."""
    out = {row.name for row in current.data_centres if row.out}
    return [row.name for row in wanted.data_centres if row.name in out and not row.out]
