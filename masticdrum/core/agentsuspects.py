"""Joins an agent's runs with the suspects of upstreams' crashes."""

from masticdrum.core.agentstate import AgentState
from masticdrum.core.occupancy import LOAD_LAG_S
from masticdrum.core.run import Run
from masticdrum.core.suspects import Verdict
from masticdrum.model.agent_events import AgentEffect, LoadReported, RunFailed
from masticdrum.model.platform import ObjectAnswer
from masticdrum.model.tables import PoolKind

SUSPECTS_CALL = "suspects "


def is_quarantined(state: AgentState, fingerprint: str) -> bool:
    """Tell whether a request crashed upstreams before and may not run again."""
    return state.suspects.judge(fingerprint) is Verdict.QUARANTINED


def park_suspect(state: AgentState, run: Run) -> bool:
    """Hold a known suspect until its trial is settled; return whether it is one."""
    fingerprint = run.dispatch.fingerprint
    if not fingerprint or state.suspects.judge(fingerprint) is not Verdict.SUSPECT:
        return False
    waiting = state.parked.setdefault(fingerprint, [])
    if not waiting and fingerprint not in state.suspects.trials:
        state.suspects.claim(fingerprint)
    waiting.append(run.attempt)
    return True


def settle_claims(
    state: AgentState, answer: ObjectAnswer, now: float
) -> tuple[list[Run], list[Run]]:
    """Take an answer in; return the runs that may start and those that may not.

    One run a trial: others with the same fingerprint have to be sent again.
    """
    admitted: list[Run] = []
    refused: list[Run] = []
    for claim in state.suspects.take_answer(answer, now):
        attempts = state.parked.pop(claim.fingerprint, [])
        runs = [state.runs[name] for name in attempts if name in state.runs]
        won = claim.fingerprint in state.suspects.trials
        if won and not runs:
            state.suspects.end_trial(claim.fingerprint, well=False)
        admitted += runs[:1] if won else []
        refused += runs[1:] if won else runs
    for run in admitted:
        state.tried[run.attempt] = run.dispatch.fingerprint
    return admitted, refused


def list_parked(state: AgentState) -> list[str]:
    """List the attempts that wait for a trial."""
    return [attempt for waiting in state.parked.values() for attempt in waiting]


def end_suspect(state: AgentState, attempt: str, well: bool) -> None:
    """Give back the trial of an attempt that is over; it may have none."""
    for waiting in state.parked.values():
        if attempt in waiting:
            waiting.remove(attempt)
    fingerprint = state.tried.pop(attempt, "")
    if fingerprint:
        state.suspects.end_trial(fingerprint, well)


def note_lost(state: AgentState, run: Run, event: RunFailed, now: float) -> None:
    """Remember a run that broke off until a report tells whether it was a crash."""
    if not event.ran or event.silent:
        end_suspect(state, run.attempt, well=False)
        return
    state.lost[run.attempt] = (run.dispatch.fingerprint, now)


def judge_report(state: AgentState, event: LoadReported, now: float) -> None:
    """Find by the engine's ``boot`` whether it crashed, and record what then ran."""
    if not event.reachable:
        return
    # An engine that carries out an order may start anew by itself.
    crashed = state.boot not in ("", event.boot) and not state.orders.order
    state.boot = event.boot
    if crashed:
        _record_crash(state)
        return
    settled = [name for name, lost in state.lost.items() if lost[1] <= now - LOAD_LAG_S]
    for attempt in settled:
        del state.lost[attempt]
        end_suspect(state, attempt, well=False)


def plan_suspects(state: AgentState, now: float) -> list[AgentEffect]:
    """Make the next call to the platform, if one is due.

    A plain service reports no crash, so its agent has nothing to tell or to ask.
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
    found = tuple(name for name in dict.fromkeys(ran) if name)
    if found:
        state.suspects.note_crash(found)
