"""Bounds what all attempts together keep of their upstreams' answers."""

MAX_BUFFERED_BYTES = 24 * 1024 * 1024  # where the process's limits don't say
MIN_SHARE_BYTES = 64 * 1024


class BufferBudget:
    """The bytes that each attempt keeps, by its number."""

    __slots__ = ("_max_bytes", "_sizes", "_total")

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[int, int] = {}
        self._total = 0

    def try_resize(self, attempt: int, size: int) -> bool:
        """Record how much an attempt keeps; return False if that is too much.

        It is if all together exceed the bound and the attempt its equal share, so that
        answers without an end don't displace the short ones of others.
        """
        self._total += size - self._sizes.get(attempt, 0)
        self._sizes[attempt] = size
        if self._total <= self._max_bytes:
            return True
        return size <= max(MIN_SHARE_BYTES, self._max_bytes // len(self._sizes))

    def release(self, attempt: int) -> None:
        """Forget an attempt that has ended."""
        self._total -= self._sizes.pop(attempt, 0)
