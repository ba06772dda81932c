"""What a process knows of configuration and upstreams, and for how long it holds.

Within one incarnation the configuration only grows newer: an older one is never
installed. A request that needs a key may only be sent while the lease on the
configuration lasts (``directorylease.py``).
"""

from collections.abc import Iterable, Iterator

from msgspec import Struct
from msgspec.structs import replace

from masticdrum.core.directory import DirectoryIndex
from masticdrum.core.directorylease import DirectoryLease
from masticdrum.core.leavingupstreams import LeavingUpstreams
from masticdrum.core.rendezvous import Ranking
from masticdrum.core.restores import Restores, is_outdated
from masticdrum.core.servedsoftware import ServedSoftware, compute_stream_life
from masticdrum.core.storeoutages import StoreOutages
from masticdrum.core.supersededweights import SupersededWeights
from masticdrum.model.cluster_events import (
    ClusterEvent,
    DataCentresDrained,
    DirectoryConfirmed,
    DirectoryRead,
    Member,
    MembersListed,
    Source,
    SourceLost,
    SourceRegained,
    StoreRestored,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
    WeightsConfirmed,
    WeightsNamed,
)
from masticdrum.model.crashes import CrashReportChanged, CrashReportsListed
from masticdrum.model.directory import Directory, ForwardService, Upstream
from masticdrum.model.rollouts import RolloutLeasesRead, RolloutsRead
from masticdrum.model.telemetry import Facts, Log, LogNumber

REREGISTER_S = 2.0  # time for upstreams to register again after an outage
OUTAGE_S = 1.0  # shorter gaps in reading expire no registration
STORE_SOURCE = Source.DIRECTORY  # read most often, so it tells first of an outage
MAX_LOGGED_S = 9999.0  # of a time that isn't known


class ClusterBounds(Struct, frozen=True):
    """How long the cluster state may be acted on, in seconds.

    ``apply_s`` is how soon a configuration must be in force everywhere, ``revoke_s``
    how soon a revoked key must stop working everywhere; ``drain_s`` is
    how long an upstream whose registration is gone may still be sent to. A registration
    that isn't renewed is removed by the store within ``unregister_s``. Nothing may be
    sent to a data centre ``evacuate_s`` after operators have drained it. Once the store
    has worked for ``stable_s``, this process counts as connected to it.
    """

    revoke_s: float
    drain_s: float
    apply_s: float = 2.0
    unregister_s: float = 6.0
    evacuate_s: float = 5.0
    stable_s: float = 3.0


class KnownUpstream(Struct):
    """An upstream's registration, and what this process learnt about it.

    ``usable_until`` is set for an upstream whose registration is gone but that is still
    used for a while, ``trusted_at`` for one that may only be back because the store was
    restored from a copy. ``seen_at`` is when this process first saw it.
    """

    upstream: Upstream
    cold_until: float = 0.0
    usable_until: float | None = None
    trusted_at: float = 0.0
    seen_at: float = float("-inf")


