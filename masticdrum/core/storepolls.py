"""Chooses which KV cache stores an entry polls for their events, and how often.

A store takes few calls at once. If all entries can always keep a poll open, they do. If
there are more of them, they take turns. If turns would then be too rare, only the
entries that rank first for a store poll it.
"""

from collections.abc import Iterable

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.rendezvous import score_member
from masticdrum.model.directory import ForwardService

SPARE_POLLS = 2  # of a store's concurrent calls, for entries that are not listed yet
LONG_WAIT_S = 0.8  # of a poll, where each entry can always keep one open
SHORT_WAIT_S = 0.2  # of a poll, where entries take turns; shorter ones are costly
MIN_PAUSE_S = 0.1  # between two polls, however fast a busy store answers
TURNS_FRACTION = 0.7  # of a store's concurrent calls, so that overlapping turns fit
MAX_TURN_S = 1.2  # between polls, so that a late one still comes in REPORT_VALID_S


class StorePolls(Struct, frozen=True):
    """How an entry polls one store; ``address`` is its ``IP:PORT``."""

    store: str
    address: str
    wait_s: float
    pause_s: float


def choose_polls(
    stores: Iterable[ForwardService], own_name: str, peers: list[str]
) -> list[StorePolls]:
    """Choose the stores that an entry polls, and how often it polls each."""
    chosen = []
    for service in stores:
        store = service.store
        if store is None:
            continue
        max_listeners = int(
            MAX_TURN_S * TURNS_FRACTION * store.max_polls / SHORT_WAIT_S
        )
        if _compute_rank(service.name, own_name, peers) >= max_listeners:
            continue
        listeners = min(max_listeners, max(1, len(peers)))
        wait_s, pause_s = LONG_WAIT_S, MIN_PAUSE_S
        if listeners > store.max_polls - SPARE_POLLS:
            wait_s = SHORT_WAIT_S
            turn_s = listeners * wait_s / (TURNS_FRACTION * store.max_polls)
            pause_s = max(MIN_PAUSE_S, turn_s - wait_s)
        chosen.append(StorePolls(service.name, store.address, wait_s, pause_s))
    return chosen


def _compute_rank(store: str, own_name: str, peers: list[str]) -> int:
    key = xxh3_64_intdigest(store.encode())
    own_score = score_member(key, own_name.encode(), 1.0)
    return sum(
        score_member(key, peer.encode(), 1.0) > own_score
        for peer in peers
        if peer != own_name
    )
