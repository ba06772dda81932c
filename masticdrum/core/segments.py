"""The form of the ledger's objects, and how old records are sealed and pruned.

A partition has one object that changes, its head, and any number of sealed segments
that never change. A commit replaces the head under a conditional update. Once the
head has grown past a limit its records are written to a segment, merged with the last
one while both together stay below another limit; the next head names the segment in
place of the records.
"""

from collections.abc import Mapping

import msgspec
import xxhash
from msgspec import Struct
from returns.result import Failure, Result, Success

from masticdrum.model.ledger import Head, Record, Segment, SegmentRef

NUMBER_BYTES = 16

KeyName = tuple[str, str]


class Numbered(Struct, frozen=True):
    """A record with its number in the partition."""

    number: int
    record: Record


class Seal(Struct, frozen=True):
    """A segment that is to be written before the next head."""

    ref: SegmentRef
    body: bytes
    replaces: tuple[SegmentRef, ...]


def choose_partition(workspace: str, key: str, partitions: int) -> int:
    """Return the partition of a workspace's key, one of ``partitions``."""
    text = f"{len(workspace)}:{workspace}{key}"
    return xxhash.xxh3_64_intdigest(text.encode()) % partitions


def digest_request(route: str, body: bytes) -> bytes:
    """Return the digest by which two requests under one key are compared."""
    return xxhash.xxh3_128_digest(f"{len(route)}:{route}".encode() + body)


def name_prefix(partition: int) -> str:
    """Return the start of the paths of a partition's objects."""
    return f"ledger/{partition:03d}/"


def name_head(partition: int) -> str:
    """Return the path of a partition's head."""
    return f"{name_prefix(partition)}head"


def name_segment(partition: int, first: int, last: int, writer: str) -> str:
    """Return a path that no other segment will ever have."""
    return f"{name_prefix(partition)}{first:012d}-{last:012d}-{writer}"


def encode(value: Head | Segment) -> bytes:
    """Return an object's body."""
    return msgspec.msgpack.encode(value)


def decode_head(body: bytes) -> Result[Head, str]:
    """Read a head's body, or say what is wrong with it."""
    try:
        return Success(msgspec.msgpack.decode(body, type=Head))
    except msgspec.MsgspecError as error:
        return Failure(str(error))


def decode_segment(body: bytes) -> Result[Segment, str]:
    """Read a segment's body, or say what is wrong with it."""
    try:
        return Success(msgspec.msgpack.decode(body, type=Segment))
    except msgspec.MsgspecError as error:
        return Failure(str(error))


def measure(record: Record) -> int:
    """Return about how many bytes a record takes in an object."""
    return len(msgspec.msgpack.encode(record)) + NUMBER_BYTES


def plan_seal(
    partition: int,
    head: Head,
    room: int,
    known: Mapping[KeyName, Numbered],
    writer: str,
) -> Seal:
    """Plan the segment that takes the head's records.

    ``known`` holds the newest record of each key with its number. The last segment
    is merged in if it has no more than ``room`` bytes. ``writer`` is used for one
    segment only.
    """
    replaced = choose_merged(head, room)
    first = replaced[0].first if replaced else head.sealed
    chosen = [
        (item.number, item.record)
        for item in known.values()
        if first <= item.number < head.number
    ]
    chosen.sort(key=lambda pair: pair[0])
    body = encode(Segment(chosen))
    newest = max((record.at for _, record in chosen), default=0.0)
    path = name_segment(partition, first, head.number, writer)
    ref = SegmentRef(path, first, head.number, newest, len(body))
    return Seal(ref, body, replaced)


def choose_merged(head: Head, room: int) -> tuple[SegmentRef, ...]:
    """Return the last segment if it has no more than ``room`` bytes."""
    if not head.segments or head.segments[-1].size > room:
        return ()
    return (head.segments[-1],)


def find_expired(head: Head, horizon: float) -> list[SegmentRef]:
    """Return the segments whose youngest record is older than ``horizon``."""
    return [ref for ref in head.segments if ref.newest_at < horizon]


def extend_head(
    head: Head, records: list[Record], seal: Seal | None, expired: list[SegmentRef]
) -> Head:
    """Return the head after a commit of ``records``."""
    segments = [ref for ref in head.segments if ref not in expired]
    number = head.number + len(records)
    if seal is None:
        return Head(number, head.sealed, segments, [*head.records, *records])
    segments = [ref for ref in segments if ref not in seal.replaces]
    return Head(number, seal.ref.last, [*segments, seal.ref], records)
