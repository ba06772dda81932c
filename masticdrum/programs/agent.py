"""``masticdrum-agent``: runs beside one upstream; all its requests pass through it."""

import secrets
from pathlib import Path

import click
import trio

from masticdrum.core.agent import reduce_agent
from masticdrum.core.agentstate import AgentOptions, AgentState
from masticdrum.model.agent_events import (
    AgentEffect,
    AgentEvent,
    CallService,
    CancelRun,
    ExportBlock,
    FetchBlocks,
    IssueOrder,
    ReplyFrame,
    ResumeRun,
    StartRun,
)
from masticdrum.model.entry_events import Exit, ShutdownRequested, TimerExpired
from masticdrum.model.messages import Envelope
from masticdrum.model.platform import ObjectDelete, ObjectGet, ObjectList, ObjectPut
from masticdrum.model.resources import ProcessLimits
from masticdrum.model.settings import AgentSettings
from masticdrum.model.tables import PoolKind
from masticdrum.model.telemetry import Count, Log, LogNumber, Observe
from masticdrum.programs.commands import (
    check_option,
    load_keys_or_exit,
    settings_argument,
    unwrap_or_exit,
)
from masticdrum.shell.agentlinks import AgentLinks
from masticdrum.shell.asgi import Receive, Scope, Send, send_json
from masticdrum.shell.blockclient import BlockClient
from masticdrum.shell.engineclient import EngineClient
from masticdrum.shell.jsonlogging import configure_logging, write_event
from masticdrum.shell.keys import LinkKeys
from masticdrum.shell.loop import Loop
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.platformclients import PlatformClients
from masticdrum.shell.probes import Probes
from masticdrum.shell.processresources import read_limits
from masticdrum.shell.serviceclient import ServiceClient
from masticdrum.shell.settings import load_settings
from masticdrum.shell.signals import watch_signals
from masticdrum.shell.telemetry import carry_out_telemetry
from masticdrum.shell.webserver import run_webserver

INCARNATION_BYTES = 6
MAX_HEADER_BYTES = 16 * 1024


class AgentProcess:
    """The parts of one agent process, wired together."""

    def __init__(
        self, settings: AgentSettings, keys: LinkKeys | None, nursery: trio.Nursery
    ) -> None:
        self.settings = settings
        self.meters = Metrics()
        self.ended = trio.Event()
        options = AgentOptions(
            name=settings.name,
            data_centre=settings.data_centre,
            pool=settings.pool,
            upstream=settings.upstream,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
        )
        self.state = AgentState(options, secrets.randbits(64))
        self.loop: Loop[AgentEvent, AgentEffect] = Loop(
            self.state,
            self._reduce,
            self._carry_out,
            TimerExpired(),
            self._receive_pending,
        )
        submit = self.loop.submit
        url = settings.upstream_url
        self.links = AgentLinks(nursery, submit, self.meters, keys)
        self.engine = EngineClient(nursery, submit, url, settings.timeouts)
        self.blocks = BlockClient(
            nursery,
            submit,
            settings,
            options.incarnation,
            lambda: self.state.engine.boot,
        )
        self.service = ServiceClient(nursery, submit, url, settings.timeouts)
        self.platform = PlatformClients(nursery, submit, settings)
        self.probes = Probes(self.meters, self._is_ready, self._describe)

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request; only probes are served."""
        if await self.probes.answer(scope, send):
            return
        await send_json(send, 404, {"error": f"{scope['path']} does not exist"})

    def request_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        self.loop.submit(ShutdownRequested(self.settings.grace_s))

    async def poll_load(self) -> None:
        """Poll the upstream's load report until cancelled."""
        if self.settings.kind is PoolKind.SERVICE:
            await self.service.poll_load()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.blocks.poll_events)
            await self.engine.poll_load()

    def _reduce(self, event: AgentEvent, now: float) -> list[AgentEffect]:
        return reduce_agent(self.state, event, now)

    def _receive_pending(self) -> None:
        self.links.receive_pending()

    def _carry_out(self, effect: AgentEffect) -> None:
        match effect:
            case ReplyFrame():
                self.links.send(effect.link, self._make_envelope(effect))
            case StartRun() | ResumeRun() | CancelRun():
                self._control_run(effect)
            case CallService():
                self.service.call(effect)
            case Log() | Count() | Observe():
                carry_out_telemetry(self.meters, effect)
            case ObjectGet() | ObjectPut() | ObjectDelete() | ObjectList():
                self.platform.objects.start(effect)
            case FetchBlocks() | ExportBlock():
                self.blocks.start(effect)
            case IssueOrder():
                self.engine.issue_order(effect)
            case Exit():
                self.ended.set()

    def _control_run(self, effect: StartRun | ResumeRun | CancelRun) -> None:
        match effect:
            case StartRun():
                self.engine.start(effect)
            case ResumeRun():
                self.engine.resume(effect)
            case CancelRun():
                self.engine.cancel(effect)

    def _make_envelope(self, effect: ReplyFrame) -> Envelope:
        options = self.state.options
        return Envelope(
            options.name, options.incarnation, self.state.view.serial, effect.message
        )

    def _is_ready(self) -> bool:
        state = self.state
        if self.settings.kind is PoolKind.ENGINE and not state.admission.gate.trusted:
            return False
        ready = state.view.serial > 0 and state.engine.reachable
        return ready and state.shutdown_by is None

    def _describe(self) -> dict[str, object]:
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "upstream": self.settings.upstream,
            "incarnation": self.state.options.incarnation,
            "serial": self.state.view.serial,
            "running": len(self.state.running),
            "waiting": len(self.state.admission.list_waiting()),
        }


async def run_agent(
    settings: AgentSettings, keys: LinkKeys | None, limits: ProcessLimits
) -> None:
    """Run one agent until a signal stops it and its runs are done."""
    write_event(Log(LogNumber.STARTED, detail=f"listen {settings.listen}"))
    async with trio.open_nursery() as nursery:
        process = AgentProcess(settings, keys, nursery)
        process.links.listen(settings.listen)
        nursery.start_soon(process.loop.run_timers)
        nursery.start_soon(process.platform.instances.run)
        nursery.start_soon(process.poll_load)
        nursery.start_soon(watch_signals, process.request_shutdown)
        process.loop.submit(TimerExpired())
        await run_webserver(
            process.answer,
            settings.http,
            max_header_bytes=MAX_HEADER_BYTES,
            grace_s=settings.grace_s,
            until=process.ended.wait,
            limits=limits,
            metrics=process.meters,
        )
        process.links.close_all()
        nursery.cancel_scope.cancel()


@click.command()
@settings_argument
@check_option
def main(settings: Path, check: bool) -> None:
    """Run an agent with the SETTINGS in a JSON file."""
    loaded = unwrap_or_exit(load_settings(settings, AgentSettings))
    limits = unwrap_or_exit(read_limits(loaded.resources))
    keys = load_keys_or_exit(loaded.keys_file)
    if check:
        click.echo(f"{settings}: ok")
        return
    configure_logging("masticdrum-agent", loaded.name)
    trio.run(run_agent, loaded, keys, limits)


if __name__ == "__main__":
    main()
