"""Decodes the platform's headers into this project's types, and encodes them."""

from math import ceil, isfinite

from returns.result import Failure, Result, Success

from masticdrum.core.decoding import MAX_DIGITS, Undecodable, read_digits
from masticdrum.model.exchange import Prompt, PromptPart, StartAttempt
from masticdrum.shell.asgi import Headers
from masticdrum.shell.headercodec import CallerHeaders, UpstreamHeaders

REQUEST = b"x-request-id"
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
MODEL = b"x-model"
TOKENS = b"x-token-usage"
PARTS = b"x-prefix-hash"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
SIGNATURE = b"x-response-signature"
NOT_RUN = b"x-not-executed"
WEIGHTS = b"x-weight-versions"
KEEP_ALIVE = b"keep-alive"
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
STRIPPED_PREFIXES = (b"x-kv-", b"x-expect-")
STRIPPED_HEADERS = frozenset(
    {
        DEADLINE,
        AUTHORIZATION,
        LAST_EVENT,
        b"content-length",
        b"kv-from",
        b"x-cache-salt",
        b"x-hold",
        b"x-pin-ms",
        b"x-priority-class",
        b"x-tenant",
    }
)
MS_PER_S = 1000
MIN_MS = 1  # the platform counts whole milliseconds
SINGLE_HEADERS = (
    REQUEST,
    DEADLINE,
    AUTHORIZATION,
    MODEL,
    TOKENS,
    PARTS,
    LAST_EVENT,
    RESUMES,
)


class PlatformHeaderCodec:
    """The header codec for the platform's callers and upstreams."""

    def read_caller(self, headers: Headers) -> Result[CallerHeaders, str]:
        """Decode a caller's headers, or return what is wrong with them."""
        for name in SINGLE_HEADERS:
            if sum(key == name for key, _ in headers) > 1:
                return Failure(f"the header '{name.decode()}' occurs more than once")
        values = dict(headers)
        if not values.get(REQUEST):
            return Failure(f"the header '{REQUEST.decode()}' is missing")
        try:
            deadline = values.get(DEADLINE)
            last = values.get(LAST_EVENT)
            return Success(
                CallerHeaders(
                    request=values[REQUEST].decode("latin-1"),
                    key=read_key(values.get(AUTHORIZATION, b"")),
                    deadline_s=None
                    if deadline is None
                    else read_number(deadline) / MS_PER_S,
                    prompt=read_prompt(values),
                    last_event=None if last is None else read_number(last),
                    resumes=values.get(RESUMES, b"").decode("latin-1"),
                )
            )
        except ValueError as error:
            return Failure(f"invalid header value: {error}")

    def write_upstream(self, headers: Headers, attempt: StartAttempt) -> Headers:
        """Return the headers for an upstream, without those for framing."""
        forwarded = [
            (name, value)
            for name, value in headers
            if name not in STRIPPED_HEADERS and not name.startswith(STRIPPED_PREFIXES)
        ]
        left_ms = max(MIN_MS, ceil(attempt.left_s * MS_PER_S))
        forwarded.append((DEADLINE, str(left_ms).encode()))
        forwarded.append((b"x-expect-instance", attempt.upstream.encode()))
        if attempt.workspace:
            forwarded.append((b"x-tenant", attempt.workspace.encode()))
        if attempt.last_event is not None:
            forwarded.append((LAST_EVENT, str(attempt.last_event).encode()))
        if attempt.cache_scope:
            forwarded.append((b"x-cache-salt", attempt.cache_scope.encode()))
            forwarded.append((b"x-priority-class", str(attempt.urgency).encode()))
        if any(attempt.cache_sources):
            forwarded.append((b"x-kv-source", write_addresses(attempt.cache_sources)))
        if any(attempt.cache_targets):
            forwarded.append((b"x-kv-target", write_addresses(attempt.cache_targets)))
        if attempt.expect_weights:
            forwarded.append(
                (b"x-expect-version", str(attempt.expect_weights).encode())
            )
        return forwarded

    def read_upstream(self, status: int, headers: Headers) -> UpstreamHeaders:
        """Decode the headers of an upstream's answer."""
        values = dict(headers)
        kind = values.get(b"content-type", b"")
        return UpstreamHeaders(
            request=values.get(REQUEST, b"").decode("latin-1"),
            signed=SIGNATURE in values,
            not_run=NOT_RUN in values,
            plain=b"content-encoding" not in values,
            events=kind.startswith(b"text/event-stream"),
            weights=read_weights(values.get(WEIGHTS, b"")),
            idle_s=read_idle_timeout(values.get(KEEP_ALIVE, b"")),
            limit_per_s=read_limit(values.get(LIMIT)),
            pause_s=read_seconds(values.get(RETRY_AFTER)) if status == 503 else 0.0,
            leaving=values.get(LEAVING, b"").strip() == b"1",
        )


def write_addresses(addresses: tuple[str, ...]) -> bytes:
    """Encode an address for each part of a prompt, with a dash for none."""
    return ",".join(address or "-" for address in addresses).encode()


def read_key(value: bytes) -> str:
    """Return the key of an ``Authorization`` header, or an empty string."""
    scheme, _, key = value.partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else ""


def read_prompt(values: dict[bytes, bytes]) -> Prompt | None:
    """Return the model and prompt of a request, if any; raises ``ValueError``."""
    model = values.get(MODEL)
    if model is None:
        return None
    tokens = values.get(TOKENS, b"").partition(b",")
    parts = [part.rpartition(b":") for part in values.get(PARTS, b"").split(b",")]
    return Prompt(
        model=model.decode("latin-1"),
        parts=tuple(
            PromptPart(name.strip().decode("latin-1"), read_number(count))
            for name, _, count in parts
            if name
        ),
        tokens_in=read_number(tokens[0] or b"0"),
        tokens_out=read_number(tokens[2] or b"0"),
    )


def read_number(value: bytes) -> int:
    """Return a whole number that isn't negative; raises ``ValueError``."""
    try:
        return read_digits(value.strip())
    except Undecodable as error:
        raise ValueError(str(error)) from error


def read_weights(value: bytes) -> int:
    """Return the version of an upstream's weights, zero if none can be read."""
    return int(value) if value.isdigit() and len(value) <= MAX_DIGITS else 0


def read_limit(value: bytes | None) -> float | None:
    """Return the requests a second that an upstream takes, None if it names none."""
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if isfinite(limit) and limit >= 0 else None


def read_seconds(value: bytes | None) -> float:
    """Return a time in seconds, zero if there is none that can be read."""
    return read_limit(value) or 0.0


def read_idle_timeout(value: bytes) -> float | None:
    """Return the idle timeout in a ``Keep-Alive`` header, in seconds."""
    for word in value.split(b","):
        name, _, text = word.strip().partition(b"=")
        digits = text.strip()
        if name.lower() == b"timeout" and digits.isdigit():
            return float(digits[:MAX_DIGITS])
    return None
