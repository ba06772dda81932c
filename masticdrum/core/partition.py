"""One partition of the ledger: its known records and the one object call in flight.

A partition makes at most one call to the object API at a time. Its head is replaced by
a conditional update, so a write based on an old head always fails, however old that
head is. The writer then reads the head, decides again about its records and retries. A
write whose answer was lost is resolved in the same way, since records name their
attempts.
"""

from random import Random

from returns.result import Success

from masticdrum.core.claimdecision import Pending, Refresh, Write, decide
from masticdrum.core.invariants import require
from masticdrum.core.partitionstep import (
    LedgerOptions,
    Op,
    OpKind,
    Step,
    Verdict,
    make_end,
    make_release,
)
from masticdrum.core.segments import (
    KeyName,
    NumberedRecord,
    Seal,
    decode_head,
    decode_segment,
    encode,
    estimate_size,
    extend_head,
    list_expired,
    make_head_path,
    make_path_prefix,
    plan_seal,
)
from masticdrum.model.ledger import Decision, Head, KeyState, Record, SegmentRef
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectDelete,
    ObjectGet,
    ObjectList,
    ObjectPut,
    ObjectStatus,
)

RETRY_S = 0.05
MAX_RETRY_S = 1.0


class Partition:
    """The state of one partition in one process."""

    __slots__ = (
        "_applied",
        "_confirmed_serial",
        "_pending_deletes",
        "_expiring",
        "_failures",
        "_head",
        "_known",
        "_listed",
        "_number",
        "_op",
        "_options",
        "_pending",
        "_read_at",
        "_retry_at",
        "_rng",
        "_seal",
        "_serial",
        "_has_other_writers",
        "_size",
        "_stale",
        "_unread_segments",
        "_version",
    )

    def __init__(self, number: int, options: LedgerOptions, rng: Random) -> None:
        self._number = number
        self._options = options
        self._rng = rng
        self._known: dict[KeyName, NumberedRecord] = {}
        self._head = Head()
        self._version = 0
        self._size = 0
        self._applied = 0
        self._stale = True
        self._unread_segments: list[SegmentRef] = []
        self._op: Op | None = None
        self._pending: list[Pending] = []
        self._seal: Seal | None = None
        self._listed: list[str] | None = None
        self._expiring: list[SegmentRef] = []
        self._pending_deletes: list[str] = []
        self._serial = 0
        self._confirmed_serial = 0
        self._failures = 0
        self._retry_at = 0.0
        self._read_at = 0.0
        self._has_other_writers = False

    def add(self, pending: Pending, now: float) -> Step:
        """Add a record or look-up and start whatever can start at once."""
        pending.serial_at_add = self._serial
        self._pending.append(pending)
        if len(self._pending) > self._options.max_pending:
            pending.until = now
        return self.advance(now)

    def handle_answer(self, answer: ObjectAnswer, now: float) -> Step:
        """Handle the answer to an object call; an outdated answer changes nothing."""
        op = self._op
        if op is None or op.call != answer.call:
            return Step()
        self._op = None
        step = Step()
        self._handle_answer(op, answer, step, now)
        return self._start_next_call(step, now)

    def advance(self, now: float) -> Step:
        """Time out a call without an answer, then start the next call that is due."""
        step = Step()
        op = self._op
        if op is not None and now >= op.sent_at + self._options.call_s:
            self._op = None
            self._handle_answer(op, ObjectAnswer(op.call, ObjectStatus.LOST), step, now)
        return self._start_next_call(step, now)

    def find_next(self) -> float | None:
        """Return when ``advance`` must be called next if no answer arrives, or None."""
        times = [pending.until for pending in self._pending]
        if self._op is not None:
            times.append(self._op.sent_at + self._options.call_s)
        elif self._pending:
            due = min(pending.due for pending in self._pending)
            times.append(max(due, self._retry_at))
        elif self._pending_deletes or self._unread_segments:
            times.append(self._retry_at)
        return min(times, default=None)

    def find(self, workspace: str, key: str) -> Record | None:
        """Return the newest record known of a key; the ledger may hold a newer one."""
        item = self._known.get((workspace, key))
        return None if item is None else item.record

    def is_idle(self) -> bool:
        """Return whether no record or look-up is pending."""
        return not self._pending

    def _start_next_call(self, step: Step, now: float) -> Step:
        self._expire_pending(step, now)
        if self._op is not None or now < self._retry_at:
            return step
        if self._unread_segments:
            self._get(OpKind.READ_SEGMENT, self._unread_segments[0].path, step, now)
        elif self._pending and self._stale:
            self._read_head(step, now)
        elif self._pending and now >= min(p.due for p in self._pending):
            self._commit_due(step, now)
        else:
            self._delete_next(step, now)
        return step

    def _commit_due(self, step: Step, now: float) -> None:
        # With other writers, reading first is cheaper than a write that conflicts.
        if self._has_other_writers and self._read_at < now:
            self._read_head(step, now)
            return
        self._decide_pending(step, now)

    def _expire_pending(self, step: Step, now: float) -> None:
        late = [pending for pending in self._pending if now >= pending.until]
        if not late:
            return
        self._pending = [p for p in self._pending if now < p.until]
        for pending in late:
            self._add_verdict(pending, Decision.UNAVAILABLE, step)
            self._withdraw(pending, now)

    def _withdraw(self, pending: Pending, now: float) -> None:
        # A claim that its waiter gave up must not stay in the ledger unreleased.
        record = pending.record
        if record is None or record.state is not KeyState.CLAIMED:
            return
        if not pending.owned:
            return
        in_flight = self._op is not None and pending in self._op.written
        if not pending.maybe_written and not in_flight:
            return
        self._pending.append(make_end(make_release(record), self._options, now))

    def _decide_pending(self, step: Step, now: float) -> None:
        planned: dict[KeyName, Record] = {}
        chosen: list[Pending] = []
        rest: list[Pending] = []
        refresh = False
        size = 0
        for pending in self._pending:
            name = (pending.workspace, pending.key)
            current = planned.get(name) or self.find(*name)
            outcome = decide(
                current, pending, self._confirmed_serial > pending.serial_at_add
            )
            if isinstance(outcome, Write) and size < self._options.group_limit:
                assert pending.record is not None
                planned[name] = pending.record
                chosen.append(pending)
                size += estimate_size(pending.record)
            elif isinstance(outcome, Decision) and name not in planned:
                self._add_verdict(pending, outcome, step)
                continue
            refresh |= isinstance(outcome, Refresh) and name not in planned
            rest.append(pending)
        self._pending = rest
        if chosen:
            self._write(chosen, step, now)
        elif refresh:
            self._read_head(step, now)

    def _add_verdict(self, pending: Pending, decision: Decision, step: Step) -> None:
        if not pending.ticket:
            return
        record = self.find(pending.workspace, pending.key)
        nothing_ran = record is None or record.state is KeyState.RELEASED
        unclaimed = nothing_ran and self._confirmed_serial > pending.serial_at_add
        verdict = Verdict(pending.ticket, decision, record, unclaimed)
        step.verdicts.append(verdict)

    def _write(self, chosen: list[Pending], step: Step, now: float) -> None:
        if self._size > self._options.head_limit and self._seal is None:
            self._seal_head(step, now)
            return
        records = [p.record for p in chosen if p.record is not None]
        expired = list_expired(self._head, self._compute_horizon(now))
        head = extend_head(self._head, records, self._seal, expired)
        body = encode(head)
        op = self._start(OpKind.WRITE_HEAD, now)
        op.written = chosen
        op.head = head
        op.size = len(body)
        self._expiring = expired
        path = make_head_path(self._number)
        step.calls.append(ObjectPut(op.call, path, body, self._version))

    def _seal_head(self, step: Step, now: float) -> None:
        if self._listed is not None:
            self._write_segment(step, now)
            return
        op = self._start(OpKind.LIST_OBJECTS, now)
        step.calls.append(ObjectList(op.call, make_path_prefix(self._number)))

    def _write_segment(self, step: Step, now: float) -> None:
        self._forget_expired(now)
        op = self._start(OpKind.WRITE_SEGMENT, now)
        op.seal = plan_seal(
            self._number,
            self._head,
            self._options.segment_limit - self._size,
            self._known,
            f"{self._options.writer}-{op.serial}",
        )
        step.calls.append(ObjectPut(op.call, op.seal.ref.path, op.seal.body, 0))

    def _read_head(self, step: Step, now: float) -> None:
        self._get(OpKind.READ_HEAD, make_head_path(self._number), step, now)

    def _delete_next(self, step: Step, now: float) -> None:
        if self._pending_deletes:
            self._get(OpKind.READ_VERSION, self._pending_deletes[0], step, now)

    def _get(self, kind: OpKind, path: str, step: Step, now: float) -> None:
        op = self._start(kind, now)
        step.calls.append(ObjectGet(op.call, path))

    def _start(self, kind: OpKind, now: float) -> Op:
        require(
            self._op is None, f"partition {self._number} has at most one call in flight"
        )
        self._serial += 1
        call = f"ledger/{self._number}/{self._serial}"
        self._op = Op(kind, call, self._serial, now)
        return self._op

    def _handle_answer(
        self, op: Op, answer: ObjectAnswer, step: Step, now: float
    ) -> None:
        if answer.status not in (ObjectStatus.REJECTED, ObjectStatus.LOST):
            self._failures = 0
        match op.kind:
            case OpKind.READ_HEAD:
                self._handle_head(op, answer, now)
            case OpKind.READ_SEGMENT:
                self._handle_segment(answer, now)
            case OpKind.LIST_OBJECTS:
                self._handle_listing(answer, now)
            case OpKind.WRITE_SEGMENT:
                self._handle_segment_written(op, answer, now)
            case OpKind.WRITE_HEAD:
                self._handle_head_written(op, answer, step, now)
            case OpKind.READ_VERSION:
                self._handle_version_read(answer, step, now)
            case OpKind.DELETE_OBJECT:
                self._handle_deleted(answer, now)

    def _back_off(self, now: float) -> None:
        wait_s = min(MAX_RETRY_S, RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._retry_at = now + wait_s * self._rng.uniform(0.5, 1.0)

    def _handle_head(self, op: Op, answer: ObjectAnswer, now: float) -> None:
        self._read_at = now
        self._has_other_writers = (
            self._has_other_writers and answer.version != self._version
        )
        if answer.status is ObjectStatus.MISSING and self._version == 0:
            self._confirmed_serial = op.serial
            self._stale = False
            return
        if answer.status is not ObjectStatus.OK or answer.version < self._version:
            self._back_off(now)
            return
        decoded = decode_head(answer.body)
        if not isinstance(decoded, Success):
            self._back_off(now)
            return
        head = decoded.unwrap()
        if head.sealed != self._head.sealed:
            self._forget_expired(now)
        self._install(head, answer.version, len(answer.body))
        if not self._unread_segments:
            self._confirmed_serial = op.serial

    def _install(self, head: Head, version: int, size: int) -> None:
        require(
            head.number >= self._head.number,
            f"the record number of ledger partition {self._number} never decreases",
        )
        if version != self._version:
            self._resolve_seal(head)
        self._head = head
        self._version = version
        self._size = size
        first = max(head.sealed, self._applied)
        fresh = head.records[first - head.sealed :]
        self._apply(list(enumerate(fresh, first)))
        if head.sealed > self._applied:
            self._unread_segments = [
                ref for ref in head.segments if ref.last > self._applied
            ]
        self._finish_reading()

    def _finish_reading(self) -> None:
        if self._unread_segments:
            return
        self._applied = self._head.number
        self._stale = False

    def _resolve_seal(self, head: Head) -> None:
        paths = {ref.path for ref in head.segments}
        self._pending_deletes += [r.path for r in self._expiring if r.path not in paths]
        self._expiring = []
        if self._seal is None:
            return
        if self._seal.ref.path in paths:
            self._pending_deletes += [ref.path for ref in self._seal.replaces]
        else:
            self._pending_deletes.append(self._seal.ref.path)
        self._seal = None

    def _apply(self, items: list[tuple[int, Record]]) -> None:
        for number, record in items:
            name = (record.workspace, record.key)
            item = self._known.get(name)
            if item is None or item.number < number:
                self._known[name] = NumberedRecord(number, record)

    def _handle_segment(self, answer: ObjectAnswer, now: float) -> None:
        if answer.status is ObjectStatus.MISSING:
            # The segment was merged into another one after the head was read.
            self._unread_segments = []
            self._stale = True
            return
        decoded = decode_segment(answer.body)
        if answer.status is not ObjectStatus.OK or not isinstance(decoded, Success):
            self._back_off(now)
            return
        self._apply(decoded.unwrap().items)
        self._unread_segments.pop(0)
        # The head was read before the segments, so these records don't count as fresh:
        # a decision that needs fresh ones reads the head again.
        self._finish_reading()

    def _handle_listing(self, answer: ObjectAnswer, now: float) -> None:
        if answer.status is not ObjectStatus.OK:
            self._back_off(now)
            return
        named = {ref.path for ref in self._head.segments}
        named.add(make_head_path(self._number))
        self._listed = [name for name in answer.names if name not in named]

    def _queue_orphans(self) -> None:
        # These objects were listed before this process replaced the head, and neither
        # the old nor the new head names them. Their writers can't name them in a head
        # any more, since a conditional update on the old head fails now.
        if self._listed is None:
            return
        named = {ref.path for ref in self._head.segments}
        named.update(self._pending_deletes)
        self._pending_deletes += [name for name in self._listed if name not in named]
        self._listed = None

    def _handle_segment_written(self, op: Op, answer: ObjectAnswer, now: float) -> None:
        assert op.seal is not None
        if answer.status is ObjectStatus.OK:
            self._seal = op.seal
            return
        if answer.status is ObjectStatus.LOST:
            self._pending_deletes.append(op.seal.ref.path)
        self._back_off(now)

    def _handle_head_written(
        self, op: Op, answer: ObjectAnswer, step: Step, now: float
    ) -> None:
        if answer.status is ObjectStatus.REJECTED:
            self._back_off(now)
            return
        if answer.status is not ObjectStatus.OK:
            self._stale = True
            self._has_other_writers = True
            self._listed = None
            if answer.status is ObjectStatus.LOST:
                for pending in op.written:
                    pending.maybe_written = True
                self._back_off(now)
            return
        self._confirmed_serial = op.serial
        self._install(op.head, answer.version, op.size)
        self._queue_orphans()
        written = {id(pending) for pending in op.written}
        done = [p for p in self._pending if id(p) in written]
        self._pending = [p for p in self._pending if id(p) not in written]
        for pending in done:
            self._add_verdict(pending, Decision.GRANTED, step)

    def _handle_version_read(
        self, answer: ObjectAnswer, step: Step, now: float
    ) -> None:
        if answer.status is ObjectStatus.MISSING:
            self._pending_deletes.pop(0)
            return
        if answer.status is not ObjectStatus.OK:
            self._back_off(now)
            return
        op = self._start(OpKind.DELETE_OBJECT, now)
        path = self._pending_deletes[0]
        step.calls.append(ObjectDelete(op.call, path, answer.version))

    def _handle_deleted(self, answer: ObjectAnswer, now: float) -> None:
        if answer.status in (ObjectStatus.REJECTED, ObjectStatus.LOST):
            self._back_off(now)
            return
        self._pending_deletes.pop(0)

    def _forget_expired(self, now: float) -> None:
        horizon = self._compute_horizon(now)
        old = [n for n, item in self._known.items() if item.record.at < horizon]
        for name in old:
            del self._known[name]

    def _compute_horizon(self, now: float) -> float:
        options = self._options
        wall = now + options.wall_offset_s
        return wall - options.retention_s - options.prune_margin_s
