"""Deliberate faults in the call path, each of which the tests must detect."""

from collections.abc import Callable
from typing import Any

import pytest
from msgspec import structs

from masticdrum.core import callframes, calls, claimdecision, partition
from masticdrum.core.attempts import Attempts
from masticdrum.core.claimdecision import Write, decide_claim
from masticdrum.core.partition import Partition
from masticdrum.core.segments import encode
from masticdrum.model.ledger import KeyState, Segment
from masticdrum.model.platform import ObjectStatus

Patch = pytest.MonkeyPatch


def steal_claims(patch: Patch) -> None:
    """Claim a key again although another attempt's outcome is not recorded yet."""

    def claim_anyway(current: Any, wanted: Any, fresh: bool) -> Any:
        if current is not None and current.state is KeyState.CLAIMED:
            return Write()
        return decide_claim(current, wanted, fresh)

    patch.setattr(claimdecision, "decide_claim", claim_anyway)


def ignore_write_conflicts(patch: Patch) -> None:
    """Treat a write that lost the conditional update as successful."""
    original = Partition._handle_head_written

    def report_success(self: Any, op: Any, answer: Any, step: Any, now: float) -> None:
        if answer.status is ObjectStatus.CONFLICT:
            answer = structs.replace(
                answer, status=ObjectStatus.OK, version=self._version
            )
        original(self, op, answer, step, now)

    patch.setattr(Partition, "_handle_head_written", report_success)


def assume_lost_writes_succeeded(patch: Patch) -> None:
    """Treat a write that got no answer as successful."""
    original = Partition._handle_head_written

    def report_success(self: Any, op: Any, answer: Any, step: Any, now: float) -> None:
        if answer.status is ObjectStatus.LOST:
            answer = structs.replace(
                answer, status=ObjectStatus.OK, version=self._version + 1
            )
        original(self, op, answer, step, now)

    patch.setattr(Partition, "_handle_head_written", report_success)


def skip_ledger(patch: Patch) -> None:
    """Dispatch without waiting for the claim's commit."""
    claim = calls._claim

    def claim_and_send(state: Any, call: Any, peer: Any, now: float) -> Any:
        effects = claim(state, call, peer, now)
        if call.stage is not calls.CallStage.CLAIMING:
            return effects
        return effects + calls._send_call(state, call, peer, now)

    patch.setattr(calls, "_claim", claim_and_send)
    patch.setattr(calls, "_dispatch", lambda state, call, now: [])


def report_unknown_as_not_run(patch: Patch) -> None:
    """Treat every end without an answer as "not run"."""
    patch.setattr(callframes, "_reports_not_run", lambda message: True)
    patch.setattr(
        callframes, "_matches_incarnation", lambda expected, incarnation: True
    )


def forget_attempts(patch: Patch) -> None:
    """Run each copy of a dispatch at the agent."""
    original = Attempts.handle_call

    def forget(self: Any, link: str, call: Any, gate: Any, now: float) -> Any:
        record = self._records.get(call.attempt)
        if record is not None and record.end is not None:
            del self._records[call.attempt]
            self._ended = [pair for pair in self._ended if pair[1] != call.attempt]
        return original(self, link, call, gate, now)

    patch.setattr(Attempts, "handle_call", forget)


def ignore_incarnation(patch: Patch) -> None:
    """Run dispatches that were addressed to a replaced agent."""
    original = Attempts.handle_call

    def ignore(self: Any, link: str, call: Any, gate: Any, now: float) -> Any:
        return original(self, link, structs.replace(call, incarnation=""), gate, now)

    patch.setattr(Attempts, "handle_call", ignore)


