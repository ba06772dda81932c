"""Connects an agent's reducer to ``TableSync``, which syncs tables over entry links."""

from masticdrum.core.agentcache import update_rules
from masticdrum.core.agentstate import AgentState
from masticdrum.core.runs import make_load_hint
from masticdrum.core.syncstep import RequestTables, SendHello, SendTables, SyncEffect
from masticdrum.core.tableview import TableView
from masticdrum.model.agent_events import AgentEffect, ReplyFrame
from masticdrum.model.entry_events import FrameReceived
from masticdrum.model.messages import TablesAsk, TablesGive, Welcome
from masticdrum.model.platform import InstancesListed, InstanceState, ObjectAnswer
from masticdrum.model.tables import Tables


def install_tables(state: AgentState, tables: Tables, now: float) -> None:
    """Install tables that the caller has confirmed."""
    state.sync.adopt(tables, now)
    _refresh_view(state, now)


def check_tables_clock(state: AgentState, now: float) -> list[AgentEffect]:
    """Start the sync, or detect that this process was frozen."""
    return _carry_out(state, state.sync.check_time(now), now)


def handle_tables_timers(state: AgentState, now: float) -> list[AgentEffect]:
    """Run the table sync's timers that are due."""
    return _carry_out(state, state.sync.handle_timers(now), now)


def handle_tables_object(
    state: AgentState, answer: ObjectAnswer, now: float
) -> list[AgentEffect]:
    """Handle the platform's answer to a read of the tables."""
    return _carry_out(state, state.sync.handle_read_answer(answer, now), now)


def handle_tables_frame(
    state: AgentState, event: FrameReceived, now: float
) -> list[AgentEffect]:
    """Handle the tables in a frame, and compare serials with the entry that sent it."""
    effects: list[SyncEffect] = []
    match event.envelope.message:
        case TablesGive(body=body):
            effects += state.sync.handle_peer_tables(event.link, body, now)
        case TablesAsk():
            effects += state.sync.handle_tables_request(event.link)
    effects += state.sync.handle_peer_serial(event.link, event.envelope.serial, now)
    return _carry_out(state, effects, now)


def apply_instances(
    state: AgentState, event: InstancesListed, now: float
) -> list[AgentEffect]:
    """Record whether this agent is listed as leaving, and the number of processes."""
    own = [row for row in event.instances if row.name == state.options.name]
    if any(row.state is InstanceState.LEAVING for row in own):
        state.leaving = True
    return _carry_out(state, state.sync.apply_instances(event.instances, now), now)


def _carry_out(
    state: AgentState, effects: list[SyncEffect], now: float
) -> list[AgentEffect]:
    _refresh_view(state, now)
    return [_translate(state, effect) for effect in effects]


def _translate(state: AgentState, effect: SyncEffect) -> AgentEffect:
    match effect:
        case SendHello():
            options = state.options
            welcome = Welcome(options.pool, options.upstream, make_load_hint(state))
            return ReplyFrame(effect.peer, welcome)
        case RequestTables():
            return ReplyFrame(effect.peer, TablesAsk())
        case SendTables():
            return ReplyFrame(effect.peer, TablesGive(effect.body))
        case _:
            return effect


def _refresh_view(state: AgentState, now: float) -> None:
    if state.sync.serial <= state.view.serial:
        return
    state.view = TableView(state.sync.tables)
    update_rules(state, now)
