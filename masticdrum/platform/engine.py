"""The client of the engine beside an agent: reads its report and sends it orders."""

from collections.abc import Callable

import msgspec
import trio
from msgspec import Struct, field

from masticdrum.core.decoding import read_json
from masticdrum.core.enginecontroller import EngineReported, read_weights
from masticdrum.core.ordercopies import EngineRun
from masticdrum.core.orderexecution import (
    EngineView,
    OrderExecution,
    OrderReply,
    SendOrder,
)
from masticdrum.model.agent_events import (
    ExtendOrder,
    IssueOrder,
    OrderAnswered,
    RunsAtLoad,
    WithdrawOrder,
)
from masticdrum.model.cluster_events import Source, SourceLost, SourceRegained
from masticdrum.model.settings import EngineControllerSettings
from masticdrum.platform.objects import Count, WireWeights
from masticdrum.platform.store import StoreFailed, decode
from masticdrum.shell.asgi import JSON, Headers
from masticdrum.shell.clock import read_clock
from masticdrum.shell.controlclient import CallFailed, ControlClient
from masticdrum.shell.reachability import Reachability

CALL_TIMEOUT_S = 1.0  # the engine is on the same machine
# A report from the same machine costs nothing; a load takes over 1 s.
POLL_INTERVAL_S = 0.15
MAX_REPORT_BYTES = 2 * 1024 * 1024
METHODS = {RunsAtLoad.CONTINUE: "hot_swap", RunsAtLoad.FINISH: "queue"}
REPLIES = {
    200: OrderReply.ACCEPTED,
    202: OrderReply.ACCEPTED,
    400: OrderReply.REFUSED,
    412: OrderReply.REFUSED,
    421: OrderReply.REFUSED,
}


Submit = Callable[[EngineReported | OrderAnswered | SourceLost | SourceRegained], None]


class EngineReport(Struct):
    """The engine's report; ``sequence`` counts the orders that it accepted.

    ``born`` is the Unix millisecond of its start, zero if it is missing.
    """

    models: list[WireWeights] = field(default_factory=list)
    busy: bool = False
    sequence: Count = 0
    born: Count = 0

    def describe(self) -> EngineView:
        """Convert the report to this project's types."""
        weights = {model.name: model.version for model in self.models}
        return EngineView(weights, self.busy, self.sequence, self.born)


def read_report(body: bytes) -> EngineReport:
    """Decode the engine's report; raises ``Undecodable``."""
    return read_json(body, EngineReport)


class OrderBody(Struct):
    """An order for new weights; ``expect`` is the report's ``sequence``."""

    op: str
    model: str
    version: int
    method: str
    holder: str
    fencingToken: int  # noqa: N815
    expect: int


class Engine:
    """Reads the engine's report and sends orders to it."""

    def __init__(
        self,
        submit: Submit,
        settings: EngineControllerSettings,
    ) -> None:
        self._submit = submit
        self._reachability = Reachability(Source.ENGINE, submit)
        self._holder = settings.name
        self._runs = settings.runs_at_load
        self._withdrawn = ""
        self._extension = ExtendOrder("", 0.0)
        self._client = ControlClient(settings.upstream, MAX_REPORT_BYTES)

    async def read_report(self) -> EngineReport | None:
        """Read the report and submit it; returns None if there is none."""
        try:
            status, body = await self._call("GET", "/v1/report", [])
            if status != 200:
                raise StoreFailed(f"status {status}")
            report = decode(body, read_report)
        except StoreFailed as error:
            self._reachability.record_failure(str(error))
            return None
        self._reachability.record_success()
        self._submit(EngineReported(report.describe().weights, report.born))
        return report

    async def order(self, order: IssueOrder, run: EngineRun) -> None:
        """Execute an order to a run of the engine and submit how it ended."""
        model, version = read_weights(order.target)
        now = read_clock()
        execution = OrderExecution(order, run, model, version, self._runs, now)
        while True:
            report = await self.read_report()
            view = None if report is None else report.describe()
            self._adjust(execution, order)
            step = execution.decide(view, read_clock())
            if isinstance(step, SendOrder):
                step = execution.handle_reply(*await self._send_order(step, run.name))
            if isinstance(step, OrderAnswered):
                self._submit(step)
                return
            await trio.sleep(POLL_INTERVAL_S)

    def _adjust(self, execution: OrderExecution, order: IssueOrder) -> None:
        if self._withdrawn == order.order:
            execution.withdraw()
        if self._extension.order == order.order:
            execution.extend(self._extension.not_after)

    def set_runs_at_load(self, runs: RunsAtLoad) -> None:
        """Set what happens to the engine's runs at the orders that follow."""
        self._runs = runs

    def extend(self, extension: ExtendOrder) -> None:
        """Let an order be sent for longer."""
        self._extension = extension

    def withdraw(self, order: WithdrawOrder) -> None:
        """End an order with the engine's next report if it can't be executed."""
        self._withdrawn = order.order

    async def _send_order(
        self, order: SendOrder, instance: str
    ) -> tuple[OrderReply, str]:
        body = OrderBody(
            op="version",
            model=order.model,
            version=order.version,
            method=METHODS[order.runs],
            holder=self._holder,
            fencingToken=order.fence,
            expect=order.accepted,
        )
        headers = [
            (b"content-type", JSON.encode()),
            (b"x-expect-instance", instance.encode()),
        ]
        try:
            encoded = msgspec.json.encode(body)
            status, _ = await self._call("POST", "/v1/order", headers, encoded)
        except StoreFailed as error:
            return OrderReply.NONE, str(error)
        return REPLIES.get(status, OrderReply.LATER), f"status {status}"

    async def _call(
        self, method: str, path: str, headers: Headers, body: bytes = b""
    ) -> tuple[int, bytes]:
        try:
            return await self._client.call(
                method, path, headers, body, timeout_s=CALL_TIMEOUT_S
            )
        except CallFailed as error:
            raise StoreFailed(str(error)) from error
