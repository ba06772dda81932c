"""Reasons why an agent starts no new work."""

from masticdrum.core.agentstate import AgentState
from masticdrum.model.errors import ErrorKind


def find_start_refusal(state: AgentState) -> ErrorKind | None:
    """Return why this agent may start no new work now, or None if it may."""
    if state.view.serial == 0:
        return ErrorKind.TABLES_MISSING
    if state.sync.is_unconfirmed:
        return ErrorKind.TABLES_STALE
    return find_drain_reason(state)


def find_drain_reason(state: AgentState) -> ErrorKind | None:
    """Return why this agent is shutting down or draining, or None if it is neither."""
    if state.shutdown_by is not None:
        return ErrorKind.SHUTTING_DOWN
    if state.leaving:
        return ErrorKind.LEAVING
    if state.view.is_out(state.options.data_centre):
        return ErrorKind.DATA_CENTRE_OUT
    if state.view.find_upstream(state.options.pool, state.options.upstream) is None:
        return ErrorKind.LEAVING
    return None
