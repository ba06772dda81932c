"""Walls between workspaces, at the platform's programs as real processes."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.platform.fleet import KEY, Fleet, make_config

KEYS = {"depot": KEY, "yard": "key-of-yard"}
LEASE_S = 600.0  # of the keys, so that requests are served throughout


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path, ("entry-2", "entry-2 probes", "entry-2 metrics"))
    try:
        fleet.start()
        tenants = [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()]
        fleet.put("config", "main", make_config(2) | {"tenants": tenants})
        fleet.start_entry("entry-2", revoke_s=LEASE_S)
        yield fleet
    finally:
        fleet.stop()


def read_scopes(fleet: Fleet, number: int) -> dict[str, str]:
    """Return the scope of a prompt of each workspace."""
    names = {tenant: f"r{number}-{tenant}" for tenant in KEYS}
    for tenant, key in KEYS.items():
        sent = {"X-Model": "m1", "X-Prefix-Hash": "a1:600,b2:20"}
        answer = fleet.ask("/stream/7", names[tenant], key=key, entry="entry-2", **sent)
        assert answer.status == 200
    seen = fleet.control("engine-1")["seen"] + fleet.control("engine-2")["seen"]
    by_name = {headers["x-request-id"]: headers["x-cache-salt"] for headers in seen}
    return {tenant: by_name[name] for tenant, name in names.items()}


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
    fleet.wait_until(lambda: not are_shared(), "each in a scope of its own")
    assert shared not in scopes[-1].values()
    fleet.control("store", hang=False)
    fleet.wait_until(are_shared, "both in one scope again")
    assert scopes[-1]["yard"] == shared
