"""Measures what one more of everything costs, for docs/CAPACITY.md.

Run as ``python -m bench.capacity``; writes bench/results/capacity.json and the tables
of the page.
"""

import gc
import os
import resource
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import trio
from msgspec import Struct

from bench.capacitypage import write_page
from bench.controlways import WayRow, measure_ways
from bench.slopes import Slope, fit_slope
from masticdrum.core.agent import reduce_agent
from masticdrum.core.agentstate import AgentOptions, AgentState
from masticdrum.core.agenttables import install_tables as install_agent_tables
from masticdrum.core.entry import reduce_entry
from masticdrum.core.entrystate import EntryOptions, EntryState
from masticdrum.core.entrytables import install_tables
from masticdrum.model.agent_events import LoadReported, RunBegun, RunTokens
from masticdrum.model.entry_events import (
    CompletionRequested,
    FrameReceived,
    SendFrame,
    TimerExpired,
)
from masticdrum.model.messages import Dispatch, Envelope, Hello, Tokens
from masticdrum.model.tables import (
    ColdStart,
    DataCentre,
    Pool,
    PoolKind,
    Route,
    Tables,
    Upstream,
    Urgency,
)
from masticdrum.shell.agentlinks import AgentLinks
from masticdrum.shell.entrylinks import EntryLinks
from masticdrum.shell.metrics import Metrics

RESULTS = Path(__file__).parent / "results" / "capacity.json"
UPSTREAMS = [10, 100, 1000, 3000]
WORKSPACES = [10, 100, 1200]
STREAMS = [10, 100, 1000]
LINKS = [50, 200, 800]
PEERS = [10, 100, 1000, 2900]
PROMPT = "x" * 8000
TRIES = 400
TICK_S = 0.25
WARM_TICKS = 80


class Capacity(Struct, frozen=True):
    """Everything that was measured, and how busy the machine was."""

    load_average: float
    cores: int
    slopes: list[Slope]
    ways: list[WayRow]


def make_tables(upstreams: int, workspaces: int, max_running: int = 16) -> Tables:
    """Return tables of a size, with five data centres."""
    servers = [
        Upstream(f"server-{n}", f"dc-{n % 5}", f"tcp://10.0.{n // 250}.{n % 250}:7000")
        for n in range(upstreams)
    ]
    pool = Pool(
        "pool",
        PoolKind.ENGINE,
        servers,
        "model",
        "v1",
        max_running=max_running,
        max_queued=max_running,
        cold_start=ColdStart(limit=max_running),
    )
    names = [f"workspace-{n}" for n in range(workspaces)]
    route = Route("route", "pool", names, Urgency.URGENT, max_open=100_000)
    centres = [DataCentre(f"dc-{n}", "region") for n in range(5)]
    return Tables(1, centres, pools=[pool], routes=[route])


def make_entry(tables: Tables) -> EntryState:
    """Return an entry with tables in force."""
    state = EntryState(EntryOptions("entry", "dc-0", "entry/1"), 1)
    install_tables(state, tables, 0.0)
    reduce_entry(state, TimerExpired(), 0.0)
    return state


def ask(state: EntryState, number: int, workspace: str, now: float) -> list[Any]:
    """Let a caller ask and return the effects."""
    asked = CompletionRequested(
        f"request-{number}", workspace, "route", f"{number} {PROMPT}", 100_000
    )
    return reduce_entry(state, asked, now)


def measure_time(action: Callable[[int], None], count: int) -> float:
    """Return the processor time of one call, in microseconds."""
    began = time.process_time()
    for number in range(count):
        action(number)
    return (time.process_time() - began) / count * 1e6


def measure_memory(make: Callable[[], Any]) -> float:
    """Return the bytes that what is made holds."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return float(held)


def measure_tables() -> list[Slope]:
    """Measure a decision and the tables' memory by upstreams and workspaces."""
    times: list[float] = []
    sizes: list[float] = []
    for upstreams in UPSTREAMS:
        state = make_entry(make_tables(upstreams, 10))
        times.append(measure_time(lambda n: _ask_one(state, n), TRIES))  # noqa: B023
        sizes.append(measure_memory(lambda: make_entry(make_tables(upstreams, 10))))  # noqa: B023
    by_workspace: list[float] = []
    held: list[float] = []
    for workspaces in WORKSPACES:
        tables = make_tables(100, workspaces)
        state = make_entry(tables)
        last = f"workspace-{workspaces - 1}"
        by_workspace.append(
            measure_time(lambda n: _ask_one(state, n, last), TRIES)  # noqa: B023
        )
        held.append(measure_memory(lambda: make_entry(make_tables(100, workspaces))))  # noqa: B023
    return [
        fit_slope("entry: one request decided", "us", "upstream", UPSTREAMS, times),
        fit_slope("entry: tables in memory", "bytes", "upstream", UPSTREAMS, sizes),
        fit_slope(
            "entry: one request decided", "us", "workspace", WORKSPACES, by_workspace
        ),
        fit_slope("entry: tables in memory", "bytes", "workspace", WORKSPACES, held),
    ]


def _ask_one(state: EntryState, number: int, workspace: str = "workspace-9") -> None:
    ask(state, number, workspace, now=0.01)


