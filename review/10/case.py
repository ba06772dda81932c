"""One lost answer of the store, and an entry that sends to an evacuated zone."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import (  # noqa: E402
    HOST,
    LOOPBACK,
    Deployment,
    Request,
    Unable,
    call,
    find_ports,
    listen,
    make_answer,
    make_request_name,
    run_case,
)

ENTRY = "edge-olten-a-1"
ZONES = ("olten-a", "aarau-b", "bern-c")
KEY = "jnbanfqasnmgkcuyj8pj"
EVACUATE_S = 5.0  # evacuateMs
STABLE_S = 3.0  # stableWindowMs
SETTLE_S = 0.3  # more than that between the lost answer and the evacuation
POWER_OFF_S = 5.6  # from the acknowledgement until the zone is switched off
CALLS_PER_S = 30
WORK_S = 0.0225


def make_config() -> dict[str, Any]:
    """Return a configuration with two routes to one service."""

    def route(name: str, kind: str) -> dict[str, Any]:
        return {
            "name": f"r-{name}",
            "hostname": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": 2000,
            "targetLatencyMs": 125,
            "priority": 1,
            "service": "desk",
            "maxAttempts": 2,
            "public": False,
        }

    service = {"name": "desk", "healthPath": "/healthz", "maxConnections": 220}
    return {
        "version": 1,
        "routes": [route("look", "idempotent"), route("book", "non_idempotent")],
        "services": [service | {"coldStartS": 0, "coldPerS": 0}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "depot", "apiKeys": [KEY], "priority": 1}],
    }


class Case:
    """Servers in three zones, callers, and the requests that reached each zone."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.reached: list[tuple[float, str, str]] = []
        self.statuses: dict[str, int] = {}
        self.is_off: set[str] = set()
        self.sent = 0

    async def start_server(self, zone: str) -> None:
        """Start a server of the service in a zone, and register it."""
        port = find_ports(1)[0]
        name = f"i-{zone}"

        async def handle(request: Request, writer: Any) -> None:
            request_name = request.headers.get("x-request-id", "")
            named = {"X-Request-Id": request_name, "X-Instance-Id": name}
            if request.headers.get("x-expect-instance", name) != name:
                writer.write(make_answer(421, headers=named))
                return
            if zone in self.is_off:
                self.record.say(
                    f"request {request_name} is sent to {zone}, which is off"
                )
                await asyncio.sleep(3600)
            self.reached.append((self.record.now(), zone, request_name))
            await asyncio.sleep(WORK_S)
            named |= {"X-Response-Signature": f"signed.{request_name}"}
            writer.write(make_answer(200, b"r" * 800, named))

        await listen(port, handle)
        registration = {
            "service": "desk",
            "address": f"{LOOPBACK}:{port}",
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "born": time.time_ns() // 1_000_000,
            "sequence": 1,
        }
        self.deployment.store.put("servers", name, registration)

    async def send(self) -> None:
        """Send one request."""
        headers = {
            "X-Request-Id": make_request_name(),
            "X-Deadline-Ms": "1002",
            "Authorization": f"Bearer {KEY}",
        }
        port = self.deployment.http[ENTRY]
        self.sent += 1
        kind = "booking" if self.sent % 2 else "lookup"
        method, path = ("POST", "/book/1") if self.sent % 2 else ("GET", "/look/1")
        try:
            status = (await call(port, method, path, headers)).status
        except OSError:
            status = 0
        outcome = f"{kind} {status}"
        self.statuses[outcome] = self.statuses.get(outcome, 0) + 1

    async def send_all(self) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.send())
                await asyncio.sleep(1 / CALLS_PER_S)

    async def wait_for_fresh_watch(self) -> None:
        """Wait until the entry has just begun to watch the evacuations."""
        store = self.deployment.store
        end = time.monotonic() + 20
        while time.monotonic() < end:
            begun = store.watching.get((ENTRY, "evacuations"), 0.0)
            if time.monotonic() - begun < 0.1:
                return
            await asyncio.sleep(0.01)
        raise Unable("the entry doesn't watch the evacuations")

    def count_reached(self, zone: str, since: float) -> list[tuple[float, str, str]]:
        """List the requests that reached a zone since a time."""
        return [row for row in self.reached if row[1] == zone and row[0] >= since]


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Evacuate one zone after the other; return whether EVAC was broken."""
    case, store, record = Case(deployment), deployment.store, deployment.record
    store.put("config", "main", make_config())
    for zone in ZONES:
        await case.start_server(zone)
    await deployment.start_entry(ENTRY, ZONES[0])
    callers = asyncio.create_task(case.send_all())
    await asyncio.sleep(3)
    first, second = ZONES[0], ZONES[1]
    store.put("evacuations", first, {})
    record.say(f"the evacuation of {first} is acknowledged")
    await asyncio.sleep(EVACUATE_S)
    await case.wait_for_fresh_watch()
    if trouble:
        store.lose_next(ENTRY, "evacuations")
    store.delete("evacuations", first)
    record.say(f"{first} is taken back")
    if trouble:
        await asyncio.wait_for(store.lost.wait(), 2)
    await asyncio.sleep(STABLE_S + SETTLE_S)
    store.put("evacuations", second, {})
    acknowledged = record.now()
    record.say(f"the evacuation of {second} is acknowledged")
    await asyncio.sleep(POWER_OFF_S)
    case.is_off.add(second)
    record.say(f"{second} is switched off")
    await asyncio.sleep(3)
    callers.cancel()
    late = case.count_reached(second, acknowledged + EVACUATE_S)
    for at, zone, name in case.reached:
        if at > acknowledged - 1:
            record.lines.append(
                f"{at:8.3f} request {name} reaches the server in {zone}"
            )
    record.say(f"answers by status: {case.statuses}")
    last = max((row[0] - acknowledged for row in late), default=0.0)
    record.say(
        f"{len(late)} requests reached {second} more than {EVACUATE_S} s after the "
        f"acknowledgement, the last after {last:.3f} s"
    )
    return bool(late)


if __name__ == "__main__":
    run_case(HERE, play)
