"""What an entry knows of the other entries, and what it commits with their help."""

from typing import Any

from msgspec import Struct

from masticdrum.core.links import Links
from masticdrum.model.ledger import Record
from masticdrum.model.tables import Upstream

PEERS = ".peers"


def is_peer_link(link: str) -> bool:
    """Tell whether a link of this entry leads to another entry."""
    return link.split("/", 1)[0].endswith(PEERS)


class ForwardedCommit(Struct, frozen=True):
    """Records that another entry, ``writer``, was asked to commit.

    ``before`` goes first. ``until`` is when nobody waits any more, in seconds.
    """

    record: Record
    before: Record | None
    writer: str
    until: float


class Peers:
    """The other live entries, the writer of each partition, and open commits.

    ``suspects`` holds until when an entry that did not answer is passed over.
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
