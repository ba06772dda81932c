"""Deliberate breaks of the call path's mechanisms, for tests only."""

from collections.abc import Callable
from typing import Any

import pytest
from msgspec import structs

from masticdrum.core import callframes, calls, judgement, partition
from masticdrum.core.attempts import Attempts
from masticdrum.core.judgement import Write, judge_claim
from masticdrum.core.partition import Partition
from masticdrum.core.segments import encode
from masticdrum.model.ledger import KeyState, Segment
from masticdrum.model.platform import ObjectStatus

Patch = pytest.MonkeyPatch


def steal_claims(patch: Patch) -> None:
    """Claims a key again although another attempt has no end yet."""

    def judge(current: Any, wanted: Any, fresh: bool) -> Any:
        if current is not None and current.state is KeyState.CLAIMED:
            return Write()
        return judge_claim(current, wanted, fresh)

    patch.setattr(judgement, "judge_claim", judge)


def believe_conflicts(patch: Patch) -> None:
    """Take a write that lost the conditional update for a good one."""
    take = Partition._take_written

    def believe(self: Any, op: Any, answer: Any, step: Any, now: float) -> None:
        if answer.status is ObjectStatus.CONFLICT:
            answer = structs.replace(
                answer, status=ObjectStatus.OK, version=self._version
            )
        take(self, op, answer, step, now)

    patch.setattr(Partition, "_take_written", believe)


def believe_lost_writes(patch: Patch) -> None:
    """Take a write without an answer for a good one."""
    take = Partition._take_written

    def believe(self: Any, op: Any, answer: Any, step: Any, now: float) -> None:
        if answer.status is ObjectStatus.LOST:
            answer = structs.replace(
                answer, status=ObjectStatus.OK, version=self._version + 1
            )
        take(self, op, answer, step, now)

    patch.setattr(Partition, "_take_written", believe)


def skip_ledger(patch: Patch) -> None:
    """Dispatches without waiting for the claim's commit."""
    claim = calls._claim

    def hurry(state: Any, call: Any, peer: Any, now: float) -> Any:
        effects = claim(state, call, peer, now)
        if call.stage is not calls.CallStage.CLAIMING:
            return effects
        return effects + calls._send_call(state, call, peer, now)

    patch.setattr(calls, "_claim", hurry)
    patch.setattr(calls, "_dispatch", lambda state, call, now: [])


def take_unknown_for_not_run(patch: Patch) -> None:
    """Take every end without an answer for "not run"."""
    patch.setattr(callframes, "_reports_not_run", lambda message: True)
    patch.setattr(
        callframes, "_is_same_incarnation", lambda expected, incarnation: True
    )


def forget_attempts(patch: Patch) -> None:
    """Run each copy of a dispatch at the agent."""
    take = Attempts.take_call

    def forget(self: Any, link: str, call: Any, gate: Any, now: float) -> Any:
        record = self._records.get(call.attempt)
        if record is not None and record.end is not None:
            del self._records[call.attempt]
            self._ended = [pair for pair in self._ended if pair[1] != call.attempt]
        return take(self, link, call, gate, now)

    patch.setattr(Attempts, "take_call", forget)


def ignore_incarnation(patch: Patch) -> None:
    """Run dispatches that were meant for a replaced agent."""
    take = Attempts.take_call

    def ignore(self: Any, link: str, call: Any, gate: Any, now: float) -> Any:
        return take(self, link, structs.replace(call, incarnation=""), gate, now)

    patch.setattr(Attempts, "take_call", ignore)


def leave_no_tombstone(patch: Patch) -> None:
    """Says "not run" of an attempt that may still come."""
    take = Attempts.take_settle

    def leave(self: Any, link: str, settle: Any, load: Any, now: float) -> Any:
        known = settle.attempt in self._records
        effects = take(self, link, settle, load, now)
        if not known and settle.attempt in self._records:
            del self._records[settle.attempt]
            self._ended = [pair for pair in self._ended if pair[1] != settle.attempt]
        return effects

    patch.setattr(Attempts, "take_settle", leave)


def settle_at_any_agent(patch: Patch) -> None:
    """Lets a replaced agent's successor say "not run" for it."""
    take = Attempts.take_settle

    def settle_mine(self: Any, link: str, settle: Any, load: Any, now: float) -> Any:
        settle = structs.replace(settle, incarnation="")
        return take(self, link, settle, load, now)

    patch.setattr(Attempts, "take_settle", settle_mine)
    patch.setattr(
        callframes, "_is_same_incarnation", lambda expected, incarnation: True
    )


def keep_no_floor(patch: Patch) -> None:
    """Forgets old attempts without remembering how old the newest of them was."""
    forget = Attempts._forget_old

    def forget_all(self: Any, now: float) -> None:
        forget(self, now)
        self._floor = ""

    patch.setattr(Attempts, "_forget_old", forget_all)


def call_all_unclaimed(patch: Patch) -> None:
    """Says "not run" in an outage, whatever may have run under the key before."""
    verdict = partition.Verdict

    def make(ticket: str, decision: Any, record: Any, unclaimed: bool) -> Any:
        return verdict(ticket, decision, record, True)

    patch.setattr(partition, "Verdict", make)


def ignore_bodies(patch: Patch) -> None:
    """Take any body for the one that a key was used with first."""
    patch.setattr(calls, "digest_request", lambda route, body: b"")


def mix_workspaces(patch: Patch) -> None:
    """Find a key's record whatever workspace it belongs to."""

    def find(self: Any, workspace: str, key: str) -> Any:
        for name, item in self._known.items():
            if name[1] == key:
                return item.record
        return None

    patch.setattr(Partition, "find", find)
    patch.setattr("masticdrum.core.ledger.choose_partition", lambda *name: 0)


def prune_early(patch: Patch) -> None:
    """Forgets keys long before the retention has passed."""
    patch.setattr(Partition, "_find_horizon", lambda self, now: now - 5.0)


def seal_without_merged(patch: Patch) -> None:
    """Drop the last segment's records where they should be merged."""
    plan = partition.plan_seal

    def drop(number: int, head: Any, *rest: Any) -> Any:
        seal = plan(number, head, *rest)
        items = [(n, record) for n, record in enumerate(head.records, head.sealed)]
        return structs.replace(seal, body=encode(Segment(items)))

    patch.setattr(partition, "plan_seal", drop)


def give_back_for_others(patch: Patch) -> None:
    """Give back claims that another entry made and may have dispatched under."""
    withdraw = Partition._withdraw

    def withdraw_all(self: Any, pending: Any, now: float) -> None:
        pending.owned = True
        withdraw(self, pending, now)

    patch.setattr(Partition, "_withdraw", withdraw_all)


def judge_on_old_records(patch: Patch) -> None:
    """Judges ends that others wrote without reading what came since."""
    judge_end = judgement.judge_end

    def judge(current: Any, wanted: Any, fresh: bool) -> Any:
        return judge_end(current, wanted, True)

    patch.setattr(judgement, "judge_end", judge)


MUTANTS: list[Callable[[Patch], None]] = [
    steal_claims,
    believe_conflicts,
    believe_lost_writes,
    skip_ledger,
    take_unknown_for_not_run,
    forget_attempts,
    ignore_incarnation,
    leave_no_tombstone,
    settle_at_any_agent,
    keep_no_floor,
    call_all_unclaimed,
    ignore_bodies,
    mix_workspaces,
    prune_early,
    seal_without_merged,
    give_back_for_others,
    judge_on_old_records,
]
