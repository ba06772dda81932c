"""Measures an entry's processor time: a start, a request, a streamed event.

Real processes run on loopback with the stand-ins of the tests. The entry's processor
time is read from the kernel before and after a number of requests of each kind.
"""

import os
import tempfile
import time
from pathlib import Path

from tests.platform.fleet import Fleet

REQUESTS = 400
EVENTS = 50  # of each stream
STREAMS = 40
MODEL = {"X-Model": "m1", "X-Prefix-Hash": "a:500,b:900,c:100", "X-Token-Usage": "1,1"}
MS_PER_S = 1000


def read_cpu_s(process: int) -> float:
    """Return the user and system processor time of a process, in seconds."""
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


def main() -> None:
    """Run the measurements and print a table."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start()
            process = fleet.running["entry"].pid
            start_s = read_cpu_s(process)
            idle_s = measure_idle(fleet, 5.0)
            request_s = measure(fleet, "/look/7", REQUESTS)
            for name in ("engine-1", "engine-2"):
                fleet.control(name, events=1)
            short_s = measure(fleet, "/stream/7", REQUESTS, **MODEL)
            for name in ("engine-1", "engine-2"):
                fleet.control(name, events=EVENTS, work_s=0.005)
            long_s = measure(fleet, "/stream/7", STREAMS, **MODEL)
            event_s = (long_s - short_s) / (EVENTS - 1)
            rows = (
                ("a start, until ready", start_s),
                ("a second without requests", idle_s),
                ("a small request", request_s),
                ("a stream of one event", short_s),
                ("a further event", event_s),
            )
            for name, seconds in rows:
                print(f"| {name} | {seconds * MS_PER_S:.2f} ms |")
            print(f"| memory at its peak | {read_peak_mb(process):.0f} MB |")
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
