"""ZeroMQ sockets read from a trio loop."""

from collections.abc import Callable

import trio
import zmq

LINGER_MS = 1000
MAX_FRAMES = 10_000  # frames that are queued for one peer before sends fail
MAX_SOCKETS = 65_000
BACKLOG = 64  # connections that the kernel completes before they are accepted
# Peers that say nothing would keep their descriptors for 30 s otherwise.
HANDSHAKE_MS = 2000
MAX_MESSAGE_BYTES = 32 * 1024 * 1024  # a peer that sends a longer one is disconnected


class ProcessContext(zmq.Context[zmq.Socket[bytes]]):
    """A context that lives as long as its process."""

    def __del__(self) -> None:
        """Leave the context to the end of the process.

        Garbage collection would terminate it, and wait for ever for its sockets if
        these are collected after it.
        """


def make_context() -> zmq.Context[zmq.Socket[bytes]]:
    """Return a context that allows a socket for each upstream of a large pool."""
    context = ProcessContext()
    context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
    return context


class Socket:
    """A ZeroMQ socket whose multipart frames go to ``receive``.

    The descriptor of a ZeroMQ socket is edge-triggered, and a send may consume the
    edge, so ``receive_pending`` must be called after sends to receive waiting frames.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        kind: int,
        receive: Callable[[list[bytes]], None],
    ) -> None:
        self._socket = context.socket(kind)
        self._socket.setsockopt(zmq.LINGER, LINGER_MS)
        self._socket.setsockopt(zmq.SNDHWM, MAX_FRAMES)
        self._socket.setsockopt(zmq.RCVHWM, MAX_FRAMES)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._socket.setsockopt(zmq.BACKLOG, BACKLOG)
        self._socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        if kind == zmq.ROUTER:
            self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
            self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._receive = receive
        self._scope = trio.CancelScope()
        self._sent = False

    def secure_server(self, public: str, secret: str) -> None:
        """Accept only peers that prove to hold an accepted key."""
        self._socket.setsockopt(zmq.CURVE_SERVER, 1)
        self._set_key_pair(public, secret)

    def secure_client(self, public: str, secret: str, server: str) -> None:
        """Connect only to a peer that proves to hold the key ``server``."""
        self._socket.setsockopt(zmq.CURVE_SERVERKEY, server.encode())
        self._set_key_pair(public, secret)

    def _set_key_pair(self, public: str, secret: str) -> None:
        self._socket.setsockopt(zmq.CURVE_PUBLICKEY, public.encode())
        self._socket.setsockopt(zmq.CURVE_SECRETKEY, secret.encode())

    def bind(self, address: str) -> str:
        """Listen at an address and return it with the assigned port."""
        self._socket.bind(address)
        return self._socket.getsockopt_string(zmq.LAST_ENDPOINT)

    def connect(self, address: str, name: str) -> None:
        """Connect with ``name`` as this socket's routing id at the other end."""
        self._socket.setsockopt(zmq.ROUTING_ID, name.encode())
        self._socket.connect(address)

    def send(self, frames: list[bytes]) -> bool:
        """Send without blocking; return False if the peer is gone or its queue full."""
        self._sent = True
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    async def run(self) -> None:
        """Receive until closed."""
        if self._socket.closed:
            return
        descriptor = self._socket.FD
        with self._scope:
            while True:
                self.receive_all()
                # The handling of a frame may close the socket, or another task before
                # this one is scheduled. The descriptor is invalid then, and waiting
                # for it would fail before the cancellation takes effect.
                if self._socket.closed:
                    return
                await trio.lowlevel.wait_readable(descriptor)

    def receive_pending(self) -> None:
        """Receive what arrived while frames were sent."""
        if not self._sent:
            return
        self._sent = False
        self.receive_all()

    def receive_all(self) -> None:
        """Pass every frame that has arrived to ``receive``."""
        while not self._socket.closed:
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(frames)

    def close(self) -> None:
        """Close; queued frames are still sent for up to ``LINGER_MS``."""
        self._scope.cancel()
        self._socket.close()
