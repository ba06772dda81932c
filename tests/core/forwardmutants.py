"""Deliberate faults in the mechanisms of forwarded requests, for tests only."""

from typing import Any

import pytest
from msgspec import structs

from masticdrum.core import (
    clusterstate,
    crashsuspicion,
    exchanges,
    requestlimits,
    resumption,
    storedprefixes,
    storeoutages,
    withdrawal,
)
from masticdrum.core.attemptends import END_RULES
from masticdrum.core.cachescopes import CacheScope
from masticdrum.core.clusterstate import ClusterState
from masticdrum.core.coldstartpacing import ColdStartPacer, Place
from masticdrum.core.crashsuspicion import CrashSuspicion
from masticdrum.core.leavingupstreams import LeavingUpstreams
from masticdrum.core.orderexecution import OrderExecution
from masticdrum.core.requestlimits import RequestLimits
from masticdrum.core.retrywindow import RetryWindow
from masticdrum.core.saturation import Queue, Saturation
from masticdrum.core.softwarerecords import SoftwareRecords
from masticdrum.core.storedprefixes import StoredPrefixes
from masticdrum.core.supersededweights import SupersededWeights
from masticdrum.core.upstreampauses import UpstreamPauses
from masticdrum.model.crashes import CrashClaim
from masticdrum.model.exchange import Execution
from tests.forwarding import MODEL

Patch = pytest.MonkeyPatch


def retry_whatever_ran(patch: Patch) -> None:
    """Retry a request although it may have run."""
    may_try = exchanges._may_retry

    def try_again(state: Any, exchange: Any, ran: Execution, now: float) -> bool:
        return may_try(state, exchange, Execution.NO, now)

    patch.setattr(exchanges, "_may_retry", try_again)


def treat_unknown_as_not_run(patch: Patch) -> None:
    """Treat every end that proves nothing as "not run"."""
    for end, rule in END_RULES.items():
        if rule.ran is Execution.UNKNOWN:
            patch.setitem(END_RULES, end, structs.replace(rule, ran=Execution.NO))


def trust_any_configuration(patch: Patch) -> None:
    """Serve requests with keys however old the configuration is."""
    patch.setattr(ClusterState, "is_leased", lambda self, now: True)


def install_older_configurations(patch: Patch) -> None:
    """Install whatever configuration was read last."""
    patch.setattr(ClusterState, "version", property(lambda self: 0))


def use_draining_upstreams(patch: Patch) -> None:
    """Send new work to upstreams that are draining or in drained data centres."""

    def find(self: ClusterState, service: str, now: float) -> Any:
        return list(self.by_service.get(service, {}).values())

    patch.setattr(ClusterState, "list_usable_upstreams", find)


def keep_gone_upstreams(patch: Patch) -> None:
    """Keep upstreams whose registration is gone."""
    patch.setattr(clusterstate, "_remove_upstream", lambda *given: [])


def flood_cold_upstreams(patch: Patch) -> None:
    """Send to cold upstreams without spacing the requests."""
    patch.setattr(ColdStartPacer, "may_send", lambda *given: True)


def send_whoevers_turn_it_is(patch: Patch) -> None:
    """Let each of many entries send in each turn."""
    patch.setattr(ColdStartPacer, "_has_turn", lambda *given: True)


def retry_without_bound(patch: Patch) -> None:
    """Allow retries beyond the retry window."""
    patch.setattr(RetryWindow, "try_acquire", lambda *given: True)


def share_despite_isolation(patch: Patch) -> None:
    """Share KV cache by model alone, despite weight versions and isolation."""
    patch.setattr(
        exchanges,
        "choose_cache_scope",
        lambda state, exchange, upstream, now: CacheScope(MODEL),
    )


def fetch_for_superseded_weights(patch: Patch) -> None:
    """Treat all weights as the newest when looking up KV cache."""
    patch.setattr(SupersededWeights, "find_unloaded_until", lambda *given: float("inf"))


def start_the_bound_at_each_version(patch: Patch) -> None:
    """Count the bound on all superseded weights from the newest version."""
    find_oldest = SupersededWeights.find_oldest

    def find(self: SupersededWeights, model: str, since: float) -> int:
        newest = self._named.get(model, ())[-1:]
        return find_oldest(self, model, since) if _is_past(newest, since) else 0

    def _is_past(newest: Any, since: float) -> bool:
        return all(named.not_before <= since for named in newest)

    patch.setattr(SupersededWeights, "find_oldest", find)


def begin_on_any_weights(patch: Patch) -> None:
    """Let prompts wait at their engines past the bound on superseded weights."""
    patch.setattr(withdrawal, "may_begin", lambda *given: True)


def share_by_any_configuration(patch: Patch) -> None:
    """Share KV cache however long the configuration hasn't been the newest."""
    patch.setattr(ClusterState, "is_up_to_date", lambda self, now: True)


def let_prompts_wait_behind_walls(patch: Patch) -> None:
    """Let prompts wait at their engines while a workspace becomes isolated."""
    patch.setattr(withdrawal, "is_divided", lambda *given: False)


def take_any_silence_for_an_outage(patch: Patch) -> None:
    """Take one slow answer of the store for an outage."""
    patch.setattr(storeoutages, "OUTAGE_S", 0.0)


def count_no_freeze_in_an_outage(patch: Patch) -> None:
    """Count the time in which the process stood still as one in an outage."""
    patch.setattr(storeoutages, "MAX_GAP_S", float("inf"))


def forget_when_prefixes_were_stored(patch: Patch) -> None:
    """Treat each reported prefix as if it had always been stored."""
    handle_report = StoredPrefixes.handle_report

    def report_late(self: StoredPrefixes, event: Any, now: float) -> None:
        handle_report(self, event, float("-inf"))
        self._contents[event.store].reported_at = now

    patch.setattr(StoredPrefixes, "handle_report", report_late)


