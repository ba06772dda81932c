"""Chooses which stores of kept cache an entry polls for their events, and how often.

A store bears few calls at once. Where each entry may always have one open, it has;
where they are more, they take turns. Where a turn would come too seldom, only those
entries that rank first for a store listen to it.
"""

from collections.abc import Iterable

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.rendezvous import score_member
from masticdrum.model.directory import ForwardService

SPARE_POLLS = 2  # of a store's calls at once, for entries that are not seen yet
LONG_WAIT_S = 0.8  # of a poll, where each listener may always have one open
SHORT_WAIT_S = 0.2  # of a poll, where listeners take turns; shorter ones are dear
LEAST_PAUSE_S = 0.1  # between two polls, however fast a busy store answers
TURNS_PART = 0.7  # of a store's calls at once, so that turns that meet find room
LONGEST_TURN_S = 1.2  # from poll to poll, so that a late one still comes in HEARD_S


class StorePolls(Struct, frozen=True):
    """How an entry listens to one store; ``address`` is its ``IP:PORT``."""

    store: str
    address: str
    wait_s: float
    pause_s: float


def choose_polls(
    stores: Iterable[ForwardService], own: str, fellows: list[str]
) -> list[StorePolls]:
    """Choose the stores that an entry listens to, and how often it polls each."""
    chosen = []
    for service in stores:
        store = service.store
        if store is None:
            continue
        most = int(LONGEST_TURN_S * TURNS_PART * store.max_polls / SHORT_WAIT_S)
        if _find_rank(service.name, own, fellows) >= most:
            continue
        listeners = min(most, max(1, len(fellows)))
        wait_s, pause_s = LONG_WAIT_S, LEAST_PAUSE_S
        if listeners > store.max_polls - SPARE_POLLS:
            wait_s = SHORT_WAIT_S
            turn_s = listeners * wait_s / (TURNS_PART * store.max_polls)
            pause_s = max(LEAST_PAUSE_S, turn_s - wait_s)
        chosen.append(StorePolls(service.name, store.address, wait_s, pause_s))
    return chosen


def _find_rank(store: str, own: str, fellows: list[str]) -> int:
    key = xxh3_64_intdigest(store.encode())
    mine = score_member(key, own.encode(), 1.0)
    return sum(
        score_member(key, fellow.encode(), 1.0) > mine
        for fellow in fellows
        if fellow != own
    )
