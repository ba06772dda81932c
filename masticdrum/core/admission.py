"""Admits requests to one upstream: cold-start limit, waiting queue, early refusal.

The agent's reducer tells an ``Admission`` everything that happens to its runs and asks
it with ``take`` what may start. No run starts by another way, which is what keeps the
upstream under its limit.

    admission = Admission(pool, now=0.0)
    admission.report(True, running=0, boot="boot-1", now=2.0)
    refusals = admission.offer(ticket, now=2.0)
    for ticket in admission.take(now=2.0):
        ...  # start the run of ticket.attempt
"""

from collections import deque

from msgspec import Struct

from masticdrum.core.coldstart import ColdStartGate
from masticdrum.core.concurrency import AdaptiveLimit
from masticdrum.core.invariants import require
from masticdrum.core.occupancy import LONGEST_RUN_S, Occupancy
from masticdrum.core.waiting import Ticket, WaitingQueue
from masticdrum.model.errors import ErrorKind
from masticdrum.model.messages import Load
from masticdrum.model.tables import Pool, PoolKind, Urgency

SMOOTHING = 0.1  # the weight of the newest run's duration
URGENT_RESERVE = 1  # runs that only urgent requests may start
RESERVE_FROM = 4  # runs; an upstream that bears fewer keeps no reserve
SMALLEST_QUEUE = 4  # requests
SHORTEST_RETRY_S = 0.5
SERVICE_TRUST_S = 5.0  # how long a predecessor's calls to a plain service may last


class Refusal(Struct, frozen=True):
    """A request that did not run and left the queue."""

    attempt: str
    kind: ErrorKind
    retry_after_s: float


