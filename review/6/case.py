"""An entry without news of the store, and KV cache that newer weights have made."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from engines2 import Engine, FullStore  # noqa: E402
from standins2 import (  # noqa: E402
    HOST,
    LOOPBACK,
    Answer,
    Deployment,
    Unable,
    call,
    make_request_name,
    run_case,
)

CUT, CALM = "edge-olten-a-1", "edge-aarau-b-1"
ZONES = ("olten-a", "aarau-b", "bern-c")
ENGINES = 6
CUT_S = 5.5  # for_s of core_cut on the sheets
KEYS = {"depot": "jnbanfqasnmgkcuyj8pj", "rail": "bvk9m68k7b2ex5wa5xwy"}
SHARED, OWN = 4000, 8000  # tokens of a prompt
LARGE = 22_000  # tokens of the urgent prompt
FILLERS = 7  # prompts that each engine works on when those of the case begin
LONG_OUT = 420  # tokens that a report has
RETURNS = 6  # prompts that return to what an earlier one has shared


def make_config(store_port: int) -> dict[str, Any]:
    """Return a configuration with a patient and an urgent route to the engines."""

    def route(name: str, priority: int) -> dict[str, Any]:
        return {
            "name": f"r-{name}",
            "hostname": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": "streaming",
            "timeoutMs": 12000,
            "targetLatencyMs": 1000,
            "priority": priority,
            "service": "llm",
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": False,
            "gapTargetMs": 400,
        }

    engine = {
        "slots": 64,
        "kvCapacityTokens": 109_395,
        "kvBytes": 35136,
        "models": [{"name": "m1"}],
    }
    return {
        "version": 1,
        "routes": [route("report", 3), route("verdict", 0)],
        "services": [
            {
                "name": "llm",
                "healthPath": "/healthz",
                "maxConnections": 740,
                "coldStartS": 3.0,
                "coldPerS": 12.0,
                "engine": engine,
            },
            {
                "name": "memo",
                "kvStoreAddr": f"{LOOPBACK}:{store_port}",
                "zone": ZONES[1],
                "kvCapacityTokens": 171656,
                "maxConcurrency": 12,
                "managed": True,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "depot", "apiKeys": [KEYS["depot"]], "isolated": True},
            {"name": "rail", "apiKeys": [KEYS["rail"]]},
        ],
    }


class Case:
    """Engines with their agents, two entries, and callers."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.engines = [
            Engine(deployment, f"i-engine-{n}", ZONES[n % 3]) for n in range(ENGINES)
        ]
        self.by_name = {engine.name: engine for engine in self.engines}
        self.parts: dict[str, list[str]] = {name: [] for name in self.by_name}

    async def start(self) -> None:
        """Start everything and wait until it serves."""
        store = self.deployment.store
        memo = FullStore()
        await memo.start()
        store.put("config", "main", make_config(memo.port))
        store.put("versions", "m1", {"model": "m1", "version": 1})
        for engine in self.engines:
            await engine.start()
        for number, engine in enumerate(self.engines):
            name = f"side-{engine.zone}-{number}"
            await self.deployment.start_agent(name, engine.zone, engine.address)
        for entry, zone in ((CUT, ZONES[0]), (CALM, ZONES[1])):
            await self.deployment.start_entry(entry, zone)
        await asyncio.sleep(2.0)

    async def send(
        self, entry: str, route: str, tenant: str, parts: str, out: int
    ) -> Answer | None:
        """Send a prompt and return its answer."""
        name = make_request_name()
        tokens = sum(int(part.split(":")[1]) for part in parts.split(","))
        headers = {
            "X-Request-Id": name,
            "X-Model": "m1",
            "X-Token-Usage": f"{tokens},{out}",
            "X-Prefix-Hash": parts,
            "X-Deadline-Ms": "12010",
            "Authorization": f"Bearer {KEYS[tenant]}",
        }
        self.record.say(f"{name} is sent to {entry} by {tenant} with parts {parts}")
        port = self.deployment.http[entry]
        try:
            answer = await call(port, "POST", f"/{route}/1", headers, b"{}")
        except OSError as error:
            self.record.say(f"{name} gets no answer: {error!r}")
            return None
        whole = "whole" if answer.whole else "broken off"
        self.record.say(f"{name} gets {answer.status}, {whole}")
        return answer

    async def find_parts(self) -> None:
        """Find shared parts of each engine: where a prompt goes shows it."""
        for number in range(60):
            part = f"{0xA000 + number:08x}"
            parts = f"{part}:64,{number + 1:08x}:64"
            answer = await self.send(CALM, "report", "rail", parts, 1)
            if answer is None or answer.status != 200:
                raise Unable("a prompt was not served before any disruption")
            self.parts[answer.headers["x-instance-id"]].append(part)
            if min(len(found) for found in self.parts.values()) >= 2:
                return
        raise Unable("an engine got too few prompts")

    async def wait_for_load(self) -> Engine:
        """Wait until one of the engines has the new weights."""
        while True:
            for engine in self.engines:
                if engine.version == 2:
                    return engine
            await asyncio.sleep(0.01)


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Name new weights while an entry is cut off; return whether STALE was broken."""
    case, store, record = Case(deployment), deployment.store, deployment.record
    await case.start()
    await case.find_parts()
    tasks = []
    for number in range(FILLERS):
        for place, engine in enumerate(case.engines):
            own = f"{0xE000 + number * ENGINES + place:08x}:{OWN + SHARED - 64}"
            parts = f"{case.parts[engine.name][0]}:64,{own}"
            send = case.send(CALM, "report", "rail", parts, LONG_OUT)
            tasks.append(asyncio.create_task(send))
        await asyncio.sleep(0.1)
    for number, engine in enumerate(case.engines):
        parts = f"{case.parts[engine.name][0]}:{SHARED},{0xB000 + number:08x}:{OWN}"
        send = case.send(CUT, "report", "depot", parts, LONG_OUT)
        tasks.append(asyncio.create_task(send))
    await asyncio.sleep(0.4)
    await store.wait_for_answer(CUT, "config")
    if trouble:
        store.cut(CUT)
        record.say(f"{CUT} is partitioned from the store")
    cut_at = time.monotonic()
    store.put("versions", "m1", {"model": "m1", "version": 2})
    record.say("version 2 is acknowledged")
    engine = await case.wait_for_load()
    await asyncio.sleep(0.1)
    parts = f"{case.parts[engine.name][1]}:{LARGE - 1000},{0xC000:08x}:1000"
    urgent = case.send(CALM, "verdict", "rail", parts, 3)
    tasks.append(asyncio.create_task(urgent))
    await asyncio.sleep(0.5)
    for number in range(RETURNS):
        parts = f"{case.parts[engine.name][0]}:{SHARED},{0xD000 + number:08x}:{OWN}"
        send = case.send(CUT, "report", "depot", parts, 55)
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(0.05)
    await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    if trouble:
        store.heal(CUT)
        record.say(f"{CUT} reaches the store again")
    await asyncio.gather(*tasks)
    stale = [name for engine in case.engines for name in engine.stale]
    record.say(f"{len(stale)} requests began on KV cache of another version")
    return bool(stale)


if __name__ == "__main__":
    run_case(HERE, play)
