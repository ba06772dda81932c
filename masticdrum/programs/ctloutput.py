"""Output and exit codes of ``masticdrumctl``."""

import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Any, NoReturn

import click
import msgspec

from masticdrum.shell.tableseditor import EditOutcome, EditResult

COLUMN_GAP = "  "


class ExitCode(IntEnum):
    """Exit codes; 2 also stands for an invalid command line or settings file."""

    DONE = 0
    USAGE = 2
    WRONG = 3
    CONFLICT = 4
    UNKNOWN = 5
    NOT_EVERYWHERE = 6
    UNREACHABLE = 7
    RETURNING = 8


EXIT_CODES = {
    EditOutcome.ACCEPTED: ExitCode.DONE,
    EditOutcome.UNCHANGED: ExitCode.DONE,
    EditOutcome.WRONG: ExitCode.WRONG,
    EditOutcome.CONFLICT: ExitCode.CONFLICT,
    EditOutcome.UNKNOWN: ExitCode.UNKNOWN,
    EditOutcome.UNREACHABLE: ExitCode.UNREACHABLE,
}
OUTCOME_TEXTS = {
    EditOutcome.ACCEPTED: "accepted with serial {serial}",
    EditOutcome.UNCHANGED: "nothing to change, serial {serial} has the same contents",
    EditOutcome.WRONG: "refused, nothing was changed",
    EditOutcome.CONFLICT: (
        "refused, another edit came first: serial {serial} is in force"
    ),
    EditOutcome.UNKNOWN: "the outcome is unknown; the same command may be repeated",
    EditOutcome.UNREACHABLE: "the platform can't be reached, nothing was changed",
}


def describe_outcome(applied: EditResult) -> str:
    """Return one sentence on how an edit ended."""
    text = OUTCOME_TEXTS[applied.ending].format(serial=applied.tables.serial)
    if applied.overtaken:
        text += ", and overtaken by a later edit"
    return text


def format_rows(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows as a table whose columns fit their widest cells."""
    cells = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headers))]
    lines = [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


class Output:
    """Prints text for people, or one JSON object for scripts."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, text: str, value: Any) -> None:
        """Print ``value`` as JSON, or else ``text``."""
        if self.as_json:
            click.echo(msgspec.json.encode(value))
        elif text:
            click.echo(text)

    def print_progress(self, text: str) -> None:
        """Print progress to standard error, except in JSON mode."""
        if not self.as_json:
            click.echo(text, err=True)

    def exit(self, code: ExitCode, text: str, **values: Any) -> NoReturn:
        """Print the result and exit with ``code``."""
        self.show(text, {"exit": code, "text": text, **values})
        sys.exit(code)
