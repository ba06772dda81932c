"""The state of an entry that forwards exchanges."""

from collections import deque
from collections.abc import Iterator
from random import Random

from msgspec import Struct

from masticdrum.core.cachescopes import CacheScope
from masticdrum.core.clusterstate import ClusterBounds, ClusterState
from masticdrum.core.coldstartpacing import ColdStartBounds, ColdStartPacer, Place
from masticdrum.core.crashsuspicion import CrashSuspicion
from masticdrum.core.gracefulstop import GracefulStop, StreamDurations
from masticdrum.core.outlierdetection import OutlierDetector
from masticdrum.core.rendezvous import Ranking
from masticdrum.core.requestlimits import RequestLimits
from masticdrum.core.retrywindow import RetryBounds, RetryWindow
from masticdrum.core.rolloutcontrol import (
    ROLLOUT,
    EvidenceRecorder,
    FinalStates,
    RolloutDriver,
    RolloutParts,
    Shares,
)
from masticdrum.core.saturation import Saturation
from masticdrum.core.softwarerecords import SoftwareRecords
from masticdrum.core.storedprefixes import StoredPrefixes
from masticdrum.core.storepolls import StorePolls, choose_polls
from masticdrum.core.streamorigins import StreamOrigins
from masticdrum.core.timers import Timers
from masticdrum.core.upstreampauses import UpstreamPauses
from masticdrum.model.cluster_events import Member
from masticdrum.model.directory import ForwardRoute, ForwardWorkspace
from masticdrum.model.exchange import Prompt

TimerName = tuple[str, int]


class ForwardBounds(Struct, frozen=True):
    """All limits on what an entry may do; times are in seconds.

    ``weights_s`` is how long prompts may be sent to older weights after newer ones were
    named, ``weights_begin_s`` how long they may begin on them. An upstream that has
    crashed stays registered for ``unregister_s`` at most.
    """

    cluster_state: ClusterBounds
    retries: RetryBounds
    cold: ColdStartBounds
    weights_s: float
    weights_begin_s: float
    stop_linger_s: float
    unregister_s: float


class Attempt:
    """One attempt of an exchange at an upstream.

    ``born`` is the upstream's incarnation, ``software`` the version of its software.
    ``weights`` is the version of its model's weights that the upstream had, zero if it
    isn't known, ``scope`` where its prompt shares KV cache. ``begun_at`` is when it
    began a stream as its answer, or None, and ``has_events`` whether an event of it has
    come. A ``warming`` upstream was cold or had just registered when the attempt
    started.
    """

    __slots__ = (
        "begun_at",
        "born",
        "has_events",
        "number",
        "scope",
        "software",
        "started_at",
        "upstream",
        "warming",
        "weights",
    )

    def __init__(
        self,
        number: int,
        upstream: str,
        born: int,
        started_at: float,
        software: str,
        weights: int,
        scope: CacheScope,
    ) -> None:
        self.number = number
        self.upstream = upstream
        self.born = born
        self.started_at = started_at
        self.software = software
        self.weights = weights
        self.scope = scope
        self.begun_at: float | None = None
        self.has_events = False
        self.warming = False


class OriginSearch(Struct):
    """The search for the version that began a stream.

    A read of the record that was asked at ``begun_at`` or later names all versions at
    which it may have begun; it is awaited until ``until``. ``unanswered`` counts the
    agents that were queried and have not replied, None before the query.
    """

    begun_at: float
    until: float
    awaits_record: bool = True
    unanswered: int | None = None


