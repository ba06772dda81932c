"""``masticdrum-keys``: generates the keys for links between entries and agents."""

import os
from pathlib import Path

import click
import msgspec

from masticdrum.programs.commands import exit_with_error
from masticdrum.shell.keys import LinkKeys, make_deployment_keys

OWNER_ONLY_MODE = 0o600


@click.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
def main(folder: Path) -> None:
    """Write entry-keys.json and agent-keys.json into FOLDER, for their owner only."""
    for_entries, for_agents = make_deployment_keys()
    write_keys(folder / "entry-keys.json", for_entries)
    write_keys(folder / "agent-keys.json", for_agents)


def write_keys(path: Path, keys: LinkKeys) -> None:
    """Write a new key file; leave an existing file unchanged and exit."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, OWNER_ONLY_MODE)
    except FileExistsError:
        exit_with_error(f"{path}: already exists")
    with open(descriptor, "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(keys)))
    click.echo(f"wrote {path}")


if __name__ == "__main__":
    main()
