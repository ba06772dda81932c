"""``masticdrumctl``: checks, compares and edits the tables, and shows their state."""

import sys
from pathlib import Path

import click
import trio
from returns.result import Failure, Result

from masticdrum.core.declarations import (
    POOLS_FILE,
    ROUTES_FILE,
    read_declarations,
    write_declarations,
)
from masticdrum.core.explanation import explain_request
from masticdrum.core.requesttrace import trace_request
from masticdrum.core.tablediff import list_changes
from masticdrum.core.tableedit import set_out
from masticdrum.core.tableview import TableView
from masticdrum.model.faults import Fault
from masticdrum.model.settings import CtlSettings
from masticdrum.model.tables import Tables
from masticdrum.programs.commands import exit_with_error, unwrap_or_exit
from masticdrum.programs.ctloutput import ExitCode, Output
from masticdrum.programs.ctlsession import Session, run_session
from masticdrum.programs.ctltext import (
    describe_changes,
    describe_explanation,
    describe_status,
    describe_tables,
    describe_trace,
)
from masticdrum.shell.fleet import read_hints
from masticdrum.shell.settings import load_settings, read_file

FolderType = click.Path(path_type=Path, file_okay=False, exists=True)
folder_argument = click.argument("folder", type=FolderType)
timeout_option = click.option(
    "--timeout",
    type=click.FloatRange(min=0),
    help="Seconds to wait until the edit is in force everywhere.",
)


class Context:
    """The options of the command group; settings are read only when needed."""

    def __init__(self, settings: Path, output: Output) -> None:
        self._path = settings
        self.output = output

    def load(self) -> CtlSettings:
        """Return the settings, or exit if they are invalid."""
        return unwrap_or_exit(load_settings(self._path, CtlSettings))


@click.group()
@click.option(
    "--settings",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar="MASTICDRUMCTL_SETTINGS",
    default=Path("ctl.json"),
    show_default=True,
    help="The settings file.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def main(context: click.Context, settings: Path, as_json: bool) -> None:
    """Check, compare and edit the tables, and show what is in force."""
    context.obj = Context(settings, Output(as_json))


@main.command()
@folder_argument
@click.pass_obj
def check(context: Context, folder: Path) -> None:
    """Check the declarations in FOLDER without the platform."""
    load_folder(context.output, folder)
    context.output.exit(ExitCode.DONE, f"{folder}: ok", faults=[])


@main.command()
@folder_argument
@click.pass_obj
def diff(context: Context, folder: Path) -> None:
    """Show what applying FOLDER would change, and against which serial."""
    wanted = load_folder(context.output, folder)

    async def command(session: Session) -> None:
        current = await session.read_tables()
        changes = list_changes(current, wanted)
        text = describe_changes(current, changes)
        value = {"serial": current.serial, "changes": changes}
        context.output.show(text, value)

    run_session(context.load(), context.output, command)


@main.command()
@folder_argument
@click.option("--serial", type=int, help="The serial that diff showed.")
@click.option("--yes", is_flag=True, help="Don't ask before the edit.")
@click.option(
    "--bring-back", multiple=True, help="A data centre that may return to service."
)
@timeout_option
@click.pass_obj
def apply(
    context: Context,
    folder: Path,
    serial: int | None,
    yes: bool,
    bring_back: tuple[str, ...],
    timeout: float | None,
) -> None:
    """Apply the declarations in FOLDER; safe to repeat."""
    wanted = load_folder(context.output, folder)
    settings = context.load()

    async def command(session: Session) -> None:
        current = await session.read_tables()
        session.require_bring_back(current, wanted, bring_back)
        base = serial
        if base is None:
            confirm_changes(context.output, current, wanted, yes)
            base = current.serial
        floor = await session.find_highest_serial(current)
        applied = await session.editor.replace(wanted, base, floor)
        await session.finish(applied, select_timeout(settings, timeout))

    run_session(settings, context.output, command)


@main.command()
@click.option("--folder", type=FolderType, help="Write the declarations here.")
@click.pass_obj
def show(context: Context, folder: Path | None) -> None:
    """Show the tables in force."""

    async def command(session: Session) -> None:
        tables = await session.read_tables()
        if folder is not None:
            for name, body in write_declarations(tables).items():
                (folder / name).write_bytes(body)
        context.output.show(describe_tables(tables), tables)

    run_session(context.load(), context.output, command)


@main.command()
@click.pass_obj
def status(context: Context) -> None:
    """Show each process with the serial of its tables."""

    async def command(session: Session) -> None:
        tables = await session.read_tables()
        reports = await session.query_fleet(Tables())
        behind = [row.name for row in reports if row.serial != tables.serial]
        value = {"serial": tables.serial, "processes": reports, "behind": behind}
        context.output.show(describe_status(tables, reports), value)
        if behind:
            sys.exit(ExitCode.NOT_EVERYWHERE)

    run_session(context.load(), context.output, command)


@main.command()
@click.argument("route")
@click.argument("workspace")
@click.option("--prompt", default="", help="The prompt's text.")
@click.option(
    "--prompt-file",
    type=click.Path(path_type=Path, dir_okay=False, exists=True),
    help="A file with the prompt's text.",
)
@click.pass_obj
def explain(
    context: Context, route: str, workspace: str, prompt: str, prompt_file: Path | None
) -> None:
    """Show where a request of WORKSPACE on ROUTE would go now, and why."""
    text = prompt_file.read_text() if prompt_file is not None else prompt

    async def command(session: Session) -> None:
        view = TableView(await session.read_tables())
        instances = await session.list_instances()
        reports = await session.query_fleet(Tables())
        now = trio.current_time()
        explanation = explain_request(
            view, instances, read_hints(reports, now), route, workspace, text, now
        )
        context.output.show(describe_explanation(explanation), explanation)

    run_session(context.load(), context.output, command)


@main.command()
@click.argument("request")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, dir_okay=False)
)
@click.pass_obj
def trace(context: Context, request: str, files: tuple[Path, ...]) -> None:
    """Show the trace of a REQUEST from the log FILES of several processes."""
    lines = [
        line for path in files for line in unwrap_or_exit(read_file(path)).splitlines()
    ]
    traced_lines = trace_request(request, lines)
    if not traced_lines:
        exit_with_error(
            f"no line of {', '.join(map(str, files))} names request {request!r}"
        )
    context.output.show(describe_trace(traced_lines), traced_lines)


