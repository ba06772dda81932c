"""Child processes, which are started, checked and stopped one by one."""

import ctypes
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from time import monotonic, sleep

ENDED_BY_SIGTERM = 143  # exit code
PR_SET_PDEATHSIG = 1  # from <sys/prctl.h>
STOP_S = 10.0  # seconds until a process that doesn't exit is killed
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
                preexec_fn=terminate_with_parent,
            )

    def read_line(self) -> bytes:
        """Read the next line of output; raise if the process ends without one."""
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
        """Describe how the process ended, with the end of its log."""
        status = self.process.wait()
        tail = self.log.read_text(errors="replace")[-LOG_TAIL:]
        return f"process {self.name!r} ended with status {status}:\n{tail}"

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.send(signal.SIGKILL)
        self.process.wait()
        self._close()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the process to end; return false if it still runs."""
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        self._close()
        return True

    def _close(self) -> None:
        if self.process.stdout is not None:
            self.process.stdout.close()


def terminate_with_parent() -> None:
    """Have the kernel send SIGTERM to this process when its parent dies (Linux)."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def stop_all(children: Sequence[Child], timeout_s: float = STOP_S) -> None:
    """Stop processes with SIGTERM; kill those that still run after ``timeout_s``."""
    for child in children:
        child.send(signal.SIGCONT)
        child.send(signal.SIGTERM)
    deadline = monotonic() + timeout_s
    for child in children:
        if not child.wait(max(0.0, deadline - monotonic())):
            child.kill()


def wait_until(condition: Callable[[], object], what: str, timeout_s: float) -> None:
    """Poll until ``condition`` is true; raise ``TimeoutError`` after ``timeout_s``."""
    deadline = monotonic() + timeout_s
    while not condition():
        if monotonic() > deadline:
            raise TimeoutError(f"{what}: not within {timeout_s:g} s")
        sleep(POLL_S)


def exit_on_signals() -> None:
    """Exit with clean-up on SIGINT and SIGTERM.

    A shell script starts its background processes with SIGINT ignored, so Python
    installs no handler for it by itself.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(ENDED_BY_SIGTERM))
