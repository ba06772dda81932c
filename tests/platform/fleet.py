"""The platform's programs as real processes, with stand-ins for all others."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import httpcore

from tests.processes.deployment import assign_free_ports, request

READY_S = 20.0
HOST = "desk.example"
KEY = "key-of-depot"


def make_config(version: int = 1, keys: list[str] | None = None) -> dict[str, Any]:
    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "maxAttempts": 2,
            "service": service,
            "public": False,
            **more,
        }

    return {
        "version": version,
        "unknown": {"ignored": True},
        "routes": [
            route("book", "non_idempotent", "desk"),
            route("look", "idempotent", "desk"),
            route("stream", "streaming", "engines", resumable=True, sticky=True),
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 100},
            {"name": "engines", "engine": {"slots": 8, "models": [{"name": "m1"}]}},
        ],
        "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 5000},
        "tenants": [{"name": "depot", "apiKeys": keys or [KEY], "priority": 1}],
    }


class Fleet:
    """Two servers of each service, a store, one entry and one agent."""

    def __init__(self, folder: Path, more: tuple[str, ...] = ()) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        names = ("store", "desk-1", "desk-2", "engine-1", "engine-2")
        names += ("entry", "entry probes", "entry metrics", "agent metrics")
        names += ("datagrams", *more)
        self.ports = assign_free_ports(names)

    def name_url(self, name: str) -> str:
        return f"http://127.0.0.1:{self.ports[name]}"

    def start(self) -> None:
        self.run("store", "tests.standins.metadata", "--port", str(self.ports["store"]))
        for name in ("desk-1", "desk-2", "engine-1", "engine-2"):
            control = json.dumps({"id": f"i-{name}"})
            port = str(self.ports[name])
            module = "tests.standins.signedserver"
            self.run(name, module, "--port", port, "--control", control)
        for name in ("store", "desk-1", "desk-2", "engine-1", "engine-2"):
            self.wait_for(name, "/control")
        self.put("config", "main", make_config())
        for name in ("desk-1", "desk-2", "engine-1", "engine-2"):
            self.register(name)
        self.start_entry()

    def register(self, name: str, **changes: Any) -> None:
        entry = {
            "service": "desk" if name.startswith("desk") else "engines",
            "address": f"127.0.0.1:{self.ports[name]}",
            "zone": "olten-a",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "models": [{"name": "m1", "version": 1}] if "engine" in name else [],
        }
        self.put("servers", f"i-{name}", entry | changes)

    def put(self, kind: str, name: str, spec: Any) -> None:
        url = f"{self.name_url('store')}/v1/objects/{kind}"
        body = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        answer = request("PUT", f"{url}/{name}", body=body)
        if answer.status == 404:
            answer = request("POST", url, body=body)
        assert answer.status == 200, answer.content

    def read(self, kind: str, name: str) -> dict[str, Any] | None:
        url = f"{self.name_url('store')}/v1/objects/{kind}/{name}"
        answer = request("GET", url)
        if answer.status == 404:
            return None
        stored: dict[str, Any] = json.loads(answer.content)
        return stored

    def delete(self, kind: str, name: str) -> None:
        url = f"{self.name_url('store')}/v1/objects/{kind}/{name}"
        assert request("DELETE", url).status == 200

    def write_settings(self, name: str, **more: Any) -> Path:
        settings = {
            "name": name,
            "data_centre": "olten-a",
            "metrics": f"127.0.0.1:{self.ports[f'{name} metrics']}",
            "store": f"127.0.0.1:{self.ports['store']}",
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings | more))
        return path

    def start_entry(self, name: str = "entry", **more: Any) -> None:
        settings = self.write_settings(
            name,
            http=f"127.0.0.1:{self.ports[name]}",
            probes=f"127.0.0.1:{self.ports[f'{name} probes']}",
            **more,
        )
        self.run(name, "masticdrum.platform.entry", settings=settings)
        self.wait_for(f"{name} probes", "/readyz")

    def start_agent(self, **more: Any) -> None:
        upstream = f"127.0.0.1:{self.ports['engine-1']}"
        settings = self.write_settings("agent", upstream=upstream, **more)
        self.run("agent", "masticdrum.platform.agent", settings=settings)

    def run(self, name: str, module: str, *args: str, settings: Path | None = None):
        log = (self.folder / f"{name}.log").open("ab")
        environment = dict(os.environ)
        if settings is not None:
            environment["MASTICDRUM_BOOT"] = str(settings)
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdout=log,
            stderr=log,
            env=environment,
        )

    def wait_for(self, name: str, path: str, status: int = 200) -> None:
        self.wait_until(
            lambda: self.request_status(name, path) == status, f"{name}{path}"
        )

    def request_status(self, name: str, path: str) -> int:
        try:
            return request("GET", self.name_url(name) + path).status
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return 0

    def wait_until(self, holds: Any, what: str) -> None:
        end = time.monotonic() + READY_S
        while not holds():
            assert time.monotonic() < end, f"{what}: {self.read_logs()}"
            time.sleep(0.05)

    def read_logs(self) -> str:
        paths = (self.folder / "entry.log", self.folder / "agent.log")
        return "".join(path.read_text() for path in paths if path.exists())

    def control(self, name: str, **changes: Any) -> dict[str, Any]:
        body = json.dumps(changes).encode()
        answer = request("POST", f"{self.name_url(name)}/control", body=body)
        assert answer.status == 200, answer.content
        shown: dict[str, Any] = json.loads(answer.content)
        return shown

    def ask(
        self,
        path: str,
        name: str,
        key: str = KEY,
        body: bytes = b"",
        entry: str = "entry",
        **headers: str,
    ) -> httpcore.Response:
        sent = {
            "Host": HOST,
            "X-Request-Id": name,
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": "4000",
            **headers,
        }
        return request("POST", self.name_url(entry) + path, sent, body)

    def count_runs(self, name: str) -> int:
        servers = ("desk-1", "desk-2", "engine-1", "engine-2")
        return sum(self.control(server)["runs"].get(name, 0) for server in servers)

    def stop(self) -> None:
        for process in self.running.values():
            process.send_signal(signal.SIGKILL)
            process.wait()
