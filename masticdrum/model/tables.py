"""The two tables that operators edit, and the data centres and stores they name."""

from enum import StrEnum

from msgspec import Struct, field

KIB = 1024  # bytes


class Urgency(StrEnum):
    """How urgent a route's requests are, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class PoolKind(StrEnum):
    """What a pool's upstreams are."""

    ENGINE = "engine"
    SERVICE = "service"


class Route(Struct, frozen=True, forbid_unknown_fields=True):
    """Who may send which requests, how urgent, and to which pool.

    ``workspaces`` lists who may send. ``idempotent`` false means that a request may
    take effect at most once and needs a key. Times are seconds, sizes bytes.
    """

    name: str
    pool: str
    workspaces: list[str]
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = True
    max_prompt_bytes: int = 512 * KIB
    max_tokens: int = 4096
    max_open: int = 64
    deadline_s: float = 120.0


class Upstream(Struct, frozen=True, forbid_unknown_fields=True):
    """One server of a pool; ``agent`` is its agent's address, ``tcp://IP:PORT``."""

    name: str
    data_centre: str
    agent: str
    weight: float = 1.0


class ColdStart(Struct, frozen=True, forbid_unknown_fields=True):
    """How many runs a cold upstream bears, and how the limit grows.

    The limit starts at ``limit`` runs and grows by ``step`` each ``every_s`` seconds
    of work done without fault, up to the pool's ``max_running``.
    """

    limit: int = 1
    step: int = 1
    every_s: float = 2.0


class Pool(Struct, frozen=True, forbid_unknown_fields=True):
    """Which upstreams serve which model version.

    ``block_bytes`` is the prompt text that one block of kept cache covers; four bytes
    stand for a token, so the default is about 2,000 tokens.
    """

    name: str
    kind: PoolKind
    upstreams: list[Upstream]
    model: str = ""
    version: str = ""
    max_running: int = 16
    max_queued: int = 64
    block_bytes: int = 8000
    cold_start: ColdStart = field(default_factory=ColdStart)
    stores: list[str] = field(default_factory=list)


class DataCentre(Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre; ``out`` means that operators took it out of service."""

    name: str
    region: str
    out: bool = False


class Store(Struct, frozen=True, forbid_unknown_fields=True):
    """A store instance for kept cache; ``address`` is ``http://IP:PORT``."""

    name: str
    data_centre: str
    address: str


class Edit(Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted edit; ``digest`` covers the tables that it put in force."""

    serial: int
    digest: str


class Tables(Struct, frozen=True, forbid_unknown_fields=True):
    """One configuration, installed whole or not at all.

    ``serial`` grows by one with every accepted edit; a process never installs a
    lower one than it has. ``edits`` holds the newest edits, oldest first, so that an
    operator whose answer was lost can recognise the own edit below later ones.
    """

    serial: int = 0
    data_centres: list[DataCentre] = field(default_factory=list)
    stores: list[Store] = field(default_factory=list)
    pools: list[Pool] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)
    edits: list[Edit] = field(default_factory=list)
