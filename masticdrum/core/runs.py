"""Handles a completion's attempt at an agent, from admission to its end."""

from msgspec.structs import replace

from masticdrum.core.agentadmission import abandon_run, offer_run, release_failed_run
from masticdrum.core.agentcache import begin_run, drop_ended
from masticdrum.core.agentstate import AgentState
from masticdrum.core.agentsuspects import (
    is_quarantined,
    list_parked,
    park_suspect,
    record_lost_run,
    release_trial,
)
from masticdrum.core.drainreasons import find_start_refusal
from masticdrum.core.entrystate import TimerName
from masticdrum.core.invariants import require
from masticdrum.core.run import Run, RunStage, is_urgent
from masticdrum.model.agent_events import (
    AgentEffect,
    CancelRun,
    ReplyFrame,
    ResumeRun,
    RunBegun,
    RunEnded,
    RunFailed,
    RunTokens,
)
from masticdrum.model.errors import ANSWERS, ErrorKind, Outcome
from masticdrum.model.messages import (
    Accepted,
    Dispatch,
    Failed,
    Finished,
    Load,
    Received,
    Refused,
    Resume,
    Tokens,
    Usage,
)
from masticdrum.model.telemetry import (
    Count,
    Counter,
    Histogram,
    Log,
    LogNumber,
    Observe,
)

CHECK = "run check"
FORGET = "run forget"
DEADLINE = "run deadline"


def make_load_hint(state: AgentState) -> Load:
    """Return the load hint that is sent with answers and refusals."""
    leaving = state.leaving or state.shutdown_by is not None
    load = state.admission.make_load(leaving)
    return replace(load, urgent=sum(map(is_urgent, state.runs.values())))


def find_refusal(state: AgentState, version: str) -> ErrorKind | None:
    """Return why this agent accepts no new work, or None if it does."""
    standstill = find_start_refusal(state)
    if standstill is not None:
        return standstill
    if not state.engine.reachable:
        return ErrorKind.COLD_START
    if version and version != state.engine.version:
        return ErrorKind.WRONG_VERSION
    return None


def handle_dispatch(
    state: AgentState, link: str, message: Dispatch, now: float
) -> list[AgentEffect]:
    """Admit or refuse an attempt; a repeated dispatch only resumes the known one."""
    known = state.runs.get(message.attempt)
    if known is not None:
        return handle_resume(
            state, link, Resume(message.attempt, known.unacked_from), now
        )
    refusal = find_refusal(state, message.version)
    if refusal is None and is_quarantined(state, message.fingerprint):
        refusal = ErrorKind.QUARANTINED
    if refusal is not None:
        return refuse_attempt(state, link, message.attempt, refusal)
    run = Run(message, link, now, now, len(message.delivered), last_sent_at=now)
    state.runs[run.attempt] = run
    if not park_suspect(state, run):
        return admit_run(state, run, now)
    _arm_run(state, run, now)
    return [ReplyFrame(link, Accepted(run.attempt, run.version, make_load_hint(state)))]


def admit_run(state: AgentState, run: Run, now: float) -> list[AgentEffect]:
    """Queue a run, and start the waiting runs that the limits allow."""
    displaced: list[AgentEffect] = []
    for refusal in offer_run(state, run, now):
        dropped = state.runs[refusal.attempt]
        displaced += refuse_waiting(
            state, dropped, refusal.kind, now, refusal.retry_after_s
        )
    if run.stage is not RunStage.WAITING:
        return displaced
    _arm_run(state, run, now)
    accepted = Accepted(run.attempt, run.version, make_load_hint(state))
    started = start_waiting(state, now)
    return [*displaced, ReplyFrame(run.link, accepted), *started]


def refuse_waiting(
    state: AgentState, run: Run, kind: ErrorKind, now: float, retry_after_s: float = 0.0
) -> list[AgentEffect]:
    """Refuse an attempt that has not started yet."""
    state.admission.withdraw(run.attempt)
    release_trial(state, run.attempt, run_succeeded=False)
    hint = max(retry_after_s, ANSWERS[kind].retry_after_s)
    refused = Refused(run.attempt, kind, hint, make_load_hint(state))
    counted = Count(Counter.REFUSALS, kind.value)
    return [*_end(state, run, refused, now), counted]


def start_waiting(state: AgentState, now: float) -> list[AgentEffect]:
    """Start as many waiting attempts as the upstream's limits allow."""
    effects: list[AgentEffect] = []
    for ticket in state.admission.start_ready(now):
        effects += _start(state, state.runs[ticket.attempt], now)
    return effects


