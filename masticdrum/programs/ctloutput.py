"""What ``masticdrumctl`` prints, and the exit codes that scripts read."""

import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Any, NoReturn

import click
import msgspec

from masticdrum.shell.applying import Applied, Ending

GAP = "  "


class ExitCode(IntEnum):
    """Exit codes; 2 is also that of a wrong command line or settings file."""

    DONE = 0
    USAGE = 2
    WRONG = 3
    CONFLICT = 4
    UNKNOWN = 5
    NOT_EVERYWHERE = 6
    UNREACHABLE = 7
    RETURNING = 8


ENDINGS = {
    Ending.ACCEPTED: ExitCode.DONE,
    Ending.UNCHANGED: ExitCode.DONE,
    Ending.WRONG: ExitCode.WRONG,
    Ending.CONFLICT: ExitCode.CONFLICT,
    Ending.UNKNOWN: ExitCode.UNKNOWN,
    Ending.UNREACHABLE: ExitCode.UNREACHABLE,
}
SENTENCES = {
    Ending.ACCEPTED: "accepted with serial {serial}",
    Ending.UNCHANGED: "nothing to change, serial {serial} says the same",
    Ending.WRONG: "refused, nothing was changed",
    Ending.CONFLICT: "refused, another edit came first: serial {serial} stands",
    Ending.UNKNOWN: "the outcome is unknown; the same command may be repeated",
    Ending.UNREACHABLE: "the platform can't be reached, nothing was changed",
}


def describe_end(applied: Applied) -> str:
    """Return one sentence on how an edit ended."""
    text = SENTENCES[applied.ending].format(serial=applied.tables.serial)
    if applied.overtaken:
        text += ", and overtaken by a later edit"
    return text


def format_rows(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Lays out rows below their heads in columns as wide as needed."""
    cells = [list(heads), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(heads))]
    lines = [
        GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


class Output:
    """Prints for people, or as one JSON object for scripts."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, text: str, value: Any) -> None:
        """Print ``value`` as JSON, or else ``text``."""
        if self.as_json:
            click.echo(msgspec.json.encode(value))
        elif text:
            click.echo(text)

    def note(self, text: str) -> None:
        """Tells people about progress, on standard error."""
        if not self.as_json:
            click.echo(text, err=True)

    def end(self, code: ExitCode, text: str, **values: Any) -> NoReturn:
        """Print the last word and end the process with ``code``."""
        self.show(text, {"exit": code, "text": text, **values})
        sys.exit(code)
