"""Configuration and registrations for entries that forward requests unchanged.

Unlike the tables of ``masticdrum.model.tables``, a directory matches a request to its
route by host and path, and upstreams register themselves. Times are in seconds, sizes
in bytes.
"""

from enum import StrEnum

from msgspec import Struct, field


class RouteKind(StrEnum):
    """Which of a route's requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Backend(Struct, frozen=True):
    """A service that gets requests of a route in proportion to ``weight``."""

    service: str
    weight: float = 1.0


class ForwardRoute(Struct, frozen=True):
    """Which requests go to which service, with their limits and retry rules.

    ``prefix`` begins and ends with a slash. ``urgency`` is a rank; 0 is most urgent.
    ``max_attempts`` bounds the upstreams that may run one request. ``gap_s`` is the
    longest pause between two events of a stream that counts as in time.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout_s: float
    target_s: float
    max_attempts: int = 1
    urgency: int = 0
    public: bool = False
    resumable: bool = False
    gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run already may be retried."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streams_resumable(self) -> bool:
        """Whether a caller may take up a stream of this route."""
        return self.kind is RouteKind.STREAM and self.resumable


class EngineShape(Struct, frozen=True):
    """The size of a service's engines: concurrent runs and tokens in memory."""

    slots: int
    memory_tokens: int
    models: tuple[str, ...] = ()


class StoreShape(Struct, frozen=True):
    """A store instance for KV cache.

    ``capacity_tokens`` is its capacity, ``max_polls`` how many concurrent calls for its
    events it can serve.
    """

    address: str
    data_centre: str
    capacity_tokens: int
    max_polls: int


class ForwardService(Struct, frozen=True):
    """A service's limits; a plain service has neither ``engine`` nor ``store``.

    ``cold_per_s`` is how many requests a second a cold upstream can serve, during
    ``cold_s`` seconds after its start; zero means that there is no limit.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineShape | None = None
    store: StoreShape | None = None


class ForwardWorkspace(Struct, frozen=True):
    """A workspace with its keys; an ``isolated`` one shares no KV cache."""

    name: str
    keys: tuple[str, ...] = ()
    urgency: int | None = None
    isolated: bool = False


class CallerLimits(Struct, frozen=True):
    """Limits on callers: request sizes, time to send headers and idle time."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class Directory(Struct, frozen=True):
    """One configuration, installed whole or not at all; versions only grow.

    If ``keyed`` is False, requests carry no key.
    """

    version: int
    routes: tuple[ForwardRoute, ...] = ()
    services: tuple[ForwardService, ...] = ()
    workspaces: tuple[ForwardWorkspace, ...] = ()
    keyed: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)


class Upstream(Struct, frozen=True):
    """An upstream's registration; ``born`` differs after each restart.

    ``sequence`` counts the reports of this incarnation, zero if it isn't told.
    ``software`` is the version of its software; streams of two versions don't fit
    together.
    ``weights`` maps each model to the version that it serves. ``cold_s`` is how much
    longer the upstream is cold, counted from the time of the registration.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    born: int = 0
    sequence: int = 0
    software: str = ""
    weights: dict[str, int] = field(default_factory=dict)