def handle_resume(
    state: AgentState, link: str, message: Resume, now: float
) -> list[AgentEffect]:
    """Send an attempt's tokens from a sequence number on over the requesting link."""
    run = state.runs.get(message.attempt)
    if run is None:
        return [ReplyFrame(link, _make_unknown_outcome(state, message.attempt))]
    run.link = link
    run.last_received_at = now
    run.last_sent_at = now
    if message.first < run.unacked_from:
        return [ReplyFrame(link, _make_unknown_outcome(state, message.attempt))]
    if run.stage is RunStage.WAITING:
        accepted = Accepted(run.attempt, run.version, make_load_hint(state))
        return [ReplyFrame(link, accepted)]
    effects: list[AgentEffect] = []
    missing = run.unacked[message.first - run.unacked_from :]
    if missing:
        effects.append(
            ReplyFrame(link, Tokens(run.attempt, message.first, missing, run.version))
        )
    if run.end is not None:
        effects.append(ReplyFrame(link, run.end))
    if not effects:
        accepted = Accepted(run.attempt, run.version, make_load_hint(state))
        effects.append(ReplyFrame(link, accepted))
    return effects


def handle_received(state: AgentState, message: Received, now: float) -> None:
    """Drop the tokens that the entry acknowledges, and the attempt after the last."""
    run = state.runs.get(message.attempt)
    if run is None:
        return
    run.last_received_at = now
    if message.count > run.unacked_from:
        del run.unacked[: message.count - run.unacked_from]
        run.unacked_from = message.count
    if isinstance(run.end, Finished) and message.count >= run.end.count:
        _forget(state, run)


def cancel_run(state: AgentState, attempt: str, now: float) -> list[AgentEffect]:
    """Cancel an attempt that is no longer wanted, and drop its record."""
    run = state.runs.get(attempt)
    if run is None:
        return []
    effects: list[AgentEffect] = []
    if run.stage is RunStage.RUNNING:
        effects.append(CancelRun(attempt))
    effects.append(Log(LogNumber.RUN_CANCELLED, attempt=attempt))
    if run.stage is not RunStage.ENDED:
        abandon_run(state, run, now)
        release_trial(state, attempt, run_succeeded=False)
    state.running.discard(attempt)
    _forget(state, run)
    return effects + start_waiting(state, now)


def handle_run_begun(
    state: AgentState, event: RunBegun, now: float
) -> list[AgentEffect]:
    """Record the weight version of a run and how much of its prompt was cached."""
    run = state.runs.get(event.attempt)
    if run is None or run.stage is not RunStage.RUNNING:
        return []
    require(
        not run.dispatch.version or run.dispatch.version == event.version,
        f"attempt '{run.attempt}' must run on version '{run.dispatch.version}'",
    )
    state.admission.begin(run.attempt, now)
    run.version = event.version
    run.last_sent_at = now
    imported = run.usage.imported
    run.usage = Usage(
        prompt_blocks=len(run.blocks),
        cached=max(0, event.cached - imported),
        imported=imported,
        recomputed=event.recomputed,
        link_bytes=run.usage.link_bytes,
    )
    accepted = Accepted(run.attempt, run.version, make_load_hint(state))
    return [ReplyFrame(run.link, accepted)]


def handle_run_tokens(
    state: AgentState, event: RunTokens, now: float
) -> list[AgentEffect]:
    """Forward the new tokens; keep them until they are acknowledged.

    Tokens that were received before are skipped. After a gap, the run is resumed from
    the first missing token.
    """
    run = state.runs.get(event.attempt)
    if run is None or run.stage is not RunStage.RUNNING:
        return []
    if event.first > run.count:
        return [ResumeRun(run.attempt, run.count)]
    fresh = list(event.tokens[run.count - event.first :])
    if not fresh:
        return []
    state.admission.progress(run.attempt, len(fresh), now)
    first = run.count
    run.unacked += fresh
    run.digest.add(fresh)
    run.resumes = 0
    run.last_sent_at = now
    return [ReplyFrame(run.link, Tokens(run.attempt, first, fresh, run.version))]


def handle_run_ended(
    state: AgentState, event: RunEnded, now: float
) -> list[AgentEffect]:
    """Report the complete answer to the entry, and start waiting runs."""
    run = state.runs.get(event.attempt)
    if run is None or run.stage is not RunStage.RUNNING:
        return []
    state.running.discard(run.attempt)
    state.admission.end(run.attempt, now)
    release_trial(state, run.attempt, run_succeeded=True)
    end = Finished(
        attempt=run.attempt,
        count=run.count,
        digest=run.digest.read(),
        reason=event.reason,
        usage=run.usage,
        load=make_load_hint(state),
    )
    logged = Log(LogNumber.RUN_FINISHED, attempt=run.attempt)
    return [*_end(state, run, end, now), logged, *start_waiting(state, now)]


def handle_run_failed(
    state: AgentState, event: RunFailed, now: float
) -> list[AgentEffect]:
    """Resume a silent run over a new connection, or report the failure to the entry."""
    run = state.runs.get(event.attempt)
    if run is None or run.stage is not RunStage.RUNNING:
        return []
    if event.silent and run.resumes < state.options.max_resumes:
        run.resumes += 1
        return [
            ResumeRun(run.attempt, run.count),
            Count(Counter.RETRIES, "engine silent"),
        ]
    state.running.discard(run.attempt)
    release_failed_run(state, event, now)
    record_lost_run(state, run, event, now)
    outcome = Outcome.UNKNOWN if event.ran else Outcome.NOT_RUN
    kind, load = ErrorKind.UPSTREAM_FAILED, make_load_hint(state)
    broken = event.ran and not event.silent
    end = Failed(run.attempt, kind, outcome, load, broken)
    logged = Log(LogNumber.RUN_FAILED, attempt=run.attempt, detail=event.detail)
    return [*_end(state, run, end, now), logged, *start_waiting(state, now)]


