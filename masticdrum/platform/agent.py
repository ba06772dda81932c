"""``python -m masticdrum.platform.agent``: the agent beside an engine."""

import signal
import sys

if __name__ == "__main__":
    # The default action ends a process whose imports are still running.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random

import click
import trio

from masticdrum.model.cluster_events import StoreRestored
from masticdrum.model.settings import EngineControllerSettings
from masticdrum.model.telemetry import Count, Counter
from masticdrum.platform.engine import Engine
from masticdrum.platform.settings import platform_settings
from masticdrum.platform.store import Store
from masticdrum.platform.watchers import AGENT_UPSTREAMS, AGENT_WEIGHTS, KindWatcher
from masticdrum.programs.commands import (
    check_option,
    unwrap_or_exit,
)
from masticdrum.programs.enginecontroller import Submit, run_engine_controller
from masticdrum.shell.jsonlogging import configure_bounded_logging
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.processresources import read_limits
from masticdrum.shell.settings import load_settings, reread_settings


class AgentPlatform:
    """The platform clients that an agent needs."""

    def __init__(self, settings: EngineControllerSettings) -> None:
        self._settings = settings
        self._submit: Submit | None = None
        self._meters: Metrics | None = None
        self._store = Store(settings.store, self._count, self._report_restored)

    def make_engine(self, submit: Submit) -> Engine:
        """Return the client of the engine."""
        return Engine(submit, self._settings)

    def make_store(self, meters: Metrics, submit: Submit) -> Store:
        """Return the client of the store."""
        self._meters = meters
        self._submit = submit
        return self._store

    def make_watch_tasks(self, submit: Submit) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions that keep the agent's view of the platform current."""
        return [
            KindWatcher(watched, self._store, submit, Random()).run
            for watched in (AGENT_UPSTREAMS, AGENT_WEIGHTS)
        ]

    def _report_restored(self, event: StoreRestored) -> None:
        if self._submit is not None:
            self._submit(event)

    def _count(self, how: str) -> None:
        if self._meters is not None:
            self._meters.count(Count(Counter.PLATFORM_CALLS, how))


@click.command()
@platform_settings
@check_option
def main(settings: Path, check: bool) -> None:
    """Run an agent beside an engine with the SETTINGS in a JSON file."""
    loaded = unwrap_or_exit(load_settings(settings, EngineControllerSettings))
    limits = unwrap_or_exit(read_limits(loaded.resources))
    if check:
        click.echo(f"{settings}: ok")
        return
    configure_bounded_logging("masticdrum-agent", loaded.name, sys.stdout.fileno())
    reread = partial(reread_settings, settings, EngineControllerSettings)
    trio.run(run_engine_controller, loaded, AgentPlatform(loaded), reread, limits)


if __name__ == "__main__":
    main()
