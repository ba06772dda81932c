"""Plain service calls at an agent: admission, outcome queries and expiry."""

from masticdrum.core.agentstate import AgentState
from masticdrum.core.attempts import CallPolicy
from masticdrum.core.entrystate import TimerName
from masticdrum.core.runs import find_refusal
from masticdrum.model.agent_events import AgentEffect, ServiceAnswered, ServiceFailed
from masticdrum.model.errors import ErrorKind
from masticdrum.model.messages import Call, Load, Settle

EXPIRED_CALLS = "calls late"
EXPIRY_CHECK_S = 0.5


def make_policy(state: AgentState, stale: bool = False) -> CallPolicy:
    """Return the current admission policy for calls.

    ``stale`` means that the sender's tables are older than the agent's and stay so.
    """
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
        return CallPolicy(refusal, 0, 0, load)
    return CallPolicy(refusal, pool.max_running, pool.max_queued, load)


def handle_call(
    state: AgentState, link: str, message: Call, now: float, stale: bool = False
) -> list[AgentEffect]:
    """Handle one copy of an attempt's dispatch.

    ``stale`` means that the sender's tables are out of date.
    """
    effects = state.attempts.handle_call(link, message, make_policy(state, stale), now)
    _arm_expiry_check(state, now)
    return effects


def handle_settle(
    state: AgentState, link: str, message: Settle, now: float
) -> list[AgentEffect]:
    """Report whether an attempt ran."""
    return state.attempts.handle_settle(link, message, make_policy(state).load, now)


def handle_service_event(
    state: AgentState, event: ServiceAnswered | ServiceFailed, now: float
) -> list[AgentEffect]:
    """Record the service's answer or the call's failure."""
    policy = make_policy(state)
    if isinstance(event, ServiceAnswered):
        return state.attempts.handle_answer(event, policy, now)
    return state.attempts.handle_failure(event, policy, now)


def refuse_waiting_calls(
    state: AgentState, kind: ErrorKind, now: float
) -> list[AgentEffect]:
    """Refuse every call that has not started."""
    return state.attempts.refuse_waiting(kind, make_policy(state).load, now)


def refuse_expired_calls(state: AgentState, now: float) -> list[AgentEffect]:
    """Refuse waiting calls whose deadline has passed."""
    effects = state.attempts.refuse_expired(make_policy(state).load, now)
    _arm_expiry_check(state, now)
    return effects


def _arm_expiry_check(state: AgentState, now: float) -> None:
    if state.attempts.count_waiting():
        state.timers.set(TimerName(EXPIRED_CALLS, ""), now + EXPIRY_CHECK_S)
