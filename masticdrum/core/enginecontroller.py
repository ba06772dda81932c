"""The reducer of an engine controller: an agent outside the data path.

It runs beside one engine and orders the engine to load new weights. No other agent
orders that engine; permits limit how many engines load at once. For entries it keeps at
which version of the engines' software streams began.
"""

from collections.abc import Sequence

from msgspec import Struct
from msgspec.structs import replace

from masticdrum.core.clusterstate import (
    ClusterBounds,
    ClusterState,
    KnownUpstream,
    apply_cluster_event,
)
from masticdrum.core.ordercopies import EngineRun, OrderCopies
from masticdrum.core.orders import Orders
from masticdrum.core.permits import PERMITS_PATH, Lease, PermitBounds, Permits
from masticdrum.core.streamorigins import StreamOrigins
from masticdrum.model.agent_events import (
    ExtendOrder,
    IssueOrder,
    OrderAnswered,
    WithdrawOrder,
)
from masticdrum.model.cluster_events import ClusterEvent, Source, StoreRestored
from masticdrum.model.exchange import ExitProcess, StopRequested, Ticked
from masticdrum.model.origins import (
    OriginQueried,
    OriginRecord,
    SendOriginReply,
)
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut
from masticdrum.model.telemetry import Count, Counter, Facts, Log, LogNumber

# Loads take longer with more than 2 of 6 engines, 9 of 23 or 11 of 28 loading at once,
# as operators report.
MAX_LOADING_FRACTION = 0.4
MAX_VERSION_DIGITS = 19  # of a target that another writer may have named
ORDER_RETRY_S = 0.5  # after a failed order, often since the engine was replaced
CLUSTER_BOUNDS = ClusterBounds(revoke_s=0.0, drain_s=0.0)  # an agent sends no requests
PERMIT_BOUNDS = PermitBounds(
    lease_s=3.0,  # a dead agent blocks others for this time and a load
    load_s=2.0,  # 1.5 times as long as a load takes by itself
    renew_every_s=1.0,  # twice in a lease, so that one lost write is harmless
    min_poll_s=0.2,
    max_poll_s=0.6,  # half a load, so that a free permit is noticed soon
)


class EngineReported(Struct, frozen=True):
    """The engine's report: the loaded version of each model's weights.

    ``born`` identifies the engine's run and is zero if the engine doesn't tell.
    """

    weights: dict[str, int]
    born: int = 0


EngineControllerEvent = (
    ClusterEvent
    | EngineReported
    | OrderAnswered
    | ObjectAnswer
    | OriginQueried
    | OriginRecord
    | StopRequested
    | Ticked
)
EngineControllerEffect = (
    IssueOrder
    | ExtendOrder
    | WithdrawOrder
    | ObjectGet
    | ObjectPut
    | SendOriginReply
    | ExitProcess
    | Log
    | Count
)


class EngineControllerState:
    """What one engine controller knows of its engine, which serves at ``upstream``.

    ``incarnation`` distinguishes this process from its earlier ones. ``ordered_run`` is
    the run of the engine to which the last order was given, ``withdrawn`` the last
    order that newer weights replaced.
    """

    def __init__(self, name: str, incarnation: str, upstream: str, seed: int) -> None:
        self.name = name
        self.upstream = upstream
        self.cluster_state = ClusterState(CLUSTER_BOUNDS)
        permits = Permits(
            f"{name}/{incarnation}",
            seed,
            PERMIT_BOUNDS,
            holder_prefix=f"{name}/",
            is_loaded=self._is_loaded,
        )
        self.orders = Orders(permits, ORDER_RETRY_S)
        self.copies = OrderCopies()
        self.ordered_run = EngineRun("", 0)
        self.withdrawn = ""
        self.extended_until = 0.0
        self.born = 0
        self.origins = StreamOrigins()
        self.weights: dict[str, int] = {}
        self.stopping = False

    def find_next_timer(self) -> float | None:
        """Return None: the process submits ticks instead."""
        return None

    def has_work(self) -> bool:
        """Return whether the engine needs orders, or its weights aren't known yet."""
        wanted, _ = find_outdated_weights(self)
        if not self.weights or wanted or self.orders.order:
            return True
        return not self.orders.permits.is_idle

    def _is_loaded(self, lease: Lease) -> bool:
        """Return whether a lease's engine is registered with its target, or newer.

        A registration of a run before that of the lease says nothing of it.
        """
        known = self.cluster_state.known.get(lease.engine)
        if known is None or known.upstream.born < lease.born:
            return False
        model, _, version = lease.target.rpartition("@")
        if not version.isdecimal() or len(version) > MAX_VERSION_DIGITS:
            return False
        return known.upstream.weights.get(model, 0) >= int(version)

    def find_own_engine(self) -> KnownUpstream | None:
        """Return the engine registered at ``upstream``, if there is one.

        Another writer may name the address too. What the engine itself says decides
        first: when it was born, then which models it has; then the newest is taken.
        """

        def rank(known: KnownUpstream) -> tuple[bool, bool, int]:
            upstream = known.upstream
            is_same_run = self.born != 0 and upstream.born == self.born
            return (
                is_same_run,
                self.weights.keys() <= set(upstream.weights),
                upstream.born,
            )

        registered = [
            known
            for known in self.cluster_state.known.values()
            if known.upstream.address == self.upstream
        ]
        return max(registered, key=rank, default=None)


