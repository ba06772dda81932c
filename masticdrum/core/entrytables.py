"""An entry's tables: carries out the effects of ``TableSync`` over links to agents."""

from masticdrum.core.completions import resume_over_new_link
from masticdrum.core.entrystate import EntryState
from masticdrum.core.links import Peer
from masticdrum.core.syncstep import RequestTables, SendHello, SendTables, SyncEffect
from masticdrum.core.tableview import TableView
from masticdrum.model.entry_events import EntryEffect, SendFrame
from masticdrum.model.messages import (
    AnyMessage,
    Envelope,
    Hello,
    TablesAsk,
    TablesGive,
)
from masticdrum.model.platform import InstancesListed, InstanceState, ObjectAnswer
from masticdrum.model.tables import Tables, Upstream


def install_tables(state: EntryState, tables: Tables, now: float) -> None:
    """Install tables that the caller has confirmed to be current."""
    state.sync.adopt(tables, now)
    _refresh_view(state)


def check_tables_time(state: EntryState, now: float) -> list[EntryEffect]:
    """Start the tables' synchronisation, or detect that this process was frozen."""
    return _convert_effects(state, state.sync.check_time(now), now)


def run_tables_timers(state: EntryState, now: float) -> list[EntryEffect]:
    """Handle the due timers of the tables' synchronisation."""
    return _convert_effects(state, state.sync.handle_timers(now), now)


def handle_tables_object(
    state: EntryState, answer: ObjectAnswer, now: float
) -> list[EntryEffect]:
    """Handle the platform's answer to a read of the tables."""
    return _convert_effects(state, state.sync.handle_read_answer(answer, now), now)


def handle_tables_frame(
    state: EntryState, peer: Peer, envelope: Envelope, now: float
) -> list[EntryEffect]:
    """Handle a frame's message about tables, if any, and compare serials."""
    address = peer.upstream.agent
    effects: list[SyncEffect] = []
    match envelope.message:
        case TablesGive(body=body):
            effects += state.sync.handle_peer_tables(address, body, now)
        case TablesAsk():
            effects += state.sync.handle_tables_request(address)
    effects += state.sync.handle_peer_serial(address, envelope.serial, now)
    return _convert_effects(state, effects, now)


def handle_instances(
    state: EntryState, event: InstancesListed, now: float
) -> list[EntryEffect]:
    """Update the known and the leaving agents when the instance list has changed."""
    if event.instances == state.instances:
        return []
    state.instances = event.instances
    leaving = InstanceState.LEAVING
    state.leaving_agents = {
        row.address for row in event.instances if row.state is leaving
    }
    state.listed_agents = {
        row.address: Upstream(f"@{row.address}", row.data_centre, row.address)
        for row in event.instances
        if row.role == "agent"
    }
    _refresh_agents(state)
    effects = state.sync.apply_instances(event.instances, now)
    return _convert_effects(state, effects, now)


def _convert_effects(
    state: EntryState, effects: list[SyncEffect], now: float
) -> list[EntryEffect]:
    _refresh_view(state)
    converted: list[EntryEffect] = []
    for effect in effects:
        match effect:
            case SendHello():
                converted += _send_hello(state, effect, now)
            case RequestTables():
                converted += _send(state, effect.peer, TablesAsk())
            case SendTables():
                converted += _send(state, effect.peer, TablesGive(effect.body))
            case _:
                converted.append(effect)
    return converted


def _send_hello(state: EntryState, effect: SendHello, now: float) -> list[EntryEffect]:
    upstream = state.agents_by_address.get(effect.peer)
    if upstream is None:
        return []
    if effect.renew and state.links.find(upstream.name) is not None:
        return resume_over_new_link(state, upstream.name, now)
    return _send(state, effect.peer, Hello())


def _send(state: EntryState, address: str, message: AnyMessage) -> list[EntryEffect]:
    upstream = state.agents_by_address.get(address)
    if upstream is None:
        return []
    peer, opened = state.links.ensure_open(upstream)
    if opened and isinstance(message, Hello):
        return opened
    return [*opened, SendFrame(peer.link, message)]


def _refresh_view(state: EntryState) -> None:
    if state.sync.serial <= state.view.serial:
        return
    state.view = TableView(state.sync.tables)
    _refresh_agents(state)


def _refresh_agents(state: EntryState) -> None:
    named = {
        upstream.agent: upstream
        for pool in state.view.tables.pools
        for upstream in pool.upstreams
    }
    state.agents_by_address = state.listed_agents | named
    state.leaving_upstreams = {
        upstream.name
        for address, upstream in named.items()
        if address in state.leaving_agents
    }
