"""Decides which peers may connect to an agent, by ZeroMQ's ZAP (RFC 27)."""

from collections.abc import Callable

import trio
import zmq
from zmq.utils.z85 import decode as decode_z85

from masticdrum.shell.sockets import Socket

ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ACCEPTED = b"200"
REFUSED = b"400"


class PeerCheck:
    """Accepts peers whose public key is listed; calls ``on_refused`` for others."""

    def __init__(
        self,
        context: "zmq.Context[zmq.Socket[bytes]]",
        peers: list[str],
        on_refused: Callable[[str], None],
    ) -> None:
        self._keys = {decode_z85(key) for key in peers}
        self._on_refused = on_refused
        self._socket = Socket(context, zmq.REP, self._answer)
        self._socket.bind(ZAP_ENDPOINT)

    def start(self, nursery: trio.Nursery) -> None:
        """Answer ZeroMQ's authentication requests until the process ends."""
        nursery.start_soon(self._socket.run)

    def close(self) -> None:
        """Stop answering."""
        self._socket.close()

    def _answer(self, frames: list[bytes]) -> None:
        version, number, _domain, address, _identity, mechanism, *credentials = frames
        accepted = mechanism == b"CURVE" and credentials[0] in self._keys
        if not accepted:
            self._on_refused(address.decode(errors="replace"))
        status = ACCEPTED if accepted else REFUSED
        text = b"" if accepted else b"unknown peer"
        self._socket.send([version, number, status, text, b"", b""])