def open_streams(count: int) -> tuple[EntryState, list[tuple[str, str]]]:
    """Return an entry with open streams, and each one's link and attempt."""
    state = make_entry(make_tables(100, 10))
    opened: list[tuple[str, str]] = []
    for number in range(count):
        for effect in ask(state, number, "workspace-1", now=0.01):
            if isinstance(effect, SendFrame) and isinstance(effect.message, Dispatch):
                opened.append((effect.link, effect.message.attempt))
    return state, opened


def run_streams(count: int) -> tuple[AgentState, list[str]]:
    """Return an agent with running attempts, and their names."""
    options = AgentOptions("agent", "dc-0", "pool", "server-0", "agent/1")
    state = AgentState(options, 1)
    install_agent_tables(state, make_tables(100, 10, max_running=2 * count), 0.0)
    reduce_agent(state, TimerExpired(), 0.0)
    for tick in range(WARM_TICKS):
        now = tick * TICK_S
        reduce_agent(state, TimerExpired(), now)
        reduce_agent(state, LoadReported(True, 0, "boot", "v1"), now)
    names = [f"attempt-{number}" for number in range(count)]
    for name in names:
        message = Dispatch(
            name, name, "w", "pool", Urgency.URGENT, 60.0, PROMPT, 100_000, []
        )
        envelope = Envelope("entry", "entry/1", 1, message)
        reduce_agent(state, FrameReceived("link", envelope), now)
    running = [name for name in names if name in state.running]
    for name in running:
        reduce_agent(state, RunBegun(name, "v1", 0, 1), now)
    return state, running


def measure_streams() -> list[Slope]:
    """Measure a token's processor time and a stream's memory by open streams."""
    entry_times: list[float] = []
    entry_sizes: list[float] = []
    agent_times: list[float] = []
    agent_sizes: list[float] = []
    running: list[int] = []
    for count in STREAMS:
        state, opened = open_streams(count)
        entry_times.append(_measure_entry_tokens(state, opened))
        entry_sizes.append(measure_memory(lambda: open_streams(count)))  # noqa: B023
        agent, names = run_streams(count)
        running.append(len(names))
        agent_times.append(_measure_agent_tokens(agent, names))
        agent_sizes.append(measure_memory(lambda: run_streams(count)))  # noqa: B023
    return [
        fit_slope("entry: one token", "us", "open stream", STREAMS, entry_times),
        fit_slope("entry: streams", "bytes", "open stream", STREAMS, entry_sizes),
        fit_slope("agent: one token", "us", "running attempt", running, agent_times),
        fit_slope("agent: attempts", "bytes", "running attempt", running, agent_sizes),
    ]


def _measure_entry_tokens(state: EntryState, opened: list[tuple[str, str]]) -> float:
    rounds = max(1, 3000 // len(opened))
    frames = [
        FrameReceived(
            link, Envelope("agent", "agent/1", 1, Tokens(attempt, n, ["tok "], "v1"))
        )
        for n in range(rounds)
        for link, attempt in opened
    ]
    return measure_time(lambda n: _take(state, frames[n]), len(frames))


def _take(state: EntryState, frame: FrameReceived) -> None:
    reduce_entry(state, frame, 0.02)


def _measure_agent_tokens(state: AgentState, names: list[str]) -> float:
    rounds = max(1, 3000 // len(names))
    events = [RunTokens(name, n, ("tok ",)) for n in range(rounds) for name in names]
    return measure_time(lambda n: _give(state, events[n]), len(events))


def _give(state: AgentState, event: RunTokens) -> None:
    reduce_agent(state, event, WARM_TICKS * TICK_S)


def measure_links() -> list[Slope]:
    """Measure the memory of a link, both ends together, over real sockets."""
    sizes = [trio.run(open_links, count) for count in LINKS]
    return [fit_slope("links, both ends", "bytes", "link", LINKS, sizes)]


async def open_links(count: int) -> float:
    """Return the bytes that the process grew by when it opened links to itself."""
    heard: list[FrameReceived] = []
    async with trio.open_nursery() as nursery:
        agent = AgentLinks(nursery, heard.append, Metrics())
        address = agent.listen("tcp://127.0.0.1:*")
        entry = EntryLinks(nursery, heard.append)
        before = read_resident()
        for number in range(count):
            entry.open(f"entry/{number}", address)
            entry.send(f"entry/{number}", Envelope("entry", "1", 0, Hello()))
        while len(heard) < count:
            await trio.sleep(0.01)
        grown = read_resident() - before
        entry.close_all()
        agent.close_all()
        nursery.cancel_scope.cancel()
    return float(grown)


def read_resident() -> int:
    """Return the resident memory of this process, in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def measure() -> Capacity:
    """Measure everything."""
    slopes = [*measure_links(), *measure_tables(), *measure_streams()]
    cores = os.cpu_count() or 1
    return Capacity(os.getloadavg()[0], cores, slopes, measure_ways(PEERS))


def main() -> None:
    """Measure, write the figures, and write the page's tables from them."""
    capacity = measure()
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(capacity)))
    write_page()
    for slope in capacity.slopes:
        points = ", ".join(f"{value:.1f}" for value in slope.values)
        print(f"{slope.name} [{slope.unit}] by {slope.of}: {points}")


if __name__ == "__main__":
    main()
