"""Child processes that are started, watched and ended by their process id."""

import ctypes
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from time import monotonic, sleep

ENDED_BY_SIGTERM = 143  # exit code
PR_SET_PDEATHSIG = 1  # from <sys/prctl.h>
STOP_S = 10.0  # seconds that a process may take to end before it is killed
POLL_S = 0.02
LOG_TAIL = 2000  # characters


class Child:
    """One process; its standard error goes to a log file."""

    def __init__(self, name: str, command: Sequence[str], directory: Path) -> None:
        self.name = name
        self.command = list(command)
        self.log = directory / f"{name}.log"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                process_group=0,
                preexec_fn=end_with_parent,
            )

    def read_line(self) -> bytes:
        """Read the first line of output; raise if the process ends without one."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(self.describe_end())
        return line

    def check(self) -> None:
        """Raise if the process has ended."""
        if self.process.poll() is not None:
            raise RuntimeError(self.describe_end())

    def describe_end(self) -> str:
        """Says how the process ended, with the last lines of its log."""
        status = self.process.wait()
        tail = self.log.read_text(errors="replace")[-LOG_TAIL:]
        return f"process {self.name!r} ended with status {status}:\n{tail}"

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process at once and waits for its end."""
        self.send(signal.SIGKILL)
        self.process.wait()
        self._close()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the process's end; false if it still runs."""
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        self._close()
        return True

    def _close(self) -> None:
        if self.process.stdout is not None:
            self.process.stdout.close()


def end_with_parent() -> None:
    """Has the kernel end this process when its parent dies; Linux only."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def stop_all(children: Sequence[Child], patience_s: float = STOP_S) -> None:
    """End processes gracefully, and kills those that take too long."""
    for child in children:
        child.send(signal.SIGCONT)
        child.send(signal.SIGTERM)
    deadline = monotonic() + patience_s
    for child in children:
        if not child.wait(max(0.0, deadline - monotonic())):
            child.kill()


def wait_until(condition: Callable[[], object], what: str, timeout_s: float) -> None:
    """Wait until ``condition`` gives something true; raise ``TimeoutError``."""
    deadline = monotonic() + timeout_s
    while not condition():
        if monotonic() > deadline:
            raise TimeoutError(f"{what}: not within {timeout_s:g} s")
        sleep(POLL_S)


def end_on_signals() -> None:
    """End this process in order on SIGINT and SIGTERM.

    A script's background processes ignore SIGINT unless they ask for it.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(ENDED_BY_SIGTERM))
