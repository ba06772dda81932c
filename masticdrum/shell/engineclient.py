"""An HTTP client of the model engine beside an agent."""

from collections.abc import AsyncIterator, Callable

import httpcore
import msgspec
import trio
from msgspec import Struct

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.agent_events import (
    CancelRun,
    IssueOrder,
    LoadReported,
    OrderAnswered,
    ResumeRun,
    RunBegun,
    RunEnded,
    RunFailed,
    RunTokens,
    StartRun,
)
from masticdrum.model.settings import UpstreamTimeouts
from masticdrum.model.tables import Urgency
from masticdrum.shell.answerguard import make_pool
from masticdrum.shell.boundedcall import call_bounded
from masticdrum.shell.streamlines import LineTooLong, split_lines

MAX_CONNECTIONS = 512
ORDER_TIMEOUT_S = 60.0
PRIORITIES = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.BACKGROUND: 2}
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    OSError,
    LineTooLong,
)

EngineEvent = RunBegun | RunTokens | RunEnded | RunFailed | LoadReported | OrderAnswered


class StreamLine(Struct):
    """One line of a run's stream; its kind shows in which fields are set."""

    begun: bool = False
    version: str = ""
    cached: int = 0
    recomputed: int = 0
    first: int = 0
    tokens: tuple[str, ...] = ()
    end: str = ""


class LoadAnswer(Struct):
    """The engine's load report."""

    boot: str
    version: str
    running: int


class EngineClient:
    """Starts, resumes and cancels runs, and reads the engine's load."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[EngineEvent], None],
        url: str,
        timeouts: UpstreamTimeouts,
    ) -> None:
        self._nursery = nursery
        self._submit = submit
        self._url = url.rstrip("/")
        self._timeouts = timeouts
        self._pool = make_pool(MAX_CONNECTIONS)
        self._scopes: dict[str, trio.CancelScope] = {}

    def start(self, effect: StartRun) -> None:
        """Start a run; its tokens arrive as events."""
        body = msgspec.json.encode(
            {
                "run": effect.attempt,
                "workspace": effect.workspace,
                "prompt": effect.prompt,
                "delivered": effect.delivered,
                "max_tokens": effect.max_tokens,
                "priority": PRIORITIES[effect.urgency],
                "version": effect.version,
                "blocks": effect.blocks,
            }
        )
        self._read_in_background(effect.attempt, "POST", "/runs", body)

    def resume(self, effect: ResumeRun) -> None:
        """Read a run's tokens from ``first`` on over a new connection."""
        target = f"/runs/{effect.attempt}?first={effect.first}"
        self._read_in_background(effect.attempt, "GET", target, None)

    def cancel(self, effect: CancelRun) -> None:
        """Stop reading a run and cancel it at the engine."""
        scope = self._scopes.pop(effect.attempt, None)
        if scope is not None:
            scope.cancel()
        self._nursery.start_soon(self._delete, effect.attempt)

    def issue_order(self, effect: IssueOrder) -> None:
        """Order the engine to load weights, unless the order has expired."""
        if trio.current_time() >= effect.not_after:
            self._submit(
                OrderAnswered(effect.order, False, detail="the order has expired")
            )
            return
        self._nursery.start_soon(self._post_order, effect)

    async def poll_load(self) -> None:
        """Read the load report at an interval; runs forever."""
        while True:
            self._submit(await self._read_load())
            await trio.sleep(self._timeouts.load_every_s)

    def _read_in_background(
        self, attempt: str, method: str, target: str, body: bytes | None
    ) -> None:
        old = self._scopes.pop(attempt, None)
        if old is not None:
            old.cancel()
        scope = trio.CancelScope()
        self._scopes[attempt] = scope
        self._nursery.start_soon(self._read, scope, attempt, method, target, body)

    async def _read(
        self,
        scope: trio.CancelScope,
        attempt: str,
        method: str,
        target: str,
        body: bytes | None,
    ) -> None:
        with scope:
            failed = await self._read_stream(attempt, method, target, body)
            if self._scopes.get(attempt) is scope:
                del self._scopes[attempt]
            if failed is not None:
                self._submit(failed)

    async def _read_stream(
        self, attempt: str, method: str, target: str, body: bytes | None
    ) -> RunFailed | None:
        try:
            async with self._pool.stream(
                method,
                f"{self._url}{target}",
                content=body,
                extensions=self._make_extensions(),
            ) as response:
                if response.status != 200:
                    ran = method == "GET"
                    return RunFailed(attempt, ran, detail=f"status {response.status}")
                return await self._submit_lines(attempt, response.aiter_stream())
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return RunFailed(attempt, method == "GET", detail=repr(error))
        except httpcore.ReadTimeout:
            return RunFailed(
                attempt, True, silent=True, detail="no data within the time limit"
            )
        except (
            *CONNECTION_ERRORS,
            httpcore.TimeoutException,
            Undecodable,
        ) as error:
            return RunFailed(attempt, True, detail=repr(error))

    async def _submit_lines(
        self, attempt: str, chunks: AsyncIterator[bytes]
    ) -> RunFailed | None:
        async for data in split_lines(chunks):
            line = read_json(data, StreamLine)
            if line.tokens:
                self._submit(RunTokens(attempt, line.first, line.tokens))
            elif line.begun:
                self._submit(
                    RunBegun(attempt, line.version, line.cached, line.recomputed)
                )
            elif line.end:
                self._submit(RunEnded(attempt, line.end))
                return None
        return RunFailed(attempt, True, detail="the stream ended early")

    async def _delete(self, attempt: str) -> None:
        with trio.move_on_after(self._timeouts.silence_s):
            try:
                await call_bounded(self._pool, "DELETE", f"{self._url}/runs/{attempt}")
            except (*CONNECTION_ERRORS, httpcore.TimeoutException):
                return

    async def _post_order(self, effect: IssueOrder) -> None:
        body = msgspec.json.encode(
            {
                "order": effect.order,
                "action": effect.action,
                "target": effect.target,
                "fence": effect.fence,
            }
        )
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), ORDER_TIMEOUT_S)
        try:
            answer = await call_bounded(
                self._pool,
                "POST",
                f"{self._url}/orders",
                content=body,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            self._submit(OrderAnswered(effect.order, False, detail=repr(error)))
        except (*CONNECTION_ERRORS, httpcore.TimeoutException) as error:
            self._submit(OrderAnswered(effect.order, False, False, repr(error)))
        else:
            detail = f"status {answer.status}"
            done = answer.status == 200
            self._submit(OrderAnswered(effect.order, done, detail=detail))

    async def _read_load(self) -> LoadReported:
        with trio.move_on_after(self._timeouts.silence_s):
            try:
                report = await call_bounded(self._pool, "GET", f"{self._url}/load")
                if report.status != 200:
                    return LoadReported(False)
                answer = read_json(report.body, LoadAnswer)
            except (*CONNECTION_ERRORS, Undecodable):
                return LoadReported(False)
            return LoadReported(True, answer.running, answer.boot, answer.version)
        return LoadReported(False)

    def _make_extensions(self) -> dict[str, dict[str, float]]:
        silence_s = self._timeouts.silence_s
        return {
            "timeout": {
                "connect": self._timeouts.connect_s,
                "read": silence_s,
                "write": silence_s,
                "pool": silence_s,
            }
        }
