"""All processes that ``make run`` starts end with it, also when it is killed."""

import signal
import sys
from pathlib import Path

import pytest

from demo.caller import call
from demo.processes import Child, stop_all, wait_until

WAIT_TIMEOUT_S = 60.0


def read_addresses(child: Child) -> list[str]:
    """Read the addresses that ``demo.run`` prints first, one per line."""
    addresses = []
    while line := child.read_line().split():
        addresses.append(line[1].decode())
    return addresses


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_all_processes_end_with_the_system(
    tmp_path: Path, number: signal.Signals
) -> None:
    child = Child("run", [sys.executable, "-m", "demo.run"], tmp_path)
    try:
        addresses = read_addresses(child)
        assert len(addresses) > 10
        for address in addresses:
            assert not call("GET", address).connection_error
        child.send(number)
        assert child.wait(WAIT_TIMEOUT_S)
        wait_until(
            lambda: all(call("GET", address).connection_error for address in addresses),
            "all processes ended",
            WAIT_TIMEOUT_S,
        )
    finally:
        stop_all([child])
