"""One caller's completion and its current attempt."""

from msgspec import Struct, field

from masticdrum.core.digests import TokenDigest
from masticdrum.model.errors import ErrorKind
from masticdrum.model.tables import Route


class Attempt(Struct):
    """One try of a completion at one upstream.

    ``base`` is the sequence number of its first token, ``acked`` the number of tokens
    acknowledged to the agent, which need not store them any longer. ``heard_at`` is
    the time of the last frame, in seconds.
    """

    id: str
    upstream: str
    base: int
    heard_at: float
    digest: TokenDigest = field(default_factory=TokenDigest)
    accepted: bool = False
    acked: int = 0
    acked_at: float = 0.0
    resumes: int = 0
    gap_requested_at: float = 0.0


class Completion(Struct):
    """A caller's request for a completion, from its arrival to its end.

    ``delivered`` holds every token sent to the caller, in order. ``version`` is the
    weight version that generated the first of them; later attempts must use it too.
    ``token_at`` is when the last of them arrived, in seconds.
    ``moved`` is set once an agent's shutdown ended an attempt. ``may_have_run`` is set
    once an attempt ended without a report that it did not run. ``crashes`` counts the
    attempts that the upstream broke off.
    """

    request: str
    workspace: str
    route: Route
    prompt: str
    max_tokens: int
    arrived_at: float
    deadline: float
    fingerprint: str
    delivered: list[str] = field(default_factory=list)
    version: str = ""
    attempt: Attempt | None = None
    tried: list[str] = field(default_factory=list)
    moved: bool = False
    token_at: float = 0.0
    may_have_run: bool = False
    crashes: int = 0
    last_kind: ErrorKind = ErrorKind.NO_UPSTREAM
    last_retry_after_s: float = 0.0
