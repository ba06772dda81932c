"""Decides at which software version a stream that a caller takes up may go on.

The caller names the request that brought the stream's first event. The entry that began
it knows the version, and so do the agents that it told. If nobody knows it, the stream
goes on only while one version alone can have begun it.
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
)
from masticdrum.model.telemetry import Facts, Log, LogNumber

SEARCH_S = 0.2  # for replies of agents, also in another region
COPIES = 2  # agents that keep a stream's origin
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
    """Find the version that began an exchange's stream, or query the agents for it."""
    if exchange.last_event is None:
        return Resumption.ALLOWED, []
    life_s = state.cluster_state.stream_life_s
    known = state.origins.find(exchange.resumes, now)
    if known is not None:
        return _allow(exchange, known, "own record")
    versions = state.list_software(exchange.service, now)
    if len(versions) <= 1 and state.knows_software(now):
        return _allow(exchange, next(iter(versions), None), "only version")
    addresses = _list_queried(state, exchange)
    if not addresses:
        return _refuse(exchange, versions)
    exchange.search = OriginSearch(len(addresses), versions)
    state.timers.set((ORIGIN, exchange.handle), now + SEARCH_S)
    query = OriginQuery(exchange.handle, exchange.resumes, exchange.service, life_s)
    return Resumption.SEARCHING, [SendToAgents(addresses, query)]


def handle_reply(
    state: ExchangeState, exchange: Exchange, reply: OriginReply, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    """Use an agent's reply to the query for an exchange's stream."""
    search = exchange.search
    if search is None or reply.request != exchange.resumes:
        return Resumption.SEARCHING, []
    if reply.software is not None:
        _end_search(state, exchange)
        service = exchange.service
        state.origins.record(exchange.resumes, reply.software, now, service)
        return _allow(exchange, reply.software, "agent")
    search.unanswered -= 1
    search.versions |= set(reply.versions)
    search.is_complete |= reply.is_complete
    if search.unanswered > 0:
        return Resumption.SEARCHING, []
    return finish_search(state, exchange, now)


def finish_search(
    state: ExchangeState, exchange: Exchange, now: float
) -> tuple[Resumption, list[ExchangeEffect]]:
    """Decide on a stream of which no agent has said where it began."""
    search = exchange.search
    if search is None:
        return Resumption.SEARCHING, []
    _end_search(state, exchange)
    versions = search.versions | state.list_software(exchange.service, now)
    is_complete = search.is_complete or state.knows_software(now)
    if is_complete and len(versions) <= 1:
        return _allow(exchange, next(iter(versions), None), "only version")
    return _refuse(exchange, versions)


def record_origin(
    state: ExchangeState, exchange: Exchange, now: float
) -> list[ExchangeEffect]:
    """Record the version whose upstream has sent a stream's first event."""
    if exchange.attempt is None:
        return []
    exchange.software = exchange.attempt.software
    began_here = exchange.last_event is None
    request = exchange.request if began_here else exchange.resumes
    if not request or not exchange.route.resumable:
        return []
    service = exchange.service
    state.origins.record(request, exchange.software, now, service)
    if service in state.mixed or not state.knows_software(now):
        return _send_record(state, service, OriginRecord(request, exchange.software))
    return []


def review_versions(state: ExchangeState, now: float) -> list[ExchangeEffect]:
    """Begin to tell agents where streams began as soon as two versions serve.

    They are told of recent streams too. While one version serves there is no need.
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
    state: ExchangeState, service: str, record: OriginRecord
) -> list[ExchangeEffect]:
    addresses = _list_recorders(state, service, record)
    return [SendToAgents(addresses, record)] if addresses else []


def _list_recorders(
    state: ExchangeState, service: str, record: OriginRecord
) -> tuple[str, ...]:
    """List the upstreams whose agents keep where a stream of a service began.

    One runs the stream's version and one another, since all of a version may leave
    together, and with them their agents.
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
    return tuple(known[name].upstream.address for name in names[:COPIES])


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


def _allow(
    exchange: Exchange, software: str | None, source: str
) -> tuple[Resumption, list[ExchangeEffect]]:
    exchange.software = software
    return Resumption.ALLOWED, [_log(exchange, source, {software or ""})]


def _refuse(
    exchange: Exchange, versions: set[str]
) -> tuple[Resumption, list[ExchangeEffect]]:
    return Resumption.REFUSED, [_log(exchange, "unknown", versions)]


def _log(exchange: Exchange, source: str, versions: set[str]) -> Log:
    return Log(
        LogNumber.STREAM_TAKEN_UP,
        request=exchange.request,
        detail=source,
        facts={
            "resumes": exchange.resumes,
            "after_event": -1 if exchange.last_event is None else exchange.last_event,
            "versions": sorted(versions),
        },
    )
