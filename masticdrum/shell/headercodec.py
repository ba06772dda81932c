"""The interface that decodes and encodes a platform's HTTP headers."""

from typing import Protocol

from msgspec import Struct
from returns.result import Result

from masticdrum.model.exchange import Prompt, StartAttempt
from masticdrum.shell.asgi import Headers


class CallerHeaders(Struct, frozen=True):
    """A caller's decoded headers; times are in seconds.

    ``resumes`` is the request that began the stream that is to go on after
    ``last_event``.
    """

    request: str
    key: str = ""
    deadline_s: float | None = None
    prompt: Prompt | None = None
    last_event: int | None = None
    resumes: str = ""


class UpstreamHeaders(Struct, frozen=True):
    """The decoded headers of an upstream's answer.

    ``not_run`` means that the upstream states that it did not run the request,
    ``signed`` that the answer has a signature, ``plain`` that it has no content
    encoding, and ``events`` that it is an event stream. ``idle_s`` is the upstream's
    idle timeout for the connection; None if it isn't stated. ``limit_per_s`` is how
    many requests a second it takes from all entries together, None without a limit.
    ``leaving`` means that the upstream is about to leave. ``pause_s`` is for how long
    it wants nothing from this process, zero if it doesn't say so.
    """

    request: str
    signed: bool
    not_run: bool
    plain: bool
    events: bool
    weights: int = 0
    idle_s: float | None = None
    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float = 0.0


class HeaderCodec(Protocol):
    """Decodes and encodes the headers of one platform."""

    def read_caller(self, headers: Headers) -> Result[CallerHeaders, str]:
        """Decode a caller's headers; the failure states what is wrong with them."""

    def write_upstream(self, headers: Headers, attempt: StartAttempt) -> Headers:
        """Return the headers of a request to an upstream, except those for framing."""

    def read_upstream(self, status: int, headers: Headers) -> UpstreamHeaders:
        """Decode the headers of an upstream's answer."""


HOP_HEADERS = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def drop_hop_headers(headers: Headers) -> Headers:
    """Remove hop-by-hop headers and those that ``Connection`` lists."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    drop = HOP_HEADERS | named
    return [(name, value) for name, value in headers if name.lower() not in drop]
