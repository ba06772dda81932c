"""Events that an entry's reducer handles and effects that it returns."""

from msgspec import Struct

from masticdrum.model.errors import ErrorKind, Outcome
from masticdrum.model.messages import AnyMessage, Envelope, Usage
from masticdrum.model.platform import (
    InstancesListed,
    ObjectAnswer,
    ObjectDelete,
    ObjectGet,
    ObjectList,
    ObjectPut,
)
from masticdrum.model.telemetry import Count, Log, Observe


class CompletionRequested(Struct, frozen=True):
    """A caller sent a prompt. ``request`` identifies the request until it ends."""

    request: str
    workspace: str
    route: str
    prompt: str
    max_tokens: int
    stream: bool = False


class CallRequested(Struct, frozen=True):
    """A caller sent a plain service call; ``key`` is its Idempotency-Key."""

    request: str
    workspace: str
    route: str
    key: str
    body: bytes


class CallerDisconnected(Struct, frozen=True):
    """The caller of a request closed its connection or stopped reading."""

    request: str


class FrameReceived(Struct, frozen=True):
    """A message was received on the link named ``link``."""

    link: str
    envelope: Envelope


class TimerExpired(Struct, frozen=True):
    """A timer may have expired; the reducer checks which ones are due."""


class ShutdownRequested(Struct, frozen=True):
    """The process was asked to shut down, within ``grace_s`` seconds."""

    grace_s: float


EntryEvent = (
    CompletionRequested
    | CallRequested
    | CallerDisconnected
    | FrameReceived
    | ObjectAnswer
    | InstancesListed
    | TimerExpired
    | ShutdownRequested
)


class OpenLink(Struct, frozen=True):
    """Opens a new connection named ``link`` to an agent's address."""

    link: str
    address: str


class CloseLink(Struct, frozen=True):
    """Closes a connection; frames that arrive on it later are dropped."""

    link: str


class SendFrame(Struct, frozen=True):
    """Sends a message on an open link."""

    link: str
    message: AnyMessage


class ReplyFrame(Struct, frozen=True):
    """Sends a message back on the link that a peer opened."""

    link: str
    message: AnyMessage


class SendTokens(Struct, frozen=True):
    """Sends tokens to the caller, each once and in order."""

    request: str
    tokens: tuple[str, ...]


class SendEnd(Struct, frozen=True):
    """Ends a completion whose answer is complete."""

    request: str
    count: int
    reason: str
    usage: Usage


class SendAnswer(Struct, frozen=True):
    """Sends a plain service's complete answer to the caller.

    ``replayed`` means that an earlier request with the same key recorded the answer.
    """

    request: str
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


class SendRefusal(Struct, frozen=True):
    """Refuses a request, or ends an answer in progress with an explicit error."""

    request: str
    kind: ErrorKind
    outcome: Outcome
    retry_after_s: float


class Exit(Struct, frozen=True):
    """Ends the process, which has no work left."""


EntryEffect = (
    OpenLink
    | CloseLink
    | SendFrame
    | ReplyFrame
    | SendTokens
    | SendEnd
    | SendAnswer
    | SendRefusal
    | ObjectGet
    | ObjectPut
    | ObjectDelete
    | ObjectList
    | Log
    | Count
    | Observe
    | Exit
)
