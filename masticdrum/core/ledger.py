"""The ledger of non-idempotent calls: one interface over its partitions.

A claim must be in the ledger before its call is dispatched; the reply or the release
follows. Answers come as verdicts. For example::

    step = ledger.claim("a ticket", record, until=now + 2.0, now=now)
    ...
    step = ledger.take(answer, now)
    assert step.verdicts[0].decision is Decision.GRANTED
"""

from random import Random

from masticdrum.core.judgement import Pending
from masticdrum.core.partition import Partition
from masticdrum.core.partitionstep import LedgerOptions, Step, make_end
from masticdrum.core.segments import choose_partition
from masticdrum.core.timers import Timers
from masticdrum.model.ledger import KeyState, Record
from masticdrum.model.platform import ObjectAnswer


class Ledger:
    """What one process knows of the ledger, and its records on their way there."""

    __slots__ = ("_options", "_partitions", "_timers")

    def __init__(self, options: LedgerOptions, rng: Random) -> None:
        self._options = options
        numbers = range(options.partitions)
        self._partitions = [Partition(n, options, rng) for n in numbers]
        self._timers: Timers[int] = Timers()

    @property
    def retention_s(self) -> float:
        """How long a key is kept at least, in seconds."""
        return self._options.retention_s

    def tell_wall(self, now: float) -> float:
        """Return the wall-clock time at ``now``, in seconds."""
        return now + self._options.wall_offset_s

    @property
    def partitions(self) -> int:
        """How many partitions there are."""
        return self._options.partitions

    def claim(
        self,
        ticket: str,
        record: Record,
        until: float,
        now: float,
        *,
        forwarded: bool = False,
    ) -> Step:
        """Ask for a claim; one that is granted after ``until`` is given back.

        ``forwarded`` tells that another process may have written it already.
        """
        pending = self._make_claim(ticket, record, until, now)
        pending.lost = forwarded
        return self._add(pending, now)

    def serve(self, ticket: str, record: Record, until: float, now: float) -> Step:
        """Commit another process's record, which only that process may give back."""
        if record.state is KeyState.CLAIMED:
            pending = self._make_claim(ticket, record, until, now)
        else:
            pending = make_end(record, self._options, now)
            pending.ticket = ticket
            pending.until = until
        pending.owned = False
        return self._add(pending, now)

    def look_up(
        self,
        ticket: str,
        workspace: str,
        key: str,
        digest: bytes,
        until: float,
        now: float,
    ) -> Step:
        """Ask what the ledger says of a key, without a claim."""
        pending = Pending(ticket, workspace, key, digest, None, now, until)
        return self._add(pending, now)

    def record(self, ticket: str, end: Record, now: float) -> Step:
        """Write down the reply of an attempt, or that it did not run.

        There is a verdict only if the ticket is not empty.
        """
        pending = make_end(end, self._options, now)
        pending.ticket = ticket
        return self._add(pending, now)

    def find(self, workspace: str, key: str) -> Record | None:
        """Return the newest record known of a key, which may be old."""
        return self._partitions[self.choose(workspace, key)].find(workspace, key)

    def take(self, answer: ObjectAnswer, now: float) -> Step:
        """Take an object call's answer; calls of others are left alone."""
        parts = answer.call.split("/")
        if parts[0] != "ledger":
            return Step()
        number = int(parts[1])
        step = self._partitions[number].take(answer, now)
        self._set_timer(number)
        return step

    def advance(self, now: float) -> Step:
        """Do what is due at ``now``."""
        total = Step()
        for number in self._timers.pop_due(now):
            step = self._partitions[number].advance(now)
            self._set_timer(number)
            total.calls += step.calls
            total.verdicts += step.verdicts
        return total

    def find_next(self) -> float | None:
        """Return when ``advance`` has something to do, or None."""
        return self._timers.find_next()

    def is_idle(self) -> bool:
        """Tell whether nothing waits for its commit."""
        return all(partition.is_idle() for partition in self._partitions)

    def choose(self, workspace: str, key: str) -> int:
        """Return the number of a key's partition."""
        return choose_partition(workspace, key, self._options.partitions)

    def _make_claim(
        self, ticket: str, record: Record, until: float, now: float
    ) -> Pending:
        return Pending(
            ticket=ticket,
            workspace=record.workspace,
            key=record.key,
            digest=record.digest,
            record=record,
            due=now + self._options.group_s,
            until=until,
        )

    def _add(self, pending: Pending, now: float) -> Step:
        number = self.choose(pending.workspace, pending.key)
        step = self._partitions[number].add(pending, now)
        self._set_timer(number)
        return step

    def _set_timer(self, number: int) -> None:
        at = self._partitions[number].find_next()
        if at is None:
            self._timers.clear(number)
        else:
            self._timers.set(number, at)
