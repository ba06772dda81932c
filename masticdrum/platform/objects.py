"""Decodes the store's objects into this project's types.

An object that can't be decoded raises ``Undecodable``; nothing of it is used.
"""

from math import isfinite
from typing import Annotated

from msgspec import UNSET, Meta, Struct, UnsetType, field
from xxhash import xxh3_64_intdigest

from masticdrum.core.addresses import is_ipv4_socket_address
from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.cluster_events import Member
from masticdrum.model.crashes import CrashReport
from masticdrum.model.directory import (
    Backend,
    CallerLimits,
    Directory,
    EngineShape,
    ForwardRoute,
    ForwardService,
    ForwardWorkspace,
    RouteKind,
    StoreShape,
    Upstream,
)
from masticdrum.model.rollouts import RolloutLease, RolloutOrder, RolloutState

MS_PER_S = 1000
MAX_QUOTED = 60  # characters of an odd value in a log line
ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
MAX_NUMBER = 2**53  # up to which each number is exact, and arithmetic is safe
MAX_SLOTS = 100_000
MAX_COLD_MS = 24 * 3600 * 1000
Whole = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Real = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Share = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Slots = Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
ColdMs = Annotated[float, Meta(ge=-MAX_COLD_MS, le=MAX_COLD_MS)]
STATES = {"ready": False, "draining": True}


class WireBackend(Struct):
    service: str
    weight: Share = 1.0


class WireRoute(Struct):
    name: str
    hostname: str
    pathPrefix: str  # noqa: N815
    routeType: str  # noqa: N815
    timeoutMs: Real = 30_000  # noqa: N815
    targetLatencyMs: Real = 1000  # noqa: N815
    maxAttempts: Whole = 1  # noqa: N815
    priority: Whole = 0
    service: str | None = None
    backends: list[WireBackend] = field(default_factory=list)
    public: bool = False
    resumable: bool = False
    gapTargetMs: Real = 0  # noqa: N815


class WireModel(Struct):
    name: str


class WireEngine(Struct):
    slots: Whole = 1
    kvCapacityTokens: Whole = 0  # noqa: N815
    models: list[WireModel] = field(default_factory=list)


class WireService(Struct):
    name: str
    maxConnections: Whole = 0  # noqa: N815
    coldStartS: Real = 0  # noqa: N815
    coldPerS: Real = 0  # noqa: N815
    engine: WireEngine | None = None
    kvStoreAddr: str = ""  # noqa: N815
    zone: str = ""
    kvCapacityTokens: Whole = 0  # noqa: N815
    maxConcurrency: Whole = 0  # noqa: N815


class WireTenant(Struct):
    name: str
    apiKeys: list[str] = field(default_factory=list)  # noqa: N815
    priority: Whole | None = None
    isolated: bool = False


class WireLimits(Struct):
    maxHeaderBytes: Whole = 16 * 1024  # noqa: N815
    maxBodyBytes: Whole = 4 * 1024 * 1024  # noqa: N815
    headerTimeoutMs: Real = 3000  # noqa: N815
    idleTimeoutMs: Real = 15_000  # noqa: N815


class WireConfig(Struct):
    version: Whole
    routes: list[WireRoute] = field(default_factory=list)
    services: list[WireService] = field(default_factory=list)
    limits: WireLimits = field(default_factory=WireLimits)
    tenants: list[WireTenant] | UnsetType = UNSET


class WireWeights(Struct):
    name: str
    version: Count = 0


class WireServer(Struct):
    """A server's registration; ``version`` is that of its software, not of weights."""

    service: str
    address: str
    zone: str
    state: str
    slots: Slots = 1
    coldRemainingMs: ColdMs = 0  # noqa: N815
    born: Count = 0
    sequence: Count = 0
    version: str = ""
    models: list[WireWeights] = field(default_factory=list)


class WireRollout(Struct):
    service: str
    target: str
    durationS: Real  # noqa: N815


class WireRolloutStatus(Struct):
    state: RolloutState
    target: str


class WireNamedWeights(Struct):
    model: str
    version: Count


def read_directory(spec: bytes) -> Directory:
    """Decode the configuration."""
    wire = read_json(spec, WireConfig)
    tenants = [] if isinstance(wire.tenants, UnsetType) else wire.tenants
    limits = wire.limits
    return Directory(
        version=wire.version,
        routes=tuple(read_route(route) for route in wire.routes),
        services=tuple(read_service(service) for service in wire.services),
        workspaces=tuple(
            ForwardWorkspace(t.name, tuple(t.apiKeys), t.priority, t.isolated)
            for t in tenants
        ),
        keyed=not isinstance(wire.tenants, UnsetType),
        limits=CallerLimits(
            limits.maxHeaderBytes,
            limits.maxBodyBytes,
            limits.headerTimeoutMs / MS_PER_S,
            limits.idleTimeoutMs / MS_PER_S,
        ),
    )


