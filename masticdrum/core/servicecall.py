"""A plain service call at an entry, and the table of all such calls."""

from enum import StrEnum

from msgspec import Struct, field

from masticdrum.model.errors import ErrorKind
from masticdrum.model.ledger import Record
from masticdrum.model.tables import Route, Upstream


class CallStage(StrEnum):
    """What a call waits for.

    ``IDENTIFYING`` waits for an agent's identity, ``CLAIMING`` for the ledger to commit
    the claim, ``RUNNING`` for the agent. ``LOOKING_UP`` waits for the key's state in
    the ledger, and ``RESOLVING`` queries an agent about another request's attempt.
    """

    IDENTIFYING = "greeting"
    CLAIMING = "claiming"
    RUNNING = "running"
    LOOKING_UP = "looking"
    RESOLVING = "settling"


class ServiceCall(Struct):
    """A caller's service call, until its caller is answered and its attempt resolved.

    ``at_most_once`` calls may take effect once at most. ``claim`` is the ledger's
    record of the current attempt, ``other_claim`` that of another request's attempt,
    which is being resolved. ``answered`` means that the caller has an answer or has
    disconnected; the call stays after that while its attempt may still run. Times are
    seconds.
    """

    request: str
    workspace: str
    route: Route
    key: str
    body: bytes
    digest: bytes
    at_most_once: bool
    arrived_at: float
    deadline: float
    stage: CallStage = CallStage.IDENTIFYING
    attempt: str = ""
    claim: Record | None = None
    claimed_at: float = 0.0
    other_claim: Record | None = None
    upstream: Upstream | None = None
    incarnation: str = ""
    link: str = ""
    probes: int = 0
    tried: list[str] = field(default_factory=list)
    answered: bool = False
    may_have_run: bool = False
    last_kind: ErrorKind = ErrorKind.NO_UPSTREAM
    last_retry_after_s: float = 0.0


KeyName = tuple[str, str]


class ServiceCalls:
    """The calls of one entry, by request, by attempt and by key."""

    __slots__ = ("by_attempt", "by_key", "by_request", "dispatched", "attempt_count")

    def __init__(self) -> None:
        self.by_request: dict[str, ServiceCall] = {}
        self.by_attempt: dict[str, str] = {}
        self.by_key: dict[KeyName, str] = {}
        self.dispatched: set[str] = set()
        self.attempt_count = 0

    def add(self, call: ServiceCall) -> None:
        """Add a call; of the at-most-once calls only one at a time has a key."""
        self.by_request[call.request] = call
        if call.at_most_once:
            self.by_key[call.workspace, call.key] = call.request

    def find(self, request: str) -> ServiceCall | None:
        """Return a call by its request's name, or None."""
        return self.by_request.get(request)

    def is_tracked(self, attempt: str) -> bool:
        """Return whether a call waits for an attempt."""
        return attempt in self.by_attempt

    def find_by_attempt(self, attempt: str) -> ServiceCall | None:
        """Return the call that waits for an attempt, or None."""
        request = self.by_attempt.get(attempt)
        return None if request is None else self.by_request[request]

    def find_by_key(self, workspace: str, key: str) -> ServiceCall | None:
        """Return the call that has a key at this entry, or None."""
        request = self.by_key.get((workspace, key))
        return None if request is None else self.by_request[request]

    def track(self, call: ServiceCall, attempt: str) -> None:
        """Route an attempt's frames to a call."""
        self.by_attempt[attempt] = call.request

    def untrack(self, attempt: str) -> None:
        """Stop routing an attempt's frames, and drop its record of dispatch."""
        self.by_attempt.pop(attempt, None)
        self.dispatched.discard(attempt)

    def remove(self, call: ServiceCall) -> None:
        """Remove a call and stop tracking its attempts."""
        self.by_request.pop(call.request, None)
        self.untrack(call.attempt)
        if call.other_claim is not None:
            self.untrack(call.other_claim.attempt)
        if self.by_key.get((call.workspace, call.key)) == call.request:
            del self.by_key[call.workspace, call.key]

    def list_awaiting_identity(self, upstream: str) -> list[ServiceCall]:
        """Return the calls that wait for the identity of an upstream's agent."""
        return [
            call
            for call in self.by_request.values()
            if call.stage is CallStage.IDENTIFYING
            and call.upstream is not None
            and call.upstream.name == upstream
        ]
