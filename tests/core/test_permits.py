"""At most two weight loads run at once, whatever happens to agents and platform."""

import heapq
from collections.abc import Callable
from random import Random
from typing import Any
from unittest.mock import patch

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core import permits
from masticdrum.core.invariants import InvariantBroken
from masticdrum.core.orders import Orders
from masticdrum.core.permits import MAX_LOADS, Permits
from masticdrum.model.agent_events import IssueOrder, OrderAnswered
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut, ObjectStatus

FIXED = settings(derandomize=True, max_examples=30, deadline=None)
AGENTS = 6
STEP_S = 0.25
END_S = 1200.0
REGISTERED_AFTER_S = 2.0
FAULT_S = 240.0  # no faults after this time


class Violation(Exception):
    """More concurrent loads than the weight store can serve."""


class Engine:
    """An engine that loads weights; only every second one checks the fencing number."""

    def __init__(self, checks: bool) -> None:
        self.checks = checks
        self.version, self.fence, self.loading = "v1", 0, 0
        self.loaded: list[tuple[float, str]] = []


class Fleet:
    """Agents that all want a new version, under faults drawn from a seed.

    ``restores`` are the times at which the store comes back as it was up to 15 s ago;
    ``named`` are the times at which newer versions are wanted. With ``registers``,
    leases name engines, which are registered some seconds later with what they load.
    Such engines load one version at a time, and none that they have.
    """

    def __init__(
        self,
        seed: int,
        faults: float,
        restores: tuple[float, ...] = (),
        named: tuple[float, ...] = (),
        registers: bool = False,
    ) -> None:
        self.random = Random(seed)
        self.registers = registers
        self.faults = faults
        self.now, self.order = 0.0, 0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.version, self.body = 0, b""
        self.era = 1
        self.written: list[tuple[float, int, bytes]] = [(float("-inf"), 0, b"")]
        self.wanted = "v2"
        self.lower_fences = 0
        self.down_until = 0.0
        self.orders = 0
        self.engines = [Engine(n % 2 == 0) for n in range(AGENTS)]
        self.frozen = [0.0] * AGENTS
        self.epochs = [0] * AGENTS
        self.agents = [self.make_agent(n) for n in range(AGENTS)]
        for number in range(AGENTS):
            self.after(self.random.random(), self.step, number)
        for at in restores:
            self.after(at, self.restore, self.random.uniform(0.0, 15.0))
        for count, at in enumerate(named):
            self.after(at, self.name_version, f"v{count + 3}")

    def name_version(self, version: str) -> None:
        self.wanted = version

    def restore(self, age_s: float) -> None:
        """Go back to the last state of ``age_s`` ago; revisions are given out again."""
        self.written = [w for w in self.written if w[0] <= self.now - age_s]
        _, self.version, self.body = self.written[-1]
        self.era += 1

    def make_agent(self, number: int) -> Orders:
        epoch = self.epochs[number]
        holder = f"agent-{number}/{epoch}"
        seed = self.random.getrandbits(32)
        if not self.registers:
            return Orders(Permits(holder, seed))
        permits = Permits(holder, seed, is_loaded=self.is_loaded)
        permits.engine = str(number)
        return Orders(permits)

    def is_loaded(self, lease: permits.Lease) -> bool:
        until = self.now - REGISTERED_AFTER_S
        loaded = self.engines[int(lease.engine)].loaded
        return any(at <= until and version >= lease.target for at, version in loaded)

    def after(self, delay: float, call: Callable[..., None], *values: Any) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + delay, self.order, call, values))

    def run(self) -> None:
        while self.heap and self.heap[0][0] <= END_S:
            self.now, _, call, values = heapq.heappop(self.heap)
            call(*values)

    def draw_fault(self, part: float = 1.0) -> bool:
        return self.now < FAULT_S and self.random.random() < self.faults * part

    def step(self, number: int) -> None:
        self.after(STEP_S, self.step, number)
        if self.draw_fault(0.2):
            self.frozen[number] = self.now + self.random.choice([1.0, 12.0, 90.0])
        if self.draw_fault(0.2):
            self.epochs[number] += 1
            self.agents[number] = self.make_agent(number)
            self.frozen[number] = 0.0
        if self.draw_fault(0.1):
            self.down_until = self.now + self.random.uniform(1.0, 20.0)
        if self.now >= self.frozen[number]:
            self.act(number)

    def act(self, number: int) -> None:
        agent, engine = self.agents[number], self.engines[number]
        order = agent.decide(self.wanted, engine.version, self.now)
        if order is not None:
            # The process may be paused between the decision and its effect.
            delay = 90.0 if self.draw_fault(20) else 0.0
            self.frozen[number] = max(self.frozen[number], self.now + delay)
            self.after(delay, self.send, number, self.epochs[number], order)
        call = agent.permits.plan_call(self.now)
        if call is not None:
            epoch = self.epochs[number]
            delay = self.random.uniform(0.001, 0.3)
            self.after(delay, self.serve, number, epoch, call)

    def send(self, number: int, epoch: int, order: IssueOrder) -> None:
        """Send an order as the shell does: not past its time."""
        if epoch != self.epochs[number] or self.now >= order.not_after:
            return
        self.after(self.random.uniform(0, 0.5), self.load, number, epoch, order)

    def load(self, number: int, epoch: int, order: IssueOrder) -> None:
        engine = self.engines[number]
        if engine.checks and order.fence <= engine.fence:
            return self.answer_order(number, epoch, order, False)
        if self.registers and (engine.version >= order.target or engine.loading):
            done = engine.version >= order.target
            return self.answer_order(number, epoch, order, done)
        self.lower_fences += order.fence < engine.fence
        engine.fence = order.fence
        engine.loading += 1
        self.orders += 1
        loading = sum(e.loading for e in self.engines)
        if loading > MAX_LOADS:
            raise Violation(f"{self.now:.1f}: {loading} loads at once")
        if self.draw_fault(10):
            # The connection breaks; the load continues.
            self.answer_order(number, epoch, order, False, settled=False)
        self.after(self.random.uniform(1, 50), self.end_load, number, epoch, order)
        return None

    def end_load(self, number: int, epoch: int, order: IssueOrder) -> None:
        engine = self.engines[number]
        engine.loading -= 1
        done = self.random.random() < 0.8
        if done:
            engine.version = order.target
            engine.loaded.append((self.now, order.target))
        if not self.draw_fault(10):
            self.answer_order(number, epoch, order, done)

    def answer_order(
        self,
        number: int,
        epoch: int,
        order: IssueOrder,
        done: bool,
        settled: bool = True,
    ) -> None:
        answer = OrderAnswered(order.order, done, settled)
        self.deliver(number, epoch, lambda a: a.handle_answer(answer, self.now))

    def deliver(self, number: int, epoch: int, act: Callable[[Orders], None]) -> None:
        if epoch != self.epochs[number]:
            return
        if self.now < self.frozen[number]:
            wait_s = self.frozen[number] - self.now
            self.after(wait_s, self.deliver, number, epoch, act)
            return
        act(self.agents[number])

    def serve(self, number: int, epoch: int, call: ObjectGet | ObjectPut) -> None:
        answer = self.answer(call)
        if self.draw_fault(10):
            answer = ObjectAnswer(call.call, ObjectStatus.LOST)
        delay = self.random.uniform(0.001, 0.3)
        act = bind_answer(answer, self)
        self.after(delay, self.deliver, number, epoch, act)

    def answer(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        return msgspec.structs.replace(self.execute(call), era=self.era)

    def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        if self.now < self.down_until:
            return ObjectAnswer(call.call, ObjectStatus.REJECTED)
        if isinstance(call, ObjectGet):
            if not self.version:
                return ObjectAnswer(call.call, ObjectStatus.MISSING)
            return ObjectAnswer(call.call, ObjectStatus.OK, self.version, self.body)
        if call.expected != self.version:
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
        self.version, self.body = self.version + 1, call.body
        self.written.append((self.now, self.version, self.body))
        return ObjectAnswer(call.call, ObjectStatus.OK, self.version)


def bind_answer(answer: ObjectAnswer, fleet: Fleet) -> Callable[[Orders], None]:
    return lambda agent: agent.permits.handle_answer(answer, fleet.now)


def check_loads(seed: int, faults: float = 0.02) -> Fleet:
    fleet = Fleet(seed, faults)
    fleet.run()
    return fleet


@FIXED
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.005, 0.02, 0.05]))
def test_never_more_than_two_loads_at_once(seed: int, faults: float) -> None:
    fleet = check_loads(seed, faults)
    assert {engine.version for engine in fleet.engines} == {"v2"}


