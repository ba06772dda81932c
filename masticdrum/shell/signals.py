"""Turns signals for shutdown and reload into calls."""

import signal
from collections.abc import Callable

import trio


async def watch_signals(on_shutdown: Callable[[], None]) -> None:
    """Call ``on_shutdown`` at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            on_shutdown()
            return


async def watch_reloads(on_reload: Callable[[], None]) -> None:
    """Call ``on_reload`` at each SIGHUP, also at one that arrived while it was blocked.

    A process blocks SIGHUP from its start until it can handle it.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        async for _ in signals:
            on_reload()