def fetch_from_silent_stores(patch: Patch) -> None:
    """Trust a store's report however old it is."""
    patch.setattr(storedprefixes, "REPORT_VALID_S", float("inf"))


def order_after_the_lease(patch: Patch) -> None:
    """Send an order however late it is."""
    decide = OrderExecution.decide

    def decide_anyway(self: OrderExecution, view: Any, now: float) -> Any:
        self._order = structs.replace(self._order, not_after=float("inf"))
        return decide(self, view, now)

    patch.setattr(OrderExecution, "decide", decide_anyway)


def resend_accepted_orders(patch: Patch) -> None:
    """Forget that the engine has accepted an order."""
    original = OrderExecution.handle_reply

    def forget(self: OrderExecution, reply: Any, detail: str) -> Any:
        ended = original(self, reply, detail)
        self._accepted = False
        return ended

    patch.setattr(OrderExecution, "handle_reply", forget)


def keep_old_lists(patch: Patch) -> None:
    """Keep lists of upstreams although something has changed."""
    patch.setattr(ClusterState, "forget_lists", lambda self: None)


def keep_old_rankings(patch: Patch) -> None:
    """Rank upstreams as they were registered at first."""
    patch.setattr(ClusterState, "forget_rankings", lambda self: None)


def refuse_without_evidence(patch: Patch) -> None:
    """Refuse although no request has waited yet."""
    patch.setattr(Queue, "compute_proven_wait", lambda *given: float("inf"))


def refuse_nothing(patch: Patch) -> None:
    """Let each request wait, however long the queue is."""
    patch.setattr(Saturation, "is_refused", lambda *given: False)


def ignore_what_others_saw_crash(patch: Patch) -> None:
    """Count only the crashes at which this entry lost requests itself."""
    apply = CrashSuspicion.apply_reports

    def apply_nothing(
        suspicion: CrashSuspicion, reports: Any, *given: float, is_list: bool
    ) -> Any:
        return apply(suspicion, (), *given, is_list=is_list)

    patch.setattr(CrashSuspicion, "apply_reports", apply_nothing)


def begin_each_quarantine_anew(patch: Patch) -> None:
    """Count crashes from when this entry learnt of them."""
    patch.setattr(crashsuspicion, "find_crashed_at", lambda claim, now, unix_now: now)


def trust_clocks_to_agree(patch: Patch) -> None:
    """Date crashes by their claims alone, as if all machines' clocks agreed."""

    def find(claim: CrashClaim, now: float, unix_now: float) -> float:
        return now - (unix_now - claim.at)

    patch.setattr(crashsuspicion, "find_crashed_at", find)


def refuse_any_implicated_part(patch: Patch) -> None:
    """Refuse any implicated part, also one that was beside the crashing one."""

    def compute(suspicion: Any, keys: tuple[str, ...], now: float) -> float:
        return 60.0 * any(key in suspicion._implicated for key in keys)

    patch.setattr(CrashSuspicion, "compute_quarantine", compute)
    patch.setattr(CrashSuspicion, "record_answer", lambda *_: [])


def take_whole_limits(patch: Patch) -> None:
    """Let each entry use the whole of a limit, as if it were alone."""
    may_send = RequestLimits.may_send

    def may_send_alone(
        limits: RequestLimits, upstream: str, born: int, place: Place, now: float
    ) -> bool:
        return may_send(limits, upstream, born, Place(0, 1, place.time_of_day), now)

    patch.setattr(RequestLimits, "may_send", may_send_alone)
    patch.setattr(requestlimits, "compute_interval", lambda per_s, members: 1 / per_s)


def resume_at_any_version(patch: Patch) -> None:
    """Let a stream that its caller takes up go on at any software version."""
    allow = resumption._allow

    def allow_anywhere(state, exchange, *given):
        verdict = allow(state, exchange, *given)
        exchange.software = None
        return verdict

    patch.setattr(resumption, "_allow", allow_anywhere)


def trust_the_only_version(patch: Patch) -> None:
    """Take the version that an entry has seen or read for the only one."""

    def begin_resumption(state, exchange, now):
        versions = state.list_software(exchange.service, now)
        if exchange.last_event is None or len(versions) > 1:
            return resumption.begin_resumption(state, exchange, now)
        return resumption._allow(state, exchange, *versions, "only version", now)

    patch.setattr(exchanges, "begin_resumption", begin_resumption)


def trust_an_unread_record(patch: Patch) -> None:
    """Take the record of versions for complete after a restore."""
    patch.setattr(SoftwareRecords, "is_complete", True)


def begin_at_unrecorded_versions(patch: Patch) -> None:
    """Let streams begin at versions that the record doesn't hold."""
    patch.setattr(SoftwareRecords, "has_confirmed", lambda *given: True)


def record_unseen_versions_as_gone(patch: Patch) -> None:
    """Take a version for gone as soon as none of its upstreams is known."""
    patch.setattr(SoftwareRecords, "_find_absence", lambda *given: given[-1])


def end_streams_with_any_answer(patch: Patch) -> None:
    """Take any answer for the rest of a stream."""
    patch.setattr(exchanges, "_answers_stream_otherwise", lambda *given: False)


def forget_who_leaves(patch: Patch) -> None:
    """Let an older registration bring an upstream back that leaves."""
    patch.setattr(LeavingUpstreams, "has_said", lambda *given: False)


def send_during_pauses(patch: Patch) -> None:
    """Send to an upstream that wants nothing for a while."""
    patch.setattr(UpstreamPauses, "is_paused", lambda *given: False)
