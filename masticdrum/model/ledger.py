"""The ledger's records and objects, as stored on the platform."""

from enum import IntEnum, StrEnum

from msgspec import Struct


class KeyState(IntEnum):
    """The state of a key's newest attempt.

    ``CLAIMED`` with no later record means that the outcome is unknown. ``DONE`` holds
    the reply. ``RELEASED`` means that the attempt did not run and never will.
    """

    CLAIMED = 1
    DONE = 2
    RELEASED = 3


class Decision(StrEnum):
    """The ledger's decision on a claim, a look-up or the end of an attempt.

    ``GRANTED``: the record is in the ledger. ``REPLAY``: the key has a recorded reply.
    ``CONFLICT``: the key was used with another body. ``BUSY``: another attempt under
    the key has not ended. ``ABSENT``: answers a look-up of a key under which nothing
    ran. ``OVERTAKEN``: another entry has ended this attempt. ``UNAVAILABLE``: time ran
    out.
    """

    GRANTED = "granted"
    REPLAY = "replay"
    CONFLICT = "conflict"
    BUSY = "busy"
    ABSENT = "absent"
    OVERTAKEN = "overtaken"
    UNAVAILABLE = "unavailable"


class Record(Struct, frozen=True, array_like=True):
    """The complete state of one key after one change.

    ``digest`` covers the route and body of the request. ``agent`` is the address of
    the agent that may run the attempt, only while it has this ``incarnation``. ``at``
    is the wall-clock time of the claim in seconds. The last three fields are the reply.
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
    """Refers to a sealed segment with the records from ``first`` up to ``last``.

    ``last`` is excluded. ``newest_at`` is the time of its newest record in seconds,
    ``size`` its length in bytes.
    """

    path: str
    first: int
    last: int
    newest_at: float
    size: int


class Segment(Struct, frozen=True, array_like=True):
    """Records with ascending numbers; a key's later record replaces earlier ones."""

    items: list[tuple[int, Record]]


class Head(Struct, frozen=True, array_like=True):
    """A partition's mutable object: its newest records and its sealed segments.

    ``number`` is the number of the next record. ``records`` holds the numbers from
    ``sealed`` up to ``number``, excluded; lower ones are in ``segments``.
    """

    number: int = 0
    sealed: int = 0
    segments: list[SegmentRef] = []
    records: list[Record] = []
