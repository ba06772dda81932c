"""Lists the upstreams that may take a forwarded request now."""

from masticdrum.core.beliefs import Known
from masticdrum.core.exchangestate import Exchange, ExchangeState


def list_candidates(
    state: ExchangeState, exchange: Exchange, now: float
) -> list[Known]:
    """List the upstreams that may get an exchange's request, the best kind only.

    Upstreams that were tried, or that fail, are left out as long as others remain.
    """
    usable = state.beliefs.find_usable(exchange.service, now)
    usable = [known for known in usable if _bears(state, known, now)]
    if exchange.prompt is not None:
        usable = _keep_current(state, usable, exchange.prompt.model, now)
    untried = [known for known in usable if known.upstream.name not in exchange.tried]
    if exchange.tried and not untried and exchange.maybe_ran:
        return []
    pool = untried or usable
    trusted = [known for known in pool if not _is_avoided(state, known, now)]
    return trusted or pool


def is_cold(known: Known, now: float) -> bool:
    """Tell whether an upstream is in its cold start."""
    return now < known.cold_until


def _bears(state: ExchangeState, known: Known, now: float) -> bool:
    upstream = known.upstream
    if not is_cold(known, now):
        state.pace.forget(upstream.name)
        return True
    service = state.beliefs.find_service(upstream)
    if service is None or service.cold_per_s <= 0:
        return True
    fellows = state.count_fellows()
    at = state.pace.find_next(upstream.name, service.cold_per_s, fellows, now)
    return at <= now


def _is_avoided(state: ExchangeState, known: Known, now: float) -> bool:
    standing = state.standings.get(known.upstream.name)
    return standing is not None and standing.is_avoided(now)


def _keep_current(
    state: ExchangeState, usable: list[Known], model: str, now: float
) -> list[Known]:
    wanted = state.beliefs.weights.get(model, 0)
    named_at = state.weights_at.get(model)
    if named_at is None or now < named_at + state.bounds.weights_s:
        return usable
    current = [k for k in usable if k.upstream.weights.get(model, 0) >= wanted]
    # Without the platform no engine can be ordered: older weights beat none then.
    return usable if not current and state.beliefs.lost else current
