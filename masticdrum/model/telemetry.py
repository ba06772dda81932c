"""Numbered log events, counters and histograms, as effects that are plain data."""

from enum import IntEnum, StrEnum

from msgspec import Struct, field


class LogNumber(IntEnum):
    """The number of each log event; docs/EVENTS.md explains them."""

    STARTED = 1
    READY = 2
    SHUTDOWN_BEGUN = 3
    SHUTDOWN_DONE = 4
    TABLES_INSTALLED = 10
    TABLES_REJECTED = 11
    PLATFORM_FAILED = 12
    TABLES_DOUBTED = 13
    TABLES_UNCONFIRMED = 14
    REQUEST_REFUSED = 20
    REQUEST_FINISHED = 21
    REQUEST_FAILED = 22
    ATTEMPT_DISPATCHED = 23
    ATTEMPT_REFUSED = 24
    ATTEMPT_FAILED = 25
    ATTEMPT_RESUMED = 26
    FRAME_DROPPED = 27
    CALLER_GONE = 28
    PEER_REFUSED = 29
    RUN_STARTED = 40
    RUN_FINISHED = 41
    RUN_FAILED = 42
    RUN_CANCELLED = 43
    EXCHANGE_REFUSED = 50
    EXCHANGE_SENT = 51
    EXCHANGE_ATTEMPT_ENDED = 52
    EXCHANGE_ANSWERED = 53
    EXCHANGE_BROKEN = 54
    EXCHANGE_ABANDONED = 55
    ANSWER_UNWRITABLE = 56
    CONNECTION_FAILED = 57
    ACCEPT_FAILED = 58
    DIRECTORY_INSTALLED = 60
    DIRECTORY_IGNORED = 61
    LEASE_LAPSED = 62
    LEASE_REGAINED = 63
    UPSTREAM_SEEN = 64
    UPSTREAM_LEAVING = 65
    UPSTREAM_GONE = 66
    DATA_CENTRES_CHANGED = 67
    WEIGHTS_NAMED = 68
    MEMBERS_CHANGED = 69
    SOURCE_LOST = 70
    SOURCE_REGAINED = 71
    READINESS_CHANGED = 72
    CLOCK_JUMPED = 73
    ORDER_GIVEN = 74
    ORDER_ANSWERED = 75
    UPSTREAM_AVOIDED = 76
    OBJECT_UNREADABLE = 77
    SETTINGS_RELOADED = 78
    LINES_DROPPED = 79
    SETTINGS_REFUSED = 80
    CRASH_SUSPECTED = 81
    SUSPICION_CHANGED = 82
    UPSTREAM_LIMITED = 83
    STORE_RESTORED = 84
    PERMIT_CHANGED = 85
    REGISTRATION_OUTDATED = 86
    STREAM_TAKEN_UP = 87
    UPSTREAM_PAUSED = 88
    SOFTWARE_MIXED = 89
    SOFTWARE_RECORDED = 90
    TASK_FAILED = 91
    CALLER_SHED = 92
    CALLER_LIMITS_CHANGED = 93
    ROLLOUT_STEP = 94
    ROLLOUT_DECIDED = 95
    ROLLOUT_LEASE = 96


class Counter(StrEnum):
    """Counters; each is split by a reason."""

    REQUESTS = "requests"
    REFUSALS = "refusals"
    RETRIES = "retries"
    FRAMES_DROPPED = "frames_dropped"
    PLATFORM_CALLS = "platform_calls"
    TABLES = "tables"
    COMMITS = "commits"
    LINK_BYTES = "link_bytes"
    BLOCKS = "blocks"
    PROMPT_BLOCKS = "prompt_blocks"
    EXCHANGES = "exchanges"
    ATTEMPTS = "attempts"
    ORDERS = "orders"
    CONNECTIONS = "connections"
    ROLLOUT_REQUESTS = "rollout_requests"


class Histogram(StrEnum):
    """Histograms; times are seconds."""

    FIRST_TOKEN = "first_token_seconds"
    BETWEEN_TOKENS = "between_tokens_seconds"
    QUEUE_WAIT = "queue_wait_seconds"
    EXCHANGE_FIRST = "exchange_first_seconds"
    EXCHANGE_WHOLE = "exchange_whole_seconds"


Facts = dict[str, str | int | float | bool | list[str]]


class Log(Struct, frozen=True):
    """Writes one numbered log event; ``facts`` are the inputs of the decision."""

    number: LogNumber
    request: str = ""
    attempt: str = ""
    detail: str = ""
    facts: Facts = field(default_factory=dict)


class Count(Struct, frozen=True):
    """Adds ``amount`` to a counter under ``reason``."""

    counter: Counter
    reason: str
    amount: int = 1


class Observe(Struct, frozen=True):
    """Adds ``value`` to a histogram under ``label``."""

    histogram: Histogram
    value: float
    label: str = ""
