"""An agent's records of the attempts of plain service calls.

An attempt runs at most once: its name is recorded from its first frame on, whatever
its outcome, and a copy of the dispatch is answered with the recorded state. ``Settle``
sets a tombstone for an attempt that never arrived, so that it can't run later.

Memory is bounded by dropping the records of ended attempts, oldest first by the
timestamp in their names. The newest dropped timestamp is kept. An unknown attempt that
is not newer than it is neither run nor reported as "not run", since its record may
have been dropped. This needs no agreement between clocks.
"""

from enum import StrEnum
from heapq import heappop, heappush

from msgspec import Struct

from masticdrum.core.invariants import require
from masticdrum.core.timestamps import read_timestamp
from masticdrum.model.agent_events import (
    AgentEffect,
    CallService,
    ReplyFrame,
    ServiceAnswered,
    ServiceFailed,
)
from masticdrum.model.errors import ANSWERS, ErrorKind, Outcome
from masticdrum.model.messages import (
    Accepted,
    Answered,
    Call,
    Failed,
    Load,
    Refused,
    Settle,
    Settled,
)
from masticdrum.model.tables import Urgency
from masticdrum.model.telemetry import Count, Counter, Log, LogNumber

RETENTION_S = 3600.0
MAX_RECORDS = 20_000
MAX_ANSWER_BYTES = 32 * 1024 * 1024
URGENCIES = list(Urgency)


class CallPolicy(Struct, frozen=True):
    """The admission policy for calls at one moment.

    ``refusal`` is why the agent accepts no new work, if it doesn't. ``limit`` calls may
    run and ``max_queued`` may wait. ``load`` is sent with every answer.
    """

    refusal: ErrorKind | None
    limit: int
    max_queued: int
    load: Load


