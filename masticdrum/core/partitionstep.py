"""What a ledger partition is set to, asks for and answers, as plain data."""

from enum import StrEnum

from msgspec import Struct, field, structs

from masticdrum.core.judgement import Pending
from masticdrum.core.segments import (
    Seal,
)
from masticdrum.model.ledger import Decision, Head, KeyState, Record
from masticdrum.model.platform import (
    ObjectDelete,
    ObjectGet,
    ObjectList,
    ObjectPut,
)


class LedgerOptions(Struct, frozen=True):
    """How the ledger groups, waits and keeps; times are seconds.

    ``group_s`` is how long a claim waits for others, ``end_group_s`` the same for
    replies and releases, for which nobody waits. ``end_wait_s`` is how long those are
    tried. ``call_s`` is when a call without an answer counts as lost. ``max_pending``
    bounds each partition's waiting records.

    A key is kept for ``retention_s`` and, against clocks that differ, another
    ``prune_margin_s``. ``group_limit``, ``head_limit`` and ``segment_limit`` are bytes
    of one commit, a head and a segment. All processes must agree on the number of
    partitions for ever.
    """

    writer: str
    group_s: float = 0.02
    end_group_s: float = 0.1
    end_wait_s: float = 600.0
    call_s: float = 3.0
    retention_s: float = 24 * 3600.0
    prune_margin_s: float = 600.0
    wall_offset_s: float = 0.0
    max_pending: int = 4096
    partitions: int = 32
    group_limit: int = 256 * 1024
    head_limit: int = 32 * 1024
    segment_limit: int = 900_000


class Verdict(Struct, frozen=True):
    """The ledger's answer to one ticket.

    ``record`` is the key's newest record. ``unclaimed`` tells that the key was read
    after the request came and nothing ran under it.
    """

    ticket: str
    decision: Decision
    record: Record | None = None
    unclaimed: bool = False


ObjectCall = ObjectGet | ObjectPut | ObjectDelete | ObjectList


class Step(Struct):
    """What comes out of one step: object calls to make, and verdicts."""

    calls: list[ObjectCall] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)


class OpKind(StrEnum):
    """What the object call in flight is for."""

    READ_HEAD = "read head"
    READ_SEGMENT = "read segment"
    LIST_OBJECTS = "list objects"
    WRITE_SEGMENT = "write segment"
    WRITE_HEAD = "write head"
    FIND_DOOMED = "find doomed"
    DELETE_DOOMED = "delete doomed"


class Op(Struct):
    """The object call in flight; ``sent_at`` is in seconds."""

    kind: OpKind
    call: str
    serial: int
    sent_at: float
    written: list[Pending] = field(default_factory=list)
    head: Head = Head()
    size: int = 0
    seal: Seal | None = None


def release(claim: Record) -> Record:
    """Return the release of a claim under which nothing will run."""
    return structs.replace(claim, state=KeyState.RELEASED)


def make_end(record: Record, options: LedgerOptions, now: float) -> Pending:
    """Return a reply or release that waits for its commit.

    It is given up while every process still has the claim that it ends.
    """
    kept_s = record.at + options.retention_s - options.wall_offset_s - now
    return Pending(
        ticket="",
        workspace=record.workspace,
        key=record.key,
        digest=record.digest,
        record=record,
        due=now + options.end_group_s,
        until=now + min(options.end_wait_s, kept_s),
    )
