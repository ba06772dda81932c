"""What the command lines of all programs share."""

import sys
from pathlib import Path
from typing import NoReturn, TypeVar

import click
from returns.result import Failure, Result

from masticdrum.shell.keys import LinkKeys, load_keys

T = TypeVar("T")

SETTINGS_FAULT = 2  # exit code for a fault in settings or tables
settings_argument = click.argument(
    "settings", type=click.Path(path_type=Path, dir_okay=False)
)
check_option = click.option(
    "--check", is_flag=True, help="Check the settings and exit."
)


def unwrap_or_exit(result: Result[T, str]) -> T:
    """Return the value, or print the failure and end the process."""
    if isinstance(result, Failure):
        exit_with(result.failure())
    return result.unwrap()


def load_keys_or_exit(path: str | None) -> LinkKeys | None:
    """Return the keys in a settings' file, or None where the settings name none."""
    if path is None:
        return None
    return unwrap_or_exit(load_keys(Path(path)))


def exit_with(text: str) -> NoReturn:
    """Print a text to standard error and end the process with a fault."""
    click.echo(text, err=True)
    sys.exit(SETTINGS_FAULT)
