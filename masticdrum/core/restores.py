"""What a process still believes after the store came back from an older copy.

The copy lacks what was written since. Owners and operators write again what was lost;
until they have, what was known before holds.
"""

REWRITE_S = 10.0  # until everything that was lost is written again


class Restores:
    """The last restore of the store."""

    __slots__ = ("_restored_at",)

    def __init__(self) -> None:
        self._restored_at = float("-inf")

    def record_restore(self, now: float) -> None:
        """Record that the store was restored."""
        self._restored_at = now

    def may_be_missing(self, now: float) -> bool:
        """Return whether the store may lack objects that nobody has removed."""
        return now < self._restored_at + REWRITE_S
