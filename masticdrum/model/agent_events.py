"""Everything that can happen to an agent, and everything it can ask for."""

from enum import StrEnum

from msgspec import Struct

from masticdrum.model.entry_events import (
    Exit,
    FrameReceived,
    ShutdownAsked,
    Woken,
)
from masticdrum.model.entry_events import (
    ReplyFrame as ReplyFrame,
)
from masticdrum.model.platform import (
    InstancesListed,
    ObjectAnswer,
    ObjectDelete,
    ObjectGet,
    ObjectList,
    ObjectPut,
)
from masticdrum.model.tables import Urgency
from masticdrum.model.telemetry import Count, Log, Observe


class RunBegun(Struct, frozen=True):
    """The engine took a run; counts are blocks of the prompt."""

    attempt: str
    version: str
    cached: int
    recomputed: int


class RunTokens(Struct, frozen=True):
    """The engine gave tokens; ``first`` is the sequence number of the first one."""

    attempt: str
    first: int
    tokens: tuple[str, ...]


class RunEnded(Struct, frozen=True):
    """The engine finished a run."""

    attempt: str
    reason: str


class RunFailed(Struct, frozen=True):
    """The engine refused or broke off a run.

    ``ran`` false means that the engine never began it, surely. ``silent`` means that
    the connection showed no life, so that a new one may resume the run.
    """

    attempt: str
    ran: bool
    silent: bool = False
    detail: str = ""


class ServiceAnswered(Struct, frozen=True):
    """The plain service answered a call."""

    attempt: str
    status: int
    content_type: str
    body: bytes


class ServiceFailed(Struct, frozen=True):
    """A call to the plain service broke; ``sent`` false means it never left."""

    attempt: str
    sent: bool
    detail: str = ""


class LoadReported(Struct, frozen=True):
    """The upstream's load report, which lags.

    ``boot`` changes whenever the upstream starts anew; ``version`` is the weight
    version that it has loaded. ``reachable`` false means that it gave no report.
    """

    reachable: bool
    running: int = 0
    boot: str = ""
    version: str = ""


class BlocksChanged(Struct, frozen=True):
    """Cache events of the upstream: keys now held, keys evicted.

    ``number`` is the last event's number; a gap means that some were lost.
    """

    number: int
    held: tuple[str, ...]
    evicted: tuple[str, ...]


class BlocksFetched(Struct, frozen=True):
    """A fetch and import ended; ``imported`` keys are now in the engine.

    ``rejected`` frames were not the block that was asked for; ``missing`` keys are not
    at their store instance. ``failed`` holds the addresses of stores that broke off.
    """

    attempt: str
    imported: tuple[str, ...]
    rejected: tuple[str, ...]
    link_bytes: int
    took_s: float
    missing: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()


class BlockKept(Struct, frozen=True):
    """An export to a store instance ended.

    ``full`` means that the store has no room, ``evicted`` that the engine no longer
    held the block. ``kept`` without link bytes means that the store had it already.
    """

    key: str
    kept: bool
    link_bytes: int
    took_s: float
    full: bool = False
    evicted: bool = False


class OrderAnswered(Struct, frozen=True):
    """The upstream answered an order.

    ``settled`` false means that no answer came and that it may still carry it out.
    """

    order: str
    done: bool
    settled: bool = True
    detail: str = ""


AgentEvent = (
    FrameReceived
    | RunBegun
    | RunTokens
    | RunEnded
    | RunFailed
    | ServiceAnswered
    | ServiceFailed
    | LoadReported
    | BlocksChanged
    | BlocksFetched
    | BlockKept
    | OrderAnswered
    | ObjectAnswer
    | InstancesListed
    | Woken
    | ShutdownAsked
)


class StartRun(Struct, frozen=True):
    """Starts a run on the engine; ``blocks`` are the keys of the prompt's blocks."""

    attempt: str
    workspace: str
    prompt: str
    delivered: tuple[str, ...]
    max_tokens: int
    urgency: Urgency
    version: str
    blocks: tuple[str, ...]


class ResumeRun(Struct, frozen=True):
    """Reads a run's tokens from ``first`` on over a new connection."""

    attempt: str
    first: int


class CancelRun(Struct, frozen=True):
    """Cancels a run on the engine."""

    attempt: str


class CallService(Struct, frozen=True):
    """Calls the plain service once."""

    attempt: str
    workspace: str
    key: str
    body: bytes


class FetchBlocks(Struct, frozen=True):
    """Fetches blocks from store instances, checks them and imports them.

    ``sources`` pairs each key with its store instance's address.
    """

    attempt: str
    workspace: str
    version: str
    urgency: Urgency
    sources: tuple[tuple[str, str], ...]


class KeepBlock(Struct, frozen=True):
    """Exports a block from the engine and keeps it at a store instance."""

    key: str
    workspace: str
    version: str
    store: str


class RunsAtLoad(StrEnum):
    """What becomes of the runs of an engine that loads new weights.

    ``CONTINUE`` lets them end on the new weights, so that the engine takes no new work
    for as long as the load alone; ``FINISH`` loads once they have ended.
    """

    CONTINUE = "continue"
    FINISH = "finish"


class GiveOrder(Struct, frozen=True):
    """Orders the upstream to load a version or adapter, or to change role.

    From the time ``not_after`` on, in seconds, it must not go out any more: this
    process may have been paused since it was decided.
    """

    order: str
    action: str
    target: str
    fence: int
    not_after: float = float("inf")


AgentEffect = (
    ReplyFrame
    | StartRun
    | ResumeRun
    | CancelRun
    | CallService
    | FetchBlocks
    | KeepBlock
    | GiveOrder
    | ObjectGet
    | ObjectPut
    | ObjectDelete
    | ObjectList
    | Log
    | Count
    | Observe
    | Exit
)
