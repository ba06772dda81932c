"""Tests that the queue starves no class, shares by workspace and stays bounded."""

from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core import waiting
from masticdrum.core.waiting import AGED_EVERY, AGING_S, Lane, Ticket, WaitingQueue
from masticdrum.model.tables import Urgency

FIXED = settings(derandomize=True, max_examples=150, deadline=None)
ARRIVALS = st.lists(
    st.tuples(
        st.sampled_from(list(Urgency)),
        st.sampled_from(["radkranz", "gebeya", "olten"]),
        st.floats(0.5, 8.0),
        st.integers(0, 2),  # starts before this arrival
    ),
    min_size=20,
    max_size=300,
)


def make_ticket(
    number: int,
    workspace: str = "radkranz",
    urgency: Urgency = Urgency.NORMAL,
    work: float = 1.0,
    arrived: float = 0.0,
) -> Ticket:
    return Ticket(f"a{number}", workspace, urgency, work, 1e9, arrived)


def check_aging(arrivals: list[tuple[Urgency, str, float, int]]) -> None:
    queue = WaitingQueue(64)
    missed = dict.fromkeys(AGING_S, 0)
    now = 0.0
    for number, (urgency, workspace, work, starts) in enumerate(arrivals):
        now += 2.0
        queue.push(make_ticket(number, workspace, urgency, work, now))
        for _ in range(min(starts, len(queue))):
            aged = [
                name
                for name, limit in AGING_S.items()
                if queue.lanes[name].size
                and now - queue.lanes[name].get_oldest_arrival() > limit
            ]
            started = queue.pop(now).urgency
            for name in AGING_S:
                passed_over = name in aged and started != name
                missed[name] = missed[name] + 1 if passed_over else 0
                assert missed[name] < 2 * AGED_EVERY, f"{name} starves"


def check_share(works: list[tuple[str, float]]) -> None:
    """Check that the served work of two workspaces differs by two requests at most.

    This holds while both have waiting requests.
    """
    lane = Lane()
    for number, (workspace, work) in enumerate(works):
        lane.push(make_ticket(number, workspace, work=work))
    served = {"radkranz": 0.0, "gebeya": 0.0}
    largest = 2 * max(work for _, work in works)
    while set(lane.queues) == set(served):
        ticket = lane.pop()
        served[ticket.workspace] += ticket.work
        gap = abs(served["radkranz"] - served["gebeya"])
        assert gap <= largest + 1e-6, f"served {served}"


WORKS = st.lists(
    st.tuples(st.sampled_from(["radkranz", "gebeya"]), st.floats(0.1, 10.0)),
    min_size=2,
    max_size=80,
)


@FIXED
@given(ARRIVALS)
def test_an_aged_class_gets_a_start_in_every_sixteen(
    arrivals: list[tuple[Urgency, str, float, int]],
) -> None:
    check_aging(arrivals)


@FIXED
@given(WORKS)
def test_backlogged_workspaces_share_by_work(works: list[tuple[str, float]]) -> None:
    check_share(works)


@FIXED
@given(ARRIVALS, st.integers(1, 24))
def test_the_queue_is_bounded_and_returns_every_dropped_request(
    arrivals: list[tuple[Urgency, str, float, int]], capacity: int
) -> None:
    queue = WaitingQueue(capacity)
    left = set()
    for number, (urgency, workspace, work, _) in enumerate(arrivals):
        ticket = make_ticket(number, workspace, urgency, work)
        before = queue.lanes[urgency].size
        victim = queue.push(ticket)
        if victim is not None:
            left.add(victim.attempt)
        if before < capacity // waiting.RESERVE_DIVISOR:
            assert victim is not ticket, "a class below its reserve was refused"
        assert len(queue) <= capacity
        assert sum(lane.size for lane in queue.lanes.values()) == len(queue)
    assert left | set(queue.tickets) == {f"a{n}" for n in range(len(arrivals))}


def test_an_urgent_request_displaces_a_background_one() -> None:
    queue = WaitingQueue(8)
    for number in range(8):
        queue.push(make_ticket(number, urgency=Urgency.BACKGROUND))
    victim = queue.push(make_ticket(9, urgency=Urgency.URGENT))
    assert victim is not None and victim.attempt == "a7"
    assert queue.pop(0.0).attempt == "a9"


def test_a_flooding_workspace_loses_its_own_place() -> None:
    queue = WaitingQueue(8)
    for number in range(8):
        queue.push(make_ticket(number, "gebeya"))
    victim = queue.push(make_ticket(9, "radkranz"))
    assert victim is not None and victim.workspace == "gebeya"
    assert queue.push(make_ticket(10, "gebeya")) is not None


def never_aged(self: WaitingQueue, urgency: Urgency, now: float) -> bool:
    return False


def prefer_normal_class(self: WaitingQueue, now: float) -> Urgency:
    """Give every aged start to the normal class."""
    aged = [name for name in AGING_S if self._is_aged(name, now)]
    return aged[0] if aged else next(n for n in Urgency if self.lanes[n].size)


def keep_tag_zero(self: Lane, workspace: str) -> float:
    return 0.0


def make_skewed_arrivals() -> list[tuple[Urgency, str, float, int]]:
    lower = [(Urgency.BACKGROUND, "gebeya", 1.0, 0), (Urgency.NORMAL, "gebeya", 1.0, 0)]
    busy = [(Urgency.URGENT, "radkranz", 1.0, 1)] * 40
    lower += [(Urgency.NORMAL, "gebeya", 1.0, 0)] * 4
    return lower * 6 + busy + [(Urgency.NORMAL, "radkranz", 1.0, 1)] * 40


@pytest.mark.parametrize(
    ("name", "mutant"),
    [("_is_aged", never_aged), ("_select_class", prefer_normal_class)],
)
def test_aging_mutants_are_caught(name: str, mutant: object) -> None:
    check_aging(make_skewed_arrivals())
    with patch.object(WaitingQueue, name, mutant), pytest.raises(AssertionError):
        check_aging(make_skewed_arrivals())


def test_share_mutant_is_caught() -> None:
    works = [("gebeya", 1.0)] * 20 + [("radkranz", 1.0)] * 20
    check_share(works)
    broken = patch.object(Lane, "preview_tag", keep_tag_zero)
    with broken, pytest.raises(AssertionError):
        check_share(works)
