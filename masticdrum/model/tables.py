"""The two tables that operators edit, and the data centres and stores they refer to."""

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
    """Which workspaces may send which requests, how urgent they are, and their pool.

    ``workspaces`` lists who may send. If ``idempotent`` is False, a request may take
    effect at most once and needs a key. Times are in seconds, sizes in bytes.
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
    """How many concurrent runs a cold upstream gets, and how the limit grows.

    The limit starts at ``limit`` runs and grows by ``step`` after each ``every_s``
    seconds of work without a fault, up to the pool's ``max_running``.
    """

    limit: int = 1
    step: int = 1
    every_s: float = 2.0


class Pool(Struct, frozen=True, forbid_unknown_fields=True):
    """Which upstreams serve which model version.

    ``block_bytes`` is the length of the prompt text that one block of KV cache covers;
    a token is counted as four bytes, so the default is about 2,000 tokens.
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
    """A data centre; ``out`` means that operators have drained it."""

    name: str
    region: str
    out: bool = False


class Store(Struct, frozen=True, forbid_unknown_fields=True):
    """A store instance for KV cache; ``address`` is ``http://IP:PORT``."""

    name: str
    data_centre: str
    address: str


class Edit(Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted edit; ``digest`` covers the tables that resulted from it."""

    serial: int
    digest: str


class Tables(Struct, frozen=True, forbid_unknown_fields=True):
    """One configuration, installed whole or not at all.

    ``serial`` grows by one with every accepted edit; a process never installs a
    lower one than it has. ``edits`` holds the newest edits, oldest first, so that an
    operator whose answer was lost can find their edit even after later ones.
    """

    serial: int = 0
    data_centres: list[DataCentre] = field(default_factory=list)
    stores: list[Store] = field(default_factory=list)
    pools: list[Pool] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)
    edits: list[Edit] = field(default_factory=list)