class ClusterState:
    """Everything that one process knows of the platform."""

    __slots__ = (
        "_rankings",
        "_version_rankings",
        "_usable",
        "any_cold_until",
        "bounds",
        "by_service",
        "index",
        "known",
        "leaving",
        "lease",
        "lost",
        "members",
        "outages",
        "drained",
        "reregister_until",
        "restores",
        "software",
        "superseded",
    )

    def __init__(self, bounds: ClusterBounds) -> None:
        self.bounds = bounds
        self.index: DirectoryIndex | None = None
        self.lease = DirectoryLease()
        self.known: dict[str, KnownUpstream] = {}
        self.by_service: dict[str, dict[str, KnownUpstream]] = {}
        self.any_cold_until = 0.0
        self._usable: dict[str, list[KnownUpstream]] = {}
        self._rankings: dict[str, Ranking] = {}
        self._version_rankings: dict[tuple[str, str], Ranking] = {}
        self.drained: frozenset[str] | None = None
        self.superseded = SupersededWeights()
        self.members: tuple[Member, ...] | None = None
        self.lost: dict[Source, float] = {}
        self.outages = StoreOutages()
        self.reregister_until = 0.0
        self.restores = Restores()
        self.leaving = LeavingUpstreams()
        self.software = ServedSoftware()

    @property
    def weights(self) -> dict[str, int]:
        """The newest version of its weights that was named, by model."""
        return self.superseded.newest

    @property
    def version(self) -> int:
        """The version of the configuration in force, zero if there is none."""
        return 0 if self.index is None else self.index.directory.version

    def is_leased(self, now: float) -> bool:
        """Return whether requests with keys may be sent now."""
        return self.lease.is_held(now)

    def is_up_to_date(self, now: float) -> bool:
        """Return whether no configuration can be in force that isn't installed."""
        return now - self.lease.confirmed_at <= self.bounds.apply_s

    def list_usable_upstreams(self, service: str, now: float) -> list[KnownUpstream]:
        """List the upstreams of a service that may get new work.

        The list is kept until something changes; callers don't change it.
        """
        kept = self._usable.get(service)
        if kept is not None:
            return kept
        drained = self.drained or frozenset()
        registered = self.by_service.get(service, {}).values()
        usable = [
            known
            for known in registered
            if not known.upstream.leaving
            and known.upstream.data_centre not in drained
            and (known.usable_until is None or now < known.usable_until)
            and now >= known.trusted_at
        ]
        if all(
            known.usable_until is None and now >= known.trusted_at
            for known in registered
        ):
            self._usable[service] = usable
        return usable

    def rank_upstreams(self, service: str, key: int) -> Iterator[str]:
        """Yield the names of a service's upstreams in a key's order, best first.

        All processes that know the same upstreams rank them in the same order.
        """
        ranking = self._rankings.get(service)
        if ranking is None:
            registered = self.by_service.get(service, {})
            ranking = self._rankings[service] = make_ranking(registered.values())
        return ranking.rank(key)

    def rank_version(self, service: str, software: str, key: int) -> Iterator[str]:
        """Yield the names of a service's upstreams of one version of their software.

        The order is that of ``rank_upstreams``.
        """
        ranking = self._version_rankings.get((service, software))
        if ranking is None:
            ranking = make_ranking(
                known
                for known in self.by_service.get(service, {}).values()
                if known.upstream.software == software
            )
            self._version_rankings[service, software] = ranking
        return ranking.rank(key)

    def forget_lists(self) -> None:
        """Make the lists of upstreams anew when they are needed next."""
        self._usable.clear()

    def forget_rankings(self) -> None:
        """Rank upstreams anew, since some have come, gone or moved."""
        self._rankings.clear()
        self._version_rankings.clear()

    def find_service(self, upstream: Upstream) -> ForwardService | None:
        """Return the service that an upstream belongs to."""
        return None if self.index is None else self.index.services.get(upstream.service)

    def find_superseded_at(self, model: str, version: int) -> float | None:
        """Return a time before which no weights newer than ``version`` had been named.

        That is None while these are the newest, and minus infinity if it isn't known.
        """
        return self.superseded.find_superseded_at(model, version)

    @property
    def stream_life_s(self) -> float:
        """How long ago a stream that is taken up may have begun, in seconds."""
        if self.index is None:
            return compute_stream_life(())
        return self.index.stream_life_s

    def reads_upstreams(self, now: float) -> bool:
        """Return whether registrations are read, but for a short while."""
        return self.compute_outage(Source.UPSTREAMS, now) < OUTAGE_S

    def compute_outage(self, source: Source, now: float) -> float:
        """Return for how long a source could not be read, in seconds."""
        return now - self.lost.get(source, now)

    def count_members(self, role: str) -> int:
        """Count the processes of a role that share limits, including this one."""
        if self.members is None:
            return 1
        return max(1, sum(member.role == role for member in self.members))


def make_ranking(registered: Iterable[KnownUpstream]) -> Ranking:
    """Rank upstreams; the result doesn't depend on their order."""
    return Ranking(
        sorted((k.upstream.name, k.upstream.data_centre, 1.0) for k in registered)
    )


def apply_cluster_event(
    cluster_state: ClusterState, event: ClusterEvent, now: float
) -> list[Log]:
    """Apply one event and return what is to be logged."""
    if isinstance(event, DirectoryConfirmed):
        revoke_s = cluster_state.bounds.revoke_s
        cluster_state.lease.extend(event.last_confirmed_at, revoke_s)
        if not event.may_be_outdated:
            cluster_state.lease.confirm(event.last_confirmed_at)
        return []
    if isinstance(event, WeightsConfirmed):
        cluster_state.superseded.confirm(event.last_confirmed_at)
        return []
    if isinstance(event, StoreRestored):
        cluster_state.restores.record_restore(now)
        cluster_state.reregister_until = now + REREGISTER_S
        facts: Facts = {"era": event.era, "before": event.before}
        return [Log(LogNumber.STORE_RESTORED, facts=facts)]
    cluster_state.forget_lists()
    return _apply_change(cluster_state, event, now)


