"""Health, readiness, metrics and status of one process, over ASGI."""

from collections.abc import Callable

from masticdrum.shell.asgi import Scope, Send, send_json, send_whole
from masticdrum.shell.metrics import Metrics

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


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

    async def answer(self, scope: Scope, send: Send) -> bool:
        """Answer a probe; return False for any other path."""
        match scope["method"], scope["path"]:
            case "GET", "/healthz":
                await send_json(send, 200, {"healthy": True})
            case "GET", "/readyz":
                ready = self._is_ready()
                await send_json(send, 200 if ready else 503, {"ready": ready})
            case "GET", "/metrics":
                body = self._metrics.export()
                await send_whole(send, 200, body, content_type=METRICS_TYPE)
            case "GET", "/status":
                await send_json(send, 200, self._describe())
            case _:
                return False
        return True
