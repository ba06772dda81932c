"""An entry's links to agents, and the state that agents reported over them."""

from msgspec import Struct

from masticdrum.core.placement import Hint
from masticdrum.model.entry_events import CloseLink, EntryEffect, OpenLink, SendFrame
from masticdrum.model.messages import Envelope, Hello
from masticdrum.model.tables import Upstream


class Peer(Struct):
    """The last known state of one agent; all of it may be out of date.

    ``heard_at`` is when the last frame arrived, in seconds.
    """

    upstream: Upstream
    link: str
    incarnation: str = ""
    serial: int = 0
    heard_at: float = 0.0


class Links:
    """At most one current link to each agent, opened when first needed."""

    __slots__ = ("_by_link", "_entry", "_opened", "_peers", "hints")

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._opened = 0
        self._peers: dict[str, Peer] = {}
        self._by_link: dict[str, str] = {}
        self.hints: dict[str, Hint] = {}

    def find(self, upstream: str) -> Peer | None:
        """Return what is known of an upstream's agent, or None."""
        return self._peers.get(upstream)

    def find_by_link(self, link: str) -> Peer | None:
        """Return the agent at the other end of a link, or None if it was closed."""
        name = self._by_link.get(link)
        return None if name is None else self._peers[name]

    def list_peers(self) -> list[Peer]:
        """Return every agent with an open link."""
        return list(self._peers.values())

    def ensure_open(self, upstream: Upstream) -> tuple[Peer, list[EntryEffect]]:
        """Return the agent's record, opening a link if there is none."""
        peer = self._peers.get(upstream.name)
        if peer is not None and peer.upstream.agent == upstream.agent:
            return peer, []
        return self.reopen(upstream)

    def reopen(self, upstream: Upstream) -> tuple[Peer, list[EntryEffect]]:
        """Open a new link in place of the old one, which is closed."""
        effects: list[EntryEffect] = []
        old = self._peers.pop(upstream.name, None)
        if old is not None:
            del self._by_link[old.link]
            effects.append(CloseLink(old.link))
        self._opened += 1
        link = f"{self._entry}/{upstream.name}/{self._opened}"
        peer = Peer(upstream, link)
        if old is not None:
            peer.incarnation = old.incarnation
        self._peers[upstream.name] = peer
        self._by_link[link] = upstream.name
        effects.append(OpenLink(link, upstream.agent))
        effects.append(SendFrame(link, Hello()))
        return peer, effects

    def close(self, upstream: str) -> list[EntryEffect]:
        """Close the link to an upstream that is not needed any more."""
        peer = self._peers.pop(upstream, None)
        if peer is None:
            return []
        del self._by_link[peer.link]
        return [CloseLink(peer.link)]

    def record_frame(self, link: str, envelope: Envelope, now: float) -> Peer | None:
        """Record the sender's state; return None for a link that was closed."""
        peer = self.find_by_link(link)
        if peer is None:
            return None
        peer.incarnation = envelope.incarnation
        peer.serial = max(peer.serial, envelope.serial)
        peer.heard_at = now
        load = getattr(envelope.message, "load", None)
        if load is not None:
            self.hints[peer.upstream.name] = Hint(load, now)
        return peer
