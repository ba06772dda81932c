"""Forwards one caller's request: where it is sent, what is repeated, how it ends.

At most one attempt of an exchange is alive. A request that may not be repeated is sent
again only after proof that it did not run; its caller is told "not run" only then.
"""

from masticdrum.core.attemptends import END_RULES
from masticdrum.core.candidatelist import is_cold, list_candidates
from masticdrum.core.exchangestate import Attempt, Exchange, ExchangeState
from masticdrum.core.invariants import require
from masticdrum.core.standing import Standing
from masticdrum.core.upstreamchoice import Choice, choose_upstream, estimate_work
from masticdrum.model.directory import ForwardRoute, ForwardWorkspace, RouteKind
from masticdrum.model.errors import ANSWERS, ErrorKind
from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    BeginStream,
    BreakStream,
    EndStream,
    ExchangeEffect,
    ForwardAsked,
    ForwardGone,
    PassAnswer,
    PassEvents,
    Prompt,
    Ran,
    Refuse,
    StartAttempt,
    StopAttempt,
    StreamBegun,
    StreamPassed,
)
from masticdrum.model.telemetry import (
    Count,
    Counter,
    Facts,
    Histogram,
    Log,
    LogNumber,
    Observe,
)

DEADLINE = "deadline"
MAX_REJECTIONS = 3  # sends of one request that upstreams proved not to have run
LEAST_LEFT_S = 0.02  # a send with less could not be answered in time
SILENT_TARGETS = 4.0  # a plain answer later than this many targets is given up
LEAST_SILENCE_S = 0.3  # so that a busy service's queue isn't taken for silence
SILENT_PART = 0.5  # of the time left, so that the repeat has as much
RETRY_AFTER_PART = 0.25  # of the time left; callers heed a third at most
LEAST_RETRY_AFTER_S = 0.05
LEAST_URGENT = 9  # the last rank that engines know
UNSHARED = 5  # the rank of a request whose route has none


def begin_exchange(
    state: ExchangeState, asked: ForwardAsked, now: float
) -> list[ExchangeEffect]:
    """Take a caller's request: route it, check its key, send it or refuse it."""
    index = state.beliefs.index
    if index is None:
        return _refuse_asked(state, asked, ErrorKind.TABLES_MISSING, now)
    leased = state.beliefs.is_leased(now)
    route = index.find_route(asked.host, asked.path)
    if route is None:
        kind = ErrorKind.ROUTE_UNKNOWN if leased else ErrorKind.TABLES_STALE
        return _refuse_asked(state, asked, kind, now)
    workspace = index.find_workspace(asked.key) if asked.key and leased else None
    if index.directory.keyed and not route.public and workspace is None:
        kind = ErrorKind.UNAUTHENTICATED if leased else ErrorKind.TABLES_STALE
        return _refuse_asked(state, asked, kind, now)
    exchange = _make_exchange(state, asked, route, workspace)
    state.exchanges[exchange.handle] = exchange
    state.timers.set((DEADLINE, exchange.handle), exchange.deadline)
    state.find_window(exchange.service).note_request(now)
    return [Count(Counter.EXCHANGES, route.kind.value), *_send(state, exchange, now)]


def _make_exchange(
    state: ExchangeState,
    asked: ForwardAsked,
    route: ForwardRoute,
    workspace: ForwardWorkspace | None,
) -> Exchange:
    weights = [backend.weight for backend in route.backends]
    backend = state.random.choices(route.backends, weights)[0]
    limit_s = route.timeout_s
    if asked.deadline_s is not None:
        limit_s = min(limit_s, asked.deadline_s)
    exchange = Exchange(
        asked.handle,
        asked.request,
        route,
        backend.service,
        workspace,
        asked.arrived,
        asked.arrived + limit_s,
    )
    exchange.prompt = asked.prompt
    exchange.work = estimate_work(asked.prompt)
    exchange.last_event = asked.last_event
    return exchange