# Guards against a third load beside leases that were taken over too early.
@FIXED
@given(
    st.integers(0, 2**32),
    st.sampled_from([0.005, 0.02, 0.05]),
    st.lists(st.floats(5.0, 500.0), max_size=2).map(sorted),
    st.lists(st.floats(20.0, 500.0), min_size=2, max_size=2).map(sorted),
)
def test_never_more_than_two_loads_beside_registered_engines(
    seed: int, faults: float, restores: list[float], named: list[float]
) -> None:
    fleet = Fleet(seed, faults, tuple(restores), tuple(named), registers=True)
    fleet.run()
    assert {engine.version for engine in fleet.engines} == {"v4"}
    assert not fleet.lower_fences


def test_taking_over_leases_of_engines_that_still_load_is_caught() -> None:
    def is_loaded(self: Fleet, lease: permits.Lease) -> bool:
        return True

    with (
        patch.object(Fleet, "is_loaded", is_loaded),
        pytest.raises(Violation),
    ):
        for seed in range(1, 20):
            Fleet(seed, 0.02, named=(60.0, 120.0), registers=True).run()


class OneAgentStore:
    """The store of a single agent, which answers at once and can be restored."""

    def __init__(self) -> None:
        self.era = 1
        self.version, self.body = 0, b""

    def step(self, agent: Orders, wanted: str, now: float) -> IssueOrder | None:
        """Answer the agent's next call and return the order that it gives then."""
        call = agent.permits.plan_call(now)
        if isinstance(call, ObjectPut):
            status = ObjectStatus.CONFLICT
            if call.expected == self.version:
                status = ObjectStatus.OK
                self.version, self.body = self.version + 1, call.body
            written = ObjectAnswer(call.call, status, self.version, era=self.era)
            agent.permits.handle_answer(written, now)
        elif call is not None:
            status = ObjectStatus.OK if self.version else ObjectStatus.MISSING
            read = ObjectAnswer(
                call.call, status, self.version, self.body, era=self.era
            )
            agent.permits.handle_answer(read, now)
        return agent.decide(wanted, "v1", now)


