"""Invalid tables are rejected as a whole, with the path of each fault."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.tablecheck import check_tables, decode_tables
from masticdrum.model.tables import Tables

VALID = {
    "serial": 3,
    "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
    "stores": [{"name": "s", "data_centre": "a", "address": "http://127.0.0.1:1"}],
    "pools": [
        {
            "name": "p",
            "kind": "engine",
            "model": "m",
            "version": "v1",
            "upstreams": [
                {"name": "u0", "data_centre": "a", "agent": "tcp://127.0.0.1:2"},
                {"name": "u1", "data_centre": "b", "agent": "tcp://127.0.0.1:3"},
            ],
            "stores": ["s"],
        }
    ],
    "routes": [{"name": "r", "pool": "p", "workspaces": ["w"]}],
}

FAULTS = [
    (("pools", 0, "upstreams", 1, "data_centre"), "x",
     "pools[0].upstreams[1]: data centre 'x' is not listed"),
    (("stores", 0, "data_centre"), "x", "stores[0]: data centre 'x' is not listed"),
    (("pools", 0, "stores", 0), "x", "pools[0].stores[0]: store 'x' is not listed"),
    (("routes", 0, "pool"), "x", "routes[0].pool: pool 'x' is not listed"),
    (("data_centres", 1, "name"), "a",
     "data_centres[1]: data centre 'a' is listed twice"),
    (("pools", 0, "upstreams", 1, "name"), "u0",
     "pools[0].upstreams[1]: upstream 'u0' is listed twice"),
    (("pools", 0, "upstreams", 1, "agent"), "tcp://127.0.0.1:2",
     "pools[0].upstreams[1].agent: 'tcp://127.0.0.1:2' is also that of 'u0'"),
    (("pools", 0, "upstreams", 0, "agent"), "tcp://localhost:2",
     "pools[0].upstreams[0].agent: 'tcp://localhost:2' is not tcp://IP:PORT"),
    (("stores", 0, "address"), "http://127.0.0.1:99999",
     "stores[0].address: 'http://127.0.0.1:99999' is not http://IP:PORT"),
    (("pools", 0, "max_running"), 0, "pools[0].max_running: 0 is below 1"),
    (("pools", 0, "cold_start"), {"every_s": 0},
     "pools[0].cold_start.every_s: 0.0 is not above 0"),
    (("pools", 0, "upstreams", 0, "weight"), -1.0,
     "pools[0].upstreams[0].weight: -1.0 is not above 0"),
    (("pools", 0, "version"), "",
     "pools[0]: engine pool 'p' needs a model and a version"),
    (("routes", 0, "idempotent"), False,
     "routes[0].idempotent: pool 'p' runs engines, whose requests are idempotent"),
    (("routes", 0, "workspaces"), [],
     "routes[0].workspaces: route 'r' admits no workspace"),
    (("routes", 0, "urgency"), "soon", "routes[0].urgency: Invalid enum value 'soon'"),
    (("routes", 0, "deadline_s"), "2",
     "routes[0].deadline_s: Expected `float`, got `str`"),
    (("serial",), -1, "serial: -1 is below 0"),
    (("colour",), 1, "Object contains unknown field `colour`"),
]  # fmt: skip


def replace_at(path: tuple[str | int, ...], value: object) -> bytes:
    tree = msgspec.json.decode(msgspec.json.encode(VALID))
    node = tree
    for step in path[:-1]:
        node = node[step]
    node[path[-1]] = value
    return msgspec.json.encode(tree)


def test_valid_tables_pass() -> None:
    assert decode_tables(msgspec.json.encode(VALID)).unwrap().serial == 3
    assert check_tables(Tables()).unwrap() == Tables()


@pytest.mark.parametrize(("path", "value", "text"), FAULTS, ids=[f[2] for f in FAULTS])
def test_fault_names_its_path(
    path: tuple[str | int, ...], value: object, text: str
) -> None:
    faults = decode_tables(replace_at(path, value)).failure()
    assert text in [str(fault) for fault in faults]


@settings(derandomize=True, max_examples=200)
@given(st.binary())
def test_random_bytes_are_rejected(body: bytes) -> None:
    assert decode_tables(body).failure()
