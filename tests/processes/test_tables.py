"""An edit reaches real entries and agents, also while the platform is down."""

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
from tests.processes.deployment import find_ports
from tests.processes.test_ctl import Desk, run_standin

AGENTS = ["agent-a", "agent-b"]
PATIENCE_S = 60.0


def wait_for(check: Callable[[], bool]) -> None:
    deadline = time.monotonic() + PATIENCE_S
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


class Site:
    """One entry and two agents with their platform; the upstreams don't exist."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder = folder
        self.stack = stack
        self.objects = stack.enter_context(run_standin("objects"))
        self.instances = stack.enter_context(run_standin("instances"))
        self.desk = Desk(folder, self.objects, self.instances)
        http = [*AGENTS, "entry"]
        links = [f"{name} link" for name in AGENTS]
        ports = find_ports([*http, *links, "upstream"])
        self.listen = {name: f"127.0.0.1:{ports[f'{name} link']}" for name in AGENTS}
        self.http = {name: f"127.0.0.1:{ports[name]}" for name in http}
        self.upstream_url = f"http://127.0.0.1:{ports['upstream']}"
        self.desk.declare(self.make_tables())
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

    def has_everywhere(self, serial: int) -> bool:
        return all(read_serial(address) == serial for address in self.http.values())


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with ExitStack() as stack:
        yield Site(tmp_path, stack)


def test_edit_reaches_every_process(site: Site) -> None:
    desk = site.desk
    wait_for(lambda: all(read_serial(a) == 0 for a in site.http.values()))
    code, value = desk.run("apply", str(desk.folder), "--serial", "0")
    assert (code, value["processes"]) == (ExitCode.DONE, 3), value
    assert site.has_everywhere(1)
    assert desk.run("out", "b")[0] == ExitCode.DONE
    assert site.has_everywhere(2)
    code, value = desk.run("status")
    assert (code, value["behind"]) == (ExitCode.DONE, [])


def test_replaced_agent_learns_from_its_peers_in_an_outage(site: Site) -> None:
    desk = site.desk
    assert desk.run("apply", str(desk.folder), "--serial", "0")[0] == ExitCode.DONE
    desk.control(outage=True)
    site.replace_agent("agent-b")
    wait_for(lambda: site.has_everywhere(1))
