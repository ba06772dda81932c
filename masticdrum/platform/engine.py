"""The model engine beside an agent: its report, and the orders it is given."""

from collections.abc import Callable

import httpcore
import msgspec
import trio
from msgspec import Struct, field

from masticdrum.core.adviser import EngineReported, read_weights
from masticdrum.model.agent_events import GiveOrder, OrderAnswered
from masticdrum.platform.objects import WireWeights
from masticdrum.platform.store import StoreFailed, decode
from masticdrum.shell.clock import read_clock
from masticdrum.shell.upstreamstream import LeanBackend

CALL_S = 1.0  # the engine is on the same machine
ORDER_S = 15.0  # a load behind runs that finish first, or an order carried out late
POLL_S = 0.15  # reports are free from here; a load takes over a second
ACCEPTED = (200, 202)
REFUSED = (400, 412, 421)  # a repeat of the same order meets the same answer


class EngineReport(Struct):
    """What the engine says of itself; ``sequence`` counts the orders it accepted."""

    models: list[WireWeights] = field(default_factory=list)
    busy: bool = False
    sequence: int = 0

    def list_weights(self) -> dict[str, int]:
        """Return the version of each model that is loaded."""
        return {model.name: model.version for model in self.models}


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
    """Reads the engine's report and carries orders to it."""

    def __init__(
        self,
        submit: Callable[[EngineReported | OrderAnswered], None],
        address: str,
        holder: str,
    ) -> None:
        self._submit = submit
        self._url = f"http://{address}"
        self._holder = holder
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, network_backend=LeanBackend()
        )

    async def read_report(self) -> EngineReport | None:
        """Read the report and tell of it; None if there is none to be had."""
        try:
            status, body = await self._call("GET", "/v1/report", [], None)
            if status != 200:
                return None
            report = decode(body, EngineReport)
        except StoreFailed:
            return None
        self._submit(EngineReported(report.list_weights()))
        return report

    async def order(self, order: GiveOrder, instance: str) -> None:
        """Give an order until it is done, refused or out of time, and tell how.

        An order without an answer may be carried out seconds later. It is given again
        under the same fencing number and the same ``expect``, so that one of the two
        takes effect at most.
        """
        model, version = read_weights(order.target)
        give_up_at = read_clock() + ORDER_S
        accepted = False
        detail = "no answer"
        while read_clock() < give_up_at:
            report = await self.read_report()
            if report is None:
                await trio.sleep(POLL_S)
                continue
            loaded = report.list_weights().get(model, 0)
            if loaded >= version and not report.busy:
                self._submit(OrderAnswered(order.order, done=True))
                return
            if report.busy or accepted or read_clock() >= order.not_after:
                accepted = accepted and report.busy
                await trio.sleep(POLL_S)
                continue
            status = await self._give(order, model, version, report, instance)
            if status in REFUSED:
                self._submit(OrderAnswered(order.order, False, detail=f"{status}"))
                return
            accepted = status in ACCEPTED
            detail = f"status {status}"
            await trio.sleep(POLL_S)
        self._submit(OrderAnswered(order.order, done=False, detail=detail))

    async def _give(
        self,
        order: GiveOrder,
        model: str,
        version: int,
        report: EngineReport,
        instance: str,
    ) -> int:
        body = OrderBody(
            op="version",
            model=model,
            version=version,
            method="queue",
            holder=self._holder,
            fencingToken=order.fence,
            expect=report.sequence,
        )
        headers = [
            ("Content-Type", "application/json"),
            ("X-Expect-Instance", instance),
        ]
        try:
            encoded = msgspec.json.encode(body)
            status, _ = await self._call("POST", "/v1/order", headers, encoded)
        except StoreFailed:
            return 0
        return status

    async def _call(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes | None,
    ) -> tuple[int, bytes]:
        try:
            with trio.fail_after(CALL_S):
                response = await self._pool.request(
                    method, f"{self._url}{path}", headers=headers, content=body
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            OSError,
            trio.TooSlowError,
        ) as error:
            raise StoreFailed(f"{method} {path}: {error!r}") from error
        return response.status, response.content
