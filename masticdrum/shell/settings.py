"""Settings and credentials read from files, checked before a program starts."""

import re
from pathlib import Path
from typing import TypeVar

from returns.result import Failure, Result, Success

from masticdrum.core.decoding import decode_json
from masticdrum.core.settingscheck import find_settings_faults
from masticdrum.model.settings import (
    AgentSettings,
    CtlSettings,
    EngineControllerSettings,
    EntrySettings,
    ForwardSettings,
)
from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.shell.jsonlogging import write_event

S = TypeVar(
    "S",
    EntrySettings,
    AgentSettings,
    CtlSettings,
    ForwardSettings,
    EngineControllerSettings,
)

TOKEN_DIGEST = re.compile(r"[0-9a-f]{64}")


def load_settings(path: Path, kind: type[S]) -> Result[S, str]:
    """Read one JSON file of settings.

    The failure is a text for the operator that names the file and the field at fault,
    for example ``entry.json: limits.max_body_bytes: 0 is not above 0``.
    """
    body = read_file(path)
    if not isinstance(body, Success):
        return Failure(body.failure())
    decoded = decode_json(body.unwrap(), kind)
    if not isinstance(decoded, Success):
        return Failure(f"{path}: {decoded.failure()}")
    settings = decoded.unwrap()
    faults = [f"{path}: {fault}" for fault in find_settings_faults(settings)]
    if faults:
        return Failure("\n".join(faults))
    if isinstance(settings, AgentSettings):
        secret = load_secret(settings.block_secret_file)
        if isinstance(secret, Failure):
            return Failure(secret.failure())
    return Success(settings)


def reread_settings(path: Path, kind: type[S]) -> S | None:
    """Read settings that have changed; None, with a log line, if they are broken."""
    result = load_settings(path, kind)
    if isinstance(result, Failure):
        write_event(Log(LogNumber.SETTINGS_REFUSED, detail=result.failure()))
        return None
    return result.unwrap()


def load_credentials(path: Path) -> Result[dict[str, str], str]:
    """Read callers' workspaces, keyed by the SHA-256 of their bearer tokens.

    A failure names the file and the row by its number, never a digest.
    """
    body = read_file(path)
    if not isinstance(body, Success):
        return Failure(body.failure())
    decoded = decode_json(body.unwrap(), dict[str, str])
    if not isinstance(decoded, Success):
        return Failure(
            f"{path}: it is not a JSON object that maps digests to workspaces"
        )
    credentials = decoded.unwrap()
    for number, (digest, workspace) in enumerate(credentials.items(), start=1):
        if not TOKEN_DIGEST.fullmatch(digest):
            return Failure(f"{path}: row {number}: the key is not a SHA-256 in hex")
        if not workspace:
            return Failure(f"{path}: row {number}: the workspace is empty")
    return Success(credentials)


def load_secret(path: str | None) -> Result[str, str]:
    """Read a secret from a file's first line; no path means no secret."""
    if path is None:
        return Success("")
    body = read_file(Path(path))
    return body.map(lambda content: content.decode(errors="replace").partition("\n")[0])


def read_file(path: Path) -> Result[bytes, str]:
    """Read a file; the failure states which one can't be read and why."""
    try:
        return Success(path.read_bytes())
    except OSError as error:
        return Failure(f"{path}: can't be read: {error.strerror}")
