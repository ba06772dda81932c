"""Events that an agent's reducer handles and effects that it returns."""

from enum import StrEnum

from msgspec import Struct

from masticdrum.model.entry_events import (
    Exit,
    FrameReceived,
    ShutdownRequested,
    TimerExpired,
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
    """The engine started a run.

    ``cached`` and ``recomputed`` count blocks of the prompt.
    """

    attempt: str
    version: str
    cached: int
    recomputed: int


class RunTokens(Struct, frozen=True):
    """The engine produced tokens; ``first`` is the first one's sequence number."""

    attempt: str
    first: int
    tokens: tuple[str, ...]


class RunEnded(Struct, frozen=True):
    """The engine finished a run."""

    attempt: str
    reason: str


class RunFailed(Struct, frozen=True):
    """The engine refused or aborted a run.

    ``ran`` is False only if the engine certainly never started the run. ``silent``
    means that the connection carried no data, so the run may be resumed over a new
    connection.
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
    """A call to the plain service failed; if ``sent`` is False it was never sent."""

    attempt: str
    sent: bool
    detail: str = ""


class LoadReported(Struct, frozen=True):
    """The upstream's load report, which lags behind its actual load.

    ``boot`` changes whenever the upstream restarts; ``version`` is the weight version
    that it has loaded. If ``reachable`` is False, the upstream returned no report.
    """

    reachable: bool
    running: int = 0
    boot: str = ""
    version: str = ""


class BlocksChanged(Struct, frozen=True):
    """Cache events of the upstream: keys that it now holds and keys that it evicted.

    ``number`` is the last event's number; a gap means that events were lost.
    """

    number: int
    held: tuple[str, ...]
    evicted: tuple[str, ...]


class BlocksFetched(Struct, frozen=True):
    """A fetch and import ended; ``imported`` keys are now in the engine.

    The frames of ``rejected`` keys were not the requested block; ``missing`` keys are
    not at their store instance. ``failed`` holds the addresses of stores whose calls
    failed.
    """

    attempt: str
    imported: tuple[str, ...]
    rejected: tuple[str, ...]
    link_bytes: int
    took_s: float
    missing: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()


class BlockExported(Struct, frozen=True):
    """An export to a store instance ended.

    ``is_stored`` means that the store holds the block; with ``link_bytes`` zero it held
    it before. ``full`` means that the store has no room, ``evicted`` that the engine
    no longer held the block.
    """

    key: str
    is_stored: bool
    link_bytes: int
    took_s: float
    full: bool = False
    evicted: bool = False


class OrderAnswered(Struct, frozen=True):
    """The upstream answered an order.

    If ``settled`` is False, no answer came and the upstream may still execute it.
    ``unanswered_at`` is when a copy was last sent that may still be executed, in
    seconds, or None.
    """

    order: str
    done: bool
    settled: bool = True
    detail: str = ""
    unanswered_at: float | None = None


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
    | BlockExported
    | OrderAnswered
    | ObjectAnswer
    | InstancesListed
    | TimerExpired
    | ShutdownRequested
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
    """Reads a run's tokens over a new connection, from number ``first`` on."""

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
    """Fetches blocks from store instances, verifies and imports them.

    ``sources`` pairs each key with its store instance's address.
    """

    attempt: str
    workspace: str
    version: str
    urgency: Urgency
    sources: tuple[tuple[str, str], ...]


class ExportBlock(Struct, frozen=True):
    """Exports a block from the engine and writes it to a store instance."""

    key: str
    workspace: str
    version: str
    store: str


class RunsAtLoad(StrEnum):
    """What happens to an engine's running runs when it loads new weights.

    ``CONTINUE`` lets them finish on the new weights, so the engine accepts no new work
    only while it loads. ``FINISH`` loads the weights once they have ended.
    """

    CONTINUE = "continue"
    FINISH = "finish"


class IssueOrder(Struct, frozen=True):
    """Orders the upstream to load a version or adapter, or to change role.

    The order must not be sent at or after the time ``not_after``, in seconds, since
    the process may have been paused after the decision.
    """

    order: str
    action: str
    target: str
    fence: int
    not_after: float = float("inf")


class ExtendOrder(Struct, frozen=True):
    """Lets an order be sent until ``not_after``, since its permit was renewed."""

    order: str
    not_after: float


class WithdrawOrder(Struct, frozen=True):
    """Ends an order, unless the upstream has accepted it or may still do so."""

    order: str


AgentEffect = (
    ReplyFrame
    | StartRun
    | ResumeRun
    | CancelRun
    | CallService
    | FetchBlocks
    | ExportBlock
    | IssueOrder
    | ObjectGet
    | ObjectPut
    | ObjectDelete
    | ObjectList
    | Log
    | Count
    | Observe
    | Exit
)
