"""Keeps the record of software versions in line with what an entry sees."""

from masticdrum.core.clusterstate import OUTAGE_S, REREGISTER_S
from masticdrum.core.exchangestate import ExchangeState
from masticdrum.core.resumption import review_versions
from masticdrum.model.cluster_events import (
    ClusterEvent,
    Source,
    SourceRegained,
    StoreRestored,
)
from masticdrum.model.exchange import ExchangeEffect
from masticdrum.model.platform import ObjectAnswer
from masticdrum.model.telemetry import Facts, Log, LogNumber

RECORD = "record"


def record_cluster_event(state: ExchangeState, event: ClusterEvent, now: float) -> None:
    """Request a review of the record if an event may have outdated it."""
    records = state.software_records
    changes = state.cluster_state.software.changes
    if changes != state.reviewed_changes:
        state.reviewed_changes = changes
        records.record_change(state.cluster_state.software, now)
    if isinstance(event, StoreRestored):
        records.record_restore(event.era, _find_complete_at(state, now), now)
    if not isinstance(event, SourceRegained):
        return
    if event.source is Source.UPSTREAMS and event.lost_s > OUTAGE_S:
        records.record_interruption(now)


def record_tick(state: ExchangeState, now: float) -> None:
    """Note which recorded versions no upstream runs."""
    cluster_state = state.cluster_state
    is_current = cluster_state.reads_upstreams(now)
    state.software_records.record_tick(cluster_state.software, is_current, now)


def review_software(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    """Make the call to the platform that the record needs now, if any."""
    unix_now = now + state.clock_offset
    call = state.software_records.next_call(state.cluster_state.software, now, unix_now)
    if call is not None:
        return [call]
    due_at = state.software_records.next_due
    if due_at is not None and due_at > now:
        state.timers.set((RECORD, 0), due_at)
    return []


def handle_record_answer(
    state: ExchangeState, answer: ObjectAnswer, now: float
) -> list[ExchangeEffect]:
    """Use the platform's answer to a call for the record."""
    records = state.software_records
    if not records.handle_answer(answer, now, state.cluster_state.stream_life_s):
        return []
    facts: Facts = {"complete": records.is_complete, **records.describe()}
    log = Log(LogNumber.SOFTWARE_RECORDED, detail=answer.status.value, facts=facts)
    return [log, *review_versions(state, now), *review_software(state, now)]


def _find_complete_at(state: ExchangeState, now: float) -> float:
    """Return from when on an entry knows all versions after a restore, in seconds.

    No version comes and leaves within the time for which a registration is kept. The
    other entries, and the upstreams, write again what the platform has lost.
    """
    cluster_state = state.cluster_state
    outage_s = cluster_state.compute_outage(Source.UPSTREAMS, now)
    was_complete = state.software_records.is_complete
    unregister_s = cluster_state.bounds.unregister_s
    has_stalled = state.software_records.has_stalled(now - unregister_s, now)
    if was_complete and outage_s < unregister_s and not has_stalled:
        return now + REREGISTER_S
    return now + cluster_state.stream_life_s
