"""The state of an agent's reducer."""

from random import Random

from msgspec import Struct

from masticdrum.core.admission import Admission
from masticdrum.core.attempts import Attempts
from masticdrum.core.cachestate import KvCache
from masticdrum.core.entrystate import TimerName
from masticdrum.core.orders import Orders
from masticdrum.core.permits import Permits
from masticdrum.core.run import Run
from masticdrum.core.suspects import Suspects
from masticdrum.core.syncstep import SyncOptions
from masticdrum.core.tablesync import TableSync
from masticdrum.core.tableview import TableView
from masticdrum.core.timers import Timers
from masticdrum.model.tables import Pool, PoolKind, Tables


class AgentOptions(Struct, frozen=True):
    """The settings that an agent's decisions depend on; times are in seconds.

    A run is cancelled after ``orphan_s`` without a message from its entry. The agent
    sends a keepalive after ``keepalive_s`` without another message about an attempt.
    An ended attempt is kept for ``forget_s``, since its entry may resume it.
    ``max_resumes`` bounds how often a run on a silent engine connection is resumed
    without a new token.
    """

    name: str
    data_centre: str
    pool: str
    upstream: str
    incarnation: str
    orphan_s: float = 15.0
    keepalive_s: float = 1.0
    forget_s: float = 30.0
    max_resumes: int = 3


class EngineView(Struct):
    """The engine's state by its last load report, which may be out of date."""

    reachable: bool = False
    boot: str = ""
    version: str = ""
    running: int = 0


class AgentState:
    """The whole state of one agent's reducer.

    ``running`` names the attempts that have started, and ``preparing`` those of them
    that wait for their block import. ``parked`` lists by fingerprint the attempts that
    wait for a suspect's trial, and ``tried`` holds the fingerprint of each attempt that
    runs as a trial. ``lost`` holds the fingerprint and the failure time of runs that
    broke off, until a load report shows whether the engine crashed.
    """

    __slots__ = (
        "admission",
        "attempts",
        "boot",
        "cache",
        "engine",
        "leaving",
        "linger_until",
        "lost",
        "options",
        "orders",
        "parked",
        "preparing",
        "rng",
        "running",
        "runs",
        "shutdown_by",
        "started",
        "sync",
        "suspects",
        "timers",
        "tried",
        "view",
    )

    def __init__(self, options: AgentOptions, seed: int) -> None:
        self.options = options
        self.rng = Random(seed)
        self.view = TableView(Tables())
        sync = SyncOptions(options.name, options.data_centre, is_entry=False)
        self.sync = TableSync(sync, Random(seed))
        self.timers: Timers[TimerName] = Timers()
        self.engine = EngineView()
        self.attempts = Attempts(options.incarnation)
        self.cache = KvCache()
        self.runs: dict[str, Run] = {}
        self.started = False
        holder = f"{options.name}/{options.incarnation}"
        self.suspects = Suspects(holder)
        self.orders = Orders(Permits(holder, seed))
        self.parked: dict[str, list[str]] = {}
        self.tried: dict[str, str] = {}
        self.lost: dict[str, tuple[str, float]] = {}
        self.boot = ""
        self.admission = Admission(Pool(options.pool, PoolKind.ENGINE, []), 0.0)
        self.running: set[str] = set()
        self.preparing: dict[str, None] = {}
        self.leaving = False
        self.shutdown_by: float | None = None
        self.linger_until = 0.0

    def find_next_timer(self) -> float | None:
        """Return when the next timer is due, in seconds, or None."""
        due = self.timers.find_next()
        sync_due = self.sync.find_next_timer()
        return sync_due if due is None else min(due, sync_due)
