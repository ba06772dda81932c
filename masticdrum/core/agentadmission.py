"""Connects an agent's runs to its admission control."""

from masticdrum.core.admission import Admission, Refusal
from masticdrum.core.agentstate import AgentState
from masticdrum.core.entrystate import TimerName
from masticdrum.core.run import Run
from masticdrum.core.waiting import Ticket
from masticdrum.model.agent_events import LoadReported, RunFailed

ADMISSION = "admission"
TICK_S = 0.25  # well below PAUSE_S, the gap that the cold-start gate takes for a pause
PROMPT_BYTES_PER_WORK = 40  # prefill costs less than decoding an answer's tokens
TOO_MANY_RUNS_DETAIL = "status 429"
WRONG_VERSION_DETAIL = "status 409"


def update_admission(state: AgentState, now: float) -> None:
    """Pass the time and the pool's current settings to the admission control."""
    pool = state.view.find_pool(state.options.pool)
    if not state.started:
        state.started = True
        state.admission = Admission(pool or state.admission.pool, now)
        arm_tick(state, now)
    if pool is not None:
        state.admission.configure(pool)
    state.admission.gate.observe_time(now)


def arm_tick(state: AgentState, now: float) -> None:
    """Set the periodic timer that lets the admission detect a paused process."""
    state.timers.set(TimerName(ADMISSION, ""), now + TICK_S)


def offer_run(state: AgentState, run: Run, now: float) -> list[Refusal]:
    """Queue a run; return the refusals that this causes, its own or a displaced one."""
    message = run.dispatch
    remaining = message.max_tokens - len(message.delivered)
    ticket = Ticket(
        attempt=run.attempt,
        workspace=message.workspace,
        urgency=message.urgency,
        work=max(1.0, remaining + len(message.prompt) / PROMPT_BYTES_PER_WORK),
        deadline=now + message.ttl_s,
        arrived=now,
        suspect=message.crashes > 0 or run.attempt in state.tried,
    )
    return state.admission.offer(ticket, now)


def abandon_run(state: AgentState, run: Run, now: float) -> None:
    """Drop a run that is no longer wanted, whether it waits, imports or runs."""
    if state.admission.withdraw(run.attempt):
        return
    if run.preparing:
        state.admission.release(run.attempt, now)
        return
    state.admission.abandon(run.attempt, now)


def release_failed_run(state: AgentState, event: RunFailed, now: float) -> None:
    """Release a failed run's slot in the way that the engine's response calls for.

    Status 429 means too many runs and status 409 another weight version; the run did
    not start in either case. Any other failure counts as a fault of the engine.
    """
    if event.detail == TOO_MANY_RUNS_DETAIL:
        state.admission.record_rejection(event.attempt, now)
        return
    if event.detail == WRONG_VERSION_DETAIL:
        state.admission.release(event.attempt, now)
        return
    state.admission.fail(event.attempt, now, certain=not event.ran)


def apply_load_report(state: AgentState, event: LoadReported, now: float) -> None:
    """Pass an engine's load report to the admission control."""
    state.admission.report(event.reachable, event.running, event.boot, now)
