"""``masticdrum-entry``: accepts callers' requests and forwards them to agents."""

import secrets
import time
from pathlib import Path

import click
import trio

from masticdrum.core.entry import reduce_entry
from masticdrum.core.entrystate import EntryOptions, EntryState
from masticdrum.core.partitionstep import LedgerOptions
from masticdrum.core.peers import is_peer_link
from masticdrum.model.entry_events import (
    CloseLink,
    EntryEffect,
    EntryEvent,
    Exit,
    OpenLink,
    ReplyFrame,
    SendAnswer,
    SendEnd,
    SendFrame,
    SendRefusal,
    SendTokens,
    ShutdownRequested,
    TimerExpired,
)
from masticdrum.model.messages import Envelope
from masticdrum.model.platform import ObjectDelete, ObjectGet, ObjectList, ObjectPut
from masticdrum.model.resources import ProcessLimits
from masticdrum.model.settings import EntrySettings
from masticdrum.model.telemetry import Count, Log, LogNumber, Observe
from masticdrum.programs.commands import (
    check_option,
    load_keys_or_exit,
    settings_argument,
    unwrap_or_exit,
)
from masticdrum.shell.asgi import Receive, Scope, Send
from masticdrum.shell.callerapplication import CallerApplication
from masticdrum.shell.entrylinks import EntryLinks
from masticdrum.shell.jsonlogging import configure_logging, write_event
from masticdrum.shell.keys import LinkKeys
from masticdrum.shell.loop import Loop
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.peerlinks import PeerLinks
from masticdrum.shell.platformclients import PlatformClients
from masticdrum.shell.probes import Probes
from masticdrum.shell.processresources import read_limits
from masticdrum.shell.settings import load_credentials, load_settings
from masticdrum.shell.signals import watch_signals
from masticdrum.shell.telemetry import carry_out_telemetry
from masticdrum.shell.webserver import run_webserver

INCARNATION_BYTES = 6


class EntryProcess:
    """The parts of one entry process, wired together."""

    def __init__(
        self,
        settings: EntrySettings,
        credentials: dict[str, str],
        keys: LinkKeys | None,
        nursery: trio.Nursery,
    ) -> None:
        self.settings = settings
        self.meters = Metrics()
        self.ended = trio.Event()
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        options = EntryOptions(
            settings.name,
            settings.data_centre,
            incarnation,
            forwards=settings.listen is not None,
        )
        ledger = LedgerOptions(
            writer=incarnation,
            retention_s=settings.ledger_retention_s,
            wall_offset_s=time.time() - trio.current_time(),
        )
        self.state = EntryState(options, secrets.randbits(64), ledger)
        self.loop: Loop[EntryEvent, EntryEffect] = Loop(
            self.state,
            self._reduce,
            self._carry_out,
            TimerExpired(),
            self._receive_pending,
        )
        submit = self.loop.submit
        self.links = EntryLinks(nursery, submit, keys)
        self.peers = PeerLinks(nursery, submit, self.meters, keys)
        self.callers = CallerApplication(
            submit, credentials, settings.limits, self.meters
        )
        self.platform = PlatformClients(nursery, submit, settings)
        self.probes = Probes(self.meters, self._is_ready, self._describe)

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request from a probe or a caller."""
        if await self.probes.answer(scope, send):
            return
        await self.callers.answer(scope, receive, send)

    def request_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        self.loop.submit(ShutdownRequested(self.settings.grace_s))

    def _reduce(self, event: EntryEvent, now: float) -> list[EntryEffect]:
        return reduce_entry(self.state, event, now)

    def _receive_pending(self) -> None:
        self.links.receive_pending()
        self.peers.receive_pending()

    def _select_links(self, link: str) -> EntryLinks | PeerLinks:
        return self.peers if is_peer_link(link) else self.links

    def _carry_out(self, effect: EntryEffect) -> None:
        match effect:
            case SendFrame():
                links = self._select_links(effect.link)
                links.send(effect.link, self._make_envelope(effect))
            case ReplyFrame():
                self.peers.reply(effect.link, self._make_envelope(effect))
            case SendTokens() | SendEnd() | SendAnswer() | SendRefusal():
                self.callers.deliver(effect)
            case Log() | Count() | Observe():
                carry_out_telemetry(self.meters, effect)
            case OpenLink():
                self._select_links(effect.link).open(effect.link, effect.address)
            case CloseLink():
                self._select_links(effect.link).close(effect.link)
            case ObjectGet() | ObjectPut() | ObjectDelete() | ObjectList():
                self.platform.objects.start(effect)
            case Exit():
                self.ended.set()

    def _make_envelope(self, effect: SendFrame | ReplyFrame) -> Envelope:
        options = self.state.options
        return Envelope(
            options.name, options.incarnation, self.state.view.serial, effect.message
        )

    def _is_ready(self) -> bool:
        return self.state.view.serial > 0 and self.state.shutdown_by is None

    def _describe(self) -> dict[str, object]:
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "incarnation": self.state.options.incarnation,
            "serial": self.state.view.serial,
            "open_requests": len(self.state.completions),
            "open_calls": len(self.state.calls.by_request),
        }


async def run_entry(
    settings: EntrySettings,
    credentials: dict[str, str],
    keys: LinkKeys | None,
    limits: ProcessLimits,
) -> None:
    """Run one entry until a signal stops it and its requests are done."""
    write_event(Log(LogNumber.STARTED, detail=f"http {settings.http}"))
    async with trio.open_nursery() as nursery:
        process = EntryProcess(settings, credentials, keys, nursery)
        if settings.listen is not None:
            process.peers.listen(settings.listen)
        nursery.start_soon(process.loop.run_timers)
        nursery.start_soon(process.platform.instances.run)
        nursery.start_soon(watch_signals, process.request_shutdown)
        process.loop.submit(TimerExpired())
        await run_webserver(
            process.answer,
            settings.http,
            max_header_bytes=settings.limits.max_header_bytes,
            grace_s=settings.grace_s,
            until=process.ended.wait,
            limits=limits,
            metrics=process.meters,
            max_body_bytes=settings.limits.max_body_bytes,
            write_timeout_s=settings.limits.write_timeout_s,
        )
        process.links.close_all()
        process.peers.close_all()
        nursery.cancel_scope.cancel()


@click.command()
@settings_argument
@check_option
def main(settings: Path, check: bool) -> None:
    """Run an entry with the SETTINGS in a JSON file."""
    loaded = unwrap_or_exit(load_settings(settings, EntrySettings))
    limits = unwrap_or_exit(read_limits(loaded.resources))
    credentials = unwrap_or_exit(load_credentials(Path(loaded.credentials_file)))
    keys = load_keys_or_exit(loaded.keys_file)
    if check:
        click.echo(f"{settings}: ok")
        return
    configure_logging("masticdrum-entry", loaded.name)
    trio.run(run_entry, loaded, credentials, keys, limits)


if __name__ == "__main__":
    main()