def reduce_engine_controller(
    state: EngineControllerState, event: EngineControllerEvent, now: float
) -> Sequence[EngineControllerEffect]:
    """Handle one event at ``now``, in seconds that include time asleep."""
    if isinstance(event, OriginRecord):
        state.origins.record(event.request, event.software, now)
        return []
    if isinstance(event, OriginQueried):
        return [state.origins.answer(event, now)]
    effects: list[EngineControllerEffect] = []
    match event:
        case EngineReported():
            state.weights = event.weights
            state.born = event.born
        case OrderAnswered():
            effects += _handle_order_answer(state, event, now)
        case ObjectAnswer():
            effects += _handle_permit_answer(state, event, now)
        case StoreRestored():
            state.orders.permits.record_era(event.era, now)
            effects += apply_cluster_event(state.cluster_state, event, now)
        case StopRequested():
            state.stopping = True
            return [ExitProcess()]
        case Ticked():
            pass
        case _:
            effects += apply_cluster_event(state.cluster_state, event, now)
    return effects + _plan_orders(state, now)


def find_outdated_weights(state: EngineControllerState) -> tuple[str, str]:
    """Return the wanted and the loaded weights, or two empty strings if they agree."""
    for model, version in sorted(state.weights.items()):
        wanted = state.cluster_state.weights.get(model, 0)
        if wanted > version:
            return describe_weights(model, wanted), describe_weights(model, version)
    return "", ""


def describe_weights(model: str, version: int) -> str:
    """Return a model's weight version as orders name it."""
    return f"{model}@{version}"


def read_weights(target: str) -> tuple[str, int]:
    """Return the model and version of an order's target."""
    model, _, version = target.rpartition("@")
    return model, int(version)


def _is_loaded(state: EngineControllerState, target: str) -> bool:
    model, version = read_weights(target)
    return state.weights.get(model, 0) >= version


def _plan_orders(
    state: EngineControllerState, now: float
) -> list[EngineControllerEffect]:
    own = state.find_own_engine()
    wanted, loaded = find_outdated_weights(state)
    run = _find_orderable_run(state, own, now)
    if state.stopping or run is None:
        wanted = ""
    permits = state.orders.permits
    permits.bounds = _compute_permit_bounds(state, own)
    if run is not None and not state.orders.order:
        permits.engine, permits.born = run.name, run.born
    effects: list[EngineControllerEffect] = []
    if state.orders.unconfirmed and _is_loaded(state, state.orders.target):
        state.orders.confirm()
    order = state.orders.decide(wanted, loaded, now)
    if order is not None and run is not None:
        state.ordered_run = run
        state.extended_until = order.not_after
        effects.append(order)
        facts: Facts = {
            "target": order.target,
            "loaded": loaded,
            "fence": order.fence,
        }
        effects.append(Log(LogNumber.ORDER_GIVEN, detail=order.order, facts=facts))
    effects += _withdraw_replaced_order(state)
    effects += _extend_order(state, now)
    call = permits.plan_call(now)
    if call is not None:
        effects.append(call)
    return effects


def _extend_order(state: EngineControllerState, now: float) -> list[ExtendOrder]:
    """Return the effect that lets an open order be repeated under a renewed lease."""
    orders, permits = state.orders, state.orders.permits
    if not orders.order or permits.get_valid_fence(now) != orders.fence:
        return []
    if permits.expires_at <= state.extended_until:
        return []
    state.extended_until = permits.expires_at
    return [ExtendOrder(orders.order, permits.expires_at)]


def _withdraw_replaced_order(state: EngineControllerState) -> list[WithdrawOrder]:
    """Return the effect that ends an order whose weights have been replaced."""
    orders = state.orders
    if not orders.order or state.withdrawn == orders.order:
        return []
    model, version = read_weights(orders.target)
    if state.cluster_state.weights.get(model, 0) <= version:
        return []
    state.withdrawn = orders.order
    return [WithdrawOrder(orders.order)]


def _find_orderable_run(
    state: EngineControllerState, own: KnownUpstream | None, now: float
) -> EngineRun | None:
    """Return the run of the engine that may be ordered: registered and reporting."""
    if own is None or own.upstream.leaving:
        return None
    if Source.ENGINE in state.cluster_state.lost:
        return None
    run = EngineRun(own.upstream.name, own.upstream.born)
    if not run.is_born_at(state.born) or state.copies.may_reach(run, now):
        return None
    return run


def _compute_permit_bounds(
    state: EngineControllerState, own: KnownUpstream | None
) -> PermitBounds:
    service = "" if own is None else own.upstream.service
    engines = len(state.cluster_state.by_service.get(service, {}))
    loads = max(1, int(MAX_LOADING_FRACTION * engines))
    if loads == state.orders.permits.bounds.loads:
        return state.orders.permits.bounds
    return replace(PERMIT_BOUNDS, loads=loads)


def _handle_permit_answer(
    state: EngineControllerState, answer: ObjectAnswer, now: float
) -> list[EngineControllerEffect]:
    permits = state.orders.permits
    before, fault = permits.describe(), permits.fault
    permits.handle_answer(answer, now)
    facts = permits.describe()
    logs: list[EngineControllerEffect] = []
    if permits.fault not in ("", fault):
        named: Facts = {"object": PERMITS_PATH}
        logs.append(Log(LogNumber.OBJECT_UNREADABLE, detail=permits.fault, facts=named))
    if facts != before:
        facts["ordered_fence"] = state.orders.fence
        detail = answer.status.value
        logs.append(Log(LogNumber.PERMIT_CHANGED, detail=detail, facts=facts))
    return logs


def _handle_order_answer(
    state: EngineControllerState, answer: OrderAnswered, now: float
) -> list[EngineControllerEffect]:
    state.orders.handle_answer(answer, now)
    if answer.unanswered_at is not None:
        state.copies.record(state.ordered_run, answer.unanswered_at)
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
