"""One operator command against the platform and the processes."""

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
    ENDINGS,
    ExitCode,
    Output,
    describe_end,
)
from masticdrum.shell.applying import Applied, Editor, Unread
from masticdrum.shell.fleet import Fleet, Report
from masticdrum.shell.instanceclient import InstanceClient
from masticdrum.shell.objectclient import ObjectClient

ROUND_PAUSE_S = 0.5


class Session:
    """What a command needs while it runs."""

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
        self.editor = Editor(objects, Random(randbits(64)), settings.edit_timeout_s)
        self._instances = InstanceClient(
            lambda listed: None,
            settings.instance_list,
            every_s=settings.platform.instances_every_s,
            timeout_s=settings.platform.call_s,
        )

    async def read_tables(self) -> Tables:
        """Return the tables in force, or end the process."""
        stored = await self.editor.read()
        if isinstance(stored, Failure):
            failure = stored.failure()
            if isinstance(failure, Unread):
                self.output.end(ExitCode.UNREACHABLE, "the platform can't be reached")
            self.output.end(ExitCode.WRONG, f"config/tables: {failure}")
        return stored.unwrap().tables

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the instance list, empty where it gives no answer."""
        listed = await self._instances.read()
        return () if listed is None else listed.instances

    async def ask_fleet(self, tables: Tables) -> list[Report]:
        """Asks every process once which tables it has."""
        fleet = Fleet(self.nursery, tables, self._keys)
        return await fleet.ask(await self.list_instances())

    async def find_floor(self, tables: Tables) -> int:
        """Return the highest serial in force where the platform holds no tables."""
        if tables.serial:
            return 0
        reports = await self.ask_fleet(Tables())
        return max((report.serial or 0 for report in reports), default=0)

    async def finish(self, applied: Applied, timeout_s: float) -> None:
        """Report how an edit ended and wait until it is in force everywhere."""
        faults = [str(fault) for fault in applied.faults]
        if ENDINGS[applied.ending] is not ExitCode.DONE:
            text = "\n".join([*faults, describe_end(applied)])
            self.output.end(
                ENDINGS[applied.ending],
                text,
                ending=applied.ending,
                faults=faults,
                serial=applied.tables.serial,
            )
        self.output.note(describe_end(applied))
        await self._wait_in_force(applied, timeout_s)

    async def _wait_in_force(self, applied: Applied, timeout_s: float) -> None:
        serial = applied.tables.serial
        began = trio.current_time()
        told = -1
        while True:
            reports = await self.ask_fleet(applied.tables)
            behind = [row.name for row in reports if (row.serial or 0) < serial]
            reached = len(reports) - len(behind)
            if reached != told:
                self.output.note(f"in force at {reached} of {len(reports)} processes")
            told = reached
            took_s = trio.current_time() - began
            if took_s >= timeout_s or (reports and not behind):
                break
            await trio.sleep(ROUND_PAUSE_S)
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
            self.output.end(ExitCode.NOT_EVERYWHERE, text, **values)
        text = f"serial {serial} is in force everywhere after {took_s:.1f} s"
        self.output.end(ExitCode.DONE, text, **values)

    def guard_returning(
        self, current: Tables, wanted: Tables, allowed: tuple[str, ...]
    ) -> None:
        """End the process if an edit would bring a data centre back unasked."""
        for name in list_returning(current, wanted):
            if name not in allowed:
                text = (
                    f"data centre '{name}' is out and would come back; "
                    f"say --bring-back {name} if that is meant"
                )
                self.output.end(ExitCode.RETURNING, text, data_centre=name)


def run_session(
    settings: CtlSettings,
    output: Output,
    command: Callable[[Session], Awaitable[None]],
) -> None:
    """Run one command to its end."""

    async def run() -> None:
        ended: BaseException | None = None
        async with trio.open_nursery() as nursery:
            try:
                await command(Session(settings, output, nursery))
            except (SystemExit, click.Abort) as error:
                ended = error
            nursery.cancel_scope.cancel()
        if ended is not None:
            raise ended

    trio.run(run)
