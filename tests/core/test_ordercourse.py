"""One order to load weights is sent again only while none can have been accepted."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.ordercopies import EngineRun
from masticdrum.core.orderexecution import (
    ORDER_TIMEOUT_S,
    EngineView,
    OrderExecution,
    OrderReply,
    SendOrder,
)
from masticdrum.model.agent_events import IssueOrder, OrderAnswered, RunsAtLoad

MODEL = "m1"
RUN = EngineRun("i-1", 1000)
SENT = SendOrder(MODEL, 2, 7, 4, RunsAtLoad.CONTINUE)
FIXED = settings(derandomize=True, max_examples=300, deadline=None)


def make_execution(not_after: float = 60.0) -> OrderExecution:
    order = IssueOrder("o1", "load", "m1@2", 7, not_after)
    return OrderExecution(order, RUN, MODEL, 2, RunsAtLoad.CONTINUE, 10.0)


def view(
    version: int = 1, busy: bool = False, accepted: int = 4, born: int = RUN.born
) -> EngineView:
    return EngineView({MODEL: version}, busy, accepted, born)


def test_an_order_is_sent_with_the_reported_count_and_done_once_loaded() -> None:
    execution = make_execution()
    assert execution.decide(view(), 10.0) == SENT
    assert execution.handle_reply(OrderReply.ACCEPTED, "status 202") is None
    assert execution.decide(view(busy=True, accepted=5), 10.2) is None
    assert execution.decide(view(2, busy=True, accepted=5), 11.0) is None
    ended = execution.decide(view(2, accepted=5), 11.2)
    assert ended == OrderAnswered("o1", done=True)


def test_an_order_without_an_answer_is_sent_again_with_the_same_count() -> None:
    execution = make_execution()
    execution.decide(view(), 10.0)
    execution.handle_reply(OrderReply.NONE, "lost")
    assert execution.decide(view(), 10.2) == SENT


def test_a_report_older_than_an_accepted_order_sends_nothing() -> None:
    execution = make_execution()
    execution.decide(view(), 10.0)
    execution.handle_reply(OrderReply.ACCEPTED, "status 202")
    assert execution.decide(view(), 10.2) is None
    assert isinstance(execution.decide(view(), 10.4), SendOrder)


# Guards against waiting for an order that the engine had accepted before it restarted.
def test_an_accepted_order_ends_with_the_run_of_the_engine() -> None:
    execution = make_execution()
    execution.decide(view(), 10.0)
    execution.handle_reply(OrderReply.ACCEPTED, "status 202")
    assert execution.decide(None, 10.5) is None
    ended = execution.decide(view(accepted=0, born=2000), 12.0)
    assert ended == OrderAnswered("o1", done=False, detail="the engine restarted")


# Guards against forgetting that a copy may still be carried out when an order ends.
def test_an_order_tells_when_a_copy_without_an_answer_was_sent() -> None:
    execution = make_execution()
    execution.decide(view(), 10.0)
    execution.handle_reply(OrderReply.NONE, "lost")
    execution.decide(view(), 10.3)
    execution.handle_reply(OrderReply.ACCEPTED, "status 202")
    ended = execution.decide(view(2, accepted=5), 11.2)
    assert ended == OrderAnswered("o1", done=True, unanswered_at=10.0)


def test_the_only_copy_without_an_answer_was_executed_once_the_weights_are_loaded() -> (
    None
):
    execution = make_execution()
    execution.decide(view(), 10.0)
    execution.handle_reply(OrderReply.NONE, "lost")
    assert execution.decide(view(busy=True, accepted=5), 10.3) is None
    ended = execution.decide(view(2, accepted=5), 11.2)
    assert ended == OrderAnswered("o1", done=True)


def test_copies_after_the_first_lease_are_a_second_apart_and_end_with_the_permit() -> (
    None
):
    execution = make_execution(10.5)
    execution.extend(12.0)
    sent = []
    for step in range(20):
        now = 10.0 + 0.15 * step
        if isinstance(execution.decide(view(), now), SendOrder):
            sent.append(round(now, 2))
            execution.handle_reply(OrderReply.NONE, "lost")
    assert sent == [10.0, 10.15, 10.3, 10.45, 11.5]


def test_a_refused_order_ends_at_once() -> None:
    execution = make_execution()
    execution.decide(view(), 10.0)
    ended = execution.handle_reply(OrderReply.REFUSED, "status 412")
    assert ended == OrderAnswered("o1", done=False, detail="status 412")


@pytest.mark.parametrize("reading", [None, view(), view(busy=True)])
def test_an_order_times_out_whatever_the_report_states(
    reading: EngineView | None,
) -> None:
    ended = make_execution().decide(reading, 10.0 + ORDER_TIMEOUT_S)
    assert isinstance(ended, OrderAnswered)
    assert not ended.done


STEPS = st.tuples(st.booleans(), st.booleans(), st.sampled_from(list(OrderReply)))


@FIXED
@given(st.lists(STEPS, max_size=40), st.floats(0.0, 5.0))
def test_nothing_goes_out_to_a_busy_engine_or_after_the_lease(
    steps: list[tuple[bool, bool, OrderReply]], lease_s: float
) -> None:
    execution = make_execution(10.0 + lease_s)
    now = 10.0
    for readable, busy, reply in steps:
        now += 0.15
        step = execution.decide(view(busy=busy) if readable else None, now)
        if isinstance(step, OrderAnswered):
            return
        if isinstance(step, SendOrder):
            assert readable
            assert not busy
            assert now < 10.0 + lease_s
            if execution.handle_reply(reply, "") is not None:
                return
