"""An agent's listening socket."""

from collections.abc import Callable

import trio
import zmq

from masticdrum.model.entry_events import FrameReceived
from masticdrum.model.messages import Envelope
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.keys import LinkKeys
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.peercheck import PeerCheck
from masticdrum.shell.sockets import Socket, make_context
from masticdrum.shell.wire import decode_envelope, encode_envelope


class AgentLinks:
    """One ROUTER socket; a link is the routing id of a connected peer."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[FrameReceived], None],
        metrics: Metrics,
        keys: LinkKeys | None = None,
    ) -> None:
        self._nursery = nursery
        self._submit = submit
        self._metrics = metrics
        self._context = make_context()
        self._socket = Socket(self._context, zmq.ROUTER, self._receive)
        self._check: PeerCheck | None = None
        if keys is not None:
            self._check = PeerCheck(self._context, keys.peers, self._count_refused)
            self._check.start(nursery)
            self._socket.secure_server(keys.public, keys.secret)

    def listen(self, address: str) -> str:
        """Listen at ``tcp://IP:PORT`` and return the address with its real port."""
        bound = self._socket.bind(address)
        self._nursery.start_soon(self._socket.run)
        return bound

    def send(self, link: str, envelope: Envelope) -> None:
        """Send to a peer; the frame is dropped if the peer is gone."""
        self._socket.send([link.encode(), encode_envelope(envelope)])

    def close_all(self) -> None:
        """Close all links and wait until queued frames are sent."""
        self._socket.close()
        if self._check is not None:
            self._check.close()
        self._context.term()

    def receive_pending(self) -> None:
        """Receive frames that arrived during sends."""
        self._socket.receive_pending()

    def _count_refused(self, address: str) -> None:
        self._metrics.count(Count(Counter.REFUSALS, "unknown_peer"))
        write_event(Log(LogNumber.PEER_REFUSED, detail=address))

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            return
        link, data = frames
        envelope = decode_envelope(data)
        if envelope is None:
            return
        self._submit(FrameReceived(link.decode(errors="replace"), envelope))
