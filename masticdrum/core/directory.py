"""Looks up a request's route and workspace in a directory.

index = DirectoryIndex(directory)
index.find_route("shop.example", "/orders/new/7")  # the longest matching prefix
"""

from masticdrum.core.cachescopes import compute_wall
from masticdrum.core.servedsoftware import compute_stream_life
from masticdrum.model.directory import (
    Directory,
    ForwardRoute,
    ForwardService,
    ForwardWorkspace,
)


class DirectoryIndex:
    """A directory with the lookups that each request needs.

    ``isolated`` are the names of the isolated workspaces, ``sharing`` those of the
    others, ``wall`` is a digest of the former.
    """

    __slots__ = (
        "_routes",
        "_workspaces",
        "directory",
        "isolated",
        "models",
        "services",
        "sharing",
        "stores",
        "stream_life_s",
        "wall",
    )

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.services: dict[str, ForwardService] = {
            service.name: service for service in directory.services
        }
        self.stores = [
            service for service in directory.services if service.store is not None
        ]
        self.stream_life_s = compute_stream_life(
            route.timeout_s for route in directory.routes if route.resumable
        )
        self._routes: dict[str, dict[str, ForwardRoute]] = {}
        for route in directory.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._workspaces = {
            key: workspace
            for workspace in directory.workspaces
            for key in workspace.keys
        }
        self.isolated = frozenset(w.name for w in directory.workspaces if w.isolated)
        self.sharing = frozenset(w.name for w in directory.workspaces) - self.isolated
        self.wall = compute_wall(self.isolated)
        self.models = {
            model: service.name
            for service in directory.services
            if service.engine is not None
            for model in service.engine.models
        }

    def find_route(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        prefixes = self._routes.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> ForwardWorkspace | None:
        """Return the workspace that owns ``key``."""
        return self._workspaces.get(key)
