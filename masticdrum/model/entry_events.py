"""Everything that can happen to an entry, and everything it can ask for."""

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


class CompletionAsked(Struct, frozen=True):
    """A caller sent a prompt. ``request`` names it for the rest of its life."""

    request: str
    workspace: str
    route: str
    prompt: str
    max_tokens: int
    stream: bool = False


class CallAsked(Struct, frozen=True):
    """A caller sent a plain service call; ``key`` is its Idempotency-Key."""

    request: str
    workspace: str
    route: str
    key: str
    body: bytes


class CallerGone(Struct, frozen=True):
    """The caller of a request closed its connection or stopped reading."""

    request: str


class FrameReceived(Struct, frozen=True):
    """A message arrived on the link ``link`` from an agent."""

    link: str
    envelope: Envelope


class Woken(Struct, frozen=True):
    """Time has passed; the reducer looks at its timers."""


class ShutdownAsked(Struct, frozen=True):
    """The process was told to end; ``grace_s`` is how long it may take."""

    grace_s: float


EntryEvent = (
    CompletionAsked
    | CallAsked
    | CallerGone
    | FrameReceived
    | ObjectAnswer
    | InstancesListed
    | Woken
    | ShutdownAsked
)


class OpenLink(Struct, frozen=True):
    """Opens a new connection named ``link`` to an agent's address."""

    link: str
    address: str


class CloseLink(Struct, frozen=True):
    """Closes a connection; frames that still arrive on it are dropped."""

    link: str


class SendFrame(Struct, frozen=True):
    """Sends a message on an open link."""

    link: str
    message: AnyMessage


class ReplyFrame(Struct, frozen=True):
    """Sends a message back on the link that a peer opened."""

    link: str
    message: AnyMessage


class GiveTokens(Struct, frozen=True):
    """Hands tokens to the caller, in order and each once."""

    request: str
    tokens: tuple[str, ...]


class GiveEnd(Struct, frozen=True):
    """Ends a completion whose answer is whole."""

    request: str
    count: int
    reason: str
    usage: Usage


class GiveAnswer(Struct, frozen=True):
    """Hands a plain service's whole answer to the caller.

    ``replayed`` tells that it was recorded by an earlier request with the same key.
    """

    request: str
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


class GiveRefusal(Struct, frozen=True):
    """Refuses a request, or ends a begun answer with an explicit error."""

    request: str
    kind: ErrorKind
    outcome: Outcome
    retry_after_s: float


class Exit(Struct, frozen=True):
    """Ends the process: nothing is left to do."""


EntryEffect = (
    OpenLink
    | CloseLink
    | SendFrame
    | ReplyFrame
    | GiveTokens
    | GiveEnd
    | GiveAnswer
    | GiveRefusal
    | ObjectGet
    | ObjectPut
    | ObjectDelete
    | ObjectList
    | Log
    | Count
    | Observe
    | Exit
)
