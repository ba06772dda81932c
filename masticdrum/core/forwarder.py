"""The reducer of an entry that forwards exchanges: events in, effects out."""

from masticdrum.core.clusterstate import apply_cluster_event
from masticdrum.core.crashes import apply_crash_event, review_crashes
from masticdrum.core.exchangeclose import DEADLINE, ORIGIN, SCOPE, WEIGHTS
from masticdrum.core.exchanges import (
    abandon_exchange,
    begin_stream,
    end_attempt,
    end_exchange,
    end_origin_search,
    forward_events,
    start_exchange,
    use_origin_reply,
    use_software_record,
)
from masticdrum.core.exchangestate import ExchangeState
from masticdrum.core.gracefulstop import plan_stop
from masticdrum.core.resumption import review_versions, send_records
from masticdrum.core.rolloutcontrol import ROLLOUT, RolloutEvent, RolloutInput
from masticdrum.core.rolloutsplit import EntryView
from masticdrum.core.scopechoice import set_scope_timers
from masticdrum.core.softwarereview import (
    handle_record_answer,
    record_cluster_event,
    record_tick,
    review_software,
)
from masticdrum.core.storedprefixes import PrefixesReported, PrefixStoreLost
from masticdrum.core.weightsbound import set_timers
from masticdrum.core.withdrawal import end_divided_start, end_late_start
from masticdrum.model.cluster_events import (
    ClusterEvent,
    StoreRestored,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
    WeightsNamed,
)
from masticdrum.model.crashes import CrashReportChanged, CrashReportsListed
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import (
    AttemptEnded,
    ExchangeEffect,
    ExitProcess,
    ForwardDisconnected,
    ForwardRequested,
    StopRequested,
    StreamBegun,
    StreamEventsReceived,
    Ticked,
)
from masticdrum.model.origins import OriginQueried, OriginRecord, OriginReply
from masticdrum.model.platform import ObjectAnswer
from masticdrum.model.rollouts import RolloutGrant, RolloutsRead
from masticdrum.model.telemetry import Facts, Log, LogNumber

STOP = "stop"
ROLLOUT_TICK_S = 0.2
PeerEvent = (
    CrashReportsListed
    | CrashReportChanged
    | OriginReply
    | OriginRecord
    | OriginQueried
    | ObjectAnswer
)
ForwardEvent = (
    ForwardRequested
    | ForwardDisconnected
    | StreamBegun
    | StreamEventsReceived
    | AttemptEnded
    | StopRequested
    | Ticked
    | PrefixesReported
    | PrefixStoreLost
    | PeerEvent
    | RolloutInput
    | ClusterEvent
)


def reduce_forwarder(
    state: ExchangeState, event: ForwardEvent, now: float
) -> list[ExchangeEffect]:
    """Handle one event at ``now``, in seconds that include time asleep.

    The state changes in place; the same state, event and time give the same effects.
    """
    effects = _handle_timers(state, now)
    effects += _handle_event(state, event, now)
    effects += review_software(state, now)
    effects += _report_lease_change(state, now)
    return effects + _finish_shutdown_if_due(state, now)


