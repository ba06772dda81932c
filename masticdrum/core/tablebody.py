"""Encoding of tables for messages between processes: compressed JSON."""

import zlib

import msgspec
from returns.result import Failure, Result

from masticdrum.core.tablecheck import MAX_TABLES_BYTES, decode_tables
from masticdrum.model.faults import Fault
from masticdrum.model.tables import Tables

LEVEL = 6


def pack_tables(tables: Tables) -> bytes:
    """Encode tables as the body of a ``TablesGive``."""
    return zlib.compress(msgspec.json.encode(tables), LEVEL)


def unpack_tables(body: bytes) -> Result[Tables, tuple[Fault, ...]]:
    """Decode and check the body of a ``TablesGive``, which is not trusted."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(body, MAX_TABLES_BYTES)
    except zlib.error as error:
        return Failure((Fault("", f"the body can't be decompressed: {error}"),))
    if not inflater.eof:
        return Failure((Fault("", "the body is cut off or too large"),))
    return decode_tables(text)
