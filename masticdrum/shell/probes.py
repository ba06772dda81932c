"""Health, readiness, metrics and status of one process, over HTTP."""

from collections.abc import Callable

import msgspec
from msgspec import Struct

from masticdrum.model.directory import CallerLimits
from masticdrum.model.errors import ANSWERS
from masticdrum.shell.asgi import JSON, Scope, Send, send_whole
from masticdrum.shell.callerconnection import CallerConnection
from masticdrum.shell.callerrequests import IncomingRequest, Refusal
from masticdrum.shell.metrics import Metrics

MAX_BODY_BYTES = 4096  # probes have none
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class ProbeAnswer(Struct, frozen=True):
    """The whole answer to a probe."""

    status: int
    body: bytes = b""
    content_type: str = JSON


class Probes:
    """Answers ``/healthz``, ``/readyz``, ``/metrics`` and ``/status``."""

    def __init__(
        self,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        describe: Callable[[], dict[str, object]],
    ) -> None:
        self._metrics = metrics
        self._is_ready = is_ready
        self._describe = describe

    def find_answer(self, method: str, path: str) -> ProbeAnswer | None:
        """Return the answer to a probe, or None for any other path."""
        match method, path:
            case "GET", "/healthz":
                return make_json_answer(200, {"healthy": True})
            case "GET", "/readyz":
                ready = self._is_ready()
                return make_json_answer(200 if ready else 503, {"ready": ready})
            case "GET", "/metrics":
                return ProbeAnswer(200, self._metrics.export(), METRICS_TYPE)
            case "GET", "/status":
                return make_json_answer(200, self._describe())
            case _:
                return None

    async def answer(self, scope: Scope, send: Send) -> bool:
        """Answer a probe over ASGI; return False for any other path."""
        answer = self.find_answer(scope["method"], scope["path"])
        if answer is None:
            return False
        await send_whole(
            send, answer.status, answer.body, content_type=answer.content_type
        )
        return True


class ProbeHandler:
    """Answers probes on a port of their own."""

    def __init__(self, probes: Probes) -> None:
        self._probes = probes

    def read_limits(self) -> CallerLimits:
        """Return the limits on those who probe."""
        return CallerLimits(max_body_bytes=MAX_BODY_BYTES)

    def was_stalled(self) -> bool:
        """Return False, since probes may be answered after a stall."""
        return False

    def check(self, request: IncomingRequest) -> Refusal | None:
        """Return None, since any probe is answered."""
        return None

    def begin(self, connection: CallerConnection, request: IncomingRequest) -> None:
        """Answer a probe."""
        path = request.target.partition(b"?")[0]
        answer = self._probes.find_answer(
            request.method.decode("latin-1"), path.decode("latin-1")
        )
        write_probe_answer(connection, answer or ProbeAnswer(404))

    def refuse(
        self,
        connection: CallerConnection,
        request: IncomingRequest | None,
        refusal: Refusal,
    ) -> None:
        """Answer a request that can't be read."""
        status = ANSWERS[refusal.kind].status
        answer = make_json_answer(status, {"error": refusal.detail})
        write_probe_answer(connection, answer)

    def abandon(self, connection: CallerConnection) -> None:
        """Do nothing, since a probe is answered at once."""


def make_json_answer(status: int, value: object) -> ProbeAnswer:
    """Return an answer with a JSON body."""
    return ProbeAnswer(status, msgspec.json.encode(value))


def write_probe_answer(connection: CallerConnection, answer: ProbeAnswer) -> None:
    """Write a whole answer."""
    headers = [(b"content-type", answer.content_type.encode("latin-1"))]
    connection.send_whole(answer.status, headers, answer.body)
