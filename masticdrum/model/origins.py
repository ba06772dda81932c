"""What entries and agents tell each other of where streams began; one datagram each.

Agents keep which version of the upstreams' software began a stream, for the entry to
which its caller comes back. One of them stands beside an upstream of that version, and
one beside an upstream of another, since all of one version may leave together. Other
entries keep it too, since few agents may stand beside one of the versions.

The messages are arrays, so a field keeps its place for as long as an older process may
read it.
"""

from msgspec import Struct


class OriginRecord(Struct, frozen=True, array_like=True, tag="record"):
    """A request's stream has begun at an upstream of a version of the software."""

    request: str
    software: str


class OriginQuery(Struct, frozen=True, array_like=True, tag="query"):
    """Asks which version began a stream; ``handle`` is echoed in the reply.

    Entries ask agents and other entries.

    ``service`` and ``life_s`` are there for older agents, which list versions by them.
    """

    handle: int
    request: str
    service: str = ""
    life_s: float = 0.0


class OriginReply(Struct, frozen=True, array_like=True, tag="reply"):
    """The version that began a stream, or None if the agent doesn't know it.

    ``versions`` and ``is_complete`` are there for older entries, which take a version
    for the only one if an agent vouches for it.
    """

    handle: int
    request: str
    software: str | None
    versions: tuple[str, ...] = ()
    is_complete: bool = False


OriginMessage = OriginRecord | OriginQuery | OriginReply


class OriginQueried(Struct, frozen=True):
    """Another entry's query has arrived; ``peer`` is where the reply goes."""

    peer: tuple[str, int]
    query: OriginQuery


class SendOriginReply(Struct, frozen=True):
    """Sends a reply to an entry."""

    peer: tuple[str, int]
    reply: OriginReply


class SendToAgents(Struct, frozen=True):
    """Sends a message to the agents beside the upstreams at ``addresses``, IP:PORT."""

    addresses: tuple[str, ...]
    message: OriginRecord | OriginQuery


class SendToPeers(Struct, frozen=True):
    """Sends a message to other entries at ``addresses``, the IP:PORT for datagrams."""

    addresses: tuple[str, ...]
    message: OriginRecord | OriginQuery
