"""Measures marginal costs (of an upstream, a stream, a link) for docs/CAPACITY.md.

Run ``python -m bench.capacity``. It writes bench/results/capacity.json and the tables
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
REQUESTS = 400
TICK_S = 0.25
WARM_TICKS = 80


class Capacity(Struct, frozen=True):
    """All measurements, and the load average and cores of the machine."""

    load_average: float
    cores: int
    slopes: list[Slope]
    ways: list[WayRow]


def make_tables(upstreams: int, workspaces: int, max_running: int = 16) -> Tables:
    """Return tables with a number of upstreams and workspaces, in five data centres."""
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
    """Return an entry with the tables installed."""
    state = EntryState(EntryOptions("entry", "dc-0", "entry/1"), 1)
    install_tables(state, tables, 0.0)
    reduce_entry(state, TimerExpired(), 0.0)
    return state


def submit_request(
    state: EntryState, number: int, workspace: str, now: float
) -> list[Any]:
    """Submit a caller's request and return the effects."""
    request = CompletionRequested(
        f"request-{number}", workspace, "route", f"{number} {PROMPT}", 100_000
    )
    return reduce_entry(state, request, now)


def measure_time(action: Callable[[int], None], count: int) -> float:
    """Return the mean processor time of a call, in microseconds."""
    started = time.process_time()
    for number in range(count):
        action(number)
    return (time.process_time() - started) / count * 1e6


def measure_memory(make: Callable[[], Any]) -> float:
    """Return the traced memory that the result of ``make`` holds, in bytes."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return float(held_bytes)


def measure_tables() -> list[Slope]:
    """Measure a request's time and the tables' memory by upstreams and workspaces."""
    times: list[float] = []
    sizes: list[float] = []
    for upstreams in UPSTREAMS:
        state = make_entry(make_tables(upstreams, 10))
        times.append(measure_time(lambda n: _submit_one(state, n), REQUESTS))  # noqa: B023
        sizes.append(measure_memory(lambda: make_entry(make_tables(upstreams, 10))))  # noqa: B023
    times_by_workspace: list[float] = []
    sizes_by_workspace: list[float] = []
    for workspaces in WORKSPACES:
        tables = make_tables(100, workspaces)
        state = make_entry(tables)
        last = f"workspace-{workspaces - 1}"
        times_by_workspace.append(
            measure_time(lambda n: _submit_one(state, n, last), REQUESTS)  # noqa: B023
        )
        sizes_by_workspace.append(
            measure_memory(lambda: make_entry(make_tables(100, workspaces)))  # noqa: B023
        )
    return [
        fit_slope("entry: one request decided", "us", "upstream", UPSTREAMS, times),
        fit_slope("entry: tables in memory", "bytes", "upstream", UPSTREAMS, sizes),
        fit_slope(
            "entry: one request decided",
            "us",
            "workspace",
            WORKSPACES,
            times_by_workspace,
        ),
        fit_slope(
            "entry: tables in memory",
            "bytes",
            "workspace",
            WORKSPACES,
            sizes_by_workspace,
        ),
    ]


def _submit_one(state: EntryState, number: int, workspace: str = "workspace-9") -> None:
    submit_request(state, number, workspace, now=0.01)


def open_streams(count: int) -> tuple[EntryState, list[tuple[str, str]]]:
    """Return an entry with open streams, and the link and attempt of each."""
    state = make_entry(make_tables(100, 10))
    opened: list[tuple[str, str]] = []
    for number in range(count):
        for effect in submit_request(state, number, "workspace-1", now=0.01):
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
    """Measure a token's processor time and the memory by the number of open streams."""
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
    return measure_time(lambda n: _handle_frame(state, frames[n]), len(frames))


def _handle_frame(state: EntryState, frame: FrameReceived) -> None:
    reduce_entry(state, frame, 0.02)


def _measure_agent_tokens(state: AgentState, names: list[str]) -> float:
    rounds = max(1, 3000 // len(names))
    events = [RunTokens(name, n, ("tok ",)) for n in range(rounds) for name in names]
    return measure_time(lambda n: _handle_tokens(state, events[n]), len(events))


def _handle_tokens(state: AgentState, event: RunTokens) -> None:
    reduce_agent(state, event, WARM_TICKS * TICK_S)


def measure_links() -> list[Slope]:
    """Measure the memory of links over real sockets, both ends together."""
    sizes = [trio.run(open_links, count) for count in LINKS]
    return [fit_slope("links, both ends", "bytes", "link", LINKS, sizes)]


async def open_links(count: int) -> float:
    """Return by how many bytes the process grew when it opened links to itself."""
    received: list[FrameReceived] = []
    async with trio.open_nursery() as nursery:
        agent = AgentLinks(nursery, received.append, Metrics())
        address = agent.listen("tcp://127.0.0.1:*")
        entry = EntryLinks(nursery, received.append)
        before = read_resident_bytes()
        for number in range(count):
            entry.open(f"entry/{number}", address)
            entry.send(f"entry/{number}", Envelope("entry", "1", 0, Hello()))
        while len(received) < count:
            await trio.sleep(0.01)
        grown = read_resident_bytes() - before
        entry.close_all()
        agent.close_all()
        nursery.cancel_scope.cancel()
    return float(grown)


def read_resident_bytes() -> int:
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
