"""Indexed look-ups in the tables that are in force."""

from masticdrum.core.placement import build_ranking
from masticdrum.core.rendezvous import Ranking
from masticdrum.model.tables import Pool, Route, Tables, Upstream


class TableView:
    """The tables in force, indexed by name.

    A view is immutable; installing other tables makes a new one.
    """

    __slots__ = (
        "_out",
        "_pools",
        "_rankings",
        "_routes",
        "_stores",
        "_upstreams",
        "_upstreams_out",
        "tables",
    )

    def __init__(self, tables: Tables) -> None:
        self.tables = tables
        self._routes = {route.name: route for route in tables.routes}
        self._pools = {pool.name: pool for pool in tables.pools}
        self._stores = {store.name: store for store in tables.stores}
        self._out = frozenset(dc.name for dc in tables.data_centres if dc.out)
        self._rankings = {pool.name: build_ranking(pool) for pool in tables.pools}
        self._upstreams = {
            (pool.name, upstream.name): upstream
            for pool in tables.pools
            for upstream in pool.upstreams
        }
        self._upstreams_out = {
            pool.name: frozenset(
                up.name for up in pool.upstreams if up.data_centre in self._out
            )
            for pool in tables.pools
        }

    @property
    def serial(self) -> int:
        """The serial of the tables; zero means that none are in force."""
        return self.tables.serial

    def find_route(self, name: str) -> Route | None:
        """Return the route, or None if the tables don't hold it."""
        return self._routes.get(name)

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool, or None if the tables don't hold it."""
        return self._pools.get(name)

    def find_upstream(self, pool: str, name: str) -> Upstream | None:
        """Return one upstream of a pool, or None."""
        return self._upstreams.get((pool, name))

    def find_ranking(self, pool: str) -> Ranking:
        """Return the placement order of a pool that the tables hold."""
        return self._rankings[pool]

    def list_out(self, pool: str) -> frozenset[str]:
        """Return the names of a pool's upstreams whose data centre is out."""
        return self._upstreams_out[pool]

    def is_out(self, data_centre: str) -> bool:
        """Return whether operators took the data centre out."""
        return data_centre in self._out

    def list_store_addresses(self, pool: Pool) -> list[tuple[str, str]]:
        """Return names and addresses of the pool's stores in data centres not out."""
        stores = [self._stores[name] for name in pool.stores if name in self._stores]
        return [(s.name, s.address) for s in stores if s.data_centre not in self._out]
