"""Measures the ledger: committed calls, platform writes, claim latency and sizes.

Time is virtual, and the platform is an in-memory table with a delay and a limit on
writes, so the counts are the same on every machine; processor times are not.
``python -m bench.ledger`` prints a table and writes bench/results/ledger.json.
"""

import json
import time
import tracemalloc
from heapq import heappop, heappush
from pathlib import Path
from random import Random
from typing import Any

import click
from msgspec import Struct, structs, to_builtins
from msgspec.msgpack import encode

from masticdrum.core.ledger import Ledger
from masticdrum.core.partitionstep import LedgerOptions, Step
from masticdrum.core.rendezvous import Ranking
from masticdrum.core.segments import choose_partition, digest_request
from masticdrum.core.timestamps import make_attempt
from masticdrum.model.ledger import Decision, KeyState, Record
from masticdrum.model.platform import ObjectAnswer, ObjectPut, ObjectStatus
from tests.core.fakes import FakeObjects

RESULTS = Path(__file__).parent / "results" / "ledger.json"
START_S = 1_700_000_000.0
RUN_S = 10.0
WAIT_S = 2.0
SERVICE_S = 0.02
ONE_WAY_S = 0.002
WRITE_LIMIT = 400  # writes a second
LIMIT_WINDOW_S = 0.1
REPLY_BYTES = 200
WRITERS = [1, 3, 10, 30]
HOURS = 6
RATES = [50, 200, 800]  # calls a second


class Result(Struct, frozen=True):
    """The result of one run: rates per second, claim latencies in milliseconds."""

    mode: str
    writers: int
    offered: int
    committed: float
    refused: float
    writes: float
    reads: float
    written_kb: float
    records_a_write: float
    claim_ms_50: float
    claim_ms_95: float
    cpu_us_a_call: float


