"""Validates tables as a whole, so that invalid ones are never put in force."""

import re
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain
from typing import Protocol

from returns.result import Failure, Result, Success

from masticdrum.core.addresses import is_address
from masticdrum.core.decoding import decode_json
from masticdrum.model.faults import Fault
from masticdrum.model.tables import (
    ColdStart,
    Pool,
    PoolKind,
    Route,
    Store,
    Tables,
    Upstream,
)

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
MAX_TABLES_BYTES = 1_000_000  # the object API holds values up to a megabyte


class Named(Protocol):
    """A row with a name that must be unique in its list."""

    @property
    def name(self) -> str:
        """The name that other rows refer to."""


def decode_tables(body: bytes) -> Result[Tables, tuple[Fault, ...]]:
    """Decode and check tables from JSON; the failure lists every fault found."""
    decoded = decode_json(body, Tables)
    if not isinstance(decoded, Success):
        return Failure((decoded.failure(),))
    return check_tables(decoded.unwrap())


def check_tables(tables: Tables) -> Result[Tables, tuple[Fault, ...]]:
    """Return the tables if they are valid, or else every fault with its path.

    A fault reads, for example, ``pools[1].upstreams[0]: data centre 'x' is not
    listed``.
    """
    faults = tuple(find_faults(tables))
    if faults:
        return Failure(faults)
    return Success(tables)


def find_faults(tables: Tables) -> Iterator[Fault]:
    """Yield every fault of the tables."""
    data_centres = {row.name for row in tables.data_centres}
    stores = {row.name for row in tables.stores}
    pools = {row.name: row for row in tables.pools}
    if tables.serial < 0:
        yield Fault("serial", f"{tables.serial} is below 0")
    yield from check_names("data_centres", "data centre", tables.data_centres)
    yield from check_names("stores", "store", tables.stores)
    yield from check_names("pools", "pool", tables.pools)
    yield from check_names("routes", "route", tables.routes)
    for i, store in enumerate(tables.stores):
        yield from check_store(f"stores[{i}]", store, data_centres)
    for i, pool in enumerate(tables.pools):
        yield from check_pool(f"pools[{i}]", pool, data_centres, stores)
    yield from check_agents(tables.pools)
    for i, route in enumerate(tables.routes):
        yield from check_route(f"routes[{i}]", route, pools)


def check_names(path: str, noun: str, rows: Sequence[Named]) -> Iterator[Fault]:
    """Yield a fault for each malformed or repeated name of a list."""
    seen: set[str] = set()
    for i, row in enumerate(rows):
        if not NAME.fullmatch(row.name):
            yield Fault(f"{path}[{i}].name", f"{row.name!r} is not a valid name")
        if row.name in seen:
            yield Fault(f"{path}[{i}]", f"{noun} {row.name!r} is listed twice")
        seen.add(row.name)


def check_store(path: str, store: Store, data_centres: set[str]) -> Iterator[Fault]:
    """Yield every fault of one store."""
    if store.data_centre not in data_centres:
        yield Fault(path, f"data centre {store.data_centre!r} is not listed")
    if not is_address(store.address, "http"):
        yield Fault(f"{path}.address", f"{store.address!r} is not http://IP:PORT")


def check_pool(
    path: str, pool: Pool, data_centres: set[str], stores: set[str]
) -> Iterator[Fault]:
    """Yield every fault of one pool."""
    if not pool.upstreams:
        yield Fault(f"{path}.upstreams", f"pool {pool.name!r} has no upstream")
    if pool.kind is PoolKind.ENGINE and not (pool.model and pool.version):
        yield Fault(path, f"engine pool {pool.name!r} needs a model and a version")
    yield from check_names(f"{path}.upstreams", "upstream", pool.upstreams)
    yield from check_minimum(f"{path}.max_running", pool.max_running, 1)
    yield from check_minimum(f"{path}.max_queued", pool.max_queued, 0)
    yield from check_minimum(f"{path}.block_bytes", pool.block_bytes, 1)
    yield from check_cold_start(f"{path}.cold_start", pool.cold_start)
    for i, upstream in enumerate(pool.upstreams):
        yield from check_upstream(f"{path}.upstreams[{i}]", upstream, data_centres)
    for i, store in enumerate(pool.stores):
        if store not in stores:
            yield Fault(f"{path}.stores[{i}]", f"store {store!r} is not listed")
        if store in pool.stores[:i]:
            yield Fault(f"{path}.stores[{i}]", f"store {store!r} is listed twice")


