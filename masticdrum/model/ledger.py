"""The ledger's records and objects, as the platform holds them."""

from enum import IntEnum, StrEnum

from msgspec import Struct


class KeyState(IntEnum):
    """What the ledger knows of a key's newest attempt.

    ``CLAIMED`` without anything later reads as outcome unknown, ``DONE`` holds the
    reply, ``RELEASED`` says that the attempt did not run and never will.
    """

    CLAIMED = 1
    DONE = 2
    RELEASED = 3


class Decision(StrEnum):
    """What the ledger says of a claim, a look-up or the end of an attempt.

    ``GRANTED`` is in the ledger. ``REPLAY`` has a recorded reply, ``CONFLICT`` another
    body under the key, ``BUSY`` another attempt without an end. ``ABSENT`` answers a
    look-up of a key under which nothing ran. ``OVERTAKEN`` means that another entry
    has ended this attempt. ``UNAVAILABLE`` means that time ran out.
    """

    GRANTED = "granted"
    REPLAY = "replay"
    CONFLICT = "conflict"
    BUSY = "busy"
    ABSENT = "absent"
    OVERTAKEN = "overtaken"
    UNAVAILABLE = "unavailable"


class Record(Struct, frozen=True, array_like=True):
    """The whole state of one key after one change.

    ``digest`` covers route and body of the request. ``agent`` is an agent's address,
    ``incarnation`` that agent's incarnation; only it may run the attempt. ``at`` is
    the wall-clock time of the claim in seconds. The last three fields are the reply.
    """

    workspace: str
    key: str
    digest: bytes
    attempt: str
    agent: str
    incarnation: str
    at: float
    state: KeyState = KeyState.CLAIMED
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class SegmentRef(Struct, frozen=True, array_like=True):
    """Names a sealed segment; it covers record numbers ``first`` up to ``last``.

    ``last`` is excluded. ``newest_at`` is the time of its youngest record in seconds,
    ``size`` its length in bytes.
    """

    path: str
    first: int
    last: int
    newest_at: float
    size: int


class Segment(Struct, frozen=True, array_like=True):
    """Records with their numbers, ascending; a later one of a key replaces earlier."""

    items: list[tuple[int, Record]]


class Head(Struct, frozen=True, array_like=True):
    """A partition's changing object: its newest records and its sealed segments.

    ``number`` is the number of the next record; ``records`` have the numbers
    ``sealed`` up to ``number``, and those below ``sealed`` are in ``segments``.
    """

    number: int = 0
    sealed: int = 0
    segments: list[SegmentRef] = []
    records: list[Record] = []
