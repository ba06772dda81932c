"""The options of an entry and the state of its reducer."""

from random import Random

from msgspec import Struct

from masticdrum.core.completion import Completion
from masticdrum.core.ledger import Ledger
from masticdrum.core.links import Links
from masticdrum.core.openrequests import OpenRequests
from masticdrum.core.partitionstep import LedgerOptions
from masticdrum.core.peers import Peers
from masticdrum.core.retries import RetryBudget
from masticdrum.core.servicecall import ServiceCalls
from masticdrum.core.sharedprefixes import SharedPrefixes
from masticdrum.core.syncstep import SyncOptions
from masticdrum.core.tablesync import TableSync
from masticdrum.core.tableview import TableView
from masticdrum.core.timers import Timers
from masticdrum.model.platform import Instance
from masticdrum.model.tables import Tables, Upstream


class EntryOptions(Struct, frozen=True):
    """The settings that an entry's reducer needs; times are seconds.

    ``max_attempts`` bounds how many upstreams one request may be sent to, and
    ``max_resumes`` how often in a row a silent attempt is resumed over a new
    connection. Receipt is acknowledged after ``ack_every`` tokens. ``forwards`` means
    that other entries can reach this one and that it forwards commits to them.
    """

    name: str
    data_centre: str
    incarnation: str
    silence_s: float = 3.0
    max_attempts: int = 4
    max_resumes: int = 3
    ack_every: int = 64
    ack_after_s: float = 3.0
    forwards: bool = False


class TimerName(Struct, frozen=True):
    """A timer's purpose and its owner, such as a request."""

    purpose: str
    owner: str


class EntryState:
    """The whole state of one entry's reducer."""

    __slots__ = (
        "by_attempt",
        "calls",
        "completions",
        "agents_by_address",
        "instances",
        "ledger",
        "leaving_upstreams",
        "leaving_agents",
        "links",
        "listed_agents",
        "open_requests",
        "options",
        "peers",
        "shared_prefixes",
        "retries",
        "rng",
        "shutdown_by",
        "sync",
        "timers",
        "view",
    )

    def __init__(
        self, options: EntryOptions, seed: int, ledger: LedgerOptions | None = None
    ) -> None:
        self.options = options
        self.rng = Random(seed)
        self.retries = RetryBudget(seed)
        self.view = TableView(Tables())
        sync = SyncOptions(options.name, options.data_centre, is_entry=True)
        self.sync = TableSync(sync, Random(seed))
        self.agents_by_address: dict[str, Upstream] = {}
        self.instances: tuple[Instance, ...] = ()
        self.listed_agents: dict[str, Upstream] = {}
        self.leaving_agents: set[str] = set()
        self.links = Links(options.name)
        self.timers: Timers[TimerName] = Timers()
        self.completions: dict[str, Completion] = {}
        self.by_attempt: dict[str, str] = {}
        self.calls = ServiceCalls()
        writer = options.incarnation
        self.ledger = Ledger(ledger or LedgerOptions(writer=writer), self.rng)
        self.peers = Peers(options.name)
        self.open_requests = OpenRequests()
        self.shared_prefixes = SharedPrefixes()
        self.leaving_upstreams: set[str] = set()
        self.shutdown_by: float | None = None

    def make_attempt_id(self) -> str:
        """Return an attempt name that is unique across all entries."""
        return f"{self.options.incarnation}-{self.rng.getrandbits(64):016x}"

    def find_next_timer(self) -> float | None:
        """Return when the reducer's next timer is due, in seconds, or None."""
        due = self.timers.find_next()
        sync_due = self.sync.find_next_timer()
        return sync_due if due is None else min(due, sync_due)
