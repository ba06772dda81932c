"""A server in trouble: it repeats bytes until its caller closes."""

from contextlib import suppress

import trio


class EndlessServer:
    """After the start of an answer, sends the same bytes over and over.

    ``sent`` counts them, ``closed`` is set when the caller has closed.
    """

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self.start = start
        self.repeated = repeated
        self.sent = 0
        self.closed = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some()
        with suppress(trio.BrokenResourceError):
            await stream.send_all(self.start)
            while True:
                await stream.send_all(self.repeated)
                self.sent += len(self.repeated)
        self.closed.set()

    async def listen(self, nursery: trio.Nursery) -> str:
        """Serve in the background; return the address, ``IP:PORT``."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, self.serve, listeners)
        return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


# Starts and repeated bytes of answers that never end.
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNK = b"1000\r\n%s\r\n" % (b"[" * 4096)
ENDLESS = {
    "interim answers": (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 200),
    "a body without a length": (HEAD + b"\r\n", b"[" * 65536),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK * 16),
    "a long body": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"[" * 65536),
    "a header": (HEAD + b"X-A: ", b"a" * 65536),
}
