"""Counts the open requests of each workspace on each route."""


class OpenRequests:
    """Counts of open requests by workspace and route."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], int] = {}

    def count(self, workspace: str, route: str) -> int:
        """Return how many requests are open."""
        return self._counts.get((workspace, route), 0)

    def add(self, workspace: str, route: str) -> None:
        """Count one more."""
        self._counts[workspace, route] = self.count(workspace, route) + 1

    def remove(self, workspace: str, route: str) -> None:
        """Count one less; the key of the last one is removed."""
        left = self.count(workspace, route) - 1
        if left > 0:
            self._counts[workspace, route] = left
            return
        self._counts.pop((workspace, route), None)

    def is_empty(self) -> bool:
        """Return whether no request is open."""
        return not self._counts
