"""Keeps an unexpected error within the task in which it is raised.

What an upstream, the platform or a peer sends can raise an error that its reader does
not expect. A nursery would end all other tasks with it, and so the process.
"""

from collections.abc import Awaitable, Callable
from traceback import format_exception

import trio

from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.shell.jsonlogging import write_event

RESTART_S = 0.5  # before a task that failed runs again
TRACED_CALLS = -4  # the innermost calls that are logged
MAX_DETAIL_CHARS = 2000  # since an error may quote what was read


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and again whenever it fails; returns when it does."""
    while True:
        try:
            await run()
        except Exception as error:
            log_failure(name, error)
        else:
            return
        await trio.sleep(RESTART_S)


def log_failure(task: str, error: Exception, request: str = "") -> None:
    """Log an error that no reader expects, with the place where it was raised."""
    facts = {"task": task}
    detail = describe_failure(error)
    write_event(Log(LogNumber.TASK_FAILED, request, detail=detail, facts={**facts}))


def describe_failure(error: Exception) -> str:
    """Return an error with its innermost calls."""
    return "".join(format_exception(error, limit=TRACED_CALLS))[-MAX_DETAIL_CHARS:]
