"""What a platform's headers say, told to the shell in the product's words."""

from typing import Protocol

from msgspec import Struct
from returns.result import Result

from masticdrum.model.exchange import Prompt, StartAttempt
from masticdrum.shell.asgi import Headers


class CallerWords(Struct, frozen=True):
    """What a caller's headers say; times are seconds."""

    request: str
    key: str = ""
    deadline_s: float | None = None
    prompt: Prompt | None = None
    last_event: int | None = None


class UpstreamWords(Struct, frozen=True):
    """What the headers of an upstream's answer say.

    ``not_run`` is the upstream's word that it did not run the request. ``idle_s`` is
    how long it keeps the connection; None if it doesn't say.
    """

    request: str
    signed: bool
    not_run: bool
    plain: bool
    events: bool
    weights: int = 0
    idle_s: float | None = None


class WireForm(Protocol):
    """Reads and writes the headers of one platform."""

    def read_caller(self, headers: Headers) -> Result[CallerWords, str]:
        """Read a caller's headers, or say what is wrong with them."""

    def write_upstream(self, headers: Headers, attempt: StartAttempt) -> Headers:
        """Return the headers for an upstream, without framing."""

    def read_upstream(self, status: int, headers: Headers) -> UpstreamWords:
        """Read the headers of an upstream's answer."""


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
    """Leave out what concerns one connection only, and what it names itself."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    drop = HOP_HEADERS | named
    return [(name, value) for name, value in headers if name.lower() not in drop]
