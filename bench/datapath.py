"""Measures the path from a caller to an engine through one entry and one agent.

Real processes on loopback with a stand-in engine: requests a second, processor time per
request and per streamed token, and the time to first token with and without both hops.
``python -m bench.datapath`` prints a table and writes bench/results/datapath.json.
"""

import json
import os
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count
from pathlib import Path
from time import monotonic
from typing import Any

import httpcore
import trio
from msgspec import Struct, field, to_builtins

from bench.figures import compute_quantile
from demo.system import NORMAL_ROUTE, TOKENS, Plan, System

RESULTS = Path(__file__).parent / "results" / "datapath.json"
AUTHORIZATION = f"Bearer {TOKENS['olten-depot']}"
ENGINE = "profile-llm-1"
ADMITTED_S = 60.0  # within which a first request must be admitted
WARM_UP_S = 3.0
RUN_S = 10.0
CALLERS = 16  # requests open at once in the closed loop
STREAMS = 40
PACE_S = 0.044  # between two frames of a stream
FRAME_TOKENS = [1, 4, 16]
FIRST_TOKENS = 300  # requests, one after another, for the time to first token
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PLAN = Plan(
    engines={ENGINE: "olten-a"},
    services={},
    stores={},
    entries={"entry-1": "olten-a"},
    engine_faults={"batch": 1000, "max_waiting": 1000, "block_s": 0.0},
    pool={"max_running": 500, "cold_start": {"limit": 500}},
    routes={NORMAL_ROUTE: {"max_open": 1000, "max_tokens": 1_000_000}},
)


class Stream(Struct):
    """One stream as seen by its caller; ``arrivals`` are the times of its chunks."""

    begun: float
    arrivals: list[float] = field(default_factory=list)


class Row(Struct):
    """One measurement; processor times are microseconds."""

    what: str
    rate_s: float = 0.0
    entry_us: float = 0.0
    agent_us: float = 0.0
    p50_ms: float = 0.0
    p95_ms: float = 0.0


Read = Callable[[int, int], Awaitable[Stream]]


