"""Several entries, two versions of a service and callers, as real processes."""

import json
import signal
import time
from itertools import cycle
from pathlib import Path
from threading import Event, Thread
from typing import Any

import httpcore

from tests.platform.fleet import Fleet, make_config
from tests.processes.deployment import request

OLD, NEW = "v1", "v2"
OLD_SERVERS = ("desk-1", "desk-2")
NEW_SERVERS = ("desk-3", "desk-4")
ENTRIES = ("entry-1", "entry-2", "entry-3")
ROLLOUT = {"exposure_share": 0.1, "exposure_slack": 50, "rollback_s": 5}
CALLERS = 8
PAUSE_S = 0.02  # of a caller between two requests
WORK_S = 0.01


class Callers:
    """Callers that send one request after the other until they are stopped."""

    def __init__(self, fleet: "RolloutFleet", paths: tuple[str, ...]) -> None:
        self.fleet = fleet
        self.paths = paths
        self.statuses: list[tuple[float, int]] = []
        self.ended = Event()
        self.threads = [Thread(target=self.call, args=(n,)) for n in range(CALLERS)]

    def __enter__(self) -> "Callers":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *failure: object) -> None:
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def call(self, caller: int) -> None:
        paths = cycle(self.paths)
        number = 0
        while not self.ended.wait(PAUSE_S):
            number += 1
            entries = [e for e in ENTRIES if e in self.fleet.running]
            entry = entries[number % len(entries)]
            try:
                answer = self.fleet.ask(next(paths), f"c{caller}-{number}", entry=entry)
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                continue  # its entry was killed
            self.statuses.append((time.monotonic(), answer.status))

    def list_failed(self, since: float = 0.0) -> list[int]:
        return [s for at, s in self.statuses if at >= since and s != 200]


class RolloutFleet(Fleet):
    """Three entries, and two servers of each version of the desk."""

    def __init__(self, folder: Path) -> None:
        parts = ("", " probes", " metrics", " datagrams")
        entries = tuple(f"{entry}{part}" for entry in ENTRIES for part in parts)
        super().__init__(folder, (*NEW_SERVERS, *entries))
        self.ordered_at = 0.0
        self.runs_before = 0

    def start(self, rollout: dict[str, Any] | None = ROLLOUT) -> None:
        """Start all but the new version's servers."""
        self.run("store", "tests.standins.metadata", "--port", str(self.ports["store"]))
        self.wait_for("store", "/control")
        self.put("config", "main", make_config())
        for name in OLD_SERVERS:
            self.start_server(name, OLD)
        more = {} if rollout is None else {"rollout": rollout}
        for entry in ENTRIES:
            datagrams = f"127.0.0.1:{self.ports[f'{entry} datagrams']}"
            self.start_entry(entry, datagrams=datagrams, **more)

    def start_server(self, name: str, version: str, **faults: Any) -> None:
        control = json.dumps({"id": f"i-{name}", "work_s": WORK_S} | faults)
        port = str(self.ports[name])
        module = "tests.standins.signedserver"
        self.run(name, module, "--port", port, "--control", control)
        self.wait_for(name, "/control")
        self.register(name, version=version, born=1)

    def start_target(self, **faults: Any) -> None:
        for name in NEW_SERVERS:
            self.start_server(name, NEW, **faults)

    def order(self, duration_s: float) -> None:
        """Order that the traffic moves; before it no new server has had any."""
        spec = {"service": "desk", "target": NEW, "durationS": duration_s}
        self.runs_before = self.count_all_runs(OLD_SERVERS)
        self.ordered_at = time.monotonic()
        self.put("rollouts", "desk", spec)

    def find_status(self) -> dict[str, Any] | None:
        stored = self.read("rollouts", "desk")
        return None if stored is None else stored["status"]

    def find_state(self) -> str | None:
        status = self.find_status()
        return None if status is None else status["state"]

    def wait_for_final(self, within_s: float) -> str | None:
        """Return the final state, or the last one when the time is over."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            state = self.find_state()
            if state in ("completed", "rolled_back"):
                return state
            time.sleep(0.05)
        return self.find_state()

    def find_decider(self) -> str | None:
        stored = self.read("masticdrum-rollouts", "desk")
        if stored is None:
            return None
        entry, _, _ = stored["spec"]["holder"].partition("/")
        return str(entry)

    def count_all_runs(self, servers: tuple[str, ...]) -> int:
        return sum(sum(self.control(name)["runs"].values()) for name in servers)

    def count_bad(self) -> int:
        return sum(self.control(name)["bad"] for name in NEW_SERVERS)

    def read_shares(self, entry: str) -> dict[str, Any]:
        url = f"{self.name_url(f'{entry} probes')}/status"
        shown: dict[str, Any] = json.loads(request("GET", url).content)["rollouts"]
        return shown

    def stop_old(self) -> None:
        """Stop the old servers at once, as the platform does after ``completed``."""
        for name in OLD_SERVERS:
            self.kill(name)
            self.delete("servers", f"i-{name}")

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def read_logs(self) -> str:
        paths = [self.folder / f"{entry}.log" for entry in ENTRIES]
        return "".join(path.read_text()[-3000:] for path in paths if path.exists())
