"""Turns signals for shutdown and reload into calls."""

import signal
from collections.abc import Callable

import trio


async def watch_signals(on_shutdown: Callable[[], None]) -> None:
    """Call ``on_end`` at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            on_shutdown()
            return


async def watch_reloads(on_reload: Callable[[], None]) -> None:
    """Call ``on_reload`` at each SIGHUP."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            on_reload()
