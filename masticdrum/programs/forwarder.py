"""The process of an entry that forwards callers' requests unchanged.

Its protocols are passed in: the header codec for callers and upstreams, and the tasks
that exchange data with the platform.
"""

import secrets
import time
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from msgspec import Struct

from masticdrum.core.clusterstate import ClusterBounds
from masticdrum.core.coldstartpacing import ColdStartBounds
from masticdrum.core.entryrollouts import make_entry_rollouts
from masticdrum.core.exchangestate import ExchangeState, ForwardBounds
from masticdrum.core.forwarder import ForwardEvent, reduce_forwarder
from masticdrum.core.retrywindow import RetryBounds
from masticdrum.core.rolloutcontrol import RolloutObjectAnswered, RolloutParts
from masticdrum.core.rolloutsplit import describe_shares
from masticdrum.core.storedprefixes import PrefixesReported, PrefixStoreLost
from masticdrum.core.storepolls import StorePolls
from masticdrum.model.cluster_events import ClusterEvent
from masticdrum.model.crashes import CrashReport, PublishCrashReport
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
from masticdrum.model.origins import (
    SendOriginReply,
    SendToAgents,
    SendToPeers,
)
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut
from masticdrum.model.resources import ProcessLimits
from masticdrum.model.rolloutprogress import PublishRolloutProgress
from masticdrum.model.rollouts import (
    PutRolloutStatus,
    RolloutStatusAnswered,
    SendGrant,
    SendReport,
)
from masticdrum.model.settings import ForwardSettings
from masticdrum.model.telemetry import Count, Log, LogNumber, Observe
from masticdrum.shell.callerserver import CallerServer
from masticdrum.shell.clock import TICK_S, read_clock
from masticdrum.shell.datagrams import DatagramEvent, DatagramSocket
from masticdrum.shell.forwardapplication import ForwardApplication
from masticdrum.shell.headercodec import HeaderCodec
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.latest import Latest
from masticdrum.shell.loop import Loop
from masticdrum.shell.metrics import Metrics
from masticdrum.shell.probes import ProbeHandler, Probes
from masticdrum.shell.signals import watch_reloads, watch_signals
from masticdrum.shell.supervision import run_supervised
from masticdrum.shell.telemetry import carry_out_telemetry

ROLE = "entry"
INCARNATION_BYTES = 6
SWEEP_INTERVAL_S = 1.0  # between two checks of idle connections
SUSPENSION_THRESHOLD_S = 0.3  # a tick later than this: a suspension or a stall
STALL_RECOVERY_S = 0.2  # by then the data buffered in the kernel has been read
STOP_LINGER_S = 3.0  # in which connections are still accepted after a stop
WEIGHTS_MARGIN_S = 4.0  # few prompts wait longer at their engine before they begin
WEIGHTS_END_S = 1.0  # until an engine has dropped a prompt whose connection was closed
# Heartbeats after which an upstream that has crashed is registered no more: three
# without one, and time for the news.
UNREGISTER_HEARTBEATS = 5
Submit = Callable[
    [
        ClusterEvent
        | PrefixesReported
        | PrefixStoreLost
        | ObjectAnswer
        | RolloutObjectAnswered
        | RolloutStatusAnswered
    ],
    None,
]
RolloutCall = ObjectGet | ObjectPut | PutRolloutStatus | PublishRolloutProgress
ROLLOUT_PATH = "rollouts/"  # of the system's own objects
MAX_ROLLOUT_CALLS = 64  # that wait; each is made again if it is still needed
ChoosePolls = Callable[[], list[StorePolls]]


class PlatformPorts(Struct, frozen=True):
    """What an entry's platform tasks take from it and give to it.

    ``store_calls`` are calls on the system's own objects, whose answers are submitted;
    ``read_version`` returns the version of the configuration in force, ``read_bounds``
    how soon what is read has to be acted on. ``rollout_calls`` are those on orders and
    their leases, None without roll-outs.
    """

    submit: Submit
    meters: Metrics
    choose_polls: ChoosePolls
    crash_reports: Latest[CrashReport]
    store_calls: Latest[ObjectGet | ObjectPut]
    read_version: Callable[[], int]
    read_bounds: Callable[[], ClusterBounds]
    rollout_calls: trio.MemoryReceiveChannel[RolloutCall] | None = None


MakePlatformTasks = Callable[[PlatformPorts], list[Callable[[], Awaitable[None]]]]


