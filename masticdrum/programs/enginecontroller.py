"""The engine controller: an agent outside the data path, beside its engine."""

import secrets
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Protocol

import trio

from masticdrum.core.enginecontroller import (
    EngineControllerEffect,
    EngineControllerEvent,
    EngineControllerState,
    reduce_engine_controller,
)
from masticdrum.core.ordercopies import EngineRun
from masticdrum.model.agent_events import (
    ExtendOrder,
    IssueOrder,
    OrderAnswered,
    RunsAtLoad,
    WithdrawOrder,
)
from masticdrum.model.exchange import ExitProcess, StopRequested, Ticked
from masticdrum.model.origins import OriginQueried, OriginRecord, SendOriginReply
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.resources import ProcessLimits
from masticdrum.model.settings import EngineControllerSettings
from masticdrum.model.telemetry import Count, Log, LogNumber
from masticdrum.shell.callerserver import CallerServer
from masticdrum.shell.clock import read_clock
from masticdrum.shell.datagrams import DatagramEvent, DatagramSocket
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.loop import Loop
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.probes import ProbeHandler, Probes
from masticdrum.shell.signals import watch_reloads, watch_signals
from masticdrum.shell.supervision import log_failure, run_supervised
from masticdrum.shell.telemetry import carry_out_telemetry

ROLE = "agent"
# Reading the engine's report costs nothing from the engine's own machine, but it
# takes processor time there.
REPORT_EVERY_S = 0.25
IDLE_REPORT_EVERY_S = 1.0  # while the engine has the wanted weights
INCARNATION_BYTES = 6
STOP_S = 1.0  # for open probes after a stop
Submit = Callable[[EngineControllerEvent], None]


class EngineOrderClient(Protocol):
    """The client of the engine beside the controller."""

    async def read_report(self) -> object:
        """Read the engine's report and submit what it states."""

    async def order(self, order: IssueOrder, run: EngineRun) -> None:
        """Send an order to a run of the engine and submit its outcome."""

    def set_runs_at_load(self, runs: RunsAtLoad) -> None:
        """Set what happens to the engine's runs at the orders that follow."""

    def extend(self, extension: ExtendOrder) -> None:
        """Let an order be sent for longer."""

    def withdraw(self, order: WithdrawOrder) -> None:
        """End an order that can't be executed any more."""


class PermitStore(Protocol):
    """The calls of the platform's store that permits need."""

    async def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        """Execute a call and return its answer."""


class PlatformClientFactory(Protocol):
    """Creates an engine controller's clients of the platform."""

    def make_engine(self, submit: Submit) -> EngineOrderClient:
        """Return the client of the engine."""

    def make_store(self, meters: Metrics, submit: Submit) -> PermitStore:
        """Return the client of the store."""

    def make_watch_tasks(self, submit: Submit) -> list[Callable[[], Awaitable[None]]]:
        """Return the tasks that watch the platform."""


