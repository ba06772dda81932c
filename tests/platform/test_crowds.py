"""Callers that nobody controls end no process and leave ordinary callers their part.

Each test guards against one form of such callers. The checks don't depend on the speed
of the machine: the process lives, its memory and descriptors stay within its limits,
and an ordinary request is answered beside the crowd and after it has left.
"""

from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path

import pytest

from tests.platform.crowds import (
    MIB,
    LimitedFleet,
    check_process,
    gather,
    make_head,
)

SMALL_MEMORY = 64 * MIB
MEMORY = 136 * MIB  # of the smallest machine of the deployments
BODY_BYTES = 4 * MIB
CHUNK = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"

StartFleet = Callable[..., LimitedFleet]


@pytest.fixture
def start_fleet(tmp_path: Path) -> Iterator[StartFleet]:
    started = []

    def start(memory: int, descriptors: int = 1024, **limits: int) -> LimitedFleet:
        fleet = LimitedFleet(tmp_path, memory, descriptors)
        started.append(fleet)
        fleet.start()
        fleet.limit_callers(**{"maxBodyBytes": BODY_BYTES, **limits})
        return fleet

    yield start
    for fleet in started:
        fleet.stop()


def check_crowd(
    fleet: LimitedFleet, callers: int, data: bytes, port: str = "entry"
) -> None:
    """Check the entry beside a crowd and after it has left."""
    numbers = count()

    def is_served() -> bool:
        return fleet.ask("/look/7", f"ordinary-{next(numbers)}").status == 200

    with gather(fleet.ports[port], callers, data):
        check_process(fleet, "entry", is_served)
    check_process(fleet, "entry", is_served)


def test_bodies_that_never_end(start_fleet: StartFleet) -> None:
    fleet = start_fleet(MEMORY)
    body = b"a" * (BODY_BYTES - 1)
    head = make_head("/look/7", f"Content-Length: {BODY_BYTES}")
    check_crowd(fleet, 60, head + body)


def test_bodies_over_the_limit_that_are_announced(start_fleet: StartFleet) -> None:
    fleet = start_fleet(MEMORY)
    head = make_head("/look/7", f"Content-Length: {1000 * BODY_BYTES}")
    check_crowd(fleet, 60, head + b"a" * (BODY_BYTES + MIB))


def test_bodies_over_the_limit_that_are_just_sent(start_fleet: StartFleet) -> None:
    fleet = start_fleet(MEMORY)
    head = make_head("/look/7", "Transfer-Encoding: chunked")
    check_crowd(fleet, 60, head + CHUNK * (BODY_BYTES // 0x10000 + 16))


def test_heads_that_never_end(start_fleet: StartFleet) -> None:
    fleet = start_fleet(SMALL_MEMORY)
    head = make_head("/look/7").removesuffix(b"\r\n") + b"X-Long: "
    check_crowd(fleet, 300, head + b"a" * 90_000)


def test_requests_sent_ahead_at_paths_that_no_route_has(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(SMALL_MEMORY)
    check_crowd(fleet, 40, make_head("/none/7", "Content-Length: 0") * 10_000)


def test_answers_that_nobody_reads(start_fleet: StartFleet) -> None:
    """Also guards against a body that is kept beside its answer."""
    fleet = start_fleet(MEMORY)
    head = make_head("/look/7", f"Content-Length: {BODY_BYTES}")
    check_crowd(fleet, 60, head + b"a" * BODY_BYTES)


def test_connections_that_never_ask(start_fleet: StartFleet) -> None:
    check_crowd(start_fleet(MEMORY, 256), 300, b"")


def test_connections_that_asked_once(start_fleet: StartFleet) -> None:
    fleet = start_fleet(MEMORY, 256)
    check_crowd(fleet, 300, make_head("/none/7", "Content-Length: 0"))


@pytest.mark.parametrize("port", ["entry probes", "entry metrics"])
def test_connections_to_probes_and_metrics(start_fleet: StartFleet, port: str) -> None:
    check_crowd(start_fleet(MEMORY, 256), 300, b"", port)


def test_bodies_to_probes(start_fleet: StartFleet) -> None:
    fleet = start_fleet(MEMORY)
    head = make_head("/readyz", f"Content-Length: {BODY_BYTES}")
    check_crowd(fleet, 60, head + b"a" * (BODY_BYTES - 1), "entry probes")


def test_connections_to_the_metrics_of_an_agent(start_fleet: StartFleet) -> None:
    fleet = start_fleet(MEMORY, 256)
    fleet.start_agent()
    fleet.wait_for("agent metrics", "/readyz")

    def is_served() -> bool:
        return fleet.request_status("agent metrics", "/healthz") == 200

    with gather(fleet.ports["agent metrics"], 300, b""):
        check_process(fleet, "agent", is_served)
    check_process(fleet, "agent", is_served)
