"""``masticdrumctl`` against stand-ins of the platform in separate processes."""

import json
import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from masticdrum.core.declarations import POOLS_FILE, write_declarations
from masticdrum.core.tableedit import TABLES_PATH
from masticdrum.model.tables import Tables
from masticdrum.programs.ctl import main
from masticdrum.programs.ctloutput import ExitCode
from tests.tablesamples import make_tables


@contextmanager
def run_standin(name: str) -> Iterator[str]:
    command = [sys.executable, "-m", f"tests.standins.{name}"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout is not None
        yield json.loads(process.stdout.readline())["address"]
    finally:
        process.kill()
        process.wait()


class CtlHarness:
    """Runs masticdrumctl with declarations and settings in a temporary folder."""

    def __init__(self, folder: Path, objects: str, instances: str) -> None:
        self.folder = folder
        self.objects = objects
        self.settings = folder / "ctl.json"
        settings = {
            "object_api": objects,
            "instance_list": instances,
            "edit_timeout_s": 2.0,
        }
        self.settings.write_text(json.dumps(settings))
        self.declare(make_tables())

    def declare(self, tables: Tables) -> None:
        for name, body in write_declarations(tables).items():
            (self.folder / name).write_bytes(body)

    def run(self, *arguments: str) -> tuple[int, Any]:
        argv = ["--settings", str(self.settings), "--json", *arguments]
        result = CliRunner().invoke(main, argv)
        assert result.exit_code != 1, result.exception
        return result.exit_code, json.loads(result.stdout or "null")

    def apply(self, *arguments: str) -> tuple[int, Any]:
        return self.run("apply", str(self.folder), "--timeout", "0", *arguments)

    def control(self, **faults: Any) -> None:
        body = json.dumps(faults).encode()
        request = urllib.request.Request(f"{self.objects}/control", body)
        urllib.request.urlopen(request, timeout=5).close()

    def read(self) -> Tables:
        with urllib.request.urlopen(f"{self.objects}/objects/{TABLES_PATH}") as answer:
            return msgspec.json.decode(answer.read(), type=Tables)


@pytest.fixture(scope="module")
def platform() -> Iterator[tuple[str, str]]:
    with run_standin("objects") as objects, run_standin("instances") as instances:
        yield objects, instances


@pytest.fixture
def harness(tmp_path: Path, platform: tuple[str, str]) -> Iterator[CtlHarness]:
    harness = CtlHarness(tmp_path, *platform)
    yield harness
    harness.control(outage=False, lose_answers=0)


def test_edits_from_first_to_last(harness: CtlHarness) -> None:
    assert harness.run("diff", str(harness.folder))[1]["serial"] == 0
    code, value = harness.apply("--serial", "0")
    assert (code, value["ending"]) == (ExitCode.NOT_EVERYWHERE, "accepted")
    assert harness.apply("--serial", "0")[1]["ending"] == "accepted"
    assert harness.apply("--yes")[1]["ending"] == "unchanged"
    assert harness.read().serial == 1

    harness.control(lose_answers=1)
    code, value = harness.run("out", "a", "--timeout", "0")
    assert (value["ending"], value["serial"]) == ("accepted", 2)
    assert harness.read().data_centres[0].out

    code, value = harness.apply("--yes")
    assert (code, value["data_centre"]) == (ExitCode.RETURNING, "a")
    code, value = harness.apply("--serial", "1", "--bring-back", "a")
    assert (code, value["serial"]) == (ExitCode.CONFLICT, 2)
    code, value = harness.run("explain", "r", "w", "--prompt", "hello")
    reasons = {row["data_centre"]: row["excluded"] for row in value["candidates"]}
    assert reasons == {"a": "data centre out", "b": ""}
    assert harness.run("explain", "r", "x")[1]["refusal"] == "route_forbidden"

    assert harness.run("back", "a", "--timeout", "0")[1]["serial"] == 3
    assert not harness.read().data_centres[0].out
    assert harness.run("out", "x")[0] == ExitCode.WRONG

    harness.control(outage=True)
    assert harness.run("show")[0] == ExitCode.UNREACHABLE


def test_wrong_declarations_are_refused_with_their_path(harness: CtlHarness) -> None:
    path = harness.folder / POOLS_FILE
    path.write_bytes(path.read_bytes().replace(b'"b"', b'"x"', 1))
    code, value = harness.run("check", str(harness.folder))
    assert code == ExitCode.WRONG
    text = "pools.json: pools[0].upstreams[2]: data centre 'b' is not listed"
    assert text in value["faults"]
    assert harness.apply("--serial", "0")[0] == ExitCode.WRONG


def test_text_output(harness: CtlHarness) -> None:
    argv = ["--settings", str(harness.settings), "check", str(harness.folder)]
    assert CliRunner().invoke(main, argv).stdout == f"{harness.folder}: ok\n"
    argv[2:] = ["apply", str(harness.folder)]
    assert CliRunner().invoke(main, argv).exit_code == ExitCode.USAGE