class ForwarderProcess:
    """The parts of one forwarding entry process, wired together."""

    def __init__(
        self,
        settings: ForwardSettings,
        codec: HeaderCodec,
        nursery: trio.Nursery,
        limits: ProcessLimits,
    ) -> None:
        self.settings = settings
        self.meters = Metrics()
        self.ended = trio.Event()
        self.crash_report: Latest[CrashReport] = Latest()
        # Only the record of software versions makes calls, one at a time.
        self.store_call: Latest[ObjectGet | ObjectPut] = Latest()
        self.datagrams: DatagramSocket | None = None
        if settings.datagrams is not None:
            self.datagrams = DatagramSocket(settings.datagrams, self.meters)
        bounds = make_bounds(settings)
        self.state = ExchangeState(settings.name, ROLE, bounds, secrets.randbits(64))
        self.loop: Loop[ForwardEvent, ExchangeEffect] = Loop(
            self.state,
            self._reduce,
            self._carry_out,
            Ticked(),
            lambda: None,
            read_clock,
        )
        self.forwarding = ForwardApplication(
            nursery,
            self.loop.submit,
            codec,
            self.meters,
            lambda: self.state.stop is not None,
            self.read_limits,
            self.was_stalled,
            limits,
        )
        probes = ProbeHandler(Probes(self.meters, self._is_ready, self._describe))
        self.server = CallerServer(
            {
                settings.http: self.forwarding,
                settings.probes: probes,
                settings.metrics: probes,
            },
            limits,
            self.meters,
            settings.http,
        )
        self.state.has_agents = self.datagrams is not None
        self.state.clock_offset = time.time() - read_clock()
        self.rollout_sender: trio.MemorySendChannel[RolloutCall] | None = None
        self.rollout_calls: trio.MemoryReceiveChannel[RolloutCall] | None = None
        rollouts = make_rollouts(settings, self.state)
        if rollouts is not None:
            self.state.use_rollouts(rollouts)
            self.rollout_sender, self.rollout_calls = trio.open_memory_channel[
                RolloutCall
            ](MAX_ROLLOUT_CALLS)
        self._was_ready = False
        self._last_tick_at = read_clock()
        self._stalled_until = 0.0

    def read_limits(self) -> CallerLimits:
        """Return the current limits on callers' requests."""
        index = self.state.cluster_state.index
        return CallerLimits() if index is None else index.directory.limits

    def request_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        # The signal may have waited since the last tick.
        delay_s = max(0.0, read_clock() - self._last_tick_at)
        self.loop.submit(StopRequested(self.settings.grace_s, delay_s))

    def reload(self, settings: ForwardSettings) -> None:
        """Apply the bounds of new settings; listen addresses stay as they are."""
        self.settings = settings
        self.state.bounds = make_bounds(settings)
        self.state.cluster_state.bounds = self.state.bounds.cluster_state
        write_event(Log(LogNumber.SETTINGS_RELOADED))

    def was_stalled(self) -> bool:
        """Return whether this process has just resumed after a suspension or stall."""
        now = read_clock()
        return (
            now < self._stalled_until
            or now - self._last_tick_at > SUSPENSION_THRESHOLD_S
        )

    async def tick(self) -> None:
        """Submit ticks, detect stalls and close idle connections until cancelled."""
        swept_at = read_clock()
        while True:
            await trio.sleep(TICK_S)
            now = read_clock()
            late_s = now - self._last_tick_at - TICK_S
            if late_s > SUSPENSION_THRESHOLD_S:
                self._stalled_until = now + STALL_RECOVERY_S
                facts = {"late_s": round(late_s, 3)}
                write_event(Log(LogNumber.CLOCK_JUMPED, facts={**facts}))
            self._last_tick_at = now
            self.state.clock_offset = time.time() - now
            self.loop.submit(Ticked())
            self._log_readiness(now)
            self.server.limits.set_max_body_bytes(self.read_limits().max_body_bytes)
            if now - swept_at >= SWEEP_INTERVAL_S:
                swept_at = now
                self.forwarding.upstreams.connections.close_expired()

    def _reduce(self, event: ForwardEvent, now: float) -> list[ExchangeEffect]:
        return reduce_forwarder(self.state, event, now)

    def _carry_out(self, effect: ExchangeEffect) -> None:
        match effect:
            case (
                ForwardEvents()
                | ForwardAnswer()
                | BeginStream()
                | EndStream()
                | AbortStream()
                | Refuse()
            ):
                self.forwarding.deliver(effect)
            case StartAttempt():
                self.forwarding.start_attempt(effect)
            case StopAttempt():
                self.forwarding.upstreams.stop(effect)
            case Log() | Count() | Observe():
                carry_out_telemetry(self.meters, effect)
            case PublishCrashReport():
                self.crash_report.set(effect.report)
            case (
                ObjectGet()
                | ObjectPut()
                | PutRolloutStatus()
                | PublishRolloutProgress()
            ):
                self._call_store(effect)
            case SendReport() | SendGrant():
                self._send_rollout_message(effect)
            case SendToAgents() | SendToPeers() | SendOriginReply():
                self._send_origin_message(effect)
            case ExitProcess():
                self.ended.set()

    def _send_origin_message(
        self, effect: SendToAgents | SendToPeers | SendOriginReply
    ) -> None:
        if self.datagrams is None:
            return
        match effect:
            case SendToAgents():
                self.datagrams.send_to_hosts(effect.addresses, effect.message)
            case SendToPeers():
                for address in effect.addresses:
                    self.datagrams.send_to_address(address, effect.message)
            case SendOriginReply():
                self.datagrams.send(effect.peer, effect.reply)

    def _send_rollout_message(self, effect: SendReport | SendGrant) -> None:
        if self.datagrams is None:
            return
        if isinstance(effect, SendReport):
            self.datagrams.send_to_address(effect.address, effect.report)
        else:
            self.datagrams.send(effect.peer, effect.grant)

    def _call_store(self, call: RolloutCall) -> None:
        if isinstance(call, ObjectGet | ObjectPut) and not call.path.startswith(
            ROLLOUT_PATH
        ):
            self.store_call.set(call)
            return
        if self.rollout_sender is None:
            return
        try:
            self.rollout_sender.send_nowait(call)
        except trio.WouldBlock:
            log = Log(LogNumber.FRAME_DROPPED, detail="too many calls on roll-outs")
            write_event(log)

    def submit_datagram(self, event: DatagramEvent) -> None:
        """Submit a message of an agent or another entry."""
        self.loop.submit(event)

    def _is_ready(self) -> bool:
        return self.state.is_ready(read_clock())

    def _log_readiness(self, now: float) -> None:
        ready = self.state.is_ready(now)
        if ready == self._was_ready:
            return
        self._was_ready = ready
        cluster_state = self.state.cluster_state
        facts = {
            "ready": ready,
            "version": cluster_state.version,
            "lease_s": round(cluster_state.lease.until - now, 3),
            "upstreams": len(cluster_state.known),
        }
        write_event(Log(LogNumber.READINESS_CHANGED, facts={**facts}))

    def _describe(self) -> dict[str, object]:
        cluster_state = self.state.cluster_state
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "version": cluster_state.version,
            "lease_s": cluster_state.lease.until - read_clock(),
            "upstreams": len(cluster_state.known),
            "fellows": self.state.count_peer_entries(),
            "open": len(self.state.exchanges),
            "rollouts": describe_shares(self.state, read_clock()),
            "connections": self.server.limits.connection_count,
            "held_bytes": self.server.limits.held_bytes,
        }


