"""Admits requests to one upstream: cold-start limit, waiting queue, early refusal.

The agent's reducer reports every event of its runs to an ``Admission``, and calls
``start_ready`` for the requests that may start. Runs start in no other way, which keeps
the upstream within its limit.

    admission = Admission(pool, now=0.0)
    admission.report(True, running=0, boot="boot-1", now=2.0)
    refusals = admission.offer(ticket, now=2.0)
    for ticket in admission.start_ready(now=2.0):
        ...  # start the run of ticket.attempt
"""

from collections import deque

from msgspec import Struct

from masticdrum.core.coldstart import ColdStartGate
from masticdrum.core.concurrency import AdaptiveLimit
from masticdrum.core.invariants import require
from masticdrum.core.occupancy import MAX_RUN_S, Occupancy
from masticdrum.core.waiting import Ticket, WaitingQueue
from masticdrum.model.errors import ErrorKind
from masticdrum.model.messages import Load
from masticdrum.model.tables import Pool, PoolKind, Urgency

SMOOTHING = 0.1  # weight of the newest run in the moving average of durations
URGENT_RESERVE = 1  # slots that only urgent requests may use
MIN_LIMIT_FOR_RESERVE = 4  # runs; with a lower limit no slot is reserved
MIN_QUEUE_CAPACITY = 4  # requests
MIN_RETRY_AFTER_S = 0.5
SERVICE_TRUST_S = 5.0  # how long a plain service's calls from a past incarnation last


class Refusal(Struct, frozen=True):
    """A request that was refused or dropped from the queue before it ran."""

    attempt: str
    kind: ErrorKind
    retry_after_s: float


