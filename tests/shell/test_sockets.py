"""Closing a ZeroMQ socket while its task starts or handles a frame raises no error."""

import subprocess
import sys

import trio
import zmq

from masticdrum.shell.sockets import Socket, make_context

WAIT_S = 10.0


def test_a_socket_closed_while_a_frame_is_handled_raises_no_error() -> None:
    """Seen once in CI on a busy machine: the task waited on a closed descriptor."""

    async def run() -> None:
        context = make_context()

        def close(frames: list[bytes]) -> None:
            server.close()
            context.term()  # returns once ZeroMQ has closed the descriptor

        server = Socket(context, zmq.ROUTER, close)
        client = Socket(make_context(), zmq.DEALER, lambda frames: None)
        client.connect(server.bind("tcp://127.0.0.1:*"), "client")
        client.send([b"hello"])
        with trio.fail_after(WAIT_S):
            await server.run()
        client.close()

    trio.run(run)


def test_a_socket_closed_before_its_task_runs_raises_no_error() -> None:
    async def run() -> None:
        server = Socket(make_context(), zmq.ROUTER, lambda frames: None)
        server.bind("tcp://127.0.0.1:*")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            server.close()

    trio.run(run)


COLLECT = """
import gc, zmq
from masticdrum.shell.sockets import make_context

for _ in range(50):
    context = make_context()
    kept = [context, context.socket(zmq.ROUTER)]
    kept.append(kept)
    del context, kept
    gc.collect()
"""


# Guards against a process that waits for ever as garbage collection ends a context.
def test_a_context_that_is_collected_with_its_sockets_holds_nothing_up() -> None:
    subprocess.run([sys.executable, "-c", COLLECT], check=True, timeout=30)
