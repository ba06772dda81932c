"""The reducer of an agent that has no part in the data path.

It stands beside one engine, gives it its orders for new weights and announces itself.
One agent alone orders an engine; how many engines load at once is agreed by permits.
"""

from collections.abc import Sequence

from msgspec import Struct
from msgspec.structs import replace

from masticdrum.core.beliefs import BeliefBounds, Beliefs, Known, take_belief
from masticdrum.core.orders import Orders
from masticdrum.core.permits import PermitBounds, Permits
from masticdrum.model.agent_events import GiveOrder, OrderAnswered
from masticdrum.model.belief import BeliefEvent
from masticdrum.model.exchange import Leave, StopAsked, Ticked
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut
from masticdrum.model.telemetry import Count, Counter, Facts, Log, LogNumber

# Loads grow longer over 2 of 6 engines at once, 9 of 23 or 11 of 28, as operators say.
LOADING_PART = 0.4
ORDER_RETRY_S = 0.5  # after an order that failed, often as the engine was replaced
BELIEFS = BeliefBounds(revoke_s=0.0, drain_s=0.0)  # an agent sends no requests
PERMITS = PermitBounds(
    lease_s=3.0,  # an agent that died holds others up for that long and a load
    load_s=2.0,  # one and a half times the time that a load takes alone
    renew_every_s=1.0,  # twice in a lease, so that one lost write does no harm
    first_poll_s=0.2,
    longest_poll_s=0.6,  # half of a load, so that a free permit is soon seen
)


class EngineReported(Struct, frozen=True):
    """The engine's own report: the weights of each model, by version."""

    weights: dict[str, int]


AdviserEvent = (
    BeliefEvent | EngineReported | OrderAnswered | ObjectAnswer | StopAsked | Ticked
)
AdviserEffect = GiveOrder | ObjectGet | ObjectPut | Leave | Log | Count


class AdviserState:
    """What one agent knows of its engine, which serves at ``upstream``.

    ``life`` tells this life of the agent from its earlier ones.
    """

    def __init__(self, name: str, life: str, upstream: str, seed: int) -> None:
        self.name = name
        self.upstream = upstream
        self.beliefs = Beliefs(BELIEFS)
        permits = Permits(f"{name}/{life}", seed, PERMITS, kin=f"{name}/")
        self.orders = Orders(permits, ORDER_RETRY_S)
        self.weights: dict[str, int] = {}
        self.stopping = False

    def find_next_timer(self) -> float | None:
        """Return None: the process ticks."""
        return None

    def find_own(self) -> Known | None:
        """Return the newest engine registered at this agent's side, if any is."""
        beside = [
            known
            for known in self.beliefs.known.values()
            if known.upstream.address == self.upstream
        ]
        return max(beside, key=lambda known: known.upstream.born, default=None)


def reduce_adviser(
    state: AdviserState, event: AdviserEvent, now: float
) -> Sequence[AdviserEffect]:
    """Take one event at ``now``, in seconds that include time asleep."""
    effects: list[AdviserEffect] = []
    match event:
        case EngineReported():
            state.weights = event.weights
        case OrderAnswered():
            effects += _take_order_answer(state, event, now)
        case ObjectAnswer():
            state.orders.permits.take_answer(event, now)
        case StopAsked():
            state.stopping = True
            return [Leave()]
        case Ticked():
            pass
        case _:
            effects += take_belief(state.beliefs, event, now)
    return effects + _plan_orders(state, now)


def find_due(state: AdviserState) -> tuple[str, str]:
    """Return the weights that are wanted and those that are loaded, or two blanks."""
    for model, version in sorted(state.weights.items()):
        wanted = state.beliefs.weights.get(model, 0)
        if wanted > version:
            return describe_weights(model, wanted), describe_weights(model, version)
    return "", ""


def describe_weights(model: str, version: int) -> str:
    """Name a version of a model, as orders do."""
    return f"{model}@{version}"


def read_weights(target: str) -> tuple[str, int]:
    """Return the model and version of an order's target."""
    model, _, version = target.rpartition("@")
    return model, int(version)


def _plan_orders(state: AdviserState, now: float) -> list[AdviserEffect]:
    own = state.find_own()
    wanted, loaded = find_due(state)
    if state.stopping or own is None or own.upstream.leaving:
        wanted = ""
    permits = state.orders.permits
    permits.bounds = _bound_permits(state, own)
    effects: list[AdviserEffect] = []
    order = state.orders.decide(wanted, loaded, now)
    if order is not None:
        effects.append(order)
        facts: Facts = {
            "target": order.target,
            "loaded": loaded,
            "fence": order.fence,
        }
        effects.append(Log(LogNumber.ORDER_GIVEN, detail=order.order, facts=facts))
    call = permits.plan_call(now)
    if call is not None:
        effects.append(call)
    return effects


def _bound_permits(state: AdviserState, own: Known | None) -> PermitBounds:
    service = "" if own is None else own.upstream.service
    engines = len(state.beliefs.by_service.get(service, {}))
    loads = max(1, int(LOADING_PART * engines))
    if loads == state.orders.permits.bounds.loads:
        return state.orders.permits.bounds
    return replace(PERMITS, loads=loads)


def _take_order_answer(
    state: AdviserState, answer: OrderAnswered, now: float
) -> list[AdviserEffect]:
    state.orders.take_answer(answer, now)
    outcome = "done" if answer.done else "failed"
    facts: Facts = {
        "done": answer.done,
        "settled": answer.settled,
        "order": answer.order,
    }
    return [
        Log(LogNumber.ORDER_ANSWERED, detail=answer.detail, facts=facts),
        Count(Counter.ORDERS, outcome),
    ]
