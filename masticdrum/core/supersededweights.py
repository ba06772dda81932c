"""Tells since when each version of a model's weights is superseded.

A version is superseded from when the first newer one was named. What is kept is a time
before which that had certainly not happened, whenever this process learned of it; minus
infinity if no such time is known.

That no newer version has been heard of proves nothing about the present. It is proved
up to the last time at which all named versions were read.
"""

from msgspec import Struct

# Loading new weights takes an engine over a second, as operators report.
MIN_LOAD_S = 1.0
MAX_NAMED = 8  # versions of a model whose times are kept apart


class NamedVersion(Struct, frozen=True):
    """A version of weights, and a time before which it had not been named."""

    version: int
    not_before: float


class SupersededWeights:
    """The versions that were named, by model; times are in seconds.

    For example::

        superseded = SupersededWeights()
        superseded.record("m1", 3, 110.0)
        assert superseded.find_superseded_at("m1", 2) == 110.0
        assert superseded.find_superseded_at("m1", 3) is None
    """

    __slots__ = ("_named", "confirmed_at", "newest")

    def __init__(self) -> None:
        self.newest: dict[str, int] = {}
        self.confirmed_at = float("-inf")
        self._named: dict[str, tuple[NamedVersion, ...]] = {}

    def record(self, model: str, version: int, not_before: float) -> bool:
        """Record a version that was named; returns whether it is the newest so far."""
        if version <= self.newest.get(model, 0):
            return False
        self.newest[model] = version
        named = (*self._named.get(model, ()), NamedVersion(version, not_before))
        if len(named) > MAX_NAMED:
            first, second, *rest = named
            earliest = min(first.not_before, second.not_before)
            named = (NamedVersion(second.version, earliest), *rest)
        self._named[model] = named
        return True

    def confirm(self, confirmed_at: float) -> None:
        """Record that all versions that were named before a time are recorded."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def find_unloaded_until(self, model: str, version: int) -> float:
        """Return until when no engine can have loaded weights newer than ``version``.

        That is minus infinity if it isn't known.
        """
        superseded_at = self.find_superseded_at(model, version)
        named_at = self.confirmed_at if superseded_at is None else superseded_at
        return named_at + MIN_LOAD_S

    def find_superseded_at(self, model: str, version: int) -> float | None:
        """Return a time before which no version newer than ``version`` was named.

        That is None while it is the newest, and minus infinity if it isn't known.
        """
        return min(
            (
                named.not_before
                for named in self._named.get(model, ())
                if named.version > version
            ),
            default=None,
        )

    def find_oldest(self, model: str, since: float) -> int:
        """Return the oldest version that is superseded only later than ``since``.

        That is zero if all are, and the newest version at least if its time is unknown.
        """
        return max(
            (
                named.version
                for named in self._named.get(model, ())
                if named.not_before <= since
            ),
            default=0,
        )
