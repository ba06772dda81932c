"""An edit reaches real entries and agents, also during a platform outage."""

import json
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest

from masticdrum.model.tables import DataCentre, Pool, PoolKind, Route, Tables, Upstream
from masticdrum.programs.ctloutput import ExitCode
from tests.processes.deployment import assign_free_ports
from tests.processes.test_ctl import CtlHarness, run_standin

AGENTS = ["agent-a", "agent-b"]
WAIT_TIMEOUT_S = 60.0


def wait_for(check: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not check():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def read_serial(address: str) -> int:
    try:
        with urllib.request.urlopen(f"http://{address}/status", timeout=2) as answer:
            serial: int = json.loads(answer.read())["serial"]
            return serial
    except OSError:
        return -1


class TablesSystem:
    """One entry and two agents with platform stand-ins; the upstreams don't exist."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder = folder
        self.stack = stack
        self.objects = stack.enter_context(run_standin("objects"))
        self.instances = stack.enter_context(run_standin("instances"))
        self.harness = CtlHarness(folder, self.objects, self.instances)
        http = [*AGENTS, "entry"]
        links = [f"{name} link" for name in AGENTS]
        ports = assign_free_ports([*http, *links, "upstream"])
        self.listen = {name: f"127.0.0.1:{ports[f'{name} link']}" for name in AGENTS}
        self.http = {name: f"127.0.0.1:{ports[name]}" for name in http}
        self.upstream_url = f"http://127.0.0.1:{ports['upstream']}"
        self.harness.declare(self.make_tables())
        self.list_instances()
        self.start_entry()
        self.agents = {name: self.start_agent(name) for name in AGENTS}

    def make_tables(self) -> Tables:
        upstreams = [
            Upstream(name, name[-1], f"tcp://{self.listen[name]}") for name in AGENTS
        ]
        return Tables(
            data_centres=[DataCentre("a", "r"), DataCentre("b", "r")],
            pools=[Pool("p", PoolKind.ENGINE, upstreams, "m", "v1")],
            routes=[Route("r", "p", ["w"])],
        )

    def list_instances(self) -> None:
        rows = [
            {"name": name, "role": "agent", "data_centre": name[-1],
             "address": f"tcp://{self.listen[name]}", "state": "live"}
            for name in AGENTS
        ]  # fmt: skip
        rows.append(
            {"name": "entry", "role": "entry", "data_centre": "a",
             "address": f"tcp://{self.http['entry']}", "state": "live"}
        )  # fmt: skip
        body = json.dumps({"instances": rows}).encode()
        request = urllib.request.Request(f"{self.instances}/control", body)
        urllib.request.urlopen(request, timeout=5).close()

    def start_entry(self) -> None:
        credentials = self.folder / "credentials.json"
        credentials.write_text("{}")
        self.start(
            "entry",
            name="entry",
            data_centre="a",
            http=self.http["entry"],
            credentials_file=str(credentials),
        )

    def start_agent(self, name: str) -> subprocess.Popen[bytes]:
        return self.start(
            "agent",
            name=name,
            data_centre=name[-1],
            pool="p",
            kind="engine",
            upstream=name,
            listen=f"tcp://{self.listen[name]}",
            upstream_url=self.upstream_url,
            http=self.http[name],
        )

    def start(self, program: str, **settings: Any) -> subprocess.Popen[bytes]:
        path = self.folder / f"{settings['name']}.json"
        shared = {"object_api": self.objects, "instance_list": self.instances}
        path.write_text(json.dumps(settings | shared))
        command = [sys.executable, "-m", f"masticdrum.programs.{program}", str(path)]
        process = subprocess.Popen(command, stderr=(self.folder / "log").open("ab"))
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        return process

    def replace_agent(self, name: str) -> None:
        process = self.agents[name]
        process.kill()
        process.wait()
        self.agents[name] = self.start_agent(name)

    def all_have_serial(self, serial: int) -> bool:
        return all(read_serial(address) == serial for address in self.http.values())


@pytest.fixture
def tables_system(tmp_path: Path) -> Iterator[TablesSystem]:
    with ExitStack() as stack:
        yield TablesSystem(tmp_path, stack)


def test_edit_reaches_every_process(tables_system: TablesSystem) -> None:
    harness = tables_system.harness
    wait_for(lambda: all(read_serial(a) == 0 for a in tables_system.http.values()))
    code, value = harness.run("apply", str(harness.folder), "--serial", "0")
    assert (code, value["processes"]) == (ExitCode.DONE, 3), value
    assert tables_system.all_have_serial(1)
    assert harness.run("out", "b")[0] == ExitCode.DONE
    assert tables_system.all_have_serial(2)
    code, value = harness.run("status")
    assert (code, value["behind"]) == (ExitCode.DONE, [])


def test_replaced_agent_learns_from_its_peers_in_an_outage(
    tables_system: TablesSystem,
) -> None:
    harness = tables_system.harness
    assert (
        harness.run("apply", str(harness.folder), "--serial", "0")[0] == ExitCode.DONE
    )
    harness.control(outage=True)
    tables_system.replace_agent("agent-b")
    wait_for(lambda: tables_system.all_have_serial(1))