def fail_run(
    state: AgentState, run: Run, kind: ErrorKind, now: float
) -> list[AgentEffect]:
    """End a running attempt whose answer is incomplete."""
    abandon_run(state, run, now)
    release_trial(state, run.attempt, run_succeeded=False)
    state.running.discard(run.attempt)
    end = Failed(run.attempt, kind, Outcome.UNKNOWN, make_load_hint(state))
    logged = Log(LogNumber.RUN_FAILED, attempt=run.attempt, detail=kind.value)
    return [*_end(state, run, end, now), logged]


def check_run(state: AgentState, run: Run, now: float) -> list[AgentEffect]:
    """Send a keepalive for a quiet attempt, or cancel it if its entry is silent."""
    if run.end is not None:
        return []
    if now - run.last_received_at >= state.options.orphan_s:
        return cancel_run(state, run.attempt, now)
    _arm_check(state, run, now)
    if now - run.last_sent_at < state.options.keepalive_s:
        return []
    run.last_sent_at = now
    accepted = Accepted(run.attempt, run.version, make_load_hint(state))
    return [ReplyFrame(run.link, accepted)]


def handle_run_deadline(state: AgentState, run: Run, now: float) -> list[AgentEffect]:
    """Refuse a waiting attempt at its deadline; its entry ends a running one."""
    if run.stage is not RunStage.WAITING:
        return []
    return refuse_waiting(state, run, ErrorKind.DEADLINE_EXCEEDED, now)


def refuse_all_waiting(
    state: AgentState, kind: ErrorKind, now: float
) -> list[AgentEffect]:
    """Refuse every attempt that has not started, so that entries can retry it."""
    effects: list[AgentEffect] = []
    for attempt in state.admission.list_waiting() + list_parked(state):
        effects += refuse_waiting(state, state.runs[attempt], kind, now)
    return effects


def forget_run(state: AgentState, run: Run) -> None:
    """Drop an ended attempt that its entry has not resumed in time."""
    if run.stage is RunStage.ENDED:
        _forget(state, run)


def _start(state: AgentState, run: Run, now: float) -> list[AgentEffect]:
    run.stage = RunStage.RUNNING
    run.started_at = now
    state.running.add(run.attempt)
    pool = state.view.find_pool(state.options.pool)
    require(
        pool is not None and len(state.running) <= pool.max_running,
        f"upstream '{state.options.upstream}' must not exceed its limit of runs",
    )
    message = run.dispatch
    waited = now - run.arrived_at
    return [
        *begin_run(state, run, now),
        Observe(Histogram.QUEUE_WAIT, waited, message.urgency.value),
        Log(LogNumber.RUN_STARTED, request=message.request, attempt=run.attempt),
    ]


def refuse_attempt(
    state: AgentState, link: str, attempt: str, kind: ErrorKind
) -> list[AgentEffect]:
    """Refuse an attempt without keeping a record of it."""
    hint = ANSWERS[kind].retry_after_s
    refused = Refused(attempt, kind, hint, make_load_hint(state))
    return [ReplyFrame(link, refused), Count(Counter.REFUSALS, kind.value)]


def _end(
    state: AgentState, run: Run, end: Finished | Failed | Refused, now: float
) -> list[AgentEffect]:
    run.stage = RunStage.ENDED
    run.preparing = False
    run.end = end
    drop_ended(state, run.attempt)
    state.timers.clear(TimerName(CHECK, run.attempt))
    state.timers.clear(TimerName(DEADLINE, run.attempt))
    state.timers.set(TimerName(FORGET, run.attempt), now + state.options.forget_s)
    return [ReplyFrame(run.link, end)]


def _forget(state: AgentState, run: Run) -> None:
    for purpose in (CHECK, DEADLINE, FORGET):
        state.timers.clear(TimerName(purpose, run.attempt))
    state.runs.pop(run.attempt, None)
    drop_ended(state, run.attempt)


def _make_unknown_outcome(state: AgentState, attempt: str) -> Failed:
    return Failed(
        attempt, ErrorKind.UPSTREAM_FAILED, Outcome.UNKNOWN, make_load_hint(state)
    )


def _arm_run(state: AgentState, run: Run, now: float) -> None:
    deadline = run.arrived_at + run.dispatch.ttl_s
    state.timers.set(TimerName(DEADLINE, run.attempt), deadline)
    _arm_check(state, run, now)


def _arm_check(state: AgentState, run: Run, now: float) -> None:
    name = TimerName(CHECK, run.attempt)
    state.timers.set(name, now + state.options.keepalive_s)
