"""The frame in which a block of KV cache is transferred and stored.

A frame is a magic number, the header's length, a msgpack header and the payload. Its
checksum covers every field of the header and the payload. It is keyed with a secret
that agents share and store instances don't have, so a block that was truncated,
altered, swapped with another or given another header never reaches an engine.
"""

from enum import StrEnum
from hashlib import blake2b
from hmac import compare_digest

from msgspec import Struct
from msgspec.msgpack import Decoder, encode
from returns.result import Failure, Result, Success

from masticdrum.core.decoding import Undecodable, read_msgpack

MAGIC = b"MDB1"
LENGTH_BYTES = 4
CHECKSUM_BYTES = 16
PERSON = b"masticdrum-frame"


class FrameFault(StrEnum):
    """Why a frame was rejected."""

    MALFORMED = "malformed"
    TRUNCATED = "truncated"
    WRONG_KEY = "wrong_key"
    WRONG_WORKSPACE = "wrong_workspace"
    WRONG_VERSION = "wrong_version"
    WRONG_CHECKSUM = "wrong_checksum"


class FrameHeader(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The header of a block's frame; ``length`` is the payload's, in bytes."""

    key: str
    workspace: str
    version: str
    length: int
    checksum: bytes


HEADER = Decoder(FrameHeader)


class BlockName(Struct, frozen=True):
    """The block that a reader expects: its key, workspace and weight version."""

    key: str
    workspace: str
    version: str


def derive_key(secret: str) -> bytes:
    """Return the checksums' key for a secret of any length."""
    return blake2b(secret.encode(), person=PERSON).digest()


def compute_checksum(secret: bytes, name: BlockName, payload: bytes) -> bytes:
    """Return the keyed checksum over a block's name and payload."""
    digest = blake2b(key=secret, digest_size=CHECKSUM_BYTES, person=PERSON)
    for part in (name.key.encode(), name.workspace.encode(), name.version.encode()):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(payload)
    return digest.digest()


def encode_frame(secret: bytes, name: BlockName, payload: bytes) -> bytes:
    """Return the frame of a block."""
    header = encode(
        FrameHeader(
            name.key,
            name.workspace,
            name.version,
            len(payload),
            compute_checksum(secret, name, payload),
        )
    )
    return MAGIC + len(header).to_bytes(LENGTH_BYTES, "big") + header + payload


def split_frame(frame: bytes) -> Result[tuple[FrameHeader, bytes], FrameFault]:
    """Split a frame into header and payload, neither of which is verified yet."""
    start = len(MAGIC) + LENGTH_BYTES
    if not frame.startswith(MAGIC) or len(frame) < start:
        return Failure(FrameFault.MALFORMED)
    end = start + int.from_bytes(frame[len(MAGIC) : start], "big")
    if len(frame) < end:
        return Failure(FrameFault.TRUNCATED)
    try:
        header = read_msgpack(frame[start:end], HEADER)
    except Undecodable:
        return Failure(FrameFault.MALFORMED)
    return Success((header, frame[end:]))


def find_header_fault(header: FrameHeader, wanted: BlockName, length: int) -> str:
    """Compare a header with the requested block; return the fault or an empty text."""
    if header.key != wanted.key:
        return FrameFault.WRONG_KEY
    if header.workspace != wanted.workspace:
        return FrameFault.WRONG_WORKSPACE
    if header.version != wanted.version:
        return FrameFault.WRONG_VERSION
    if header.length != length:
        return FrameFault.TRUNCATED
    return ""


def decode_frame(
    secret: bytes, wanted: BlockName, frame: bytes
) -> Result[bytes, FrameFault]:
    """Verify a frame and return its payload, if it is the requested block."""
    return split_frame(frame).bind(lambda parts: verify_block(secret, wanted, *parts))


def verify_block(
    secret: bytes, wanted: BlockName, header: FrameHeader, payload: bytes
) -> Result[bytes, FrameFault]:
    """Verify header, payload and checksum against the requested block."""
    fault = find_header_fault(header, wanted, len(payload))
    if fault:
        return Failure(FrameFault(fault))
    if not compare_digest(header.checksum, compute_checksum(secret, wanted, payload)):
        return Failure(FrameFault.WRONG_CHECKSUM)
    return Success(payload)
