"""Which version of the upstreams' software began each stream, as this process knows."""

from collections import OrderedDict

from msgspec import Struct

from masticdrum.core.servedsoftware import MAX_STREAM_LIFE_S
from masticdrum.model.origins import OriginQueried, OriginReply, SendOriginReply

MAX_ORIGINS = 20_000
MAX_NAME_CHARS = 128  # of a request; the streams of longer ones are not recorded


class Origin(Struct, frozen=True):
    """The version that began a stream, and when this process learnt it."""

    software: str
    at: float
    service: str


class StreamOrigins:
    """The versions that began recent streams, by request; bounded in number and age."""

    __slots__ = ("_origins",)

    def __init__(self) -> None:
        self._origins: OrderedDict[str, Origin] = OrderedDict()

    def record(
        self, request: str, software: str, now: float, service: str = ""
    ) -> None:
        """Record which version began the stream of a request.

        ``service`` is that of the upstream, or empty where it isn't needed.
        """
        if max(len(request), len(software)) > MAX_NAME_CHARS:
            return
        self._origins[request] = Origin(software, now, service)
        self._origins.move_to_end(request)
        while self._origins:
            oldest = next(iter(self._origins.values()))
            is_over = now >= oldest.at + MAX_STREAM_LIFE_S
            if not is_over and len(self._origins) <= MAX_ORIGINS:
                return
            self._origins.popitem(last=False)

    def list_requests(self, service: str, since: float) -> list[str]:
        """List the requests of a service whose streams were recorded since a time."""
        return [
            request
            for request, origin in self._origins.items()
            if origin.service == service and origin.at >= since
        ]

    def find(self, request: str, now: float) -> str | None:
        """Return the version that began a request's stream, None if it isn't known."""
        origin = self._origins.get(request)
        if origin is None or now >= origin.at + MAX_STREAM_LIFE_S:
            return None
        return origin.software

    def answer(self, event: OriginQueried, now: float) -> SendOriginReply:
        """Return the reply to another process's query."""
        query = event.query
        software = self.find(query.request, now)
        reply = OriginReply(query.handle, query.request, software)
        return SendOriginReply(event.peer, reply)
