"""Many processes are killed at once, just after the first server of a new version."""

import asyncio
import importlib.util
import os
import signal
import sys
from pathlib import Path
from types import ModuleType

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import Machines, Recorder, has_trouble  # noqa: E402

BROKEN = 11  # run.sh turns it into 1, which Python itself uses for errors
OLD_ENGINES = 6
ENTRIES = 4
TRAFFIC_S = 20.0
RELEASE_AT_S, KILL_AT_S = 6.0, 9.0
RESTART_S = 0.5
BACK_S = 4.0  # from the kill until clients come to a killed entry again
# 6 of 11 machines, a share of 0.545: one entry, the agent beside the only server of the
# new version, and four of the six agents beside servers of the old one.
KILLED_ENTRY = "entry-1"
KILLED = (KILLED_ENTRY, "agent-1", "agent-2", "agent-3", "agent-4", "agent-7")


def load_earlier_case() -> ModuleType:
    """Load the client and the engines that review/3 uses."""
    path = HERE.parent / "3" / "case.py"
    spec = importlib.util.spec_from_file_location("lost_entry", path)
    if spec is None or spec.loader is None:
        raise ImportError(path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module.ENTRIES, module.OLD_ENGINES = ENTRIES, OLD_ENGINES
    return module


async def kill(machines: Machines, commands: dict[str, tuple[list[str], dict]]) -> None:
    """Kill the processes at once; the platform starts them again after a moment."""
    for name in KILLED:
        machines.send_signal(name, signal.SIGKILL)
    for name in KILLED:
        machines.processes[name].wait()
    await asyncio.sleep(RESTART_S)
    for name in KILLED:
        commands[name]()


async def play(recorder: Recorder, machines: Machines) -> bool:
    """Return whether too few of the streams that were taken up went on."""
    earlier = load_earlier_case()
    starts = {}
    start = machines.start

    def remember(name: str, *args: object, **more: object) -> None:
        starts[name] = lambda: start(name, *args, **more)
        start(name, *args, **more)

    machines.start = remember
    fleet = earlier.Fleet(recorder, machines)
    await fleet.start()
    await asyncio.sleep(4.0)
    streams: list = []
    running = []
    begun, planned, is_released, killed_at = recorder.now(), [], False, None
    while recorder.now() < begun + TRAFFIC_S:
        now = recorder.now()
        if not is_released and now >= begun + RELEASE_AT_S:
            is_released = True
            planned.append(asyncio.ensure_future(fleet.add_engine("v2")))
        if killed_at is None and now >= begun + KILL_AT_S:
            killed_at = now
            if has_trouble():
                planned.append(asyncio.ensure_future(kill(machines, starts)))
        streams.append(earlier.Stream(recorder, len(streams)))
        hosts = list(fleet.entries.values())
        if has_trouble() and killed_at is not None and now < killed_at + BACK_S:
            hosts = hosts[1:]
        running.append(asyncio.ensure_future(streams[-1].run(hosts)))
        await asyncio.sleep(1 / earlier.STREAMS_PER_S)
    await asyncio.gather(*running, *planned)
    fleet.tasks = [task for task in fleet.tasks if task.cancel()]
    new = [bool(stream.last) for stream in streams]
    taken_up = [stream.went_on for stream in streams if stream.was_taken_up]
    mixed = sum(len(stream.versions) > 1 for stream in streams)
    verdict = (
        f"{sum(new)} of {len(new)} new streams began, {sum(taken_up)} of"
        f" {len(taken_up)} that were taken up went on, {mixed} of two versions"
    )
    recorder.note(verdict)
    print(verdict)
    if sum(new) < 0.8 * len(new):
        raise RuntimeError("too few streams began")
    if len(taken_up) < earlier.MIN_TAKEN_UP:
        return False
    share = sum(taken_up) / len(taken_up)
    return share < earlier.MIN_SHARE * sum(new) / len(new)


def main() -> int:
    """Play the case and return the status of the process."""
    recorder = Recorder(HERE)
    machines = Machines(recorder)

    async def bounded() -> bool:
        async with asyncio.timeout(110):
            return await play(recorder, machines)

    status = 2
    try:
        status = BROKEN if asyncio.run(bounded()) else 0
    except Exception as error:
        print(f"the case could not run: {error!r}")
    except SystemExit:
        pass
    finally:
        machines.stop()
    verdict = {0: "the rule held", BROKEN: "the rule was broken"}
    recorder.note(verdict.get(status, "could not run"))
    return status


if __name__ == "__main__":
    os._exit(main())