class Bench:
    """Several ledgers that write to one platform, in virtual time.

    In mode ``single`` each record is its own write, in ``grouped`` writes are shared,
    in ``forwarded`` each call also goes to its partition's preferred writer.
    """

    def __init__(
        self,
        mode: str,
        writers: int,
        offered: int,
        run_s: float = RUN_S,
        retention_s: float = 24 * 3600.0,
    ) -> None:
        self.run_s = run_s
        self.rng = Random(1)
        self.mode = mode
        self.now = START_S
        self.objects = FakeObjects()
        self.queue: list[tuple[float, int, Any]] = []
        self.last_order = 0
        self.offered = offered
        self.latencies: list[float] = []
        self.refused = 0
        self.requests: dict[str, tuple[float, Record]] = {}
        self.window_start = 0.0
        self.window_writes = 0
        self.cpu_s = 0.0
        self.timers = [0.0] * writers
        options = LedgerOptions(writer="", retention_s=retention_s)
        if mode == "single":
            options = structs.replace(
                options, group_s=0.0, end_group_s=0.0, group_limit=1
            )
        self.ledgers = [
            Ledger(structs.replace(options, writer=f"e{n}"), self.rng)
            for n in range(writers)
        ]
        ranking = Ranking((f"e{n}", "bole", 1.0) for n in range(writers))
        self.preferred = [
            int(next(iter(ranking.rank(partition)))[1:])
            for partition in range(options.partitions)
        ]

    def schedule(self, at: float, action: Any) -> None:
        self.last_order += 1
        heappush(self.queue, (at, self.last_order, action))

    def run(self) -> Result:
        for number in range(int(self.offered * self.run_s)):
            at = START_S + self.rng.uniform(0.0, self.run_s)
            self.schedule(at, lambda number=number: self.request(number))
        while self.queue and self.queue[0][0] <= START_S + self.run_s + WAIT_S:
            self.now, _, action = heappop(self.queue)
            action()
        return self.summarize()

    def choose_writer(self, key: str) -> int:
        if self.mode != "forwarded":
            return self.rng.randrange(len(self.ledgers))
        return self.preferred[choose_partition("gebeya", key, len(self.preferred))]

    def request(self, number: int) -> None:
        key = f"018bcfe5-d88e-7000-8000-{number:012x}"
        record = Record(
            workspace="gebeya",
            key=key,
            digest=digest_request("book", key.encode()),
            attempt=make_attempt("entry-1-5f3a", number, self.now),
            agent="stall-app-1",
            incarnation="stall-app-1-77ab12cd",
            at=self.now,
        )
        writer = self.choose_writer(key)
        self.requests[key] = (self.now, record)
        until = self.now + WAIT_S
        cpu_start = time.process_time()
        step = self.ledgers[writer].claim(key, record, until, self.now)
        self.apply_step(writer, step, cpu_start)

    def apply_step(self, writer: int, step: Step, cpu_start: float) -> None:
        ledger = self.ledgers[writer]
        due = ledger.find_next()
        self.cpu_s += time.process_time() - cpu_start
        for call in step.calls:
            self.schedule(
                self.now + ONE_WAY_S, lambda c=call: self.call_platform(writer, c)
            )
        for verdict in step.verdicts:
            self.handle_decision(writer, verdict.ticket, verdict.decision)
        if due is not None and not self.now < self.timers[writer] <= due:
            self.timers[writer] = due
            self.schedule(max(due, self.now), lambda: self.advance(writer))

    def advance(self, writer: int) -> None:
        cpu_start = time.process_time()
        self.apply_step(writer, self.ledgers[writer].advance(self.now), cpu_start)

    def call_platform(self, writer: int, call: Any) -> None:
        answer = self.limit_writes(call) or self.objects.apply(call)
        self.schedule(self.now + ONE_WAY_S, lambda: self.handle_answer(writer, answer))

    def limit_writes(self, call: Any) -> ObjectAnswer | None:
        if not isinstance(call, ObjectPut):
            return None
        if self.now >= self.window_start + LIMIT_WINDOW_S:
            self.window_start = self.now
            self.window_writes = 0
        self.window_writes += 1
        if self.window_writes <= WRITE_LIMIT * LIMIT_WINDOW_S:
            return None
        return ObjectAnswer(call.call, ObjectStatus.REJECTED)

    def handle_answer(self, writer: int, answer: ObjectAnswer) -> None:
        cpu_start = time.process_time()
        self.apply_step(
            writer, self.ledgers[writer].handle_call_answer(answer, self.now), cpu_start
        )

    def handle_decision(self, writer: int, key: str, decision: Decision) -> None:
        at, record = self.requests[key]
        if decision is not Decision.GRANTED:
            self.refused += 1
            return
        self.latencies.append(self.now - at)
        self.schedule(self.now + SERVICE_S, lambda: self.finish(writer, record))

    def finish(self, writer: int, record: Record) -> None:
        body = b"x" * REPLY_BYTES
        reply = structs.replace(
            record, state=KeyState.DONE, status=200, content_type="json", body=body
        )
        cpu_start = time.process_time()
        self.apply_step(
            writer, self.ledgers[writer].record("", reply, self.now), cpu_start
        )

    def summarize(self) -> Result:
        latencies = sorted(self.latencies) or [0.0]
        writes = self.objects.writes
        return Result(
            mode=self.mode,
            writers=len(self.ledgers),
            offered=self.offered,
            committed=round(len(self.latencies) / self.run_s, 1),
            refused=round(self.refused / self.run_s, 1),
            writes=round(writes / self.run_s, 1),
            reads=round(self.objects.reads / self.run_s, 1),
            written_kb=round(self.objects.written_bytes / self.run_s / 1000, 1),
            records_a_write=round(2 * len(self.latencies) / max(1, writes), 2),
            claim_ms_50=round(1000 * latencies[len(latencies) // 2], 1),
            claim_ms_95=round(1000 * latencies[len(latencies) * 95 // 100], 1),
            cpu_us_a_call=round(1e6 * self.cpu_s / max(1, len(self.latencies)), 1),
        )


class Sample(Struct, frozen=True):
    """The contents of the object API after some time."""

    after_s: float
    calls: int
    objects: int
    stored_bytes: int


def measure_retention() -> list[Sample]:
    """Return the stored contents over time, at one call a second kept for one hour."""
    bench = Bench("grouped", 1, 1, run_s=HOURS * 3600.0, retention_s=3600.0)
    samples: list[Sample] = []

    def sample() -> None:
        bodies = [body for _, body in bench.objects.objects.values()]
        size = sum(len(body) for body in bodies)
        after_s = bench.now - START_S
        samples.append(Sample(after_s, len(bench.latencies), len(bodies), size))

    for half_hour in range(1, 2 * HOURS + 1):
        bench.schedule(START_S + 1800.0 * half_hour, sample)
    bench.run()
    return samples


def measure_sizes() -> dict[str, float]:
    """Return the bytes of a claim, of a reply, and of a call in storage and memory."""
    bench = Bench("grouped", 1, 100)
    tracemalloc.start()
    bench.run()
    bench.queue.clear()
    _, record = next(iter(bench.requests.values()))
    reply = structs.replace(record, state=KeyState.DONE, status=200, body=b"x" * 200)
    bench.requests.clear()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    stored = sum(len(body) for _, body in bench.objects.objects.values())
    return {
        "claim_bytes": len(encode(record)),
        "reply_bytes": len(encode(reply)),
        "stored_bytes_a_call": round(stored / len(bench.latencies), 1),
        "memory_bytes_a_call": round((held_bytes - stored) / len(bench.latencies), 1),
    }


@click.command()
def main() -> None:
    """Print the table and write it as JSON."""
    results = []
    fields = Result.__struct_fields__
    click.echo(" ".join(f"{name:>15}" for name in fields))
    for mode in ("single", "grouped", "forwarded"):
        for writers in WRITERS:
            for offered in RATES:
                result = Bench(mode, writers, offered).run()
                results.append(result)
                row = [getattr(result, name) for name in fields]
                click.echo(" ".join(f"{value:>15}" for value in row))
    sizes = measure_sizes()
    click.echo(json.dumps(sizes))
    samples = measure_retention()
    for sample in samples:
        click.echo(sample)
    RESULTS.parent.mkdir(exist_ok=True)
    document = {
        "sizes": sizes,
        "retention": to_builtins(samples),
        "runs": to_builtins(results),
    }
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
