"""A whole system on loopback: stand-ins, agents and entries, each a process."""

import json
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from contextlib import ExitStack
from hashlib import sha256
from pathlib import Path
from secrets import token_hex
from tempfile import TemporaryDirectory
from typing import Any, Self

from msgspec import Struct, convert, field, to_builtins
from msgspec.json import encode
from msgspec.structs import replace

from demo.caller import call, call_json
from demo.processes import Child, stop_all, wait_until
from masticdrum.model.tables import (
    ColdStart,
    DataCentre,
    Pool,
    PoolKind,
    Route,
    Store,
    Tables,
    Upstream,
    Urgency,
)

HOST = "127.0.0.1"
REGION = "ch-mittelland"
ENGINE_POOL = "profile-llm"
SERVICE_POOL = "lathe-desk"
URGENT_ROUTE = "wear-reports"
NORMAL_ROUTE = "flange-notes"
BOOKING_ROUTE = "lathe-bookings"
TOKENS = {"olten-depot": "olten-token", "aarau-depot": "aarau-token"}
TABLES_PATH = "config/tables"
SECRET_BYTES = 16
READY_S = 60.0  # seconds for any process to become ready


class Plan(Struct):
    """What a system consists of, and the faults that its stand-ins start with.

    ``engines``, ``services``, ``stores`` and ``entries`` map names to data centres.
    ``entry`` and ``agent`` override settings of each entry and agent, ``pool``
    overrides fields of the engine pool and ``routes`` those of the named routes.
    """

    engines: dict[str, str] = field(
        default_factory=lambda: {
            "profile-llm-1": "olten-a",
            "profile-llm-2": "olten-a",
            "profile-llm-3": "aarau-b",
            "profile-llm-4": "aarau-b",
        }
    )
    services: dict[str, str] = field(
        default_factory=lambda: {"lathe-desk-1": "aarau-b"}
    )
    stores: dict[str, str] = field(default_factory=lambda: {"scan-cache": "olten-a"})
    entries: dict[str, str] = field(
        default_factory=lambda: {"entry-1": "olten-a", "entry-2": "aarau-b"}
    )
    engine_faults: dict[str, Any] = field(default_factory=dict)
    entry: dict[str, Any] = field(default_factory=dict)
    agent: dict[str, Any] = field(default_factory=dict)
    pool: dict[str, Any] = field(default_factory=dict)
    routes: dict[str, dict[str, Any]] = field(default_factory=dict)


