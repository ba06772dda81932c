"""An agent's records of the attempts of plain service calls.

An attempt runs at most once: its name is remembered from its first frame on, whatever
became of it, and a copy of the dispatch gets the recorded state. ``Settle`` buries an
attempt that never came under a tombstone. Memory is bounded by forgetting ended
attempts, oldest first by the time in their names; the newest time forgotten is kept,
and an unknown attempt that is not younger is neither run nor called "not run". No two
clocks need to agree for that.
"""

from enum import StrEnum
from heapq import heappop, heappush

from msgspec import Struct

from masticdrum.core.invariants import require
from masticdrum.core.stamps import read_stamp
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

KEEP_S = 3600.0
MAX_KEPT = 20_000
MAX_KEPT_BYTES = 32 * 1024 * 1024
URGENCIES = list(Urgency)


class Gate(Struct, frozen=True):
    """What the agent lets in now.

    ``refusal`` is why it takes no new work, ``limit`` how many calls may run and
    ``max_queued`` how many may wait; ``load`` goes out with every answer.
    """

    refusal: ErrorKind | None
    limit: int
    max_queued: int
    load: Load


class Stage(StrEnum):
    """How far an attempt has come."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class AttemptRecord(Struct):
    """One attempt; ``call`` is None where only a tombstone was set.

    ``end`` is what the entry was or would be told. Times are seconds.
    """

    attempt: str
    stamp: str
    link: str
    call: Call | None
    stage: Stage = Stage.WAITING
    deadline: float = 0.0
    ended_at: float = 0.0
    end: Answered | Failed | Refused | None = None


class Attempts:
    """All attempts that one incarnation of an agent remembers."""

    __slots__ = (
        "_ended",
        "_floor",
        "_incarnation",
        "_kept_bytes",
        "_records",
        "_running",
        "_waiting",
        "max_kept",
    )

    def __init__(self, incarnation: str, max_kept: int = MAX_KEPT) -> None:
        self.max_kept = max_kept
        self._incarnation = incarnation
        self._records: dict[str, AttemptRecord] = {}
        self._waiting: list[str] = []
        self._running: set[str] = set()
        self._ended: list[tuple[str, str]] = []
        self._floor = ""
        self._kept_bytes = 0

    def count_running(self) -> int:
        """Return how many calls are at the service."""
        return len(self._running)

    def count_waiting(self) -> int:
        """Return how many calls wait for their start."""
        return len(self._waiting)

    def count_kept(self) -> int:
        """Return how many attempts are remembered."""
        return len(self._records)

    def take_call(
        self, link: str, call: Call, gate: Gate, now: float
    ) -> list[AgentEffect]:
        """Admit an attempt, refuse it, or answer a copy with the recorded state."""
        record = self._records.get(call.attempt)
        if record is not None:
            record.link = link
            return [self._report(record, gate.load)]
        stamp = read_stamp(call.attempt)
        if call.incarnation and call.incarnation != self._incarnation:
            kind = ErrorKind.WRONG_INCARNATION
            return [self._deny_knowledge(link, call.attempt, kind, gate.load)]
        if stamp is None or stamp <= self._floor:
            kind = ErrorKind.OUTCOME_UNKNOWN
            return [self._deny_knowledge(link, call.attempt, kind, gate.load)]
        record = AttemptRecord(call.attempt, stamp, link, call)
        record.deadline = now + call.ttl_s
        self._records[call.attempt] = record
        refusal = self._find_refusal(call, gate)
        if refusal is not None:
            return self._refuse(record, refusal, gate.load, now)
        self._waiting.append(call.attempt)
        accepted = Accepted(call.attempt, "", gate.load)
        return [ReplyFrame(link, accepted), *self.start_waiting(gate, now)]

    def take_settle(
        self, link: str, settle: Settle, load: Load, now: float
    ) -> list[AgentEffect]:
        """Say whether an attempt ran; bury one that never came."""
        record = self._records.get(settle.attempt)
        if record is not None:
            record.link = link
            return [self._tell_outcome(record, load)]
        stamp = read_stamp(settle.attempt)
        mine = settle.incarnation in ("", self._incarnation)
        if not mine or stamp is None or stamp <= self._floor:
            return [ReplyFrame(link, Settled(settle.attempt, Outcome.UNKNOWN))]
        record = AttemptRecord(settle.attempt, stamp, link, None)
        self._records[settle.attempt] = record
        self._refuse(record, ErrorKind.TOMBSTONED, load, now)
        return [ReplyFrame(link, Settled(settle.attempt, Outcome.NOT_RUN))]

    def start_waiting(self, gate: Gate, now: float) -> list[AgentEffect]:
        """Start as many waiting calls as the limit allows, most urgent first."""
        effects: list[AgentEffect] = []
        while self._waiting and len(self._running) < gate.limit:
            attempt = min(self._waiting, key=self._rank)
            self._waiting.remove(attempt)
            record = self._records[attempt]
            if now >= record.deadline:
                kind = ErrorKind.DEADLINE_EXCEEDED
                effects += self._refuse(record, kind, gate.load, now)
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

    def refuse_late(self, load: Load, now: float) -> list[AgentEffect]:
        """Refuse the waiting calls whose deadline has passed."""
        late = [a for a in self._waiting if now >= self._records[a].deadline]
        effects: list[AgentEffect] = []
        for attempt in late:
            self._waiting.remove(attempt)
            record = self._records[attempt]
            kind = ErrorKind.DEADLINE_EXCEEDED
            effects += self._refuse(record, kind, load, now)
        return effects

    def take_answer(
        self, event: ServiceAnswered, gate: Gate, now: float
    ) -> list[AgentEffect]:
        """Record the service's answer and pass it on."""
        record = self._find_running(event.attempt)
        if record is None:
            return []
        record.end = Answered(
            event.attempt, event.status, event.content_type, event.body, gate.load
        )
        self._end(record, now)
        finished = Log(LogNumber.RUN_FINISHED, attempt=event.attempt)
        reply = ReplyFrame(record.link, record.end)
        return [reply, finished, *self.start_waiting(gate, now)]

    def take_failure(
        self, event: ServiceFailed, gate: Gate, now: float
    ) -> list[AgentEffect]:
        """Record that a call broke; it is "not run" only if it never left."""
        record = self._find_running(event.attempt)
        if record is None:
            return []
        kind = ErrorKind.UPSTREAM_FAILED
        if event.sent:
            record.end = Failed(event.attempt, kind, Outcome.UNKNOWN, gate.load)
        else:
            hint = ANSWERS[kind].retry_after_s
            record.end = Refused(event.attempt, kind, hint, gate.load)
        self._end(record, now)
        failed = Log(LogNumber.RUN_FAILED, attempt=event.attempt, detail=event.detail)
        reply = ReplyFrame(record.link, record.end)
        return [reply, failed, *self.start_waiting(gate, now)]

    def _find_running(self, attempt: str) -> AttemptRecord | None:
        record = self._records.get(attempt)
        if record is None or record.stage is not Stage.RUNNING:
            return None
        return record

    def _find_refusal(self, call: Call, gate: Gate) -> ErrorKind | None:
        if gate.refusal is not None:
            return gate.refusal
        if call.ttl_s <= 0:
            return ErrorKind.DEADLINE_EXCEEDED
        free = gate.limit - len(self._running)
        if len(self._waiting) >= gate.max_queued + max(0, free):
            return ErrorKind.QUEUE_FULL
        return None

    def _rank(self, attempt: str) -> int:
        call = self._records[attempt].call
        assert call is not None
        return URGENCIES.index(call.urgency)

    def _start(self, record: AttemptRecord) -> CallService:
        call = record.call
        require(
            call is not None and record.stage is Stage.WAITING,
            f"attempt '{record.attempt}' starts at most once",
        )
        assert call is not None
        require(
            call.incarnation in ("", self._incarnation),
            f"attempt '{record.attempt}' runs at incarnation '{call.incarnation}' only",
        )
        record.stage = Stage.RUNNING
        self._running.add(record.attempt)
        return CallService(record.attempt, call.workspace, call.key, call.body)

    def _refuse(
        self, record: AttemptRecord, kind: ErrorKind, load: Load, now: float
    ) -> list[AgentEffect]:
        require(
            record.stage is Stage.WAITING,
            f"attempt '{record.attempt}' is refused only before its start",
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

    def _tell_outcome(self, record: AttemptRecord, load: Load) -> ReplyFrame:
        if isinstance(record.end, Refused):
            settled = Settled(record.attempt, Outcome.NOT_RUN)
            return ReplyFrame(record.link, settled)
        return self._report(record, load)

    def _deny_knowledge(
        self, link: str, attempt: str, kind: ErrorKind, load: Load
    ) -> ReplyFrame:
        # Another copy of the dispatch may have run before, so this is no refusal.
        return ReplyFrame(link, Failed(attempt, kind, Outcome.UNKNOWN, load))

    def _end(self, record: AttemptRecord, now: float) -> None:
        record.stage = Stage.ENDED
        record.ended_at = now
        record.call = None
        self._running.discard(record.attempt)
        self._kept_bytes += measure_end(record)
        heappush(self._ended, (record.stamp, record.attempt))
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        while self._ended and self._is_over(now):
            stamp, attempt = heappop(self._ended)
            record = self._records.pop(attempt)
            self._kept_bytes -= measure_end(record)
            self._floor = max(self._floor, stamp)

    def _is_over(self, now: float) -> bool:
        if len(self._ended) > self.max_kept or self._kept_bytes > MAX_KEPT_BYTES:
            return True
        oldest = self._records[self._ended[0][1]]
        return now >= oldest.ended_at + KEEP_S


def measure_end(record: AttemptRecord) -> int:
    """Return how many bytes of a service's answer a record holds."""
    return len(record.end.body) if isinstance(record.end, Answered) else 0
