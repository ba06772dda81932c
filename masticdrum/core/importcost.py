"""Recompute a prompt's blocks or import them: what each costs, and which is chosen."""

from msgspec import Struct

from masticdrum.model.tables import Urgency

ROUND_TRIP_S = 0.004
IMPORT_BIAS = {
    Urgency.URGENT: 1.0,
    Urgency.NORMAL: 2.0,
    Urgency.BACKGROUND: 4.0,
}
LATE_FACTOR = 2.0
SHORTEST_LATE_S = 0.05
LONGEST_LATE_S = 5.0


class ImportCost(Struct, frozen=True):
    """What an agent has observed: seconds for each way of getting a block.

    ``queue_s`` is the time until the link is free.
    """

    recompute_s: float
    import_s: float
    queue_s: float

    def count_import_s(self, blocks: int) -> float:
        """Return how long an import of ``blocks`` takes."""
        return ROUND_TRIP_S + self.queue_s + blocks * self.import_s

    def count_recompute_s(self, blocks: int) -> float:
        """Return how long the engine takes to compute ``blocks`` again."""
        return blocks * self.recompute_s


def choose_import(cost: ImportCost, blocks: int, urgency: Urgency) -> bool:
    """Tell whether to import a prefix of ``blocks``.

    Urgent work takes the quicker way. Other work accepts some delay to spare the
    engine, whose time a recomputation takes from everybody.
    """
    if blocks == 0:
        return False
    allowed_s = cost.count_recompute_s(blocks) * IMPORT_BIAS[urgency]
    return cost.count_import_s(blocks) <= allowed_s


def find_late_s(cost: ImportCost, blocks: int, urgency: Urgency) -> float:
    """Return after how many seconds an import is late and its request goes on."""
    expected_s = cost.count_import_s(blocks)
    allowed_s = cost.count_recompute_s(blocks) * IMPORT_BIAS[urgency]
    late_s = LATE_FACTOR * max(expected_s, min(allowed_s, LONGEST_LATE_S))
    return min(max(late_s, SHORTEST_LATE_S), LONGEST_LATE_S)
