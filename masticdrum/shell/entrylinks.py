"""An entry's connections to agents."""

from collections.abc import Callable

import trio
import zmq

from masticdrum.model.entry_events import FrameReceived
from masticdrum.model.messages import Envelope
from masticdrum.shell.keys import LinkKeys
from masticdrum.shell.sockets import Socket, make_context
from masticdrum.shell.wire import decode_envelope, encode_envelope


class EntryLinks:
    """One DEALER socket for each open link."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[FrameReceived], None],
        keys: LinkKeys | None = None,
    ) -> None:
        self._keys = keys
        self._nursery = nursery
        self._submit = submit
        self._context = make_context()
        self._sockets: dict[str, Socket] = {}
        self._sent_on: list[Socket] = []

    def open(self, link: str, address: str) -> None:
        """Connect a new link; frames may be sent at once."""

        def receive(frames: list[bytes]) -> None:
            envelope = decode_envelope(frames[-1])
            if envelope is not None:
                self._submit(FrameReceived(link, envelope))

        socket = Socket(self._context, zmq.DEALER, receive)
        if self._keys is not None:
            keys = self._keys
            socket.secure_client(keys.public, keys.secret, keys.peers[0])
        socket.connect(address, link)
        self._sockets[link] = socket
        self._nursery.start_soon(socket.run)

    def send(self, link: str, envelope: Envelope) -> None:
        """Send on a link; the frame is dropped if the link is closed or full."""
        socket = self._sockets.get(link)
        if socket is None:
            return
        socket.send([encode_envelope(envelope)])
        self._sent_on.append(socket)

    def close(self, link: str) -> None:
        """Close a link."""
        socket = self._sockets.pop(link, None)
        if socket is not None:
            socket.close()

    def close_all(self) -> None:
        """Close all links and wait until queued frames are sent."""
        for link in list(self._sockets):
            self.close(link)
        self._context.term()

    def receive_pending(self) -> None:
        """Receive frames that arrived during sends."""
        sent_on, self._sent_on = self._sent_on, []
        for socket in sent_on:
            socket.receive_pending()
