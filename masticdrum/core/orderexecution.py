"""Executes one order to load weights, until it is done, refused or timed out.

An order without an answer may still be executed seconds later. It is sent again under
the same fencing number, and only while the engine's report shows that none was accepted
since, so that at most one of the copies takes effect. It ends with the engine's run:
an order that the engine had accepted is gone with it.
"""

from enum import StrEnum

from msgspec import Struct

from masticdrum.core.ordercopies import EngineRun
from masticdrum.model.agent_events import IssueOrder, OrderAnswered, RunsAtLoad

RESEND_S = 1.0  # between copies after the first lease
# Covers a load that waits for runs to finish, and an order that is executed late.
ORDER_TIMEOUT_S = 15.0


class OrderReply(StrEnum):
    """The answers of an engine to an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # sending the same order again gets the same answer
    LATER = "later"  # another order is open, or the report was outdated
    NONE = "none"


class EngineView(Struct, frozen=True):
    """What the engine's report states: loaded weights by model, and open orders.

    ``accepted`` counts the orders that this run of the engine has accepted; ``born``
    identifies the run and is zero if the engine doesn't tell.
    """

    weights: dict[str, int]
    busy: bool
    accepted: int
    born: int = 0


class SendOrder(Struct, frozen=True):
    """Send the order, on condition that the engine has accepted ``accepted`` so far."""

    model: str
    version: int
    fence: int
    accepted: int
    runs: RunsAtLoad


class OrderExecution:
    """The execution of one order to ``run`` to load ``version`` of ``model``."""

    __slots__ = (
        "_accepted",
        "_detail",
        "_deadline",
        "_is_withdrawn",
        "_model",
        "_not_after",
        "_order",
        "_run",
        "_runs",
        "_sent_at",
        "_unanswered",
        "_unanswered_at",
        "_version",
        "_was_accepted",
    )

    def __init__(
        self,
        order: IssueOrder,
        run: EngineRun,
        model: str,
        version: int,
        runs: RunsAtLoad,
        now: float,
    ) -> None:
        self._order = order
        self._not_after = order.not_after
        self._run = run
        self._runs = runs
        self._model = model
        self._version = version
        self._deadline = now + ORDER_TIMEOUT_S
        self._accepted = False
        self._was_accepted = False
        self._is_withdrawn = False
        self._detail = "no answer"
        self._sent_at = now
        self._unanswered = 0
        self._unanswered_at: float | None = None

    def decide(
        self, view: EngineView | None, now: float
    ) -> SendOrder | OrderAnswered | None:
        """Return the next step after a report, or None to wait for the next report.

        ``view`` is None if there was no report.
        """
        if now >= self._deadline:
            return self._finish(False, self._detail)
        has_lapsed = now >= self._order.not_after
        if has_lapsed and not self._may_be_executed():
            return self._finish(False, "the permit lapsed")
        if view is None:
            return None
        if not self._run.is_born_at(view.born):
            return self._finish(False, "the engine restarted")
        if view.weights.get(self._model, 0) >= self._version and not view.busy:
            self._discount_executed_copy()
            return self._finish(True, "")
        if view.busy:
            return None
        if self._accepted:
            # The report is older than the acceptance.
            self._accepted = False
            return None
        if self._is_withdrawn and not self._may_be_executed():
            return self._finish(False, "withdrawn")
        if has_lapsed and not self._may_repeat(now):
            return None
        fence = self._order.fence
        self._sent_at = now
        return SendOrder(self._model, self._version, fence, view.accepted, self._runs)

    def extend(self, not_after: float) -> None:
        """Allow copies until then, in seconds, since the permit was renewed."""
        self._not_after = max(self._not_after, not_after)

    def withdraw(self) -> None:
        """End the order with the next report if no copy of it can be executed."""
        self._is_withdrawn = True

    def handle_reply(self, reply: OrderReply, detail: str) -> OrderAnswered | None:
        """Handle the engine's answer; returns how the order ended, if it did."""
        if reply is OrderReply.REFUSED:
            return self._finish(False, detail)
        self._accepted = reply is OrderReply.ACCEPTED
        if reply is OrderReply.NONE:
            self._unanswered += 1
            self._unanswered_at = self._sent_at
        self._was_accepted |= self._accepted
        if reply is not OrderReply.NONE:
            self._detail = detail
        return None

    def _may_repeat(self, now: float) -> bool:
        """Return whether a copy without an answer may be followed by another one."""
        if self._unanswered_at is None or now >= self._not_after:
            return False
        return now >= self._sent_at + RESEND_S

    def _may_be_executed(self) -> bool:
        return self._was_accepted or self._unanswered_at is not None

    def _discount_executed_copy(self) -> None:
        # The engine executed one copy: one without an answer, if none was answered.
        if self._unanswered == 1 and not self._was_accepted:
            self._unanswered_at = None

    def _finish(self, done: bool, detail: str) -> OrderAnswered:
        order, unanswered_at = self._order.order, self._unanswered_at
        return OrderAnswered(order, done, detail=detail, unanswered_at=unanswered_at)
