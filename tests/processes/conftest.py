"""One running system for all process tests, restored before each of them."""

from collections.abc import Iterator

import pytest

from demo.system import NORMAL_ROUTE, Plan, System

PLAN = Plan(
    engines={
        "profile-llm-1": "olten-a",
        "profile-llm-2": "olten-a",
        "profile-llm-3": "aarau-b",
    },
    engine_faults={"block_s": 0.02, "token_s": 0.01},
    routes={NORMAL_ROUTE: {"max_tokens": 1_000_000, "deadline_s": 3600.0}},
    entry={"limits": {"read_timeout_s": 2.0, "write_timeout_s": 2.0}},
)


@pytest.fixture(scope="session")
def session_system() -> Iterator[System]:
    with System(PLAN) as system:
        yield system


@pytest.fixture
def system(session_system: System) -> System:
    session_system.restore()
    return session_system
