"""An agent orders only its own engine, once, and under a permit."""

import msgspec
from msgspec.structs import replace

from masticdrum.core.enginecontroller import (
    EngineControllerState,
    EngineReported,
    reduce_engine_controller,
)
from masticdrum.core.permits import Lease, PermitTable
from masticdrum.model.agent_events import IssueOrder, OrderAnswered
from masticdrum.model.cluster_events import (
    Source,
    SourceLost,
    SourceRegained,
    UpstreamsListed,
    WeightsNamed,
)
from masticdrum.model.exchange import Ticked
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.telemetry import Log, LogNumber
from tests.forwarding import MODEL, UPSTREAMS, make_upstream

OWN = make_upstream("engines-9", "engines", address="10.9.0.1:80")


class Agent:
    """An agent with a store that answers immediately."""

    def __init__(
        self, incarnation: str = "b", table: PermitTable | None = None
    ) -> None:
        self.state = EngineControllerState("side-1", incarnation, OWN.address, 1)
        self.now = 50.0
        self.revision = 0 if table is None else 7
        self.table = table or PermitTable()
        self.orders: list[IssueOrder] = []
        self.logged: list[Log] = []
        self.body: bytes | None = None  # in place of the table
        self.handle_event(UpstreamsListed((*UPSTREAMS, OWN)))
        self.handle_event(EngineReported({MODEL: 1}))

    def handle_event(self, event: object) -> None:
        queue = [event]
        while queue:
            for effect in reduce_engine_controller(self.state, queue.pop(0), self.now):
                if isinstance(effect, IssueOrder):
                    self.orders.append(effect)
                if isinstance(effect, Log):
                    self.logged.append(effect)
                if isinstance(effect, ObjectGet | ObjectPut):
                    queue.append(self.answer(effect))

    def answer(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        if isinstance(call, ObjectGet) and not self.revision:
            return ObjectAnswer(call.call, ObjectStatus.MISSING)
        if isinstance(call, ObjectPut):
            if call.expected != self.revision:
                return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
            self.revision += 1
            self.table = msgspec.json.decode(call.body, type=PermitTable)
        body = self.body or msgspec.json.encode(self.table)
        return ObjectAnswer(call.call, ObjectStatus.OK, self.revision, body)

    def wait(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            self.handle_event(Ticked())


def test_an_odd_table_of_permits_is_logged_once() -> None:
    agent = Agent(table=PermitTable(7))
    agent.body = b'{"fence":-1}'
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(60.0)
    assert not agent.orders
    (log,) = [e for e in agent.logged if e.number is LogNumber.OBJECT_UNREADABLE]
    assert log.facts == {"object": "permits/weights"}
    assert log.detail == "Expected `int` >= 0 - at `$.fence`"
    agent.body = None
    agent.wait(60.0)
    assert len(agent.orders) == 1


def test_new_weights_are_ordered_once_and_the_permit_is_given_back() -> None:
    agent = Agent()
    agent.wait(1.0)
    assert not agent.orders
    agent.handle_event(WeightsNamed(MODEL, 2))
    (order,) = agent.orders
    assert order.target == f"{MODEL}@2"
    agent.wait(1.0)
    assert len(agent.orders) == 1
    agent.handle_event(EngineReported({MODEL: 2}))
    agent.handle_event(OrderAnswered(order.order, done=True))
    agent.wait(1.0)
    assert len(agent.orders) == 1
    assert not agent.table.leases


def test_an_agent_has_work_from_new_weights_until_its_permit_is_given_back() -> None:
    """The process reads the engine's report less often while there is no work."""
    agent = Agent()
    assert not agent.state.has_work()
    agent.handle_event(WeightsNamed(MODEL, 2))
    assert agent.state.has_work()
    agent.wait(1.0)
    agent.handle_event(EngineReported({MODEL: 2}))
    assert agent.state.has_work()
    agent.handle_event(OrderAnswered(agent.orders[0].order, done=True))
    agent.wait(0.3)
    assert not agent.table.leases
    assert not agent.state.has_work()


def test_an_agent_has_work_until_it_knows_what_its_engine_serves() -> None:
    agent = Agent()
    agent.handle_event(EngineReported({}))
    assert agent.state.has_work()


def test_a_later_version_is_ordered_under_a_higher_fencing_number() -> None:
    agent = Agent()
    for version in (2, 3):
        agent.handle_event(WeightsNamed(MODEL, version))
        agent.wait(6.0)
        agent.handle_event(EngineReported({MODEL: version}))
        agent.handle_event(OrderAnswered(agent.orders[-1].order, done=True))
    first, second = agent.orders
    assert second.fence > first.fence


# Guards against a further version that waits 5 s after the load of the one before.
def test_a_further_version_is_ordered_once_the_report_shows_the_one_before() -> None:
    agent = Agent()
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(1.5)
    agent.handle_event(EngineReported({MODEL: 2}))
    agent.handle_event(OrderAnswered(agent.orders[0].order, done=True))
    agent.wait(1.0)
    agent.handle_event(WeightsNamed(MODEL, 3))
    agent.wait(0.2)
    assert [order.target for order in agent.orders] == [f"{MODEL}@2", f"{MODEL}@3"]


# Guards against a copy that undoes a newer order once the engine has restarted.
def test_a_further_version_waits_while_copies_of_the_order_before_are_open() -> None:
    agent = Agent()
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(1.5)
    agent.handle_event(EngineReported({MODEL: 2}))
    order = agent.orders[0].order
    agent.handle_event(OrderAnswered(order, done=True, unanswered_at=agent.now))
    agent.handle_event(WeightsNamed(MODEL, 3))
    agent.wait(4.5)
    assert len(agent.orders) == 1
    agent.wait(0.8)
    assert agent.orders[-1].target == f"{MODEL}@3"


def test_of_versions_named_while_a_permit_is_waited_for_the_newest_is_ordered() -> None:
    agent = Agent(table=PermitTable(6, {"side-2/x/1": Lease(6)}))
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(1.0)
    agent.handle_event(WeightsNamed(MODEL, 3))
    agent.wait(1.0)
    assert not agent.orders
    agent.wait(5.0)
    assert [order.target for order in agent.orders] == [f"{MODEL}@3"]


def test_a_report_older_than_a_load_orders_nothing_again() -> None:
    agent = Agent()
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.handle_event(EngineReported({MODEL: 2}))
    agent.handle_event(OrderAnswered(agent.orders[0].order, done=True))
    agent.handle_event(EngineReported({MODEL: 1}))
    agent.wait(4.0)
    assert len(agent.orders) == 1
    agent.wait(2.0)
    assert len(agent.orders) == 2


# Guards against a second model that waits for the load of the first one.
def test_the_weights_of_another_model_are_ordered_after_a_load() -> None:
    agent = Agent()
    agent.handle_event(EngineReported({MODEL: 1, "m2": 1}))
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.handle_event(WeightsNamed("m2", 5))
    agent.handle_event(EngineReported({MODEL: 2, "m2": 1}))
    agent.handle_event(OrderAnswered(agent.orders[0].order, done=True))
    agent.wait(0.2)
    assert [order.target for order in agent.orders] == [f"{MODEL}@2", "m2@5"]


def test_a_lease_of_an_earlier_incarnation_blocks_nobody() -> None:
    leases = {"side-1/a/3": Lease(4), "side-2/x/1": Lease(5), "side-3/y/1": Lease(6)}
    agent = Agent(incarnation="b", table=PermitTable(6, leases))
    # With five engines two may load at once: the agent's own old lease must not count.
    fifth = make_upstream("engines-8", "engines")
    agent.handle_event(UpstreamsListed((*UPSTREAMS, OWN, fifth)))
    del leases["side-3/y/1"]
    agent.table = PermitTable(6, leases)
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(0.2)
    (order,) = agent.orders
    assert order.fence == 7
    assert "side-1/a/3" not in agent.table.leases


def test_leases_of_others_are_waited_for() -> None:
    leases = {"side-2/x/1": Lease(5), "side-3/y/1": Lease(6)}
    agent = Agent(table=PermitTable(6, leases))
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(3.0)
    assert not agent.orders
    agent.wait(4.0)
    assert len(agent.orders) == 1, "leases that are not renewed are taken over"


# Guards against a permit for an engine that doesn't answer, while others wait for one.
def test_an_engine_that_does_not_report_gets_no_order() -> None:
    agent = Agent()
    agent.handle_event(SourceLost(Source.ENGINE, "refused"))
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(3.0)
    assert not agent.orders
    assert not agent.table.leases
    agent.handle_event(SourceRegained(Source.ENGINE, 3.0))
    agent.wait(0.2)
    assert len(agent.orders) == 1


# Guards against permits that block others though the loads that they protect are over.
def test_permits_of_engines_that_have_loaded_are_not_waited_for() -> None:
    target = f"{MODEL}@2"
    leases = {"side-2/x/1": Lease(6, 0, "engines-1", target)}
    agent = Agent(table=PermitTable(6, leases))
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(1.5)
    assert not agent.orders
    loaded = make_upstream("engines-1", "engines", weights={MODEL: 2})
    agent.handle_event(UpstreamsListed((loaded, *UPSTREAMS[4:], OWN)))
    agent.wait(1.0)
    assert len(agent.orders) == 1
    (own,) = agent.table.leases.values()
    assert (own.engine, own.target) == (OWN.name, target)


def test_draining_and_unregistered_engines_get_no_order() -> None:
    agent = Agent()
    agent.handle_event(UpstreamsListed(UPSTREAMS))
    agent.handle_event(WeightsNamed(MODEL, 2))
    agent.wait(3.0)
    assert not agent.orders


# Guards against agents that end, again and again, as they read a lease whose target
# names no weights (LOST).
def test_a_lease_with_an_odd_target_ends_no_agent() -> None:
    for target in ("m1", "m1@", "m1@x", f"m1@1{'0' * 5000}"):
        lease = Lease(7, 0, UPSTREAMS[-1].name, target)
        agent = Agent(table=PermitTable(7, {"side-2/a/1": lease}))
        agent.handle_event(WeightsNamed(MODEL, 2))
        agent.wait(20.0)
        assert len(agent.orders) == 1


# Guards against one load more than permitted: an engine crashed and is back under its
# name, and agents that haven't heard of it take the weights of its run before for its.
def test_a_lease_of_an_engine_that_is_back_is_not_taken_over() -> None:
    holder = Agent()
    back = replace(OWN, born=2)
    holder.handle_event(UpstreamsListed((*UPSTREAMS, back)))
    holder.handle_event(EngineReported({MODEL: 1}, born=2))
    holder.handle_event(WeightsNamed(MODEL, 2))
    assert len(holder.orders) == 1
    other = Agent(table=holder.table)
    other.state = EngineControllerState("side-2", "c", UPSTREAMS[-1].address, 1)
    before = replace(OWN, born=1, weights={MODEL: 2})
    other.handle_event(UpstreamsListed((*UPSTREAMS, before)))
    other.handle_event(EngineReported({MODEL: 1}))
    other.handle_event(WeightsNamed(MODEL, 2))
    other.wait(1.0)
    assert not other.orders
