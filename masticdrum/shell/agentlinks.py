"""An agent's listening socket."""

from collections.abc import Callable

import trio
import zmq

from masticdrum.model.entry_events import FrameReceived
from masticdrum.model.messages import Envelope
from masticdrum.shell.sockets import Socket, make_context
from masticdrum.shell.wire import decode_envelope, encode_envelope


class AgentLinks:
    """One ROUTER socket; a link is the name under which a peer connected."""

    def __init__(
        self, nursery: trio.Nursery, submit: Callable[[FrameReceived], None]
    ) -> None:
        self._nursery = nursery
        self._submit = submit
        self._socket = Socket(make_context(), zmq.ROUTER, self._receive)

    def listen(self, address: str) -> str:
        """Listen at ``tcp://IP:PORT`` and return the address with its real port."""
        bound = self._socket.bind(address)
        self._nursery.start_soon(self._socket.run)
        return bound

    def send(self, link: str, envelope: Envelope) -> None:
        """Send to a peer; one that is gone loses the frame."""
        self._socket.send([link.encode(), encode_envelope(envelope)])

    def settle(self) -> None:
        """Receive what arrived while frames were sent."""
        self._socket.settle()

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            return
        link, data = frames
        envelope = decode_envelope(data)
        if envelope is None:
            return
        self._submit(FrameReceived(link.decode(errors="replace"), envelope))
