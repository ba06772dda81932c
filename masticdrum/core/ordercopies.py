"""Copies of orders that an engine hasn't answered and may still carry out.

Within one run of an engine they are harmless: each names how many orders the engine had
accepted, so that none takes effect after a newer order. A restart clears that count,
and an engine may start again under the same name, so that a copy may fit a later count.
"""

from msgspec import Struct

LATE_S = 15.0  # from sending a copy until it can't be carried out any more


class EngineRun(Struct, frozen=True):
    """One run of an engine: the name that it registered, and when it was born.

    ``born`` is zero if the engine doesn't tell.
    """

    name: str
    born: int

    def is_born_at(self, born: int) -> bool:
        """Return whether this is the run born then, or one of the two is unknown."""
        return not self.born or not born or self.born == born


class OrderCopies:
    """The copies of one agent's orders that may still be carried out."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[EngineRun, float] = {}

    def record(self, run: EngineRun, sent_at: float) -> None:
        """Record that a copy sent to ``run`` at that time got no answer."""
        self._until = {r: t for r, t in self._until.items() if t > sent_at}
        self._until[run] = sent_at + LATE_S

    def may_reach(self, run: EngineRun, now: float) -> bool:
        """Return whether ``run`` may carry out a copy sent to an earlier run.

        Engines refuse orders that name another one.
        """
        return any(
            until > now and earlier.name == run.name and earlier != run
            for earlier, until in self._until.items()
        )