def _apply_change(
    cluster_state: ClusterState, event: ClusterEvent, now: float
) -> list[Log]:
    match event:
        case DirectoryRead():
            return _apply_directory(cluster_state, event, now)
        case UpstreamsListed():
            return _apply_upstream_list(cluster_state, event, now)
        case UpstreamChanged():
            return _apply_upstream(cluster_state, event.upstream, now)
        case UpstreamGone():
            return _remove_upstream(cluster_state, event.name, now)
        case DataCentresDrained():
            return _apply_drained_data_centres(cluster_state, event, now)
        case WeightsNamed():
            return _apply_weights(cluster_state, event, now)
        case MembersListed():
            return _apply_members(cluster_state, event, now)
        case SourceLost() | SourceRegained():
            return _apply_reachability(cluster_state, event, now)
        case (
            DirectoryConfirmed()
            | WeightsConfirmed()
            | StoreRestored()
            | CrashReportsListed()
            | CrashReportChanged()
            | RolloutsRead()
            | RolloutLeasesRead()
        ):
            return []


def _apply_directory(
    cluster_state: ClusterState, event: DirectoryRead, now: float
) -> list[Log]:
    directory = event.directory
    revoke_s = cluster_state.bounds.revoke_s
    confirmed_at = event.last_confirmed_at
    cluster_state.lease.record_read(directory.version, confirmed_at, revoke_s, now)
    if not event.may_be_outdated:
        cluster_state.lease.confirm(confirmed_at)
    if directory.version < cluster_state.version:
        facts = _describe_versions(cluster_state, directory)
        return [Log(LogNumber.DIRECTORY_IGNORED, facts=facts)]
    if directory.version == cluster_state.version:
        return []
    facts = _describe_versions(cluster_state, directory)
    cluster_state.index = DirectoryIndex(directory)
    facts |= {"wall": cluster_state.index.wall}
    facts |= {"confirmed_s": round(now - confirmed_at, 3)}
    return [Log(LogNumber.DIRECTORY_INSTALLED, facts=facts)]


def _describe_versions(cluster_state: ClusterState, directory: Directory) -> Facts:
    return {
        "version": directory.version,
        "before": cluster_state.version,
        "newest": cluster_state.lease.newest_version,
        "routes": len(directory.routes),
        "workspaces": len(directory.workspaces),
    }


def _apply_upstream_list(
    cluster_state: ClusterState, event: UpstreamsListed, now: float
) -> list[Log]:
    logs: list[Log] = []
    listed = {upstream.name for upstream in event.upstreams}
    for upstream in event.upstreams:
        logs += _apply_upstream(cluster_state, upstream, now)
    for name in [name for name in cluster_state.known if name not in listed]:
        logs += _remove_upstream(cluster_state, name, now)
    return logs


def _apply_upstream(
    cluster_state: ClusterState, upstream: Upstream, now: float
) -> list[Log]:
    old = cluster_state.known.get(upstream.name)
    if old is not None and is_outdated(upstream, old.upstream):
        old.usable_until = None
        return [_log_outdated(upstream, old.upstream.sequence, 0.0)]
    if cluster_state.leaving.has_said(upstream):
        upstream = replace(upstream, leaving=True)
    cold_until = now + upstream.cold_s if upstream.cold_s > 0 else 0.0
    if old is None or old.upstream.born != upstream.born:
        known = KnownUpstream(upstream, cold_until, seen_at=now)
    else:
        known = old
        known.cold_until = max(known.cold_until, cold_until)
    cluster_state.any_cold_until = max(cluster_state.any_cold_until, cold_until)
    if old is None or _has_moved(old.upstream, upstream):
        cluster_state.forget_rankings()
    was_leaving = old is not None and old.upstream.leaving
    if old is not None:
        cluster_state.by_service[old.upstream.service].pop(upstream.name, None)
        cluster_state.software.remove(old.upstream, now)
    cluster_state.software.add(upstream)
    known.upstream = upstream
    known.usable_until = None
    known.trusted_at = cluster_state.restores.find_trusted_at(
        upstream, cluster_state.bounds.unregister_s, now
    )
    cluster_state.known[upstream.name] = known
    cluster_state.by_service.setdefault(upstream.service, {})[upstream.name] = known
    if old is None and known.trusted_at > now:
        return [_log_outdated(upstream, upstream.sequence, known.trusted_at - now)]
    if old is None:
        return [_log_upstream(LogNumber.UPSTREAM_SEEN, upstream)]
    if upstream.leaving and not was_leaving:
        return [_log_upstream(LogNumber.UPSTREAM_LEAVING, upstream)]
    return []


def apply_leaving(cluster_state: ClusterState, name: str, born: int) -> list[Log]:
    """Send nothing more to an upstream whose answer says that it leaves."""
    cluster_state.leaving.record(name, born)
    known = cluster_state.known.get(name)
    if known is None or known.upstream.born != born or known.upstream.leaving:
        return []
    known.upstream = replace(known.upstream, leaving=True)
    cluster_state.forget_lists()
    return [_log_upstream(LogNumber.UPSTREAM_LEAVING, known.upstream, "answer")]


