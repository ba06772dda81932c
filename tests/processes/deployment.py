"""Real processes on loopback: stand-ins, entries and an agent of a service pool."""

import errno
import json
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from contextlib import ExitStack
from hashlib import sha256
from pathlib import Path
from typing import Any

import httpcore
from msgspec import Struct, to_builtins

from masticdrum.model.platform import Instance, InstanceState
from masticdrum.model.tables import DataCentre, Pool, PoolKind, Route, Tables, Upstream

READY_S = 20.0
PORTS = range(10_000, 32_000)  # connections get ports from 32,768 on
WORKSPACES = ["radkranz", "gebeya"]


class CallResult(Struct, frozen=True):
    """The answer to a call, as its caller received it."""

    status: int
    replayed: bool
    value: dict[str, Any]

    @property
    def kind(self) -> str:
        """The refusal's kind and outcome, or an empty string."""
        error = self.value.get("error")
        return f"{error['kind']} {error['outcome']}" if error else ""


def assign_free_ports(names: Iterable[str]) -> dict[str, int]:
    """Return a free port for each name.

    All sockets stay open until the last port is known, so that no port is given twice.
    The ports are none that the system gives to connections, which would take them
    before a process listens there.
    """
    with ExitStack() as stack:
        ports: dict[str, int] = {}
        for name in names:
            sock = stack.enter_context(socket.socket())
            ports[name] = bind_free_port(sock)
        return ports


def bind_free_port(sock: socket.socket) -> int:
    """Bind a socket to a free port below those of connections, and return it."""
    while True:
        port = secrets.choice(PORTS)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return port


def request(
    method: str, url: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> httpcore.Response:
    with httpcore.ConnectionPool() as pool:
        return pool.request(
            method,
            url,
            headers=headers,
            content=body,
            extensions={"timeout": {"connect": 5.0, "read": 60.0}},
        )


class Deployment:
    """Two entries, one agent with its service, and their platform stand-ins."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        names = ("objects", "instances", "service", "links", "agent")
        names += ("entry-1", "entry-2", "entry-1 peers", "entry-2 peers")
        self.ports = assign_free_ports(names)

    def name_url(self, name: str) -> str:
        return f"http://127.0.0.1:{self.ports[name]}"

    def start(self) -> None:
        for name in ("objects", "instances", "service"):
            self.run(name, f"tests.standins.{name}", "--port", str(self.ports[name]))
        self.wait_for("objects", "/control")
        self.wait_for("service", "/control")
        self.wait_for("instances", "/control")
        self.put_tables()
        self.set_instances()
        self.start_agent()
        for name in ("entry-1", "entry-2"):
            self.start_entry(name)
        for name in ("agent", "entry-1", "entry-2"):
            self.wait_for(name, "/readyz")

    def run(self, name: str, module: str, *args: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args], stdout=log, stderr=log
        )

    def put_tables(self) -> None:
        agent = f"tcp://127.0.0.1:{self.ports['links']}"
        tables = Tables(
            serial=1,
            data_centres=[DataCentre("bole", "addis")],
            pools=[Pool("stall", PoolKind.SERVICE, [Upstream("stall", "bole", agent)])],
            routes=[
                Route("book", "stall", WORKSPACES, idempotent=False, deadline_s=6.0)
            ],
        )
        body = json.dumps(to_builtins(tables)).encode()
        url = f"{self.name_url('objects')}/objects/config/tables"
        assert request("PUT", url, {"If-None-Match": "*"}, body).status == 201

    def set_instances(self) -> None:
        rows = [
            Instance(name, "entry", "bole", self.peer_address(name), InstanceState.LIVE)
            for name in ("entry-1", "entry-2")
        ]
        self.control("instances", instances=to_builtins(rows))

    def peer_address(self, entry: str) -> str:
        return f"tcp://127.0.0.1:{self.ports[f'{entry} peers']}"

    def write_settings(self, name: str, own_settings: dict[str, Any]) -> str:
        settings = {
            "name": name,
            "data_centre": "bole",
            "http": f"127.0.0.1:{self.ports[name]}",
            "object_api": self.name_url("objects"),
            "instance_list": self.name_url("instances"),
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings | own_settings))
        return str(path)

    def start_agent(self) -> None:
        own_settings = {
            "pool": "stall",
            "upstream": "stall",
            "kind": "service",
            "listen": f"tcp://127.0.0.1:{self.ports['links']}",
            "upstream_url": self.name_url("service"),
        }
        self.run(
            "agent",
            "masticdrum.programs.agent",
            self.write_settings("agent", own_settings),
        )

    def start_entry(self, name: str) -> None:
        credentials = {sha256(w.encode()).hexdigest(): w for w in WORKSPACES}
        path = self.folder / "credentials.json"
        path.write_text(json.dumps(credentials))
        own_settings = {
            "credentials_file": str(path),
            "listen": self.peer_address(name),
        }
        settings = self.write_settings(name, own_settings)
        self.run(name, "masticdrum.programs.entry", settings)

    def wait_for(self, name: str, path: str) -> None:
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            try:
                if request("GET", self.name_url(name) + path).status == 200:
                    return
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                pass
            time.sleep(0.05)
        log = (self.folder / f"{name}.log").read_text()
        raise AssertionError(f"process '{name}' is not ready: {log}")

    def control(self, name: str, **changes: Any) -> None:
        body = json.dumps(changes).encode()
        answer = request("POST", f"{self.name_url(name)}/control", body=body)
        assert answer.status == 200, answer.content

    def book(
        self, entry: str, key: str, body: str = "{}", workspace: str = "gebeya"
    ) -> CallResult:
        url = f"{self.name_url(entry)}/v1/routes/book/calls"
        headers = {"Authorization": f"Bearer {workspace}", "Idempotency-Key": key}
        answer = request("POST", url, headers, body.encode())
        replayed = (b"idempotent-replayed", b"true") in answer.headers
        return CallResult(answer.status, replayed, json.loads(answer.content))

    def book_until_resolved(self, entry: str, key: str) -> CallResult:
        """Retry a booking while the refusal says that its key is still in progress."""
        deadline = time.monotonic() + READY_S
        result = self.book(entry, key)
        while result.kind.startswith("key_in_progress") and time.monotonic() < deadline:
            time.sleep(0.2)
            result = self.book(entry, key)
        return result

    def count(self, key: str) -> int:
        url = f"{self.name_url('service')}/executions"
        counts: dict[str, int] = json.loads(request("GET", url).content)
        return counts.get(key, 0)

    def wait_until_run(self, key: str) -> None:
        deadline = time.monotonic() + READY_S
        while not self.count(key):
            assert time.monotonic() < deadline, f"key '{key}' did not run"
            time.sleep(0.02)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        for name in list(self.running):
            self.send_signal(name, signal.SIGCONT)
            self.kill(name)
