"""What a process hears of the platform, as events that are plain data.

``asked`` is the process's clock, in seconds, when the read was sent; what the answer
says held at some time after it. ``vouched`` is the latest time at which it surely held.
"""

from enum import StrEnum

from msgspec import Struct

from masticdrum.model.directory import Directory, Upstream


class Source(StrEnum):
    """What is followed at the platform, and the engine beside an agent."""

    DIRECTORY = "directory"
    UPSTREAMS = "upstreams"
    DATA_CENTRES = "data_centres"
    WEIGHTS = "weights"
    MEMBERS = "members"
    ENGINE = "engine"


class DirectoryRead(Struct, frozen=True):
    """A read gave a configuration."""

    directory: Directory
    vouched: float


class DirectoryVouched(Struct, frozen=True):
    """The configuration that was read last still held at ``vouched``."""

    vouched: float


class UpstreamsListed(Struct, frozen=True):
    """Every upstream that is registered."""

    upstreams: tuple[Upstream, ...]


class UpstreamChanged(Struct, frozen=True):
    """An upstream registered or changed its entry."""

    upstream: Upstream


class UpstreamGone(Struct, frozen=True):
    """An upstream's entry was removed or can't be read any more."""

    name: str


class DataCentresOut(Struct, frozen=True):
    """Every data centre that operators have taken out."""

    names: frozenset[str]


class WeightsNamed(Struct, frozen=True):
    """Operators want a model served in this version of its weights.

    It was surely not named yet at ``not_before``, on the process's clock.
    """

    model: str
    version: int
    not_before: float = float("-inf")


class Member(Struct, frozen=True):
    """A process of the system; ``address`` is its link's, empty if it has none."""

    name: str
    role: str
    data_centre: str
    address: str = ""
    beat: int = 0


class MembersListed(Struct, frozen=True):
    """Every process of the system that has announced itself."""

    members: tuple[Member, ...]


class SourceLost(Struct, frozen=True):
    """A source can't be read; what is believed of it grows old."""

    source: Source
    reason: str


class SourceRegained(Struct, frozen=True):
    """A source is read again after ``lost_s`` seconds."""

    source: Source
    lost_s: float


BeliefEvent = (
    DirectoryRead
    | DirectoryVouched
    | UpstreamsListed
    | UpstreamChanged
    | UpstreamGone
    | DataCentresOut
    | WeightsNamed
    | MembersListed
    | SourceLost
    | SourceRegained
)
