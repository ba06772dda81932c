"""The other entries as one entry knows them, and the commits exchanged with them."""

from typing import Any

from msgspec import Struct

from masticdrum.core.links import Links
from masticdrum.model.ledger import Record
from masticdrum.model.tables import Upstream

PEERS = ".peers"


def is_peer_link(link: str) -> bool:
    """Return whether a link of this entry leads to another entry."""
    return link.split("/", 1)[0].endswith(PEERS)


class ForwardedCommit(Struct, frozen=True):
    """A record whose commit was requested from another entry, ``writer``.

    ``before`` is committed first. After ``until``, in seconds, no call waits for it.
    """

    record: Record
    before: Record | None
    writer: str
    until: float


class Peers:
    """The other live entries, the writer of each partition, and open commits.

    ``suspects`` holds until when an entry that did not answer is skipped, by name.
    """

    __slots__ = (
        "entries",
        "links",
        "peer_commit_count",
        "peer_commits",
        "suspects",
        "forwarded_commits",
        "writers",
    )

    def __init__(self, entry: str) -> None:
        self.links = Links(f"{entry}{PEERS}")
        self.entries: dict[str, Upstream] = {}
        self.writers: list[str] = []
        self.suspects: dict[str, float] = {}
        self.forwarded_commits: dict[str, ForwardedCommit] = {}
        self.peer_commits: dict[str, Any] = {}
        self.peer_commit_count = 0
