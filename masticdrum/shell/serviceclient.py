"""An HTTP client of the plain service beside an agent."""

from collections.abc import Callable

import httpcore
import trio

from masticdrum.model.agent_events import (
    CallService,
    LoadReported,
    ServiceAnswered,
    ServiceFailed,
)
from masticdrum.model.settings import UpstreamTimeouts
from masticdrum.shell.answerguard import make_pool
from masticdrum.shell.boundedcall import WholeAnswer, call_bounded

ServiceEvent = ServiceAnswered | ServiceFailed | LoadReported
MAX_CONNECTIONS = 256
DEFAULT_TYPE = "application/json"


class ServiceClient:
    """Calls the service; each call is sent once, on its own connection."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[ServiceEvent], None],
        url: str,
        timeouts: UpstreamTimeouts,
    ) -> None:
        self._nursery = nursery
        self._submit = submit
        self._url = url.rstrip("/")
        self._timeouts = timeouts
        # A reused connection may break after the request was sent, and httpcore would
        # then not report whether the service received it.
        self._pool = make_pool(MAX_CONNECTIONS, max_keepalive_connections=0)

    def call(self, effect: CallService) -> None:
        """Begin a call; its answer arrives as an event."""
        self._nursery.start_soon(self._call, effect)

    async def poll_load(self) -> None:
        """Report the service as reachable; it has no load report. Runs forever."""
        while True:
            self._submit(LoadReported(True, boot="service"))
            await trio.sleep(self._timeouts.load_every_s)

    async def _call(self, effect: CallService) -> None:
        headers = [
            ("Call-Key", effect.key),
            ("Call-Attempt", effect.attempt),
            ("Workspace", effect.workspace),
        ]
        failed = ServiceFailed(effect.attempt, True, "no answer in time")
        with trio.move_on_after(self._timeouts.service_s):
            try:
                answer = await call_bounded(
                    self._pool,
                    "POST",
                    f"{self._url}/calls",
                    headers=headers,
                    content=effect.body,
                )
                self._submit(read_answer(effect.attempt, answer))
                return
            except httpcore.ConnectError as error:
                failed = ServiceFailed(effect.attempt, False, repr(error))
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
                failed = ServiceFailed(effect.attempt, True, repr(error))
        self._submit(failed)


def read_answer(attempt: str, answer: WholeAnswer) -> ServiceAnswered:
    """Return the event for an answer."""
    content_type = DEFAULT_TYPE
    for name, value in answer.headers:
        if name.lower() == b"content-type":
            content_type = value.decode("latin-1")
    return ServiceAnswered(attempt, answer.status, content_type, answer.body)
