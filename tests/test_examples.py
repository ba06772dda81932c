"""The examples pass the checks that the programs run at startup."""

from pathlib import Path

import pytest
from returns.result import Success

from masticdrum.core.declarations import read_declarations
from masticdrum.model.settings import AgentSettings, CtlSettings, EntrySettings
from masticdrum.model.tables import Tables
from masticdrum.shell.settings import load_settings

ROOT = Path(__file__).parents[1] / "examples"
SIZES = {
    "radkranz": (3, {"profile-llm": 6, "lathe-desk": 3}, ["scan-cache", "norm-cache"]),
    "gebeya": (4, {"kiln-llm": 6, "stall-app": 4}, ["memo-a", "memo-b"]),
}
KINDS = {"entry": EntrySettings, "agent": AgentSettings, "ctl": CtlSettings}


def read_tables(name: str) -> Tables:
    folder = ROOT / name / "tables"
    files = {path.name: path.read_bytes() for path in folder.iterdir()}
    return read_declarations(files).unwrap()


@pytest.mark.parametrize("name", SIZES)
def test_tables_are_valid_and_have_the_sizes_of_the_deployment(name: str) -> None:
    tables = read_tables(name)
    data_centres, pools, stores = SIZES[name]
    assert len(tables.data_centres) == data_centres
    assert {row.name: len(row.upstreams) for row in tables.pools} == pools
    assert [row.name for row in tables.stores] == stores
    assert len({w for row in tables.routes for w in row.workspaces}) == 10


@pytest.mark.parametrize("name", SIZES)
def test_settings_are_valid_and_match_the_tables(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    secret = "masticdrum.shell.settings.load_secret"
    monkeypatch.setattr(secret, lambda path: Success(""))
    loaded = {}
    for path in sorted((ROOT / name / "settings").iterdir()):
        kind = KINDS[path.stem.split("-")[0]]
        loaded[path.stem] = load_settings(path, kind).unwrap()  # type: ignore[type-var]
    for pool in read_tables(name).pools:
        for upstream in pool.upstreams:
            agent = loaded[f"agent-{upstream.name}"]
            assert isinstance(agent, AgentSettings)
            assert (agent.listen, agent.pool) == (upstream.agent, pool.name)
            assert (agent.data_centre, agent.kind) == (upstream.data_centre, pool.kind)
