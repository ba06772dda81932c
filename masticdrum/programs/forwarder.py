"""An entry that forwards callers' requests unchanged, as one process.

What it speaks with callers, upstreams and the platform is given to it: a ``WireForm``
and the sources that it follows.
"""

import secrets
from collections.abc import Awaitable, Callable

import trio

from masticdrum.core.clusterstate import ClusterBounds
from masticdrum.core.coldstartpacing import ColdStartBounds
from masticdrum.core.exchangestate import ExchangeState, ForwardBounds
from masticdrum.core.forwarder import ForwardEvent, reduce_forwarder
from masticdrum.core.retrywindow import RetryBounds
from masticdrum.core.storedprefixes import PrefixesReported, PrefixStoreLost
from masticdrum.core.storepolls import StorePolls
from masticdrum.model.cluster_events import ClusterEvent
from masticdrum.model.directory import CallerLimits
from masticdrum.model.exchange import (
    AbortStream,
    BeginStream,
    EndStream,
    ExchangeEffect,
    ExitProcess,
    ForwardAnswer,
    ForwardEvents,
    Refuse,
    StartAttempt,
    StopAttempt,
    StopRequested,
    Ticked,
)
from masticdrum.model.settings import ForwardSettings
from masticdrum.model.telemetry import Count, Log, LogNumber, Observe
from masticdrum.shell.asgi import Receive, Scope, Send
from masticdrum.shell.clock import TICK_S, read_clock
from masticdrum.shell.forwarding import Forwarding
from masticdrum.shell.journal import write_event
from masticdrum.shell.loop import Loop
from masticdrum.shell.meters import Meters
from masticdrum.shell.probes import Probes
from masticdrum.shell.signals import watch_reloads, watch_signals
from masticdrum.shell.telemetry import carry_out_telemetry
from masticdrum.shell.webserver import run_webserver
from masticdrum.shell.wireform import WireForm

ROLE = "entry"
SWEEP_S = 1.0  # how often idle connections are looked at
SUSPENDED_S = 0.3  # a tick that comes later than this was a suspension or a stall
AFTER_STALL_S = 0.2  # what lay in the kernel is read by then
STOP_LINGER_S = 3.0  # a balancer that asks each second leaves after two misses
HEADER_SLACK_BYTES = 32 * 1024  # so that the application itself can refuse
MAX_HEADER_BYTES = 16 * 1024
WEIGHTS_MARGIN_S = 4.0  # a request's wait at its engine before it begins, at the most
Submit = Callable[[ClusterEvent | PrefixesReported | PrefixStoreLost], None]
ChoosePolls = Callable[[], list[StorePolls]]
Follow = Callable[[Submit, Meters, ChoosePolls], list[Callable[[], Awaitable[None]]]]


