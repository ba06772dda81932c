"""Follows one order for new weights until it is done, refused or out of time.

An order without an answer may be carried out seconds later. It is given again under the
same fencing number, and only while the engine's report shows that none was accepted
since, so that one of the repeats takes effect at most.
"""

from enum import StrEnum

from msgspec import Struct

from masticdrum.model.agent_events import GiveOrder, OrderAnswered, RunsAtLoad

ORDER_S = 15.0  # a load behind runs that finish first, or an order carried out late


class OrderReply(StrEnum):
    """What an engine can say to an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # a repeat of the same order meets the same answer
    LATER = "later"  # another order is under way, or the report was out of date
    NONE = "none"


class EngineView(Struct, frozen=True):
    """What the engine's report says: loaded weights by model, and open orders.

    ``accepted`` counts the orders that this start of the engine has accepted.
    """

    weights: dict[str, int]
    busy: bool
    accepted: int


class SendOrder(Struct, frozen=True):
    """The order is to go out, if the engine has accepted ``accepted`` so far."""

    model: str
    version: int
    fence: int
    accepted: int
    runs: RunsAtLoad


class OrderCourse:
    """One order on its way; ``model`` and ``version`` are what is to be loaded."""

    __slots__ = (
        "_accepted",
        "_detail",
        "_give_up_at",
        "_model",
        "_order",
        "_runs",
        "_version",
    )

    def __init__(
        self,
        order: GiveOrder,
        model: str,
        version: int,
        runs: RunsAtLoad,
        now: float,
    ) -> None:
        self._order = order
        self._runs = runs
        self._model = model
        self._version = version
        self._give_up_at = now + ORDER_S
        self._accepted = False
        self._detail = "no answer"

    def decide(
        self, view: EngineView | None, now: float
    ) -> SendOrder | OrderAnswered | None:
        """Return what follows from a report, None for another look at it later.

        ``view`` is None where no report was to be had.
        """
        if now >= self._give_up_at:
            return self._settle(False, self._detail)
        if view is None:
            return None
        if view.weights.get(self._model, 0) >= self._version and not view.busy:
            return self._settle(True, "")
        if view.busy:
            return None
        if self._accepted or now >= self._order.not_after:
            # Accepted, but the report is from before, or from after a restart.
            self._accepted = False
            return None
        fence = self._order.fence
        return SendOrder(self._model, self._version, fence, view.accepted, self._runs)

    def take_reply(self, reply: OrderReply, detail: str) -> OrderAnswered | None:
        """Take the engine's answer in; returns how the order ended, if it did."""
        if reply is OrderReply.REFUSED:
            return self._settle(False, detail)
        self._accepted = reply is OrderReply.ACCEPTED
        if reply is not OrderReply.NONE:
            self._detail = detail
        return None

    def _settle(self, done: bool, detail: str) -> OrderAnswered:
        return OrderAnswered(self._order.order, done, detail=detail)
