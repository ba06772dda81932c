"""The placement key of a prompt, which reaches past the prefix that prompts share.

Prompts of one workspace often begin with the same blocks. A key from those alone would
place the whole workspace on one upstream, so the key covers one block more than the
longest prefix with several different continuations. An entry learns shared prefixes
from the prompts that it receives. Entries learn independently and soon agree, since a
prefix that many prompts share reaches all of them; until then a prompt may have two
homes, which costs an import.
"""

from msgspec import Struct, field
from xxhash import xxh3_64_intdigest

MAX_DEPTH = 16  # blocks
MAX_PREFIXES = 16_384
SHARED_CONTINUATIONS = 4  # different continuations from which a prefix counts as shared


class Prefix(Struct):
    """The hashes of a prefix's continuations, at most ``SHARED_CONTINUATIONS``."""

    continuations: list[int] = field(default_factory=list)

    def is_shared(self) -> bool:
        """Return whether enough different prompts continue this prefix."""
        return len(self.continuations) >= SHARED_CONTINUATIONS

    def add_continuation(self, continuation: int) -> None:
        """Record a continuation, unless the prefix is shared already."""
        if continuation not in self.continuations and not self.is_shared():
            self.continuations.append(continuation)


class SharedPrefixes:
    """The prefixes that an entry saw recently."""

    __slots__ = ("prefixes",)

    def __init__(self) -> None:
        self.prefixes: dict[int, Prefix] = {}

    def compute_placement_key(
        self, workspace: str, prompt: str, block_bytes: int
    ) -> int:
        """Return a prompt's placement key, a 64-bit hash, and record its prefixes.

        Text after the last whole block counts only if everything before it is shared,
        so a conversation keeps its key as it grows.
        """
        text = prompt[: MAX_DEPTH * block_bytes].encode()
        whole = min(len(text) // block_bytes, MAX_DEPTH)
        key = xxh3_64_intdigest(workspace.encode())
        found = 0
        was_shared = True
        for n in range(whole):
            block = text[n * block_bytes : (n + 1) * block_bytes]
            longer = xxh3_64_intdigest(block, seed=key)
            prefix = self.touch_prefix(key)
            was_shared = was_shared or prefix.is_shared()
            prefix.add_continuation(longer)
            key = longer
            if was_shared:
                found = key
                was_shared = False
        if not found or self.touch_prefix(key).is_shared():
            return xxh3_64_intdigest(text[whole * block_bytes :], seed=key)
        return found

    def touch_prefix(self, key: int) -> Prefix:
        """Return a prefix, created if it is new, and mark it as used last."""
        prefix = self.prefixes.pop(key, None) or Prefix()
        self.prefixes[key] = prefix
        if len(self.prefixes) > MAX_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]
        return prefix
