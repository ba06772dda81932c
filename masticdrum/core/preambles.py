"""The placement key of a prompt, behind what its workspace's prompts have in common.

Prompts of one workspace often begin with the same blocks. A home by those would put
the whole workspace on one upstream, so the key reaches one block behind the last
prefix that goes on in several different ways. An entry learns where that is from the
prompts it sees. Entries learn apart and agree soon, since what many prompts share is
seen by all; until then a prompt has two homes, which costs an import.
"""

from msgspec import Struct, field
from xxhash import xxh3_64_intdigest

MAX_DEPTH = 16  # blocks
MAX_PREFIXES = 16_384
SHARED_BY = 4  # different continuations that make a prefix a shared one


class Prefix(Struct):
    """The hashes of a prefix's first ``SHARED_BY`` different continuations."""

    next: list[int] = field(default_factory=list)

    def is_shared(self) -> bool:
        """Tell whether different prompts go on behind this prefix."""
        return len(self.next) >= SHARED_BY

    def note(self, continuation: int) -> None:
        """Record a continuation."""
        if continuation not in self.next and not self.is_shared():
            self.next.append(continuation)


class Preambles:
    """The prefixes that an entry saw lately."""

    __slots__ = ("prefixes",)

    def __init__(self) -> None:
        self.prefixes: dict[int, Prefix] = {}

    def find_key(self, workspace: str, prompt: str, block_bytes: int) -> int:
        """Return a prompt's placement key, a 64-bit hash, and learn from the prompt.

        Text behind the last whole block counts only where everything before it is
        shared, so a conversation keeps its key as it grows.
        """
        text = prompt[: MAX_DEPTH * block_bytes].encode()
        whole = min(len(text) // block_bytes, MAX_DEPTH)
        key = xxh3_64_intdigest(workspace.encode())
        found = 0
        was_shared = True
        for n in range(whole):
            block = text[n * block_bytes : (n + 1) * block_bytes]
            longer = xxh3_64_intdigest(block, seed=key)
            prefix = self.take_prefix(key)
            was_shared = was_shared or prefix.is_shared()
            prefix.note(longer)
            key = longer
            if was_shared:
                found = key
                was_shared = False
        if not found or self.take_prefix(key).is_shared():
            return xxh3_64_intdigest(text[whole * block_bytes :], seed=key)
        return found

    def take_prefix(self, key: int) -> Prefix:
        """Return what is known of a prefix, as the one used last."""
        prefix = self.prefixes.pop(key, None) or Prefix()
        self.prefixes[key] = prefix
        if len(self.prefixes) > MAX_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]
        return prefix
