"""Tracks which prompt prefixes KV cache stores hold, and where each one belongs.

Sessions return after more time than an engine's memory holds them. So the prefixes of
prompts are saved in a store, and the engine that serves the session next fetches them
from there. Each prefix belongs to one store by rendezvous hashing, weighted by the
stores' capacity, so that all entries agree without coordination.

A prefix is fetched only if its store reported during its current incarnation that it
holds the whole prefix, and only while the store's reports are recent. Nothing is ever
freed from here, so that no fetch can meet a prefix that is being freed; a full store
accepts no more.

Runs continue while their engine changes its weights, and what such a run computes again
is made by the newer weights but saved under the older version. Stored prefixes never
change. So one that was stored before any engine can have loaded newer weights was made
by those that its scope names, and only such prefixes are fetched, however old the news
of this process is. Prefixes of superseded weights are no longer saved.
"""

from collections.abc import Iterable

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from masticdrum.core.rendezvous import score_member
from masticdrum.model.directory import ForwardService
from masticdrum.model.exchange import Prompt

# A poll's wait and its transit; a store that restarts is silent for longer.
REPORT_VALID_S = 1.6
SAVE_TIMEOUT_S = 3.0  # until a requested save counts as lost
MIN_TOKENS = 64  # recomputing a smaller part takes less time than fetching it
PrefixKey = tuple[str, str]  # the scope that may share it, and its name


class PrefixesReported(Struct, frozen=True):
    """A store reported which prefixes it now holds and which are gone.

    ``boot`` names the store's incarnation.
    """

    store: str
    boot: int
    stored: tuple[PrefixKey, ...] = ()
    gone: tuple[PrefixKey, ...] = ()


class PrefixStoreLost(Struct, frozen=True):
    """A store doesn't answer; what it holds is unknown."""

    store: str


class StoreContents:
    """The prefixes that one store holds, as far as it reported them."""

    __slots__ = ("boot", "reported_at", "saving", "stored")

    def __init__(self) -> None:
        self.boot = 0
        self.reported_at = float("-inf")
        self.stored: dict[PrefixKey, float] = {}
        self.saving: dict[PrefixKey, float] = {}

    def forget(self) -> None:
        """Forget everything: the store may have restarted."""
        self.reported_at = float("-inf")
        self.stored.clear()
        self.saving.clear()


class PrefixPlan(Struct, frozen=True):
    """For each part of a prompt a store's address, or an empty string."""

    sources: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()


class StoredPrefixes:
    """The contents of the stores that one entry polls."""

    __slots__ = ("_contents",)

    def __init__(self) -> None:
        self._contents: dict[str, StoreContents] = {}

    def handle_report(self, event: PrefixesReported, now: float) -> None:
        """Apply a store's report; a new incarnation discards earlier reports."""
        contents = self._contents.setdefault(event.store, StoreContents())
        if contents.boot != event.boot:
            contents.forget()
            contents.boot = event.boot
        contents.reported_at = now
        for prefix in event.stored:
            # One that is stored again was dropped, and the event of that may be lost.
            contents.stored[prefix] = now
            contents.saving.pop(prefix, None)
        for prefix in event.gone:
            contents.stored.pop(prefix, None)

    def handle_lost_store(self, event: PrefixStoreLost) -> None:
        """Handle a store that does not answer."""
        contents = self._contents.get(event.store)
        if contents is not None:
            contents.forget()

    def plan(
        self,
        stores: Iterable[ForwardService],
        prompt: Prompt,
        scope: str,
        now: float,
        *,
        unloaded_until: float,
        may_save: bool,
    ) -> PrefixPlan:
        """Select where the shared parts of a prompt are fetched from and saved to.

        A part is only of use behind all parts before it, so fetching ends at the first
        part that no store holds. Before ``unloaded_until`` no engine had weights newer
        than those in ``scope``.
        """
        candidates = [store for store in stores if store.store is not None]
        sources: list[str] = []
        targets: list[str] = []
        contiguous = True
        for shared in prompt.parts[:-1]:
            prefix = (scope, shared.name)
            home = select_store(candidates, prefix)
            contents = None if home is None else self._find_fresh(home.name, now)
            if home is None or home.store is None or contents is None:
                address, is_stored, is_proved = "", False, False
            else:
                address = home.store.address
                is_stored = prefix in contents.stored
                is_proved = is_stored and contents.stored[prefix] <= unloaded_until
            contiguous = contiguous and is_proved
            sources.append(address if contiguous else "")
            worth_saving = (
                may_save and shared.tokens >= MIN_TOKENS and address and not is_stored
            )
            save = (
                worth_saving
                and contents is not None
                and _start_save(contents, prefix, now)
            )
            targets.append(address if save else "")
        if not any(sources) and not any(targets):
            return PrefixPlan()
        # The last part is the request's own and never occurs again.
        return PrefixPlan((*sources, ""), (*targets, ""))

    def _find_fresh(self, store: str, now: float) -> StoreContents | None:
        contents = self._contents.get(store)
        if contents is None or now - contents.reported_at > REPORT_VALID_S:
            return None
        return contents


def _start_save(contents: StoreContents, prefix: PrefixKey, now: float) -> bool:
    """Record that a prefix is being saved, unless it already is."""
    if contents.saving.get(prefix, float("-inf")) > now - SAVE_TIMEOUT_S:
        return False
    contents.saving[prefix] = now
    return True


def select_store(
    stores: list[ForwardService], prefix: PrefixKey
) -> ForwardService | None:
    """Return the store that a prefix belongs to."""
    key = xxh3_64_intdigest(prefix[1].encode())
    return max(
        stores,
        key=lambda store: score_member(key, store.name.encode(), _get_capacity(store)),
        default=None,
    )


def _get_capacity(store: ForwardService) -> float:
    return 0.0 if store.store is None else float(store.store.capacity_tokens)