class AttemptStage(StrEnum):
    """The stage of an attempt."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class AttemptRecord(Struct):
    """One attempt; ``call`` is None for a tombstone and after the attempt's end.

    ``end`` is the final message to the entry, also if it never reached it. Times are
    in seconds.
    """

    attempt: str
    timestamp: str
    link: str
    call: Call | None
    stage: AttemptStage = AttemptStage.WAITING
    deadline: float = 0.0
    ended_at: float = 0.0
    end: Answered | Failed | Refused | None = None


class Attempts:
    """The attempts that one incarnation of an agent has on record."""

    __slots__ = (
        "_ended",
        "_newest_forgotten",
        "_incarnation",
        "_answer_bytes",
        "_records",
        "_running",
        "_waiting",
        "max_records",
    )

    def __init__(self, incarnation: str, max_records: int = MAX_RECORDS) -> None:
        self.max_records = max_records
        self._incarnation = incarnation
        self._records: dict[str, AttemptRecord] = {}
        self._waiting: list[str] = []
        self._running: set[str] = set()
        self._ended: list[tuple[str, str]] = []
        self._newest_forgotten = ""
        self._answer_bytes = 0

    def count_running(self) -> int:
        """Return how many calls are running at the service."""
        return len(self._running)

    def count_waiting(self) -> int:
        """Return how many calls have not started yet."""
        return len(self._waiting)

    def count_records(self) -> int:
        """Return how many attempts are on record."""
        return len(self._records)

    def handle_call(
        self, link: str, call: Call, policy: CallPolicy, now: float
    ) -> list[AgentEffect]:
        """Admit or refuse an attempt; answer a copy with the recorded state."""
        record = self._records.get(call.attempt)
        if record is not None:
            record.link = link
            return [self._report(record, policy.load)]
        timestamp = read_timestamp(call.attempt)
        if call.incarnation and call.incarnation != self._incarnation:
            kind = ErrorKind.WRONG_INCARNATION
            return [self._report_unknown(link, call.attempt, kind, policy.load)]
        if timestamp is None or timestamp <= self._newest_forgotten:
            kind = ErrorKind.OUTCOME_UNKNOWN
            return [self._report_unknown(link, call.attempt, kind, policy.load)]
        record = AttemptRecord(call.attempt, timestamp, link, call)
        record.deadline = now + call.ttl_s
        self._records[call.attempt] = record
        refusal = self._find_refusal(call, policy)
        if refusal is not None:
            return self._refuse(record, refusal, policy.load, now)
        self._waiting.append(call.attempt)
        accepted = Accepted(call.attempt, "", policy.load)
        return [ReplyFrame(link, accepted), *self.start_waiting(policy, now)]

    def handle_settle(
        self, link: str, settle: Settle, load: Load, now: float
    ) -> list[AgentEffect]:
        """Report whether an attempt ran; set a tombstone if it never arrived."""
        record = self._records.get(settle.attempt)
        if record is not None:
            record.link = link
            return [self._report_outcome(record, load)]
        timestamp = read_timestamp(settle.attempt)
        is_own = settle.incarnation in ("", self._incarnation)
        if not is_own or timestamp is None or timestamp <= self._newest_forgotten:
            return [ReplyFrame(link, Settled(settle.attempt, Outcome.UNKNOWN))]
        record = AttemptRecord(settle.attempt, timestamp, link, None)
        self._records[settle.attempt] = record
        self._refuse(record, ErrorKind.TOMBSTONED, load, now)
        return [ReplyFrame(link, Settled(settle.attempt, Outcome.NOT_RUN))]

    def start_waiting(self, policy: CallPolicy, now: float) -> list[AgentEffect]:
        """Start as many waiting calls as the limit allows, most urgent first."""
        effects: list[AgentEffect] = []
        while self._waiting and len(self._running) < policy.limit:
            attempt = min(self._waiting, key=self._rank)
            self._waiting.remove(attempt)
            record = self._records[attempt]
            if now >= record.deadline:
                kind = ErrorKind.DEADLINE_EXCEEDED
                effects += self._refuse(record, kind, policy.load, now)
                continue
            effects.append(self._start(record))
        return effects

    def refuse_waiting(
        self, kind: ErrorKind, load: Load, now: float
    ) -> list[AgentEffect]:
        """Refuse every call that has not started."""
        effects: list[AgentEffect] = []
        for attempt in self._waiting:
            effects += self._refuse(self._records[attempt], kind, load, now)
        self._waiting.clear()
        return effects

    def refuse_expired(self, load: Load, now: float) -> list[AgentEffect]:
        """Refuse the waiting calls whose deadline has passed."""
        expired = [a for a in self._waiting if now >= self._records[a].deadline]
        effects: list[AgentEffect] = []
        for attempt in expired:
            self._waiting.remove(attempt)
            record = self._records[attempt]
            kind = ErrorKind.DEADLINE_EXCEEDED
            effects += self._refuse(record, kind, load, now)
        return effects

    def handle_answer(
        self, event: ServiceAnswered, policy: CallPolicy, now: float
    ) -> list[AgentEffect]:
        """Record the service's answer and forward it."""
        record = self._find_running(event.attempt)
        if record is None:
            return []
        record.end = Answered(
            event.attempt, event.status, event.content_type, event.body, policy.load
        )
        self._end(record, now)
        finished = Log(LogNumber.RUN_FINISHED, attempt=event.attempt)
        reply = ReplyFrame(record.link, record.end)
        return [reply, finished, *self.start_waiting(policy, now)]

    def handle_failure(
        self, event: ServiceFailed, policy: CallPolicy, now: float
    ) -> list[AgentEffect]:
        """Record a failed call; it counts as "not run" only if it was never sent."""
        record = self._find_running(event.attempt)
        if record is None:
            return []
        kind = ErrorKind.UPSTREAM_FAILED
        if event.sent:
            record.end = Failed(event.attempt, kind, Outcome.UNKNOWN, policy.load)
        else:
            hint = ANSWERS[kind].retry_after_s
            record.end = Refused(event.attempt, kind, hint, policy.load)
        self._end(record, now)
        failed = Log(LogNumber.RUN_FAILED, attempt=event.attempt, detail=event.detail)
        reply = ReplyFrame(record.link, record.end)
        return [reply, failed, *self.start_waiting(policy, now)]

    def _find_running(self, attempt: str) -> AttemptRecord | None:
        record = self._records.get(attempt)
        if record is None or record.stage is not AttemptStage.RUNNING:
            return None
        return record

    def _find_refusal(self, call: Call, policy: CallPolicy) -> ErrorKind | None:
        if policy.refusal is not None:
            return policy.refusal
        if call.ttl_s <= 0:
            return ErrorKind.DEADLINE_EXCEEDED
        free = policy.limit - len(self._running)
        if len(self._waiting) >= policy.max_queued + max(0, free):
            return ErrorKind.QUEUE_FULL
        return None

    def _rank(self, attempt: str) -> int:
        call = self._records[attempt].call
        assert call is not None
        return URGENCIES.index(call.urgency)

    def _start(self, record: AttemptRecord) -> CallService:
        call = record.call
        require(
            call is not None and record.stage is AttemptStage.WAITING,
            f"attempt '{record.attempt}' must not start twice",
        )
        assert call is not None
        require(
            call.incarnation in ("", self._incarnation),
            f"attempt '{record.attempt}' must run at incarnation '{call.incarnation}'",
        )
        record.stage = AttemptStage.RUNNING
        self._running.add(record.attempt)
        return CallService(record.attempt, call.workspace, call.key, call.body)

    def _refuse(
        self, record: AttemptRecord, kind: ErrorKind, load: Load, now: float
    ) -> list[AgentEffect]:
        require(
            record.stage is AttemptStage.WAITING,
            f"attempt '{record.attempt}' must not be refused after its start",
        )
        record.end = Refused(record.attempt, kind, ANSWERS[kind].retry_after_s, load)
        self._end(record, now)
        return [
            ReplyFrame(record.link, record.end),
            Count(Counter.REFUSALS, kind.value),
        ]

    def _report(self, record: AttemptRecord, load: Load) -> ReplyFrame:
        if record.end is not None:
            return ReplyFrame(record.link, record.end)
        return ReplyFrame(record.link, Accepted(record.attempt, "", load))

    def _report_outcome(self, record: AttemptRecord, load: Load) -> ReplyFrame:
        if isinstance(record.end, Refused):
            settled = Settled(record.attempt, Outcome.NOT_RUN)
            return ReplyFrame(record.link, settled)
        return self._report(record, load)

    def _report_unknown(
        self, link: str, attempt: str, kind: ErrorKind, load: Load
    ) -> ReplyFrame:
        # Another copy of the dispatch may have run, so the outcome is unknown and a
        # refusal would be wrong.
        return ReplyFrame(link, Failed(attempt, kind, Outcome.UNKNOWN, load))

    def _end(self, record: AttemptRecord, now: float) -> None:
        record.stage = AttemptStage.ENDED
        record.ended_at = now
        record.call = None
        self._running.discard(record.attempt)
        self._answer_bytes += measure_end(record)
        heappush(self._ended, (record.timestamp, record.attempt))
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        while self._ended and self._must_forget_oldest(now):
            timestamp, attempt = heappop(self._ended)
            record = self._records.pop(attempt)
            self._answer_bytes -= measure_end(record)
            self._newest_forgotten = max(self._newest_forgotten, timestamp)

    def _must_forget_oldest(self, now: float) -> bool:
        if len(self._ended) > self.max_records or self._answer_bytes > MAX_ANSWER_BYTES:
            return True
        oldest = self._records[self._ended[0][1]]
        return now >= oldest.ended_at + RETENTION_S


def measure_end(record: AttemptRecord) -> int:
    """Return the size in bytes of the service's answer in a record."""
    return len(record.end.body) if isinstance(record.end, Answered) else 0
