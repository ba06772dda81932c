"""A stand-in for the platform's instance list."""

from collections import deque
from typing import Any

import msgspec
import trio

from masticdrum.model.platform import Instance
from tests.standins.server import (
    Faults,
    Reply,
    Request,
    StandIn,
    make_json_reply,
    run_standin,
)


class InstanceFaults(Faults):
    """The current list, and how many seconds the answers lag behind it."""

    instances: list[Instance] = []
    lag_s: float = 0.0


class InstanceTable:
    """The history of the list, without I/O; times are in seconds."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, list[Instance]]] = deque(maxlen=1000)

    def replace(self, instances: list[Instance], now: float) -> None:
        """Make ``instances`` the current list from ``now`` on."""
        self._history.append((now, instances))

    def list(self, lag_s: float, now: float) -> list[Instance]:
        """List the instances as they were ``lag_s`` ago."""
        visible = [rows for since, rows in self._history if since <= now - lag_s]
        return visible[-1] if visible else []


class InstanceApi(StandIn):
    """The instance list as an app; ``/control`` sets the current list."""

    def __init__(self, faults: InstanceFaults | None = None) -> None:
        super().__init__(faults or InstanceFaults())
        self.table = InstanceTable()
        self.table.replace(self.faults.instances, float("-inf"))

    def control(self, changes: dict[str, Any]) -> None:
        super().control(changes)
        if "instances" in changes:
            self.table.replace(self.faults.instances, trio.current_time())

    async def answer(self, request: Request) -> Reply:
        if request.kind != "GET instances":
            return make_json_reply({"error": "no such call"}, 404)
        rows = self.table.list(self.faults.lag_s, trio.current_time())
        return make_json_reply({"instances": msgspec.to_builtins(rows)})


if __name__ == "__main__":
    run_standin(InstanceApi)