def check_cold_start(path: str, cold_start: ColdStart) -> Iterator[Fault]:
    """Yield every fault of a cold start's limits."""
    yield from check_minimum(f"{path}.limit", cold_start.limit, 1)
    yield from check_minimum(f"{path}.step", cold_start.step, 1)
    yield from check_above_zero(f"{path}.every_s", cold_start.every_s)


def check_upstream(
    path: str, upstream: Upstream, data_centres: set[str]
) -> Iterator[Fault]:
    """Yield every fault of one upstream."""
    if upstream.data_centre not in data_centres:
        yield Fault(path, f"data centre {upstream.data_centre!r} is not listed")
    if not is_address(upstream.agent, "tcp"):
        yield Fault(f"{path}.agent", f"{upstream.agent!r} is not tcp://IP:PORT")
    yield from check_above_zero(f"{path}.weight", upstream.weight)


def check_agents(pools: Iterable[Pool]) -> Iterator[Fault]:
    """Yield a fault for each agent address that two upstreams share."""
    owners: dict[str, str] = {}
    for i, pool in enumerate(pools):
        for j, upstream in enumerate(pool.upstreams):
            owner = owners.get(upstream.agent)
            if owner is not None:
                path = f"pools[{i}].upstreams[{j}].agent"
                yield Fault(path, f"{upstream.agent!r} is also that of {owner!r}")
            owners[upstream.agent] = upstream.name


def check_route(path: str, route: Route, pools: dict[str, Pool]) -> Iterator[Fault]:
    """Yield every fault of one route."""
    pool = pools.get(route.pool)
    if pool is None:
        yield Fault(f"{path}.pool", f"pool {route.pool!r} is not listed")
    if pool is not None and pool.kind is PoolKind.ENGINE and not route.idempotent:
        text = f"pool {route.pool!r} runs engines, whose requests are idempotent"
        yield Fault(f"{path}.idempotent", text)
    if not route.workspaces:
        yield Fault(f"{path}.workspaces", f"route {route.name!r} admits no workspace")
    yield from chain(
        check_workspaces(f"{path}.workspaces", route.workspaces),
        check_minimum(f"{path}.max_prompt_bytes", route.max_prompt_bytes, 1),
        check_minimum(f"{path}.max_tokens", route.max_tokens, 1),
        check_minimum(f"{path}.max_open", route.max_open, 1),
        check_above_zero(f"{path}.deadline_s", route.deadline_s),
    )


def check_workspaces(path: str, workspaces: list[str]) -> Iterator[Fault]:
    """Yield a fault for each malformed or repeated workspace of a route."""
    seen: set[str] = set()
    for i, workspace in enumerate(workspaces):
        if not NAME.fullmatch(workspace):
            yield Fault(f"{path}[{i}]", f"{workspace!r} is not a valid name")
        if workspace in seen:
            yield Fault(f"{path}[{i}]", f"workspace {workspace!r} is listed twice")
        seen.add(workspace)


def check_minimum(path: str, value: int, minimum: int) -> Iterator[Fault]:
    """Yield a fault if ``value`` is below ``minimum``."""
    if value < minimum:
        yield Fault(path, f"{value} is below {minimum}")


def check_above_zero(path: str, value: float) -> Iterator[Fault]:
    """Yield a fault if ``value`` is not above zero."""
    if value <= 0:
        yield Fault(path, f"{value} is not above 0")
