"""Decides at which software version a stream that a caller takes up may go on.

The caller names the request that brought the stream's first event. An entry that
doesn't know which version began it lets it go on only if no other version can have.
"""

from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.core.servedsoftware import STREAM_LIFE_S

MS_PER_S = 1000


def may_go_on(state: ExchangeState, exchange: Exchange, now: float) -> bool:
    """Return whether a stream may go on, and restrict it to its software version."""
    if exchange.last_event is None:
        return True
    known = state.origins.find(exchange.resumes, now)
    if known is not None:
        exchange.software = known
        return True
    versions = state.cluster_state.software.list_versions(exchange.service, now)
    if len(versions) > 1 or may_have_changed(state, exchange.service, now):
        return False
    exchange.software = next(iter(versions), None)
    return True


def may_have_changed(state: ExchangeState, service: str, now: float) -> bool:
    """Return whether a version may have left before this process watched.

    Upstreams of a new version start before those of the old one leave.
    """
    if state.cluster_state.software.has_watched_long(now):
        return False
    oldest_ms = (now + state.clock_offset - STREAM_LIFE_S) * MS_PER_S
    registered = state.cluster_state.by_service.get(service, {}).values()
    return any(known.upstream.born > oldest_ms for known in registered)


def record_origin(state: ExchangeState, exchange: Exchange, now: float) -> None:
    """Record the version whose upstream has sent a stream's first event."""
    if exchange.attempt is None:
        return
    exchange.software = exchange.attempt.software
    began_here = exchange.last_event is None
    request = exchange.request if began_here else exchange.resumes
    if request:
        state.origins.record(request, exchange.software, now)
