"""The state of an agent's KV cache, with its settings from tables and engine."""

from collections.abc import Sequence

from msgspec import Struct

from masticdrum.core.blockindex import BlockIndex
from masticdrum.core.enginerate import EngineRate
from masticdrum.core.exportpolicy import ExportPolicy
from masticdrum.core.imports import ImportQueue
from masticdrum.core.rendezvous import Ranking
from masticdrum.core.storelinks import StoreLink
from masticdrum.model.agent_events import ExportBlock, FetchBlocks
from masticdrum.model.tables import Urgency
from masticdrum.model.telemetry import Count

MISPLACED_S = 900.0  # how long blocks may be off their home store after stores changed
HOME_DIGITS = 16  # hexadecimal, 64 bits of a key
INITIAL_KV_BLOCK_BYTES = 4_000_000  # KV cache of one block, before the first transfer

CacheEffect = FetchBlocks | ExportBlock | Count


class CacheRules(Struct, frozen=True):
    """The cache's settings from the tables.

    ``block_bytes`` is the length of a block's text; ``stores`` pairs each store's name
    with its address.
    """

    model: str = ""
    block_bytes: int = 8000
    stores: tuple[tuple[str, str], ...] = ()


class Prompt(Struct, frozen=True):
    """The prompt of one attempt, with the keys of its blocks."""

    attempt: str
    workspace: str
    urgency: Urgency
    version: str
    keys: tuple[str, ...]


class KvCache:
    """The state of an agent's KV cache.

    Until ``misplaced_until`` blocks may be stored elsewhere than at their home store,
    since stores were added, removed or failing when the blocks were exported.
    ``kv_block_bytes`` is the estimated size of one block's KV cache.
    """

    __slots__ = (
        "addresses",
        "kv_block_bytes",
        "boot",
        "imports",
        "index",
        "export_policy",
        "links",
        "misplaced_until",
        "prompts",
        "ranking",
        "rate",
        "rules",
        "version",
    )

    def __init__(self) -> None:
        self.rules = CacheRules()
        self.version = ""
        self.boot = ""
        self.index = BlockIndex()
        self.links: dict[str, StoreLink] = {}
        self.imports = ImportQueue(self.links)
        self.export_policy = ExportPolicy()
        self.rate = EngineRate()
        self.prompts: dict[str, Prompt] = {}
        self.kv_block_bytes: float = INITIAL_KV_BLOCK_BYTES
        self.addresses: dict[str, str] = {}
        self.ranking = Ranking(())
        self.misplaced_until = 0.0

    def select_store(self, keys: Sequence[str], number: int, now: float) -> str:
        """Return the address of a block's home store, or of the next that is up.

        ``number`` is the block's index in its prompt, whose keys are ``keys``. The
        address is empty if no store is up.
        """
        for name in self.ranking.rank(hash_home(keys, number)):
            address = self.addresses[name]
            if self.links[address].is_up(now):
                return address
        return ""


def hash_home(keys: Sequence[str], number: int) -> int:
    """Return the hash that determines the home store of a prompt's block.

    Blocks share a home in runs that double in length: 0, 1, 2 to 3, 4 to 7 and so on.
    A block is useless without all blocks before it, so if each block had its own home,
    the loss of any one store instance would cost a prompt nearly all its cache.
    """
    first = 1 << (number.bit_length() - 1) if number else 0
    return int(keys[first][:HOME_DIGITS], 16)


def install_rules(cache: KvCache, rules: CacheRules, now: float) -> None:
    """Install the settings from the tables; known links keep their measurements."""
    if rules == cache.rules:
        return
    if cache.rules.stores not in ((), rules.stores):
        cache.misplaced_until = now + MISPLACED_S
    cache.rules = rules
    cache.addresses = dict(rules.stores)
    cache.ranking = Ranking((name, "", 1.0) for name, _ in rules.stores)
    for address in cache.addresses.values():
        cache.links.setdefault(address, StoreLink(address))


def confirm_engine(cache: KvCache, boot: str, version: str) -> None:
    """Apply the boot and version that the engine reports.

    After a restart or a change of version the engine holds none of the old blocks.
    All waiting imports are given up, so their attempts run without them.
    """
    if (boot, version) == (cache.boot, cache.version):
        return
    cache.boot = boot
    cache.version = version
    cache.index.forget_engine()
    cache.export_policy.clear()
    for attempt in list(cache.imports.waiting):
        cache.imports.drop(attempt)
