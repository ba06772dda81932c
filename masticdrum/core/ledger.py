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
from masticdrum.core.partition import (
    LedgerOptions,
    Partition,
    Step,
    make_end,
    make_release,
)
from masticdrum.core.segments import choose_partition
from masticdrum.model.ledger import Record
from masticdrum.model.platform import ObjectAnswer


class Ledger:
    """What one process knows of the ledger, and its records on their way there."""

    __slots__ = ("_options", "_partitions")

    def __init__(self, options: LedgerOptions, rng: Random) -> None:
        self._options = options
        numbers = range(options.partitions)
        self._partitions = [Partition(n, options, rng) for n in numbers]

    @property
    def retention_s(self) -> float:
        """How long a key is kept at least, in seconds."""
        return self._options.retention_s

    def tell_wall(self, now: float) -> float:
        """Return the wall-clock time at ``now``, in seconds."""
        return now + self._options.wall_offset_s

    def claim(self, ticket: str, record: Record, until: float, now: float) -> Step:
        """Ask for a claim; one that is granted after ``until`` is given back."""
        pending = Pending(
            ticket=ticket,
            workspace=record.workspace,
            key=record.key,
            digest=record.digest,
            record=record,
            due=now + self._options.group_s,
            until=until,
        )
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

    def record(self, reply: Record, now: float) -> Step:
        """Write down the reply of an attempt that ran; there is no verdict."""
        return self._add(make_end(reply, self._options, now), now)

    def release(self, claim: Record, now: float) -> Step:
        """Give up a claim whose attempt never ran and never will; no verdict."""
        return self._add(make_release(claim, self._options, now), now)

    def find(self, workspace: str, key: str) -> Record | None:
        """Return the newest record known of a key, which may be old."""
        return self._choose(workspace, key).find(workspace, key)

    def take(self, answer: ObjectAnswer, now: float) -> Step:
        """Take an object call's answer; calls of others are left alone."""
        parts = answer.call.split("/")
        if parts[0] != "ledger":
            return Step()
        return self._partitions[int(parts[1])].take(answer, now)

    def advance(self, now: float) -> Step:
        """Do what is due at ``now``."""
        total = Step()
        for partition in self._partitions:
            at = partition.find_next()
            if at is None or at > now:
                continue
            step = partition.advance(now)
            total.calls += step.calls
            total.verdicts += step.verdicts
        return total

    def find_next(self) -> float | None:
        """Return when ``advance`` has something to do, or None."""
        times = [partition.find_next() for partition in self._partitions]
        return min((at for at in times if at is not None), default=None)

    def is_idle(self) -> bool:
        """Tell whether nothing waits for its commit."""
        return all(partition.is_idle() for partition in self._partitions)

    def _add(self, pending: Pending, now: float) -> Step:
        return self._choose(pending.workspace, pending.key).add(pending, now)

    def _choose(self, workspace: str, key: str) -> Partition:
        count = self._options.partitions
        return self._partitions[choose_partition(workspace, key, count)]