def write_no_tombstone(patch: Patch) -> None:
    """Report "not run" of an attempt whose dispatch may still arrive."""
    original = Attempts.handle_settle

    def leave(self: Any, link: str, settle: Any, load: Any, now: float) -> Any:
        known = settle.attempt in self._records
        effects = original(self, link, settle, load, now)
        if not known and settle.attempt in self._records:
            del self._records[settle.attempt]
            self._ended = [pair for pair in self._ended if pair[1] != settle.attempt]
        return effects

    patch.setattr(Attempts, "handle_settle", leave)


def resolve_at_any_agent(patch: Patch) -> None:
    """Let a replaced agent's successor report "not run" for it."""
    original = Attempts.handle_settle

    def resolve_here(self: Any, link: str, settle: Any, load: Any, now: float) -> Any:
        settle = structs.replace(settle, incarnation="")
        return original(self, link, settle, load, now)

    patch.setattr(Attempts, "handle_settle", resolve_here)
    patch.setattr(
        callframes, "_matches_incarnation", lambda expected, incarnation: True
    )


def drop_age_floor(patch: Patch) -> None:
    """Drop old attempts without recording the newest timestamp among them."""
    forget = Attempts._forget_old

    def forget_all(self: Any, now: float) -> None:
        forget(self, now)
        self._newest_forgotten = ""

    patch.setattr(Attempts, "_forget_old", forget_all)


def report_all_unclaimed(patch: Patch) -> None:
    """Report "not run" in an outage, whatever may have run under the key before."""
    verdict = partition.Verdict

    def make(ticket: str, decision: Any, record: Any, unclaimed: bool) -> Any:
        return verdict(ticket, decision, record, True)

    patch.setattr(partition, "Verdict", make)


def ignore_bodies(patch: Patch) -> None:
    """Accept any body as the one with which a key was first used."""
    patch.setattr(calls, "digest_request", lambda route, body: b"")


def ignore_workspaces(patch: Patch) -> None:
    """Find a key's record whatever workspace it belongs to."""

    def find(self: Any, workspace: str, key: str) -> Any:
        for name, item in self._known.items():
            if name[1] == key:
                return item.record
        return None

    patch.setattr(Partition, "find", find)
    patch.setattr("masticdrum.core.ledger.choose_partition", lambda *name: 0)


def prune_before_retention(patch: Patch) -> None:
    """Drop keys long before the retention has passed."""
    patch.setattr(Partition, "_compute_horizon", lambda self, now: now - 5.0)


def seal_without_merging(patch: Patch) -> None:
    """Drop the last segment's records instead of merging them."""
    plan = partition.plan_seal

    def drop(number: int, head: Any, *rest: Any) -> Any:
        seal = plan(number, head, *rest)
        items = [(n, record) for n, record in enumerate(head.records, head.sealed)]
        return structs.replace(seal, body=encode(Segment(items)))

    patch.setattr(partition, "plan_seal", drop)


def release_for_others(patch: Patch) -> None:
    """Release claims that another entry made and may have dispatched under."""
    withdraw = Partition._withdraw

    def withdraw_all(self: Any, pending: Any, now: float) -> None:
        pending.owned = True
        withdraw(self, pending, now)

    patch.setattr(Partition, "_withdraw", withdraw_all)


def decide_on_stale_records(patch: Patch) -> None:
    """Decide on ends from others without reading the records written since."""
    decide_end = claimdecision.decide_end

    def decide_as_fresh(current: Any, wanted: Any, fresh: bool) -> Any:
        return decide_end(current, wanted, True)

    patch.setattr(claimdecision, "decide_end", decide_as_fresh)


MUTANTS: list[Callable[[Patch], None]] = [
    steal_claims,
    ignore_write_conflicts,
    assume_lost_writes_succeeded,
    skip_ledger,
    report_unknown_as_not_run,
    forget_attempts,
    ignore_incarnation,
    write_no_tombstone,
    resolve_at_any_agent,
    drop_age_floor,
    report_all_unclaimed,
    ignore_bodies,
    ignore_workspaces,
    prune_before_retention,
    seal_without_merging,
    release_for_others,
    decide_on_stale_records,
]
