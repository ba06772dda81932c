"""Messages between entries and agents.

On the wire each is a msgpack array whose first element is the message's tag, inside
an ``Envelope``. In tests and drivers they travel as they are.
"""

from msgspec import Struct

from masticdrum.model.errors import ErrorKind, Outcome
from masticdrum.model.ledger import Decision, Record
from masticdrum.model.tables import Urgency


class Load(Struct, frozen=True, array_like=True):
    """An agent's hint about its upstream, sent with answers and refusals.

    ``wait_s`` is the expected time in the queue for normal work, in seconds, and
    ``urgent`` the number of urgent attempts that have no token yet.
    """

    running: int = 0
    queued: int = 0
    limit: int = 0
    wait_s: float = 0.0
    cold: bool = False
    leaving: bool = False
    urgent: int = 0


class Usage(Struct, frozen=True, array_like=True):
    """Where a prompt's blocks came from, and the times of the run.

    All counts are blocks; ``link_bytes`` went over the link to a store instance.
    """

    prompt_blocks: int = 0
    cached: int = 0
    imported: int = 0
    recomputed: int = 0
    link_bytes: int = 0


class Message(Struct, frozen=True, array_like=True, tag=True):
    """The base of all messages."""


class Hello(Message, frozen=True):
    """Asks an agent who it is; the answer is ``Welcome``."""


class Welcome(Message, frozen=True):
    """Says which upstream an agent serves; its incarnation is on the envelope."""

    pool: str
    upstream: str
    load: Load


class Dispatch(Message, frozen=True):
    """Starts one attempt of a completion.

    ``delivered`` holds the tokens that earlier attempts already gave to the caller;
    the run goes on behind them and its first token has their count as sequence
    number. ``version`` is the weight version that must serve, or empty for the
    current one. ``ttl_s`` is the time left until the request's deadline, in seconds.
    ``fingerprint`` names equal requests, whoever sends them again; ``crashes`` counts
    the attempts of this request whose upstream broke off.
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
    """Starts one attempt of a plain service's call.

    ``incarnation`` is the agent's incarnation that the ledger's record names; any
    other agent refuses. It is empty where the call may be repeated.
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
    """Asks for an attempt's frames from sequence number ``first`` on this link."""

    attempt: str
    first: int


class Received(Message, frozen=True):
    """Acknowledges all tokens below ``count``; the agent may forget them."""

    attempt: str
    count: int


class Cancel(Message, frozen=True):
    """Ends an attempt whose caller is gone."""

    attempt: str


class Settle(Message, frozen=True):
    """Asks whether an attempt ran; an unknown one is buried by a tombstone.

    ``incarnation`` is the agent's incarnation that the attempt was meant for.
    """

    attempt: str
    incarnation: str = ""


class Settled(Message, frozen=True):
    """Answers ``Settle``; ``not_run`` is final, a later dispatch is refused."""

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

    ``version`` is the weight version that gave them.
    """

    attempt: str
    first: int
    tokens: list[str]
    version: str


class Finished(Message, frozen=True):
    """The attempt is whole: ``count`` is the sequence number after its last token.

    ``digest`` covers the attempt's own tokens, those from ``Dispatch.delivered`` on.
    """

    attempt: str
    count: int
    digest: str
    reason: str
    usage: Usage
    load: Load


class Answered(Message, frozen=True):
    """A plain service's whole answer to a ``Call``."""

    attempt: str
    status: int
    content_type: str
    body: bytes
    load: Load


class Failed(Message, frozen=True):
    """The attempt began and ended without a whole answer.

    ``broken`` tells that the upstream broke it off, which may be its crash.
    """

    attempt: str
    kind: ErrorKind
    outcome: Outcome
    load: Load
    broken: bool = False


class TablesAsk(Message, frozen=True):
    """Asks a peer for its tables, since its envelope showed a higher serial."""


class TablesGive(Message, frozen=True):
    """Carries a peer's tables: the platform's JSON, compressed with zlib."""

    body: bytes


class Commit(Message, frozen=True):
    """Asks another entry to commit a record to the ledger, after ``before`` if any.

    The answer is ``Committed``, within ``wait_s`` seconds or not at all.
    """

    ticket: str
    record: Record
    wait_s: float
    before: Record | None = None


class Committed(Message, frozen=True):
    """Says what became of the record of a ``Commit``.

    ``record`` is the key's newest one. ``unclaimed`` tells that the key was read after
    the request came and nothing ran under it.
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
    """One message with its sender, the sender's incarnation and tables' serial."""

    sender: str
    incarnation: str
    serial: int
    message: AnyMessage
