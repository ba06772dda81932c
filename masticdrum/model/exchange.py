"""Events and effects of a forwarded exchange, as plain data.

An exchange is one request of a caller with its answer. Headers and bodies stay with the
shell under the exchange's ``handle``; the reducer decides from what is named here.
Times are seconds.
"""

from enum import StrEnum

from msgspec import Struct

from masticdrum.model.errors import ErrorKind
from masticdrum.model.telemetry import Count, Log, Observe


class PromptPart(Struct, frozen=True):
    """A piece of a prompt that other prompts may begin with too."""

    name: str
    tokens: int


class Prompt(Struct, frozen=True):
    """What a request asks of a model; the last part is the request's own."""

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


class Ran(StrEnum):
    """Whether an upstream has run what an attempt sent it."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class ForwardAsked(Struct, frozen=True):
    """A caller has sent a whole request.

    ``deadline_s`` is how long the caller waits from ``arrived``; None if it doesn't
    say. ``last_event`` is the event after which a stream is to go on.
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


class ForwardGone(Struct, frozen=True):
    """A caller has closed its connection."""

    handle: int


class StreamBegun(Struct, frozen=True):
    """An upstream has begun a stream of events."""

    handle: int
    attempt: int


class StreamPassed(Struct, frozen=True):
    """Whole events of a stream; ``last_event`` is the id of the last one."""

    handle: int
    attempt: int
    events: bytes
    last_event: int | None


class AttemptEnded(Struct, frozen=True):
    """An attempt is over; the shell keeps a whole answer under its number.

    ``status`` is the upstream's, zero if there was none. ``sound`` answers bear the
    upstream's signature and may be passed on. ``weights`` is the version of the
    weights that the upstream names, zero if it names none.
    """

    handle: int
    attempt: int
    end: AttemptEnd
    status: int = 0
    sound: bool = False
    weights: int = 0
    detail: str = ""


class StopAsked(Struct, frozen=True):
    """The process is to end within ``grace_s``."""

    grace_s: float


class Ticked(Struct, frozen=True):
    """Time has passed."""


class StartAttempt(Struct, frozen=True):
    """Sends an exchange's request to an upstream.

    ``left_s`` is how long the upstream may take. ``expect_weights`` and ``cache_scope``
    are empty for plain services. ``cache_sources`` and
    ``cache_targets`` name for each part of the prompt the address that it is fetched
    from and saved at, empty for none; one source stands for all parts.
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
    """Closes the connection of an attempt that nobody wants any more."""

    handle: int
    attempt: int


class PassAnswer(Struct, frozen=True):
    """Gives the caller the whole answer of an attempt, unchanged."""

    handle: int
    attempt: int


class BeginStream(Struct, frozen=True):
    """Gives the caller the head of an attempt's answer, unchanged."""

    handle: int
    attempt: int


class PassEvents(Struct, frozen=True):
    """Gives the caller whole events."""

    handle: int
    events: bytes


class EndStream(Struct, frozen=True):
    """Ends a stream as complete."""

    handle: int


class BreakStream(Struct, frozen=True):
    """Ends a stream so that the caller sees that it is not complete."""

    handle: int


class Refuse(Struct, frozen=True):
    """Answers with a failure of our own."""

    handle: int
    kind: ErrorKind
    status: int
    retry_after_s: float = 0.0


class Leave(Struct, frozen=True):
    """Every exchange is over and the process may end."""


ExchangeEffect = (
    StartAttempt
    | StopAttempt
    | PassAnswer
    | BeginStream
    | PassEvents
    | EndStream
    | BreakStream
    | Refuse
    | Leave
    | Log
    | Count
    | Observe
)
