"""A new configuration makes a tenant isolated that was not."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Machines,
    Recorder,
    Request,
    Server,
    Store,
    fetch,
    has_trouble,
    is_ready,
    run_case,
    wait_until,
)

ENTRIES, ENGINES = 2, 3
KEYS = {"depot": "key-1", "yard": "key-2"}
ISOLATED = "depot"
SHARED_PARTS = 12
REQUESTS_PER_S, TRAFFIC_S, CHANGE_AT_S = 20.0, 16.0, 6.0
CONFIG_APPLY_S = 2.0
MARGIN_S = 1.0


class Engine(Server):
    """An engine that keeps the parts of prompts that it has read, by salt.

    ``made`` tells which tenant's request made each of them, and ``uses`` which parts a
    request found: when, whose it is and whose request had made the part.
    """

    def __init__(self, *args, **fields) -> None:
        super().__init__(*args, **fields)
        self.made: dict[tuple[str, str], str] = {}
        self.uses: list[tuple[str, str, str]] = []

    async def run(self, request: Request, headers: dict[str, str], writer) -> bool:
        self.record_run(request)
        self.read_prompt(request)
        await asyncio.sleep(0.05)
        body = b"id: 1\ndata: piece\n\n"
        headers["x-response-signature"] = f"signed-by-{self.name}"
        headers["x-weight-versions"] = str(self.weights)
        headers["content-type"] = "text/event-stream"
        headers["content-length"] = str(len(body))
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode() + body)
        return True

    def read_prompt(self, request: Request) -> None:
        """Find the parts of a prompt in the cache, or read and keep them."""
        salt = request.headers.get("x-cache-salt", "")
        tenant = request.headers.get("x-tenant", "")
        name = request.headers["x-request-id"]
        is_found = True
        for part in request.headers["x-prefix-hash"].split(","):
            key = (salt, part.split(":")[0])
            is_found = is_found and key in self.made
            if is_found:
                self.uses.append((name, tenant, self.made[key]))
            self.made.setdefault(key, tenant)
        self.recorder.note(f"{self.name}: {name} of {tenant} has salt {salt}")


def make_config(version: int, *, is_isolated: bool) -> dict:
    """Return a configuration."""
    route = {
        "name": "notes",
        "hostname": "desk.example",
        "pathPrefix": "/notes/",
        "routeType": "streaming",
        "timeoutMs": 10_000,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        "priority": 0,
        "service": "engines",
        "public": False,
        "sticky": True,
        "gapTargetMs": 400,
    }
    engine = {"slots": 64, "kvCapacityTokens": 109_395, "models": [{"name": "m1"}]}
    service = {"name": "engines", "healthPath": "/healthz", "engine": engine}
    return {
        "version": version,
        "routes": [route],
        "services": [{**service, "maxConnections": 740}],
        "limits": {"idleTimeoutMs": 5000},
        "tenants": [
            {
                "name": tenant,
                "apiKeys": [key],
                "isolated": is_isolated and tenant == ISOLATED,
            }
            for tenant, key in KEYS.items()
        ],
    }


async def send(recorder: Recorder, entry: str, name: str, tenant: str) -> int:
    """Send a prompt and return the status of its answer."""
    headers = {
        "Host": "desk.example",
        "X-Request-Id": name,
        "X-Deadline-Ms": "10000",
        "Authorization": f"Bearer {KEYS[tenant]}",
        "X-Model": "m1",
        "X-Token-Usage": "800,4",
        "X-Prefix-Hash": f"{random.randrange(SHARED_PARTS):08x}:600,{name[1:]}:200",
    }
    status, *_ = await fetch(entry, 8000, "/notes/1", headers, b"p", "POST")
    recorder.note(f"client: {name} of {tenant}: {status}")
    return status


async def main(recorder: Recorder, machines: Machines) -> bool:
    """Return whether prompts used what another tenant's had made, across the wall."""
    store = Store(recorder)
    store_host = machines.add()
    await store.listen(store_host, 8000)
    # Without the disruption the tenant is isolated from the start.
    store.put("config", "main", make_config(1, is_isolated=not has_trouble()))
    store.put("versions", "m1", {"model": "m1", "version": 1})
    tasks = [asyncio.ensure_future(store.expire())]
    engines = []
    for number in range(1, ENGINES + 1):
        host = machines.add()
        engine = Engine(recorder, store, f"i-engine-{number}", "engines", (host, 8001))
        engine.model = "m1"
        await engine.listen(host, 8001)
        tasks.append(asyncio.ensure_future(engine.beat()))
        engines.append(engine)
    entries = [machines.add() for _ in range(ENTRIES)]
    for number, host in enumerate(entries, start=1):
        settings = {"store_address": f"{store_host}:8000"}
        machines.start(f"entry-{number}", "entry", host, store, **settings)
    for host in entries:
        await wait_until(lambda host=host: is_ready(host), f"{host} is not ready")
    await asyncio.sleep(4.0)
    sent_at: dict[str, float] = {}
    sending = []
    begun, changed_at = recorder.now(), None
    while recorder.now() < begun + TRAFFIC_S:
        if changed_at is None and recorder.now() >= begun + CHANGE_AT_S:
            store.put("config", "main", make_config(2, is_isolated=True))
            changed_at = recorder.now()
            recorder.note(f"version 2 is acknowledged: {ISOLATED} is isolated")
        name = f"r{len(sending):08x}"
        sent_at[name] = recorder.now()
        tenant = random.choice(list(KEYS))
        request = send(recorder, random.choice(entries), name, tenant)
        sending.append(asyncio.ensure_future(request))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    statuses = await asyncio.gather(*sending)
    for task in tasks:
        task.cancel()
    if changed_at is None or statuses.count(200) < 0.8 * len(statuses):
        print("the case could not run: too few prompts were served")
        raise SystemExit(2)
    bound = changed_at + CONFIG_APPLY_S + MARGIN_S
    across = [
        (name, tenant, maker)
        for engine in engines
        for name, tenant, maker in engine.uses
        if sent_at[name] >= bound and tenant != maker and ISOLATED in (tenant, maker)
    ]
    for name, tenant, maker in across:
        recorder.note(f"{name} of {tenant} used what a request of {maker} had made")
    verdict = f"{len(across)} prompts used memory across the wall"
    recorder.note(verdict)
    print(verdict)
    return bool(across)


if __name__ == "__main__":
    run_case(main)
