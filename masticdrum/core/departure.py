"""Why an agent starts nothing new."""

from masticdrum.core.agentstate import AgentState
from masticdrum.model.errors import ErrorKind


def find_standstill(state: AgentState) -> ErrorKind | None:
    """Return why this agent starts nothing new now, or None if it may."""
    if state.view.serial == 0:
        return ErrorKind.TABLES_MISSING
    if state.sync.is_doubted:
        return ErrorKind.TABLES_STALE
    return find_departure(state)


def find_departure(state: AgentState) -> ErrorKind | None:
    """Return why this agent starts nothing new for good, or None if it does."""
    if state.shutdown_by is not None:
        return ErrorKind.SHUTTING_DOWN
    if state.leaving:
        return ErrorKind.LEAVING
    if state.view.is_out(state.options.data_centre):
        return ErrorKind.DATA_CENTRE_OUT
    if state.view.find_upstream(state.options.pool, state.options.upstream) is None:
        return ErrorKind.LEAVING
    return None
