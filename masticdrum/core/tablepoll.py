"""Reads the tables from the platform at an interval."""

from returns.result import Success

from masticdrum.core.agentstate import AgentState
from masticdrum.core.entrystate import EntryState, TimerName
from masticdrum.core.tablecheck import decode_tables
from masticdrum.core.tableview import TableView
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectStatus
from masticdrum.model.telemetry import Log, LogNumber

TABLES_PATH = "config/tables"
POLL = "tables poll"
POLL_EVERY_S = 1.0


def poll_tables(state: EntryState | AgentState, now: float) -> list[ObjectGet]:
    """Ask for the tables and set the timer for the next time."""
    state.timers.set(TimerName(POLL, ""), now + POLL_EVERY_S)
    return [ObjectGet(POLL, TABLES_PATH)]


def take_tables(state: EntryState | AgentState, answer: ObjectAnswer) -> list[Log]:
    """Install the tables that the platform gave, if they are newer."""
    if answer.status is not ObjectStatus.OK:
        return []
    decoded = decode_tables(answer.body)
    if not isinstance(decoded, Success):
        return [Log(LogNumber.TABLES_REJECTED, detail=str(decoded.failure()))]
    tables = decoded.unwrap()
    if tables.serial <= state.view.serial:
        return []
    state.view = TableView(tables)
    return [Log(LogNumber.TABLES_INSTALLED, detail=f"serial {tables.serial}")]
