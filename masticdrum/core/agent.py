"""The agent's reducer: handles each event and returns effects as data."""

from masticdrum.core.agentadmission import (
    ADMISSION,
    apply_load_report,
    arm_tick,
    update_admission,
)
from masticdrum.core.agentcache import advance_cache, handle_cache_event, update_rules
from masticdrum.core.agentcalls import (
    EXPIRED_CALLS,
    handle_call,
    handle_service_event,
    handle_settle,
    refuse_expired_calls,
)
from masticdrum.core.agentdraining import (
    HAND_OVER,
    begin_shutdown,
    exit_if_done,
    hand_over,
    shed_waiting,
)
from masticdrum.core.agentorders import (
    PERMITS_CALL,
    handle_order_answer,
    handle_permit_answer,
    plan_orders,
)
from masticdrum.core.agentstate import AgentState, EngineView
from masticdrum.core.agentsuspects import (
    SUSPECTS_CALL,
    detect_crash,
    is_quarantined,
    plan_suspects,
    resolve_claims,
)
from masticdrum.core.agenttables import (
    apply_instances,
    check_tables_clock,
    handle_tables_frame,
    handle_tables_object,
    handle_tables_timers,
)
from masticdrum.core.entrystate import TimerName
from masticdrum.core.permits import PERMITS_PATH
from masticdrum.core.runs import (
    CHECK,
    DEADLINE,
    FORGET,
    admit_run,
    cancel_run,
    check_run,
    forget_run,
    handle_dispatch,
    handle_received,
    handle_resume,
    handle_run_begun,
    handle_run_deadline,
    handle_run_ended,
    handle_run_failed,
    handle_run_tokens,
    make_load_hint,
    refuse_attempt,
    refuse_waiting,
    start_waiting,
)
from masticdrum.core.suspects import SUSPECTS_PATH
from masticdrum.model.agent_events import (
    AgentEffect,
    AgentEvent,
    LoadReported,
    OrderAnswered,
    ReplyFrame,
    RunBegun,
    RunEnded,
    RunFailed,
    RunTokens,
    ServiceAnswered,
    ServiceFailed,
)
from masticdrum.model.entry_events import FrameReceived, ShutdownRequested, TimerExpired
from masticdrum.model.errors import ErrorKind
from masticdrum.model.messages import (
    AnyMessage,
    Call,
    Cancel,
    Dispatch,
    Hello,
    Received,
    Resume,
    Settle,
    Welcome,
)
from masticdrum.model.platform import InstancesListed, ObjectAnswer
from masticdrum.model.telemetry import Log, LogNumber


def reduce_agent(state: AgentState, event: AgentEvent, now: float) -> list[AgentEffect]:
    """Handle one event at time ``now``, in seconds, and return its effects.

    The state changes in place. The same state, event and time always give the same
    effects.
    """
    update_admission(state, now)
    tables_effects = check_tables_clock(state, now)
    return tables_effects + _handle_event(state, event, now)


def _handle_event(
    state: AgentState, event: AgentEvent, now: float
) -> list[AgentEffect]:
    match event:
        case FrameReceived():
            effects = _handle_frame(state, event, now)
        case RunBegun() | RunTokens() | RunEnded() | RunFailed():
            effects = _handle_run_event(state, event, now)
        case ServiceAnswered() | ServiceFailed():
            effects = handle_service_event(state, event, now)
        case LoadReported():
            effects = _handle_load_report(state, event, now)
        case ObjectAnswer():
            effects = _handle_object(state, event, now)
        case InstancesListed():
            effects = apply_instances(state, event, now)
        case OrderAnswered():
            handle_order_answer(state, event, now)
            effects = []
        case TimerExpired():
            effects = _handle_due_timers(state, now)
        case ShutdownRequested():
            effects = begin_shutdown(state, event, now)
        case _:
            effects = []
    effects += handle_cache_event(state, event, now)
    effects += advance_cache(state, now)
    effects += shed_waiting(state, now)
    effects += plan_suspects(state, now)
    effects += plan_orders(state, now)
    return effects + exit_if_done(state, now)