class System:
    """A running system; as a context manager it stops every process it started.

    ``addresses`` holds the HTTP address of every process by name: an entry's or an
    agent's own, or a stand-in's. The agent beside upstream ``x`` is ``agent-x``.
    """

    def __init__(self, plan: Plan | None = None) -> None:
        self.plan = plan or Plan()
        self.addresses: dict[str, str] = {}
        self.children: dict[str, Child] = {}
        self._agents: dict[str, str] = {}
        self._standins: dict[str, tuple[str, dict[str, Any]]] = {}
        self._initial_faults: dict[str, dict[str, Any]] = {}
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        with ExitStack() as stack:
            directory = stack.enter_context(TemporaryDirectory(prefix="masticdrum-"))
            self.directory = Path(directory)
            stack.callback(self._stop)
            self._start()
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    @property
    def entries(self) -> list[str]:
        """The addresses of the entries, in the plan's order."""
        return [self.addresses[name] for name in self.plan.entries]

    def start(self, name: str) -> None:
        """Start an entry or an agent with its settings, also after it has ended."""
        kind = "entry" if name in self.plan.entries else "agent"
        module = f"masticdrum.programs.{kind}"
        settings = str(self.directory / f"{name}.json")
        command = [sys.executable, "-m", module, settings]
        self.children[name] = Child(name, command, self.directory)

    def start_standin(self, name: str, module: str, faults: dict[str, Any]) -> str:
        """Start a stand-in, on its former port if it has one; return its address."""
        command = [sys.executable, "-m", f"tests.standins.{module}"]
        self._standins[name] = (module, faults)
        port = self.addresses.get(name, ":0").rsplit(":", 1)[1]
        command += ["--port", port, "--control", json.dumps(faults)]
        child = self.children[name] = Child(name, command, self.directory)
        self.addresses[name] = json.loads(child.read_line())["address"]
        return self.addresses[name]

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        self.children[name].kill()

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.children[name].send(number)

    def restore(self) -> None:
        """Reset all faults, restart ended processes and wait until all are ready."""
        for child in self.children.values():
            child.send(signal.SIGCONT)
        for name, (module, faults) in self._standins.items():
            if self.children[name].process.poll() is not None:
                self.start_standin(name, module, faults)
            self.control(name, **self._initial_faults[name])
        programs = [*self._agents, *self.plan.entries]
        for name in programs:
            if self.children[name].process.poll() is not None:
                self.start(name)
        self.wait_ready(*programs)

    def wait_ready(self, *names: str) -> None:
        """Wait until the named entries and agents report that they are ready."""
        for name in names:
            wait_until(lambda name=name: self._is_ready(name), f"{name} ready", READY_S)

    def control(self, name: str, /, **changes: Any) -> dict[str, Any]:
        """Set a stand-in's faults; return its state."""
        return dict(call_json("POST", f"{self.addresses[name]}/control", changes))

    def show(self, name: str) -> dict[str, Any]:
        """Return a stand-in's state, or the status of an entry or an agent."""
        is_program = name in self.plan.entries or name in self._agents
        path = "status" if is_program else "control"
        return dict(call_json("GET", f"{self.addresses[name]}/{path}"))

    def edit_tables(self, change: Callable[[Tables], Tables]) -> int:
        """Edit the tables with a conditional write; return their new serial."""
        url = f"{self.addresses['objects']}/objects/{TABLES_PATH}"
        current = call("GET", url)
        tables = convert(current.body, Tables)
        edited = replace(change(tables), serial=tables.serial + 1)
        answer = call("PUT", url, encode(edited), If_Match=current.headers["etag"])
        if answer.status != 200:
            raise RuntimeError(f"tables not written: status {answer.status}")
        return edited.serial

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a masticdrumctl command with this system's settings."""
        command = [sys.executable, "-m", "masticdrum.programs.ctl", "--settings"]
        command += [str(self.directory / "ctl.json"), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def set_out(self, data_centre: str, out: bool) -> int:
        """Take a data centre out or back; return the new serial of the tables."""

        def change(tables: Tables) -> Tables:
            rows = [
                replace(row, out=out) if row.name == data_centre else row
                for row in tables.data_centres
            ]
            return replace(tables, data_centres=rows)

        return self.edit_tables(change)

    def wait_for_serial(self, serial: int) -> None:
        """Wait until each entry and agent has tables with ``serial`` or a later one."""
        for name in [*self.plan.entries, *self._agents]:
            wait_until(
                lambda name=name: self.show(name)["serial"] >= serial,
                f"{name} has tables of serial {serial}",
                READY_S,
            )

    def evict_caches(self) -> None:
        """Evict the engines' caches; wait until their agents have read the events."""
        for name in self.plan.engines:
            self.control(name, do="evict")
        for name in self.plan.engines:
            # The current poll may have begun before the eviction; the next one reads
            # it, and the start of the one after shows that the next one has ended.
            expected_reads = self._count_event_reads(name) + 2
            wait_until(
                lambda name=name, expected_reads=expected_reads: (
                    self._count_event_reads(name) >= expected_reads
                ),
                f"cache events of {name} read",
                READY_S,
            )

    def _count_event_reads(self, name: str) -> int:
        return int(self.show(name)["counts"].get("GET events", 0))

    def list_instances(self) -> list[dict[str, str]]:
        """Make the rows of the instance list."""
        rows = [
            make_instance(name, "entry", data_centre, self.addresses[name])
            for name, data_centre in self.plan.entries.items()
        ]
        data_centres = self.plan.engines | self.plan.services
        for name, address in self._agents.items():
            data_centre = data_centres[name.removeprefix("agent-")]
            rows.append(make_instance(name, "agent", data_centre, address))
        for name, data_centre in self.plan.stores.items():
            rows.append(make_instance(name, "store", data_centre, self.addresses[name]))
        return rows

    def _is_ready(self, name: str) -> bool:
        self.children[name].check()
        return call("GET", f"{self.addresses[name]}/readyz").status == 200

    def _start(self) -> None:
        self.start_standin("objects", "objects", {})
        self.start_standin("instances", "instances", {})
        self.start_standin("weights", "weights", {})
        for name in self.plan.stores:
            self.start_standin(name, "store", {})
        weights = {"weights": self.addresses["weights"]}
        for name in self.plan.engines:
            faults = {"name": name} | weights | self.plan.engine_faults
            self.start_standin(name, "engine", faults)
        for name in self.plan.services:
            self.start_standin(name, "service", {})
        self._write_settings()
        self._write_tables()
        self.control("instances", instances=self.list_instances())
        self._initial_faults = {
            name: self.show(name)["faults"] for name in self._standins
        }
        programs = [*self._agents, *self.plan.entries]
        for name in programs:
            self.start(name)
        self.wait_ready(*programs)

    def _stop(self) -> None:
        programs = [*self.plan.entries, *self._agents]
        running = [self.children[name] for name in programs if name in self.children]
        standins = [child for child in self.children.values() if child not in running]
        stop_all(running)
        stop_all(standins)

    def _write_settings(self) -> None:
        upstreams = self.plan.engines | self.plan.services
        ports = iter(pick_ports(2 * len(upstreams) + len(self.plan.entries)))
        secret = self.directory / "block_secret"
        secret.write_text(token_hex(SECRET_BYTES))
        credentials = self.directory / "credentials.json"
        digests = {sha256(t.encode()).hexdigest(): w for w, t in TOKENS.items()}
        credentials.write_text(json.dumps(digests))
        for name, data_centre in self.plan.entries.items():
            http = f"{HOST}:{next(ports)}"
            self.addresses[name] = f"http://{http}"
            own_settings = {"http": http, "credentials_file": str(credentials)}
            self._write_file(name, data_centre, own_settings | self.plan.entry)
        for upstream, data_centre in upstreams.items():
            name = f"agent-{upstream}"
            http = f"{HOST}:{next(ports)}"
            self.addresses[name] = f"http://{http}"
            self._agents[name] = f"tcp://{HOST}:{next(ports)}"
            is_engine = upstream in self.plan.engines
            own_settings = {
                "http": http,
                "pool": ENGINE_POOL if is_engine else SERVICE_POOL,
                "upstream": upstream,
                "listen": self._agents[name],
                "upstream_url": self.addresses[upstream],
                "kind": PoolKind.ENGINE if is_engine else PoolKind.SERVICE,
                "block_secret_file": str(secret),
            }
            self._write_file(name, data_centre, own_settings | self.plan.agent)

        ctl_settings = self.directory / "ctl.json"
        platform = {
            "object_api": self.addresses["objects"],
            "instance_list": self.addresses["instances"],
        }
        ctl_settings.write_text(json.dumps(platform, indent=2))

    def _write_file(
        self, name: str, data_centre: str, own_settings: dict[str, Any]
    ) -> None:
        settings = {
            "name": name,
            "data_centre": data_centre,
            "object_api": self.addresses["objects"],
            "instance_list": self.addresses["instances"],
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings | own_settings, indent=2))

    def _write_tables(self) -> None:
        url = f"{self.addresses['objects']}/objects/{TABLES_PATH}"
        answer = call("PUT", url, encode(self._make_tables()), If_None_Match="*")
        assert answer.status == 201, answer

    def _make_tables(self) -> Tables:
        data_centres = sorted(
            {*self.plan.engines.values(), *self.plan.services.values()}
        )
        stores = [
            Store(name, data_centre, self.addresses[name])
            for name, data_centre in self.plan.stores.items()
        ]
        engines = Pool(
            ENGINE_POOL,
            PoolKind.ENGINE,
            self._make_upstreams(self.plan.engines),
            model="profile-llm",
            version="v1",
            cold_start=ColdStart(limit=4),
            stores=list(self.plan.stores),
        )
        services = Pool(
            SERVICE_POOL, PoolKind.SERVICE, self._make_upstreams(self.plan.services)
        )
        pools = [convert(to_builtins(engines) | self.plan.pool, Pool)]
        if services.upstreams:
            pools.append(services)
        pooled = {pool.name for pool in pools}
        return Tables(
            serial=1,
            data_centres=[
                DataCentre(data_centre, REGION) for data_centre in data_centres
            ],
            stores=stores,
            pools=pools,
            routes=[
                replace(route, **self.plan.routes.get(route.name, {}))
                for route in make_routes()
                if route.pool in pooled
            ],
        )

    def _make_upstreams(self, data_centres: dict[str, str]) -> list[Upstream]:
        return [
            Upstream(name, data_centre, self._agents[f"agent-{name}"])
            for name, data_centre in data_centres.items()
        ]


def make_routes() -> list[Route]:
    """Make the routes: urgent and normal prompts, and bookings."""
    workspaces = list(TOKENS)
    return [
        Route(URGENT_ROUTE, ENGINE_POOL, workspaces, Urgency.URGENT),
        Route(NORMAL_ROUTE, ENGINE_POOL, workspaces),
        Route(
            BOOKING_ROUTE, SERVICE_POOL, workspaces, idempotent=False, deadline_s=20.0
        ),
    ]


def make_instance(
    name: str, role: str, data_centre: str, address: str
) -> dict[str, str]:
    """Make one row of the instance list."""
    return {
        "name": name,
        "role": role,
        "data_centre": data_centre,
        "address": address,
        "state": "live",
    }


def pick_ports(count: int) -> list[int]:
    """Return free ports; all sockets stay open until the last port is known."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in sockets]
