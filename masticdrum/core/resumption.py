"""Decides at which software version a stream that a caller takes up may go on.

The caller names the request that brought the stream's first event. The entry that began
it knows the version, and so do the agents and the other entries that it told. If nobody
knows it, the stream goes on only if one version alone can have begun it. Streams begin
only at versions that the record in the platform holds, so a read of it tells which
these are. It has to be asked after the caller has come back: what this entry has read
or seen before may be out of date without any sign of it.
"""

from collections.abc import Iterator
from enum import StrEnum
from itertools import islice

from xxhash import xxh3_64_intdigest

from masticdrum.core.exchangeclose import ORIGIN
from masticdrum.core.exchangestate import Exchange, ExchangeState, OriginSearch
from masticdrum.model.exchange import ExchangeEffect
from masticdrum.model.origins import (
    OriginQuery,
    OriginRecord,
    OriginReply,
    SendToAgents,
    SendToPeers,
)
from masticdrum.model.telemetry import Facts, Log, LogNumber

SEARCH_S = 0.2  # for replies of agents, also in another region
READ_PATIENCE_S = 0.2  # for the record, before agents are queried too
READ_WAIT_S = 3.0  # for the record, from a platform that is away
READ_WAIT_FRACTION = 0.5  # of the time left, so that as much is left for the stream
FIRST_WAIT_S = 1.0  # for the record of a service's first version
COPIES = 2  # agents that keep a stream's origin while several versions serve
COPIES_OF_ONLY_VERSION = 1  # enough for a caller whose entry is lost
# Other entries that keep it too while several versions serve. There may be one agent
# alone beside the upstreams of a version, which then keeps a copy for all streams.
PEER_COPIES = 2
QUERIED_PEERS = 4  # entries that have come since move the others down in rank
# Upstreams that registered since a stream began move its agents down in rank.
QUERIED_PER_VERSION = 6
RECORDS_AT_ONCE = 100  # so that they delay no request


class Resumption(StrEnum):
    """Whether a request may be sent, as far as its stream's origin matters."""

    ALLOWED = "allowed"
    REFUSED = "refused"
    SEARCHING = "searching"