def make_rollouts(
    settings: ForwardSettings, state: ExchangeState
) -> RolloutParts | None:
    """Make the parts of roll-outs, None where the settings name none."""
    if settings.rollout is None or settings.datagrams is None:
        return None

    def list_upstreams(service: str, software: str) -> list[str]:
        known = state.cluster_state.by_service.get(service, {})
        return [name for name, k in known.items() if k.upstream.software == software]

    return make_entry_rollouts(
        settings.name,
        secrets.token_hex(INCARNATION_BYTES),
        settings.datagrams,
        settings.rollout,
        list_upstreams,
    )


def make_bounds(settings: ForwardSettings) -> ForwardBounds:
    """Convert settings to the reducer's bounds."""
    unregister_s = UNREGISTER_HEARTBEATS * settings.heartbeat_s
    return ForwardBounds(
        cluster_state=ClusterBounds(
            revoke_s=settings.revoke_s,
            drain_s=settings.drain_s,
            apply_s=settings.apply_s,
            unregister_s=unregister_s,
            evacuate_s=settings.evacuate_s,
            stable_s=settings.stable_s,
        ),
        retries=RetryBounds(
            settings.retry_ratio, settings.retry_window_s, settings.retry_extra
        ),
        cold=ColdStartBounds(settings.cold_factor, settings.cold_slack),
        weights_s=max(0.0, settings.weights_s - WEIGHTS_MARGIN_S),
        weights_begin_s=max(0.0, settings.weights_s - WEIGHTS_END_S),
        stop_linger_s=STOP_LINGER_S,
        unregister_s=unregister_s,
    )


async def run_forwarder(
    settings: ForwardSettings,
    codec: HeaderCodec,
    make_platform_tasks: MakePlatformTasks,
    read_settings: Callable[[], ForwardSettings | None],
    limits: ProcessLimits,
) -> None:
    """Run one forwarding entry until a signal stops it and its requests are done."""
    write_event(Log(LogNumber.STARTED, detail=f"http {settings.http}"))
    async with trio.open_nursery() as nursery:
        process = ForwarderProcess(settings, codec, nursery, limits)

        def reload() -> None:
            changed = read_settings()
            if changed is not None:
                process.reload(changed)

        nursery.start_soon(watch_signals, process.request_shutdown)
        nursery.start_soon(watch_reloads, reload)
        nursery.start_soon(run_supervised, "timers", process.loop.run_timers)
        nursery.start_soon(run_supervised, "tick", process.tick)
        if process.datagrams is not None:
            receive = partial(process.datagrams.receive, process.submit_datagram)
            nursery.start_soon(run_supervised, "datagrams", receive)
        ports = PlatformPorts(
            process.loop.submit,
            process.meters,
            process.state.list_polls,
            process.crash_report,
            process.store_call,
            lambda: process.state.cluster_state.version,
            lambda: process.state.cluster_state.bounds,
            process.rollout_calls,
        )
        for run in make_platform_tasks(ports):
            nursery.start_soon(run_supervised, "platform", run)
        await process.server.serve(
            until=process.ended.wait,
            grace_s=lambda: process.state.compute_remaining_stop(read_clock()),
        )
        nursery.cancel_scope.cancel()
