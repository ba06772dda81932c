"""Drains an agent that is out of service, leaving or shutting down.

Waiting attempts are refused at once, so that their entries retry them on another agent.
Running attempts finish here. Those still running shortly before the end of a shutdown's
grace period are handed over: their entries continue them on another agent after the
tokens delivered so far.
"""

from masticdrum.core.agentcalls import refuse_waiting_calls
from masticdrum.core.agentstate import AgentState
from masticdrum.core.drainreasons import find_drain_reason
from masticdrum.core.entrystate import TimerName
from masticdrum.core.run import RunStage
from masticdrum.core.runs import fail_run, refuse_all_waiting
from masticdrum.model.agent_events import AgentEffect, CancelRun
from masticdrum.model.entry_events import Exit, ShutdownRequested
from masticdrum.model.errors import ErrorKind
from masticdrum.model.messages import Finished
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber

HAND_OVER = "shutdown hand-over"
GRACE_END = "shutdown grace end"
HAND_OVER_S = 3.0  # before the end of the grace period
HAND_OVER_SHARE = 0.3  # of the grace period instead, if it is too short for HAND_OVER_S
LINGER_S = 1.0  # for the last frames to reach their entries before the process exits


def begin_shutdown(
    state: AgentState, event: ShutdownRequested, now: float
) -> list[AgentEffect]:
    """Stop accepting work, and schedule the hand-over of running attempts."""
    if state.shutdown_by is not None:
        return []
    state.shutdown_by = now + event.grace_s
    state.linger_until = min(now + LINGER_S, state.shutdown_by)
    before_end = min(HAND_OVER_S, event.grace_s * HAND_OVER_SHARE)
    state.timers.set(TimerName(HAND_OVER, ""), state.shutdown_by - before_end)
    # This timer has no handler: it makes the reducer run, and so exit_if_done.
    state.timers.set(TimerName(GRACE_END, ""), state.shutdown_by)
    begun = Log(LogNumber.SHUTDOWN_BEGUN, detail=f"{event.grace_s} s of grace")
    return [begun, *shed_waiting(state, now)]


def hand_over(state: AgentState, now: float) -> list[AgentEffect]:
    """Fail every running attempt, so that its entry moves it to another agent."""
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
    """Refuse all waiting attempts and calls if this agent is draining."""
    kind = find_drain_reason(state)
    if kind is None:
        return []
    effects = refuse_all_waiting(state, kind, now)
    return effects + refuse_waiting_calls(state, kind, now)


def exit_if_done(state: AgentState, now: float) -> list[AgentEffect]:
    """End the process once no work is pending, or the grace period is over."""
    if state.shutdown_by is None:
        return []
    if now < state.shutdown_by and has_pending_work(state, now):
        return []
    return [Log(LogNumber.SHUTDOWN_DONE), Exit()]


def has_pending_work(state: AgentState, now: float) -> bool:
    """Return whether an entry still waits for something from this agent."""
    if state.running or state.attempts.count_running():
        return True
    if now < state.linger_until:
        return True
    return any(isinstance(run.end, Finished) for run in state.runs.values())
