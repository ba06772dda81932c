"""The ledger of non-idempotent calls: one interface over all of its partitions.

A call is dispatched only after its claim has been committed to the ledger. The reply,
or the release of a claim whose call did not run, is committed afterwards. The ledger
answers each ticket with a verdict. For example::

    step = ledger.claim("a ticket", record, until=now + 2.0, now=now)
    ...
    step = ledger.handle_call_answer(answer, now)
    assert step.verdicts[0].decision is Decision.GRANTED
"""

from random import Random

from masticdrum.core.claimdecision import Pending
from masticdrum.core.partition import Partition
from masticdrum.core.partitionstep import LedgerOptions, Step, make_end
from masticdrum.core.segments import choose_partition
from masticdrum.core.timers import Timers
from masticdrum.model.ledger import KeyState, Record
from masticdrum.model.platform import ObjectAnswer


class Ledger:
    """One process's view of the ledger, and its records that wait for their commit."""

    __slots__ = ("_options", "_partitions", "_timers")

    def __init__(self, options: LedgerOptions, rng: Random) -> None:
        self._options = options
        numbers = range(options.partitions)
        self._partitions = [Partition(n, options, rng) for n in numbers]
        self._timers: Timers[int] = Timers()

    @property
    def retention_s(self) -> float:
        """The minimum time for which a key is stored, in seconds."""
        return self._options.retention_s

    def compute_wall_time(self, now: float) -> float:
        """Return the wall-clock time at ``now``, in seconds."""
        return now + self._options.wall_offset_s

    @property
    def partitions(self) -> int:
        """The number of partitions."""
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
        """Request a claim; one that is not committed by ``until`` is released.

        ``forwarded`` means that another process may have written the claim already.
        """
        pending = self._make_claim(ticket, record, until, now)
        pending.maybe_written = forwarded
        return self._add(pending, now)

    def commit_for_peer(
        self, ticket: str, record: Record, until: float, now: float
    ) -> Step:
        """Commit a record for another process.

        A claim is never released here: only the other process knows whether it has
        dispatched a call under it.
        """
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
        """Look up the state of a key without claiming it."""
        pending = Pending(ticket, workspace, key, digest, None, now, until)
        return self._add(pending, now)

    def record(self, ticket: str, end: Record, now: float) -> Step:
        """Record the reply of an attempt, or that it did not run.

        An empty ticket gets no verdict.
        """
        pending = make_end(end, self._options, now)
        pending.ticket = ticket
        return self._add(pending, now)

    def find(self, workspace: str, key: str) -> Record | None:
        """Return the newest record known of a key; the ledger may hold a newer one."""
        return self._partitions[self.choose(workspace, key)].find(workspace, key)

    def handle_call_answer(self, answer: ObjectAnswer, now: float) -> Step:
        """Handle the answer to an object call; answers to other calls are ignored."""
        parts = answer.call.split("/")
        if parts[0] != "ledger":
            return Step()
        number = int(parts[1])
        step = self._partitions[number].handle_answer(answer, now)
        self._set_timer(number)
        return step

    def advance(self, now: float) -> Step:
        """Handle all timers that are due at ``now``."""
        total = Step()
        for number in self._timers.pop_due(now):
            step = self._partitions[number].advance(now)
            self._set_timer(number)
            total.calls += step.calls
            total.verdicts += step.verdicts
        return total

    def find_next(self) -> float | None:
        """Return when ``advance`` must be called next, or None."""
        return self._timers.find_next()

    def is_idle(self) -> bool:
        """Return whether no record or look-up is pending."""
        return all(partition.is_idle() for partition in self._partitions)

    def choose(self, workspace: str, key: str) -> int:
        """Return the number of the partition that holds a key."""
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