class Exchange:
    """One request of a caller that has no final answer yet.

    ``work`` is the load that it adds to its upstream: one for a plain request, tokens
    for a prompt. ``sends`` counts the attempts that may have run; ``maybe_ran`` states
    whether there was one. ``last_event`` is the id of the last event that was
    forwarded. ``expected_s`` is how long its first event was expected to take when the
    request arrived. ``keys`` is what other requests may have in common with it.
    ``resumes`` is the request that began the stream that it takes up, ``search`` the
    search for where that was, while it lasts. ``software`` is
    the version at which its stream began, None as long as any may take it.
    ``spare_only`` tells that only upstreams with a limit may take it, since the others
    are saturated. ``draw`` is the number, from 0 to 1, that decides whether the next
    attempt goes to the target of a roll-out, None before it is needed;
    ``failed_software`` is the version at which the last failed attempt was.
    """

    __slots__ = (
        "arrived",
        "attempt",
        "deadline",
        "draw",
        "events_forwarded",
        "expected_s",
        "failed_software",
        "handle",
        "keys",
        "last_event",
        "maybe_ran",
        "prompt",
        "rejections",
        "request",
        "resumes",
        "route",
        "search",
        "sends",
        "service",
        "software",
        "spare_only",
        "stream_begun",
        "tried",
        "work",
        "workspace",
    )

    def __init__(
        self,
        handle: int,
        request: str,
        route: ForwardRoute,
        service: str,
        workspace: ForwardWorkspace | None,
        arrived: float,
        deadline: float,
    ) -> None:
        self.handle = handle
        self.request = request
        self.route = route
        self.service = service
        self.workspace = workspace
        self.arrived = arrived
        self.deadline = deadline
        self.prompt: Prompt | None = None
        self.keys: tuple[str, ...] = ()
        self.work = 1
        self.attempt: Attempt | None = None
        self.spare_only = False
        self.stream_begun = False
        self.events_forwarded = False
        self.maybe_ran = False
        self.sends = 0
        self.rejections = 0
        self.resumes = ""
        self.search: OriginSearch | None = None
        self.software: str | None = None
        self.draw: float | None = None
        self.failed_software: str | None = None
        self.expected_s = 0.0
        self.last_event: int | None = None
        self.tried: set[str] = set()

    @property
    def urgency(self) -> int:
        """The urgency of the request, zero for the most urgent."""
        if self.workspace is not None and self.workspace.urgency is not None:
            return self.workspace.urgency
        return self.route.urgency


