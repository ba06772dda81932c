"""Where the platform places the settings that our templates make."""

from pathlib import Path

import click

SETTINGS_VARIABLE = "MASTICDRUM_BOOT"  # the platform names the file there

platform_settings = click.argument(
    "settings",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar=SETTINGS_VARIABLE,
)
