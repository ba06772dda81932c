"""The command-line argument for the settings file, with the platform's default."""

from pathlib import Path

import click

SETTINGS_VARIABLE = "MASTICDRUM_BOOT"  # the platform sets it to the path of the file

platform_settings = click.argument(
    "settings",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar=SETTINGS_VARIABLE,
)
