"""Decodes lists, watches and objects of the store."""

from typing import Annotated

from msgspec import Meta, Raw, Struct

from masticdrum.core.decoding import read_json

MAX_REVISION = 2**63 - 1
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]


class Metadata(Struct):
    """The store's own data about an object."""

    name: str
    revision: Revision = 0
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


def read_page(body: bytes) -> Page:
    """Decode a page of a list; raises ``Undecodable``."""
    return read_json(body, Page)


def read_changes(body: bytes) -> Changes:
    """Decode the answer to a watch; raises ``Undecodable``."""
    return read_json(body, Changes)


def read_object(item: Raw) -> StoredObject:
    """Decode an object; raises ``Undecodable``."""
    return read_json(item, StoredObject)
