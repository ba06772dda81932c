"""Options, object calls and verdicts of a ledger partition, as plain data."""

from enum import StrEnum

from msgspec import Struct, field, structs

from masticdrum.core.claimdecision import Pending
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
    """Batching, timeouts, retention and size limits of the ledger; times in seconds.

    ``group_s`` is how long a claim waits for others to share its commit;
    ``end_group_s`` is the same for replies and releases, for which no caller waits.
    Those are retried for ``end_wait_s``. A call without an answer counts as lost after
    ``call_s``. ``max_pending`` bounds the pending records of each partition.

    A key is stored for ``retention_s``, and for ``prune_margin_s`` more to allow for
    differing clocks. ``group_limit``, ``head_limit`` and ``segment_limit`` bound the
    bytes of one commit, a head and a segment. ``partitions`` must be the same in all
    processes and can never change.
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

    ``record`` is the key's newest record. ``unclaimed`` means that the key was read
    after the request arrived and that nothing had run under it.
    """

    ticket: str
    decision: Decision
    record: Record | None = None
    unclaimed: bool = False


ObjectCall = ObjectGet | ObjectPut | ObjectDelete | ObjectList


class Step(Struct):
    """The result of one step: object calls to make, and verdicts to deliver."""

    calls: list[ObjectCall] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)


class OpKind(StrEnum):
    """The purpose of the object call in flight."""

    READ_HEAD = "read head"
    READ_SEGMENT = "read segment"
    LIST_OBJECTS = "list objects"
    WRITE_SEGMENT = "write segment"
    WRITE_HEAD = "write head"
    READ_VERSION = "find doomed"
    DELETE_OBJECT = "delete doomed"


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


def make_release(claim: Record) -> Record:
    """Return the record that releases a claim under which nothing will run."""
    return structs.replace(claim, state=KeyState.RELEASED)


def make_end(record: Record, options: LedgerOptions, now: float) -> Pending:
    """Return the pending commit of a reply or release.

    It expires before any process can prune the claim that it ends.
    """
    retained_s = record.at + options.retention_s - options.wall_offset_s - now
    return Pending(
        ticket="",
        workspace=record.workspace,
        key=record.key,
        digest=record.digest,
        record=record,
        due=now + options.end_group_s,
        until=now + min(options.end_wait_s, retained_s),
    )
