"""What the parts of a roll-out know of each other.

evidence = Evidence(by_route={"book": RouteEvidence(old=SideEvidence(...), new=...)})
"""

from enum import Enum, auto

from msgspec import Struct, field

from masticdrum.model.settings import RolloutBounds as RolloutBounds
from masticdrum.model.telemetry import Facts


class SideEvidence(Struct):
    """The answers of one side on one route, summed over all entries.

    ``answered`` and ``failed`` are counts by group of upstreams, ``latencies`` the
    answered ones by bucket (see ``model/rollouts.py``).
    """

    answered: list[int]
    failed: list[int]
    latencies: list[int]


class RouteEvidence(Struct):
    """The answers of both sides on one route."""

    old: SideEvidence
    new: SideEvidence


class Evidence(Struct):
    """The answers of both sides by route.

    ``old_sent`` and ``new_sent`` are how many ended at each side, over all routes.
    """

    by_route: dict[str, RouteEvidence] = field(default_factory=dict)
    old_sent: int = 0
    new_sent: int = 0


class Verdict(Enum):
    """What the evidence says of the target."""

    UNDECIDED = auto()
    SOUND = auto()
    BAD = auto()


class Judgement(Struct, frozen=True):
    """A verdict and the figures on which it rests, for the log."""

    verdict: Verdict
    facts: Facts = field(default_factory=dict)


class Step(Struct, frozen=True):
    """What entries may send to the target now.

    ``number`` grows with each change. At ``is_last`` all requests go to the target and
    the old side runs empty; with ``is_due`` the final state may be written.
    """

    number: int
    share: float
    is_last: bool = False
    is_due: bool = False
