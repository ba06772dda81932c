"""One agent and its engine, which restarts, loses orders and carries them out late."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

import msgspec

from masticdrum.core.enginecontroller import (
    EngineControllerState,
    EngineReported,
    read_weights,
    reduce_engine_controller,
)
from masticdrum.core.orderexecution import (
    EngineView,
    OrderExecution,
    OrderReply,
    SendOrder,
)
from masticdrum.core.permits import PermitTable
from masticdrum.model.agent_events import (
    ExtendOrder,
    IssueOrder,
    OrderAnswered,
    RunsAtLoad,
    WithdrawOrder,
)
from masticdrum.model.cluster_events import UpstreamsListed, WeightsNamed
from masticdrum.model.exchange import Ticked
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut, ObjectStatus
from tests.forwarding import MODEL, make_upstream

STEP_S = 0.05
POLL_STEPS = 3
ADDRESS = "10.9.0.1:80"
REPORT_AGES = (0, 2, 6)  # steps
LATE_S = (0.1, 9.0)  # delays of late orders


class Violation(Exception):
    """An order of a lower fencing number or an older version took effect."""


class Engine:
    """An engine that checks no fencing numbers."""

    def __init__(self) -> None:
        self.name, self.born, self.starts = "i-1", 1000, 1
        self.sequence, self.fence, self.version = 0, 0, 1
        self.ordered, self.busy_until, self.up_at = 1, 0.0, 0.0
        self.accepted: list[tuple[float, int]] = []

    def advance(self, now: float) -> None:
        if now >= self.busy_until:
            self.version = self.ordered

    def restart(self, now: float, same_name: bool, down_s: float) -> None:
        self.advance(now)
        self.starts += 1
        self.born = 1000 + int(now * 1000)
        self.name = self.name if same_name else f"i-{self.starts}"
        self.sequence, self.fence = 0, 0
        self.ordered, self.busy_until = self.version, 0.0
        self.up_at = now + down_s

    def order(self, order: SendOrder, name: str, now: float) -> OrderReply:
        self.advance(now)
        if now < self.up_at:
            return OrderReply.NONE
        if name != self.name:
            return OrderReply.REFUSED
        if now < self.busy_until or order.accepted != self.sequence:
            return OrderReply.LATER
        if order.version == self.version:
            return OrderReply.ACCEPTED
        if order.version < self.version:
            raise Violation(f"{now:.2f}: {order.version} after {self.version}")
        if order.fence < self.fence:
            raise Violation(f"{now:.2f}: fence {order.fence} after {self.fence}")
        self.accepted.append((now, order.version))
        self.sequence += 1
        self.fence, self.ordered = order.fence, order.version
        self.busy_until = now + 1.4
        return OrderReply.ACCEPTED


class OrderWorld:
    """An agent, its engine and a store that answers at once, in steps of virtual time.

    ``fates`` are drawn for each order that is sent: answered, accepted without an
    answer, lost or late.
    """

    def __init__(self, seed: int, fates: tuple[str, ...] = ("answered",)) -> None:
        self.random = Random(seed)
        self.fates = fates
        self.late_s = LATE_S
        self.now, self.steps = 0.0, 0
        self.engine = Engine()
        self.views: list[EngineView | None] = []
        self.execution: OrderExecution | None = None
        self.given: list[tuple[float, int]] = []
        self.ended: list[tuple[float, OrderAnswered]] = []
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.revision, self.table = 0, PermitTable()
        self.state = EngineControllerState("side-1", "a", ADDRESS, seed)
        self.register()

    def at(self, time: float, call: Callable[[], None]) -> None:
        heappush(self.calls, (time, len(self.calls) + self.steps * 1000, call))

    def name_weights(self, version: int) -> None:
        self.handle_event(WeightsNamed(MODEL, version))

    def restart(self, same_name: bool, down_s: float) -> None:
        self.engine.restart(self.now, same_name, down_s)
        self.at(self.engine.up_at + self.random.uniform(0.0, 1.0), self.register)

    def pause(self, seconds: float) -> None:
        """Let the engine stand still; it answers nothing meanwhile."""
        self.engine.up_at = self.now + seconds

    def register(self) -> None:
        name, born = self.engine.name, self.engine.born
        own = make_upstream(name, "engines", address=ADDRESS)
        own = msgspec.structs.replace(own, born=born)
        self.handle_event(UpstreamsListed((own,)))

    def handle_event(self, event: object) -> None:
        queue = [event]
        while queue:
            for effect in reduce_engine_controller(self.state, queue.pop(0), self.now):
                if isinstance(effect, IssueOrder):
                    self.start_order(effect)
                if isinstance(effect, WithdrawOrder) and self.execution is not None:
                    self.execution.withdraw()
                if isinstance(effect, ExtendOrder) and self.execution is not None:
                    self.execution.extend(effect.not_after)
                if isinstance(effect, ObjectGet | ObjectPut):
                    queue.append(self.answer(effect))

    def start_order(self, order: IssueOrder) -> None:
        model, version = read_weights(order.target)
        run = self.state.ordered_run
        runs = RunsAtLoad.CONTINUE
        assert self.execution is None
        self.execution = OrderExecution(order, run, model, version, runs, self.now)
        self.given.append((self.now, version))

    def answer(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        if isinstance(call, ObjectPut):
            if call.expected != self.revision:
                return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
            self.revision += 1
            self.table = msgspec.json.decode(call.body, type=PermitTable)
        if not self.revision:
            return ObjectAnswer(call.call, ObjectStatus.MISSING)
        body = msgspec.json.encode(self.table)
        return ObjectAnswer(call.call, ObjectStatus.OK, self.revision, body)

    def run_until(self, end: float) -> None:
        while self.now < end:
            self.steps += 1
            self.now = self.steps * STEP_S
            while self.calls and self.calls[0][0] <= self.now:
                heappop(self.calls)[2]()
            self.views.append(self.make_view())
            if self.steps % POLL_STEPS == 0:
                self.poll()
                self.handle_event(Ticked())

    def make_view(self) -> EngineView | None:
        engine = self.engine
        engine.advance(self.now)
        if self.now < engine.up_at:
            return None
        busy = self.now < engine.busy_until
        return EngineView({MODEL: engine.version}, busy, engine.sequence, engine.born)

    def read_report(self) -> EngineView | None:
        """Return the engine's report, which is of its present run but a little old."""
        newest = self.views[-1]
        old = self.views[-1 - min(self.random.choice(REPORT_AGES), len(self.views) - 1)]
        if newest is None or old is None or old.born != newest.born:
            return newest
        return old

    def poll(self) -> None:
        view = self.read_report()
        if view is not None:
            self.handle_event(EngineReported(view.weights, view.born))
        if self.execution is None:
            return
        step = self.execution.decide(view, self.now)
        if isinstance(step, SendOrder):
            reply = self.send(step, self.state.ordered_run.name)
            step = self.execution.handle_reply(reply, reply.value)
        if isinstance(step, OrderAnswered):
            self.execution = None
            self.ended.append((self.now, step))
            self.handle_event(step)

    def send(self, order: SendOrder, name: str) -> OrderReply:
        fate = self.random.choice(self.fates)
        if fate == "late":
            delay = self.random.uniform(*self.late_s)
            self.at(self.now + delay, lambda: self.carry_out_late(order, name))
        if fate in ("late", "lost"):
            return OrderReply.NONE
        reply = self.engine.order(order, name, self.now)
        return OrderReply.NONE if fate == "unanswered" else reply

    def carry_out_late(self, order: SendOrder, name: str) -> None:
        self.engine.order(order, name, self.now)