def read_route(wire: WireRoute) -> ForwardRoute:
    """Decode one route."""
    backends = tuple(Backend(b.service, b.weight) for b in wire.backends)
    if wire.service is not None:
        backends = (Backend(wire.service),)
    if not sum(backend.weight for backend in backends) > 0:
        raise Undecodable(f"the route {wire.name[:MAX_QUOTED]!r} leads nowhere")
    return ForwardRoute(
        name=wire.name,
        host=wire.hostname.lower(),
        prefix=wire.pathPrefix,
        kind=ROUTE_KINDS.get(wire.routeType, RouteKind.NON_IDEMPOTENT),
        backends=backends,
        timeout_s=wire.timeoutMs / MS_PER_S,
        target_s=wire.targetLatencyMs / MS_PER_S,
        max_attempts=max(1, wire.maxAttempts),
        urgency=wire.priority,
        public=wire.public,
        resumable=wire.resumable,
        gap_s=wire.gapTargetMs / MS_PER_S,
    )


def read_service(wire: WireService) -> ForwardService:
    """Decode one service."""
    engine = None
    if wire.engine is not None:
        models = tuple(model.name for model in wire.engine.models)
        engine = EngineShape(wire.engine.slots, wire.engine.kvCapacityTokens, models)
    store = None
    if wire.kvStoreAddr:
        check_address(wire.kvStoreAddr)
        store = StoreShape(
            wire.kvStoreAddr, wire.zone, wire.kvCapacityTokens, wire.maxConcurrency
        )
    return ForwardService(
        wire.name, wire.maxConnections, wire.coldStartS, wire.coldPerS, engine, store
    )


def read_upstream(name: str, spec: bytes) -> Upstream:
    """Decode a server's registration."""
    wire = read_json(spec, WireServer)
    if not is_header_value(name):
        raise Undecodable("its name can't be sent in a header")
    if wire.state not in STATES:
        raise Undecodable(f"the state is {wire.state[:MAX_QUOTED]!r}")
    check_address(wire.address)
    return Upstream(
        name=name,
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        slots=wire.slots,
        leaving=STATES[wire.state],
        cold_s=wire.coldRemainingMs / MS_PER_S,
        born=wire.born,
        sequence=wire.sequence,
        software=wire.version,
        weights={model.name: model.version for model in wire.models},
    )


def check_address(address: str) -> None:
    """Raise ``Undecodable`` for what can't be connected to without a look-up."""
    if not is_ipv4_socket_address(address):
        raise Undecodable(f"the address is {address[:MAX_QUOTED]!r}, not IP:PORT")


def is_header_value(text: str) -> bool:
    """Return whether a header can have the text as its value, without a change."""
    return bool(text) and text.isascii() and text.isprintable() and text == text.strip()


def read_named_weights(spec: bytes) -> tuple[str, int]:
    """Decode which version of a model is wanted."""
    wire = read_json(spec, WireNamedWeights)
    return wire.model, wire.version


def read_member(spec: bytes) -> Member:
    """Decode the registration of one of our own processes."""
    return read_json(spec, Member)


def read_crash_report(spec: bytes) -> CrashReport:
    """Decode the crash report of one of our own entries."""
    return read_json(spec, CrashReport)


def read_rollout_order(name: str, spec: bytes, created: bytes) -> RolloutOrder:
    """Decode an order to move a service's traffic; ``name`` is its object's."""
    wire = read_json(spec, WireRollout)
    if wire.service != name:
        raise Undecodable(f"the service is {wire.service[:MAX_QUOTED]!r}")
    if not wire.target:
        raise Undecodable("the target is empty")
    if not isfinite(wire.durationS) or wire.durationS <= 0:
        raise Undecodable(f"the duration is {wire.durationS} s")
    return RolloutOrder(name, wire.target, wire.durationS, read_mark(created))


def read_rollout_state(status: bytes, target: str) -> RolloutState | None:
    """Decode the state of an order, None if it has no status for its target."""
    if status == b"null":
        return None
    wire = read_json(status, WireRolloutStatus)
    return wire.state if wire.target == target else None


def read_rollout_lease(spec: bytes) -> RolloutLease:
    """Decode the lease of the entry that decides an order."""
    return read_json(spec, RolloutLease)


def read_mark(created: bytes) -> int:
    """Return a number that is the same for the same mark of an object's creation."""
    try:
        return read_json(created, Count)
    except Undecodable:
        return xxh3_64_intdigest(created) % MAX_NUMBER
