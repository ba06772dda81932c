"""One order for new weights: given again only while none can have been accepted."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.ordercourse import (
    ORDER_S,
    EngineView,
    OrderCourse,
    OrderReply,
    SendOrder,
)
from masticdrum.model.agent_events import GiveOrder, OrderAnswered, RunsAtLoad

MODEL = "m1"
SENT = SendOrder(MODEL, 2, 7, 4, RunsAtLoad.CONTINUE)
FIXED = settings(derandomize=True, max_examples=300, deadline=None)


def make_course(not_after: float = 60.0) -> OrderCourse:
    order = GiveOrder("o1", "load", "m1@2", 7, not_after)
    return OrderCourse(order, MODEL, 2, RunsAtLoad.CONTINUE, 10.0)


def view(version: int = 1, busy: bool = False, accepted: int = 4) -> EngineView:
    return EngineView({MODEL: version}, busy, accepted)


def test_an_order_goes_out_with_what_the_report_says_and_is_done_once_loaded() -> None:
    course = make_course()
    assert course.decide(view(), 10.0) == SENT
    assert course.take_reply(OrderReply.ACCEPTED, "status 202") is None
    assert course.decide(view(busy=True, accepted=5), 10.2) is None
    assert course.decide(view(2, busy=True, accepted=5), 11.0) is None
    ended = course.decide(view(2, accepted=5), 11.2)
    assert ended == OrderAnswered("o1", done=True)


def test_an_order_without_an_answer_is_given_again_under_the_same_count() -> None:
    course = make_course()
    course.decide(view(), 10.0)
    course.take_reply(OrderReply.NONE, "lost")
    assert course.decide(view(), 10.2) == SENT


def test_a_report_from_before_an_accepted_order_sends_nothing() -> None:
    course = make_course()
    course.decide(view(), 10.0)
    course.take_reply(OrderReply.ACCEPTED, "status 202")
    assert course.decide(view(), 10.2) is None
    assert isinstance(course.decide(view(), 10.4), SendOrder)


def test_a_refused_order_ends_at_once() -> None:
    course = make_course()
    course.decide(view(), 10.0)
    ended = course.take_reply(OrderReply.REFUSED, "status 412")
    assert ended == OrderAnswered("o1", done=False, detail="status 412")


@pytest.mark.parametrize("reading", [None, view(), view(busy=True)])
def test_an_order_out_of_time_ends_whatever_the_report_says(
    reading: EngineView | None,
) -> None:
    ended = make_course().decide(reading, 10.0 + ORDER_S)
    assert isinstance(ended, OrderAnswered)
    assert not ended.done


STEPS = st.tuples(st.booleans(), st.booleans(), st.sampled_from(list(OrderReply)))


@FIXED
@given(st.lists(STEPS, max_size=40), st.floats(0.0, 5.0))
def test_nothing_goes_out_to_a_busy_engine_or_after_the_lease(
    steps: list[tuple[bool, bool, OrderReply]], lease_s: float
) -> None:
    course = make_course(10.0 + lease_s)
    now = 10.0
    for readable, busy, reply in steps:
        now += 0.15
        step = course.decide(view(busy=busy) if readable else None, now)
        if isinstance(step, OrderAnswered):
            return
        if isinstance(step, SendOrder):
            assert readable
            assert not busy
            assert now < 10.0 + lease_s
            if course.take_reply(reply, "") is not None:
                return
