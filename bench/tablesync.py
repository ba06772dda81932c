"""Measures the cost of one edit of the tables by the number of processes.

Entries and agents run in virtual time; platform calls and octets on the links are
counted. The processor time to install one edit is measured. Equal bodies are decoded
once for the whole fleet, since decoding in each process would take minutes for the
largest one. Prints a table and writes ``bench/results/tablesync.json``.
"""

import time
from collections.abc import Iterable
from functools import cache
from pathlib import Path

import msgspec
from msgspec import Struct

from masticdrum.core import tablesync
from masticdrum.core.tablebody import pack_tables, unpack_tables
from masticdrum.core.tablecheck import decode_tables
from masticdrum.core.tableview import TableView
from tests.syncworld import SyncWorld

RESULTS = Path(__file__).parent / "results" / "tablesync.json"
SIZES = [(3, 7), (27, 73), (275, 725), (1100, 2900)]  # entries, agents
DATA_CENTRES = 5
QUIET_S = 12.0
EDIT_S = 6.0
REPEATS = 5


class Row(Struct):
    """The figures of one fleet: platform calls, octets of frames, times in seconds.

    ``quiet_calls_s`` and ``quiet_octets_s`` are rates without an edit. Octets are those
    of the process that sends most. ``edit_calls`` are all platform calls in the
    ``EDIT_S`` after an edit; ``in_force_s`` is the virtual time until the last process
    installed it.
    """

    processes: int
    quiet_calls_s: float
    quiet_octets_s: float
    edit_calls: int
    edit_octets: int
    in_force_s: float
    body_octets: int
    install_ms: float


def measure(entries: int, agents: int) -> Row:
    """Measure one fleet."""
    world = SyncWorld(
        1, entries=entries, agents=agents, centres=DATA_CENTRES, weigh=True
    )
    world.run(QUIET_S)
    world.calls.clear()
    world.octets.clear()
    world.run(QUIET_S)
    quiet_calls = count_calls(world)
    quiet_octets = max(world.octets.values())
    world.calls.clear()
    world.octets.clear()
    edited_at = world.driver.now
    world.edit("dc-0")
    world.run(EDIT_S)
    reached = world.reached[world.tables.serial]
    assert len(reached) == entries + agents
    return Row(
        processes=entries + agents,
        quiet_calls_s=quiet_calls / QUIET_S,
        quiet_octets_s=quiet_octets / QUIET_S,
        edit_calls=count_calls(world),
        edit_octets=max(world.octets.values()),
        in_force_s=max(reached.values()) - edited_at,
        body_octets=len(pack_tables(world.tables)),
        install_ms=time_install(world),
    )


def count_calls(world: SyncWorld) -> int:
    """Return the platform calls since the counters were cleared."""
    return world.calls["watch"] + world.calls["read"]


def time_install(world: SyncWorld) -> float:
    """Return the least of ``REPEATS`` processor times for an edit, in milliseconds."""
    body = pack_tables(world.tables)
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        tables = unpack_tables(body).unwrap()
        TableView(tables)
        pack_tables(tables)
        best = min(best, time.process_time() - started)
    return best * 1000


def print_table(rows: Iterable[Row]) -> None:
    """Print the table."""
    names = Row.__struct_fields__
    print("  ".join(names))
    for row in rows:
        values = [getattr(row, name) for name in names]
        cells = [
            f"{value:.3f}" if isinstance(value, float) else value for value in values
        ]
        widths = [len(name) for name in names]
        print("  ".join(f"{c:>{w}}" for c, w in zip(cells, widths, strict=True)))


def share_decoding() -> None:
    """Let all processes of a fleet share decoded tables, which are immutable."""
    tablesync.decode_tables = cache(decode_tables)
    tablesync.unpack_tables = cache(unpack_tables)


def main() -> None:
    """Measure every fleet."""
    share_decoding()
    rows = []
    for entries, agents in SIZES:
        rows.append(measure(entries, agents))
        print_table(rows[-1:])
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")
    print_table(rows)


if __name__ == "__main__":
    main()
