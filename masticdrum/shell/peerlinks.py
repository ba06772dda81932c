"""An entry's links to other entries, opened by either side."""

from collections.abc import Callable

import trio
from msgspec import structs

from masticdrum.model.entry_events import FrameReceived
from masticdrum.model.messages import Envelope
from masticdrum.shell.agentlinks import AgentLinks
from masticdrum.shell.entrylinks import EntryLinks
from masticdrum.shell.keys import LinkKeys
from masticdrum.shell.metrics import Metrics


class PeerLinks:
    """Listens for other entries and connects to them.

    All entries share one key pair, so each expects and accepts its own public key.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[FrameReceived], None],
        metrics: Metrics,
        keys: LinkKeys | None,
    ) -> None:
        if keys is not None:
            keys = structs.replace(keys, peers=[keys.public])
        self._opened = EntryLinks(nursery, submit, keys)
        self._accepted = AgentLinks(nursery, submit, metrics, keys)

    def listen(self, address: str) -> str:
        """Listen at ``tcp://IP:PORT`` and return the address with its real port."""
        return self._accepted.listen(address)

    def open(self, link: str, address: str) -> None:
        """Connect a new link; frames may be sent at once."""
        self._opened.open(link, address)

    def close(self, link: str) -> None:
        """Close a link that this entry opened."""
        self._opened.close(link)

    def send(self, link: str, envelope: Envelope) -> None:
        """Send on a link that this entry opened."""
        self._opened.send(link, envelope)

    def reply(self, link: str, envelope: Envelope) -> None:
        """Send on a link that another entry opened."""
        self._accepted.send(link, envelope)

    def receive_pending(self) -> None:
        """Receive frames that arrived during sends."""
        self._opened.receive_pending()
        self._accepted.receive_pending()

    def close_all(self) -> None:
        """Close all links and wait until queued frames are sent."""
        self._opened.close_all()
        self._accepted.close_all()