def run_until_ordered(agent: Orders, store: OneAgentStore, now: float) -> IssueOrder:
    for step in range(1200):
        order = store.step(agent, "v2", now + step / 10)
        if order is not None:
            return order
    raise AssertionError("no order in 120 s")


# Guards against agents that give no order any more after a restore of the store, since
# the permits that they get have lower fencing numbers than those of before.
@pytest.mark.parametrize("tells_era", [True, False])
def test_an_agent_orders_again_after_the_store_forgot_its_permits(
    tells_era: bool,
) -> None:
    agent, store = Orders(Permits("agent/1", 1)), OneAgentStore()
    first = run_until_ordered(agent, store, 0.0)
    agent.handle_answer(OrderAnswered(first.order, done=False), 1.0)
    store.step(agent, "v1", 1.1)
    store.version, store.body, store.era = 0, b"", 2 if tells_era else 1
    assert run_until_ordered(agent, store, 30.0).fence > first.fence


# Guards against a third load beside two whose permits a restored store has forgotten,
# and against lower fencing numbers at an engine than before.
@FIXED
@given(
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.02]),
    st.lists(st.floats(5.0, 500.0), min_size=1, max_size=4).map(sorted),
)
def test_never_more_than_two_loads_across_restores_of_the_store(
    seed: int, faults: float, restores: list[float]
) -> None:
    fleet = Fleet(seed, faults, tuple(restores), named=(200.0, 520.0))
    fleet.run()
    assert {engine.version for engine in fleet.engines} == {"v4"}
    assert not fleet.lower_fences


def hold(agent: Orders, now: float) -> ObjectPut:
    """Bring an agent to the write that requests its permit."""
    assert agent.decide("v2", "v1", now) is None
    read = agent.permits.plan_call(now)
    assert isinstance(read, ObjectGet)
    agent.permits.handle_answer(ObjectAnswer(read.call, ObjectStatus.MISSING), now)
    write = agent.permits.plan_call(now)
    assert isinstance(write, ObjectPut)
    return write


# Guards against a further version that waits though the one before is reported, and
# against one that is ordered while the report may be older than the load.
def test_a_further_version_waits_only_for_the_report_of_the_one_before() -> None:
    agent, store = Orders(Permits("agent/1", 1)), OneAgentStore()
    first = run_until_ordered(agent, store, 0.0)
    agent.handle_answer(OrderAnswered(first.order, done=True), 10.0)
    for step in range(20):
        assert store.step(agent, "v3", 10.1 + step / 10) is None
    assert agent.decide("v3", "v2", 12.2) is None
    for step in range(20):
        store.step(agent, "v3", 12.3 + step / 10)
    assert agent.target == "v3"
    assert agent.fence > first.fence


def test_a_lease_that_lapsed_in_a_freeze_orders_nothing() -> None:
    agent = Orders(Permits("agent/1", 1))
    write = hold(agent, 0.0)
    agent.permits.handle_answer(ObjectAnswer(write.call, ObjectStatus.OK, 1), 30.0)
    assert agent.decide("v2", "v1", 30.0) is None


