"""Callers that nobody controls, and what they may make a process hold."""

import os
import resource
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from subprocess import Popen
from typing import Protocol

from tests.platform.fleet import HOST, KEY, Fleet, make_config

MIB = 1024 * 1024
PIECE_BYTES = 64 * 1024
WINDOW_BYTES = 4096  # of a caller that reads nothing
STUCK_S = 3.0  # without any progress of the whole crowd, it has sent what it can
SETTLE_S = 1.0  # in which a process that has read what it was sent does next to nothing
IDLE_SHARE = 0.2  # of a core
MAX_SETTLE_S = 60.0
DESCRIPTORS_SHARE = 7 / 8  # that callers may make a process use


class Limited(Protocol):
    """Processes that have limits, by the kinds of the ``resource`` module."""

    folder: Path
    limits: dict[int, int]
    running: dict[str, Popen[bytes]]


def make_limits(memory: int, descriptors: int) -> dict[int, int]:
    """Return limits on the resident set, in bytes, and on descriptors.

    Linux shows the former to a process and doesn't enforce it.
    """
    return {resource.RLIMIT_RSS: memory, resource.RLIMIT_NOFILE: descriptors}


@contextmanager
def limit_processes(limits: dict[int, int]) -> Iterator[None]:
    """Give the processes that are started within the block soft limits."""
    before = {kind: resource.getrlimit(kind) for kind in limits}
    try:
        for kind, limit in limits.items():
            resource.setrlimit(kind, (limit, before[kind][1]))
        yield
    finally:
        for kind, pair in before.items():
            resource.setrlimit(kind, pair)


class LimitedFleet(Fleet):
    """A fleet whose entry and agent are told how much of their machine they may use."""

    def __init__(self, folder: Path, memory: int, descriptors: int = 1024) -> None:
        super().__init__(folder)
        self.limits = make_limits(memory, descriptors)

    def run(
        self, name: str, module: str, *args: str, settings: Path | None = None
    ) -> None:
        """Start a process; only the product's own have the limits."""
        if settings is None:
            super().run(name, module, *args)
            return
        with limit_processes(self.limits):
            super().run(name, module, *args, settings=settings)

    def limit_callers(self, **limits: int) -> None:
        """Install a configuration with other limits on callers."""
        config = make_config(2)
        config["limits"] = {"idleTimeoutMs": 120_000, **limits}
        self.put("config", "main", config)
        self.wait_until(
            lambda: self.ask("/look/7", "limits", body=b"a" * 2000).status == 200,
            "the limits on callers",
        )


class Crowd:
    """Connections that send the same bytes and read nothing."""

    def __init__(self, port: int, count: int) -> None:
        self._selector = selectors.DefaultSelector()
        self.open: dict[socket.socket, int] = {}
        for _ in range(count):
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            caller.setblocking(False)
            caller.connect_ex(("127.0.0.1", port))
            self.open[caller] = 0
            self._selector.register(caller, selectors.EVENT_WRITE)

    def send(self, data: bytes) -> None:
        """Send until all have sent everything, are closed or have got stuck."""
        progressed_at = time.monotonic()
        while self._selector.get_map():
            if time.monotonic() - progressed_at > STUCK_S:
                return
            for key, _ in self._selector.select(timeout=0.1):
                assert isinstance(key.fileobj, socket.socket)
                if self._send_piece(key.fileobj, data):
                    progressed_at = time.monotonic()

    def _send_piece(self, caller: socket.socket, data: bytes) -> bool:
        sent = self.open[caller]
        try:
            sent += caller.send(data[sent : sent + PIECE_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            self._selector.unregister(caller)
            del self.open[caller]
            caller.close()
            return True
        self.open[caller] = sent
        if sent == len(data):
            self._selector.unregister(caller)
        return True

    def close(self) -> None:
        """Leave without a word."""
        self._selector.close()
        for caller in self.open:
            caller.close()


@contextmanager
def gather(port: int, count: int, data: bytes) -> Iterator[Crowd]:
    """Let a crowd send, and stay as long as the block lasts."""
    crowd = Crowd(port, count)
    try:
        crowd.send(data)
        yield crowd
    finally:
        crowd.close()


def make_head(path: str, *headers: str) -> bytes:
    """Return the head of a proper request; callers add its headers on the body."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Request-Id: crowd",
        f"Authorization: Bearer {KEY}",
        "X-Deadline-Ms: 60000",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def read_peak_memory(process: Popen[bytes]) -> int:
    """Return the largest resident set that a process had, in bytes."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [row for row in status.splitlines() if row.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024


def count_descriptors(process: Popen[bytes]) -> int:
    """Count the descriptors that a process has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


def settle(process: Popen[bytes]) -> None:
    """Wait until a process has handled what it was sent."""
    ticks_per_s = os.sysconf("SC_CLK_TCK")
    end = time.monotonic() + MAX_SETTLE_S
    while process.poll() is None and time.monotonic() < end:
        before = read_processor_ticks(process)
        time.sleep(SETTLE_S)
        used_s = (read_processor_ticks(process) - before) / ticks_per_s
        if used_s < IDLE_SHARE * SETTLE_S:
            return


def read_processor_ticks(process: Popen[bytes]) -> int:
    """Return the processor time that a process has used."""
    stat = Path(f"/proc/{process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def check_process(fleet: "Limited", name: str, is_served: Callable[[], bool]) -> None:
    """Fail unless a process lives within its limits and serves an ordinary request."""
    process = fleet.running[name]
    settle(process)
    check_limits(fleet, name)
    assert is_served(), read_log(fleet, name)
    check_limits(fleet, name)


def check_limits(fleet: "Limited", name: str) -> None:
    """Fail unless a process lives within its limits."""
    process = fleet.running[name]
    assert process.poll() is None, read_log(fleet, name)
    peak, descriptors = read_peak_memory(process), count_descriptors(process)
    print(f"{name}: peak {peak / MIB:.1f} MiB, {descriptors} descriptors")
    assert peak < fleet.limits[resource.RLIMIT_RSS]
    assert descriptors < DESCRIPTORS_SHARE * fleet.limits[resource.RLIMIT_NOFILE]


def read_log(fleet: "Limited", name: str) -> str:
    """Return the end of what a process wrote."""
    return (fleet.folder / f"{name}.log").read_text()[-2000:]
