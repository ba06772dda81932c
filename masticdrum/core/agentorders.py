"""Connects an agent's reducer to the orders for its upstream and their permits."""

from masticdrum.core.agentstate import AgentState
from masticdrum.model.agent_events import AgentEffect, OrderAnswered
from masticdrum.model.platform import ObjectAnswer
from masticdrum.model.tables import PoolKind

PERMITS_CALL = "permits "


def handle_permit_answer(state: AgentState, answer: ObjectAnswer, now: float) -> None:
    """Pass the platform's answer to the permits."""
    state.orders.permits.handle_answer(answer, now)


def handle_order_answer(state: AgentState, answer: OrderAnswered, now: float) -> None:
    """Pass the upstream's answer to the orders."""
    state.orders.handle_answer(answer, now)


def plan_orders(state: AgentState, now: float) -> list[AgentEffect]:
    """Order the weight version that the tables name, under a permit.

    Nothing new is ordered while this agent is draining. The call that acquires, renews
    or releases the permit is added if one is due.
    """
    effects: list[AgentEffect] = []
    pool = state.view.find_pool(state.options.pool)
    if pool is None or pool.kind is not PoolKind.ENGINE:
        return []
    stopping = state.shutdown_by is not None or state.leaving
    loaded = state.engine.version if state.engine.reachable else ""
    order = state.orders.decide("" if stopping else pool.version, loaded, now)
    if order is not None:
        effects.append(order)
    call = state.orders.permits.plan_call(now)
    if call is not None:
        effects.append(call)
    return effects
