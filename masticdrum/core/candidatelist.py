"""Lists the upstreams that may get a forwarded request now."""

from masticdrum.core.clusterstate import KnownUpstream
from masticdrum.core.coldstartpacing import Place
from masticdrum.core.exchangestate import Exchange, ExchangeState
from masticdrum.core.rolloutsplit import filter_by_share, select_side
from masticdrum.core.weightsbound import filter_by_weights


def list_candidates(
    state: ExchangeState, exchange: Exchange, now: float
) -> list[KnownUpstream]:
    """List the upstreams that may get an exchange's request, only the preferred ones.

    Upstreams that were tried already or that are ejected as outliers are left out as
    long as others remain. If all were tried and the request may have run, there are no
    candidates.
    """
    usable = state.cluster_state.list_usable_upstreams(exchange.service, now)
    usable = _filter_by_software(state, exchange, usable)
    usable = filter_by_share(state, exchange, usable, now)
    if not state.pauses.is_empty:
        usable = [k for k in usable if not state.pauses.is_paused(k.upstream, now)]
    if now < state.cluster_state.any_cold_until or not state.pacer.is_empty:
        usable = [known for known in usable if _has_cold_capacity(state, known, now)]
    if exchange.spare_only:
        usable = [k for k in usable if state.limits.has_limit(k.upstream.name)]
    if not state.limits.is_empty:
        place = state.find_place(now)
        usable = [
            known for known in usable if _is_within_limit(state, known, place, now)
        ]
    usable = filter_by_weights(state, usable, exchange, now)
    remaining = usable
    if exchange.tried:
        tried = exchange.tried
        untried = [known for known in usable if known.upstream.name not in tried]
        if not untried and exchange.maybe_ran:
            return []
        remaining = untried or usable
    remaining = select_side(state, exchange, remaining, now)
    if not state.outlier_detectors:
        return remaining
    healthy = [known for known in remaining if not _is_ejected(state, known, now)]
    return healthy or remaining


def is_cold(known: KnownUpstream, now: float) -> bool:
    """Return whether an upstream is in its cold start."""
    return now < known.cold_until


def _has_cold_capacity(state: ExchangeState, known: KnownUpstream, now: float) -> bool:
    upstream = known.upstream
    if not is_cold(known, now):
        state.pacer.forget(upstream.name)
        return True
    service = state.cluster_state.find_service(upstream)
    if service is None or service.cold_per_s <= 0:
        return True
    place = state.find_place(now)
    return state.pacer.may_send(upstream.name, service.cold_per_s, place, now)


def _is_within_limit(
    state: ExchangeState, known: KnownUpstream, place: Place, now: float
) -> bool:
    upstream = known.upstream
    return state.limits.may_send(upstream.name, upstream.born, place, now)


def _is_ejected(state: ExchangeState, known: KnownUpstream, now: float) -> bool:
    detector = state.outlier_detectors.get(known.upstream.name)
    return detector is not None and detector.is_ejected(now)


def _filter_by_software(
    state: ExchangeState, exchange: Exchange, usable: list[KnownUpstream]
) -> list[KnownUpstream]:
    """Leave out upstreams of versions at which a stream may not begin, or go on."""
    if exchange.software is not None:
        return [k for k in usable if k.upstream.software == exchange.software]
    if not exchange.route.streams_resumable:
        return usable
    records, service = state.software_records, exchange.service
    registered = state.cluster_state.software.list_registered(service)
    if all(records.has_confirmed(service, version) for version in registered):
        return usable
    return [k for k in usable if records.has_confirmed(service, k.upstream.software)]
