"""Deliberate breaks of the mechanisms of forwarded requests, for tests only."""

from typing import Any

import pytest
from msgspec import structs

from masticdrum.core import attemptstart, beliefs, exchanges, keptparts
from masticdrum.core.attemptends import END_RULES
from masticdrum.core.beliefs import Beliefs
from masticdrum.core.coldpace import ColdPace
from masticdrum.core.keptparts import KeptParts
from masticdrum.core.ordercourse import OrderCourse
from masticdrum.core.retrywindow import RetryWindow
from masticdrum.core.saturation import Queue, Saturation
from masticdrum.model.exchange import Ran

Patch = pytest.MonkeyPatch


def repeat_whatever_ran(patch: Patch) -> None:
    """Send a request again although it may have run."""
    may_try = exchanges._may_try_again

    def try_again(state: Any, exchange: Any, ran: Ran, now: float) -> bool:
        return may_try(state, exchange, Ran.NO, now)

    patch.setattr(exchanges, "_may_try_again", try_again)


def call_unknown_not_run(patch: Patch) -> None:
    """Take every end that proves nothing for "not run"."""
    for end, rule in END_RULES.items():
        if rule.ran is Ran.UNKNOWN:
            patch.setitem(END_RULES, end, structs.replace(rule, ran=Ran.NO))


def trust_any_configuration(patch: Patch) -> None:
    """Serve requests with keys however old the configuration is."""
    patch.setattr(Beliefs, "is_leased", lambda self, now: True)


def install_older_configurations(patch: Patch) -> None:
    """Install whatever configuration was read last."""
    patch.setattr(Beliefs, "version", property(lambda self: 0))


def use_leaving_upstreams(patch: Patch) -> None:
    """Send new work to upstreams that leave or are out."""

    def find(self: Beliefs, service: str, now: float) -> Any:
        return list(self.by_service.get(service, {}).values())

    patch.setattr(Beliefs, "find_usable", find)


def keep_gone_upstreams(patch: Patch) -> None:
    """Keep upstreams whose entry is gone."""
    patch.setattr(beliefs, "_take_gone", lambda *given: [])


def flood_cold_upstreams(patch: Patch) -> None:
    """Send to cold upstreams without a pause."""
    patch.setattr(ColdPace, "find_next", lambda *given: 0.0)


def repeat_without_bound(patch: Patch) -> None:
    """Spend repeated sends that the window does not hold."""
    patch.setattr(RetryWindow, "take", lambda *given: True)


def share_over_walls(patch: Patch) -> None:
    """Name kept cache by its model alone."""
    patch.setattr(
        attemptstart,
        "_name_cache_scope",
        lambda exchange, weights: exchange.prompt.model,
    )


def fetch_for_superseded_weights(patch: Patch) -> None:
    """Take all weights for the newest when looking for kept cache."""
    patch.setattr(Beliefs, "find_superseded", lambda *given: None)


def forget_when_parts_were_whole(patch: Patch) -> None:
    """Take a part that is told of for one that was always there."""
    hear = KeptParts.hear

    def hear_late(self: KeptParts, event: Any, now: float) -> None:
        hear(self, event, float("-inf"))
        self._kept[event.store].heard_at = now

    patch.setattr(KeptParts, "hear", hear_late)


def fetch_from_silent_stores(patch: Patch) -> None:
    """Trust what a store said however long ago."""
    patch.setattr(keptparts, "HEARD_S", float("inf"))


def order_after_the_lease(patch: Patch) -> None:
    """Send an order however late, and to an engine that is busy."""
    decide = OrderCourse.decide

    def decide_anyway(self: OrderCourse, view: Any, now: float) -> Any:
        self._order = structs.replace(self._order, not_after=float("inf"))
        return decide(self, view, now)

    patch.setattr(OrderCourse, "decide", decide_anyway)


def repeat_accepted_orders(patch: Patch) -> None:
    """Forget that the engine has accepted an order."""
    take = OrderCourse.take_reply

    def forget(self: OrderCourse, reply: Any, detail: str) -> Any:
        ended = take(self, reply, detail)
        self._accepted = False
        return ended

    patch.setattr(OrderCourse, "take_reply", forget)


def refuse_without_evidence(patch: Patch) -> None:
    """Refuse though nobody has waited yet."""
    patch.setattr(Queue, "find_waited", lambda *given: float("inf"))


def refuse_nothing(patch: Patch) -> None:
    """Let each request wait, however long the queue."""
    patch.setattr(Saturation, "is_refused", lambda *given: False)
