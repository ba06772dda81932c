"""Entries that are stopped and started in overlapping series, under load.

Run as ``python -m tests.platform.stops --seed 1``. All programs are real processes.
Callers keep connections, open new ones and send requests by halves; each request has to
be answered, or must not have been passed on. A stream that was cut off counts unless it
was sent up to ``LATEST_S`` after SIGTERM and its engine was still at work in the last
sixth of the grace period.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import click
import trio
from msgspec import Struct

from tests.platform.fleet import HOST, KEY, READY_S, make_config
from tests.processes.deployment import assign_free_ports, request

GRACE_S = 8.0
LATEST_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
LOSS_SLACK_S = 0.2
PROBE_EVERY_S = 1.0
PROBE_MISSES = 2
ABANDON_S = 3.2  # without a byte
TIMEOUT_S = 12.0
ENGINES, DESKS = 4, 2
EVENT_GAP_S = 0.1
MAX_EVENTS = 60
READY_AGAIN_S = 30.0
PULSE_S = 0.02  # between two looks at how late this process itself runs
HTTP_PORT, PROBES_PORT, METRICS_PORT = 8000, 8002, 7701


class Outcome(Struct):
    """One request: where it went, when it was sent, and how it ended.

    Times are those of the monotonic clock.
    """

    name: str
    entry: str
    kind: str
    sent_at: float
    first_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    is_whole: bool = False
    was_abandoned: bool = False
    passed_on: bool = False
    events: int = 0


class EntryProcess:
    """One entry, its address and when it was stopped."""

    def __init__(self, name: str, host: str, settings: Path, log: Path) -> None:
        self.name = name
        self.host = host
        self.settings = settings
        self.log = log
        self.stopped_at: list[float] = []
        self.exit_codes: list[int] = []
        self.is_in_rotation = True
        self.process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        environment = dict(os.environ, MASTICDRUM_BOOT=str(self.settings))
        with self.log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "masticdrum.platform.entry"],
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def restart(self) -> None:
        """Stop the entry as the platform does, and start it again."""
        self.stopped_at.append(time.monotonic())
        self.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_S):
            while self.process.poll() is None:
                await trio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        self.exit_codes.append(self.process.wait())
        self.process = self._start()


class Caller:
    """A connection of a caller, which may be kept for further requests."""

    def __init__(self, entry: EntryProcess, stream: trio.SocketStream) -> None:
        self.entry = entry
        self._stream = stream
        self._received = b""

    async def send(self, outcome: Outcome, left_s: float, pause_s: float) -> bool:
        """Send a request and read its answer; return whether to keep the connection.

        Its second half is sent after ``pause_s``.
        """
        head = (
            f"POST /{outcome.kind}/7 HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {outcome.name}\r\nAuthorization: Bearer {KEY}\r\n"
            f"X-Deadline-Ms: {int(left_s * 1000)}\r\nContent-Length: 8\r\n\r\n"
        )
        try:
            await self._stream.send_all(head.encode() + b"half")
            await trio.sleep(pause_s)
            outcome.sent_at = time.monotonic()
            await self._stream.send_all(b"rest")
            return await self._read_answer(outcome)
        except (OSError, trio.BrokenResourceError, EOFError):
            return False
        except trio.TooSlowError:
            outcome.was_abandoned = True
            return False
        finally:
            outcome.ended_at = time.monotonic()

    async def _read_answer(self, outcome: Outcome) -> bool:
        head = (await self._read_until(b"\r\n\r\n")).decode().lower()
        outcome.first_at = time.monotonic()
        outcome.status = int(head.split(" ")[1])
        if "transfer-encoding: chunked" not in head:
            size = int(head.split("content-length:")[1].split("\r\n")[0])
            while len(self._received) < size:
                await self._receive()
            self._received = self._received[size:]
        else:
            while size := int(await self._read_until(b"\r\n"), 16):
                while len(self._received) < size + 2:
                    await self._receive()
                outcome.events += self._received[:size].count(b"id:")
                self._received = self._received[size + 2 :]
            await self._read_until(b"\r\n")
        outcome.is_whole = True
        return "connection: close" not in head

    async def _read_until(self, mark: bytes) -> bytes:
        while mark not in self._received:
            await self._receive()
        before, _, self._received = self._received.partition(mark)
        return before

    async def _receive(self) -> None:
        with trio.fail_after(ABANDON_S):
            data = await self._stream.receive_some()
        if not data:
            raise EOFError
        self._received += bytes(data)

    async def close(self) -> None:
        """Close the connection."""
        with trio.CancelScope(shield=True):
            await self._stream.aclose()


class StopWorld:
    """Entries, their servers and callers, and a balancer that probes the entries."""

    def __init__(self, folder: Path, seed: int, entries: int) -> None:
        self.random = Random(seed)
        self.events = self.random.randint(10, MAX_EVENTS)  # of each stream
        self.folder = folder
        self.outcomes: list[Outcome] = []
        self.pulses: list[tuple[float, float]] = []  # when, and how late
        self.logs: dict[str, list[str]] = {}  # of entries
        self.is_ending = False
        self.others: dict[str, subprocess.Popen[bytes]] = {}
        servers = [f"engine-{n}" for n in range(ENGINES)]
        servers += [f"desk-{n}" for n in range(DESKS)]
        self.servers = servers
        self.ports = assign_free_ports(["store", *servers])
        self._start_servers()
        net = f"127.{self.random.randint(1, 250)}.{os.getpid() % 250}"
        self.entries = [
            self._make_entry(f"entry-{n}", f"{net}.{n + 2}") for n in range(entries)
        ]

    def _run(self, name: str, *args: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.others[name] = subprocess.Popen(
                [sys.executable, *args], stdout=log, stderr=log
            )

    def _start_servers(self) -> None:
        port = str(self.ports["store"])
        self._run("store", "-m", "tests.standins.metadata", "--port", port)
        for name in self.servers:
            control = {"id": f"i-{name}", "work_s": EVENT_GAP_S, "events": self.events}
            module = ("-m", "tests.standins.signedserver")
            port = str(self.ports[name])
            self._run(name, *module, "--port", port, "--control", json.dumps(control))
        for name in ("store", *self.servers):
            self._wait_until_up(name)
        config = make_config()
        for route in config["routes"]:
            route["timeoutMs"] = int(TIMEOUT_S * 1000)
        self._put("config", "main", config)
        for name in self.servers:
            entry = {
                "service": "desk" if name.startswith("desk") else "engines",
                "address": f"127.0.0.1:{self.ports[name]}",
                "zone": "olten-a",
                "slots": 200,
                "state": "ready",
                "coldRemainingMs": 0,
                "models": [{"name": "m1", "version": 1}],
            }
            self._put("servers", f"i-{name}", entry)

    def _wait_until_up(self, name: str) -> None:
        end = time.monotonic() + READY_S
        while True:
            try:
                url = f"http://127.0.0.1:{self.ports[name]}/control"
                if request("GET", url).status == 200:
                    return
            except Exception:
                if time.monotonic() > end:
                    raise
            time.sleep(0.05)

    def _put(self, kind: str, name: str, spec: Any) -> None:
        url = f"http://127.0.0.1:{self.ports['store']}/v1/objects/{kind}"
        body = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        answer = request("POST", url, body=body)
        assert answer.status == 200, answer.content

    def _make_entry(self, name: str, host: str) -> EntryProcess:
        path = self.folder / f"{name}.json"
        settings = {
            "name": name,
            "data_centre": "olten-a",
            "http": f"{host}:{HTTP_PORT}",
            "probes": f"{host}:{PROBES_PORT}",
            "metrics": f"{host}:{METRICS_PORT}",
            "store": f"127.0.0.1:{self.ports['store']}",
            "grace_s": GRACE_S,
        }
        path.write_text(json.dumps(settings))
        return EntryProcess(name, host, path, self.folder / f"{name}.log")

    async def is_ready(self, entry: EntryProcess) -> bool:
        """Return whether an entry answers the balancer's probe with 200."""
        try:
            with trio.fail_after(PROBE_EVERY_S):
                stream = await trio.open_tcp_stream(entry.host, PROBES_PORT)
                async with stream:
                    await stream.send_all(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                    return b" 200 " in bytes(await stream.receive_some(20))
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            return False

    async def probe(self, entry: EntryProcess) -> None:
        """Take an entry out of rotation after two misses, and in after a hit."""
        misses = 0
        await trio.sleep(self.random.uniform(0, PROBE_EVERY_S))
        while True:
            misses = 0 if await self.is_ready(entry) else misses + 1
            if misses in (0, PROBE_MISSES):
                entry.is_in_rotation = misses == 0
            await trio.sleep(PROBE_EVERY_S)

    async def call(self, number: int) -> None:
        """Send one request after the other, on kept and on fresh connections."""
        random = Random(f"{self.random.random()} {number}")
        caller: Caller | None = None
        while not self.is_ending:
            if caller is None or random.random() < 0.2:
                if caller is not None:
                    await caller.close()
                caller = await self._connect(random)
                if caller is None:
                    continue
            kind = random.choice(("stream", "stream", "book", "look"))
            name = f"r{number}-{len(self.outcomes)}"
            outcome = Outcome(name, caller.entry.name, kind, time.monotonic())
            self.outcomes.append(outcome)
            pause_s = random.uniform(0.0, 3.0) if random.random() < 0.1 else 0.0
            if not await caller.send(outcome, TIMEOUT_S, pause_s):
                await caller.close()
                caller = None
            await trio.sleep(random.expovariate(1 / 0.3))
        if caller is not None:
            await caller.close()

    async def _connect(self, random: Random) -> Caller | None:
        entries = [entry for entry in self.entries if entry.is_in_rotation]
        entry = random.choice(entries or self.entries)
        try:
            with trio.fail_after(1.0):
                stream = await trio.open_tcp_stream(entry.host, HTTP_PORT)
        except (OSError, trio.TooSlowError):
            await trio.sleep(0.05)
            return None
        return Caller(entry, stream)

    async def stop_in_series(self, at_once: int, gap_s: float) -> None:
        """Restart all entries, some at a time; the groups overlap."""
        entries = self.random.sample(self.entries, len(self.entries))
        async with trio.open_nursery() as nursery:
            for first in range(0, len(entries), at_once):
                for entry in entries[first : first + at_once]:
                    nursery.start_soon(entry.restart)
                await trio.sleep(gap_s)

    async def measure_lateness(self) -> None:
        """Record how late this process's own tasks run, until cancelled."""
        while True:
            due_at = time.monotonic() + PULSE_S
            await trio.sleep(PULSE_S)
            now = time.monotonic()
            self.pulses.append((now, now - due_at))

    def find_lateness(self, outcome: Outcome) -> float:
        """Return how late this process ran at most while a request was open."""
        late_s = [
            late
            for at, late in self.pulses
            if outcome.sent_at <= at and at - late <= outcome.ended_at
        ]
        return max(late_s, default=0.0)

    def describe_trace(self, outcome: Outcome) -> str:
        """Say what tells a starved caller from an entry that lost a request."""
        lines = self.logs[outcome.entry]
        named = [line for line in lines if f'"{outcome.name}"' in line]
        return (
            f"callers {self.find_lateness(outcome):.3f} s late, named in"
            f" {len(named)} lines of its entry, stops and stalls of that:"
            f" {[line for line in lines if is_of_stop(line)]}"
        )

    async def wait_until_ready(self) -> None:
        """Wait until every entry is in service."""
        with trio.fail_after(READY_AGAIN_S):
            for entry in self.entries:
                while not await self.is_ready(entry):
                    await trio.sleep(0.1)

    async def play(self, callers: int, at_once: int, gap_s: float) -> None:
        """Let callers call while all entries are restarted."""
        await self.wait_until_ready()
        async with trio.open_nursery() as probes:
            probes.start_soon(self.measure_lateness)
            for entry in self.entries:
                probes.start_soon(self.probe, entry)
            async with trio.open_nursery() as nursery:
                for number in range(callers):
                    nursery.start_soon(self.call, number)
                await trio.sleep(2.0)
                await self.stop_in_series(at_once, gap_s)
                await self.wait_until_ready()
                self.is_ending = True
            probes.cancel_scope.cancel()
        self._read_runs()

    def _read_runs(self) -> None:
        runs: set[str] = set()
        for name in self.servers:
            url = f"http://127.0.0.1:{self.ports[name]}/control"
            runs |= set(json.loads(request("GET", url).content)["runs"])
        for outcome in self.outcomes:
            outcome.passed_on = outcome.name in runs
        for entry in self.entries:
            self.logs[entry.name] = entry.log.read_text().splitlines()

    def list_lost(self) -> list[str]:
        """Describe the requests that were lost around a stop."""
        return [
            f"{outcome} {stopped} {self.describe_trace(outcome)}"
            for outcome in self.outcomes
            for stopped in self._find_stops(outcome)
            if self._is_lost(outcome, stopped)
        ]

    def _is_lost(self, outcome: Outcome, stopped_at: float) -> bool:
        """Return whether a request was read and ended without an answer."""
        if outcome.is_whole or outcome.was_abandoned or not outcome.ended_at:
            return False
        waited_s = outcome.ended_at - outcome.sent_at
        if not outcome.passed_on and waited_s <= LOSS_SLACK_S:
            return False
        is_early = outcome.sent_at <= stopped_at + LATEST_S
        is_at_work = outcome.kind == "stream" and outcome.events < self.events
        is_late_cut = outcome.ended_at >= stopped_at + LAST_SIXTH_S
        return not (is_early and is_at_work and is_late_cut)

    def _find_stops(self, outcome: Outcome) -> list[float]:
        entry = next(e for e in self.entries if e.name == outcome.entry)
        return [
            at
            for at in entry.stopped_at
            if at <= outcome.ended_at <= at + GRACE_S + 1.0
        ]

    def list_kills(self) -> list[str]:
        """Name the entries that did not end within their grace period."""
        return [e.name for e in self.entries if any(code for code in e.exit_codes)]

    def stop(self) -> None:
        """End all processes."""
        for process in [*self.others.values(), *(e.process for e in self.entries)]:
            process.kill()
            process.wait()


def is_of_stop(line: str) -> bool:
    """Return whether a line tells of an entry's stop, or of how late it ran."""
    names = ("shutdown_begun", "shutdown_done", "clock_jumped")
    return any(f'"{name}"' in line for name in names)


def play_stops(
    seed: int, entries: int, callers: int, at_once: int, gap_s: float, busy: int
) -> StopWorld:
    """Play one run and return what came of it; its processes have ended."""
    with TemporaryDirectory() as folder:
        world = StopWorld(Path(folder), seed, entries)
        burners = [
            subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(busy)
        ]
        try:
            trio.run(world.play, callers, at_once, gap_s)
        finally:
            world.stop()
            for burner in burners:
                burner.kill()
                burner.wait()
    return world


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--entries", default=10, show_default=True)
@click.option("--callers", default=80, show_default=True)
@click.option("--at-once", default=4, show_default=True)
@click.option("--gap-s", default=1.5, show_default=True)
@click.option("--busy", default=0, show_default=True, help="Busy processes.")
def main(**options: Any) -> None:
    """Restart entries under load and list the requests that were lost."""
    world = play_stops(**options)
    for line in world.list_lost():
        click.echo(f"lost: {line}")
    whole = [o for o in world.outcomes if o.is_whole]
    served = [o for o in whole if o.status == 200]
    for name in world.list_kills():
        stop_lines = [line for line in world.logs[name] if is_of_stop(line)]
        click.echo(f"killed: {name} {stop_lines}")
    click.echo(
        f"{len(world.outcomes)} requests, {len(served)} served,"
        f" {len(whole) - len(served)} refused, {len(world.list_lost())} lost,"
        f" killed: {world.list_kills()}"
    )
    sys.exit(bool(world.list_lost() or world.list_kills()))


if __name__ == "__main__":
    main()