class Admission:
    """Everything that decides whether and when a request starts at one upstream."""

    __slots__ = (
        "_duration_s",
        "_held",
        "_last_token",
        "_suspect",
        "adaptive",
        "gate",
        "occupancy",
        "pool",
        "queue",
    )

    def __init__(self, pool: Pool, now: float) -> None:
        reports = pool.kind == PoolKind.ENGINE
        trust_after_s = LONGEST_RUN_S if reports else SERVICE_TRUST_S
        self.gate = ColdStartGate(
            pool.cold_start, pool.max_running, now, reports, trust_after_s
        )
        self.adaptive = AdaptiveLimit(pool.max_running)
        self.occupancy = Occupancy()
        self.queue = WaitingQueue(pool.max_queued)
        self.pool = pool
        self._duration_s = 0.0
        self._last_token: dict[str, float] = {}
        self._held: deque[Ticket] = deque()
        self._suspect = ""

    def configure(self, pool: Pool) -> None:
        """Take over a pool's new settings."""
        if pool is self.pool:
            return
        self.pool = pool
        reports = pool.kind == PoolKind.ENGINE
        self.gate.configure(pool.cold_start, pool.max_running, reports)
        self.adaptive.resize(pool.max_running)

    def offer(self, ticket: Ticket, now: float) -> list[Refusal]:
        """Queues a request; gives the refusals of all that lost their place by it."""
        self.gate.notice(now)
        self.queue.capacity = self._find_capacity()
        wait_s = self.estimate_wait(ticket.workspace, ticket.urgency)
        if now + wait_s > ticket.deadline:
            return [self._refuse(ticket, wait_s)]
        victim = self.queue.push(ticket)
        if victim is None:
            return []
        return [self._refuse(victim, wait_s)]

    def take(self, now: float) -> list[Ticket]:
        """Take all requests that start now and count them as running."""
        self.occupancy.settle(now)
        started = []
        while (ticket := self._choose_next(now)) is not None:
            self._start(ticket, now)
            started.append(ticket)
        return started

    def expire(self, now: float) -> list[Refusal]:
        """Refuses all waiting requests whose deadline has passed."""
        late = self.queue.expire(now)
        late += [ticket for ticket in self._held if ticket.deadline <= now]
        self._held = deque(t for t in self._held if t.deadline > now)
        kind = ErrorKind.DEADLINE_EXCEEDED
        return [Refusal(t.attempt, kind, SHORTEST_RETRY_S) for t in late]

    def withdraw(self, attempt: str) -> bool:
        """Take a waiting request out; false if it is not waiting."""
        held = len(self._held)
        self._held = deque(t for t in self._held if t.attempt != attempt)
        return len(self._held) < held or self.queue.remove(attempt) is not None

    def list_waiting(self) -> list[str]:
        """List the attempts that have not started."""
        return [ticket.attempt for ticket in self._held] + list(self.queue.tickets)

    def begin(self, attempt: str, now: float) -> None:
        """Note that the upstream confirmed a run."""
        self.occupancy.begin(attempt, now)

    def progress(self, attempt: str, tokens: int, now: float) -> None:
        """Note that a run gave tokens."""
        self.gate.progress(attempt, self.occupancy, now)
        last = self._last_token.get(attempt)
        self._last_token[attempt] = now
        # The wait for the first token is prefill, which says nothing of the pace.
        if last is not None:
            self.adaptive.observe(now - last, tokens, now)

    def end(self, attempt: str, now: float) -> None:
        """Note that a run ended well."""
        self.gate.progress(attempt, self.occupancy, now)
        run = self.occupancy.end(attempt, now)
        self._forget(attempt)
        if run is None:
            return
        self.adaptive.end()
        weight = SMOOTHING if self._duration_s else 1.0
        self._duration_s += weight * (now - run.sent - self._duration_s)

    def fail(self, attempt: str, now: float, certain: bool) -> None:
        """Note that a run failed; ``certain`` tells that the upstream let go of it.

        A run of which that is not certain goes on counting until a report shows that
        it is gone.
        """
        if attempt not in self.occupancy.runs:
            return
        self._forget(attempt)
        self.gate.fault(now)
        if certain:
            self.occupancy.end(attempt, now)
            return
        self.occupancy.orphan(attempt, now)

    def abandon(self, attempt: str, now: float) -> None:
        """Note that a run was cancelled and may go on for a while; no fault."""
        self._forget(attempt)
        self.occupancy.orphan(attempt, now)

    def release(self, attempt: str, now: float) -> None:
        """Note that a run never reached the upstream, or was not taken by it."""
        self._forget(attempt)
        self.occupancy.end(attempt, now)

    def refuse_full(self, attempt: str, now: float) -> None:
        """Note that the upstream refused a run as too many; it did not run."""
        self.release(attempt, now)
        self.adaptive.decrease(now)

    def report(self, reachable: bool, running: int, boot: str, now: float) -> None:
        """Take in a load report, or the lack of one."""
        trusted = self.gate.trusted
        self.gate.report(reachable, boot, now)
        if not reachable:
            return
        if trusted or self.gate.trusted:
            self.occupancy.report(running, now)

    def estimate_wait(self, workspace: str, urgency: Urgency) -> float:
        """Estimates how long a new request would wait, in seconds."""
        ahead = self.queue.count_ahead(workspace, urgency)
        free = self._cap_room(self.gate.peek_room(self.occupancy))
        if ahead < free:
            return 0.0
        slots = max(1, min(self.gate.limit, self.adaptive.limit))
        return (ahead - free + 1) * self._duration_s / slots

    def find_load(self, leaving: bool = False) -> Load:
        """Make the hint that goes out with answers and refusals."""
        return Load(
            running=len(self.occupancy.runs),
            queued=len(self.queue),
            limit=min(self.gate.limit, self.adaptive.limit),
            wait_s=self.estimate_wait("", Urgency.NORMAL),
            cold=self.gate.cold,
            leaving=leaving,
        )

    def _choose_next(self, now: float) -> Ticket | None:
        room = self._find_room(now)
        if room < 1:
            return None
        if self._held and not self._suspect:
            return self._choose_suspect(self._held.popleft())
        while self.queue and room >= self._find_least_room():
            ticket = self.queue.pop(now)
            if not ticket.suspect:
                return ticket
            if not self._suspect:
                return self._choose_suspect(ticket)
            self._held.append(ticket)
        return None

    def _choose_suspect(self, ticket: Ticket) -> Ticket:
        # One at a time, so that a crash tells which one it was.
        require(not self._suspect, f"'{self._suspect}' is the only suspect that runs")
        self._suspect = ticket.attempt
        return ticket

    def _find_least_room(self) -> int:
        if self.queue.lanes[Urgency.URGENT].size:
            return 1
        bearable = min(self.gate.ramp.limit, self.gate.limit, self.adaptive.limit)
        return 1 + URGENT_RESERVE if bearable >= RESERVE_FROM else 1

    def _start(self, ticket: Ticket, now: float) -> None:
        self.occupancy.start(ticket.attempt, now)
        running = len(self.occupancy.runs)
        limit = min(self.gate.limit, self.pool.max_running)
        require(running <= limit, f"no more than {limit} runs start, not {running}")

    def _find_room(self, now: float) -> int:
        return self._cap_room(self.gate.find_room(self.occupancy, now))

    def _cap_room(self, room: int) -> int:
        return min(room, max(0, self.adaptive.limit - len(self.occupancy.runs)))

    def _find_capacity(self) -> int:
        share = self.gate.limit / max(1, self.pool.max_running)
        least = min(SMALLEST_QUEUE, self.pool.max_queued)
        return max(least, int(self.pool.max_queued * share))

    def _refuse(self, ticket: Ticket, wait_s: float) -> Refusal:
        kind = ErrorKind.COLD_START if self.gate.cold else ErrorKind.QUEUE_FULL
        return Refusal(ticket.attempt, kind, max(SHORTEST_RETRY_S, wait_s))

    def _forget(self, attempt: str) -> None:
        self._last_token.pop(attempt, None)
        if attempt == self._suspect:
            self._suspect = ""