class EngineControllerProcess:
    """The parts of one engine controller process, wired together."""

    def __init__(
        self,
        settings: EngineControllerSettings,
        platform: PlatformClientFactory,
        nursery: trio.Nursery,
        limits: ProcessLimits,
    ) -> None:
        self.settings = settings
        self._nursery = nursery
        self.meters = Metrics()
        self.datagrams: DatagramSocket | None = None
        if settings.datagrams is not None:
            self.datagrams = DatagramSocket(settings.datagrams, self.meters)
        self.ended = trio.Event()
        self._rest = trio.CancelScope()
        self.state = EngineControllerState(
            settings.name,
            secrets.token_hex(INCARNATION_BYTES),
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
        self.store = platform.make_store(self.meters, self.loop.submit)
        self.engine = platform.make_engine(self.loop.submit)
        probes = Probes(self.meters, lambda: True, self._describe)
        handlers = {settings.metrics: ProbeHandler(probes)}
        self.server = CallerServer({**handlers}, limits, self.meters)

    def request_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        self.loop.submit(StopRequested(self.settings.grace_s))

    def reload(self, settings: EngineControllerSettings) -> None:
        """Apply changed settings; names and addresses stay as they are."""
        self.settings = settings
        self.engine.set_runs_at_load(settings.runs_at_load)
        write_event(Log(LogNumber.SETTINGS_RELOADED))

    async def read_reports(self) -> None:
        """Read the engine's report periodically until cancelled."""
        while True:
            await self.engine.read_report()
            self.loop.submit(Ticked())
            if self.state.has_work():
                await trio.sleep(REPORT_EVERY_S)
                continue
            with trio.move_on_after(IDLE_REPORT_EVERY_S) as self._rest:
                await trio.sleep_forever()

    def _reduce(
        self, event: EngineControllerEvent, now: float
    ) -> list[EngineControllerEffect]:
        effects: Sequence[EngineControllerEffect] = reduce_engine_controller(
            self.state, event, now
        )
        if self.state.has_work():
            self._rest.cancel()
        return list(effects)

    def _carry_out(self, effect: EngineControllerEffect) -> None:
        match effect:
            case ObjectGet() | ObjectPut():
                self._nursery.start_soon(self._execute_call, effect)
            case IssueOrder():
                run = self.state.ordered_run
                self._nursery.start_soon(self._execute_order, effect, run)
            case ExtendOrder():
                self.engine.extend(effect)
            case WithdrawOrder():
                self.engine.withdraw(effect)
            case Log() | Count():
                carry_out_telemetry(self.meters, effect)
            case SendOriginReply():
                if self.datagrams is not None:
                    self.datagrams.send(effect.peer, effect.reply)
            case ExitProcess():
                self.ended.set()

    def submit_datagram(self, event: DatagramEvent) -> None:
        """Submit an entry's message about a stream; agents take nothing else."""
        if isinstance(event, OriginRecord | OriginQueried):
            self.loop.submit(event)

    async def _execute_call(self, call: ObjectGet | ObjectPut) -> None:
        try:
            answer = await self.store.execute(call)
        except Exception as error:
            log_failure("permit", error)
            answer = ObjectAnswer(call.call, ObjectStatus.LOST)
        self.loop.submit(answer)

    async def _execute_order(self, order: IssueOrder, run: EngineRun) -> None:
        try:
            await self.engine.order(order, run)
        except Exception as error:
            log_failure("order", error)
            self.loop.submit(
                OrderAnswered(
                    order.order,
                    done=False,
                    settled=False,
                    detail=repr(error),
                    unanswered_at=read_clock(),
                )
            )

    def _describe(self) -> dict[str, object]:
        return {
            "name": self.state.name,
            "upstream": self.state.upstream,
            "weights": self.state.weights,
            "wanted": self.state.cluster_state.weights,
            "order": self.state.orders.order,
        }


async def run_engine_controller(
    settings: EngineControllerSettings,
    platform: PlatformClientFactory,
    read_settings: Callable[[], EngineControllerSettings | None],
    limits: ProcessLimits,
) -> None:
    """Run one engine controller until a signal stops it."""
    write_event(Log(LogNumber.STARTED, detail=f"upstream {settings.upstream}"))
    async with trio.open_nursery() as nursery:
        process = EngineControllerProcess(settings, platform, nursery, limits)

        def reload() -> None:
            changed = read_settings()
            if changed is not None:
                process.reload(changed)

        nursery.start_soon(watch_signals, process.request_shutdown)
        nursery.start_soon(watch_reloads, reload)
        for run in platform.make_watch_tasks(process.loop.submit):
            nursery.start_soon(run_supervised, "platform", run)
        nursery.start_soon(run_supervised, "reports", process.read_reports)
        if process.datagrams is not None:
            receive = partial(process.datagrams.receive, process.submit_datagram)
            nursery.start_soon(run_supervised, "datagrams", receive)
        await process.server.serve(process.ended.wait, lambda: STOP_S)
        nursery.cancel_scope.cancel()
