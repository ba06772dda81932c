"""What servers and other writers say, against what the real programs do."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.platform.fleet import Fleet

ABSENT_S = 2.4
NEWS_S = 0.5  # until the entry has read a registration
WINDOW_S = 4.0
MOST_RUNS = 1.5 * 1.0 * WINDOW_S + 5  # at one request a second
LATER_BORN = 2**52
CALLERS = 40
WORK_S = 1.0  # until an answer names the limit again


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


# Guards against an agent that takes another writer's registration at its engine's
# address for its own engine, and orders nothing any more (VERSION).
def test_an_engine_is_ordered_though_another_writer_names_its_address(
    fleet: Fleet,
) -> None:
    fleet.start_agent()
    fleet.wait_for("agent metrics", "/readyz")
    address = f"127.0.0.1:{fleet.ports['engine-1']}"
    foreign = {
        "service": "unheard-of",
        "address": address,
        "zone": "olten-a",
        "slots": 8,
        "state": "ready",
        "born": LATER_BORN,
    }
    fleet.put("servers", "i-foreign", foreign)
    fleet.wait_until(lambda: "i-foreign" in fleet.read_logs(), "the registration")
    fleet.put("versions", "m1", {"model": "m1", "version": 2})
    fleet.wait_until(
        lambda: [o["version"] for o in fleet.control("engine-1")["orders"]] == [2],
        "an order",
    )


# Guards against a limit that is forgotten while its server's registration lapses, and
# then exceeded (LIMIT).
def test_a_limit_holds_when_its_server_registers_again(fleet: Fleet) -> None:
    fleet.control("desk-1", limit="1")
    fleet.control("desk-2", reject=True)
    for number in range(4):
        fleet.ask("/look/7", f"before-{number}")
    for name in ("desk-1", "desk-2"):
        fleet.control(name, reject=False, work_s=WORK_S)
    fleet.delete("servers", "i-desk-1")
    time.sleep(ABSENT_S)
    fleet.register("desk-1")
    time.sleep(NEWS_S)
    ends_at = time.monotonic() + WINDOW_S

    def call(caller: int) -> None:
        number = 0
        while time.monotonic() < ends_at:
            fleet.ask("/look/7", f"after-{caller}-{number}")
            number += 1

    with ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(call, range(CALLERS)))
    runs = fleet.control("desk-1")["runs"]
    assert sum(name.startswith("after") for name in runs) <= MOST_RUNS
