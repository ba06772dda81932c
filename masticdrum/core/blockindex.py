"""An agent's index of the blocks that its engine holds and that store instances hold.

The index may be wrong, since cache events arrive late and with gaps, and other agents
store blocks too. An error costs a recomputation or a wasted fetch but never yields a
wrong block: keys identify content, and frames are verified whole before an import.
"""

from collections.abc import Sequence
from typing import Any

from masticdrum.core.invariants import require
from masticdrum.model.agent_events import BlocksChanged

MAX_HELD = 20_000  # blocks
MAX_STORED = 100_000  # blocks
MAX_SEEN = 100_000  # blocks
MISSING_TTL_S = 20.0
GAP_TRUST_S = 30.0


class KnownBlock:
    """A block of past prompts: its workspace and version, and how often it was used."""

    __slots__ = ("used_at", "uses", "version", "workspace")

    def __init__(self, workspace: str, version: str) -> None:
        self.workspace = workspace
        self.version = version
        self.uses = 0
        self.used_at = 0.0


def trim_oldest(entries: dict[str, Any], most: int) -> None:
    """Drop a dict's oldest entries until at most ``most`` are left."""
    while len(entries) > most:
        del entries[next(iter(entries))]


class BlockIndex:
    """The index of one agent; times are in seconds of the agent's clock.

    By key, ``seen`` has the blocks of past prompts, ``held`` when a block was last
    reported or used at the engine, ``stored`` the address of its store, and ``missing``
    until when a block counts as missing at its store. ``number`` is the last cache
    event's.
    """

    __slots__ = ("held", "missing", "number", "seen", "stored")

    def __init__(self) -> None:
        self.seen: dict[str, KnownBlock] = {}
        self.held: dict[str, float] = {}
        self.stored: dict[str, str] = {}
        self.missing: dict[str, float] = {}
        self.number = 0

    def record_prompt(
        self, workspace: str, version: str, keys: Sequence[str], now: float
    ) -> int:
        """Record a prompt's blocks and return how many of them were seen before."""
        known = 0
        for key in keys:
            block = self.seen.get(key) or KnownBlock(workspace, version)
            require(
                (block.workspace, block.version) == (workspace, version),
                f"block '{key}' belongs to one workspace and one version",
            )
            known += block.uses > 0
            block.uses += 1
            block.used_at = now
            self.seen.pop(key, None)
            self.seen[key] = block
        trim_oldest(self.seen, MAX_SEEN)
        return known

    def record_held(self, keys: Sequence[str], now: float) -> None:
        """Record that the engine holds blocks."""
        for key in keys:
            self.held.pop(key, None)
            self.held[key] = now
        trim_oldest(self.held, MAX_HELD)

    def record_stored(self, key: str, store: str) -> None:
        """Record that the store at address ``store`` holds a block."""
        self.missing.pop(key, None)
        self.stored.pop(key, None)
        self.stored[key] = store
        trim_oldest(self.stored, MAX_STORED)

    def record_missing(self, key: str, now: float) -> None:
        """Record that a block is not at its store instance."""
        self.stored.pop(key, None)
        self.missing.pop(key, None)
        self.missing[key] = now + MISSING_TTL_S
        trim_oldest(self.missing, MAX_STORED)

    def forget_store(self, store: str) -> None:
        """Drop the blocks of a store instance whose calls failed."""
        self.stored = {key: at for key, at in self.stored.items() if at != store}

    def forget_engine(self) -> None:
        """Drop the engine's blocks, since it restarted or changed version."""
        self.held.clear()
        self.number = 0

    def apply_changes(self, event: BlocksChanged, now: float) -> None:
        """Apply the engine's cache events.

        A number at or below the last one is old and changes nothing. If there are
        fewer keys than numbers, events were lost, perhaps evictions, so blocks that
        were not used recently are dropped.
        """
        if event.number <= self.number:
            return
        listed = len(event.held) + len(event.evicted)
        if event.number - self.number > listed:
            oldest = now - GAP_TRUST_S
            self.held = {key: at for key, at in self.held.items() if at >= oldest}
        self.number = event.number
        self.record_held(event.held, now)
        for key in event.evicted:
            self.held.pop(key, None)

    def count_held(self, keys: Sequence[str]) -> int:
        """Return the length of the longest prefix that the engine holds."""
        for count, key in enumerate(keys):
            if key not in self.held:
                return count
        return len(keys)

    def is_missing(self, key: str, now: float) -> bool:
        """Return whether a block was recently found missing at its store."""
        return self.missing.get(key, now) > now