def _handle_frame(
    state: AgentState, event: FrameReceived, now: float
) -> list[AgentEffect]:
    envelope = event.envelope
    message = envelope.message
    effects = handle_tables_frame(state, event, now)
    stale = state.sync.is_stale(envelope.serial, now)
    if isinstance(message, Call):
        return effects + handle_call(state, event.link, message, now, stale)
    if stale and isinstance(message, Dispatch) and message.attempt not in state.runs:
        kind = ErrorKind.TABLES_STALE
        return effects + refuse_attempt(state, event.link, message.attempt, kind)
    return effects + _handle_message(state, event.link, message, now)


def _handle_object(
    state: AgentState, answer: ObjectAnswer, now: float
) -> list[AgentEffect]:
    if answer.call.startswith(PERMITS_CALL):
        permits, before = state.orders.permits, state.orders.permits.fault
        handle_permit_answer(state, answer, now)
        return _report_fault(PERMITS_PATH, before, permits.fault)
    if answer.call.startswith(SUSPECTS_CALL):
        before = state.suspects.fault
        effects = _resolve_claims(state, answer, now)
        return effects + _report_fault(SUSPECTS_PATH, before, state.suspects.fault)
    return handle_tables_object(state, answer, now)


def _report_fault(path: str, before: str, fault: str) -> list[AgentEffect]:
    """Log why an object can't be decoded, if that is new."""
    if fault in ("", before):
        return []
    return [Log(LogNumber.OBJECT_UNREADABLE, detail=fault, facts={"object": path})]


def _resolve_claims(
    state: AgentState, answer: ObjectAnswer, now: float
) -> list[AgentEffect]:
    effects: list[AgentEffect] = []
    admitted, refused = resolve_claims(state, answer, now)
    for run in admitted:
        effects += admit_run(state, run, now)
    for run in refused:
        quarantined = is_quarantined(state, run.dispatch.fingerprint)
        kind = ErrorKind.QUARANTINED if quarantined else ErrorKind.QUEUE_FULL
        effects += refuse_waiting(state, run, kind, now)
    return effects


def _handle_message(
    state: AgentState, link: str, message: AnyMessage, now: float
) -> list[AgentEffect]:
    match message:
        case Hello():
            options = state.options
            welcome = Welcome(options.pool, options.upstream, make_load_hint(state))
            return [ReplyFrame(link, welcome)]
        case Dispatch():
            return handle_dispatch(state, link, message, now)
        case Settle():
            return handle_settle(state, link, message, now)
        case Resume():
            return handle_resume(state, link, message, now)
        case Received():
            handle_received(state, message, now)
            return []
        case Cancel():
            return cancel_run(state, message.attempt, now)
        case _:
            return []


def _handle_run_event(
    state: AgentState, event: RunBegun | RunTokens | RunEnded | RunFailed, now: float
) -> list[AgentEffect]:
    match event:
        case RunTokens():
            return handle_run_tokens(state, event, now)
        case RunBegun():
            return handle_run_begun(state, event, now)
        case RunEnded():
            return handle_run_ended(state, event, now)
        case RunFailed():
            return handle_run_failed(state, event, now)


def _handle_load_report(
    state: AgentState, event: LoadReported, now: float
) -> list[AgentEffect]:
    state.engine = EngineView(event.reachable, event.boot, event.version, event.running)
    update_rules(state, now)
    apply_load_report(state, event, now)
    detect_crash(state, event, now)
    return start_waiting(state, now)


def _handle_due_timers(state: AgentState, now: float) -> list[AgentEffect]:
    effects = handle_tables_timers(state, now)
    for name in state.timers.pop_due(now):
        effects += _handle_timer(state, name, now)
    return effects


def _handle_timer(state: AgentState, name: TimerName, now: float) -> list[AgentEffect]:
    if name.purpose == HAND_OVER:
        return hand_over(state, now)
    if name.purpose == EXPIRED_CALLS:
        return refuse_expired_calls(state, now)
    if name.purpose == ADMISSION:
        arm_tick(state, now)
        return start_waiting(state, now)
    run = state.runs.get(name.owner)
    if run is None:
        return []
    if name.purpose == CHECK:
        return check_run(state, run, now)
    if name.purpose == DEADLINE:
        return handle_run_deadline(state, run, now)
    if name.purpose == FORGET:
        forget_run(state, run)
    return []
