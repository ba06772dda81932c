"""The session of one operator command with the platform and the processes."""

from collections.abc import Awaitable, Callable
from random import Random
from secrets import randbits

import click
import trio
from returns.result import Failure

from masticdrum.core.tableedit import list_returning
from masticdrum.model.platform import Instance
from masticdrum.model.settings import CtlSettings
from masticdrum.model.tables import Tables
from masticdrum.programs.commands import load_keys_or_exit
from masticdrum.programs.ctloutput import (
    EXIT_CODES,
    ExitCode,
    Output,
    describe_outcome,
)
from masticdrum.shell.fleet import Fleet, Report
from masticdrum.shell.instanceclient import InstanceClient
from masticdrum.shell.objectclient import ObjectClient
from masticdrum.shell.tableseditor import EditResult, ReadTimedOut, TablesEditor

POLL_INTERVAL_S = 0.5


class Session:
    """The clients and settings that a running command uses."""

    def __init__(
        self, settings: CtlSettings, output: Output, nursery: trio.Nursery
    ) -> None:
        self.settings = settings
        self.output = output
        self.nursery = nursery
        objects = ObjectClient(
            nursery,
            lambda answer: None,
            settings.object_api,
            timeout_s=settings.platform.call_s,
        )
        self._keys = load_keys_or_exit(settings.keys_file)
        self.editor = TablesEditor(
            objects, Random(randbits(64)), settings.edit_timeout_s
        )
        self._instances = InstanceClient(
            lambda listed: None,
            settings.instance_list,
            every_s=settings.platform.instances_every_s,
            timeout_s=settings.platform.call_s,
        )

    async def read_tables(self) -> Tables:
        """Return the tables that the platform holds; exit if they can't be read."""
        stored = await self.editor.read()
        if isinstance(stored, Failure):
            failure = stored.failure()
            if isinstance(failure, ReadTimedOut):
                self.output.exit(ExitCode.UNREACHABLE, "the platform can't be reached")
            self.output.exit(ExitCode.WRONG, f"config/tables: {failure}")
        return stored.unwrap().tables

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the instance list, or an empty tuple if it can't be read."""
        listed = await self._instances.read()
        return () if listed is None else listed.instances

    async def query_fleet(self, tables: Tables) -> list[Report]:
        """Query every process once; agents that are behind ``tables`` receive them."""
        fleet = Fleet(self.nursery, tables, self._keys)
        return await fleet.query(await self.list_instances())

    async def find_highest_serial(self, tables: Tables) -> int:
        """Return the highest serial at any process, or 0 if the platform has tables."""
        if tables.serial:
            return 0
        reports = await self.query_fleet(Tables())
        return max((report.serial or 0 for report in reports), default=0)

    async def finish(self, applied: EditResult, timeout_s: float) -> None:
        """Report the outcome of an edit and wait until it is in force everywhere."""
        faults = [str(fault) for fault in applied.faults]
        if EXIT_CODES[applied.ending] is not ExitCode.DONE:
            text = "\n".join([*faults, describe_outcome(applied)])
            self.output.exit(
                EXIT_CODES[applied.ending],
                text,
                ending=applied.ending,
                faults=faults,
                serial=applied.tables.serial,
            )
        self.output.print_progress(describe_outcome(applied))
        await self._wait_until_in_force(applied, timeout_s)

    async def _wait_until_in_force(self, applied: EditResult, timeout_s: float) -> None:
        serial = applied.tables.serial
        started_at = trio.current_time()
        last_reached = -1
        while True:
            reports = await self.query_fleet(applied.tables)
            behind = [row.name for row in reports if (row.serial or 0) < serial]
            reached = len(reports) - len(behind)
            if reached != last_reached:
                self.output.print_progress(
                    f"in force at {reached} of {len(reports)} processes"
                )
            last_reached = reached
            took_s = trio.current_time() - started_at
            if took_s >= timeout_s or (reports and not behind):
                break
            await trio.sleep(POLL_INTERVAL_S)
        values = {
            "ending": applied.ending,
            "serial": serial,
            "overtaken": applied.overtaken,
            "processes": len(reports),
            "behind": behind,
            "took_s": round(took_s, 3),
        }
        if behind or not reports:
            names = ", ".join(behind) or "the instance list is empty"
            text = f"serial {serial} is not confirmed everywhere: {names}"
            self.output.exit(ExitCode.NOT_EVERYWHERE, text, **values)
        text = f"serial {serial} is in force everywhere after {took_s:.1f} s"
        self.output.exit(ExitCode.DONE, text, **values)

    def require_bring_back(
        self, current: Tables, wanted: Tables, allowed: tuple[str, ...]
    ) -> None:
        """Exit if an edit returns a data centre to service that is not ``allowed``."""
        for name in list_returning(current, wanted):
            if name not in allowed:
                text = (
                    f"data centre '{name}' is out and would come back; "
                    f"pass --bring-back {name} to allow that"
                )
                self.output.exit(ExitCode.RETURNING, text, data_centre=name)


def run_session(
    settings: CtlSettings,
    output: Output,
    command: Callable[[Session], Awaitable[None]],
) -> None:
    """Run one command to completion."""

    async def run() -> None:
        exit_error: BaseException | None = None
        async with trio.open_nursery() as nursery:
            try:
                await command(Session(settings, output, nursery))
            except (SystemExit, click.Abort) as error:
                exit_error = error
            nursery.cancel_scope.cancel()
        if exit_error is not None:
            raise exit_error

    trio.run(run)
