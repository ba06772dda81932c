"""Checks that a request must pass before an entry starts to serve it."""

from returns.result import Failure, Result, Success

from masticdrum.core.entrystate import EntryState
from masticdrum.model.entry_events import CallRequested, CompletionRequested
from masticdrum.model.errors import ErrorKind
from masticdrum.model.tables import PoolKind, Route


def check_completion(
    state: EntryState, event: CompletionRequested
) -> Result[Route, ErrorKind]:
    """Return the route of an admitted completion, or why it is refused."""
    found = _check_route(state, event.workspace, event.route, PoolKind.ENGINE)
    return found.bind(lambda route: _check_prompt(route, event.prompt))


def check_call(state: EntryState, event: CallRequested) -> Result[Route, ErrorKind]:
    """Return the route of an admitted service call, or why it is refused."""
    found = _check_route(state, event.workspace, event.route, PoolKind.SERVICE)
    return found.bind(lambda route: _check_key(route, event.key))


def _check_route(
    state: EntryState, workspace: str, name: str, kind: PoolKind
) -> Result[Route, ErrorKind]:
    if state.view.serial == 0:
        return Failure(ErrorKind.TABLES_MISSING)
    if state.sync.is_unconfirmed:
        return Failure(ErrorKind.TABLES_STALE)
    if state.shutdown_by is not None:
        return Failure(ErrorKind.SHUTTING_DOWN)
    route = state.view.find_route(name)
    if route is None:
        return Failure(ErrorKind.ROUTE_UNKNOWN)
    pool = state.view.find_pool(route.pool)
    if pool is None or pool.kind is not kind:
        return Failure(ErrorKind.ROUTE_UNKNOWN)
    if workspace not in route.workspaces:
        return Failure(ErrorKind.ROUTE_FORBIDDEN)
    if state.open_requests.count(workspace, name) >= route.max_open:
        return Failure(ErrorKind.TOO_MANY_OPEN)
    return Success(route)


def _check_prompt(route: Route, prompt: str) -> Result[Route, ErrorKind]:
    if len(prompt.encode()) > route.max_prompt_bytes:
        return Failure(ErrorKind.PROMPT_TOO_LONG)
    return Success(route)


def _check_key(route: Route, key: str) -> Result[Route, ErrorKind]:
    if not route.idempotent and not key:
        return Failure(ErrorKind.KEY_MISSING)
    return Success(route)
