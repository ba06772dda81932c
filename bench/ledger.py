"""Measures the ledger: calls committed against platform writes, waits and sizes.

Time is virtual and the platform a table with a delay and a ceiling of writes, so the
counts are the same on every machine; only processor time is the machine's own.
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
CEILING = 400  # writes a second
CEILING_WINDOW_S = 0.1
REPLY_BYTES = 200
WRITERS = [1, 3, 10, 30]
HOURS = 6
RATES = [50, 200, 800]  # calls a second


class Result(Struct, frozen=True):
    """One run; rates are per second, waits in milliseconds."""

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
    """Many ledgers against one table, in virtual time."""

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
        self.order = 0
        self.offered = offered
        self.waits: list[float] = []
        self.refused = 0
        self.asked: dict[str, tuple[float, Record]] = {}
        self.window = 0.0
        self.window_writes = 0
        self.cpu_s = 0.0
        self.wakes = [0.0] * writers
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

    def later(self, at: float, do: Any) -> None:
        self.order += 1
        heappush(self.queue, (at, self.order, do))

    def run(self) -> Result:
        for number in range(int(self.offered * self.run_s)):
            at = START_S + self.rng.uniform(0.0, self.run_s)
            self.later(at, lambda number=number: self.ask(number))
        while self.queue and self.queue[0][0] <= START_S + self.run_s + WAIT_S:
            self.now, _, do = heappop(self.queue)
            do()
        return self.sum_up()

    def choose_writer(self, key: str) -> int:
        if self.mode != "forwarded":
            return self.rng.randrange(len(self.ledgers))
        return self.preferred[choose_partition("gebeya", key, len(self.preferred))]

    def ask(self, number: int) -> None:
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
        self.asked[key] = (self.now, record)
        until = self.now + WAIT_S
        begun = time.process_time()
        step = self.ledgers[writer].claim(key, record, until, self.now)
        self.take(writer, step, begun)

    def take(self, writer: int, step: Step, begun: float) -> None:
        ledger = self.ledgers[writer]
        due = ledger.find_next()
        self.cpu_s += time.process_time() - begun
        for call in step.calls:
            self.later(self.now + ONE_WAY_S, lambda c=call: self.apply(writer, c))
        for verdict in step.verdicts:
            self.judge(writer, verdict.ticket, verdict.decision)
        if due is not None and not self.now < self.wakes[writer] <= due:
            self.wakes[writer] = due
            self.later(max(due, self.now), lambda: self.wake(writer))

    def wake(self, writer: int) -> None:
        begun = time.process_time()
        self.take(writer, self.ledgers[writer].advance(self.now), begun)

    def apply(self, writer: int, call: Any) -> None:
        answer = self.limit(call) or self.objects.apply(call)
        self.later(self.now + ONE_WAY_S, lambda: self.give(writer, answer))

    def limit(self, call: Any) -> ObjectAnswer | None:
        if not isinstance(call, ObjectPut):
            return None
        if self.now >= self.window + CEILING_WINDOW_S:
            self.window = self.now
            self.window_writes = 0
        self.window_writes += 1
        if self.window_writes <= CEILING * CEILING_WINDOW_S:
            return None
        return ObjectAnswer(call.call, ObjectStatus.REJECTED)

    def give(self, writer: int, answer: ObjectAnswer) -> None:
        begun = time.process_time()
        self.take(
            writer, self.ledgers[writer].handle_call_answer(answer, self.now), begun
        )

    def judge(self, writer: int, key: str, decision: Decision) -> None:
        at, record = self.asked[key]
        if decision is not Decision.GRANTED:
            self.refused += 1
            return
        self.waits.append(self.now - at)
        self.later(self.now + SERVICE_S, lambda: self.finish(writer, record))

    def finish(self, writer: int, record: Record) -> None:
        body = b"x" * REPLY_BYTES
        reply = structs.replace(
            record, state=KeyState.DONE, status=200, content_type="json", body=body
        )
        begun = time.process_time()
        self.take(writer, self.ledgers[writer].record("", reply, self.now), begun)

    def sum_up(self) -> Result:
        waits = sorted(self.waits) or [0.0]
        writes = self.objects.writes
        return Result(
            mode=self.mode,
            writers=len(self.ledgers),
            offered=self.offered,
            committed=round(len(self.waits) / self.run_s, 1),
            refused=round(self.refused / self.run_s, 1),
            writes=round(writes / self.run_s, 1),
            reads=round(self.objects.reads / self.run_s, 1),
            written_kb=round(self.objects.written_bytes / self.run_s / 1000, 1),
            records_a_write=round(2 * len(self.waits) / max(1, writes), 2),
            claim_ms_50=round(1000 * waits[len(waits) // 2], 1),
            claim_ms_95=round(1000 * waits[len(waits) * 95 // 100], 1),
            cpu_us_a_call=round(1e6 * self.cpu_s / max(1, len(self.waits)), 1),
        )


class Sample(Struct, frozen=True):
    """What the object API holds after some seconds."""

    after_s: float
    calls: int
    objects: int
    stored_bytes: int


def measure_retention() -> list[Sample]:
    """Return what one call a second leaves with a retention of one hour."""
    bench = Bench("grouped", 1, 1, run_s=HOURS * 3600.0, retention_s=3600.0)
    samples: list[Sample] = []

    def sample() -> None:
        bodies = [body for _, body in bench.objects.objects.values()]
        size = sum(len(body) for body in bodies)
        after_s = bench.now - START_S
        samples.append(Sample(after_s, len(bench.waits), len(bodies), size))

    for half_hour in range(1, 2 * HOURS + 1):
        bench.later(START_S + 1800.0 * half_hour, sample)
    bench.run()
    return samples


def measure_sizes() -> dict[str, float]:
    """Return the bytes of a claim and a reply, and of a call kept in memory."""
    bench = Bench("grouped", 1, 100)
    tracemalloc.start()
    bench.run()
    bench.queue.clear()
    _, record = next(iter(bench.asked.values()))
    reply = structs.replace(record, state=KeyState.DONE, status=200, body=b"x" * 200)
    bench.asked.clear()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    stored = sum(len(body) for _, body in bench.objects.objects.values())
    return {
        "claim_bytes": len(encode(record)),
        "reply_bytes": len(encode(reply)),
        "stored_bytes_a_call": round(stored / len(bench.waits), 1),
        "memory_bytes_a_call": round((kept - stored) / len(bench.waits), 1),
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
    kept = measure_retention()
    for sample in kept:
        click.echo(sample)
    RESULTS.parent.mkdir(exist_ok=True)
    document = {
        "sizes": sizes,
        "retention": to_builtins(kept),
        "runs": to_builtins(results),
    }
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
