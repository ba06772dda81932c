"""Orders an upstream to load its pool's weight version, under a permit.

The agent is the only way to its upstream, so it guards those that ignore fencing
numbers: it orders only while its lease lasts, and never under a number that is not
higher than the last one it used.
"""

from masticdrum.core.invariants import require
from masticdrum.core.permits import Permits
from masticdrum.model.agent_events import GiveOrder, OrderAnswered

ORDER_TIMEOUT_S = 60.0
CONFIRM_S = 5.0  # until the load report must show the version that was ordered
RETRY_S = 5.0  # after an order that failed

LOAD = "load"


class Orders:
    """What one agent has ordered and what it waits for."""

    __slots__ = (
        "_given_at",
        "_next_at",
        "_number",
        "fence",
        "order",
        "permits",
        "retry_s",
    )

    def __init__(self, permits: Permits, retry_s: float = RETRY_S) -> None:
        self.permits = permits
        self.retry_s = retry_s
        self.order = ""
        self.fence = 0
        self._number = 0
        self._given_at = 0.0
        self._next_at = 0.0

    def decide(self, wanted: str, loaded: str, now: float) -> GiveOrder | None:
        """Find the order that is due; ``loaded`` is empty while it is not known."""
        if self.order:
            self._check_timeout(now)
            return None
        if not wanted or not loaded or wanted == loaded:
            self.permits.give_back()
            return None
        if now < self._next_at:
            return None
        self.permits.ask()
        fence = self.permits.find_fence(now)
        if fence <= self.fence:
            return None
        return self._give(wanted, fence, now)

    def take_answer(self, answer: OrderAnswered, now: float) -> None:
        """Take the upstream's answer in and give the permit back.

        Without an answer the load may go on, so the permit is kept for as long as
        an order may take.
        """
        if answer.order != self.order or not answer.settled:
            return
        self.order = ""
        self._next_at = now + (CONFIRM_S if answer.done else self.retry_s)
        self.permits.give_back()

    def _check_timeout(self, now: float) -> None:
        if now - self._given_at < ORDER_TIMEOUT_S:
            return
        self.order = ""
        self.permits.give_back()

    def _give(self, wanted: str, fence: int, now: float) -> GiveOrder:
        require(now < self.permits.expires_at, "an order goes out under a lease only")
        require(fence > self.fence, f"fence {fence} is above the last, {self.fence}")
        self.fence = fence
        self._number += 1
        self._given_at = now
        self.order = f"{self.permits.holder}/order/{self._number}"
        return GiveOrder(self.order, LOAD, wanted, fence, self.permits.expires_at)
