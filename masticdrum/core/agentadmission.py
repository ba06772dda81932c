"""Joins an agent's runs with its admission."""

from masticdrum.core.admission import Admission, Refusal
from masticdrum.core.agentstate import AgentState
from masticdrum.core.entrystate import TimerName
from masticdrum.core.run import Run
from masticdrum.core.waiting import Ticket
from masticdrum.model.agent_events import LoadReported, RunFailed

ADMISSION = "admission"
TICK_S = 0.25  # well under the pause that the cold-start gate looks for
PROMPT_BYTES_PER_WORK = 40  # reading a prompt is cheaper than writing an answer
FULL = "status 429"
WRONG_VERSION = "status 409"


def update_admission(state: AgentState, now: float) -> None:
    """Give the admission the time and what the tables say now."""
    pool = state.view.find_pool(state.options.pool)
    if not state.started:
        state.started = True
        state.admission = Admission(pool or state.admission.pool, now)
        arm_tick(state, now)
    if pool is not None:
        state.admission.configure(pool)
    state.admission.gate.notice(now)


def arm_tick(state: AgentState, now: float) -> None:
    """Set the timer by which the admission sees that this process was paused."""
    state.timers.set(TimerName(ADMISSION, ""), now + TICK_S)


def offer_run(state: AgentState, run: Run, now: float) -> list[Refusal]:
    """Queue a run; return the refusals of all that lose their place by it."""
    message = run.dispatch
    left = message.max_tokens - len(message.delivered)
    ticket = Ticket(
        attempt=run.attempt,
        workspace=message.workspace,
        urgency=message.urgency,
        work=max(1.0, left + len(message.prompt) / PROMPT_BYTES_PER_WORK),
        deadline=now + message.ttl_s,
        arrived=now,
        suspect=message.crashes > 0 or run.attempt in state.tried,
    )
    return state.admission.offer(ticket, now)


def abandon_run(state: AgentState, run: Run, now: float) -> None:
    """Give up a run that nobody wants, wherever it is."""
    if state.admission.withdraw(run.attempt):
        return
    if run.preparing:
        state.admission.release(run.attempt, now)
        return
    state.admission.abandon(run.attempt, now)


def settle_failed(state: AgentState, event: RunFailed, now: float) -> None:
    """Note a run's failure, by what the engine said of it."""
    if event.detail == FULL:
        state.admission.refuse_full(event.attempt, now)
        return
    if event.detail == WRONG_VERSION:
        state.admission.release(event.attempt, now)
        return
    state.admission.fail(event.attempt, now, certain=not event.ran)


def take_report(state: AgentState, event: LoadReported, now: float) -> None:
    """Hand the engine's load report on to the admission."""
    state.admission.report(event.reachable, event.running, event.boot, now)
