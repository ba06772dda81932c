"""Checks of the programs' settings that their types can't express."""

from collections.abc import Iterator

from msgspec import Struct
from msgspec.structs import fields

from masticdrum.core.addresses import is_address, is_socket_address
from masticdrum.model.faults import Fault
from masticdrum.model.settings import (
    AgentSettings,
    CtlSettings,
    EngineControllerSettings,
    EntrySettings,
    ForwardSettings,
    RolloutBounds,
)

AnySettings = (
    EntrySettings
    | AgentSettings
    | CtlSettings
    | ForwardSettings
    | EngineControllerSettings
)
SOCKET_ADDRESSES = frozenset({"http", "probes", "metrics", "store", "datagrams"})

ADDRESS_SCHEMES = {
    "listen": "tcp",
    "object_api": "http",
    "instance_list": "http",
    "upstream_url": "http",
}


def find_settings_faults(settings: AnySettings) -> Iterator[Fault]:
    """Yield every fault of a program's settings, with its path."""
    yield from check_values("", settings)
    if isinstance(settings, ForwardSettings) and settings.rollout is not None:
        yield from check_rollout(settings, settings.rollout)


def check_rollout(settings: ForwardSettings, bounds: RolloutBounds) -> Iterator[Fault]:
    """Yield the faults of the settings of roll-outs."""
    if bounds.exposure_share > 1:
        yield Fault("rollout.exposure_share", f"{bounds.exposure_share} is above 1")
    if settings.datagrams is None:
        yield Fault("datagrams", "it is needed by rollout, but missing")


def check_values(path: str, values: Struct) -> Iterator[Fault]:
    """Yield every fault of a struct of settings and of the structs inside it."""
    for field in fields(values):
        value = getattr(values, field.name)
        full_path = f"{path}{field.name}"
        if isinstance(value, Struct):
            yield from check_values(f"{full_path}.", value)
        if isinstance(value, int | float) and value <= 0:
            yield Fault(full_path, f"{value} is not above 0")
        if isinstance(value, str):
            yield from check_text(full_path, field.name, value)


def check_text(path: str, name: str, text: str) -> Iterator[Fault]:
    """Yield a fault if a text is empty or a malformed address."""
    if not text:
        yield Fault(path, "it is empty")
        return
    scheme = ADDRESS_SCHEMES.get(name)
    if scheme is not None and not is_address(text, scheme):
        yield Fault(path, f"{text!r} is not {scheme}://IP:PORT")
    if name in SOCKET_ADDRESSES and not is_socket_address(text):
        yield Fault(path, f"{text!r} is not IP:PORT")
