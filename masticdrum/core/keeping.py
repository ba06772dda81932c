"""Which blocks to export to store instances, and when.

A block is worth keeping by its expected return: the chance that its workspace's
prompts come back, learned from blocks that came by before, times what computing it
again would cost. Blocks go in prompt order, since a block without its prefix is of no
use, and prompts of higher worth go first. An export starts only on an idle link.
"""

from collections.abc import Sequence
from heapq import heappop, heappush

from msgspec import Struct

from masticdrum.core.invariants import require

MAX_CANDIDATES = 4096  # blocks for each store instance
RETURN_PRIOR = 0.5
RETURN_GAIN = 0.05
SMALLEST_RETURN = 0.02


class Candidate(Struct, frozen=True):
    """One block that may be exported."""

    key: str
    workspace: str
    version: str


class Keeping:
    """Candidates for each store's address by worth, and the exports under way."""

    __slots__ = ("candidates", "count", "queued", "returns", "under_way")

    def __init__(self) -> None:
        self.candidates: dict[str, list[tuple[float, int, Candidate]]] = {}
        self.queued: set[str] = set()
        self.under_way: dict[str, tuple[Candidate, str]] = {}
        self.returns: dict[str, float] = {}
        self.count = 0

    def learn_return(self, workspace: str, known: int, blocks: int) -> None:
        """Learn how much of a workspace's prompts comes back."""
        if not blocks:
            return
        chance = self.returns.get(workspace, RETURN_PRIOR)
        self.returns[workspace] = chance + RETURN_GAIN * (known / blocks - chance)

    def find_worth(self, workspace: str, uses: int, recompute_s: float) -> float:
        """Return the seconds of computing that a kept block is expected to save."""
        chance = self.returns.get(workspace, RETURN_PRIOR)
        if chance < SMALLEST_RETURN:
            return 0.0
        return (1.0 - (1.0 - chance) ** max(uses, 1)) * recompute_s

    def offer(self, candidate: Candidate, store: str, worth: float) -> None:
        """Take a block as a candidate, unless it stands already."""
        heap = self.candidates.setdefault(store, [])
        if candidate.key in self.queued or candidate.key in self.under_way:
            return
        if worth <= 0.0 or len(heap) >= MAX_CANDIDATES:
            return
        self.queued.add(candidate.key)
        self.count += 1
        heappush(heap, (-worth, self.count, candidate))

    def take_best(self, store: str) -> Candidate | None:
        """Take out the candidate of highest worth for a store."""
        heap = self.candidates.get(store)
        if not heap:
            return None
        _, _, candidate = heappop(heap)
        self.queued.discard(candidate.key)
        return candidate

    def begin(self, candidate: Candidate, store: str) -> None:
        """Record an export under way."""
        require(
            candidate.key not in self.under_way,
            f"block '{candidate.key}' is exported once at a time",
        )
        self.under_way[candidate.key] = (candidate, store)

    def end(self, key: str) -> tuple[Candidate, str] | None:
        """End an export and return its candidate and store address."""
        return self.under_way.pop(key, None)

    def forget(self) -> None:
        """Drop all candidates, since the engine holds none of them any more."""
        self.candidates.clear()
        self.queued.clear()


def list_candidates(
    workspace: str, version: str, keys: Sequence[str]
) -> list[Candidate]:
    """Return a prompt's blocks as candidates, in prompt order."""
    return [Candidate(key, workspace, version) for key in keys]
