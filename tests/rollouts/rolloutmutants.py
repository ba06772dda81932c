"""Deliberate faults in the mechanisms of roll-outs, for tests only."""

from typing import Any

import pytest
from msgspec import structs

from masticdrum.model.rollouts import PutRolloutStatus
from masticdrum.rollouts import course, decider, orderlease
from masticdrum.rollouts.decider import RolloutDecider
from masticdrum.rollouts.follower import FollowedOrder, RolloutFollower
from masticdrum.rollouts.orderlease import OrderLease
from tests.rollouts.rolloutworld import UNCONDITIONAL

Patch = pytest.MonkeyPatch


def write_status_unconditionally(patch: Patch) -> None:
    """Write a status whatever the object holds."""
    write = RolloutDecider._write

    def write_anyway(self: RolloutDecider, state: Any, now: float) -> Any:
        return [
            structs.replace(effect, revision=UNCONDITIONAL)
            if isinstance(effect, PutRolloutStatus)
            else effect
            for effect in write(self, state, now)
        ]

    patch.setattr(RolloutDecider, "_write", write_anyway)


def grant_without_a_recent_renewal(patch: Patch) -> None:
    """Take a lease that was once held for valid."""
    patch.setattr(orderlease, "VALID_S", float("inf"))


def ignore_what_others_know(patch: Patch) -> None:
    """Decide without hearing which final states entries know."""
    patch.setattr(decider, "find_final_state", lambda word: None)


def decide_at_once_after_a_takeover(patch: Patch) -> None:
    """Hear nobody before the first decision."""
    patch.setattr(course, "HEAR_S", 0.0)


def grant_until_the_write_is_answered(patch: Patch) -> None:
    """Go on with the last step until the store holds the end."""
    grant = RolloutDecider._grant

    def grant_step(self: RolloutDecider, state: Any, *given: Any) -> Any:
        was_bad, state.is_bad = state.is_bad, False
        granted = grant(self, state, *given)
        state.is_bad = was_bad
        return granted

    patch.setattr(RolloutDecider, "_grant", grant_step)


def take_leases_unconditionally(patch: Patch) -> None:
    """Take a lease over however lately it was renewed."""
    patch.setattr(OrderLease, "_find_takeover", lambda *_: 0.0)


def begin_again_with_each_holder(patch: Patch) -> None:
    """Count an order's time from each takeover."""
    names = OrderLease._names_order

    def names_own(self: OrderLease, lease: Any) -> bool:
        return names(self, lease) and lease.holder == self._holder

    patch.setattr(OrderLease, "_names_order", names_own)


def obey_superseded_deciders(patch: Patch) -> None:
    """Forget which fencing numbers were seen."""
    patch.setattr(RolloutFollower, "_raise_number", lambda *_: None)


def change_a_final_state(patch: Patch) -> None:
    """Use the state that was learnt last."""

    def learn(self: FollowedOrder, state: Any) -> None:
        self.final = state if state and state.is_final else None

    patch.setattr(FollowedOrder, "learn", learn)


def report_no_final_states(patch: Patch) -> None:
    """Report nothing of orders whose end is known."""
    make = RolloutFollower.make_reports

    def make_running(self: RolloutFollower, *given: Any) -> Any:
        return [sent for sent in make(self, *given) if not sent.report.decided]

    patch.setattr(RolloutFollower, "make_reports", make_running)


def grant_beyond_the_lease(patch: Patch) -> None:
    """Let each grant hold as long as any other."""
    patch.setattr(decider, "GRANT_MARGIN_S", float("inf"))


def complete_alone(patch: Patch) -> None:
    """Complete an order however few entries report."""
    patch.setattr(course.Course, "hears_most", lambda *_: True)


def keep_grants(patch: Patch) -> None:
    """Use the last grant however old it is."""
    patch.setattr(
        RolloutFollower,
        "_find_valid_grant",
        lambda self, order, now: order.grant,
    )