def _handle_timers(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    effects: list[ExchangeEffect] = []
    for name, handle in state.timers.pop_due(now):
        if name == DEADLINE:
            effects += end_exchange(state, handle, ErrorKind.DEADLINE_EXCEEDED, now)
        if name == ORIGIN:
            effects += end_origin_search(state, handle, now)
        if name == WEIGHTS:
            effects += end_late_start(state, handle, now)
        if name == SCOPE:
            effects += end_divided_start(state, handle, now)
        if name == ROLLOUT:
            state.timers.set((ROLLOUT, 0), now + ROLLOUT_TICK_S)
            effects += _handle_rollout_event(state, Ticked(), now)
    return effects


def _handle_event(
    state: ExchangeState, event: ForwardEvent, now: float
) -> list[ExchangeEffect]:
    if isinstance(event, PeerEvent):
        return _handle_peer_event(state, event, now)
    match event:
        case StreamEventsReceived():
            return forward_events(state, event, now)
        case ForwardRequested():
            return start_exchange(state, event, now)
        case StreamBegun():
            return begin_stream(state, event, now)
        case AttemptEnded():
            return end_attempt(state, event, now)
        case ForwardDisconnected():
            return abandon_exchange(state, event, now)
        case StopRequested():
            return _begin_stop(state, event, now)
        case Ticked():
            state.cluster_state.outages.observe(now)
            record_tick(state, now)
            return [*review_crashes(state, now), *send_records(state, now)]
        case PrefixesReported() | PrefixStoreLost():
            return _handle_prefix_event(state, event, now)
        case _:
            return _handle_platform_event(state, event, now)


def _handle_peer_event(
    state: ExchangeState, event: PeerEvent, now: float
) -> list[ExchangeEffect]:
    """Handle what other processes of this system know, or want to know."""
    match event:
        case OriginReply():
            return use_origin_reply(state, event, now)
        case OriginRecord():
            state.origins.record(event.request, event.software, now)
            return []
        case OriginQueried():
            return [state.origins.answer(event, now)]
        case ObjectAnswer():
            effects = handle_record_answer(state, event, now)
            return effects + use_software_record(state, now)
        case _:
            return [*apply_crash_event(state, event, now)]


def _handle_rollout_event(
    state: ExchangeState, event: RolloutEvent, now: float
) -> list[ExchangeEffect]:
    """Tell the decisions on roll-outs of an event, if this entry takes part in them."""
    if state.rollout_driver is None:
        return []
    if isinstance(event, RolloutsRead):
        state.final_states.apply_reads(event.rollouts)
    if isinstance(event, RolloutGrant):
        state.final_states.apply_grant(event)
    return [*state.rollout_driver.handle(event, EntryView(state, now), now)]


def _handle_prefix_event(
    state: ExchangeState, event: PrefixesReported | PrefixStoreLost, now: float
) -> list[ExchangeEffect]:
    if isinstance(event, PrefixesReported):
        state.prefixes.handle_report(event, now)
    else:
        state.prefixes.handle_lost_store(event)
    return []


def _handle_platform_event(
    state: ExchangeState, event: ClusterEvent | RolloutInput, now: float
) -> list[ExchangeEffect]:
    if isinstance(event, RolloutInput):
        return _handle_rollout_event(state, event, now)
    return _handle_cluster_event(state, event, now)


def _handle_cluster_event(
    state: ExchangeState, event: ClusterEvent, now: float
) -> list[ExchangeEffect]:
    cluster_state = state.cluster_state
    index, confirmed_at = cluster_state.index, cluster_state.lease.confirmed_at
    logs = apply_cluster_event(cluster_state, event, now)
    if cluster_state.index is not index:
        set_scope_timers(state, index, confirmed_at, now)
    if isinstance(event, StoreRestored):
        state.suspicion.republish(now)
    if isinstance(event, WeightsNamed):
        set_timers(state, event.model, now)
    record_cluster_event(state, event, now)
    _forget_removed_upstreams(state, now)
    state.pauses.forget_ended(now)
    effects: list[ExchangeEffect] = [*logs]
    if isinstance(event, StoreRestored):
        effects += _handle_rollout_event(state, event, now)
    if isinstance(event, UpstreamsListed | UpstreamChanged | UpstreamGone):
        effects += review_versions(state, now)
    return effects


def _forget_removed_upstreams(state: ExchangeState, now: float) -> None:
    """Drop what is kept of upstreams that are gone."""
    known = state.cluster_state.known
    for name in [name for name in state.outlier_detectors if name not in known]:
        del state.outlier_detectors[name]
    for name in [name for name in state.heard_at if name not in known]:
        del state.heard_at[name]
    state.limits.forget_departed(known, now)


def _report_lease_change(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    leased = state.cluster_state.is_leased(now)
    if leased == state.leased:
        return []
    state.leased = leased
    number = LogNumber.LEASE_REGAINED if leased else LogNumber.LEASE_LAPSED
    left_s = round(state.cluster_state.lease.until - now, 3)
    facts = {"version": state.cluster_state.version, "lease_s": left_s}
    return [Log(number, facts={**facts})]


def _begin_stop(
    state: ExchangeState, event: StopRequested, now: float
) -> list[ExchangeEffect]:
    if state.stop is not None:
        return []
    state.stop = plan_stop(event, state.bounds.stop_linger_s, now)
    state.timers.set((STOP, 0), state.stop.accept_until)
    state.timers.set((STOP, 1), state.stop.deadline)
    detail = f"{event.grace_s} s of grace"
    facts: Facts = {
        "open": len(state.exchanges),
        "delay_s": round(event.delay_s, 3),
        "forwards_for_s": round(state.stop.forward_until - now, 3),
        "ends_in_s": round(state.stop.deadline - now, 3),
    }
    return [Log(LogNumber.SHUTDOWN_BEGUN, detail=detail, facts=facts)]


def _finish_shutdown_if_due(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    """End what is open at the end of a stop, and first the accepting of connections."""
    if state.stop is None or now < state.stop.accept_until:
        return []
    effects: list[ExchangeEffect] = []
    if not state.shutdown_done:
        # Open requests have the rest of the grace period.
        state.shutdown_done = True
        facts = {"open": len(state.exchanges)}
        effects += [Log(LogNumber.SHUTDOWN_DONE, facts={**facts}), ExitProcess()]
    if now >= state.stop.deadline:
        for handle in list(state.exchanges):
            effects += end_exchange(state, handle, ErrorKind.SHUTTING_DOWN, now)
    return effects
