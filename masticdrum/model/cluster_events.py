"""Events that report the state of the cluster to a process, as plain data.

``last_confirmed_at`` is the latest time, on the process's clock in seconds, at which
the state that was read is known to have been current. That is the time when the read
was sent, or later if a watch reported no change since. What ``may_be_outdated`` was
read from a store that came back from an older copy, and may not hold again what this
process missed.
"""

from enum import StrEnum

from msgspec import Struct

from masticdrum.model.crashes import CrashReportChanged, CrashReportsListed
from masticdrum.model.directory import Directory, Upstream
from masticdrum.model.rollouts import RolloutLeasesRead, RolloutsRead


class Source(StrEnum):
    """What a process watches: objects of the platform, and an agent's own engine."""

    DIRECTORY = "directory"
    UPSTREAMS = "upstreams"
    DATA_CENTRES = "data_centres"
    WEIGHTS = "weights"
    MEMBERS = "members"
    CRASHES = "crashes"
    ROLLOUTS = "rollouts"
    ROLLOUT_LEASES = "rollout_leases"
    ENGINE = "engine"


class DirectoryRead(Struct, frozen=True):
    """A read returned a configuration."""

    directory: Directory
    last_confirmed_at: float
    may_be_outdated: bool = False


class DirectoryConfirmed(Struct, frozen=True):
    """The last configuration was still current at ``last_confirmed_at``."""

    last_confirmed_at: float
    may_be_outdated: bool = False


class UpstreamsListed(Struct, frozen=True):
    """All registered upstreams."""

    upstreams: tuple[Upstream, ...]


class UpstreamChanged(Struct, frozen=True):
    """An upstream was registered or its registration changed."""

    upstream: Upstream


class UpstreamGone(Struct, frozen=True):
    """An upstream's registration was removed or can no longer be read."""

    name: str


class DataCentresDrained(Struct, frozen=True):
    """All data centres that operators have drained.

    ``removed`` are those that they have explicitly put back since the last event.
    """

    names: frozenset[str]
    removed: frozenset[str] = frozenset()


class WeightsNamed(Struct, frozen=True):
    """Operators want a model to be served with this version of its weights.

    At ``not_before``, on the process's clock, the version was certainly not yet named.
    """

    model: str
    version: int
    not_before: float = float("-inf")


class WeightsConfirmed(Struct, frozen=True):
    """All versions of weights named up to ``last_confirmed_at`` have been reported."""

    last_confirmed_at: float


class Member(Struct, frozen=True):
    """A process of the system; ``address`` is empty if it accepts no links.

    An entry that forwards requests has its address for datagrams there.

    ``directory`` is the version of the configuration that was in force there when it
    announced itself.
    """

    name: str
    role: str
    data_centre: str
    address: str = ""
    directory: int = 0


class MembersListed(Struct, frozen=True):
    """All processes of the system that have announced themselves."""

    members: tuple[Member, ...]


class SourceLost(Struct, frozen=True):
    """A source can't be read; what is known from it becomes stale."""

    source: Source
    reason: str


class SourceRegained(Struct, frozen=True):
    """A source can be read again after ``lost_s`` seconds."""

    source: Source
    lost_s: float


class StoreRestored(Struct, frozen=True):
    """The store came back from an older copy, and has lost what was written since.

    ``era`` counts how often that has happened; ``before`` is the last one seen.
    """

    era: int
    before: int


ClusterEvent = (
    DirectoryRead
    | DirectoryConfirmed
    | UpstreamsListed
    | UpstreamChanged
    | UpstreamGone
    | DataCentresDrained
    | WeightsNamed
    | WeightsConfirmed
    | MembersListed
    | SourceLost
    | SourceRegained
    | CrashReportsListed
    | CrashReportChanged
    | StoreRestored
    | RolloutsRead
    | RolloutLeasesRead
)
