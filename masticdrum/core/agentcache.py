"""Connects an agent's runs with its KV cache."""

from masticdrum.core.agentstate import AgentState
from masticdrum.core.cachestate import CacheRules, confirm_engine, install_rules
from masticdrum.core.entrystate import TimerName
from masticdrum.core.kvcache import (
    compute_next_timer,
    drop_attempt,
    expire_imports,
    handle_changes,
    handle_run_begun,
    handle_run_tokens,
    is_prepared,
    prepare_prompt,
    select_reusable_blocks,
)
from masticdrum.core.run import Run, RunStage
from masticdrum.core.transfers import handle_exported, handle_fetched, start_transfers
from masticdrum.model.agent_events import (
    AgentEffect,
    AgentEvent,
    BlockExported,
    BlocksChanged,
    BlocksFetched,
    RunBegun,
    RunEnded,
    RunFailed,
    RunTokens,
    StartRun,
)
from masticdrum.model.entry_events import TimerExpired
from masticdrum.model.messages import Usage

CACHE_TIMER = "kv cache"


def update_rules(state: AgentState, now: float) -> None:
    """Update the KV cache from the installed tables and the engine's last report."""
    pool = state.view.find_pool(state.options.pool)
    if pool is None:
        return
    stores = tuple(state.view.list_store_addresses(pool))
    rules = CacheRules(pool.model, pool.block_bytes, stores)
    install_rules(state.cache, rules, now)
    if state.engine.reachable:
        confirm_engine(state.cache, state.engine.boot, state.engine.version)


def begin_run(state: AgentState, run: Run, now: float) -> list[AgentEffect]:
    """Import the blocks that are worth it for a run, and start it once that is done.

    Blocks are imported when the run is due and not while it is queued: the engine pins
    no blocks, so in a long queue it would evict them again before the run starts.
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
    return effects + start_if_prepared(state, run)


def start_if_prepared(state: AgentState, run: Run) -> list[AgentEffect]:
    """Start a run, or delay it until its import is done."""
    run.preparing = not is_prepared(state.cache, run.attempt)
    if run.preparing:
        state.preparing[run.attempt] = None
        return []
    state.preparing.pop(run.attempt, None)
    message = run.dispatch
    version, blocks = select_reusable_blocks(state.cache, run.attempt)
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


def handle_cache_event(
    state: AgentState, event: AgentEvent, now: float
) -> list[AgentEffect]:
    """Let the KV cache handle an event, after the runs have handled it."""
    cache = state.cache
    match event:
        case BlocksFetched():
            _count_usage(state, event)
            return list(handle_fetched(cache, event, now))
        case BlockExported():
            return list(handle_exported(cache, event, now))
        case BlocksChanged():
            return list(handle_changes(cache, event, now))
        case RunBegun():
            handle_run_begun(cache, event.attempt, event.version, event.recomputed, now)
        case RunTokens():
            return list(handle_run_tokens(cache, event.attempt, now))
        case RunEnded() | RunFailed():
            drop_ended(state, event.attempt)
        case TimerExpired():
            return list(expire_imports(cache, now))
    return []


def advance_cache(state: AgentState, now: float) -> list[AgentEffect]:
    """Start the transfers and delayed runs that the last event made possible."""
    effects: list[AgentEffect] = list(start_transfers(state.cache, now))
    for attempt in list(state.preparing):
        run = state.runs.get(attempt)
        if run is None or attempt not in state.running:
            del state.preparing[attempt]
            continue
        effects += start_if_prepared(state, run)
    wake_at = compute_next_timer(state.cache, now)
    if wake_at == float("inf"):
        state.timers.clear(TimerName(CACHE_TIMER, ""))
    else:
        state.timers.set(TimerName(CACHE_TIMER, ""), wake_at)
    return effects


def drop_ended(state: AgentState, attempt: str) -> None:
    """Drop the cache's state for an attempt that has ended."""
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
