"""Decides which blocks to export to store instances, and in which order.

Blocks are exported by their expected saving: the probability that the block is used
again, estimated from its own uses and its workspace's return rate, times the cost of
computing it again. A prompt's blocks go in prompt order, since a block without its
prefix is useless, and prompts with higher savings go first. An export starts only on an
idle link.
"""

from collections.abc import Sequence
from heapq import heappop, heappush

from msgspec import Struct

from masticdrum.core.invariants import require

MAX_CANDIDATES = 4096  # blocks for each store instance
INITIAL_RETURN_RATE = 0.5
RETURN_RATE_GAIN = 0.05
MIN_RETURN_RATE = 0.02


class Candidate(Struct, frozen=True):
    """One block that may be exported."""

    key: str
    workspace: str
    version: str


class ExportPolicy:
    """Export candidates for each store's address, and the exports in progress.

    The candidates of a store are a heap, highest expected saving first.
    """

    __slots__ = ("candidates", "count", "queued", "return_rates", "in_progress")

    def __init__(self) -> None:
        self.candidates: dict[str, list[tuple[float, int, Candidate]]] = {}
        self.queued: set[str] = set()
        self.in_progress: dict[str, tuple[Candidate, str]] = {}
        self.return_rates: dict[str, float] = {}
        self.count = 0

    def update_return_rate(self, workspace: str, known: int, blocks: int) -> None:
        """Update a workspace's return rate: which part of a prompt was seen before."""
        if not blocks:
            return
        chance = self.return_rates.get(workspace, INITIAL_RETURN_RATE)
        self.return_rates[workspace] = chance + RETURN_RATE_GAIN * (
            known / blocks - chance
        )

    def estimate_saving(self, workspace: str, uses: int, recompute_s: float) -> float:
        """Return the seconds of computing that a stored block is expected to save."""
        chance = self.return_rates.get(workspace, INITIAL_RETURN_RATE)
        if chance < MIN_RETURN_RATE:
            return 0.0
        return (1.0 - (1.0 - chance) ** max(uses, 1)) * recompute_s

    def offer(self, candidate: Candidate, store: str, saving_s: float) -> None:
        """Add a candidate, unless it is queued or being exported already."""
        heap = self.candidates.setdefault(store, [])
        if candidate.key in self.queued or candidate.key in self.in_progress:
            return
        if saving_s <= 0.0 or len(heap) >= MAX_CANDIDATES:
            return
        self.queued.add(candidate.key)
        self.count += 1
        heappush(heap, (-saving_s, self.count, candidate))

    def pop_best(self, store: str) -> Candidate | None:
        """Remove and return a store's candidate with the highest expected saving."""
        heap = self.candidates.get(store)
        if not heap:
            return None
        _, _, candidate = heappop(heap)
        self.queued.discard(candidate.key)
        return candidate

    def begin(self, candidate: Candidate, store: str) -> None:
        """Record that an export has started."""
        require(
            candidate.key not in self.in_progress,
            f"block '{candidate.key}' is exported once at a time",
        )
        self.in_progress[candidate.key] = (candidate, store)

    def end(self, key: str) -> tuple[Candidate, str] | None:
        """End an export and return its candidate and store address."""
        return self.in_progress.pop(key, None)

    def clear(self) -> None:
        """Drop all candidates, since the engine no longer holds them."""
        self.candidates.clear()
        self.queued.clear()


def list_candidates(
    workspace: str, version: str, keys: Sequence[str]
) -> list[Candidate]:
    """Return a prompt's blocks as candidates, in prompt order."""
    return [Candidate(key, workspace, version) for key in keys]
