"""One partition of the ledger: what it holds, and the one object call in flight.

A partition has at most one call to the object API at a time. Its head is replaced
under a conditional update, so a writer that was overtaken, for however long, can only
fail; it then reads the head, judges its records again and tries once more. A write
whose answer was lost is settled in the same way, since records name their attempts.
"""

from random import Random

from returns.result import Success

from masticdrum.core.invariants import require
from masticdrum.core.judgement import Pending, Refresh, Write, judge
from masticdrum.core.partitionstep import (
    LedgerOptions,
    Op,
    OpKind,
    Step,
    Verdict,
    make_end,
    release,
)
from masticdrum.core.segments import (
    KeyName,
    Numbered,
    Seal,
    decode_head,
    decode_segment,
    encode,
    extend_head,
    find_expired,
    measure,
    name_head,
    name_prefix,
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
    """The state of one partition at one process."""

    __slots__ = (
        "_applied",
        "_confirmed",
        "_doomed",
        "_dropping",
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
        "_shared",
        "_size",
        "_stale",
        "_unread",
        "_version",
    )

    def __init__(self, number: int, options: LedgerOptions, rng: Random) -> None:
        self._number = number
        self._options = options
        self._rng = rng
        self._known: dict[KeyName, Numbered] = {}
        self._head = Head()
        self._version = 0
        self._size = 0
        self._applied = 0
        self._stale = True
        self._unread: list[SegmentRef] = []
        self._op: Op | None = None
        self._pending: list[Pending] = []
        self._seal: Seal | None = None
        self._listed: list[str] | None = None
        self._dropping: list[SegmentRef] = []
        self._doomed: list[str] = []
        self._serial = 0
        self._confirmed = 0
        self._failures = 0
        self._retry_at = 0.0
        self._read_at = 0.0
        self._shared = False

    def add(self, pending: Pending, now: float) -> Step:
        """Take a record or look-up and do what can be done at once."""
        pending.asked = self._serial
        self._pending.append(pending)
        if len(self._pending) > self._options.max_pending:
            pending.until = now
        return self.advance(now)

    def take(self, answer: ObjectAnswer, now: float) -> Step:
        """Take an object call's answer; one that counts no more changes nothing."""
        op = self._op
        if op is None or op.call != answer.call:
            return Step()
        self._op = None
        step = Step()
        self._settle(op, answer, step, now)
        return self._go_on(step, now)

    def advance(self, now: float) -> Step:
        """Do what is due at ``now``."""
        step = Step()
        op = self._op
        if op is not None and now >= op.sent_at + self._options.call_s:
            self._op = None
            self._settle(op, ObjectAnswer(op.call, ObjectStatus.LOST), step, now)
        return self._go_on(step, now)

    def find_next(self) -> float | None:
        """Return when there is something to do without an answer, or None."""
        times = [pending.until for pending in self._pending]
        if self._op is not None:
            times.append(self._op.sent_at + self._options.call_s)
        elif self._pending:
            due = min(pending.due for pending in self._pending)
            times.append(max(due, self._retry_at))
        elif self._doomed or self._unread:
            times.append(self._retry_at)
        return min(times, default=None)

    def find(self, workspace: str, key: str) -> Record | None:
        """Return the newest record known of a key, which may be old."""
        item = self._known.get((workspace, key))
        return None if item is None else item.record

    def is_idle(self) -> bool:
        """Tell whether no record waits for its commit."""
        return not self._pending

    def _go_on(self, step: Step, now: float) -> Step:
        self._give_up_late(step, now)
        if self._op is not None or now < self._retry_at:
            return step
        if self._unread:
            self._get(OpKind.READ_SEGMENT, self._unread[0].path, step, now)
        elif self._pending and self._stale:
            self._read_head(step, now)
        elif self._pending and now >= min(p.due for p in self._pending):
            self._do_due(step, now)
        else:
            self._clean(step, now)
        return step

    def _do_due(self, step: Step, now: float) -> None:
        # Where others write too, a read costs less than a write that fails.
        if self._shared and self._read_at < now:
            self._read_head(step, now)
            return
        self._decide(step, now)

    def _give_up_late(self, step: Step, now: float) -> None:
        late = [pending for pending in self._pending if now >= pending.until]
        if not late:
            return
        self._pending = [p for p in self._pending if now < p.until]
        for pending in late:
            self._give(pending, Decision.UNAVAILABLE, step)
            self._withdraw(pending, now)

    def _withdraw(self, pending: Pending, now: float) -> None:
        # A claim that may be in the ledger without its owner must not stay there.
        record = pending.record
        if record is None or record.state is not KeyState.CLAIMED:
            return
        if not pending.owned:
            return
        in_flight = self._op is not None and pending in self._op.written
        if not pending.lost and not in_flight:
            return
        self._pending.append(make_end(release(record), self._options, now))

    def _decide(self, step: Step, now: float) -> None:
        planned: dict[KeyName, Record] = {}
        chosen: list[Pending] = []
        rest: list[Pending] = []
        refresh = False
        size = 0
        for pending in self._pending:
            name = (pending.workspace, pending.key)
            current = planned.get(name) or self.find(*name)
            judged = judge(current, pending, self._confirmed > pending.asked)
            if isinstance(judged, Write) and size < self._options.group_limit:
                assert pending.record is not None
                planned[name] = pending.record
                chosen.append(pending)
                size += measure(pending.record)
            elif isinstance(judged, Decision) and name not in planned:
                self._give(pending, judged, step)
                continue
            refresh |= isinstance(judged, Refresh) and name not in planned
            rest.append(pending)
        self._pending = rest
        if chosen:
            self._write(chosen, step, now)
        elif refresh:
            self._read_head(step, now)

    def _give(self, pending: Pending, decision: Decision, step: Step) -> None:
        if not pending.ticket:
            return
        record = self.find(pending.workspace, pending.key)
        nothing_ran = record is None or record.state is KeyState.RELEASED
        unclaimed = nothing_ran and self._confirmed > pending.asked
        verdict = Verdict(pending.ticket, decision, record, unclaimed)
        step.verdicts.append(verdict)

    def _write(self, chosen: list[Pending], step: Step, now: float) -> None:
        if self._size > self._options.head_limit and self._seal is None:
            self._seal_head(step, now)
            return
        records = [p.record for p in chosen if p.record is not None]
        expired = find_expired(self._head, self._find_horizon(now))
        head = extend_head(self._head, records, self._seal, expired)
        body = encode(head)
        op = self._start(OpKind.WRITE_HEAD, now)
        op.written = chosen
        op.head = head
        op.size = len(body)
        self._dropping = expired
        path = name_head(self._number)
        step.calls.append(ObjectPut(op.call, path, body, self._version))

    def _seal_head(self, step: Step, now: float) -> None:
        if self._listed is not None:
            self._write_segment(step, now)
            return
        op = self._start(OpKind.LIST_OBJECTS, now)
        step.calls.append(ObjectList(op.call, name_prefix(self._number)))

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
        self._get(OpKind.READ_HEAD, name_head(self._number), step, now)

    def _clean(self, step: Step, now: float) -> None:
        if self._doomed:
            self._get(OpKind.FIND_DOOMED, self._doomed[0], step, now)

    def _get(self, kind: OpKind, path: str, step: Step, now: float) -> None:
        op = self._start(kind, now)
        step.calls.append(ObjectGet(op.call, path))

    def _start(self, kind: OpKind, now: float) -> Op:
        require(self._op is None, f"partition {self._number} has one call in flight")
        self._serial += 1
        call = f"ledger/{self._number}/{self._serial}"
        self._op = Op(kind, call, self._serial, now)
        return self._op

    def _settle(self, op: Op, answer: ObjectAnswer, step: Step, now: float) -> None:
        if answer.status not in (ObjectStatus.REJECTED, ObjectStatus.LOST):
            self._failures = 0
        match op.kind:
            case OpKind.READ_HEAD:
                self._take_head(op, answer, now)
            case OpKind.READ_SEGMENT:
                self._take_segment(answer, now)
            case OpKind.LIST_OBJECTS:
                self._take_names(answer, now)
            case OpKind.WRITE_SEGMENT:
                self._take_sealed(op, answer, now)
            case OpKind.WRITE_HEAD:
                self._take_written(op, answer, step, now)
            case OpKind.FIND_DOOMED:
                self._take_found(answer, step, now)
            case OpKind.DELETE_DOOMED:
                self._take_deleted(answer, now)

    def _back_off(self, now: float) -> None:
        wait_s = min(MAX_RETRY_S, RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._retry_at = now + wait_s * self._rng.uniform(0.5, 1.0)

    def _take_head(self, op: Op, answer: ObjectAnswer, now: float) -> None:
        self._read_at = now
        self._shared = self._shared and answer.version != self._version
        if answer.status is ObjectStatus.MISSING and self._version == 0:
            self._confirmed = op.serial
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
        if not self._unread:
            self._confirmed = op.serial

    def _install(self, head: Head, version: int, size: int) -> None:
        require(
            head.number >= self._head.number,
            f"partition {self._number} of the ledger only grows",
        )
        if version != self._version:
            self._settle_seal(head)
        self._head = head
        self._version = version
        self._size = size
        first = max(head.sealed, self._applied)
        fresh = head.records[first - head.sealed :]
        self._apply(list(enumerate(fresh, first)))
        if head.sealed > self._applied:
            self._unread = [ref for ref in head.segments if ref.last > self._applied]
        self._finish_reading()

    def _finish_reading(self) -> None:
        if self._unread:
            return
        self._applied = self._head.number
        self._stale = False

    def _settle_seal(self, head: Head) -> None:
        paths = {ref.path for ref in head.segments}
        self._doomed += [r.path for r in self._dropping if r.path not in paths]
        self._dropping = []
        if self._seal is None:
            return
        if self._seal.ref.path in paths:
            self._doomed += [ref.path for ref in self._seal.replaces]
        else:
            self._doomed.append(self._seal.ref.path)
        self._seal = None

    def _apply(self, items: list[tuple[int, Record]]) -> None:
        for number, record in items:
            name = (record.workspace, record.key)
            item = self._known.get(name)
            if item is None or item.number < number:
                self._known[name] = Numbered(number, record)

    def _take_segment(self, answer: ObjectAnswer, now: float) -> None:
        if answer.status is ObjectStatus.MISSING:
            # It was merged into another since the head was read.
            self._unread = []
            self._stale = True
            return
        decoded = decode_segment(answer.body)
        if answer.status is not ObjectStatus.OK or not isinstance(decoded, Success):
            self._back_off(now)
            return
        self._apply(decoded.unwrap().items)
        self._unread.pop(0)
        # The head was read before the segments, so it is read again if that matters.
        self._finish_reading()

    def _take_names(self, answer: ObjectAnswer, now: float) -> None:
        if answer.status is not ObjectStatus.OK:
            self._back_off(now)
            return
        kept = {ref.path for ref in self._head.segments}
        kept.add(name_head(self._number))
        self._listed = [name for name in answer.names if name not in kept]

    def _doom_listed(self) -> None:
        # What was listed before this head replaced another and is in neither was left
        # by a process that can't put it into a head any more.
        if self._listed is None:
            return
        kept = {ref.path for ref in self._head.segments}
        kept.update(self._doomed)
        self._doomed += [name for name in self._listed if name not in kept]
        self._listed = None

    def _take_sealed(self, op: Op, answer: ObjectAnswer, now: float) -> None:
        assert op.seal is not None
        if answer.status is ObjectStatus.OK:
            self._seal = op.seal
            return
        if answer.status is ObjectStatus.LOST:
            self._doomed.append(op.seal.ref.path)
        self._back_off(now)

    def _take_written(
        self, op: Op, answer: ObjectAnswer, step: Step, now: float
    ) -> None:
        if answer.status is ObjectStatus.REJECTED:
            self._back_off(now)
            return
        if answer.status is not ObjectStatus.OK:
            self._stale = True
            self._shared = True
            self._listed = None
            if answer.status is ObjectStatus.LOST:
                for pending in op.written:
                    pending.lost = True
                self._back_off(now)
            return
        self._confirmed = op.serial
        self._install(op.head, answer.version, op.size)
        self._doom_listed()
        written = {id(pending) for pending in op.written}
        done = [p for p in self._pending if id(p) in written]
        self._pending = [p for p in self._pending if id(p) not in written]
        for pending in done:
            self._give(pending, Decision.GRANTED, step)

    def _take_found(self, answer: ObjectAnswer, step: Step, now: float) -> None:
        if answer.status is ObjectStatus.MISSING:
            self._doomed.pop(0)
            return
        if answer.status is not ObjectStatus.OK:
            self._back_off(now)
            return
        op = self._start(OpKind.DELETE_DOOMED, now)
        path = self._doomed[0]
        step.calls.append(ObjectDelete(op.call, path, answer.version))

    def _take_deleted(self, answer: ObjectAnswer, now: float) -> None:
        if answer.status in (ObjectStatus.REJECTED, ObjectStatus.LOST):
            self._back_off(now)
            return
        self._doomed.pop(0)

    def _forget_expired(self, now: float) -> None:
        horizon = self._find_horizon(now)
        old = [n for n, item in self._known.items() if item.record.at < horizon]
        for name in old:
            del self._known[name]

    def _find_horizon(self, now: float) -> float:
        options = self._options
        wall = now + options.wall_offset_s
        return wall - options.retention_s - options.prune_margin_s
