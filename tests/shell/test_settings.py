"""Settings are checked on loading, and error messages contain no secrets."""

from hashlib import sha256
from pathlib import Path

import msgspec
import pytest
from msgspec.structs import fields

from masticdrum.model.settings import (
    AgentSettings,
    EngineControllerSettings,
    EntrySettings,
    ForwardSettings,
    RolloutBounds,
)
from masticdrum.shell.settings import load_credentials, load_settings

ENTRY = {
    "name": "entry-0",
    "data_centre": "a",
    "http": "127.0.0.1:8000",
    "object_api": "http://127.0.0.1:1",
    "instance_list": "http://127.0.0.1:2",
    "credentials_file": "credentials.json",
}


def write(path: Path, value: object) -> Path:
    path.write_bytes(msgspec.json.encode(value))
    return path


def test_valid_settings_load(tmp_path: Path) -> None:
    path = write(tmp_path / "entry.json", ENTRY)
    assert load_settings(path, EntrySettings).unwrap().name == "entry-0"


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"colour": 1}, "Object contains unknown field `colour`"),
        ({"http": "localhost:8000"}, "http: 'localhost:8000' is not IP:PORT"),
        ({"name": ""}, "name: it is empty"),
        ({"grace_s": 0}, "grace_s: 0.0 is not above 0"),
        (
            {"limits": {"max_body_bytes": 0}},
            "limits.max_body_bytes: 0 is not above 0",
        ),
        (
            {"object_api": "127.0.0.1:1"},
            "object_api: '127.0.0.1:1' is not http://IP:PORT",
        ),
        ({"data_centre": 3}, "data_centre: Expected `str`, got `int`"),
    ],
)
def test_fault_names_file_and_path(
    tmp_path: Path, change: dict[str, object], text: str
) -> None:
    path = write(tmp_path / "entry.json", ENTRY | change)
    assert load_settings(path, EntrySettings).failure() == f"{path}: {text}"


# Guards against an address for datagrams that ends the process only once it is bound.
@pytest.mark.parametrize(
    "address", ["localhost:7702", "127.0.0.1", "127.0.0.1:0x1", ""]
)
@pytest.mark.parametrize("kind", [ForwardSettings, EngineControllerSettings])
def test_a_malformed_address_for_datagrams_is_refused(
    tmp_path: Path, address: str, kind: type[ForwardSettings | EngineControllerSettings]
) -> None:
    texts = {"name", "data_centre", "http", "probes", "metrics", "store", "upstream"}
    known = {field.name for field in fields(kind)}
    values = dict.fromkeys(texts & known, "127.0.0.1:1")
    path = write(tmp_path / "some.json", values | {"datagrams": address})
    assert load_settings(path, kind).failure().startswith(f"{path}: datagrams: ")
    path = write(tmp_path / "some.json", values | {"datagrams": "127.0.0.1:7702"})
    assert load_settings(path, kind).unwrap().datagrams == "127.0.0.1:7702"


def test_missing_file_is_named(tmp_path: Path) -> None:
    path = tmp_path / "none.json"
    failure = load_settings(path, AgentSettings).failure()
    assert failure == f"{path}: can't be read: No such file or directory"


def test_credentials_never_appear_in_messages(tmp_path: Path) -> None:
    digest = sha256(b"token").hexdigest()
    valid = write(tmp_path / "valid.json", {digest: "w"})
    assert load_credentials(valid).unwrap() == {digest: "w"}
    for value in ({"s3cret": "w"}, {digest: ""}, {digest: 7}, ["s3cret"]):
        failure = load_credentials(write(tmp_path / "bad.json", value)).failure()
        assert "s3cret" not in failure
        assert digest not in failure


ROLLOUT_FAULTS = [
    ({"exposure_share": 0}, "rollout.exposure_share: 0.0 is not above 0"),
    ({"exposure_share": 1.5}, "rollout.exposure_share: 1.5 is above 1"),
    ({"rollback_s": -1}, "rollout.rollback_s: -1.0 is not above 0"),
    ({"share": 0.1}, "rollout: Object contains unknown field `share`"),
]


@pytest.mark.parametrize(("rollout", "text"), ROLLOUT_FAULTS)
def test_bounds_of_roll_outs_are_checked(
    tmp_path: Path, rollout: dict[str, float], text: str
) -> None:
    texts = ("name", "data_centre", "http", "probes", "metrics", "store", "datagrams")
    values = dict.fromkeys(texts, "127.0.0.1:1") | {"rollout": rollout}
    path = write(tmp_path / "some.json", values)
    assert load_settings(path, ForwardSettings).failure() == f"{path}: {text}"
    path = write(tmp_path / "some.json", values | {"rollout": {}})
    assert load_settings(path, ForwardSettings).unwrap().rollout == RolloutBounds()
    del values["datagrams"]
    path = write(tmp_path / "some.json", values | {"rollout": {}})
    assert "datagrams: it is needed by rollout" in str(
        load_settings(path, ForwardSettings).failure()
    )
