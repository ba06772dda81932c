"""Splits the requests of a service with an order between the versions.

Each attempt draws a number; it goes to the target if that is below the share that holds
when it is sent. An upstream of the other side is chosen if the drawn one has none, but
never the target while its share is zero, or another version once it is completed.
"""

from masticdrum.core.clusterstate import KnownUpstream
from masticdrum.core.exchangestate import Attempt, Exchange, ExchangeState
from masticdrum.model.rollouts import RolloutState

WARMING_S = 5.0  # after its registration an upstream's answers may be slow


def filter_by_share(
    state: ExchangeState, exchange: Exchange, usable: list[KnownUpstream], now: float
) -> list[KnownUpstream]:
    """Leave out the upstreams of a version that may get nothing now."""
    if state.rollouts is None:
        return usable
    found = state.rollouts.find_share(exchange.service, now)
    if found is None:
        return usable
    target, share, _ = found
    final = state.final_states.find(exchange.service, target)
    if share <= 0 or final is RolloutState.ROLLED_BACK:
        return [k for k in usable if k.upstream.software != target]
    if final is RolloutState.COMPLETED:
        return [k for k in usable if k.upstream.software == target]
    return usable


def select_side(
    state: ExchangeState, exchange: Exchange, usable: list[KnownUpstream], now: float
) -> list[KnownUpstream]:
    """Select the upstreams of the drawn side, or of the other if it has none."""
    if state.rollouts is None:
        return usable
    found = state.rollouts.find_share(exchange.service, now)
    if found is None:
        return usable
    target, share, preferred = found
    at_target = [k for k in usable if k.upstream.software == target]
    others = [k for k in usable if k.upstream.software != target]
    if preferred:
        granted = [k for k in at_target if k.upstream.name in preferred]
        at_target = granted or at_target
    if _draws_target(state, exchange, target, share):
        return at_target or others
    return others or at_target


def record_start(
    state: ExchangeState, exchange: Exchange, known: KnownUpstream, now: float
) -> str:
    """Note an attempt's start; return its side, or nothing without an order."""
    exchange.draw = None
    if state.rollouts is None or exchange.attempt is None:
        return ""
    exchange.attempt.warming = now < known.cold_until or now < known.seen_at + WARMING_S
    found = state.rollouts.find_share(exchange.service, now)
    if found is None:
        return ""
    return "target" if known.upstream.software == found[0] else "old"


def describe_shares(state: ExchangeState, now: float) -> dict[str, object]:
    """Describe the share in force for each service with an order."""
    shown: dict[str, object] = {}
    if state.rollouts is None:
        return shown
    for service in state.cluster_state.by_service:
        found = state.rollouts.find_share(service, now)
        if found is not None:
            target, share, preferred = found
            final = state.final_states.find(service, target)
            shown[service] = {
                "target": target,
                "share": share,
                "upstreams": list(preferred),
                "state": "running" if final is None else final.value,
            }
    return shown


def count_old_open(state: ExchangeState, service: str, target: str) -> int:
    """Count the open requests of a service at other versions than the target."""
    return sum(
        exchange.service == service and _is_elsewhere(exchange.attempt, target)
        for exchange in state.exchanges.values()
    )


class EntryView:
    """What an entry knows at one time, for the decision on a roll-out."""

    __slots__ = ("_now", "_state")

    def __init__(self, state: ExchangeState, now: float) -> None:
        self._state = state
        self._now = now

    def list_entries(self) -> list[str]:
        """List the names of all entries that have announced themselves, sorted."""
        members = self._state.cluster_state.members or ()
        return sorted(m.name for m in members if m.role == self._state.role)

    def count_old_open(self, service: str, target: str) -> int:
        """Count this entry's open requests at other versions than the target."""
        return count_old_open(self._state, service, target)

    def read_unix_time(self) -> float:
        """Return the time of day in seconds."""
        return self._now + self._state.clock_offset


def _draws_target(
    state: ExchangeState, exchange: Exchange, target: str, share: float
) -> bool:
    if exchange.failed_software == target:
        return False
    if exchange.draw is None:
        exchange.draw = state.random.random()
    return exchange.draw < share


def _is_elsewhere(attempt: Attempt | None, target: str) -> bool:
    return attempt is not None and attempt.software != target