def test_a_lost_answer_is_settled_by_reading_the_own_token() -> None:
    agent = Orders(Permits("agent/1", 1))
    write = hold(agent, 0.0)
    agent.permits.handle_answer(ObjectAnswer(write.call, ObjectStatus.LOST), 0.2)
    assert agent.decide("v2", "v1", 0.2) is None
    read = agent.permits.plan_call(2.0)
    assert isinstance(read, ObjectGet)
    found = ObjectAnswer(read.call, ObjectStatus.OK, 7, write.body)
    agent.permits.handle_answer(found, 2.1)
    order = agent.decide("v2", "v1", 2.1)
    assert order is not None and order.fence == 1
    assert order.not_after == permits.LEASE_S - permits.MARGIN_S


ODD_TABLES = {
    "nested (RecursionError)": b'{"more":%s}' % (b"[" * 2000 + b"]" * 2000),
    "no JSON": b"{",
    "a list": b"[]",
    "null": b"null",
    "no bytes": b"",
    "a negative fence": b'{"fence":-1}',
    "a fence of 70 bits": b'{"fence":%d}' % 2**70,
    "a fence of 5,000 digits": b'{"fence":1%s}' % (b"0" * 5000),
    "a lease without a fence": b'{"leases":{"agent/2":{}}}',
    "leases that are none": b'{"leases":{"agent/2":7}}',
}


# Guards against agents that end, again and again, as they read a table of permits that
# isn't one (LOST), or that replace it and load beside the holders of its leases.
@pytest.mark.parametrize("body", ODD_TABLES.values(), ids=ODD_TABLES)
def test_a_table_of_permits_that_is_odd_grants_none_until_it_is_sound(
    body: bytes,
) -> None:
    agent, store = Orders(Permits("agent/1", 1)), OneAgentStore()
    store.version, store.body = 5, body
    calls = 0
    for step in range(600):
        calls += not agent.permits.is_idle and step / 10 >= agent.permits._next_call_at
        assert store.step(agent, "v2", step / 10) is None
    assert agent.permits.fault
    assert store.version == 5
    assert calls < 30
    store.body = b'{"fence":7}'
    assert run_until_ordered(agent, store, 60.0).fence == 8
    assert not agent.permits.fault


def test_nothing_is_ordered_if_the_version_is_loaded_or_unknown() -> None:
    agent = Orders(Permits("agent/1", 1))
    assert agent.decide("v1", "v1", 0.0) is None
    assert agent.decide("v2", "", 0.0) is None
    assert agent.permits.plan_call(0.0) is None


def mutate_takeover(self: Permits, token: str, now: float) -> bool:
    """Take over a lease once it has expired, although the load it started may go on."""
    return now - self._sightings[token].since >= permits.LEASE_S


def mutate_fence(self: Permits, now: float) -> int:
    """Treat a lease as valid for ever."""
    return self._fence


@pytest.mark.parametrize(
    ("name", "mutant"),
    [("_may_take_over", mutate_takeover), ("get_valid_fence", mutate_fence)],
    ids=["takeover", "lapsed"],
)
def test_permit_mutants_are_caught(name: str, mutant: Any) -> None:
    caught = pytest.raises((Violation, InvariantBroken))
    with patch.object(Permits, name, mutant), caught:
        for seed in range(1, 20):
            check_loads(seed)


def check_restores(seed: int) -> Fleet:
    random = Random(seed)
    restores = sorted(random.uniform(5.0, 500.0) for _ in range(3))
    fleet = Fleet(seed, 0.02, tuple(restores), named=(200.0, 520.0))
    fleet.run()
    if fleet.lower_fences:
        raise Violation("a lower fencing number after a higher one")
    return fleet


def test_granting_permits_at_once_after_a_restore_is_caught() -> None:
    def settle(self: Permits, now: float) -> bool:
        return True

    with patch.object(Permits, "_is_settled", settle), pytest.raises(Violation):
        for seed in range(1, 40):
            check_restores(seed)


# Guards against an engine that gets a lower fencing number than before, from an agent
# that was restarted after the store had forgotten the numbers that it gave.
def test_a_restarted_agent_gets_higher_fences_after_a_restore() -> None:
    agent, store = Orders(Permits("agent/1", 1)), OneAgentStore()
    fences = []
    for number in range(3):
        order = run_until_ordered(agent, store, 100.0 * number)
        fences.append(order.fence)
        agent.handle_answer(OrderAnswered(order.order, done=False), 100.0 * number + 50)
        store.step(agent, "v1", 100.0 * number + 50)
    store.version, store.body, store.era = 0, b"", 2
    restarted = Orders(Permits("agent/2", 1))
    assert run_until_ordered(restarted, store, 400.0).fence > max(fences)


