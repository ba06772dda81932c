"""All error kinds, and the answer that callers get for each."""

from enum import StrEnum

from msgspec import Struct


class Outcome(StrEnum):
    """Whether a refused or failed request may have taken effect."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every reason for which a request is refused or ends early."""

    MALFORMED_REQUEST = "malformed_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    UNAUTHENTICATED = "unauthenticated"
    ROUTE_FORBIDDEN = "route_forbidden"
    ROUTE_UNKNOWN = "route_unknown"
    KEY_MISSING = "key_missing"
    KEY_CONFLICT = "key_conflict"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_EXPIRED = "key_expired"
    TOO_MANY_OPEN = "too_many_open"
    QUEUE_FULL = "queue_full"
    SATURATED = "saturated"
    COLD_START = "cold_start"
    DATA_CENTRE_OUT = "data_centre_out"
    LEAVING = "leaving"
    SHUTTING_DOWN = "shutting_down"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    TABLES_MISSING = "tables_missing"
    TABLES_STALE = "tables_stale"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    WRONG_INCARNATION = "wrong_incarnation"
    WRONG_VERSION = "wrong_version"
    TOMBSTONED = "tombstoned"
    QUARANTINED = "quarantined"
    CRASH_SUSPECT = "crash_suspect"
    ORIGIN_UNKNOWN = "origin_unknown"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SILENT = "upstream_silent"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CALLER_GONE = "caller_gone"


class Answer(Struct, frozen=True):
    """The answer that a caller gets for one error kind.

    ``status`` is the HTTP status. ``retry_after_s`` is when to retry, in seconds; zero
    means that a retry of the same request can't succeed. ``retry_elsewhere`` is whether
    the entry itself may try another upstream.
    """

    status: int
    text: str
    retry_after_s: float = 0.0
    retry_elsewhere: bool = False


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED_REQUEST: Answer(400, "the request is malformed"),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, "the headers are too large"),
    ErrorKind.BODY_TOO_LARGE: Answer(413, "the body is too large"),
    ErrorKind.PROMPT_TOO_LONG: Answer(422, "the prompt is too long for its route"),
    ErrorKind.UNAUTHENTICATED: Answer(401, "the credential is missing or unknown"),
    ErrorKind.ROUTE_FORBIDDEN: Answer(403, "the workspace may not use this route"),
    ErrorKind.ROUTE_UNKNOWN: Answer(404, "the route does not exist"),
    ErrorKind.KEY_MISSING: Answer(400, "this route needs an Idempotency-Key header"),
    ErrorKind.KEY_CONFLICT: Answer(422, "the key was used with another body"),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, "the key's request is still running", 1.0),
    ErrorKind.KEY_EXPIRED: Answer(410, "the key is older than the ledger's retention"),
    ErrorKind.TOO_MANY_OPEN: Answer(
        429, "the workspace has too many open requests", 1.0
    ),
    ErrorKind.QUEUE_FULL: Answer(503, "the upstream's queue is full", 1.0, True),
    ErrorKind.SATURATED: Answer(503, "the upstreams can't answer in time", 4.0),
    ErrorKind.COLD_START: Answer(503, "the upstream is warming up", 2.0, True),
    ErrorKind.DATA_CENTRE_OUT: Answer(503, "the data centre is out", 1.0, True),
    ErrorKind.LEAVING: Answer(503, "the upstream is leaving", 1.0, True),
    ErrorKind.SHUTTING_DOWN: Answer(503, "the instance is shutting down", 1.0, True),
    ErrorKind.OVERLOADED: Answer(503, "too much is held for callers here", 1.0),
    ErrorKind.NO_UPSTREAM: Answer(503, "no upstream can take the request", 2.0),
    ErrorKind.TABLES_MISSING: Answer(503, "no configuration is in force yet", 2.0),
    ErrorKind.TABLES_STALE: Answer(503, "the configuration is too old", 1.0, True),
    ErrorKind.LEDGER_UNAVAILABLE: Answer(503, "the ledger can't be reached", 5.0),
    ErrorKind.RETRY_BUDGET_SPENT: Answer(503, "the retry budget is spent", 2.0),
    ErrorKind.WRONG_INCARNATION: Answer(503, "the agent was replaced", 1.0, True),
    ErrorKind.WRONG_VERSION: Answer(
        503, "the upstream serves another weight version", 1.0, True
    ),
    ErrorKind.TOMBSTONED: Answer(503, "the attempt was given up", 1.0, True),
    ErrorKind.QUARANTINED: Answer(422, "the request crashed upstreams before"),
    ErrorKind.CRASH_SUSPECT: Answer(503, "requests like this crash upstreams", 60.0),
    ErrorKind.ORIGIN_UNKNOWN: Answer(
        503, "it is not known which version began the stream", 0.5
    ),
    ErrorKind.UPSTREAM_FAILED: Answer(502, "the upstream failed", 1.0, True),
    ErrorKind.UPSTREAM_SILENT: Answer(504, "the upstream fell silent", 1.0, True),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, "the deadline passed", 1.0),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, "whether the request ran is not known"),
    ErrorKind.CALLER_GONE: Answer(499, "the caller closed the connection"),
}
