"""The bounded queue of requests that wait for one upstream.

Urgency classes are served most urgent first. A class is aged if its oldest request has
waited longer than its limit in ``AGING_S``. One in ``AGED_EVERY`` starts goes to an
aged class, the two aged classes taking turns, so no class starves. Within a class,
workspaces share by start-time fair queueing over the expected work of their requests.

A full queue makes room for a request by dropping the newest one of the workspace with
the most requests, from a less urgent class first. An eighth of the queue is reserved
for each class; other classes can't displace requests within that reserve.
"""

from collections import deque

from msgspec import Struct

from masticdrum.model.tables import Urgency

AGING_S = {Urgency.NORMAL: 10.0, Urgency.BACKGROUND: 30.0}
AGED_EVERY = 8  # starts
RESERVE_DIVISOR = 8  # 1 / 8 of the queue is reserved for each class
CLASSES = list(Urgency)


class Ticket(Struct):
    """A request that waits for its start.

    ``work`` is the expected work in any unit that all requests share. After
    ``deadline`` it must not start any more. ``suspect`` is set if it ran when an
    upstream crashed. ``tag`` is the start tag of fair queueing. Times are in seconds.
    """

    attempt: str
    workspace: str
    urgency: Urgency
    work: float
    deadline: float
    arrived: float
    suspect: bool = False
    tag: float = 0.0


class Lane:
    """The requests of one urgency class, with fair queueing between workspaces."""

    __slots__ = ("_finish_tags", "_virtual_time", "queues", "size")

    def __init__(self) -> None:
        self.queues: dict[str, deque[Ticket]] = {}
        self.size = 0
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def preview_tag(self, workspace: str) -> float:
        """Return the start tag that the workspace's next request would get."""
        return max(self._virtual_time, self._finish_tags.get(workspace, 0.0))

    def push(self, ticket: Ticket) -> None:
        """Append a request to its workspace's queue."""
        ticket.tag = self.preview_tag(ticket.workspace)
        self._finish_tags[ticket.workspace] = ticket.tag + ticket.work
        self.queues.setdefault(ticket.workspace, deque()).append(ticket)
        self.size += 1

    def pop(self) -> Ticket:
        """Remove and return the request with the lowest start tag."""
        queue = min(self.queues.values(), key=lambda q: (q[0].tag, q[0].arrived))
        ticket = queue[0]
        self._virtual_time = ticket.tag
        self.remove(ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a request at any position."""
        queue = self.queues[ticket.workspace]
        queue.remove(ticket)
        self.size -= 1
        if not queue:
            del self.queues[ticket.workspace]
        if self.size == 0:
            self._finish_tags.clear()
            self._virtual_time = 0.0

    def drop_newest(self, workspace: str) -> Ticket:
        """Remove the newest request of a workspace, and uncharge its work."""
        ticket = self.queues[workspace][-1]
        self.remove(ticket)
        if self.size:
            self._finish_tags[workspace] = ticket.tag
        return ticket

    def find_largest(self) -> str:
        """Return the workspace with the most waiting requests."""
        return max(self.queues, key=lambda name: (len(self.queues[name]), name))

    def get_oldest_arrival(self) -> float:
        """Return the earliest arrival time; the lane must not be empty."""
        return min(queue[0].arrived for queue in self.queues.values())

    def count_before(self, tag: float) -> int:
        """Count the requests that start before one with the start tag ``tag``."""
        return sum(t.tag <= tag for queue in self.queues.values() for t in queue)


class WaitingQueue:
    """The waiting requests of one upstream, of all urgency classes."""

    __slots__ = ("_last_aged", "_since_aged", "_starts", "capacity", "lanes", "tickets")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.lanes = {urgency: Lane() for urgency in CLASSES}
        self.tickets: dict[str, Ticket] = {}
        self._starts = 0
        self._since_aged = 0
        self._last_aged = dict.fromkeys(CLASSES, 0)

    def __len__(self) -> int:
        return len(self.tickets)

    def push(self, ticket: Ticket) -> Ticket | None:
        """Queue a request; return the one that was dropped, if any, which may be it."""
        victim = None
        if len(self) >= self.capacity:
            victim = self._make_room(ticket)
        if victim is ticket:
            return ticket
        self.lanes[ticket.urgency].push(ticket)
        self.tickets[ticket.attempt] = ticket
        return victim

    def pop(self, now: float) -> Ticket:
        """Remove and return the next request; the queue must not be empty."""
        urgency = self._select_class(now)
        ticket = self.lanes[urgency].pop()
        del self.tickets[ticket.attempt]
        return ticket

    def remove(self, attempt: str) -> Ticket | None:
        """Remove a request; return None if it is not waiting."""
        ticket = self.tickets.pop(attempt, None)
        if ticket is not None:
            self.lanes[ticket.urgency].remove(ticket)
        return ticket

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return all requests whose deadline has passed."""
        expired = [t for t in self.tickets.values() if t.deadline <= now]
        for ticket in expired:
            self.remove(ticket.attempt)
        return expired

    def count_ahead(self, workspace: str, urgency: Urgency) -> int:
        """Count the requests that would start before a new one, aging aside."""
        higher = CLASSES[: CLASSES.index(urgency)]
        lane = self.lanes[urgency]
        own = lane.count_before(lane.preview_tag(workspace))
        return own + sum(self.lanes[name].size for name in higher)

    def _select_class(self, now: float) -> Urgency:
        self._starts += 1
        aged = [name for name in AGING_S if self._is_aged(name, now)]
        if aged and self._since_aged >= AGED_EVERY - 1:
            # The least recently served one, so that two aged classes take turns.
            chosen = min(aged, key=lambda name: self._last_aged[name])
            self._last_aged[chosen] = self._starts
            self._since_aged = 0
            return chosen
        self._since_aged += 1
        return next(name for name in CLASSES if self.lanes[name].size)

    def _is_aged(self, urgency: Urgency, now: float) -> bool:
        lane = self.lanes[urgency]
        return lane.size > 0 and now - lane.get_oldest_arrival() > AGING_S[urgency]

    def _make_room(self, ticket: Ticket) -> Ticket:
        reserve = self.capacity // RESERVE_DIVISOR
        own = self.lanes[ticket.urgency]
        for name in reversed(CLASSES):
            lane = self.lanes[name]
            less_urgent = CLASSES.index(name) > CLASSES.index(ticket.urgency)
            if name == ticket.urgency or lane.size <= reserve:
                continue
            if less_urgent or own.size < reserve:
                return self._drop(lane)
        return self._displace_in_class(own, ticket)

    def _displace_in_class(self, lane: Lane, ticket: Ticket) -> Ticket:
        if not lane.size:
            return ticket
        largest = lane.find_largest()
        own_count = len(lane.queues.get(ticket.workspace, ()))
        if len(lane.queues[largest]) <= own_count + 1:
            return ticket
        return self._drop(lane)

    def _drop(self, lane: Lane) -> Ticket:
        victim = lane.drop_newest(lane.find_largest())
        del self.tickets[victim.attempt]
        return victim