def step_until(
    agent: Orders, store: OneAgentStore, wanted: str, start: float, end: float
) -> IssueOrder | None:
    now = start
    while now < end:
        order = store.step(agent, wanted, now)
        if order is not None:
            return order
        now += 0.1
    return None


# Guards against permits that are held up to 5 s longer than they protect a load, since
# their holders stand still after they have ordered.
@pytest.mark.parametrize("is_loaded", [True, False])
def test_a_lease_is_taken_over_once_its_engine_has_its_target(is_loaded: bool) -> None:
    table = permits.PermitTable(2, {})
    for number in (1, 2):
        table.leases[f"other/{number}"] = permits.Lease(number, 3, f"e{number}", "v2")
    store = OneAgentStore()
    store.version, store.body = 1, msgspec.json.encode(table)
    held = Permits("agent/1", 1, is_loaded=lambda lease: is_loaded)
    held.engine = "e3"
    assert (step_until(Orders(held), store, "v2", 0.0, 5.0) is not None) is is_loaded


# Guards against an order under a lease that others have taken over, since the engine
# has the weights for which it was granted.
def test_an_order_waits_until_its_lease_names_its_target() -> None:
    agent = Orders(Permits("agent/1", 1))
    agent.permits.engine = "e1"
    write = hold(agent, 0.0)
    agent.permits.handle_answer(ObjectAnswer(write.call, ObjectStatus.OK, 1), 0.1)
    assert agent.decide("v3", "v1", 0.2) is None
    renewal = agent.permits.plan_call(0.2)
    assert isinstance(renewal, ObjectPut)
    table = msgspec.json.decode(renewal.body, type=permits.PermitTable)
    assert [lease.target for lease in table.leases.values()] == ["v3"]
    assert agent.decide("v3", "v1", 0.2) is None
    agent.permits.handle_answer(ObjectAnswer(renewal.call, ObjectStatus.OK, 2), 0.3)
    order = agent.decide("v3", "v1", 0.3)
    assert order is not None and order.target == "v3"


# Guards against a third load while an agent holds a permit that the store forgot.
def test_a_lease_that_the_store_forgot_is_written_again() -> None:
    agent, store = Orders(Permits("agent/1", 1)), OneAgentStore()
    order = run_until_ordered(agent, store, 0.0)
    store.version, store.body, store.era = 0, b"", 2
    for step in range(40):
        store.step(agent, "v2", 3.0 + step / 10)
    table = msgspec.json.decode(store.body, type=permits.PermitTable)
    assert [lease.fence for lease in table.leases.values()] == [order.fence]
    assert agent.permits.get_valid_fence(7.0) == order.fence


def test_treating_a_broken_connection_as_an_answer_is_caught() -> None:
    def handle_answer(self: Orders, answer: OrderAnswered, now: float) -> None:
        ORIGINAL_HANDLE_ANSWER(self, OrderAnswered(answer.order, answer.done), now)

    with patch.object(Orders, "handle_answer", handle_answer), pytest.raises(Violation):
        for seed in range(1, 20):
            check_loads(seed)


ORIGINAL_HANDLE_ANSWER = Orders.handle_answer


def test_an_order_that_outlives_a_pause_is_caught() -> None:
    def send(self: Fleet, number: int, epoch: int, order: IssueOrder) -> None:
        self.load(number, epoch, order)

    with patch.object(Fleet, "send", send), pytest.raises(Violation):
        for seed in range(1, 20):
            check_loads(seed)


# Guards against agents that call the store without a pause while it turns calls away,
# since newer weights were named before their permit was granted.
def test_a_lease_for_replaced_weights_is_changed_with_pauses() -> None:
    agent = Orders(Permits("agent/1", 1))
    agent.permits.engine = "e1"
    write = hold(agent, 0.0)
    assert agent.decide("v3", "v1", 0.05) is None
    agent.permits.handle_answer(ObjectAnswer(write.call, ObjectStatus.OK, 1), 0.1)
    calls = 0
    for _ in range(100):
        assert agent.decide("v3", "v1", 0.2) is None
        call = agent.permits.plan_call(0.2)
        if call is None:
            break
        calls += 1
        rejected = ObjectAnswer(call.call, ObjectStatus.REJECTED)
        agent.permits.handle_answer(rejected, 0.2)
    assert calls < 10
