"""Messages between processes, that is between entries and agents or among entries.

On the wire each is a msgpack array whose first element is the message's tag, inside
an ``Envelope``. Tests and simulations pass the objects without encoding them.
"""

from msgspec import Struct

from masticdrum.model.errors import ErrorKind, Outcome
from masticdrum.model.ledger import Decision, Record
from masticdrum.model.tables import Urgency


class Load(Struct, frozen=True, array_like=True):
    """An agent's report of its upstream's load, sent with answers and refusals.

    ``wait_s`` is the expected time in the queue for work of normal urgency, in
    seconds. ``urgent`` is the number of urgent attempts that have no token yet.
    """

    running: int = 0
    queued: int = 0
    limit: int = 0
    wait_s: float = 0.0
    cold: bool = False
    leaving: bool = False
    urgent: int = 0


class Usage(Struct, frozen=True, array_like=True):
    """Where a prompt's blocks came from.

    All counts are blocks, except ``link_bytes``: the bytes that were transferred from
    store instances.
    """

    prompt_blocks: int = 0
    cached: int = 0
    imported: int = 0
    recomputed: int = 0
    link_bytes: int = 0


class Message(Struct, frozen=True, array_like=True, tag=True):
    """The base class of all messages."""


class Hello(Message, frozen=True):
    """Asks an agent who it is; the answer is ``Welcome``."""


class Welcome(Message, frozen=True):
    """States which upstream an agent serves; the envelope has its incarnation."""

    pool: str
    upstream: str
    load: Load


class Dispatch(Message, frozen=True):
    """Starts one attempt of a completion.

    ``delivered`` holds the tokens that the caller already has from earlier attempts.
    The run continues after them, and the sequence number of its first token is their
    count. ``version`` is the weight version that must serve, or empty for the current
    one. ``ttl_s`` is the time left until the request's deadline, in seconds.
    ``fingerprint`` is the same for equal requests, whoever sends them. ``crashes``
    counts the attempts of this request that their upstream aborted.
    """

    attempt: str
    request: str
    workspace: str
    pool: str
    urgency: Urgency
    ttl_s: float
    prompt: str
    max_tokens: int
    delivered: list[str]
    version: str = ""
    fingerprint: str = ""
    crashes: int = 0


class Call(Message, frozen=True):
    """Starts one attempt of a call to a plain service.

    ``incarnation`` is the agent's incarnation that the ledger's record names; an agent
    with another one refuses the call. It is empty if the call may be retried.
    """

    attempt: str
    request: str
    workspace: str
    pool: str
    urgency: Urgency
    ttl_s: float
    key: str
    body: bytes
    incarnation: str = ""
    fingerprint: str = ""


class Resume(Message, frozen=True):
    """Requests an attempt's frames on this link, from sequence number ``first`` on."""

    attempt: str
    first: int


class Received(Message, frozen=True):
    """Acknowledges all tokens below ``count``; the agent may discard them."""

    attempt: str
    count: int


class Cancel(Message, frozen=True):
    """Cancels an attempt whose caller has disconnected."""

    attempt: str


class Settle(Message, frozen=True):
    """Asks whether an attempt ran.

    The agent records a tombstone for an attempt that it doesn't know, if it can rule
    out that it ran. ``incarnation`` is the agent's incarnation that the attempt was
    meant for.
    """

    attempt: str
    incarnation: str = ""


class Settled(Message, frozen=True):
    """Answers ``Settle``; ``not_run`` is final: a later dispatch is refused."""

    attempt: str
    outcome: Outcome


class Accepted(Message, frozen=True):
    """The attempt was admitted; its run will use weight version ``version``."""

    attempt: str
    version: str
    load: Load


class Refused(Message, frozen=True):
    """The attempt did not run and never will."""

    attempt: str
    kind: ErrorKind
    retry_after_s: float
    load: Load


class Tokens(Message, frozen=True):
    """Tokens of an attempt; ``first`` is the sequence number of the first one.

    ``version`` is the weight version that produced them.
    """

    attempt: str
    first: int
    tokens: list[str]
    version: str


class Finished(Message, frozen=True):
    """The attempt is complete; ``count`` is the sequence number after its last token.

    ``digest`` covers the attempt's own tokens, those after ``Dispatch.delivered``.
    """

    attempt: str
    count: int
    digest: str
    reason: str
    usage: Usage
    load: Load


class Answered(Message, frozen=True):
    """A plain service's complete answer to a ``Call``."""

    attempt: str
    status: int
    content_type: str
    body: bytes
    load: Load


class Failed(Message, frozen=True):
    """The attempt was started and ended without a complete answer.

    ``broken`` means that the upstream aborted it, perhaps because it crashed.
    """

    attempt: str
    kind: ErrorKind
    outcome: Outcome
    load: Load
    broken: bool = False


class TablesAsk(Message, frozen=True):
    """Requests a peer's tables, since its envelope showed a higher serial."""


class TablesGive(Message, frozen=True):
    """Carries a peer's tables: the platform's JSON, compressed with zlib."""

    body: bytes


class Commit(Message, frozen=True):
    """Requests another entry to commit a record to the ledger, after ``before`` if any.

    The answer is ``Committed``, within ``wait_s`` seconds or not at all.
    """

    ticket: str
    record: Record
    wait_s: float
    before: Record | None = None


class Committed(Message, frozen=True):
    """Answers ``Commit`` with the ledger's decision.

    ``record`` is the key's newest one. ``unclaimed`` means that the key was read after
    the request arrived and that nothing ran under it.
    """

    ticket: str
    decision: Decision
    record: Record | None
    unclaimed: bool


AnyMessage = (
    Hello
    | Welcome
    | Dispatch
    | Call
    | Resume
    | Received
    | Cancel
    | Settle
    | Settled
    | Accepted
    | Refused
    | Tokens
    | Finished
    | Answered
    | Failed
    | TablesAsk
    | TablesGive
    | Commit
    | Committed
)


class Envelope(Struct, frozen=True, array_like=True):
    """One message with its sender, and the sender's incarnation and tables' serial."""

    sender: str
    incarnation: str
    serial: int
    message: AnyMessage
