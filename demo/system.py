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

    ``engines``, ``services`` and ``stores`` map names to data centres. ``entry`` and
    ``agent`` are added to each program's settings, ``pool`` to the engines' pool and
    ``routes`` to the route of that name.
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
    """A running system; use it as a context manager, which stops all it started.

    ``addresses`` holds the HTTP address of every process by name: an entry's or an
    agent's own, or a stand-in's. The agent beside upstream ``x`` is ``agent-x``.
    """

    def __init__(self, plan: Plan | None = None) -> None:
        self.plan = plan or Plan()
        self.addresses: dict[str, str] = {}
        self.children: dict[str, Child] = {}
        self._agents: dict[str, str] = {}
        self._standins: dict[str, tuple[str, dict[str, Any]]] = {}
        self._healthy: dict[str, dict[str, Any]] = {}
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
        """Start a stand-in; give its address."""
        command = [sys.executable, "-m", f"tests.standins.{module}"]
        self._standins[name] = (module, faults)
        port = self.addresses.get(name, ":0").rsplit(":", 1)[1]
        command += ["--port", port, "--control", json.dumps(faults)]
        child = self.children[name] = Child(name, command, self.directory)
        self.addresses[name] = json.loads(child.read_line())["address"]
        return self.addresses[name]

    def kill(self, name: str) -> None:
        """Kills one process at once."""
        self.children[name].kill()

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.children[name].send(number)

    def heal(self) -> None:
        """End all faults, start again what has ended and wait until it is ready."""
        for child in self.children.values():
            child.send(signal.SIGCONT)
        for name, (module, faults) in self._standins.items():
            if self.children[name].process.poll() is not None:
                self.start_standin(name, module, faults)
            self.control(name, **self._healthy[name])
        programs = [*self._agents, *self.plan.entries]
        for name in programs:
            if self.children[name].process.poll() is not None:
                self.start(name)
        self.wait_ready(*programs)

    def wait_ready(self, *names: str) -> None:
        """Wait until entries and agents say that they are ready."""
        for name in names:
            wait_until(lambda name=name: self._is_ready(name), f"{name} ready", READY_S)

    def control(self, name: str, /, **changes: Any) -> dict[str, Any]:
        """Set a stand-in's faults; give its state."""
        return dict(call_json("POST", f"{self.addresses[name]}/control", changes))

    def show(self, name: str) -> dict[str, Any]:
        """Show a stand-in's state, or an entry's or agent's status."""
        is_program = name in self.plan.entries or name in self._agents
        path = "status" if is_program else "control"
        return dict(call_json("GET", f"{self.addresses[name]}/{path}"))

    def edit_tables(self, change: Callable[[Tables], Tables]) -> int:
        """Edits the tables by a conditional write; gives their new serial."""
        url = f"{self.addresses['objects']}/objects/{TABLES_PATH}"
        standing = call("GET", url)
        tables = convert(standing.body, Tables)
        edited = replace(change(tables), serial=tables.serial + 1)
        written = call("PUT", url, encode(edited), If_Match=standing.headers["etag"])
        if written.status != 200:
            raise RuntimeError(f"tables not written: status {written.status}")
        return edited.serial

    def operate(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run masticdrumctl to its end, with settings of this system."""
        command = [sys.executable, "-m", "masticdrum.programs.ctl", "--settings"]
        command += [str(self.directory / "ctl.json"), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def set_out(self, data_centre: str, out: bool) -> int:
        """Take a data centre out or back; give the tables' new serial."""

        def change(tables: Tables) -> Tables:
            rows = [
                replace(row, out=out) if row.name == data_centre else row
                for row in tables.data_centres
            ]
            return replace(tables, data_centres=rows)

        return self.edit_tables(change)

    def wait_in_force(self, serial: int) -> None:
        """Wait until every entry and agent has tables of ``serial`` or later."""
        for name in [*self.plan.entries, *self._agents]:
            wait_until(
                lambda name=name: self.show(name)["serial"] >= serial,
                f"{name} has tables of serial {serial}",
                READY_S,
            )

    def evict_caches(self) -> None:
        """Empty the engines' caches and wait until their agents were told."""
        for name in self.plan.engines:
            self.control(name, do="evict")
        for name in self.plan.engines:
            # The poll that is under way may have begun before the eviction.
            enough = self._count_event_reads(name) + 2
            wait_until(
                lambda name=name, enough=enough: (
                    self._count_event_reads(name) >= enough
                ),
                f"cache events of {name} read",
                READY_S,
            )

    def _count_event_reads(self, name: str) -> int:
        return int(self.show(name)["counts"].get("GET events", 0))

    def list_instances(self) -> list[dict[str, str]]:
        """List the rows that the instance list should show."""
        rows = [
            make_instance(name, "entry", place, self.addresses[name])
            for name, place in self.plan.entries.items()
        ]
        places = self.plan.engines | self.plan.services
        for name, address in self._agents.items():
            place = places[name.removeprefix("agent-")]
            rows.append(make_instance(name, "agent", place, address))
        for name, place in self.plan.stores.items():
            rows.append(make_instance(name, "store", place, self.addresses[name]))
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
        self._healthy = {name: self.show(name)["faults"] for name in self._standins}
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
        for name, place in self.plan.entries.items():
            http = f"{HOST}:{next(ports)}"
            self.addresses[name] = f"http://{http}"
            own = {"http": http, "credentials_file": str(credentials)}
            self._write_file(name, place, own | self.plan.entry)
        for upstream, place in upstreams.items():
            name = f"agent-{upstream}"
            http = f"{HOST}:{next(ports)}"
            self.addresses[name] = f"http://{http}"
            self._agents[name] = f"tcp://{HOST}:{next(ports)}"
            is_engine = upstream in self.plan.engines
            own = {
                "http": http,
                "pool": ENGINE_POOL if is_engine else SERVICE_POOL,
                "upstream": upstream,
                "listen": self._agents[name],
                "upstream_url": self.addresses[upstream],
                "kind": PoolKind.ENGINE if is_engine else PoolKind.SERVICE,
                "block_secret_file": str(secret),
            }
            self._write_file(name, place, own | self.plan.agent)

        operator = self.directory / "ctl.json"
        platform = {
            "object_api": self.addresses["objects"],
            "instance_list": self.addresses["instances"],
        }
        operator.write_text(json.dumps(platform, indent=2))

    def _write_file(self, name: str, place: str, own: dict[str, Any]) -> None:
        settings = {
            "name": name,
            "data_centre": place,
            "object_api": self.addresses["objects"],
            "instance_list": self.addresses["instances"],
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings | own, indent=2))

    def _write_tables(self) -> None:
        url = f"{self.addresses['objects']}/objects/{TABLES_PATH}"
        written = call("PUT", url, encode(self._make_tables()), If_None_Match="*")
        assert written.status == 201, written

    def _make_tables(self) -> Tables:
        places = sorted({*self.plan.engines.values(), *self.plan.services.values()})
        stores = [
            Store(name, place, self.addresses[name])
            for name, place in self.plan.stores.items()
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
            data_centres=[DataCentre(place, REGION) for place in places],
            stores=stores,
            pools=pools,
            routes=[
                replace(route, **self.plan.routes.get(route.name, {}))
                for route in make_routes()
                if route.pool in pooled
            ],
        )

    def _make_upstreams(self, places: dict[str, str]) -> list[Upstream]:
        return [
            Upstream(name, place, self._agents[f"agent-{name}"])
            for name, place in places.items()
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


def make_instance(name: str, role: str, place: str, address: str) -> dict[str, str]:
    """Make one row of the instance list."""
    return {
        "name": name,
        "role": role,
        "data_centre": place,
        "address": address,
        "state": "live",
    }


def pick_ports(count: int) -> list[int]:
    """Pick free ports; all are held until the last one is picked."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]
