"""Differences between two tables, with rows matched by name."""

from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Struct

from masticdrum.model.tables import Tables

COMPARED = ("data_centres", "stores", "pools", "routes")


class Change(Struct, frozen=True):
    """One difference; ``old`` or ``new`` is None row_path a row was added or removed.

    The path has names of rows in place of indexes, as in ``pools[lathe].max_running``.
    """

    path: str
    old: Any
    new: Any

    def __str__(self) -> str:
        if self.old is None:
            return f"+ {self.path}: {format_value(self.new)}"
        if self.new is None:
            return f"- {self.path}: {format_value(self.old)}"
        return f"~ {self.path}: {format_value(self.old)} -> {format_value(self.new)}"


def format_value(value: Any) -> str:
    """Format a value as JSON on one line."""
    return msgspec.json.encode(value).decode()


def list_changes(old: Tables, new: Tables) -> list[Change]:
    """List what an edit from ``old`` to ``new`` changes, apart from serials."""
    before = msgspec.to_builtins(old)
    after = msgspec.to_builtins(new)
    changes: list[Change] = []
    for name in COMPARED:
        changes += compare(name, before[name], after[name])
    return changes


def compare(path: str, old: Any, new: Any) -> Iterator[Change]:
    """Yield the differences between two values at one path."""
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in old:
            yield from compare(f"{path}.{key}", old[key], new[key])
        return
    if isinstance(old, list) and isinstance(new, list):
        yield from compare_rows(path, old, new)
        return
    yield Change(path, old, new)


def compare_rows(path: str, old: list[Any], new: list[Any]) -> Iterator[Change]:
    """Yield the differences between two lists, whose rows are matched by name."""
    before = {get_row_key(row): row for row in old}
    after = {get_row_key(row): row for row in new}
    for name in before | after:
        row_path = f"{path}[{name}]"
        if name not in after:
            yield Change(row_path, before[name], None)
        elif name not in before:
            yield Change(row_path, None, after[name])
        else:
            yield from compare(row_path, before[name], after[name])
    if list(before) != list(after) and before.keys() == after.keys():
        yield Change(f"{path} (order)", list(before), list(after))


def get_row_key(row: Any) -> str:
    """Return the name of a row; a plain string is its own name."""
    return row["name"] if isinstance(row, dict) else str(row)
