"""Bounds what is held for many holders together, at the cost of the largest.

held = HeldBytes[str](max_bytes=100)
held.resize("small", 10)
held.resize("large", 95)
held.find_excess()  # ["large"]
"""

from collections.abc import Hashable
from heapq import nlargest
from typing import Generic, TypeVar

Holder = TypeVar("Holder", bound=Hashable)
CANDIDATES = 16  # the largest holders that are looked at together


class HeldBytes(Generic[Holder]):
    """The bytes that are held for each holder."""

    __slots__ = ("_sizes", "max_bytes", "total")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total = 0
        self._sizes: dict[Holder, int] = {}

    def __len__(self) -> int:
        """Return the number of holders."""
        return len(self._sizes)

    def resize(self, holder: Holder, size: int) -> None:
        """Record how many bytes are held for a holder now."""
        self.total += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size

    def release(self, holder: Holder) -> None:
        """Forget a holder."""
        self.total -= self._sizes.pop(holder, 0)

    def get_size(self, holder: Holder) -> int:
        """Return how many bytes are held for a holder."""
        return self._sizes.get(holder, 0)

    def find_excess(self) -> list[Holder]:
        """Return the largest holders without whom the rest fits, largest first."""
        excess = self.total - self.max_bytes
        found: list[Holder] = []
        while excess > 0 and len(found) < len(self._sizes):
            count = len(found) + CANDIDATES
            largest = nlargest(count, self._sizes, key=self._sizes.__getitem__)
            for holder in largest[len(found) :]:
                if excess <= 0:
                    break
                found.append(holder)
                excess -= self._sizes[holder]
        return found
