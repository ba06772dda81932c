"""The operators' declarations: two JSON files from which the tables are built.

``routes.json`` holds the routes, ``pools.json`` the pools with the data centres and
stores that they name. Both are meant for version control, so neither holds a serial.
"""

from collections.abc import Mapping

import msgspec
from msgspec import Struct, field
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from masticdrum.core.decoding import decode_json
from masticdrum.core.tablecheck import check_tables
from masticdrum.model.faults import Fault
from masticdrum.model.tables import DataCentre, Pool, Route, Store, Tables

ROUTES_FILE = "routes.json"
POOLS_FILE = "pools.json"
INDENT = 2


class RoutesFile(Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of ``routes.json``."""

    routes: list[Route]


class PoolsFile(Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of ``pools.json``."""

    data_centres: list[DataCentre]
    pools: list[Pool]
    stores: list[Store] = field(default_factory=list)


def read_declarations(
    files: Mapping[str, bytes],
) -> Result[Tables, tuple[Fault, ...]]:
    """Join the two files, given by name, into checked tables with serial zero.

    A fault's path begins with the file, as in ``pools.json: pools[1].kind: ...``.
    """
    routes = decode_json(files[ROUTES_FILE], RoutesFile)
    pools = decode_json(files[POOLS_FILE], PoolsFile)
    if not isinstance(routes, Success):
        return Failure((prefix_fault(ROUTES_FILE, routes.failure()),))
    if not isinstance(pools, Success):
        return Failure((prefix_fault(POOLS_FILE, pools.failure()),))
    tables = Tables(
        data_centres=pools.unwrap().data_centres,
        stores=pools.unwrap().stores,
        pools=pools.unwrap().pools,
        routes=routes.unwrap().routes,
    )
    return check_tables(tables).alt(add_file_names)


def add_file_names(faults: tuple[Fault, ...]) -> tuple[Fault, ...]:
    """Prefix each fault's path with the name of the file that holds the value."""
    return tuple(prefix_fault(get_file_of_path(fault.path), fault) for fault in faults)


def get_file_of_path(path: str) -> str:
    """Return the file that holds the value at a path of the tables."""
    return ROUTES_FILE if path.startswith("routes") else POOLS_FILE


def prefix_fault(file: str, fault: Fault) -> Fault:
    """Return the fault with a file's name before its path."""
    path = f"{file}: {fault.path}" if fault.path else file
    return replace(fault, path=path)


def write_declarations(tables: Tables) -> dict[str, bytes]:
    """Split tables into the two files, formatted for people to read."""
    routes = RoutesFile(tables.routes)
    pools = PoolsFile(tables.data_centres, tables.pools, tables.stores)
    return {ROUTES_FILE: format_json(routes), POOLS_FILE: format_json(pools)}


def format_json(value: object) -> bytes:
    """Encode a value as indented JSON with a final line break."""
    return msgspec.json.format(msgspec.json.encode(value), indent=INDENT) + b"\n"
