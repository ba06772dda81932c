"""SIGHUP to the agents, as the platform sends when a settings file has changed."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Machines, Recorder, Server, Store, fetch, has_trouble, run_case

ENGINES = 7
SIGNALLED = 2  # of the agents; a share of .29
SIGNALS = 3  # from which on a process that ends by itself is in a crash loop
PAUSE_S = 4.0
MAX_CRASHING = 2  # machines; with so many, and a tenth of all, the day counts nothing


class Engine(Server):
    """An engine that gets no requests in this case."""


async def main(recorder: Recorder, machines: Machines) -> bool:
    """Return whether two or more agents have ended by themselves three times."""
    store = Store(recorder)
    store_host = machines.add()
    await store.listen(store_host, 8000)
    settings = {"store_address": f"{store_host}:8000"}
    store.put("versions", "m1", {"model": "m1", "version": 1})
    tasks = [asyncio.ensure_future(store.expire())]
    hosts = {}
    for number in range(1, ENGINES + 1):
        host = hosts[f"agent-{number}"] = machines.add()
        engine = Engine(recorder, store, f"i-engine-{number}", "engines", (host, 8001))
        engine.model = "m1"
        await engine.listen(host, 8001)
        tasks.append(asyncio.ensure_future(engine.beat()))
    for name, host in hosts.items():
        machines.start(name, "agent", host, store, app=f"{host}:8001", **settings)
    signalled = list(hosts)[:SIGNALLED]
    ends = dict.fromkeys(hosts, 0)
    for _ in range(SIGNALS):
        await asyncio.sleep(PAUSE_S)
        for name, host in hosts.items():
            status, *_ = await fetch(host, 7701, "/healthz")
            if status != 200:
                print(f"the case could not run: {name} is not up")
                raise SystemExit(2)
            if has_trouble() and name in signalled:
                machines.send_signal(name, signal.SIGHUP)
        await asyncio.sleep(1.0)
        for name, host in hosts.items():
            code = machines.processes[name].poll()
            if code is None:
                continue
            recorder.note(f"{name}: ended by itself with {code}")
            ends[name] += 1
            # The platform restarts a process that has ended.
            machines.start(name, "agent", host, store, app=f"{host}:8001", **settings)
    for task in tasks:
        task.cancel()
    crashing = [name for name, count in ends.items() if count >= SIGNALS]
    recorder.note(f"ends of their own: {ends}")
    print(f"agents that ended by themselves three times: {crashing}")
    return len(crashing) >= MAX_CRASHING


if __name__ == "__main__":
    run_case(main)