def _refuse_asked(
    state: ExchangeState, asked: ForwardAsked, kind: ErrorKind, now: float
) -> list[ExchangeEffect]:
    status = ANSWERS[kind].status
    wait_s = 0.0
    if status == 503:
        left_s = asked.deadline_s if asked.deadline_s is not None else 1.0
        wait_s = _draw_wait(state, kind, left_s)
    log = Log(
        LogNumber.EXCHANGE_REFUSED,
        request=asked.request,
        detail=kind.value,
        facts={
            "status": status,
            "host": asked.host,
            "path": asked.path,
            "version": state.beliefs.version,
            "lease_s": round(state.beliefs.lease_until - now, 3),
        },
    )
    refuse = Refuse(asked.handle, kind, status, wait_s)
    return [refuse, log, Count(Counter.REFUSALS, kind.value)]


def _draw_wait(state: ExchangeState, kind: ErrorKind, left_s: float) -> float:
    most = min(ANSWERS[kind].retry_after_s, RETRY_AFTER_PART * left_s)
    return max(LEAST_RETRY_AFTER_S, most * state.random.uniform(0.5, 1.0))


def _send(state: ExchangeState, exchange: Exchange, now: float) -> list[ExchangeEffect]:
    """Send an exchange to the best upstream, or end it."""
    require(exchange.attempt is None, "an exchange has one attempt at a time")
    if exchange.deadline - now < LEAST_LEFT_S:
        return _give_up(state, exchange, ErrorKind.DEADLINE_EXCEEDED, now)
    if exchange.workspace is not None and not state.beliefs.is_leased(now):
        return _give_up(state, exchange, ErrorKind.TABLES_STALE, now)
    candidates = list_candidates(state, exchange, now)
    choice = choose_upstream(
        candidates,
        exchange.prompt,
        lambda name: state.open.get(name, 0),
        state.random,
    )
    if choice is None:
        return _give_up(state, exchange, ErrorKind.NO_UPSTREAM, now)
    known = choice.known
    upstream = known.upstream
    service = state.beliefs.find_service(upstream)
    if is_cold(known, now) and service is not None and service.cold_per_s > 0:
        fellows = state.count_fellows()
        state.pace.note(upstream.name, service.cold_per_s, fellows, now)
    state.attempts += 1
    exchange.attempt = Attempt(state.attempts, upstream.name, now)
    exchange.tried.add(upstream.name)
    load = state.open.get(upstream.name, 0)
    state.open[upstream.name] = load + exchange.work
    log = Log(
        LogNumber.EXCHANGE_SENT,
        request=exchange.request,
        attempt=str(state.attempts),
        facts={
            "route": exchange.route.name,
            "upstream": upstream.name,
            "open": load,
            "candidates": len(candidates),
            "left_s": round(exchange.deadline - now, 3),
            "version": state.beliefs.version,
            "lease_s": round(state.beliefs.lease_until - now, 3),
        },
    )
    return [_describe_attempt(state, exchange, choice, now), log]


def _describe_attempt(
    state: ExchangeState, exchange: Exchange, choice: Choice, now: float
) -> StartAttempt:
    upstream = choice.known.upstream
    left_s = exchange.deadline - now
    weights, scope = 0, ""
    sources: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    if exchange.prompt is not None:
        weights = upstream.weights.get(exchange.prompt.model, 0)
        scope = _name_cache_scope(exchange, weights)
        sources, targets = _find_places(state, exchange.prompt, scope, choice, now)
    workspace = exchange.workspace
    urgency = exchange.route.urgency
    if workspace is not None and workspace.urgency is not None:
        urgency = workspace.urgency
    return StartAttempt(
        handle=exchange.handle,
        attempt=state.attempts,
        upstream=upstream.name,
        address=upstream.address,
        workspace="" if workspace is None else workspace.name,
        left_s=left_s,
        first_wait_s=_find_patience(exchange, left_s),
        expect_weights=weights,
        cache_scope=scope,
        cache_sources=sources,
        cache_targets=targets,
        urgency=min(LEAST_URGENT, urgency) if exchange.prompt else UNSHARED,
        last_event=exchange.last_event,
    )


