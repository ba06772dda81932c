"""Calls to the platform's object API and instance list, as plain data."""

from enum import StrEnum

from msgspec import Struct


class ObjectGet(Struct, frozen=True):
    """Reads an object.

    With ``wait_s`` above zero, the call waits that long for a version above ``known``.
    """

    call: str
    path: str
    known: int = 0
    wait_s: float = 0.0


class ObjectPut(Struct, frozen=True):
    """Writes an object if its version is ``expected``; zero means it must be new."""

    call: str
    path: str
    body: bytes
    expected: int


class ObjectDelete(Struct, frozen=True):
    """Deletes an object if its version is ``expected``."""

    call: str
    path: str
    expected: int


class ObjectList(Struct, frozen=True):
    """Lists the names below ``prefix`` that sort after ``after``."""

    call: str
    prefix: str
    after: str = ""


class ObjectStatus(StrEnum):
    """How an object call ended; after ``LOST`` it is unknown whether it took effect."""

    OK = "ok"
    MISSING = "missing"
    CONFLICT = "conflict"
    UNCHANGED = "unchanged"
    REJECTED = "rejected"
    LOST = "lost"


class ObjectAnswer(Struct, frozen=True):
    """The answer to one object call.

    ``REJECTED`` had no effect: the platform answered at once that it is down or that a
    rate limit was reached. ``LOST`` may have had one. ``names`` answers ``ObjectList``.
    ``era`` counts how often the platform has come back from an older copy; it is zero
    if the platform doesn't tell.
    """

    call: str
    status: ObjectStatus
    version: int = 0
    body: bytes = b""
    names: tuple[str, ...] = ()
    era: int = 0


class InstanceState(StrEnum):
    """The state of an instance in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(Struct, frozen=True):
    """One row of the instance list."""

    name: str
    role: str
    data_centre: str
    address: str
    state: InstanceState


class InstancesListed(Struct, frozen=True):
    """The newest answer of the instance list, which lags behind the actual state."""

    instances: tuple[Instance, ...]
