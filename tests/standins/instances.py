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
    make_json,
    run_standin,
)


class InstanceFaults(Faults):
    """The list as it truly is, and the seconds by which answers lag behind it."""

    instances: list[Instance] = []
    lag_s: float = 0.0


class InstanceTable:
    """The list's history, without I/O; times are seconds."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, list[Instance]]] = deque(maxlen=1000)

    def replace(self, instances: list[Instance], now: float) -> None:
        """Make ``instances`` the true list from ``now`` on."""
        self._history.append((now, instances))

    def list(self, lag_s: float, now: float) -> list[Instance]:
        """List the instances as they were ``lag_s`` ago."""
        seen = [rows for since, rows in self._history if since <= now - lag_s]
        return seen[-1] if seen else []


class InstanceApi(StandIn):
    """The instance list as an app; ``/control`` takes the true list."""

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
            return make_json({"error": "no such call"}, 404)
        rows = self.table.list(self.faults.lag_s, trio.current_time())
        return make_json({"instances": msgspec.to_builtins(rows)})


if __name__ == "__main__":
    run_standin(InstanceApi)
