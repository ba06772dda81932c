"""Layout of the ledger's objects, and the sealing and pruning of old records.

A partition has one mutable object, its head, and any number of immutable segments. A
commit replaces the head by a conditional update. Once the head exceeds a size limit,
its records are written to a new segment. The last segment is merged into it if both
together stay within another limit. The next head names the new segment in place of
the records.
"""

from collections.abc import Mapping

import msgspec
import xxhash
from msgspec import Struct
from returns.result import Failure, Result, Success

from masticdrum.core.decoding import Undecodable, read_msgpack
from masticdrum.model.ledger import Head, Record, Segment, SegmentRef

NUMBER_BYTES = 16

KeyName = tuple[str, str]


class NumberedRecord(Struct, frozen=True):
    """A record with its sequence number in the partition."""

    number: int
    record: Record


class Seal(Struct, frozen=True):
    """A segment to write before the next head, and the segments that it replaces."""

    ref: SegmentRef
    body: bytes
    replaces: tuple[SegmentRef, ...]


def choose_partition(workspace: str, key: str, partitions: int) -> int:
    """Return which of ``partitions`` partitions holds a workspace's key."""
    text = f"{len(workspace)}:{workspace}{key}"
    return xxhash.xxh3_64_intdigest(text.encode()) % partitions


def digest_request(route: str, body: bytes) -> bytes:
    """Return a digest that shows whether two requests under one key are the same."""
    return xxhash.xxh3_128_digest(f"{len(route)}:{route}".encode() + body)


HEAD = msgspec.msgpack.Decoder(Head)
SEGMENT = msgspec.msgpack.Decoder(Segment)


def make_path_prefix(partition: int) -> str:
    """Return the path prefix of a partition's objects."""
    return f"ledger/{partition:03d}/"


def make_head_path(partition: int) -> str:
    """Return the path of a partition's head."""
    return f"{make_path_prefix(partition)}head"


def make_segment_path(partition: int, first: int, last: int, writer: str) -> str:
    """Return a path for a new segment; it is unique if ``writer`` is."""
    return f"{make_path_prefix(partition)}{first:012d}-{last:012d}-{writer}"


def encode(value: Head | Segment) -> bytes:
    """Encode a head or segment as an object's body."""
    return msgspec.msgpack.encode(value)


def decode_head(body: bytes) -> Result[Head, str]:
    """Decode a head, or return the decoder's error message."""
    try:
        return Success(read_msgpack(body, HEAD))
    except Undecodable as error:
        return Failure(str(error))


def decode_segment(body: bytes) -> Result[Segment, str]:
    """Decode a segment, or return the decoder's error message."""
    try:
        return Success(read_msgpack(body, SEGMENT))
    except Undecodable as error:
        return Failure(str(error))


def estimate_size(record: Record) -> int:
    """Estimate how many bytes a record takes up in an object."""
    return len(msgspec.msgpack.encode(record)) + NUMBER_BYTES


def plan_seal(
    partition: int,
    head: Head,
    room: int,
    known: Mapping[KeyName, NumberedRecord],
    writer: str,
) -> Seal:
    """Plan the segment that will hold the head's records.

    ``known`` maps each key to its newest record and that record's number. The last
    segment is merged in if it has at most ``room`` bytes. ``writer`` must be different
    for each segment.
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
    path = make_segment_path(partition, first, head.number, writer)
    ref = SegmentRef(path, first, head.number, newest, len(body))
    return Seal(ref, body, replaced)


def choose_merged(head: Head, room: int) -> tuple[SegmentRef, ...]:
    """Return the last segment if it has at most ``room`` bytes, else nothing."""
    if not head.segments or head.segments[-1].size > room:
        return ()
    return (head.segments[-1],)


def list_expired(head: Head, horizon: float) -> list[SegmentRef]:
    """List the segments whose newest record is older than ``horizon``."""
    return [ref for ref in head.segments if ref.newest_at < horizon]


def extend_head(
    head: Head, records: list[Record], seal: Seal | None, expired: list[SegmentRef]
) -> Head:
    """Return the head that commits ``records``."""
    segments = [ref for ref in head.segments if ref not in expired]
    number = head.number + len(records)
    if seal is None:
        return Head(number, head.sealed, segments, [*head.records, *records])
    segments = [ref for ref in segments if ref not in seal.replaces]
    return Head(number, seal.ref.last, [*segments, seal.ref], records)
