"""How an agent stops taking work: out of service, leaving, or shutting down.

Attempts that wait go elsewhere at once. Running ones end where they are; those that a
shutdown's grace time would cut are handed over before it is up, so that their entries
go on with them elsewhere behind the tokens delivered.
"""

from masticdrum.core.agentcalls import refuse_waiting_calls
from masticdrum.core.agentstate import AgentState
from masticdrum.core.departure import find_departure
from masticdrum.core.entrystate import TimerName
from masticdrum.core.run import RunStage
from masticdrum.core.runs import fail_run, refuse_all_waiting
from masticdrum.model.agent_events import AgentEffect, CancelRun
from masticdrum.model.entry_events import Exit, ShutdownAsked
from masticdrum.model.errors import ErrorKind
from masticdrum.model.messages import Finished
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber

HAND_OVER = "shutdown hand-over"
GRACE_END = "shutdown grace end"
HAND_OVER_S = 3.0  # before the end of the grace time
HAND_OVER_SHARE = 0.3  # of a grace time too short for that
LINGER_S = 1.0  # for the last frames to reach their entries


def begin_shutdown(
    state: AgentState, event: ShutdownAsked, now: float
) -> list[AgentEffect]:
    """Take no more work, and plan when running attempts are handed over."""
    if state.shutdown_by is not None:
        return []
    state.shutdown_by = now + event.grace_s
    state.linger_until = min(now + LINGER_S, state.shutdown_by)
    before_end = min(HAND_OVER_S, event.grace_s * HAND_OVER_SHARE)
    state.timers.set(TimerName(HAND_OVER, ""), state.shutdown_by - before_end)
    state.timers.set(TimerName(GRACE_END, ""), state.shutdown_by)
    begun = Log(LogNumber.SHUTDOWN_BEGUN, detail=f"{event.grace_s} s of grace")
    return [begun, *shed_waiting(state, now)]


def hand_over(state: AgentState, now: float) -> list[AgentEffect]:
    """Give up every running attempt, so that its entry moves it elsewhere."""
    effects: list[AgentEffect] = []
    state.linger_until = now + LINGER_S
    for attempt in sorted(state.running):
        run = state.runs[attempt]
        if run.stage is RunStage.RUNNING:
            effects.append(CancelRun(attempt))
        effects += fail_run(state, run, ErrorKind.SHUTTING_DOWN, now)
        effects.append(Count(Counter.RETRIES, "handed over"))
    return effects


def shed_waiting(state: AgentState, now: float) -> list[AgentEffect]:
    """Refuse what waits once this agent may start nothing new."""
    kind = find_departure(state)
    if kind is None:
        return []
    effects = refuse_all_waiting(state, kind, now)
    return effects + refuse_waiting_calls(state, kind, now)


def exit_if_done(state: AgentState, now: float) -> list[AgentEffect]:
    """End the process once its entries have everything, or the grace time is up."""
    if state.shutdown_by is None:
        return []
    if now < state.shutdown_by and has_duties(state, now):
        return []
    return [Log(LogNumber.SHUTDOWN_DONE), Exit()]


def has_duties(state: AgentState, now: float) -> bool:
    """Tell whether an entry still waits for something from this agent."""
    if state.running or state.attempts.count_running():
        return True
    if now < state.linger_until:
        return True
    return any(isinstance(run.end, Finished) for run in state.runs.values())
