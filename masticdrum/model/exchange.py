"""Events and effects of a forwarded exchange, as plain data.

An exchange is one request of a caller with its answer. The shell keeps headers and
bodies under the exchange's ``handle``; the reducer decides from these fields alone.
Times are in seconds.
"""

from enum import StrEnum

from msgspec import Struct

from masticdrum.model.crashes import PublishCrashReport
from masticdrum.model.errors import ErrorKind
from masticdrum.model.origins import SendOriginReply, SendToAgents, SendToPeers
from masticdrum.model.platform import ObjectGet, ObjectPut
from masticdrum.model.rolloutprogress import PublishRolloutProgress
from masticdrum.model.rollouts import PutRolloutStatus, SendGrant, SendReport
from masticdrum.model.telemetry import Count, Log, Observe


class PromptPart(Struct, frozen=True):
    """A section of a prompt; other prompts may begin with the same sections."""

    name: str
    tokens: int


class Prompt(Struct, frozen=True):
    """The prompt of a request; its last part is not shared with other requests."""

    model: str
    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0


class AttemptEnd(StrEnum):
    """Every way in which an attempt at an upstream can end."""

    ANSWERED = "answered"
    FAULT_ANSWERED = "fault_answered"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    UNPROVEN = "unproven"
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"
    LOST = "lost"
    GARBLED = "garbled"
    FOREIGN = "foreign"
    TRUNCATED = "truncated"
    SILENT = "silent"
    WITHDRAWN = "withdrawn"


class Execution(StrEnum):
    """Whether an upstream has run the request that an attempt sent."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class ForwardRequested(Struct, frozen=True):
    """A caller has sent a complete request.

    ``deadline_s`` is how long the caller waits, counted from ``arrived``, or None if
    it states no limit. ``last_event`` is the id of the event after which a stream is
    to be resumed, ``resumes`` the request that brought its first event. ``fingerprint``
    is the same for repeats by the same caller.
    """

    handle: int
    request: str
    host: str
    path: str
    arrived: float
    key: str = ""
    deadline_s: float | None = None
    prompt: Prompt | None = None
    last_event: int | None = None
    resumes: str = ""
    fingerprint: int = 0


class ForwardDisconnected(Struct, frozen=True):
    """A caller has closed its connection."""

    handle: int


class StreamBegun(Struct, frozen=True):
    """An upstream has started a stream of events.

    ``limit_per_s`` is how many requests a second it takes from all entries together,
    None without a limit. ``leaving`` means that it is about to leave.
    """

    handle: int
    attempt: int
    limit_per_s: float | None = None
    leaving: bool = False


class StreamEventsReceived(Struct, frozen=True):
    """An attempt's first complete events; ``last_event`` is the id of the last one.

    Later events are forwarded without the reducer, which learns the id of the last one
    when the attempt ends.
    """

    handle: int
    attempt: int
    events: bytes
    last_event: int | None


class AttemptEnded(Struct, frozen=True):
    """An attempt has ended; the shell keeps a complete answer under its number.

    ``status`` is the upstream's HTTP status, zero if there was none. ``verified``
    answers bear the upstream's signature and may be forwarded. ``weights`` is the
    version of the weights that the upstream reports, zero if it reports none.
    ``last_event`` is the id of the last event of a stream that was forwarded.
    ``limit_per_s`` and ``leaving`` are as in ``StreamBegun``, for answers that are no
    streams. ``pause_s`` is for how long the upstream wants nothing from this entry,
    zero if it doesn't say so.
    """

    handle: int
    attempt: int
    end: AttemptEnd
    status: int = 0
    verified: bool = False
    weights: int = 0
    detail: str = ""
    last_event: int | None = None
    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float = 0.0


class StopRequested(Struct, frozen=True):
    """The process was asked to shut down within ``grace_s``.

    The request may have been made up to ``delay_s`` before it was noticed.
    """

    grace_s: float
    delay_s: float = 0.0


class Ticked(Struct, frozen=True):
    """The process's periodic tick."""


class StartAttempt(Struct, frozen=True):
    """Sends an exchange's request to an upstream.

    ``left_s`` is how long the upstream may take. ``expect_weights`` is zero and
    ``cache_scope`` empty for plain services. For each part of the prompt,
    ``cache_sources`` and ``cache_targets`` hold the address that its KV cache is
    fetched from and saved at, or an empty string; a single source applies to all parts.
    """

    handle: int
    attempt: int
    upstream: str
    address: str
    workspace: str
    left_s: float
    first_wait_s: float
    fresh: bool = False
    expect_weights: int = 0
    cache_scope: str = ""
    cache_sources: tuple[str, ...] = ()
    cache_targets: tuple[str, ...] = ()
    urgency: int = 5
    last_event: int | None = None


class StopAttempt(Struct, frozen=True):
    """Closes the connection of an attempt whose answer is no longer needed."""

    handle: int
    attempt: int


class ForwardAnswer(Struct, frozen=True):
    """Sends the caller the complete answer of an attempt, unchanged."""

    handle: int
    attempt: int


class BeginStream(Struct, frozen=True):
    """Sends the caller the status and headers of an attempt's answer, unchanged."""

    handle: int
    attempt: int


class ForwardEvents(Struct, frozen=True):
    """Sends the caller complete events of a stream."""

    handle: int
    events: bytes


class EndStream(Struct, frozen=True):
    """Ends a stream as complete."""

    handle: int


class AbortStream(Struct, frozen=True):
    """Ends a stream in a way that shows the caller that it is incomplete."""

    handle: int


class Refuse(Struct, frozen=True):
    """Answers the caller with an error of the entry itself."""

    handle: int
    kind: ErrorKind
    status: int
    retry_after_s: float = 0.0


class ExitProcess(Struct, frozen=True):
    """Ends the process, since every exchange has ended."""


ExchangeEffect = (
    StartAttempt
    | StopAttempt
    | ForwardAnswer
    | BeginStream
    | ForwardEvents
    | EndStream
    | AbortStream
    | Refuse
    | PublishCrashReport
    | SendToAgents
    | SendToPeers
    | SendOriginReply
    | ObjectGet
    | ObjectPut
    | SendGrant
    | SendReport
    | PutRolloutStatus
    | PublishRolloutProgress
    | ExitProcess
    | Log
    | Count
    | Observe
)
