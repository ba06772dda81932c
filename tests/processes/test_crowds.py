"""The product's own interface under callers that nobody controls."""

from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path

import pytest

from tests.platform.crowds import (
    MIB,
    check_process,
    gather,
    limit_processes,
    make_limits,
)
from tests.processes.deployment import Deployment

MEMORY = 136 * MIB
SMALL_MEMORY = 64 * MIB
BODY_BYTES = 4 * MIB
CHUNK = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
PATH = "/v1/routes/book/calls"


class LimitedDeployment(Deployment):
    """A deployment whose own processes are told how much they may use."""

    def __init__(self, folder: Path, memory: int, descriptors: int) -> None:
        super().__init__(folder)
        self.limits = make_limits(memory, descriptors)

    def run(self, name: str, module: str, *args: str) -> None:
        if not module.startswith("masticdrum"):
            super().run(name, module, *args)
            return
        with limit_processes(self.limits):
            super().run(name, module, *args)

    def write_settings(self, name: str, own_settings: dict[str, object]) -> str:
        if name.startswith("entry"):
            own_settings |= {"limits": {"max_body_bytes": BODY_BYTES}}
        return super().write_settings(name, own_settings)


StartDeployment = Callable[..., LimitedDeployment]


@pytest.fixture
def start_deployment(tmp_path: Path) -> Iterator[StartDeployment]:
    started = []

    def start(memory: int, descriptors: int = 1024) -> LimitedDeployment:
        deployment = LimitedDeployment(tmp_path, memory, descriptors)
        started.append(deployment)
        deployment.start()
        return deployment

    yield start
    for deployment in started:
        deployment.stop()


def check_crowd(
    deployment: LimitedDeployment,
    callers: int,
    data: bytes,
    port: str = "entry-1",
    process: str = "entry-1",
) -> None:
    """Check a process beside a crowd and after it has left."""
    numbers = count()

    def is_served() -> bool:
        return deployment.book("entry-1", f"ordinary-{next(numbers)}").status == 200

    with gather(deployment.ports[port], callers, data):
        check_process(deployment, process, is_served)
    check_process(deployment, process, is_served)


def make_head(*headers: str, path: str = PATH, key: str = "crowd") -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: desk.example",
        "Authorization: Bearer gebeya",
        f"Idempotency-Key: {key}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def test_bodies_that_never_end(start_deployment: StartDeployment) -> None:
    head = make_head(f"Content-Length: {BODY_BYTES}")
    check_crowd(start_deployment(MEMORY), 60, head + b"a" * (BODY_BYTES - 1))


def test_bodies_over_the_limit_that_are_just_sent(
    start_deployment: StartDeployment,
) -> None:
    head = make_head("Transfer-Encoding: chunked")
    body = CHUNK * (BODY_BYTES // 0x10000 + 16)
    check_crowd(start_deployment(MEMORY), 60, head + body)


def test_heads_that_never_end(start_deployment: StartDeployment) -> None:
    head = make_head().removesuffix(b"\r\n") + b"X-Long: "
    check_crowd(start_deployment(SMALL_MEMORY), 300, head + b"a" * 90_000)


def test_requests_sent_ahead_at_paths_that_no_route_has(
    start_deployment: StartDeployment,
) -> None:
    ahead = make_head("Content-Length: 0", path="/none") * 10_000
    check_crowd(start_deployment(MEMORY), 40, ahead)


def test_connections_that_never_ask(start_deployment: StartDeployment) -> None:
    check_crowd(start_deployment(MEMORY, 256), 300, b"")


def test_connections_to_the_metrics_of_an_agent(
    start_deployment: StartDeployment,
) -> None:
    check_crowd(start_deployment(MEMORY, 256), 300, b"", "agent", "agent")


def test_connections_to_the_links_of_an_agent(
    start_deployment: StartDeployment,
) -> None:
    check_crowd(start_deployment(MEMORY, 256), 300, b"", "links", "agent")
