"""What a caller's connection asks of those who answer its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ErrorKind
from masticdrum.shell.asgi import Body, Headers

if TYPE_CHECKING:
    from masticdrum.shell.callerconnection import CallerConnection


class IncomingRequest(Struct):
    """One request; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    arrived: float
    body: Body = b""


class Refusal(Struct, frozen=True):
    """Why a request is refused, with a sentence that names the fault."""

    kind: ErrorKind
    detail: str = ""


class RequestHandler(Protocol):
    """Answers the requests of connections."""

    def read_limits(self) -> CallerLimits:
        """Return the current limits on callers."""

    def was_stalled(self) -> bool:
        """Return whether the process has just resumed after a stall."""

    def check(self, request: IncomingRequest) -> Refusal | None:
        """Return why a request is refused before its body is read, or None."""

    def begin(self, connection: CallerConnection, request: IncomingRequest) -> None:
        """Begin to answer a whole request."""

    def refuse(
        self,
        connection: CallerConnection,
        request: IncomingRequest | None,
        refusal: Refusal,
    ) -> None:
        """Answer a request that can't be accepted; it may be unreadable."""

    def abandon(self, connection: CallerConnection) -> None:
        """End the work for the open request of a connection that has closed."""


class ConnectionKeeper(Protocol):
    """Knows what all connections together hold."""

    def record_held(self, connection: CallerConnection, size: int) -> None:
        """Record how many bytes a connection holds; it may be shed at once."""
