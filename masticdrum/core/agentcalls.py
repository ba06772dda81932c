"""Plain service calls at an agent: who is let in, and what wakes their records."""

from masticdrum.core.agentstate import AgentState
from masticdrum.core.attempts import Gate
from masticdrum.core.entrystate import TimerName
from masticdrum.core.runs import find_refusal
from masticdrum.model.agent_events import AgentEffect, ServiceAnswered, ServiceFailed
from masticdrum.model.errors import ErrorKind
from masticdrum.model.messages import Call, Load, Settle

LATE = "calls late"
LATE_CHECK_S = 0.5


def make_gate(state: AgentState, stale: bool = False) -> Gate:
    """Return what the agent lets in now; ``stale`` is a sender that stays behind."""
    pool = state.view.find_pool(state.options.pool)
    load = Load(
        running=state.attempts.count_running(),
        queued=state.attempts.count_waiting(),
        limit=0 if pool is None else pool.max_running,
        leaving=state.leaving or state.shutdown_by is not None,
    )
    refusal = find_refusal(state, version="")
    if refusal is None and stale:
        refusal = ErrorKind.TABLES_STALE
    if pool is None:
        return Gate(refusal, 0, 0, load)
    return Gate(refusal, pool.max_running, pool.max_queued, load)


def take_call(
    state: AgentState, link: str, message: Call, now: float, stale: bool = False
) -> list[AgentEffect]:
    """Take one copy of an attempt's dispatch; its sender's tables may be stale."""
    effects = state.attempts.take_call(link, message, make_gate(state, stale), now)
    _arm(state, now)
    return effects


def take_settle(
    state: AgentState, link: str, message: Settle, now: float
) -> list[AgentEffect]:
    """Answer whether an attempt ran."""
    return state.attempts.take_settle(link, message, make_gate(state).load, now)


def take_service_event(
    state: AgentState, event: ServiceAnswered | ServiceFailed, now: float
) -> list[AgentEffect]:
    """Record what the service did."""
    gate = make_gate(state)
    if isinstance(event, ServiceAnswered):
        return state.attempts.take_answer(event, gate, now)
    return state.attempts.take_failure(event, gate, now)


def refuse_waiting_calls(
    state: AgentState, kind: ErrorKind, now: float
) -> list[AgentEffect]:
    """Refuse every call that has not started."""
    return state.attempts.refuse_waiting(kind, make_gate(state).load, now)


def refuse_late_calls(state: AgentState, now: float) -> list[AgentEffect]:
    """Refuse waiting calls whose time is up."""
    effects = state.attempts.refuse_late(make_gate(state).load, now)
    _arm(state, now)
    return effects


def _arm(state: AgentState, now: float) -> None:
    if state.attempts.count_waiting():
        state.timers.set(TimerName(LATE, ""), now + LATE_CHECK_S)