class Bench:
    """Callers of one system, and measurements of its processes."""

    def __init__(self, system: System, pool: httpcore.AsyncConnectionPool) -> None:
        self.system = system
        self.pool = pool

    async def read_through_entry(self, number: int, tokens: int) -> Stream:
        """Stream a completion through the entry and the agent."""
        body = {"model": NORMAL_ROUTE, "prompt": f"p{number}", "max_tokens": tokens}
        url = f"{self.system.entries[0]}/v1/completions"
        return await self._read(url, body | {"stream": True})

    async def read_from_engine(self, number: int, tokens: int) -> Stream:
        """Stream a completion directly from the engine."""
        body = {"run": f"direct-{number}", "prompt": f"p{number}", "max_tokens": tokens}
        return await self._read(f"{self.system.addresses[ENGINE]}/runs", body)

    async def _read(self, url: str, body: dict[str, Any]) -> Stream:
        headers = {"Authorization": AUTHORIZATION}
        stream = Stream(monotonic())
        async with self.pool.stream(
            "POST", url, headers=headers, content=json.dumps(body).encode()
        ) as response:
            if response.status != 200:
                raise RuntimeError(
                    f"status {response.status}: {await response.aread()!r}"
                )
            async for chunk in response.aiter_stream():
                if b'"tokens"' in chunk or b'"text"' in chunk:
                    stream.arrivals.append(monotonic())
        return stream

    def read_processor_s(self, name: str) -> float:
        """Read the processor time that a process has used, in seconds."""
        pid = self.system.children[name].process.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    async def wait_until_served(self) -> None:
        """Wait until the agent knows its engine and admits a first request."""
        self.system.control(ENGINE, token_s=0.0)
        with trio.fail_after(ADMITTED_S):
            while True:
                with suppress(RuntimeError):
                    await self.read_through_entry(0, 1)
                    return
                await trio.sleep(PACE_S)

    async def measure_requests(self) -> Row:
        """Measure short requests in a closed loop, each for one token."""
        numbers = count()
        done = 0

        async def call_until(end: float) -> None:
            nonlocal done
            while monotonic() < end:
                await self.read_through_entry(next(numbers), 1)
                done += 1

        async def call_for(span_s: float) -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(call_until, monotonic() + span_s)

        self.system.control(ENGINE, token_s=0.0)
        await call_for(WARM_UP_S)
        done = 0
        before = self._read_processor_times()
        begun = monotonic()
        await call_for(RUN_S)
        entry_us, agent_us = self._compute_cost_us(before, done)
        return Row(
            f"requests, {CALLERS} at once",
            done / (monotonic() - begun),
            entry_us,
            agent_us,
        )

    async def measure_first_token(self, what: str, read: Read, offset: int) -> Row:
        """Measure the time to first token, one request after another."""
        self.system.control(ENGINE, token_s=0.0)
        waits: list[float] = []
        for number in range(FIRST_TOKENS):
            stream = await read(offset + number, 1)
            waits.append((stream.arrivals[0] - stream.begun) * 1000)
        return Row(
            f"first token {what}",
            p50_ms=compute_quantile(waits, 0.5),
            p95_ms=compute_quantile(waits, 0.95),
        )

    async def measure_tokens(self, per_frame: int, offset: int) -> Row:
        """Measure paced streams with ``per_frame`` tokens in each frame."""
        self.system.control(ENGINE, token_s=PACE_S / per_frame, line_tokens=per_frame)
        tokens = int(RUN_S / PACE_S) * per_frame
        streams: list[Stream] = []

        async def read(number: int) -> None:
            streams.append(await self.read_through_entry(number, tokens))

        before = self._read_processor_times()
        begun = monotonic()
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(read, offset + number)
                await trio.sleep(PACE_S / STREAMS)
        span_s = monotonic() - begun
        total = STREAMS * tokens
        entry_us, agent_us = self._compute_cost_us(before, total)
        gaps = compute_gaps_ms(streams)
        return Row(
            f"streamed token, {per_frame} a frame, {STREAMS} streams",
            total / span_s,
            entry_us,
            agent_us,
            compute_quantile(gaps, 0.5),
            compute_quantile(gaps, 0.95),
        )

    def _read_processor_times(self) -> tuple[float, float]:
        return self.read_processor_s("entry-1"), self.read_processor_s(
            f"agent-{ENGINE}"
        )

    def _compute_cost_us(
        self, before: tuple[float, float], units: int
    ) -> tuple[float, float]:
        after = self._read_processor_times()
        entry_s, agent_s = after[0] - before[0], after[1] - before[1]
        return entry_s / units * 1e6, agent_s / units * 1e6


def compute_gaps_ms(streams: list[Stream]) -> list[float]:
    """Return the milliseconds between two chunks of a stream, over all streams."""
    return [
        (after - before) * 1000
        for stream in streams
        for before, after in zip(stream.arrivals, stream.arrivals[1:], strict=False)
    ]


async def measure(system: System) -> list[Row]:
    """Run all measurements."""
    async with httpcore.AsyncConnectionPool(max_connections=500) as pool:
        bench = Bench(system, pool)
        await bench.wait_until_served()
        rows = [await bench.measure_requests()]
        through, direct = bench.read_through_entry, bench.read_from_engine
        rows.append(await bench.measure_first_token("from the engine", direct, 0))
        rows.append(await bench.measure_first_token("through both hops", through, 1000))
        for number, per_frame in enumerate(FRAME_TOKENS):
            rows.append(await bench.measure_tokens(per_frame, 2000 + 100 * number))
    return rows


def format_table(rows: list[Row]) -> str:
    """Format a table; its milliseconds are times to first token or gaps of chunks."""
    heads = ("", "a second", "entry us", "agent us", "p50 ms", "p95 ms")
    lines = [f"{heads[0]:44}" + "".join(f"{head:>11}" for head in heads[1:])]
    for row in rows:
        values = (row.rate_s, row.entry_us, row.agent_us, row.p50_ms, row.p95_ms)
        cells = [f"{value:11.2f}" if value else " " * 11 for value in values]
        lines.append(f"{row.what:44}" + "".join(cells))
    return "\n".join(lines)


def main() -> None:
    """Run all measurements, print the table and write the results file."""
    with System(PLAN) as system:
        rows = trio.run(measure, system)
    print(format_table(rows))
    RESULTS.parent.mkdir(exist_ok=True)
    results = {"load_average": os.getloadavg()[0], "rows": to_builtins(rows)}
    RESULTS.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