def _has_moved(old: Upstream, new: Upstream) -> bool:
    before = (old.service, old.data_centre, old.software)
    return before != (new.service, new.data_centre, new.software)


def _remove_upstream(cluster_state: ClusterState, name: str, now: float) -> list[Log]:
    known = cluster_state.known.get(name)
    if known is None:
        return []
    if now < cluster_state.reregister_until and known.usable_until is None:
        until = min(cluster_state.reregister_until, now + cluster_state.bounds.drain_s)
        known.usable_until = until
    if known.usable_until is not None and now < known.usable_until:
        return []
    cluster_state.forget_rankings()
    cluster_state.restores.record_departure(known.upstream)
    cluster_state.leaving.record_departure(known.upstream)
    cluster_state.software.remove(known.upstream, now)
    del cluster_state.known[name]
    cluster_state.by_service[known.upstream.service].pop(name, None)
    return [_log_upstream(LogNumber.UPSTREAM_GONE, known.upstream)]


def _log_outdated(read: Upstream, known_sequence: int, unused_s: float) -> Log:
    return Log(
        LogNumber.REGISTRATION_OUTDATED,
        facts={
            "upstream": read.name,
            "sequence": read.sequence,
            "known_sequence": known_sequence,
            "unused_s": round(unused_s, 3),
        },
    )


def _log_upstream(number: LogNumber, upstream: Upstream, detail: str = "") -> Log:
    return Log(
        number,
        detail=detail,
        facts={
            "upstream": upstream.name,
            "service": upstream.service,
            "data_centre": upstream.data_centre,
            "cold_s": upstream.cold_s,
        },
    )


def _apply_drained_data_centres(
    cluster_state: ClusterState, event: DataCentresDrained, now: float
) -> list[Log]:
    before, names = cluster_state.drained, event.names
    if before is not None and cluster_state.restores.may_be_missing(now):
        names |= before - event.removed
    if names == before:
        return []
    for known in cluster_state.known.values():
        centre = known.upstream.data_centre
        if before is not None and centre in before and centre not in names:
            service = cluster_state.find_service(known.upstream)
            cold_s = 0.0 if service is None else service.cold_s
            known.cold_until = max(known.cold_until, now + cold_s)
            cluster_state.any_cold_until = max(
                cluster_state.any_cold_until, known.cold_until
            )
    cluster_state.drained = names
    return [Log(LogNumber.DATA_CENTRES_CHANGED, facts={"out": sorted(names)})]


def _apply_weights(
    cluster_state: ClusterState, event: WeightsNamed, now: float
) -> list[Log]:
    before = cluster_state.weights.get(event.model, 0)
    superseded = cluster_state.superseded
    if not superseded.record(event.model, event.version, event.not_before):
        return []
    facts: Facts = {
        "model": event.model,
        "version": event.version,
        "before": before,
        "named_within_s": round(min(now - event.not_before, MAX_LOGGED_S), 3),
    }
    return [Log(LogNumber.WEIGHTS_NAMED, facts=facts)]


def _apply_members(
    cluster_state: ClusterState, event: MembersListed, now: float
) -> list[Log]:
    before = cluster_state.members or ()
    members = event.members
    if cluster_state.restores.may_be_missing(now):
        listed = {member.name for member in members}
        members += tuple(member for member in before if member.name not in listed)
    cluster_state.members = members
    cluster_state.lease.compare((member.directory for member in members), now)
    if len(before) == len(members):
        return []
    facts: Facts = {
        "members": len(members),
        "before": len(before),
        "listed": len(event.members),
    }
    return [Log(LogNumber.MEMBERS_CHANGED, facts=facts)]


def _apply_reachability(
    cluster_state: ClusterState, event: SourceLost | SourceRegained, now: float
) -> list[Log]:
    if isinstance(event, SourceLost):
        cluster_state.lost.setdefault(event.source, now)
        if event.source is STORE_SOURCE:
            cluster_state.outages.record_lost(now)
        source = event.source.value
        return [
            Log(LogNumber.SOURCE_LOST, detail=event.reason, facts={"source": source})
        ]
    cluster_state.lost.pop(event.source, None)
    if event.source is STORE_SOURCE:
        cluster_state.outages.record_regained(now)
    if event.source is Source.UPSTREAMS and event.lost_s > OUTAGE_S:
        cluster_state.reregister_until = now + REREGISTER_S
    facts: Facts = {
        "source": event.source.value,
        "lost_s": round(event.lost_s, 3),
    }
    return [Log(LogNumber.SOURCE_REGAINED, facts=facts)]
