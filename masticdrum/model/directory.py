"""What operators and upstreams declare where requests are forwarded unchanged.

Unlike the tables of ``masticdrum.model.tables``, a directory finds a request's route by
host and path, and upstreams register themselves. Times are seconds, sizes bytes.
"""

from enum import StrEnum

from msgspec import Struct, field


class RouteKind(StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Backend(Struct, frozen=True):
    """A service that takes the part ``weight`` of a route's requests."""

    service: str
    weight: float = 1.0


class ForwardRoute(Struct, frozen=True):
    """Which requests go to which service, and what may be done with them.

    ``prefix`` begins and ends with a slash. ``urgency`` is a rank, 0 first.
    ``max_attempts`` bounds the upstreams that may run one request. ``gap_s`` is the
    longest pause between two events of a stream that is still in time.
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
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class EngineShape(Struct, frozen=True):
    """The size of a service's engines: runs at once and tokens in memory."""

    slots: int
    memory_tokens: int
    models: tuple[str, ...] = ()


class StoreShape(Struct, frozen=True):
    """A store instance for kept cache.

    ``room_tokens`` is how much it keeps, ``max_polls`` how many calls for its events
    it bears at once.
    """

    address: str
    data_centre: str
    room_tokens: int
    max_polls: int


class ForwardService(Struct, frozen=True):
    """A service's limits; ``engine`` is None for a plain service, as is ``store``.

    ``cold_per_s`` is how many requests a second a cold upstream bears, for ``cold_s``
    after its start; zero means that it needs no care.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineShape | None = None
    store: StoreShape | None = None


class ForwardWorkspace(Struct, frozen=True):
    """A workspace with its keys; an ``isolated`` one shares no kept cache."""

    name: str
    keys: tuple[str, ...] = ()
    urgency: int | None = None
    isolated: bool = False


class CallerLimits(Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class Directory(Struct, frozen=True):
    """One configuration, in force whole or not at all; versions only grow.

    ``keyed`` false means that requests carry no key.
    """

    version: int
    routes: tuple[ForwardRoute, ...] = ()
    services: tuple[ForwardService, ...] = ()
    workspaces: tuple[ForwardWorkspace, ...] = ()
    keyed: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)


class Upstream(Struct, frozen=True):
    """What an upstream says of itself; one that starts again has another ``born``.

    ``weights`` maps each model to the version that it serves. ``cold_s`` is how much
    longer it is cold, as of the time of the entry.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    born: int = 0
    weights: dict[str, int] = field(default_factory=dict)
