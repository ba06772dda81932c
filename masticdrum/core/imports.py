"""Imports of stored blocks for requests, with recomputation as the fallback.

A request's missing prefix is fetched in pieces of a few blocks, so that an urgent
import waits for one piece at most and not for a whole prompt. An import that fails,
finds a block missing or is late ends there: its request runs with the blocks that were
imported so far.
"""

from masticdrum.core.invariants import require
from masticdrum.core.storelinks import StoreLink
from masticdrum.model.agent_events import FetchBlocks
from masticdrum.model.tables import Urgency

PIECE_BLOCKS = 4
URGENCY_RANKS = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.BACKGROUND: 2}


class Import:
    """One request's import: the sources still to fetch, and the piece in progress.

    ``last_piece`` is the piece that ended last; ``redirected`` means that the import
    already uses the blocks' alternative stores.
    """

    __slots__ = (
        "attempt",
        "last_piece",
        "late_at",
        "piece",
        "redirected",
        "sources",
        "urgency",
        "version",
        "workspace",
    )

    def __init__(
        self,
        attempt: str,
        workspace: str,
        version: str,
        urgency: Urgency,
        sources: list[tuple[str, str]],
        late_at: float,
    ) -> None:
        self.attempt = attempt
        self.workspace = workspace
        self.version = version
        self.urgency = urgency
        self.sources = sources
        self.late_at = late_at
        self.piece: list[tuple[str, str]] = []
        self.last_piece: list[tuple[str, str]] = []
        self.redirected = False


class ImportQueue:
    """All imports of an agent.

    Requests don't start while their import is in ``waiting``. Imports in ``cancelled``
    were given up while a piece was in progress, whose result is still recorded.
    """

    __slots__ = ("cancelled", "links", "waiting")

    def __init__(self, links: dict[str, StoreLink]) -> None:
        self.links = links
        self.waiting: dict[str, Import] = {}
        self.cancelled: dict[str, Import] = {}

    def add(self, job: Import) -> None:
        """Add an import, which ``start_pieces`` starts."""
        known = job.attempt in self.waiting or job.attempt in self.cancelled
        require(not known, f"attempt '{job.attempt}' has one import")
        self.waiting[job.attempt] = job
        for _, store in job.sources:
            self.links[store].pending_blocks += 1

    def start_pieces(self, version: str, now: float) -> list[FetchBlocks]:
        """Start the pieces for which the links have capacity, most urgent first.

        An import that needs a link which is down is given up at once.
        """
        effects: list[FetchBlocks] = []
        idle = [job for job in self.waiting.values() if not job.piece]
        for job in sorted(idle, key=lambda job: URGENCY_RANKS[job.urgency]):
            if not job.sources:
                continue
            piece = job.sources[:PIECE_BLOCKS]
            links = [self.links[store] for store in dict.fromkeys(s for _, s in piece)]
            if not all(link.is_up(now) for link in links):
                self.drop(job.attempt)
                continue
            if not all(link.may_import(job.urgency, now) for link in links):
                continue
            require(
                job.version == version,
                f"attempt '{job.attempt}' imports for the confirmed version only",
            )
            job.piece = piece
            job.sources = job.sources[PIECE_BLOCKS:]
            self.count_piece(piece, 1)
            effects.append(
                FetchBlocks(
                    job.attempt, job.workspace, version, job.urgency, tuple(piece)
                )
            )
        return effects

    def count_piece(self, piece: list[tuple[str, str]], step: int) -> None:
        """Add ``step`` to the imports of each link that a piece uses.

        A ``step`` of 1 starts the piece, so its blocks are no longer pending; a step of
        -1 ends it.
        """
        for store in dict.fromkeys(store for _, store in piece):
            self.links[store].imports += step
        for _, store in piece:
            self.links[store].pending_blocks -= step > 0

    def end_piece(self, attempt: str) -> Import | None:
        """End the piece in progress and return its import, even a cancelled one."""
        job = self.waiting.get(attempt) or self.cancelled.pop(attempt, None)
        if job is None:
            return None
        self.count_piece(job.piece, -1)
        job.last_piece = job.piece
        job.piece = []
        return job

    def redirect(self, job: Import, sources: list[tuple[str, str]]) -> None:
        """Continue an import from other sources, which is done once."""
        for _, store in job.sources:
            self.links[store].pending_blocks -= 1
        for _, store in sources:
            self.links[store].pending_blocks += 1
        job.sources = sources
        job.redirected = True

    def drop(self, attempt: str) -> None:
        """Give an import up; the result of a piece in progress is still recorded."""
        job = self.waiting.pop(attempt, None)
        if job is None:
            return
        for _, store in job.sources:
            self.links[store].pending_blocks -= 1
        job.sources = []
        if job.piece:
            self.cancelled[attempt] = job

    def drop_late(self, now: float) -> list[str]:
        """Give up the imports that are late and return their attempts."""
        late = [name for name, job in self.waiting.items() if now >= job.late_at]
        for name in late:
            self.drop(name)
        return late

    def compute_next_timer(self) -> float:
        """Return when the next import is late, or infinity."""
        times = [job.late_at for job in self.waiting.values()]
        return min(times, default=float("inf"))
