"""The agent's reducer: every event in, effects as data out."""

from masticdrum.core.agentadmission import (
    ADMISSION,
    arm_tick,
    take_report,
    update_admission,
)
from masticdrum.core.agentcache import settle_cache, take_cache_event, update_rules
from masticdrum.core.agentcalls import (
    LATE,
    refuse_late_calls,
    take_call,
    take_service_event,
    take_settle,
)
from masticdrum.core.agentdeparture import (
    HAND_OVER,
    begin_shutdown,
    exit_if_done,
    hand_over,
    shed_waiting,
)
from masticdrum.core.agentorders import (
    PERMITS_CALL,
    plan_orders,
    take_order_answer,
    take_permit_answer,
)
from masticdrum.core.agentstate import AgentState, EngineView
from masticdrum.core.agentsuspects import (
    SUSPECTS_CALL,
    is_quarantined,
    judge_report,
    plan_suspects,
    settle_claims,
)
from masticdrum.core.agenttables import (
    take_instances,
    take_tables_frame,
    take_tables_object,
    take_tables_time,
    wake_tables,
)
from masticdrum.core.entrystate import TimerName
from masticdrum.core.runs import (
    CHECK,
    DEADLINE,
    FORGET,
    admit_run,
    cancel_run,
    check_run,
    forget_run,
    pass_run_deadline,
    refuse_attempt,
    refuse_waiting,
    report_load,
    start_waiting,
    take_begun,
    take_dispatch,
    take_received,
    take_resume,
    take_run_ended,
    take_run_failed,
    take_run_tokens,
)
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
from masticdrum.model.entry_events import FrameReceived, ShutdownAsked, Woken
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


def reduce_agent(state: AgentState, event: AgentEvent, now: float) -> list[AgentEffect]:
    """Take one event at time ``now``, in seconds, and return what is to be done.

    The state changes in place. The same state, event and time always give the same
    effects.
    """
    update_admission(state, now)
    begun = take_tables_time(state, now)
    return begun + _take_event(state, event, now)


def _take_event(state: AgentState, event: AgentEvent, now: float) -> list[AgentEffect]:
    match event:
        case FrameReceived():
            effects = _take_frame(state, event, now)
        case RunBegun() | RunTokens() | RunEnded() | RunFailed():
            effects = _take_run_event(state, event, now)
        case ServiceAnswered() | ServiceFailed():
            effects = take_service_event(state, event, now)
        case LoadReported():
            effects = _take_load(state, event, now)
        case ObjectAnswer():
            effects = _take_object(state, event, now)
        case InstancesListed():
            effects = take_instances(state, event, now)
        case OrderAnswered():
            take_order_answer(state, event, now)
            effects = []
        case Woken():
            effects = _take_woken(state, now)
        case ShutdownAsked():
            effects = begin_shutdown(state, event, now)
        case _:
            effects = []
    effects += take_cache_event(state, event, now)
    effects += settle_cache(state, now)
    effects += shed_waiting(state, now)
    effects += plan_suspects(state, now)
    effects += plan_orders(state, now)
    return effects + exit_if_done(state, now)


def _take_frame(
    state: AgentState, event: FrameReceived, now: float
) -> list[AgentEffect]:
    envelope = event.envelope
    message = envelope.message
    effects = take_tables_frame(state, event, now)
    stale = state.sync.is_stale(envelope.serial, now)
    if isinstance(message, Call):
        return effects + take_call(state, event.link, message, now, stale)
    if stale and isinstance(message, Dispatch) and message.attempt not in state.runs:
        kind = ErrorKind.TABLES_STALE
        return effects + refuse_attempt(state, event.link, message.attempt, kind)
    return effects + _take_message(state, event.link, message, now)


def _take_object(
    state: AgentState, answer: ObjectAnswer, now: float
) -> list[AgentEffect]:
    if answer.call.startswith(PERMITS_CALL):
        take_permit_answer(state, answer, now)
        return []
    if answer.call.startswith(SUSPECTS_CALL):
        return _take_claims(state, answer, now)
    return take_tables_object(state, answer, now)


def _take_claims(
    state: AgentState, answer: ObjectAnswer, now: float
) -> list[AgentEffect]:
    effects: list[AgentEffect] = []
    admitted, refused = settle_claims(state, answer, now)
    for run in admitted:
        effects += admit_run(state, run, now)
    for run in refused:
        quarantined = is_quarantined(state, run.dispatch.fingerprint)
        kind = ErrorKind.QUARANTINED if quarantined else ErrorKind.QUEUE_FULL
        effects += refuse_waiting(state, run, kind, now)
    return effects


def _take_message(
    state: AgentState, link: str, message: AnyMessage, now: float
) -> list[AgentEffect]:
    match message:
        case Hello():
            options = state.options
            welcome = Welcome(options.pool, options.upstream, report_load(state))
            return [ReplyFrame(link, welcome)]
        case Dispatch():
            return take_dispatch(state, link, message, now)
        case Settle():
            return take_settle(state, link, message, now)
        case Resume():
            return take_resume(state, link, message, now)
        case Received():
            take_received(state, message, now)
            return []
        case Cancel():
            return cancel_run(state, message.attempt, now)
        case _:
            return []


def _take_run_event(
    state: AgentState, event: RunBegun | RunTokens | RunEnded | RunFailed, now: float
) -> list[AgentEffect]:
    match event:
        case RunTokens():
            return take_run_tokens(state, event, now)
        case RunBegun():
            return take_begun(state, event, now)
        case RunEnded():
            return take_run_ended(state, event, now)
        case RunFailed():
            return take_run_failed(state, event, now)


def _take_load(state: AgentState, event: LoadReported, now: float) -> list[AgentEffect]:
    state.engine = EngineView(event.reachable, event.boot, event.version, event.running)
    update_rules(state, now)
    take_report(state, event, now)
    judge_report(state, event, now)
    return start_waiting(state, now)


def _take_woken(state: AgentState, now: float) -> list[AgentEffect]:
    effects = wake_tables(state, now)
    for name in state.timers.pop_due(now):
        effects += _take_timer(state, name, now)
    return effects


def _take_timer(state: AgentState, name: TimerName, now: float) -> list[AgentEffect]:
    if name.purpose == HAND_OVER:
        return hand_over(state, now)
    if name.purpose == LATE:
        return refuse_late_calls(state, now)
    if name.purpose == ADMISSION:
        arm_tick(state, now)
        return start_waiting(state, now)
    run = state.runs.get(name.owner)
    if run is None:
        return []
    if name.purpose == CHECK:
        return check_run(state, run, now)
    if name.purpose == DEADLINE:
        return pass_run_deadline(state, run, now)
    if name.purpose == FORGET:
        forget_run(state, run)
    return []
