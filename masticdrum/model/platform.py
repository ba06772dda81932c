"""Calls to the platform's object API and instance list, as plain data."""

from enum import StrEnum

from msgspec import Struct


class ObjectGet(Struct, frozen=True):
    """Reads an object. A ``wait_s`` above zero waits for a version above ``known``."""

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
    """How an object call ended; a lost answer leaves the effect unknown."""

    OK = "ok"
    MISSING = "missing"
    CONFLICT = "conflict"
    UNCHANGED = "unchanged"
    REJECTED = "rejected"
    LOST = "lost"


class ObjectAnswer(Struct, frozen=True):
    """The answer to one object call.

    ``REJECTED`` had no effect (outage answered at once, or a rate ceiling); ``LOST``
    may have had one. ``names`` answers ``ObjectList``.
    """

    call: str
    status: ObjectStatus
    version: int = 0
    body: bytes = b""
    names: tuple[str, ...] = ()


class InstanceState(StrEnum):
    """What the instance list says of an instance."""

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
    """The instance list's newest answer, which lags behind the truth."""

    instances: tuple[Instance, ...]
