"""Command-line helpers that all programs share."""

import sys
from pathlib import Path
from typing import NoReturn, TypeVar

import click
from returns.result import Failure, Result

from masticdrum.shell.keys import LinkKeys, load_keys

T = TypeVar("T")

SETTINGS_ERROR = 2  # exit code for invalid settings, keys or arguments
settings_argument = click.argument(
    "settings", type=click.Path(path_type=Path, dir_okay=False)
)
check_option = click.option(
    "--check", is_flag=True, help="Check the settings and exit."
)


def unwrap_or_exit(result: Result[T, str]) -> T:
    """Return the value, or print the failure and exit."""
    if isinstance(result, Failure):
        exit_with_error(result.failure())
    return result.unwrap()


def load_keys_or_exit(path: str | None) -> LinkKeys | None:
    """Return the keys in a key file, or None if the settings name no key file."""
    if path is None:
        return None
    return unwrap_or_exit(load_keys(Path(path)))


def exit_with_error(text: str) -> NoReturn:
    """Print an error message to standard error and exit with code 2."""
    click.echo(text, err=True)
    sys.exit(SETTINGS_ERROR)
