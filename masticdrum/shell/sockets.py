"""ZeroMQ sockets read from a trio loop."""

from collections.abc import Callable

import trio
import zmq

LINGER_MS = 1000
MAX_FRAMES = 10_000  # frames queued for one peer before sends fail
MAX_SOCKETS = 65_000


def make_context() -> zmq.Context[zmq.Socket[bytes]]:
    """Return a context that bears a socket for every upstream of a large pool."""
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
    return context


class Socket:
    """A ZeroMQ socket whose multipart frames go to ``receive``.

    The descriptor of a ZeroMQ socket is readable at an edge only, and a send may use
    the edge up, so that ``settle`` must be called after sends to look for frames.
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
        if kind == zmq.ROUTER:
            self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
            self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._receive = receive
        self._scope = trio.CancelScope()
        self._sent = False

    def secure_server(self, public: str, secret: str) -> None:
        """Let only peers connect that prove to hold an accepted key."""
        self._socket.setsockopt(zmq.CURVE_SERVER, 1)
        self._set_pair(public, secret)

    def secure_client(self, public: str, secret: str, server: str) -> None:
        """Connect only to a peer that proves to hold the key ``server``."""
        self._socket.setsockopt(zmq.CURVE_SERVERKEY, server.encode())
        self._set_pair(public, secret)

    def _set_pair(self, public: str, secret: str) -> None:
        self._socket.setsockopt(zmq.CURVE_PUBLICKEY, public.encode())
        self._socket.setsockopt(zmq.CURVE_SECRETKEY, secret.encode())

    def bind(self, address: str) -> str:
        """Listen at an address and return it with the port that was given."""
        self._socket.bind(address)
        return self._socket.getsockopt_string(zmq.LAST_ENDPOINT)

    def connect(self, address: str, name: str) -> None:
        """Connect under a name that the other end sees."""
        self._socket.setsockopt(zmq.ROUTING_ID, name.encode())
        self._socket.connect(address)

    def send(self, frames: list[bytes]) -> bool:
        """Send at once or not at all; False means that the peer is gone or full."""
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
                self.drain()
                # Closed by a frame, or between the wake and this turn of the task: the
                # descriptor is gone, and waiting for it fails before it is cancelled.
                if self._socket.closed:
                    return
                await trio.lowlevel.wait_readable(descriptor)

    def settle(self) -> None:
        """Receive what arrived while frames were sent."""
        if not self._sent:
            return
        self._sent = False
        self.drain()

    def drain(self) -> None:
        """Hand over every frame that has arrived."""
        while not self._socket.closed:
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(frames)

    def close(self) -> None:
        """Close; frames already sent still leave within ``LINGER_MS``."""
        self._scope.cancel()
        self._socket.close()
