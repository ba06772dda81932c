"""Applies the list of crash suspects to an agent's runs."""

from masticdrum.core.agentstate import AgentState
from masticdrum.core.occupancy import LOAD_LAG_S
from masticdrum.core.run import Run
from masticdrum.core.suspects import SuspectStatus
from masticdrum.model.agent_events import AgentEffect, LoadReported, RunFailed
from masticdrum.model.platform import ObjectAnswer
from masticdrum.model.tables import PoolKind

SUSPECTS_CALL = "suspects "


def is_quarantined(state: AgentState, fingerprint: str) -> bool:
    """Return whether a request is quarantined for having crashed upstreams."""
    return state.suspects.get_status(fingerprint) is SuspectStatus.QUARANTINED


def park_suspect(state: AgentState, run: Run) -> bool:
    """Hold a suspect until its trial claim is resolved; return whether it is one."""
    fingerprint = run.dispatch.fingerprint
    if (
        not fingerprint
        or state.suspects.get_status(fingerprint) is not SuspectStatus.SUSPECT
    ):
        return False
    waiting = state.parked.setdefault(fingerprint, [])
    if not waiting and fingerprint not in state.suspects.trials:
        state.suspects.claim_trial(fingerprint)
    waiting.append(run.attempt)
    return True


def resolve_claims(
    state: AgentState, answer: ObjectAnswer, now: float
) -> tuple[list[Run], list[Run]]:
    """Handle an answer; return the runs that may start and those that may not.

    A trial admits one run. Others with the same fingerprint must be sent again.
    """
    admitted: list[Run] = []
    refused: list[Run] = []
    for claim in state.suspects.handle_answer(answer, now):
        attempts = state.parked.pop(claim.fingerprint, [])
        runs = [state.runs[name] for name in attempts if name in state.runs]
        granted = claim.fingerprint in state.suspects.trials
        if granted and not runs:
            state.suspects.end_trial(claim.fingerprint, succeeded=False)
        admitted += runs[:1] if granted else []
        refused += runs[1:] if granted else runs
    for run in admitted:
        state.tried[run.attempt] = run.dispatch.fingerprint
    return admitted, refused


def list_parked(state: AgentState) -> list[str]:
    """List the attempts that wait for their trial claims."""
    return [attempt for waiting in state.parked.values() for attempt in waiting]


def release_trial(state: AgentState, attempt: str, run_succeeded: bool) -> None:
    """Release the trial, if any, of an attempt that is over."""
    for waiting in state.parked.values():
        if attempt in waiting:
            waiting.remove(attempt)
    fingerprint = state.tried.pop(attempt, "")
    if fingerprint:
        state.suspects.end_trial(fingerprint, run_succeeded)


def record_lost_run(state: AgentState, run: Run, event: RunFailed, now: float) -> None:
    """Store a run that broke off until a load report shows whether it was a crash."""
    if not event.ran or event.silent:
        release_trial(state, run.attempt, run_succeeded=False)
        return
    state.lost[run.attempt] = (run.dispatch.fingerprint, now)


def detect_crash(state: AgentState, event: LoadReported, now: float) -> None:
    """Detect a crash by a changed ``boot`` of the engine, and record what then ran."""
    if not event.reachable:
        return
    # An engine that executes an order may restart without having crashed.
    crashed = state.boot not in ("", event.boot) and not state.orders.order
    state.boot = event.boot
    if crashed:
        _record_crash(state)
        return
    expired = [name for name, lost in state.lost.items() if lost[1] <= now - LOAD_LAG_S]
    for attempt in expired:
        del state.lost[attempt]
        release_trial(state, attempt, run_succeeded=False)


def plan_suspects(state: AgentState, now: float) -> list[AgentEffect]:
    """Return the next call to the platform, if one is due.

    Only engine pools report crashes, so an agent of a plain service makes no calls.
    """
    pool = state.view.find_pool(state.options.pool)
    if pool is None or pool.kind is not PoolKind.ENGINE:
        return []
    call = state.suspects.plan_call(now)
    return [] if call is None else [call]


def _record_crash(state: AgentState) -> None:
    ran = [fingerprint for fingerprint, _ in state.lost.values()]
    running = [state.runs[name] for name in sorted(state.running)]
    ran += [run.dispatch.fingerprint for run in running if not run.preparing]
    state.lost.clear()
    fingerprints = tuple(name for name in dict.fromkeys(ran) if name)
    if fingerprints:
        state.suspects.record_crash(fingerprints)
