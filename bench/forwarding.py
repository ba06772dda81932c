"""Measures an entry's processor time: a start, an idle second, a request, an event.

Real processes run on loopback with the stand-ins of the tests. The entry's processor
time is read from the kernel before and after a number of requests of each kind. The
delay of an event is the time from its making at the engine to its arrival at the
caller.
"""

import os
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import httpcore

from tests.platform.fleet import HOST, KEY, Fleet

REQUESTS = 400
EVENTS = 50  # of each stream
STREAMS = 40
ENGINES = ("engine-1", "engine-2")
MODEL = {"X-Model": "m1", "X-Prefix-Hash": "a:500,b:900,c:100", "X-Token-Usage": "1,1"}
MS_PER_S = 1000
NS_PER_S = 1_000_000_000
IDLE_S = 5.0
FEW_UPSTREAMS = 6
MANY_UPSTREAMS = 60
EVENT_PAUSE_S = 0.02  # before each event of the streams that run side by side
USUAL_STREAMS = 3  # at once; about as many events a second as an entry forwards
LOADS = (USUAL_STREAMS, 2 * USUAL_STREAMS, 16, 48)


def read_cpu_s(process: int) -> float:
    """Return the processor time of a process, in seconds."""
    schedule = Path(f"/proc/{process}/schedstat")
    if schedule.exists():
        return int(schedule.read_text().split()[0]) / NS_PER_S
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_peak_mb(process: int) -> float:
    """Return the peak resident memory of a process, in megabytes."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise LookupError(f"process {process} has no VmHWM")


def measure(fleet: Fleet, path: str, count: int, **headers: str) -> float:
    """Return the entry's mean processor time over ``count`` requests, in seconds."""
    process = fleet.running["entry"].pid
    before = read_cpu_s(process)
    for number in range(count):
        answer = fleet.ask(path, f"{path}{number}", **headers)
        assert answer.status == 200, answer.status
    return (read_cpu_s(process) - before) / count


def measure_idle(fleet: Fleet, wait_s: float) -> float:
    """Return the entry's processor time per second without requests."""
    process = fleet.running["entry"].pid
    before = read_cpu_s(process)
    time.sleep(wait_s)
    return (read_cpu_s(process) - before) / wait_s


def register_upstreams(fleet: Fleet, count: int) -> None:
    """Register upstreams that get no requests, so that there are ``count``."""
    for number in range(count - len(ENGINES) - 2):
        entry = {
            "service": "idle",
            "address": f"127.0.0.1:{1 + number}",
            "zone": "olten-a",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "models": [],
        }
        fleet.put("servers", f"i-idle-{number}", entry)


def read_delays(fleet: Fleet, server: str, name: str) -> Iterator[float]:
    """Read one stream and yield the delay of each read's last event, in seconds."""
    headers = {
        "Host": HOST,
        "X-Request-Id": name,
        "Authorization": f"Bearer {KEY}",
        "X-Deadline-Ms": "4000",
        **MODEL,
    }
    url = fleet.name_url(server) + "/stream/7"
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream("POST", url, headers=headers) as response,
    ):
        for data in response.iter_stream():
            made_at = int(data.rpartition(b"made ")[2].split()[0])
            yield (time.monotonic_ns() - made_at) / NS_PER_S


def measure_load(fleet: Fleet, streams: int) -> tuple[float, float, list[float]]:
    """Forward streams side by side; return events a second, cost each, and delays."""
    process = fleet.running["entry"].pid
    delays: list[float] = []

    def read_streams(number: int) -> None:
        for turn in range(3):
            delays.extend(read_delays(fleet, "entry", f"d{streams}-{number}-{turn}"))

    threads = [
        threading.Thread(target=read_streams, args=(number,))
        for number in range(streams)
    ]
    before, started = read_cpu_s(process), time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    events = streams * 3 * EVENTS
    cost_s = (read_cpu_s(process) - before) / events
    return events / (time.monotonic() - started), cost_s, sorted(delays)


def print_costs(fleet: Fleet) -> None:
    """Print the processor time of each kind of work."""
    process = fleet.running["entry"].pid
    rows = [("a start, until ready", read_cpu_s(process))]
    for count in (FEW_UPSTREAMS, MANY_UPSTREAMS):
        register_upstreams(fleet, count)
        time.sleep(1.0)
        idle_s = measure_idle(fleet, IDLE_S)
        rows.append((f"a second without requests, {count} upstreams", idle_s))
    rows.append(("a small request", measure(fleet, "/look/7", REQUESTS)))
    for name in ENGINES:
        fleet.control(name, events=1)
    short_s = measure(fleet, "/stream/7", REQUESTS, **MODEL)
    rows.append(("a stream of one event", short_s))
    for name in ENGINES:
        fleet.control(name, events=EVENTS, work_s=0.005)
    long_s = measure(fleet, "/stream/7", STREAMS, **MODEL)
    rows.append(("a further event", (long_s - short_s) / (EVENTS - 1)))
    print("| work | processor time |\n|---|---|")
    for name, seconds in rows:
        print(f"| {name} | {seconds * MS_PER_S:.3f} ms |")
    print(f"| memory at its peak | {read_peak_mb(process):.0f} MB |\n")


def print_loads(fleet: Fleet) -> None:
    """Print the cost and the delay of events by the number of streams at once."""
    for name in ENGINES:
        fleet.control(name, events=EVENTS, work_s=EVENT_PAUSE_S, stamped=True)
    print("| streams at once | events a second | each | delay p50 | p99 |")
    print("|---|---|---|---|---|")
    for streams in LOADS:
        per_s, cost_s, delays = measure_load(fleet, streams)
        p50, p99 = (delays[int(len(delays) * share)] for share in (0.5, 0.99))
        print(
            f"| {streams} | {per_s:.0f} | {cost_s * MS_PER_S:.3f} ms "
            f"| {p50 * MS_PER_S:.2f} ms | {p99 * MS_PER_S:.2f} ms |"
        )


def main() -> None:
    """Run the measurements and print two tables."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start()
            print_costs(fleet)
            print_loads(fleet)
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