@main.command()
@click.argument("data_centre")
@timeout_option
@click.pass_obj
def out(context: Context, data_centre: str, timeout: float | None) -> None:
    """Take DATA_CENTRE out: it gets no new work."""
    mark_data_centre(context, data_centre, True, timeout)


@main.command()
@click.argument("data_centre")
@timeout_option
@click.pass_obj
def back(context: Context, data_centre: str, timeout: float | None) -> None:
    """Bring DATA_CENTRE back into service."""
    mark_data_centre(context, data_centre, False, timeout)


def mark_data_centre(
    context: Context, data_centre: str, is_out: bool, timeout: float | None
) -> None:
    """Edit one data centre's row, regardless of the rest of the tables."""
    settings = context.load()

    def change(tables: Tables) -> Result[Tables, tuple[Fault, ...]]:
        return set_out(tables, data_centre, is_out).alt(lambda fault: (fault,))

    async def command(session: Session) -> None:
        applied = await session.editor.apply(change)
        await session.finish(applied, select_timeout(settings, timeout))

    run_session(settings, context.output, command)


def select_timeout(settings: CtlSettings, timeout: float | None) -> float:
    """Return the timeout of the command line, or else of the settings."""
    return settings.apply_timeout_s if timeout is None else timeout


def load_folder(output: Output, folder: Path) -> Tables:
    """Read and check the declarations of a folder; exit if they are invalid."""
    files = {
        name: unwrap_or_exit(read_file(folder / name))
        for name in (ROUTES_FILE, POOLS_FILE)
    }
    read = read_declarations(files)
    if isinstance(read, Failure):
        faults = [str(fault) for fault in read.failure()]
        output.exit(ExitCode.WRONG, "\n".join(faults), faults=faults)
    return read.unwrap()


def confirm_changes(output: Output, current: Tables, wanted: Tables, yes: bool) -> None:
    """Show the changes and ask for confirmation; exit if there is none."""
    output.print_progress(describe_changes(current, list_changes(current, wanted)))
    if yes:
        return
    if output.as_json or not sys.stdin.isatty():
        output.exit(ExitCode.USAGE, "pass --serial N as shown by diff, or --yes")
    click.confirm("apply this edit?", abort=True, err=True)


if __name__ == "__main__":
    main()
