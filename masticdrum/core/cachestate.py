"""What an agent knows of its kept cache, and what the tables and engine say of it."""

from collections.abc import Sequence

from msgspec import Struct

from masticdrum.core.blockindex import BlockIndex
from masticdrum.core.enginerate import EngineRate
from masticdrum.core.imports import ImportQueue
from masticdrum.core.keeping import Keeping
from masticdrum.core.rendezvous import Ranking
from masticdrum.core.storelinks import StoreLink
from masticdrum.model.agent_events import FetchBlocks, KeepBlock
from masticdrum.model.tables import Urgency
from masticdrum.model.telemetry import Count

MOVED_S = 900.0  # how long blocks may be away from home after stores changed
HOME_DIGITS = 16  # hexadecimal, 64 bits of a key
BLOCK_BYTES = 4_000_000  # of KV cache, before the first transfer

CacheEffect = FetchBlocks | KeepBlock | Count


class CacheRules(Struct, frozen=True):
    """What the tables say: the model, the text of one block, the stores' addresses."""

    model: str = ""
    block_bytes: int = 8000
    stores: tuple[tuple[str, str], ...] = ()


class Prompt(Struct, frozen=True):
    """The prompt of one attempt as the cache sees it."""

    attempt: str
    workspace: str
    urgency: Urgency
    version: str
    keys: tuple[str, ...]


class KeptCache:
    """The state of an agent's kept cache.

    Until ``moved_until`` blocks may be kept away from their home store, since stores
    came, went or failed while they were exported.
    """

    __slots__ = (
        "addresses",
        "block_bytes",
        "boot",
        "imports",
        "index",
        "keeping",
        "links",
        "moved_until",
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
        self.keeping = Keeping()
        self.rate = EngineRate()
        self.prompts: dict[str, Prompt] = {}
        self.block_bytes: float = BLOCK_BYTES
        self.addresses: dict[str, str] = {}
        self.ranking = Ranking(())
        self.moved_until = 0.0

    def find_store(self, keys: Sequence[str], number: int, now: float) -> str:
        """Return the address of a block's home store, or of the next that is up.

        ``number`` is the block's place in its prompt, whose keys are ``keys``.
        """
        for name in self.ranking.rank(hash_home(keys, number)):
            address = self.addresses[name]
            if self.links[address].is_up(now):
                return address
        return ""


def hash_home(keys: Sequence[str], number: int) -> int:
    """Return the hash by which the home store of a prompt's block is found.

    Runs of blocks have one home, each twice as long as the one before: 0, 1, 2 to 3,
    4 to 7 and so on. A block is of no use without all before it, so a prompt spread
    block by block would lose nearly all its cache with any one store instance.
    """
    first = 1 << (number.bit_length() - 1) if number else 0
    return int(keys[first][:HOME_DIGITS], 16)


def install_rules(cache: KeptCache, rules: CacheRules, now: float) -> None:
    """Take the tables' rules in; links to stores that stay keep what they learned."""
    if rules == cache.rules:
        return
    if cache.rules.stores not in ((), rules.stores):
        cache.moved_until = now + MOVED_S
    cache.rules = rules
    cache.addresses = dict(rules.stores)
    cache.ranking = Ranking((name, "", 1.0) for name, _ in rules.stores)
    for address in cache.addresses.values():
        cache.links.setdefault(address, StoreLink(address))


def confirm_engine(cache: KeptCache, boot: str, version: str) -> None:
    """Take in what the engine confirmed: a new life or version holds no old block.

    Imports for another version are given up, so their attempts run without them.
    """
    if (boot, version) == (cache.boot, cache.version):
        return
    cache.boot = boot
    cache.version = version
    cache.index.forget_engine()
    cache.keeping.forget()
    for attempt in list(cache.imports.waiting):
        cache.imports.drop(attempt)