class ForwarderProcess:
    """Everything that one forwarding entry is made of."""

    def __init__(
        self, settings: ForwardSettings, form: WireForm, nursery: trio.Nursery
    ) -> None:
        self.settings = settings
        self.meters = Meters()
        self.ended = trio.Event()
        bounds = describe_bounds(settings)
        self.state = ExchangeState(settings.name, ROLE, bounds, secrets.randbits(64))
        self.loop: Loop[ForwardEvent, ExchangeEffect] = Loop(
            self.state,
            self._reduce,
            self._carry_out,
            Ticked(),
            lambda: None,
            read_clock,
        )
        self.forwarding = Forwarding(
            nursery,
            self.loop.submit,
            form,
            self.meters,
            lambda: self.state.stop_accepting_at is not None,
            self.read_limits,
            self.was_stalled,
        )
        self.probes = Probes(self.meters, self._is_ready, self._describe)
        self._probe_ports = {
            int(address.rpartition(":")[2])
            for address in (settings.probes, settings.metrics)
        }
        self._was_ready = False
        self._ticked_at = read_clock()
        self._stalled_until = 0.0

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request, of a probe or of a caller."""
        if scope["server"][1] not in self._probe_ports:
            await self.forwarding.answer(scope, receive, send)
        elif not await self.probes.answer(scope, send):
            await send({"type": "http.response.start", "status": 404, "headers": []})
            await send({"type": "http.response.body", "body": b""})

    def read_limits(self) -> CallerLimits:
        """Return the limits on callers that are in force."""
        index = self.state.cluster_state.index
        return CallerLimits() if index is None else index.directory.limits

    def ask_stop(self) -> None:
        """Begin a graceful shutdown."""
        self.loop.submit(StopRequested(self.settings.grace_s))

    def reload(self, settings: ForwardSettings) -> None:
        """Take over the bounds of new settings; addresses stay as they are."""
        self.settings = settings
        self.state.bounds = describe_bounds(settings)
        self.state.cluster_state.bounds = self.state.bounds.cluster_state
        write_event(Log(LogNumber.SETTINGS_RELOADED))

    def was_stalled(self) -> bool:
        """Tell whether this process has only just begun to run again."""
        now = read_clock()
        return now < self._stalled_until or now - self._ticked_at > SUSPENDED_S

    async def tick(self) -> None:
        """Look at the time, and at idle connections; runs for ever."""
        swept_at = read_clock()
        while True:
            await trio.sleep(TICK_S)
            now = read_clock()
            late_s = now - self._ticked_at - TICK_S
            if late_s > SUSPENDED_S:
                self._stalled_until = now + AFTER_STALL_S
                facts = {"late_s": round(late_s, 3)}
                write_event(Log(LogNumber.CLOCK_JUMPED, facts={**facts}))
            self._ticked_at = now
            self.loop.submit(Ticked())
            self._tell_readiness(now)
            if now - swept_at >= SWEEP_S:
                swept_at = now
                await self.forwarding.upstreams.connections.sweep()

    def _reduce(self, event: ForwardEvent, now: float) -> list[ExchangeEffect]:
        return reduce_forwarder(self.state, event, now)

    def _carry_out(self, effect: ExchangeEffect) -> None:
        match effect:
            case ForwardEvents() | ForwardAnswer() | BeginStream() | EndStream():
                self.forwarding.give(effect)
            case AbortStream() | Refuse():
                self.forwarding.give(effect)
            case StartAttempt():
                self.forwarding.start_attempt(effect)
            case StopAttempt():
                self.forwarding.upstreams.stop(effect)
            case Log() | Count() | Observe():
                carry_out_telemetry(self.meters, effect)
            case ExitProcess():
                self.ended.set()

    def _is_ready(self) -> bool:
        return self.state.is_ready(read_clock())

    def _tell_readiness(self, now: float) -> None:
        ready = self.state.is_ready(now)
        if ready == self._was_ready:
            return
        self._was_ready = ready
        cluster_state = self.state.cluster_state
        facts = {
            "ready": ready,
            "version": cluster_state.version,
            "lease_s": round(cluster_state.lease_until - now, 3),
            "upstreams": len(cluster_state.known),
        }
        write_event(Log(LogNumber.READINESS_CHANGED, facts={**facts}))

    def _describe(self) -> dict[str, object]:
        cluster_state = self.state.cluster_state
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "version": cluster_state.version,
            "lease_s": cluster_state.lease_until - read_clock(),
            "upstreams": len(cluster_state.known),
            "fellows": self.state.count_peer_entries(),
            "open": len(self.state.exchanges),
        }


def describe_bounds(settings: ForwardSettings) -> ForwardBounds:
    """Turn settings into the reducer's bounds."""
    return ForwardBounds(
        cluster_state=ClusterBounds(settings.revoke_s, settings.drain_s),
        retries=RetryBounds(
            settings.retry_ratio, settings.retry_window_s, settings.retry_extra
        ),
        cold=ColdStartBounds(settings.cold_factor, settings.cold_slack),
        weights_s=max(0.0, settings.weights_s - WEIGHTS_MARGIN_S),
        stop_linger_s=STOP_LINGER_S,
    )


async def run_forwarder(
    settings: ForwardSettings,
    form: WireForm,
    follow: Follow,
    reread: Callable[[], ForwardSettings | None],
) -> None:
    """Run one forwarding entry until it is told to end and its requests are done."""
    write_event(Log(LogNumber.STARTED, detail=f"http {settings.http}"))
    async with trio.open_nursery() as nursery:
        process = ForwarderProcess(settings, form, nursery)

        def reload() -> None:
            changed = reread()
            if changed is not None:
                process.reload(changed)

        nursery.start_soon(watch_signals, process.ask_stop)
        nursery.start_soon(watch_reloads, reload)
        nursery.start_soon(process.loop.run_timers)
        nursery.start_soon(process.tick)
        for run in follow(
            process.loop.submit, process.meters, process.state.list_polls
        ):
            nursery.start_soon(run)
        await run_webserver(
            process.answer,
            [settings.http, settings.probes, settings.metrics],
            max_header_bytes=MAX_HEADER_BYTES + HEADER_SLACK_BYTES,
            grace_s=lambda: process.state.compute_remaining_grace(read_clock()),
            until=process.ended.wait,
            read_idle_s=lambda: process.read_limits().idle_s,
        )
        nursery.cancel_scope.cancel()
