"""Modules import only from their own layer and lower ones."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "masticdrum"
LAYERS = ["model", "rollouts", "core", "shell", "programs", "platform"]
FORBIDDEN_BELOW_SHELL = {
    "click",
    "httpcore",
    "hypercorn",
    "logging",
    "os",
    "prometheus_client",
    "socket",
    "time",
    "trio",
    "zmq",
}


def list_modules() -> list[Path]:
    return sorted(ROOT.glob("*/*.py"))


def list_imports(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: relative import"
            names.add(node.module or "")
    return names


@pytest.mark.parametrize(
    "path", list_modules(), ids=lambda p: f"{p.parent.name}.{p.stem}"
)
def test_imports_are_from_lower_layers(path: Path) -> None:
    own_level = LAYERS.index(path.parent.name)
    for name in list_imports(path):
        parts = name.split(".")
        if parts[0] != "masticdrum" or len(parts) < 2:
            continue
        assert LAYERS.index(parts[1]) <= own_level, f"{path} imports {name}"


@pytest.mark.parametrize(
    "path", list_modules(), ids=lambda p: f"{p.parent.name}.{p.stem}"
)
def test_core_and_model_do_no_input_or_output(path: Path) -> None:
    if path.parent.name not in {"model", "rollouts", "core"}:
        return
    roots = {name.split(".")[0] for name in list_imports(path)}
    assert not roots & FORBIDDEN_BELOW_SHELL, path
