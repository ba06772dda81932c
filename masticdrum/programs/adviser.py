"""An agent outside the data path, as one process beside its engine."""

import secrets
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import trio

from masticdrum.core.enginecontroller import (
    EngineControllerEffect,
    EngineControllerEvent,
    EngineControllerState,
    reduce_engine_controller,
)
from masticdrum.model.agent_events import IssueOrder
from masticdrum.model.exchange import ExitProcess, StopRequested, Ticked
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut
from masticdrum.model.settings import EngineControllerSettings
from masticdrum.model.telemetry import Count, Log, LogNumber
from masticdrum.shell.asgi import Receive, Scope, Send
from masticdrum.shell.clock import read_clock
from masticdrum.shell.journal import write_event
from masticdrum.shell.loop import Loop
from masticdrum.shell.meters import Meters
from masticdrum.shell.probes import Probes
from masticdrum.shell.signals import watch_signals
from masticdrum.shell.telemetry import carry_out_telemetry
from masticdrum.shell.webserver import run_webserver

ROLE = "agent"
REPORT_EVERY_S = 0.25  # free from the engine's own machine
LIFE_BYTES = 6
MAX_HEADER_BYTES = 16 * 1024
Submit = Callable[[EngineControllerEvent], None]


class OrderedEngine(Protocol):
    """The engine beside the agent."""

    async def read_report(self) -> object:
        """Read the engine's report and tell of it."""

    async def order(self, order: IssueOrder, instance: str) -> None:
        """Give an order and tell how it ended."""


class AskedStore(Protocol):
    """The platform's store, as far as permits need it."""

    async def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        """Carry out a call and return its answer."""


class AdviserParts(Protocol):
    """What the platform gives an agent."""

    def make_engine(self, submit: Submit) -> OrderedEngine:
        """Return the client of the engine."""

    def make_store(self, meters: Meters) -> AskedStore:
        """Return the client of the store."""

    def follow(self, submit: Submit) -> list[Callable[[], Awaitable[None]]]:
        """Return what follows the platform."""


class AdviserProcess:
    """Everything that one such agent is made of."""

    def __init__(
        self,
        settings: EngineControllerSettings,
        parts: AdviserParts,
        nursery: trio.Nursery,
    ) -> None:
        self._nursery = nursery
        self.meters = Meters()
        self.ended = trio.Event()
        self.state = EngineControllerState(
            settings.name,
            secrets.token_hex(LIFE_BYTES),
            settings.upstream,
            secrets.randbits(64),
        )
        self.loop: Loop[EngineControllerEvent, EngineControllerEffect] = Loop(
            self.state,
            self._reduce,
            self._carry_out,
            Ticked(),
            lambda: None,
            read_clock,
        )
        self.store = parts.make_store(self.meters)
        self.engine = parts.make_engine(self.loop.submit)
        self.probes = Probes(self.meters, lambda: True, self._describe)

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one probe."""
        if not await self.probes.answer(scope, send):
            await send({"type": "http.response.start", "status": 404, "headers": []})
            await send({"type": "http.response.body", "body": b""})

    async def read_reports(self) -> None:
        """Read the engine's report at an interval; runs for ever."""
        while True:
            await self.engine.read_report()
            self.loop.submit(Ticked())
            await trio.sleep(REPORT_EVERY_S)

    def _reduce(
        self, event: EngineControllerEvent, now: float
    ) -> list[EngineControllerEffect]:
        effects: Sequence[EngineControllerEffect] = reduce_engine_controller(
            self.state, event, now
        )
        return list(effects)

    def _carry_out(self, effect: EngineControllerEffect) -> None:
        match effect:
            case ObjectGet() | ObjectPut():
                self._nursery.start_soon(self._ask, effect)
            case IssueOrder():
                own = self.state.find_own_engine()
                instance = "" if own is None else own.upstream.name
                self._nursery.start_soon(self.engine.order, effect, instance)
            case Log() | Count():
                carry_out_telemetry(self.meters, effect)
            case ExitProcess():
                self.ended.set()

    async def _ask(self, call: ObjectGet | ObjectPut) -> None:
        self.loop.submit(await self.store.execute(call))

    def _describe(self) -> dict[str, object]:
        return {
            "name": self.state.name,
            "upstream": self.state.upstream,
            "weights": self.state.weights,
            "wanted": self.state.cluster_state.weights,
            "order": self.state.orders.order,
        }


async def run_adviser(settings: EngineControllerSettings, parts: AdviserParts) -> None:
    """Run one agent until it is told to end."""
    write_event(Log(LogNumber.STARTED, detail=f"upstream {settings.upstream}"))
    async with trio.open_nursery() as nursery:
        process = AdviserProcess(settings, parts, nursery)
        nursery.start_soon(
            watch_signals,
            lambda: process.loop.submit(StopRequested(settings.grace_s)),
        )
        for run in parts.follow(process.loop.submit):
            nursery.start_soon(run)
        nursery.start_soon(process.read_reports)
        await run_webserver(
            process.answer,
            settings.metrics,
            max_header_bytes=MAX_HEADER_BYTES,
            grace_s=1.0,
            until=process.ended.wait,
        )
        nursery.cancel_scope.cancel()
