"""What an agent believes of cache blocks: held by its engine, kept at a store instance.

Every belief may be wrong, since cache events come late and with gaps and other agents
keep blocks too. A wrong one costs a recomputation or a wasted fetch and never a wrong
block: keys name content, and frames are checked whole before an import.
"""

from collections.abc import Sequence
from typing import Any

from masticdrum.core.invariants import require
from masticdrum.model.agent_events import BlocksChanged

MAX_HELD = 20_000  # blocks
MAX_KEPT = 100_000  # blocks
MAX_SEEN = 100_000  # blocks
MISSING_TTL_S = 20.0
GAP_TRUST_S = 30.0


class KnownBlock:
    """A block of a prompt that came by: whose it is, and how often it came."""

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
    """The beliefs of one agent; times are seconds of the agent's clock."""

    __slots__ = ("held", "kept", "missing", "number", "seen")

    def __init__(self) -> None:
        self.seen: dict[str, KnownBlock] = {}
        self.held: dict[str, float] = {}
        self.kept: dict[str, str] = {}
        self.missing: dict[str, float] = {}
        self.number = 0

    def note_prompt(
        self, workspace: str, version: str, keys: Sequence[str], now: float
    ) -> int:
        """Record a prompt's blocks and return how many of them came by before."""
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

    def note_held(self, keys: Sequence[str], now: float) -> None:
        """Record that the engine holds blocks."""
        for key in keys:
            self.held.pop(key, None)
            self.held[key] = now
        trim_oldest(self.held, MAX_HELD)

    def note_kept(self, key: str, store: str) -> None:
        """Record that the store at address ``store`` keeps a block."""
        self.missing.pop(key, None)
        self.kept.pop(key, None)
        self.kept[key] = store
        trim_oldest(self.kept, MAX_KEPT)

    def note_missing(self, key: str, now: float) -> None:
        """Record that a block is not at its store instance."""
        self.kept.pop(key, None)
        self.missing.pop(key, None)
        self.missing[key] = now + MISSING_TTL_S
        trim_oldest(self.missing, MAX_KEPT)

    def forget_store(self, store: str) -> None:
        """Drop what a store instance was believed to keep, since it was lost."""
        self.kept = {key: at for key, at in self.kept.items() if at != store}

    def forget_engine(self) -> None:
        """Drop what the engine held, since it started anew or changed version."""
        self.held.clear()
        self.number = 0

    def take_changes(self, event: BlocksChanged, now: float) -> None:
        """Take the engine's cache events in.

        A number at or below the last one is old and changes nothing. Fewer keys than
        numbers mean that events were lost, evictions among them perhaps, so only
        blocks used lately are believed from then on.
        """
        if event.number <= self.number:
            return
        listed = len(event.held) + len(event.evicted)
        if event.number - self.number > listed:
            oldest = now - GAP_TRUST_S
            self.held = {key: at for key, at in self.held.items() if at >= oldest}
        self.number = event.number
        self.note_held(event.held, now)
        for key in event.evicted:
            self.held.pop(key, None)

    def count_held(self, keys: Sequence[str]) -> int:
        """Return the length of the longest prefix that the engine holds."""
        for count, key in enumerate(keys):
            if key not in self.held:
                return count
        return len(keys)

    def is_missing(self, key: str, now: float) -> bool:
        """Tell whether a block was found missing a short while ago."""
        return self.missing.get(key, now) > now
