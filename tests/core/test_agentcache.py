"""The agent imports blocks before a run, delays the run meanwhile, exports after it."""

from masticdrum.core.agent import reduce_agent
from masticdrum.core.agentstate import AgentOptions, AgentState
from masticdrum.core.blocks import compute_block_keys
from masticdrum.core.tableview import TableView
from masticdrum.model.agent_events import (
    BlocksFetched,
    CancelRun,
    ExportBlock,
    FetchBlocks,
    LoadReported,
    ReplyFrame,
    RunBegun,
    RunTokens,
    StartRun,
)
from masticdrum.model.entry_events import FrameReceived, TimerExpired
from masticdrum.model.messages import Accepted, Cancel, Dispatch, Envelope, Load
from masticdrum.model.tables import (
    DataCentre,
    Pool,
    PoolKind,
    Store,
    Tables,
    Upstream,
    Urgency,
)

STORE = "http://127.0.0.1:9"
PROMPT = "first 8.second8.third 8."
KEYS = compute_block_keys("radkranz", "llm", "v1", PROMPT, 8)


def make_agent() -> AgentState:
    state = AgentState(AgentOptions("a", "dc", "llm", "up", "inc"), seed=1)
    pool = Pool(
        "llm",
        PoolKind.ENGINE,
        [Upstream("up", "dc", "tcp://127.0.0.1:1")],
        model="llm",
        block_bytes=8,
        stores=["s"],
    )
    stores = [Store("s", "dc", STORE)]
    state.view = TableView(
        Tables(
            serial=1,
            data_centres=[DataCentre("dc", "r")],
            stores=stores,
            pools=[pool],
        )
    )
    # A new agent trusts a load report only once it can't be from before the end of its
    # predecessor.
    for tick in range(-8, 1):
        reduce_agent(state, LoadReported(True, 0, "boot", "v1"), tick / 4)
    return state


def send(state: AgentState, message, now: float):
    return reduce_agent(
        state, FrameReceived("link", Envelope("e", "i", 1, message)), now
    )


def dispatch(state: AgentState, attempt: str, now: float = 1.0):
    message = Dispatch(
        attempt, "r", "radkranz", "llm", Urgency.NORMAL, 60.0, PROMPT, 4, []
    )
    return send(state, message, now)


def pick(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def test_run_waits_for_its_import_and_reuses_it() -> None:
    state = make_agent()
    effects = dispatch(state, "at")
    (fetch,) = pick(effects, FetchBlocks)
    assert fetch.sources == tuple((key, STORE) for key in KEYS)
    assert not pick(effects, StartRun)
    fetched = BlocksFetched("at", KEYS, (), 3000, 0.01)
    (start,) = pick(reduce_agent(state, fetched, 1.1), StartRun)
    assert (start.version, start.blocks) == ("v1", KEYS)
    assert state.runs["at"].usage.imported == 3


def test_missing_blocks_are_computed_and_exported() -> None:
    state = make_agent()
    dispatch(state, "at")
    missing = BlocksFetched("at", (), (), 0, 0.01, missing=KEYS[:1])
    assert pick(reduce_agent(state, missing, 1.1), StartRun)
    reduce_agent(state, RunBegun("at", "v1", 0, 3), 1.2)
    effects = reduce_agent(state, RunTokens("at", 0, ("t",)), 1.8)
    (keep,) = pick(effects, ExportBlock)
    assert keep == ExportBlock(KEYS[0], "radkranz", "v1", STORE)


def test_late_import_starts_its_run_by_timer() -> None:
    state = make_agent()
    dispatch(state, "at")
    at = state.find_next_timer()
    started = []
    while not started and at is not None and at < 10.0:
        started = pick(reduce_agent(state, TimerExpired(), at), StartRun)
        at = state.find_next_timer()
    assert started


def test_swap_during_the_import_starts_the_run_without_old_blocks() -> None:
    state = make_agent()
    dispatch(state, "at")
    effects = reduce_agent(state, LoadReported(True, 0, "boot", "v2"), 1.1)
    (start,) = pick(effects, StartRun)
    assert (start.version, start.blocks) == ("", ())


def test_cancel_during_the_import_starts_nothing() -> None:
    state = make_agent()
    dispatch(state, "at")
    assert pick(send(state, Cancel("at"), 1.1), CancelRun)
    effects = reduce_agent(state, BlocksFetched("at", KEYS, (), 3000, 0.01), 1.2)
    assert not pick(effects, StartRun)
    assert not state.cache.imports.waiting and not state.cache.imports.cancelled


def read_load(effects) -> Load:
    replies = [reply.message for reply in pick(effects, ReplyFrame)]
    return pick(replies, Accepted)[0].load


def test_load_counts_urgent_attempts_without_a_token() -> None:
    state = make_agent()
    message = Dispatch(
        "at", "r", "radkranz", "llm", Urgency.URGENT, 60.0, "short", 4, []
    )
    assert read_load(send(state, message, 1.0)).urgent == 1
    reduce_agent(state, RunBegun("at", "v1", 0, 0), 1.1)
    reduce_agent(state, RunTokens("at", 0, ("t",)), 1.2)
    assert read_load(dispatch(state, "other", 1.3)).urgent == 0
