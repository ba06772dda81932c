"""Datagrams between processes: one message each, which may be lost."""

import socket
from collections.abc import Callable

import msgspec
import trio

from masticdrum.core.addresses import is_ipv4_socket_address
from masticdrum.core.decoding import Undecodable, read_msgpack
from masticdrum.model.origins import (
    OriginMessage,
    OriginQueried,
    OriginQuery,
    OriginRecord,
    OriginReply,
)
from masticdrum.model.rollouts import (
    RolloutGrant,
    RolloutMessage,
    RolloutReport,
    RolloutReported,
)
from masticdrum.model.telemetry import Count, Counter
from masticdrum.shell.metrics import Metrics

MAX_DATAGRAM_BYTES = 16_384  # a report on some hundred routes
BATCH_SIZE = 64  # datagrams that are read before other tasks run
Address = tuple[str, int]
Message = OriginMessage | RolloutMessage
DatagramEvent = (
    OriginRecord | OriginReply | OriginQueried | RolloutReported | RolloutGrant
)


class DatagramSocket:
    """Sends messages and submits those that arrive; ``listen`` is ``IP:PORT``."""

    def __init__(self, listen: str, metrics: Metrics) -> None:
        host, _, port = listen.rpartition(":")
        self._port = int(port)
        self._metrics = metrics
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, self._port))
        self._decoder = msgspec.msgpack.Decoder(Message)

    def send_to_hosts(self, addresses: tuple[str, ...], message: OriginMessage) -> None:
        """Send a message to the processes beside upstreams, on the own port."""
        for address in addresses:
            self.send((address.rpartition(":")[0], self._port), message)

    def send_to_address(self, address: str, message: Message) -> None:
        """Send a message to ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        if not is_ipv4_socket_address(address):
            self._metrics.count(Count(Counter.FRAMES_DROPPED, "not sent"))
            return
        self.send((host, int(port)), message)

    def send(self, peer: Address, message: Message) -> None:
        """Send a message; one that can't be sent now is dropped and counted."""
        data = msgspec.msgpack.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._metrics.count(Count(Counter.FRAMES_DROPPED, "too long"))
            return
        try:
            self._socket.sendto(data, peer)
        except OSError:
            self._metrics.count(Count(Counter.FRAMES_DROPPED, "not sent"))

    async def receive(self, submit: Callable[[DatagramEvent], None]) -> None:
        """Submit the messages that arrive, until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            for _ in range(BATCH_SIZE):
                try:
                    data, peer = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                except OSError:
                    break
                event = self._decode(data, peer)
                if event is not None:
                    submit(event)

    def _decode(self, data: bytes, peer: Address) -> DatagramEvent | None:
        try:
            message = read_msgpack(data, self._decoder)
        except Undecodable:
            self._metrics.count(Count(Counter.FRAMES_DROPPED, "unreadable"))
            return None
        if isinstance(message, OriginQuery):
            return OriginQueried(peer, message)
        if isinstance(message, RolloutReport):
            return RolloutReported(peer, message)
        return message
