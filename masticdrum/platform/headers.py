"""The platform's headers, read into the product's words and written from them."""

from math import ceil

from returns.result import Failure, Result, Success

from masticdrum.model.exchange import Prompt, PromptPart, StartAttempt
from masticdrum.shell.asgi import Headers
from masticdrum.shell.wireform import CallerWords, UpstreamWords

REQUEST = b"x-request-id"
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
MODEL = b"x-model"
TOKENS = b"x-token-usage"
PARTS = b"x-prefix-hash"
LAST_EVENT = b"last-event-id"
SIGNATURE = b"x-response-signature"
NOT_RUN = b"x-not-executed"
WEIGHTS = b"x-weight-versions"
KEEP_ALIVE = b"keep-alive"
OWN_PREFIXES = (b"x-kv-", b"x-expect-")
OWN = frozenset(
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
LEAST_MS = 1  # the platform counts whole milliseconds
ONCE = (REQUEST, DEADLINE, AUTHORIZATION, MODEL, TOKENS, PARTS, LAST_EVENT)


class PlatformForm:
    """The wire form of the platform's callers and upstreams."""

    def read_caller(self, headers: Headers) -> Result[CallerWords, str]:
        """Read a caller's headers, or say what is wrong with them."""
        for name in ONCE:
            if sum(key == name for key, _ in headers) > 1:
                return Failure(f"the header '{name.decode()}' stands twice")
        said = dict(headers)
        if not said.get(REQUEST):
            return Failure(f"the header '{REQUEST.decode()}' is missing")
        try:
            deadline = said.get(DEADLINE)
            last = said.get(LAST_EVENT)
            return Success(
                CallerWords(
                    request=said[REQUEST].decode("latin-1"),
                    key=read_key(said.get(AUTHORIZATION, b"")),
                    deadline_s=None if deadline is None else int(deadline) / MS_PER_S,
                    prompt=read_prompt(said),
                    last_event=None if last is None else int(last),
                )
            )
        except ValueError as error:
            return Failure(f"a header can't be read: {error}")

    def write_upstream(self, headers: Headers, attempt: StartAttempt) -> Headers:
        """Return the headers for an upstream, without framing."""
        passed = [
            (name, value)
            for name, value in headers
            if name not in OWN and not name.startswith(OWN_PREFIXES)
        ]
        left_ms = max(LEAST_MS, ceil(attempt.left_s * MS_PER_S))
        passed.append((DEADLINE, str(left_ms).encode()))
        passed.append((b"x-expect-instance", attempt.upstream.encode()))
        if attempt.workspace:
            passed.append((b"x-tenant", attempt.workspace.encode()))
        if attempt.last_event is not None:
            passed.append((LAST_EVENT, str(attempt.last_event).encode()))
        if attempt.cache_scope:
            passed.append((b"x-cache-salt", attempt.cache_scope.encode()))
            passed.append((b"x-priority-class", str(attempt.urgency).encode()))
        if any(attempt.cache_sources):
            passed.append((b"x-kv-source", write_places(attempt.cache_sources)))
        if any(attempt.cache_targets):
            passed.append((b"x-kv-target", write_places(attempt.cache_targets)))
        if attempt.expect_weights:
            passed.append((b"x-expect-version", str(attempt.expect_weights).encode()))
        return passed

    def read_upstream(self, status: int, headers: Headers) -> UpstreamWords:
        """Read the headers of an upstream's answer."""
        said = dict(headers)
        weights = said.get(WEIGHTS, b"")
        kind = said.get(b"content-type", b"")
        return UpstreamWords(
            request=said.get(REQUEST, b"").decode("latin-1"),
            signed=SIGNATURE in said,
            not_run=NOT_RUN in said,
            plain=b"content-encoding" not in said,
            events=kind.startswith(b"text/event-stream"),
            weights=int(weights) if weights.isdigit() else 0,
            idle_s=read_idle(said.get(KEEP_ALIVE, b"")),
        )


def write_places(places: tuple[str, ...]) -> bytes:
    """Write an address for each part of a prompt; a dash stands for none."""
    return ",".join(place or "-" for place in places).encode()


def read_key(value: bytes) -> str:
    """Return the key of an ``Authorization`` header, or an empty string."""
    scheme, _, key = value.partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else ""


def read_prompt(said: dict[bytes, bytes]) -> Prompt | None:
    """Return what a request asks of a model; raises ``ValueError``."""
    model = said.get(MODEL)
    if model is None:
        return None
    tokens = said.get(TOKENS, b"").partition(b",")
    parts = [part.rpartition(b":") for part in said.get(PARTS, b"").split(b",")]
    return Prompt(
        model=model.decode("latin-1"),
        parts=tuple(
            PromptPart(name.strip().decode("latin-1"), int(count))
            for name, _, count in parts
            if name
        ),
        tokens_in=int(tokens[0] or 0),
        tokens_out=int(tokens[2] or 0),
    )


def read_idle(value: bytes) -> float | None:
    """Return the idle time in a ``Keep-Alive`` header, in seconds."""
    for word in value.split(b","):
        name, _, text = word.strip().partition(b"=")
        if name.lower() == b"timeout" and text.strip().isdigit():
            return float(text)
    return None