class ExchangeState:
    """Everything that one forwarding entry knows.

    ``role`` is the role by which it finds its peer entries. ``open`` is the work that
    this entry has open at each upstream, ``heard_at`` when it last began or ended an
    answer. ``has_agents`` states whether agents and other entries can be told and asked
    where streams began. ``reviewed_changes`` is up to which change of software versions
    their record was compared. ``mixed`` are the services of which several versions
    serve or did lately, ``unsent_origins`` the streams, by service and request, that
    agents have to be told of since, ``awaiting_record`` the exchanges that wait for a
    read of that record. ``stream_durations`` is how long streams take, for a stop.
    ``clock_offset`` is what has to be added to its clock for the time of day, in
    seconds. Without ``rollouts`` requests are not split by version.
    """

    def __init__(self, name: str, role: str, bounds: ForwardBounds, seed: int) -> None:
        self.name = name
        self.role = role
        self.bounds = bounds
        self.random = Random(seed)
        self.cluster_state = ClusterState(bounds.cluster_state)
        self.exchanges: dict[int, Exchange] = {}
        self.open: dict[str, int] = {}
        self.heard_at: dict[str, float] = {}
        self.outlier_detectors: dict[str, OutlierDetector] = {}
        self.retry_windows: dict[str, RetryWindow] = {}
        self.pacer = ColdStartPacer(bounds.cold, self.random)
        self.prefixes = StoredPrefixes()
        self.saturation = Saturation(self.random)
        self.suspicion = CrashSuspicion(name, self.random)
        self.limits = RequestLimits(self.random)
        self.pauses = UpstreamPauses()
        self.origins = StreamOrigins()
        self.has_agents = True
        self.software_records = SoftwareRecords(self.random)
        self.reviewed_changes = 0
        self.mixed: set[str] = set()
        self.unsent_origins: deque[tuple[str, str]] = deque()
        self.awaiting_record: set[int] = set()
        self.timers: Timers[TimerName] = Timers()
        self.attempts = 0
        self.clock_offset = 0.0
        self._ranked_members: tuple[Member, ...] | None = None
        self._peers: dict[str, str] = {}
        self._peer_ranking = Ranking(())
        self._rank = 0
        self._member_count = 1
        self.leased = False
        self.stop: GracefulStop | None = None
        self.stream_durations = StreamDurations()
        self.shutdown_done = False
        self.rollouts: Shares | None = None
        self.evidence: EvidenceRecorder | None = None
        self.rollout_driver: RolloutDriver | None = None
        self.final_states = FinalStates()

    def use_rollouts(self, parts: RolloutParts) -> None:
        """Split requests by version, and take part in the decisions."""
        self.rollouts = parts.shares
        self.evidence = parts.evidence
        self.rollout_driver = parts.driver
        self.timers.set((ROLLOUT, 0), 0.0)

    def find_next_timer(self) -> float | None:
        """Return when the next timer is due, in seconds, or None."""
        return self.timers.find_next()

    def get_retry_window(self, service: str) -> RetryWindow:
        """Return the retry window of a service."""
        window = self.retry_windows.get(service)
        if window is None:
            window = self.retry_windows[service] = RetryWindow(self.bounds.retries)
        return window

    def count_peer_entries(self) -> int:
        """Count the entries that share limits, including this one."""
        return self.cluster_state.count_members(self.role)

    def find_place(self, now: float) -> Place:
        """Return this entry's place among those that share limits.

        One that is not listed yet comes last.
        """
        self._rank_members()
        return Place(self._rank, self._member_count, now + self.clock_offset)

    def rank_peers(self, key: int) -> Iterator[str]:
        """Yield the addresses of other entries in a key's order, best first."""
        self._rank_members()
        return (self._peers[name] for name in self._peer_ranking.rank(key))

    def _rank_members(self) -> None:
        """Rank the entries that are listed, unless that was done before."""
        members = self.cluster_state.members
        if members is self._ranked_members:
            return
        self._ranked_members = members
        entries = [m for m in members or () if m.role == self.role]
        names = {member.name for member in entries}
        listed = self.name in names
        self._rank = sum(n < self.name for n in names) if listed else len(names)
        self._member_count = len(names) if listed else len(names) + 1
        peers = [m for m in entries if m.name != self.name and m.address]
        self._peers = {member.name: member.address for member in peers}
        self._peer_ranking = Ranking(
            sorted((m.name, m.data_centre, 1.0) for m in peers)
        )

    def list_software(self, service: str, now: float) -> set[str]:
        """List the versions at which open streams of a service may have begun."""
        life_s = self.cluster_state.stream_life_s
        seen = self.cluster_state.software.list_versions(service, now, life_s)
        unix_now = now + self.clock_offset
        return seen | self.software_records.list_versions(service, unix_now, life_s)

    def knows_software(self, now: float) -> bool:
        """Return whether those were all versions when the record was last read."""
        is_complete = self.software_records.is_complete
        return is_complete and self.cluster_state.reads_upstreams(now)

    def list_polls(self) -> list[StorePolls]:
        """List the KV cache stores that this entry polls, and how often."""
        cluster_state = self.cluster_state
        if cluster_state.index is None or cluster_state.members is None:
            return []
        peers = [m.name for m in cluster_state.members if m.role == self.role]
        return choose_polls(cluster_state.index.stores, self.name, peers)

    def compute_remaining_grace(self, now: float) -> float:
        """Return how long a request accepted during shutdown may run, in seconds."""
        return 0.0 if self.stop is None else max(0.0, self.stop.deadline - now)

    def compute_remaining_stop(self, now: float) -> float:
        """Return how long connections may still carry answers, in seconds."""
        return 0.0 if self.stop is None else max(0.0, self.stop.ends_at - now)

    def is_ready(self, now: float) -> bool:
        """Return whether callers should be sent to this entry."""
        cluster_state = self.cluster_state
        return (
            self.stop is None
            and cluster_state.index is not None
            and cluster_state.members is not None
            and cluster_state.drained is not None
            and self.suspicion.is_listed
            and self.software_records.was_read
            and (self.rollout_driver is None or self.final_states.was_read)
            and bool(cluster_state.known)
            and cluster_state.is_leased(now)
        )
