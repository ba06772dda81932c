"""A stand-in for a plain service, which counts every execution."""

from collections import Counter, defaultdict
from enum import StrEnum
from typing import Any

import trio

from tests.standins.server import (
    AbortConnection,
    Faults,
    Reply,
    Request,
    StandIn,
    make_json_reply,
    run_standin,
)


class CallFault(StrEnum):
    """How a call fails, and whether before or after it takes effect."""

    NONE = "none"
    BREAK_BEFORE = "break_before"
    BREAK_AFTER = "break_after"
    HANG_BEFORE = "hang_before"
    HANG_AFTER = "hang_after"
    FAIL_BEFORE = "fail_before"


class ServiceFaults(Faults):
    """Faults of a service; times are seconds.

    ``fault`` applies to the next ``fault_calls`` calls; -1 means all calls. A call
    takes effect after ``before_s``, even if its caller has disconnected by then, and
    is answered ``after_s`` later.
    """

    fault: CallFault = CallFault.NONE
    fault_calls: int = -1
    before_s: float = 0.0
    after_s: float = 0.0


class ExecutionTable:
    """Counts of executions, by workspace and key."""

    def __init__(self) -> None:
        self._counts: defaultdict[str, Counter[str]] = defaultdict(Counter)

    def execute(self, workspace: str, key: str) -> int:
        """Execute a call; return how often this key has run, including this time."""
        self._counts[workspace][key] += 1
        return self._counts[workspace][key]

    def count(self, workspace: str | None = None) -> dict[str, int]:
        """Count the executions of each key, in one workspace or in all."""
        if workspace is not None:
            return dict(self._counts[workspace])
        return dict(sum(self._counts.values(), Counter()))


class Service(StandIn):
    """A plain service as an app."""

    def __init__(self, faults: ServiceFaults | None = None) -> None:
        super().__init__(faults or ServiceFaults())
        self.table = ExecutionTable()

    def show(self) -> dict[str, Any]:
        return super().show() | {"executions": self.table.count()}

    async def answer(self, request: Request) -> Reply:
        match request.kind:
            case "POST calls":
                return await self._answer_call(request)
            case "GET executions":
                return make_json_reply(self.table.count(request.query.get("workspace")))
        return make_json_reply({"error": "no such call"}, 404)

    async def _answer_call(self, request: Request) -> Reply:
        fault = self._next_fault()
        if fault is CallFault.BREAK_BEFORE:
            raise AbortConnection
        if fault is CallFault.FAIL_BEFORE:
            return make_json_reply({"error": "failed"}, 500)
        if fault is CallFault.HANG_BEFORE:
            await trio.sleep_forever()
        with trio.CancelScope(shield=True):
            await trio.sleep(self.faults.before_s)
        key = request.headers.get("call-key", "")
        workspace = request.headers.get("workspace", "")
        execution = self.table.execute(workspace, key)
        if fault is CallFault.BREAK_AFTER:
            raise AbortConnection
        if fault is CallFault.HANG_AFTER:
            await trio.sleep_forever()
        await trio.sleep(self.faults.after_s)
        answer = {"key": key, "workspace": workspace, "execution": execution}
        return make_json_reply(answer | {"octets": len(request.body)})

    def _next_fault(self) -> CallFault:
        if not self.faults.fault_calls:
            return CallFault.NONE
        self.faults.fault_calls -= 1 if self.faults.fault_calls > 0 else 0
        return self.faults.fault


if __name__ == "__main__":
    run_standin(Service)
