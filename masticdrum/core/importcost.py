"""Decides by cost whether a prompt's blocks are imported or computed again."""

from msgspec import Struct

from masticdrum.model.tables import Urgency

ROUND_TRIP_S = 0.004
IMPORT_BIAS = {
    Urgency.URGENT: 1.0,
    Urgency.NORMAL: 2.0,
    Urgency.BACKGROUND: 4.0,
}
IMPORT_TIMEOUT_FACTOR = 2.0
MIN_IMPORT_TIMEOUT_S = 0.05
MAX_IMPORT_TIMEOUT_S = 5.0


class ImportCost(Struct, frozen=True):
    """The estimated time for one block, computed again or imported.

    ``queue_s`` is the time until the link is free.
    """

    recompute_s: float
    import_s: float
    queue_s: float

    def estimate_import_s(self, blocks: int) -> float:
        """Return how long an import of ``blocks`` takes."""
        return ROUND_TRIP_S + self.queue_s + blocks * self.import_s

    def estimate_recompute_s(self, blocks: int) -> float:
        """Return how long the engine takes to compute ``blocks`` again."""
        return blocks * self.recompute_s


def should_import(cost: ImportCost, blocks: int, urgency: Urgency) -> bool:
    """Return whether to import a prefix of ``blocks``.

    Urgent work uses whichever is faster. Other work accepts some delay to save time of
    the engine, since a recomputation slows down all requests.
    """
    if blocks == 0:
        return False
    allowed_s = cost.estimate_recompute_s(blocks) * IMPORT_BIAS[urgency]
    return cost.estimate_import_s(blocks) <= allowed_s


def compute_import_timeout_s(cost: ImportCost, blocks: int, urgency: Urgency) -> float:
    """Return after how many seconds an import is late and its run starts anyway."""
    expected_s = cost.estimate_import_s(blocks)
    allowed_s = cost.estimate_recompute_s(blocks) * IMPORT_BIAS[urgency]
    timeout_s = IMPORT_TIMEOUT_FACTOR * max(
        expected_s, min(allowed_s, MAX_IMPORT_TIMEOUT_S)
    )
    return min(max(timeout_s, MIN_IMPORT_TIMEOUT_S), MAX_IMPORT_TIMEOUT_S)
