"""Chooses which connections close as there are too many.

Those that have waited longest for their peer go first: connections that never asked,
that stopped within a request, that don't read their answer, or that are idle. One whose
request is being answered never does.
"""

from collections.abc import Hashable, Iterable
from heapq import nsmallest
from typing import TypeVar

Connection = TypeVar("Connection", bound=Hashable)
CLOSED_SHARE = 1 / 16  # of the most connections, so that few searches are needed


def choose_closed(
    waiting: Iterable[tuple[float, Connection]], most: int
) -> list[Connection]:
    """Choose connections by the times at which they began to wait for their peer."""
    count = max(1, int(CLOSED_SHARE * most))
    chosen = nsmallest(count, waiting, key=lambda pair: pair[0])
    return [connection for _, connection in chosen]
