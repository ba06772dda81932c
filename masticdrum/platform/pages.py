"""Decodes lists, watches and objects of the store, however odd one object is.

One object that is nested deeply or isn't valid JSON makes the whole answer undecodable.
Then the answer is split, so that the others are read, and the odd one's name.
"""

from typing import Annotated

from msgspec import Meta, Raw, Struct

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.core.jsonparts import split_elements, split_members

MAX_REVISION = 2**63 - 1
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
NO_SPEC = Raw(b"")  # decodes as nothing
NO_MARK = Raw(b"0")


class Metadata(Struct):
    """The store's own data about an object; ``created`` may have any type."""

    name: str
    revision: Revision = 0
    created: Raw = NO_MARK
    deleting: bool = False


class StoredObject(Struct):
    """One object of the store; ``spec`` is decoded by kind."""

    metadata: Metadata
    spec: Raw = Raw(b"null")
    status: Raw = Raw(b"null")


class Page(Struct):
    """A page of a list."""

    items: list[Raw]
    asOf: Revision  # noqa: N815
    hasMore: bool = False  # noqa: N815


class Change(Struct):
    """One event of a watch."""

    object: Raw
    deleted: bool = False


class Changes(Struct):
    """The answer to a watch."""

    events: list[Change]
    asOf: Revision  # noqa: N815


class NamedObject(Struct):
    """The part of an object's metadata without which it can't be told from others."""

    name: str


def read_page(body: bytes) -> Page:
    """Decode a page of a list; raises ``Undecodable``."""
    try:
        return read_json(body, Page)
    except Undecodable:
        parts = split_members(body)
        return Page(
            [Raw(item) for item in split_elements(parts.get("items", b""))],
            read_json(parts.get("asOf", b""), Revision),
            read_json(parts.get("hasMore", b"false"), bool),
        )


def read_changes(body: bytes) -> Changes:
    """Decode the answer to a watch; raises ``Undecodable``."""
    try:
        return read_json(body, Changes)
    except Undecodable:
        parts = split_members(body)
        events = split_elements(parts.get("events", b""))
        return Changes(
            [read_change(event) for event in events],
            read_json(parts.get("asOf", b""), Revision),
        )


def read_change(event: bytes) -> Change:
    """Decode one event; an odd one is a change of an object that can't be read."""
    try:
        return read_json(event, Change)
    except Undecodable:
        pass
    try:
        parts = split_members(event)
        deleted = read_json(parts.get("deleted", b"false"), bool)
    except Undecodable:
        return Change(NO_SPEC)
    return Change(Raw(parts.get("object", b"")), deleted)


def read_own_object(body: bytes) -> StoredObject:
    """Decode an object whose revision counts; raises ``Undecodable``.

    Its ``spec`` and ``status`` may be ones that can't be decoded.
    """
    try:
        return read_json(body, StoredObject)
    except Undecodable:
        parts = split_members(body)
        metadata = read_json(parts.get("metadata", b""), Metadata)
        return StoredObject(
            metadata,
            Raw(parts.get("spec", b"null")),
            Raw(parts.get("status", b"null")),
        )


def read_object(item: Raw) -> StoredObject:
    """Decode an object of others; raises ``Undecodable`` if its name can't be read.

    The ``spec`` of an object that is odd otherwise is one that can't be decoded.
    """
    body = bytes(item)
    try:
        return read_own_object(body)
    except Undecodable:
        metadata = split_members(body).get("metadata", b"")
        return StoredObject(Metadata(read_name(metadata)), NO_SPEC)


def read_name(metadata: bytes) -> str:
    """Return the name in an object's metadata; raises ``Undecodable``."""
    try:
        return read_json(metadata, NamedObject).name
    except Undecodable:
        return read_json(split_members(metadata).get("name", b""), str)
