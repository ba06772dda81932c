"""An HTTP client of the platform's instance list."""

from collections.abc import Callable

import httpcore
import msgspec
import trio

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.platform import Instance, InstancesListed
from masticdrum.shell.answerguard import make_pool

MAX_ROWS_PER_S = 50  # bounds the average number of rows that one process reads a second


class InstanceRows(msgspec.Struct):
    """The body of an answer of the instance list."""

    instances: list[Instance]


class InstanceClient:
    """Reads the instance list at an interval and submits its content."""

    def __init__(
        self,
        submit: Callable[[InstancesListed], None],
        url: str,
        *,
        every_s: float,
        timeout_s: float,
    ) -> None:
        self._submit = submit
        self._url = f"{url.rstrip('/')}/instances"
        self._every_s = every_s
        self._timeout_s = timeout_s
        self._pool = make_pool(1)

    async def run(self) -> None:
        """Read at an interval, forever; a failed read changes nothing."""
        min_pause_s = 0.0
        while True:
            listed = await self.read()
            if listed is not None:
                self._submit(listed)
                min_pause_s = len(listed.instances) / MAX_ROWS_PER_S
            await trio.sleep(max(self._every_s, min_pause_s))

    async def read(self) -> InstancesListed | None:
        """Read once; return None if the list can't be read in time."""
        with trio.move_on_after(self._timeout_s):
            try:
                response = await self._pool.request("GET", self._url)
                rows = read_json(response.content, InstanceRows)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                OSError,
                Undecodable,
            ):
                return None
            return InstancesListed(tuple(rows.instances))
        return None
