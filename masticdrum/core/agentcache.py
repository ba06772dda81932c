"""Joins an agent's runs with its kept cache."""

from masticdrum.core.agentstate import AgentState
from masticdrum.core.cachestate import CacheRules, confirm_engine, install_rules
from masticdrum.core.entrystate import TimerName
from masticdrum.core.keptcache import (
    drop_attempt,
    find_blocks,
    find_wake,
    is_prepared,
    note_begun,
    note_tokens,
    prepare_prompt,
    take_changes,
    wake_cache,
)
from masticdrum.core.run import Run, RunStage
from masticdrum.core.transfers import start_transfers, take_fetched, take_kept
from masticdrum.model.agent_events import (
    AgentEffect,
    AgentEvent,
    BlockKept,
    BlocksChanged,
    BlocksFetched,
    RunBegun,
    RunEnded,
    RunFailed,
    RunTokens,
    StartRun,
)
from masticdrum.model.entry_events import Woken
from masticdrum.model.messages import Usage

CACHE = "kept cache"


def update_rules(state: AgentState, now: float) -> None:
    """Give the kept cache what the tables and the engine say now."""
    pool = state.view.find_pool(state.options.pool)
    if pool is None:
        return
    stores = tuple(state.view.list_store_addresses(pool))
    rules = CacheRules(pool.model, pool.block_bytes, stores)
    install_rules(state.cache, rules, now)
    if state.engine.reachable:
        confirm_engine(state.cache, state.engine.boot, state.engine.version)


def begin_run(state: AgentState, run: Run, now: float) -> list[AgentEffect]:
    """Give a run its turn: import blocks worth it, and start once that is done.

    Blocks are imported at a run's turn and not while it waits, since the engine pins
    nothing and would evict them again before a long queue has passed.
    """
    update_rules(state, now)
    message = run.dispatch
    effects: list[AgentEffect] = list(
        prepare_prompt(
            state.cache,
            run.attempt,
            message.workspace,
            message.urgency,
            message.prompt,
            now,
        )
    )
    return effects + start_prepared(state, run)


def start_prepared(state: AgentState, run: Run) -> list[AgentEffect]:
    """Start a run, or hold it until its import is done."""
    run.preparing = not is_prepared(state.cache, run.attempt)
    if run.preparing:
        return []
    message = run.dispatch
    version, blocks = find_blocks(state.cache, run.attempt)
    if message.version and message.version != version:
        version, blocks = message.version, ()
    run.blocks = blocks
    start = StartRun(
        attempt=run.attempt,
        workspace=message.workspace,
        prompt=message.prompt,
        delivered=tuple(message.delivered),
        max_tokens=message.max_tokens,
        urgency=message.urgency,
        version=version,
        blocks=blocks,
    )
    return [start]


def take_cache_event(
    state: AgentState, event: AgentEvent, now: float
) -> list[AgentEffect]:
    """Hand an event on to the kept cache, after the runs have taken it."""
    cache = state.cache
    match event:
        case BlocksFetched():
            _count_usage(state, event)
            return list(take_fetched(cache, event, now))
        case BlockKept():
            return list(take_kept(cache, event, now))
        case BlocksChanged():
            return list(take_changes(cache, event, now))
        case RunBegun():
            note_begun(cache, event.attempt, event.version, event.recomputed, now)
        case RunTokens():
            return list(note_tokens(cache, event.attempt, now))
        case RunEnded() | RunFailed():
            drop_ended(state, event.attempt)
        case Woken():
            return list(wake_cache(cache, now))
    return []


def settle_cache(state: AgentState, now: float) -> list[AgentEffect]:
    """Start the transfers and the held runs that the last event set free."""
    effects: list[AgentEffect] = list(start_transfers(state.cache, now))
    for attempt in state.running:
        run = state.runs.get(attempt)
        if run is not None and run.preparing:
            effects += start_prepared(state, run)
    wake_at = find_wake(state.cache, now)
    if wake_at == float("inf"):
        state.timers.clear(TimerName(CACHE, ""))
    else:
        state.timers.set(TimerName(CACHE, ""), wake_at)
    return effects


def drop_ended(state: AgentState, attempt: str) -> None:
    """Give up what is under way for an attempt that is over."""
    run = state.runs.get(attempt)
    if run is None or run.stage is RunStage.ENDED:
        drop_attempt(state.cache, attempt)


def _count_usage(state: AgentState, event: BlocksFetched) -> None:
    run = state.runs.get(event.attempt)
    if run is None:
        return
    old = run.usage
    run.usage = Usage(
        prompt_blocks=old.prompt_blocks,
        cached=old.cached,
        imported=old.imported + len(event.imported),
        recomputed=old.recomputed,
        link_bytes=old.link_bytes + event.link_bytes,
    )
