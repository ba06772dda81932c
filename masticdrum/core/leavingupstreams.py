"""Upstreams that have said in an answer that they leave.

A registration may still call such an upstream ready: it is older than the answer, or
comes from a copy from which the store was restored. Only a new incarnation is used
again.
"""

from collections import OrderedDict

from masticdrum.model.directory import Upstream

MAX_LEAVING = 4096


class LeavingUpstreams:
    """The incarnations that have said that they leave; bounded in number."""

    __slots__ = ("_born",)

    def __init__(self) -> None:
        self._born: OrderedDict[str, int] = OrderedDict()

    def record(self, name: str, born: int) -> None:
        """Record that an upstream has said that it leaves."""
        self._born[name] = born
        self._born.move_to_end(name)
        if len(self._born) > MAX_LEAVING:
            self._born.popitem(last=False)

    def has_said(self, upstream: Upstream) -> bool:
        """Return whether this incarnation has said that it leaves."""
        return self._born.get(upstream.name) == upstream.born

    def record_departure(self, upstream: Upstream) -> None:
        """Forget an upstream that is gone if its incarnations can't be told apart."""
        if not upstream.born:
            self._born.pop(upstream.name, None)