class Admission:
    """Decides whether and when a request starts at one upstream.

    A suspect is a request that ran when an upstream crashed. At most one suspect runs
    at a time; others whose turn has come are held in ``_held_suspects``.
    """

    __slots__ = (
        "_duration_s",
        "_held_suspects",
        "_last_token",
        "_running_suspect",
        "adaptive",
        "gate",
        "occupancy",
        "pool",
        "queue",
    )

    def __init__(self, pool: Pool, now: float) -> None:
        reports = pool.kind == PoolKind.ENGINE
        trust_after_s = MAX_RUN_S if reports else SERVICE_TRUST_S
        self.gate = ColdStartGate(
            pool.cold_start, pool.max_running, now, reports, trust_after_s
        )
        self.adaptive = AdaptiveLimit(pool.max_running)
        self.occupancy = Occupancy()
        self.queue = WaitingQueue(pool.max_queued)
        self.pool = pool
        self._duration_s = 0.0
        self._last_token: dict[str, float] = {}
        self._held_suspects: deque[Ticket] = deque()
        self._running_suspect = ""

    def configure(self, pool: Pool) -> None:
        """Apply a pool's new settings."""
        if pool is self.pool:
            return
        self.pool = pool
        reports = pool.kind == PoolKind.ENGINE
        self.gate.configure(pool.cold_start, pool.max_running, reports)
        self.adaptive.resize(pool.max_running)

    def offer(self, ticket: Ticket, now: float) -> list[Refusal]:
        """Queue a request; return the refusal of it or of the one that it displaces."""
        self.gate.observe_time(now)
        self.queue.capacity = self._compute_capacity()
        wait_s = self.estimate_wait(ticket.workspace, ticket.urgency)
        if now + wait_s > ticket.deadline:
            return [self._refuse(ticket, wait_s)]
        victim = self.queue.push(ticket)
        if victim is None:
            return []
        return [self._refuse(victim, wait_s)]

    def start_ready(self, now: float) -> list[Ticket]:
        """Remove and return the requests that start now; count them as running."""
        self.occupancy.drop_ended_foreign(now)
        started = []
        while (ticket := self._select_next(now)) is not None:
            self._start(ticket, now)
            started.append(ticket)
        return started

    def expire(self, now: float) -> list[Refusal]:
        """Refuse all waiting requests whose deadline has passed."""
        expired = self.queue.expire(now)
        expired += [ticket for ticket in self._held_suspects if ticket.deadline <= now]
        self._held_suspects = deque(t for t in self._held_suspects if t.deadline > now)
        kind = ErrorKind.DEADLINE_EXCEEDED
        return [Refusal(t.attempt, kind, MIN_RETRY_AFTER_S) for t in expired]

    def withdraw(self, attempt: str) -> bool:
        """Remove a waiting request; return whether it was waiting."""
        held_before = len(self._held_suspects)
        self._held_suspects = deque(
            t for t in self._held_suspects if t.attempt != attempt
        )
        return (
            len(self._held_suspects) < held_before
            or self.queue.remove(attempt) is not None
        )

    def list_waiting(self) -> list[str]:
        """List the attempts that have not started."""
        return [ticket.attempt for ticket in self._held_suspects] + list(
            self.queue.tickets
        )

    def begin(self, attempt: str, now: float) -> None:
        """Record that the upstream confirmed a run."""
        self.occupancy.begin(attempt, now)

    def progress(self, attempt: str, tokens: int, now: float) -> None:
        """Record new tokens of a run."""
        self.gate.progress(attempt, self.occupancy, now)
        last = self._last_token.get(attempt)
        self._last_token[attempt] = now
        # The time to the first token is prefill, so it is no sample of the token gap.
        if last is not None:
            self.adaptive.observe(now - last, tokens, now)

    def end(self, attempt: str, now: float) -> None:
        """Record that a run ended successfully."""
        self.gate.progress(attempt, self.occupancy, now)
        run = self.occupancy.end(attempt, now)
        self._forget(attempt)
        if run is None:
            return
        self.adaptive.end()
        weight = SMOOTHING if self._duration_s else 1.0
        self._duration_s += weight * (now - run.sent - self._duration_s)

    def fail(self, attempt: str, now: float, certain: bool) -> None:
        """Record a failed run; ``certain`` means that the upstream no longer runs it.

        Otherwise the run counts as running until a load report shows that it ended.
        """
        if attempt not in self.occupancy.runs:
            return
        self._forget(attempt)
        self.gate.record_fault(now)
        if certain:
            self.occupancy.end(attempt, now)
            return
        self.occupancy.orphan(attempt, now)

    def abandon(self, attempt: str, now: float) -> None:
        """Record a cancelled run, which may still run for a while; it is no fault."""
        self._forget(attempt)
        self.occupancy.orphan(attempt, now)

    def release(self, attempt: str, now: float) -> None:
        """Record that a run never reached the upstream, or was rejected by it."""
        self._forget(attempt)
        self.occupancy.end(attempt, now)

    def record_rejection(self, attempt: str, now: float) -> None:
        """Record that the upstream rejected a run because of too many runs."""
        self.release(attempt, now)
        self.adaptive.decrease(now)

    def report(self, reachable: bool, running: int, boot: str, now: float) -> None:
        """Apply a load report, or the lack of one if ``reachable`` is false."""
        trusted = self.gate.trusted
        self.gate.report(reachable, boot, now)
        if not reachable:
            return
        if trusted or self.gate.trusted:
            self.occupancy.report(running, now)

    def estimate_wait(self, workspace: str, urgency: Urgency) -> float:
        """Estimate how long a new request would wait, in seconds."""
        ahead = self.queue.count_ahead(workspace, urgency)
        free = self._cap_room(self.gate.peek_room(self.occupancy))
        if ahead < free:
            return 0.0
        slots = max(1, min(self.gate.limit, self.adaptive.limit))
        return (ahead - free + 1) * self._duration_s / slots

    def make_load(self, leaving: bool = False) -> Load:
        """Return the load hint that is sent with answers and refusals."""
        return Load(
            running=len(self.occupancy.runs),
            queued=len(self.queue),
            limit=min(self.gate.limit, self.adaptive.limit),
            wait_s=self.estimate_wait("", Urgency.NORMAL),
            cold=self.gate.cold,
            leaving=leaving,
        )

    def _select_next(self, now: float) -> Ticket | None:
        room = self._compute_room(now)
        if room < 1:
            return None
        if self._held_suspects and not self._running_suspect:
            return self._select_suspect(self._held_suspects.popleft())
        while self.queue and room >= self._compute_min_room():
            ticket = self.queue.pop(now)
            if not ticket.suspect:
                return ticket
            if not self._running_suspect:
                return self._select_suspect(ticket)
            self._held_suspects.append(ticket)
        return None

    def _select_suspect(self, ticket: Ticket) -> Ticket:
        # One at a time, so that a crash identifies the request that caused it.
        require(
            not self._running_suspect,
            f"'{self._running_suspect}' must be the only running suspect",
        )
        self._running_suspect = ticket.attempt
        return ticket

    def _compute_min_room(self) -> int:
        if self.queue.lanes[Urgency.URGENT].size:
            return 1
        limit = min(self.gate.ramp.limit, self.gate.limit, self.adaptive.limit)
        return 1 + URGENT_RESERVE if limit >= MIN_LIMIT_FOR_RESERVE else 1

    def _start(self, ticket: Ticket, now: float) -> None:
        self.occupancy.start(ticket.attempt, now)
        running = len(self.occupancy.runs)
        limit = min(self.gate.limit, self.pool.max_running)
        require(running <= limit, f"at most {limit} runs may start, not {running}")

    def _compute_room(self, now: float) -> int:
        return self._cap_room(self.gate.compute_room(self.occupancy, now))

    def _cap_room(self, room: int) -> int:
        return min(room, max(0, self.adaptive.limit - len(self.occupancy.runs)))

    def _compute_capacity(self) -> int:
        share = self.gate.limit / max(1, self.pool.max_running)
        least = min(MIN_QUEUE_CAPACITY, self.pool.max_queued)
        return max(least, int(self.pool.max_queued * share))

    def _refuse(self, ticket: Ticket, wait_s: float) -> Refusal:
        kind = ErrorKind.COLD_START if self.gate.cold else ErrorKind.QUEUE_FULL
        return Refusal(ticket.attempt, kind, max(MIN_RETRY_AFTER_S, wait_s))

    def _forget(self, attempt: str) -> None:
        self._last_token.pop(attempt, None)
        if attempt == self._running_suspect:
            self._running_suspect = ""
