"""Digests of token sequences, to verify that an answer is complete."""

from xxhash import xxh3_64


class TokenDigest:
    """A running digest over tokens; equal sequences give equal digests."""

    __slots__ = ("_state",)

    def __init__(self) -> None:
        self._state = xxh3_64()

    def add(self, tokens: list[str] | tuple[str, ...]) -> None:
        """Append tokens; their lengths are included, so that boundaries count."""
        for token in tokens:
            data = token.encode()
            self._state.update(len(data).to_bytes(4, "big"))
            self._state.update(data)

    def read(self) -> str:
        """Return the digest of all tokens so far, in hexadecimal."""
        return self._state.hexdigest()


def fingerprint_text(*parts: str) -> str:
    """Return a digest over the parts, which is the same for equal requests."""
    digest = TokenDigest()
    digest.add(parts)
    return digest.read()