def begin_resumption(
    state: ExchangeState, exchange: Exchange, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    """Find the version that began an exchange's stream, or search for it.

    A new stream only waits while no version that serves is recorded, if a caller may
    take it up.
    """
    if exchange.last_event is None:
        return _begin_stream(state, exchange, now)
    known = state.origins.find(exchange.resumes, now)
    if known is not None:
        return _allow(state, exchange, known, "own record", now)
    wait_s = min(READ_WAIT_S, READ_WAIT_FRACTION * (exchange.deadline - now))
    exchange.search = search = OriginSearch(now, now + wait_s)
    if len(state.list_software(exchange.service, now)) > 1:
        search.awaits_record = False
        return _query_keepers(state, exchange, search, now)
    state.awaiting_record.add(exchange.handle)
    state.software_records.request_read(now)
    state.timers.set((ORIGIN, exchange.handle), now + READ_PATIENCE_S)
    return Resumption.SEARCHING, []


def _begin_stream(
    state: ExchangeState, exchange: Exchange, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    if not _awaits_version(state, exchange, now):
        return Resumption.ALLOWED, []
    wait_s = min(FIRST_WAIT_S, READ_WAIT_FRACTION * (exchange.deadline - now))
    exchange.search = OriginSearch(now, now + wait_s)
    state.awaiting_record.add(exchange.handle)
    state.timers.set((ORIGIN, exchange.handle), exchange.search.until)
    return Resumption.SEARCHING, []


def _awaits_version(state: ExchangeState, exchange: Exchange, now: float) -> bool:
    """Return whether upstreams may get a new stream, but none of a recorded version."""
    if not exchange.route.streams_resumable:
        return False
    service = exchange.service
    usable = state.cluster_state.list_usable_upstreams(service, now)
    records = state.software_records
    return bool(usable) and not any(
        records.has_confirmed(service, known.upstream.software) for known in usable
    )


def use_record(
    state: ExchangeState, exchange: Exchange, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    """Decide by the record on a stream that waits for a read of it, if it can."""
    search = exchange.search
    records = state.software_records
    if search is None:
        return Resumption.SEARCHING, []
    if exchange.last_event is None:
        if _awaits_version(state, exchange, now):
            return Resumption.SEARCHING, []
        _end_search(state, exchange)
        return Resumption.ALLOWED, []
    if records.read_at < search.begun_at:
        records.request_read(now)
        return Resumption.SEARCHING, []
    versions = state.list_software(exchange.service, now)
    if len(versions) <= 1:
        is_awaited = _awaits_own_write(state, exchange.service, versions)
        if not records.is_complete or is_awaited:
            return Resumption.SEARCHING, []
        version = next(iter(versions), None)
        return _allow(state, exchange, version, "only version", now)
    state.awaiting_record.discard(exchange.handle)
    search.awaits_record = False
    if search.unanswered is None:
        return _query_keepers(state, exchange, search, now)
    if search.unanswered == 0:
        return _refuse(state, exchange, now)
    return Resumption.SEARCHING, []


def _awaits_own_write(state: ExchangeState, service: str, versions: set[str]) -> bool:
    """Return whether a version that serves has yet to be recorded by this entry."""
    return any(
        version in versions
        and not state.software_records.has_confirmed(service, version)
        for version in state.cluster_state.software.list_registered(service)
    )


def handle_reply(
    state: ExchangeState, exchange: Exchange, reply: OriginReply, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    """Use an agent's reply to the query for an exchange's stream."""
    search = exchange.search
    if search is None or reply.request != exchange.resumes:
        return Resumption.SEARCHING, []
    if reply.software is not None:
        service = exchange.service
        state.origins.record(exchange.resumes, reply.software, now, service)
        return _allow(state, exchange, reply.software, "agent", now)
    if search.unanswered is None or search.unanswered <= 0:
        return Resumption.SEARCHING, []
    search.unanswered -= 1
    if search.unanswered > 0:
        return Resumption.SEARCHING, []
    return continue_search(state, exchange, now)


def continue_search(
    state: ExchangeState, exchange: Exchange, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    """Query agents, wait on for the record, or give up, as a search's time passes."""
    search = exchange.search
    if search is None:
        return Resumption.SEARCHING, []
    if exchange.last_event is None:
        _end_search(state, exchange)
        return Resumption.ALLOWED, []
    if search.unanswered is None:
        return _query_keepers(state, exchange, search, now)
    search.unanswered = 0
    if search.awaits_record and now < search.until:
        state.timers.set((ORIGIN, exchange.handle), search.until)
        return Resumption.SEARCHING, []
    return _refuse(state, exchange, now)


def _query_keepers(
    state: ExchangeState, exchange: Exchange, search: OriginSearch, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    """Ask the agents and entries that may know where an exchange's stream began."""
    query = OriginQuery(exchange.handle, exchange.resumes)
    sent = _send_to_keepers(state, _list_queried(state, exchange), query, QUERIED_PEERS)
    search.unanswered = sum(len(effect.addresses) for effect in sent)
    if not sent:
        return continue_search(state, exchange, now)
    state.timers.set((ORIGIN, exchange.handle), now + SEARCH_S)
    return Resumption.SEARCHING, [*sent]


def record_origin(
    state: ExchangeState, exchange: Exchange, now: float
) -> list[ExchangeEffect]:
    """Record the version whose upstream has sent a stream's first event.

    An agent is told at once, since this entry may be gone before another version
    appears, and with it all that it alone knows. While several versions serve, more
    agents and other entries are told, as any of them may be lost with this one.
    """
    if exchange.attempt is None:
        return []
    exchange.software = exchange.attempt.software
    began_here = exchange.last_event is None
    request = exchange.request if began_here else exchange.resumes
    if not request or not exchange.route.resumable:
        return []
    service = exchange.service
    state.origins.record(request, exchange.software, now, service)
    is_only_version = service not in state.mixed and state.knows_software(now)
    record = OriginRecord(request, exchange.software)
    if is_only_version:
        return _send_record(state, service, record, COPIES_OF_ONLY_VERSION, 0)
    return _send_record(state, service, record)


def review_versions(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    """Tell more agents where streams began as soon as two versions serve.

    They are told of recent streams too, since all of a version may leave together.
    """
    effects: list[ExchangeEffect] = []
    life_s = state.cluster_state.stream_life_s
    for service in state.cluster_state.by_service:
        versions = state.list_software(service, now)
        if len(versions) <= 1:
            state.mixed.discard(service)
        elif service not in state.mixed:
            state.mixed.add(service)
            recent = state.origins.list_requests(service, now - life_s)
            state.unsent_origins.extend((service, request) for request in recent)
            facts: Facts = {
                "service": service,
                "versions": sorted(versions),
                "streams": len(recent),
                "life_s": life_s,
            }
            effects.append(Log(LogNumber.SOFTWARE_MIXED, facts=facts))
    return effects + send_records(state, now)


def send_records(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    """Tell agents of some of the streams that began before two versions served."""
    effects: list[ExchangeEffect] = []
    for _ in range(min(RECORDS_AT_ONCE, len(state.unsent_origins))):
        service, request = state.unsent_origins.popleft()
        software = state.origins.find(request, now)
        if software is not None:
            effects += _send_record(state, service, OriginRecord(request, software))
    return effects


def _send_record(
    state: ExchangeState,
    service: str,
    record: OriginRecord,
    copies: int = COPIES,
    peer_copies: int = PEER_COPIES,
) -> list[ExchangeEffect]:
    agents = _list_recorders(state, service, record, copies)
    return [*_send_to_keepers(state, agents, record, peer_copies)]


def _send_to_keepers(
    state: ExchangeState,
    agents: tuple[str, ...],
    message: OriginRecord | OriginQuery,
    most_peers: int,
) -> list[SendToAgents | SendToPeers]:
    """Send a message to agents, and to the entries that rank first for its request."""
    sent: list[SendToAgents | SendToPeers] = []
    if agents:
        sent.append(SendToAgents(agents, message))
    if not state.has_agents:
        return sent
    key = xxh3_64_intdigest(message.request.encode())
    peers = tuple(islice(state.rank_peers(key), most_peers))
    return [*sent, SendToPeers(peers, message)] if peers else sent


def _list_recorders(
    state: ExchangeState, service: str, record: OriginRecord, copies: int
) -> tuple[str, ...]:
    """List the upstreams whose agents keep where a stream of a service began.

    Of two, one runs the stream's version and one another, since all of a version may
    leave together, and with them their agents.
    """
    if not state.has_agents:
        return ()
    known = state.cluster_state.known

    def rank_staying(version: str) -> list[str]:
        ranked = _rank(state, service, version, record.request)
        return [name for name in ranked if not known[name].upstream.leaving]

    own = rank_staying(record.software)
    others = [
        name
        for version in state.cluster_state.software.list_registered(service)
        if version != record.software
        for name in rank_staying(version)[:1]
    ]
    names = [*own[:1], *others[:1], *own[1:], *others[1:]]
    if not names:
        names = list(_rank(state, service, record.software, record.request))
    return tuple(known[name].upstream.address for name in names[:copies])


def _list_queried(state: ExchangeState, exchange: Exchange) -> tuple[str, ...]:
    """List the upstreams whose agents may know where a stream began."""
    if not state.has_agents:
        return ()
    software = state.cluster_state.software
    known = state.cluster_state.known
    return tuple(
        known[name].upstream.address
        for version in software.list_registered(exchange.service)
        for name in _rank(state, exchange.service, version, exchange.resumes)
    )


def _rank(
    state: ExchangeState, service: str, software: str, request: str
) -> Iterator[str]:
    key = xxh3_64_intdigest(request.encode())
    ranking = state.cluster_state.rank_version(service, software, key)
    return islice(ranking, QUERIED_PER_VERSION)


def _end_search(state: ExchangeState, exchange: Exchange) -> None:
    exchange.search = None
    state.timers.clear((ORIGIN, exchange.handle))
    state.awaiting_record.discard(exchange.handle)


def _allow(
    state: ExchangeState,
    exchange: Exchange,
    software: str | None,
    source: str,
    now: float,
) -> tuple[Resumption, list[ExchangeEffect]]:
    log = _log(state, exchange, source, {software or ""}, now)
    exchange.software = software
    _end_search(state, exchange)
    return Resumption.ALLOWED, [log]


def _refuse(
    state: ExchangeState, exchange: Exchange, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    versions = state.list_software(exchange.service, now)
    log = _log(state, exchange, "unknown", versions, now)
    _end_search(state, exchange)
    return Resumption.REFUSED, [log]


def _log(
    state: ExchangeState,
    exchange: Exchange,
    source: str,
    versions: set[str],
    now: float,
) -> Log:
    records = state.software_records
    begun_at = now if exchange.search is None else exchange.search.begun_at
    return Log(
        LogNumber.STREAM_TAKEN_UP,
        request=exchange.request,
        detail=source,
        facts={
            "resumes": exchange.resumes,
            "after_event": -1 if exchange.last_event is None else exchange.last_event,
            "versions": sorted(versions),
            "waited_s": round(now - begun_at, 3),
            "read_s": round(now - records.read_at, 3) if records.was_read else -1.0,
            "complete": records.is_complete,
        },
    )
