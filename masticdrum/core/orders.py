"""Orders an upstream to load its pool's weight version, under a permit.

The agent is the only path to its upstream, so it also protects upstreams that ignore
fencing numbers: it sends orders only while its lease lasts, and each under a higher
fencing number than the last.
"""

from masticdrum.core.invariants import require
from masticdrum.core.permits import Permits
from masticdrum.model.agent_events import IssueOrder, OrderAnswered

ORDER_TIMEOUT_S = 60.0
CONFIRM_S = 5.0  # until a version that was loaded may be ordered once more
RETRY_S = 5.0  # after an order that failed

LOAD = "load"


class Orders:
    """The orders of one agent, and the one that it waits for.

    ``target`` is what the last order was for. It is ``unconfirmed`` from the answer
    that it is loaded until the load report shows it; until then the report may be older
    than the load, and nothing is ordered.
    """

    __slots__ = (
        "_has_open_copies",
        "_ordered_at",
        "_next_at",
        "_order_count",
        "fence",
        "order",
        "permits",
        "retry_s",
        "target",
        "unconfirmed",
    )

    def __init__(self, permits: Permits, retry_s: float = RETRY_S) -> None:
        self.permits = permits
        self.retry_s = retry_s
        self.order = ""
        self.target = ""
        self.unconfirmed = False
        self._has_open_copies = False
        self.fence = 0
        self._order_count = 0
        self._ordered_at = 0.0
        self._next_at = 0.0

    def decide(self, wanted: str, loaded: str, now: float) -> IssueOrder | None:
        """Return the order that is due; ``loaded`` is empty while it is unknown.

        A version other than the last target needn't wait for the pause, unless copies
        of the last order may still be executed.
        """
        if loaded == self.target:
            self.confirm()
        if self.order:
            self._check_timeout(now)
            return None
        if not wanted or not loaded or wanted == loaded:
            self.permits.release()
            return None
        is_repeat = self.unconfirmed or wanted == self.target
        if now < self._next_at and (is_repeat or self._has_open_copies):
            return None
        self.permits.request(wanted)
        fence = self.permits.get_valid_fence(now)
        if fence <= self.fence:
            return None
        return self._make_order(wanted, fence, now)

    def confirm(self) -> None:
        """Record that the load report shows the last order's target, or a newer one."""
        self.unconfirmed = False

    def handle_answer(self, answer: OrderAnswered, now: float) -> None:
        """Handle the upstream's answer and release the permit.

        Without an answer the load may still go on, so the permit is held for as long as
        an order may take.
        """
        if answer.order != self.order or not answer.settled:
            return
        self.order = ""
        self.unconfirmed = answer.done
        self._has_open_copies = answer.unanswered_at is not None
        self._next_at = now + (CONFIRM_S if answer.done else self.retry_s)
        self.permits.release()

    def _check_timeout(self, now: float) -> None:
        if now - self._ordered_at < ORDER_TIMEOUT_S:
            return
        self.order = ""
        self.permits.release()

    def _make_order(self, wanted: str, fence: int, now: float) -> IssueOrder:
        require(
            now < self.permits.expires_at, "an order is sent only under a valid lease"
        )
        require(fence > self.fence, f"fence {fence} is above the last, {self.fence}")
        self.fence = fence
        self._order_count += 1
        self._ordered_at = now
        self.target = wanted
        self.order = f"{self.permits.holder}/order/{self._order_count}"
        return IssueOrder(self.order, LOAD, wanted, fence, self.permits.expires_at)
