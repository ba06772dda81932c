"""Which parts of prompts store instances keep whole, and where each part belongs.

Sessions return after longer than an engine's memory lasts, so their parts are saved in
a store and fetched from there by whichever engine serves them next. Each part has one
home by rendezvous hashing over the stores, weighted by their room, so that all entries
agree on it without asking.

A part is fetched only where its store said in this start of the store that it is whole,
and only while the store is heard. Nothing is ever freed here, so that no fetch can meet
a part that is being freed; a store that is full takes no more.

Runs go on while their engine changes its weights, and what such a run reads again is
made by the newer ones under the name of the older. So parts of weights that have been
superseded are saved no more, and fetched only if they were whole before.
"""

from collections.abc import Iterable

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.rendezvous import score_member
from masticdrum.model.directory import ForwardService
from masticdrum.model.exchange import Prompt

HEARD_S = 1.6  # one wait of a poll and its way; a store that restarts is silent longer
SAVING_S = 3.0  # until a save that was asked for counts as lost
LEAST_TOKENS = 64  # a smaller part is read sooner than it is fetched
Part = tuple[str, str]  # the scope that may share it, and its name


class PartsHeard(Struct, frozen=True):
    """A store said which parts became whole or went; ``boot`` names its start."""

    store: str
    boot: int
    whole: tuple[Part, ...] = ()
    gone: tuple[Part, ...] = ()


class PartsUnheard(Struct, frozen=True):
    """A store doesn't answer; what it keeps is not known any more."""

    store: str


class KeptStore:
    """What one store keeps, as far as it said."""

    __slots__ = ("boot", "heard_at", "saving", "whole")

    def __init__(self) -> None:
        self.boot = 0
        self.heard_at = float("-inf")
        self.whole: dict[Part, float] = {}
        self.saving: dict[Part, float] = {}

    def forget(self) -> None:
        """Forget everything: the store may have started anew."""
        self.heard_at = float("-inf")
        self.whole.clear()
        self.saving.clear()


class Places(Struct, frozen=True):
    """For each part of a prompt a store's address, or an empty string."""

    sources: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()


class KeptParts:
    """The stores that one entry hears."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: dict[str, KeptStore] = {}

    def hear(self, event: PartsHeard, now: float) -> None:
        """Take in what a store said; another start of it forgets the earlier one's."""
        kept = self._kept.setdefault(event.store, KeptStore())
        if kept.boot != event.boot:
            kept.forget()
            kept.boot = event.boot
        kept.heard_at = now
        for part in event.whole:
            kept.whole.setdefault(part, now)
            kept.saving.pop(part, None)
        for part in event.gone:
            kept.whole.pop(part, None)

    def lose(self, event: PartsUnheard) -> None:
        """Take in that a store does not answer."""
        kept = self._kept.get(event.store)
        if kept is not None:
            kept.forget()

    def plan(
        self,
        stores: Iterable[ForwardService],
        prompt: Prompt,
        scope: str,
        now: float,
        superseded: float | None = None,
    ) -> Places:
        """Find where the shared parts of a prompt are fetched from and saved.

        A part is of use only behind all parts before it, so that fetching ends at the
        first part that no store keeps. ``superseded`` is until when the weights in
        ``scope`` were surely the newest, None while they are.
        """
        current = superseded is None
        before = now if superseded is None else superseded
        choice = [store for store in stores if store.store is not None]
        sources: list[str] = []
        targets: list[str] = []
        unbroken = True
        for shared in prompt.parts[:-1]:
            part = (scope, shared.name)
            home = find_home(choice, part)
            kept = None if home is None else self._find_heard(home.name, now)
            if home is None or home.store is None or kept is None:
                place, held = "", False
            else:
                place = home.store.address
                held = part in kept.whole and kept.whole[part] <= before
            unbroken = unbroken and held
            sources.append(place if unbroken else "")
            worth = current and shared.tokens >= LEAST_TOKENS and place and not held
            save = worth and kept is not None and _begin_save(kept, part, now)
            targets.append(place if save else "")
        if not any(sources) and not any(targets):
            return Places()
        # The last part is the request's own and returns with nobody.
        return Places((*sources, ""), (*targets, ""))

    def _find_heard(self, store: str, now: float) -> KeptStore | None:
        kept = self._kept.get(store)
        if kept is None or now - kept.heard_at > HEARD_S:
            return None
        return kept


def _begin_save(kept: KeptStore, part: Part, now: float) -> bool:
    """Note that a part is being saved, unless it already is."""
    if kept.saving.get(part, float("-inf")) > now - SAVING_S:
        return False
    kept.saving[part] = now
    return True


def find_home(stores: list[ForwardService], part: Part) -> ForwardService | None:
    """Return the store to which a part belongs."""
    key = xxh3_64_intdigest(part[1].encode())
    return max(
        stores,
        key=lambda store: score_member(key, store.name.encode(), _find_room(store)),
        default=None,
    )


def _find_room(store: ForwardService) -> float:
    return 0.0 if store.store is None else float(store.store.room_tokens)
