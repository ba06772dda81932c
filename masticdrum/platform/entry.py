"""``python -m masticdrum.platform.entry``: the forwarding entry on the platform."""

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

from masticdrum.model.cluster_events import Member
from masticdrum.model.settings import ForwardSettings
from masticdrum.model.telemetry import Count, Counter
from masticdrum.platform.cachestores import CacheEventPoller
from masticdrum.platform.crashreports import CrashReportWriter
from masticdrum.platform.headers import PlatformHeaderCodec
from masticdrum.platform.members import announce
from masticdrum.platform.rollouts import list_rollout_tasks
from masticdrum.platform.settings import platform_settings
from masticdrum.platform.store import Store
from masticdrum.platform.watchers import (
    CRASHES,
    DATA_CENTRES,
    DIRECTORY,
    MEMBERS,
    UPSTREAMS,
    WEIGHTS,
    KindWatcher,
)
from masticdrum.programs.commands import (
    check_option,
    unwrap_or_exit,
)
from masticdrum.programs.forwarder import ROLE, PlatformPorts, run_forwarder
from masticdrum.shell.jsonlogging import configure_bounded_logging
from masticdrum.shell.processresources import read_limits
from masticdrum.shell.settings import load_settings, reread_settings

WATCHED = (DIRECTORY, UPSTREAMS, DATA_CENTRES, WEIGHTS, MEMBERS, CRASHES)


def follow(
    settings: ForwardSettings, ports: PlatformPorts
) -> list[Callable[[], Awaitable[None]]]:
    """Return the functions that keep the entry's view of the platform current."""

    def count_call(how: str) -> None:
        ports.meters.count(Count(Counter.PLATFORM_CALLS, how))

    store = Store(settings.store, count_call, ports.submit)
    address = settings.datagrams or ""
    member = Member(settings.name, ROLE, settings.data_centre, address)

    async def execute_calls() -> None:
        while True:
            ports.submit(await store.execute(await ports.store_calls.wait()))

    runs: list[Callable[[], Awaitable[None]]] = [
        lambda: announce(store, member, ports.read_version),
        execute_calls,
    ]
    for watched in WATCHED:
        watcher = KindWatcher(watched, store, ports.submit, Random(), ports.read_bounds)
        runs.append(watcher.run)
    if ports.rollout_calls is not None:
        runs += list_rollout_tasks(store, ports.rollout_calls, ports.submit)
    reports = ports.crash_reports
    runs.append(CrashReportWriter(store, settings.name, reports, Random()).run)
    return [*runs, CacheEventPoller(ports.submit, ports.choose_polls, count_call).run]


@click.command()
@platform_settings
@check_option
def main(settings: Path, check: bool) -> None:
    """Run a forwarding entry with the SETTINGS in a JSON file."""
    loaded = unwrap_or_exit(load_settings(settings, ForwardSettings))
    limits = unwrap_or_exit(read_limits(loaded.resources))
    if check:
        click.echo(f"{settings}: ok")
        return
    configure_bounded_logging("masticdrum-entry", loaded.name, sys.stdout.fileno())
    trio.run(
        run_forwarder,
        loaded,
        PlatformHeaderCodec(),
        partial(follow, loaded),
        partial(reread_settings, settings, ForwardSettings),
        limits,
    )


if __name__ == "__main__":
    main()