def _find_places(
    state: ExchangeState, prompt: Prompt, scope: str, choice: Choice, now: float
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Find where a prompt's parts are fetched from and saved.

    Stores go before the home engine: what they keep outlasts an engine's memory.
    """
    if not choice.known.upstream.weights.get(prompt.model):
        return (), ()
    index = state.beliefs.index
    stores = [] if index is None else index.stores
    places = state.parts.plan(stores, prompt, scope, now)
    if any(places.sources) or choice.holder is None:
        return places.sources, places.targets
    return (choice.holder.upstream.address,), places.targets


def _name_cache_scope(exchange: Exchange, weights: int) -> str:
    """Name what kept cache may be shared with: one version, and one wall."""
    require(exchange.prompt is not None, "only prompts have a cache")
    model = "" if exchange.prompt is None else exchange.prompt.model
    if not weights:
        # What an engine of unknown weights reads must be of use to nobody else.
        return f"{model}.unknown.{exchange.request}"
    workspace = exchange.workspace
    if workspace is not None and workspace.isolated:
        return f"{model}.{weights}.{workspace.name}"
    return f"{model}.{weights}"


def _find_patience(exchange: Exchange, left_s: float) -> float:
    route = exchange.route
    if route.kind is not RouteKind.IDEMPOTENT or exchange.sends + 1 >= (
        route.max_attempts
    ):
        return left_s
    wanted = max(LEAST_SILENCE_S, SILENT_TARGETS * route.target_s)
    return min(wanted, SILENT_PART * left_s)


def begin_stream(
    state: ExchangeState, event: StreamBegun, now: float
) -> list[ExchangeEffect]:
    """Pass the head of a stream on, unless an earlier upstream's was."""
    exchange = _find_live(state, event.handle, event.attempt)
    if exchange is None or exchange.begun:
        return []
    exchange.begun = True
    exchange.maybe_ran = True
    return [BeginStream(exchange.handle, event.attempt)]


def pass_events(
    state: ExchangeState, event: StreamPassed, now: float
) -> list[ExchangeEffect]:
    """Pass whole events on."""
    exchange = _find_live(state, event.handle, event.attempt)
    if exchange is None:
        return []
    effects: list[ExchangeEffect] = [PassEvents(exchange.handle, event.events)]
    if not exchange.passed:
        exchange.passed = True
        first_s = now - exchange.arrived
        effects.append(
            Observe(Histogram.EXCHANGE_FIRST, first_s, exchange.route.kind.value)
        )
    if event.last_event is not None:
        exchange.last_event = event.last_event
    return effects


def end_attempt(
    state: ExchangeState, event: AttemptEnded, now: float
) -> list[ExchangeEffect]:
    """Take an attempt's end: pass its answer on, try elsewhere, or give up."""
    exchange = _find_live(state, event.handle, event.attempt)
    if exchange is None:
        return []
    attempt = _close_attempt(state, exchange)
    rule = END_RULES[event.end]
    if rule.ran is not Ran.NO:
        exchange.maybe_ran = True
        exchange.sends += 1
    else:
        exchange.rejections += 1
    effects = _judge_upstream(state, attempt.upstream, rule.blames, event.end, now)
    _learn_weights(state, exchange, attempt, event)
    effects += _log_end(exchange, attempt, event, rule.ran, now)
    if event.end is AttemptEnd.ANSWERED:
        return effects + _finish(state, exchange, event, now)
    if _may_try_again(state, exchange, rule.ran, now):
        effects.append(Count(Counter.RETRIES, event.end.value))
        return effects + _send(state, exchange, now)
    if event.end is AttemptEnd.FAULT_ANSWERED and not exchange.begun:
        return effects + _finish(state, exchange, event, now)
    return effects + _give_up(state, exchange, rule.kind, now)


def _close_attempt(state: ExchangeState, exchange: Exchange) -> Attempt:
    attempt = exchange.attempt
    if attempt is None:
        raise LookupError(f"exchange {exchange.handle} has no attempt")
    exchange.attempt = None
    left = state.open.get(attempt.upstream, 0) - exchange.work
    require(left >= 0, "no upstream has less than no open work")
    if left > 0:
        state.open[attempt.upstream] = left
    else:
        state.open.pop(attempt.upstream, None)
    return attempt


def _judge_upstream(
    state: ExchangeState, name: str, blames: bool, end: AttemptEnd, now: float
) -> list[ExchangeEffect]:
    standing = state.standings.get(name)
    if standing is None:
        if not blames and end is not AttemptEnd.REJECTED:
            return []
        standing = state.standings[name] = Standing()
    if end is AttemptEnd.REJECTED:
        standing.note_rejection(now)
        return []
    if not blames:
        if end is AttemptEnd.ANSWERED:
            standing.note_success()
        return []
    if not standing.note_failure(now):
        return []
    return [
        Log(
            LogNumber.UPSTREAM_AVOIDED,
            detail=end.value,
            facts={
                "upstream": name,
                "in_a_row": standing.in_a_row,
                "failing": round(standing.failing, 3),
                "for_s": round(standing.avoid_until - now, 3),
            },
        )
    ]


def _learn_weights(
    state: ExchangeState, exchange: Exchange, attempt: Attempt, event: AttemptEnded
) -> None:
    """Take over the weight version that an upstream names in its answer."""
    known = state.beliefs.known.get(attempt.upstream)
    if known is None or exchange.prompt is None or event.weights <= 0:
        return
    weights = known.upstream.weights
    if weights.get(exchange.prompt.model, 0) < event.weights:
        weights[exchange.prompt.model] = event.weights
        exchange.tried.discard(attempt.upstream)


def _log_end(
    exchange: Exchange, attempt: Attempt, event: AttemptEnded, ran: Ran, now: float
) -> list[ExchangeEffect]:
    counted = Count(Counter.ATTEMPTS, event.end.value)
    if event.end is AttemptEnd.ANSWERED:
        return [counted]
    log = Log(
        LogNumber.EXCHANGE_ATTEMPT_ENDED,
        request=exchange.request,
        attempt=str(attempt.number),
        detail=event.detail,
        facts={
            "upstream": attempt.upstream,
            "end": event.end.value,
            "ran": ran.value,
            "status": event.status,
            "after_s": round(now - attempt.began, 3),
        },
    )
    return [counted, log]


def _may_try_again(
    state: ExchangeState, exchange: Exchange, ran: Ran, now: float
) -> bool:
    if exchange.deadline - now < LEAST_LEFT_S:
        return False
    if ran is not Ran.NO and not exchange.route.repeatable:
        return False
    if exchange.sends >= exchange.route.max_attempts:
        return False
    if exchange.rejections > MAX_REJECTIONS:
        return False
    if not list_candidates(state, exchange, now):
        return False
    window = state.find_window(exchange.service)
    return window.take(state.count_fellows(), now)


def _finish(
    state: ExchangeState, exchange: Exchange, event: AttemptEnded, now: float
) -> list[ExchangeEffect]:
    _close(state, exchange)
    whole_s = now - exchange.arrived
    log = Log(
        LogNumber.EXCHANGE_ANSWERED,
        request=exchange.request,
        attempt=str(event.attempt),
        facts={"status": event.status, "after_s": round(whole_s, 3)},
    )
    kind = exchange.route.kind.value
    told: list[ExchangeEffect] = [
        log,
        Observe(Histogram.EXCHANGE_WHOLE, whole_s, kind),
    ]
    if exchange.begun:
        return [EndStream(exchange.handle), *told]
    return [PassAnswer(exchange.handle, event.attempt), *told]


def _give_up(
    state: ExchangeState, exchange: Exchange, kind: ErrorKind, now: float
) -> list[ExchangeEffect]:
    """End an exchange without an upstream's answer, truthfully."""
    _close(state, exchange)
    if exchange.begun:
        log = Log(
            LogNumber.EXCHANGE_BROKEN,
            request=exchange.request,
            detail=kind.value,
            facts=_describe_tries(state, exchange, now),
        )
        return [BreakStream(exchange.handle), log, Count(Counter.REFUSALS, kind.value)]
    kind, status = _find_answer(exchange, kind)
    wait_s = 0.0
    if status == 503:
        wait_s = _draw_wait(state, kind, max(0.0, exchange.deadline - now))
    log = Log(
        LogNumber.EXCHANGE_REFUSED,
        request=exchange.request,
        detail=kind.value,
        facts={"status": status, **_describe_tries(state, exchange, now)},
    )
    refuse = Refuse(exchange.handle, kind, status, wait_s)
    return [refuse, log, Count(Counter.REFUSALS, kind.value)]


def _find_answer(exchange: Exchange, kind: ErrorKind) -> tuple[ErrorKind, int]:
    """Return the kind and status that are true of an exchange."""
    status = ANSWERS[kind].status
    promises = status in (408, 421, 429, 503)
    if exchange.maybe_ran and promises:
        return ErrorKind.OUTCOME_UNKNOWN, 502
    if not exchange.maybe_ran and not promises:
        return ErrorKind.NO_UPSTREAM, 503
    return kind, status


def _describe_tries(state: ExchangeState, exchange: Exchange, now: float) -> Facts:
    usable = state.beliefs.find_usable(exchange.service, now)
    return {
        "route": exchange.route.name,
        "tried": sorted(exchange.tried),
        "sends": exchange.sends,
        "rejections": exchange.rejections,
        "maybe_ran": exchange.maybe_ran,
        "usable": len(usable),
        "after_s": round(now - exchange.arrived, 3),
        "version": state.beliefs.version,
        "lease_s": round(state.beliefs.lease_until - now, 3),
    }


def pass_deadline(
    state: ExchangeState, handle: int, now: float
) -> list[ExchangeEffect]:
    """End an exchange whose time is up, at once."""
    exchange = state.exchanges.get(handle)
    if exchange is None:
        return []
    stopped = _stop_attempt(state, exchange)
    return [*stopped, *_give_up(state, exchange, ErrorKind.DEADLINE_EXCEEDED, now)]


def abandon_exchange(
    state: ExchangeState, event: ForwardGone, now: float
) -> list[ExchangeEffect]:
    """Stop all work for a caller that has gone."""
    exchange = state.exchanges.get(event.handle)
    if exchange is None:
        return []
    stopped = _stop_attempt(state, exchange)
    _close(state, exchange)
    log = Log(
        LogNumber.EXCHANGE_ABANDONED,
        request=exchange.request,
        facts={"after_s": round(now - exchange.arrived, 3), "begun": exchange.begun},
    )
    return [*stopped, log]


def _stop_attempt(state: ExchangeState, exchange: Exchange) -> list[ExchangeEffect]:
    if exchange.attempt is None:
        return []
    attempt = _close_attempt(state, exchange)
    exchange.maybe_ran = True
    return [StopAttempt(exchange.handle, attempt.number)]


def _close(state: ExchangeState, exchange: Exchange) -> None:
    state.exchanges.pop(exchange.handle, None)
    state.timers.clear((DEADLINE, exchange.handle))


def _find_live(state: ExchangeState, handle: int, attempt: int) -> Exchange | None:
    exchange = state.exchanges.get(handle)
    if exchange is None or exchange.attempt is None:
        return None
    return exchange if exchange.attempt.number == attempt else None
