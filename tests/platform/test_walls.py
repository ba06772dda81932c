"""Walls between workspaces, at the platform's programs as real processes."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from tests.platform.fleet import KEY, Fleet, make_config

KEYS = {"depot": KEY, "yard": "key-of-yard"}
LEASE_S = 600.0  # of the keys, so that requests are served throughout
APPLY_S = 6.0  # far longer than a watch, so that a busy machine leaves no doubt
WAIT_S = 25.0  # of a prompt at its engine; far longer than the bound on a change
PROMPT = {"X-Model": "m1", "X-Prefix-Hash": "a1:600,b2:20"}
ENGINES = ("engine-1", "engine-2")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path, ("entry-2", "entry-2 probes", "entry-2 metrics"))
    try:
        fleet.start()
        fleet.put("config", "main", make_walled_config(2))
        fleet.start_entry("entry-2", revoke_s=LEASE_S, apply_s=APPLY_S)
        yield fleet
    finally:
        fleet.stop()


def make_walled_config(version: int, isolated: str = "") -> dict[str, Any]:
    """Return a configuration in which one workspace, or none, is isolated."""
    config = make_config(version)
    for route in config["routes"]:
        route["timeoutMs"] = 2 * WAIT_S * 1000
    tenants = [
        {"name": name, "apiKeys": [key], "isolated": name == isolated}
        for name, key in KEYS.items()
    ]
    return config | {"tenants": tenants}


def read_scopes(fleet: Fleet, number: int) -> dict[str, str]:
    """Return the scope of a prompt of each workspace."""
    scopes = {}
    for tenant, key in KEYS.items():
        name = f"r{number}-{tenant}"
        answer = fleet.ask("/stream/7", name, key, entry="entry-2", **PROMPT)
        assert answer.status == 200
        (scopes[tenant],) = list_scopes(fleet, name)
    return scopes


def list_scopes(fleet: Fleet, name: str) -> list[str]:
    """Return the scopes of a request at the engines that began to answer it."""
    seen = [headers for engine in ENGINES for headers in fleet.control(engine)["seen"]]
    return [h.get("x-cache-salt", "") for h in seen if h["x-request-id"] == name]


# Guards against prompts that share KV cache across a wall of which their entry, cut off
# from the store, has not read (WALL).
def test_an_entry_that_hears_nothing_of_the_store_shares_with_nobody(
    fleet: Fleet,
) -> None:
    scopes: list[dict[str, str]] = []

    def are_shared() -> bool:
        scopes.append(read_scopes(fleet, len(scopes)))
        return len(set(scopes[-1].values())) == 1

    fleet.wait_until(are_shared, "both in one scope")
    shared = scopes[-1]["yard"]
    fleet.control("store", hang=True)
    fleet.wait_until(
        lambda: not are_shared() and shared not in scopes[-1].values(),
        "each in a scope of its own",
    )
    fleet.control("store", hang=False)
    fleet.wait_until(are_shared, "both in one scope again")
    assert scopes[-1]["yard"] == shared


# Guards against a prompt that was sent before a wall went up, waits at its engine, and
# then uses what the isolated workspace had made (WALL).
def test_a_prompt_that_waits_at_its_engine_goes_on_behind_the_new_wall(
    fleet: Fleet,
) -> None:
    before = read_scopes(fleet, 0)["yard"]
    for name in ENGINES:
        fleet.control(name, slow_s=WAIT_S)
    sent = {**PROMPT, "X-Deadline-Ms": str(int(2 * WAIT_S * 1000))}
    log = fleet.folder / "entry-2.log"
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(
            fleet.ask, "/stream/7", "late", KEYS["yard"], entry="entry-2", **sent
        )
        fleet.wait_until(lambda: '"request":"late"' in log.read_text(), "late is sent")
        for name in ENGINES:
            fleet.control(name, slow_s=0.0)
        fleet.put("config", "main", make_walled_config(3, isolated="depot"))
        assert asked.result().status == 200
    (scope,) = list_scopes(fleet, "late")
    assert scope != before
    assert scope == read_scopes(fleet, 1)["yard"]


# Guards against prompts that name no model and then share KV cache with everybody.
def test_prompts_that_name_no_model_share_nothing(fleet: Fleet) -> None:
    scopes = set()
    for tenant, key in KEYS.items():
        answer = fleet.ask("/stream/7", tenant, key, entry="entry-2")
        assert answer.status == 200
        scopes.update(list_scopes(fleet, tenant))
    assert len(scopes) == len(KEYS) and "" not in scopes
