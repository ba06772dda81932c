"""The settings of each program, one JSON file each.

Times are in seconds and sizes in bytes, as the suffix of a name shows.
"""

from msgspec import Struct, field

from masticdrum.model.agent_events import RunsAtLoad
from masticdrum.model.tables import PoolKind

KIB = 1024  # bytes


class EntryLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of an entry on its callers."""

    max_body_bytes: int = 1024 * KIB
    max_header_bytes: int = 16 * KIB
    read_timeout_s: float = 10.0
    write_timeout_s: float = 10.0


class PlatformTimeouts(Struct, frozen=True, forbid_unknown_fields=True):
    """How long a process waits for the platform, and how often it reads the list.

    ``call_s`` bounds one call; for a watch, its own wait is added.
    """

    call_s: float = 2.0
    instances_every_s: float = 2.0


class ResourceSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """What a process may use of its machine, where its own limits don't say so.

    ``memory_mb`` is in millions of bytes, ``descriptors`` a number of open files and
    sockets.
    """

    memory_mb: float | None = None
    descriptors: int | None = None


class EntrySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``masticdrum-entry``.

    ``http`` is the ``IP:PORT`` for callers, metrics and health. ``credentials_file``
    holds a JSON object that maps the SHA-256 of each bearer token, in hexadecimal, to
    its workspace. ``keys_file`` holds the keys of links to agents; without it links are
    neither encrypted nor authenticated. ``grace_s`` bounds a shutdown. ``listen`` is
    the address for other entries, ``tcp://IP:PORT``, which the instance list must show;
    either all entries of a deployment have one, or none. The ledger keeps the keys of
    non-idempotent calls for ``ledger_retention_s``, which must be the same at all
    entries.
    """

    name: str
    data_centre: str
    http: str
    object_api: str
    instance_list: str
    credentials_file: str
    listen: str | None = None
    keys_file: str | None = None
    limits: EntryLimits = field(default_factory=EntryLimits)
    platform: PlatformTimeouts = field(default_factory=PlatformTimeouts)
    ledger_retention_s: float = 24 * 3600.0
    grace_s: float = 30.0
    resources: ResourceSettings = field(default_factory=ResourceSettings)


class UpstreamTimeouts(Struct, frozen=True, forbid_unknown_fields=True):
    """How long an agent waits for its upstream.

    ``silence_s`` is how long a stream may carry no data before the agent resumes it
    over a new connection; ``service_s`` bounds one call to a plain service.
    """

    connect_s: float = 1.0
    silence_s: float = 5.0
    service_s: float = 30.0
    load_every_s: float = 0.5
    events_every_s: float = 0.5


class AgentSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``masticdrum-agent``.

    ``listen`` is the address for entries, ``tcp://IP:PORT``; ``http`` is the
    ``IP:PORT`` for metrics and health. ``kind`` is what the upstream is.
    ``keys_file`` holds the keys of links; without it any peer may connect.
    ``block_secret_file`` holds a secret known to all agents and to no store instance:
    it keys the checksums of stored blocks. Without it only accidental damage is
    detected.
    """

    name: str
    data_centre: str
    pool: str
    upstream: str
    listen: str
    upstream_url: str
    object_api: str
    instance_list: str
    http: str
    kind: PoolKind = PoolKind.ENGINE
    keys_file: str | None = None
    timeouts: UpstreamTimeouts = field(default_factory=UpstreamTimeouts)
    platform: PlatformTimeouts = field(default_factory=PlatformTimeouts)
    block_secret_file: str | None = None
    grace_s: float = 30.0
    resources: ResourceSettings = field(default_factory=ResourceSettings)


class RolloutBounds(Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of roll-outs.

    A bad target gets ``exposure_share`` of its service's requests at most between the
    order and its deadline, and ``exposure_slack`` more. It gets nothing later than
    ``rollback_s`` after its fiftieth bad answer.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0


class ForwardSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry that forwards requests unchanged.

    ``http``, ``probes`` and ``metrics`` are the ``IP:PORT`` for callers, readiness and
    metrics; ``store`` is that of the platform's store. ``drain_s`` is how long requests
    may still be sent to an upstream that is shutting down, ``apply_s`` how soon a
    configuration must be in force, ``revoke_s`` how soon a revoked key must stop
    working, ``weights_s`` how long requests may start on older
    weights after newer ones were named, ``evacuate_s`` how long requests may still be
    sent to a data centre that operators have drained. Once the store has worked for
    ``stable_s``, the entry is held to all of these. Over all entries together, retries
    to a service are bounded by ``retry_ratio`` of its requests in ``retry_window_s``
    and ``retry_extra``, requests to a cold upstream by its own rate times
    ``cold_factor`` and ``cold_slack``. ``grace_s`` bounds a shutdown. An upstream
    renews its registration every ``heartbeat_s``. ``datagrams`` is the ``IP:PORT`` at
    which the entry exchanges datagrams with agents, whose port is the same; without it
    no other process knows at which version of the upstreams' software a stream began.
    Without ``rollout`` no orders to move traffic between versions are read.
    """

    name: str
    data_centre: str
    http: str
    probes: str
    metrics: str
    store: str
    drain_s: float = 2.0
    apply_s: float = 2.0
    revoke_s: float = 5.0
    weights_s: float = 12.0
    evacuate_s: float = 5.0
    stable_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 20.0
    cold_factor: float = 1.0
    cold_slack: float = 1.0
    grace_s: float = 8.0
    heartbeat_s: float = 1.2
    datagrams: str | None = None
    rollout: RolloutBounds | None = None
    resources: ResourceSettings = field(default_factory=ResourceSettings)


class EngineControllerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an engine controller, the agent that sends its engine its orders.

    ``upstream`` and ``metrics`` are ``IP:PORT``; ``store`` is that of the platform's
    store. ``runs_at_load`` is what happens to the engine's runs when it loads new
    weights. ``grace_s`` bounds a shutdown. ``datagrams`` is the ``IP:PORT`` at which
    it exchanges datagrams with entries, or None.
    """

    name: str
    data_centre: str
    upstream: str
    metrics: str
    store: str
    runs_at_load: RunsAtLoad = RunsAtLoad.CONTINUE
    grace_s: float = 8.0
    datagrams: str | None = None
    resources: ResourceSettings = field(default_factory=ResourceSettings)


class CtlSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``masticdrumctl``.

    ``keys_file`` holds the keys of links to agents, like that of an entry.
    ``edit_timeout_s`` is how long the platform may take to accept an edit, and
    ``apply_timeout_s`` how long every process may then take to install it.
    """

    object_api: str
    instance_list: str
    keys_file: str | None = None
    platform: PlatformTimeouts = field(default_factory=PlatformTimeouts)
    edit_timeout_s: float = 10.0
    apply_timeout_s: float = 18.0
