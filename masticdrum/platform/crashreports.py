"""Writes an entry's crash report to the store, where the other entries watch it."""

from random import Random

import msgspec
import trio

from masticdrum.model.crashes import CrashReport
from masticdrum.model.platform import ObjectGet, ObjectPut, ObjectStatus
from masticdrum.platform.store import Store
from masticdrum.shell.latest import Latest

KIND = "crashes"
MIN_PAUSE_S = 0.1  # after a failed write
MAX_PAUSE_S = 0.8  # so that a store that returns is noticed within a second


class CrashReportWriter:
    """Keeps one object equal to the latest report; no other process writes it."""

    def __init__(
        self, store: Store, name: str, reports: Latest[CrashReport], random: Random
    ) -> None:
        self._store = store
        self._path = f"{KIND}/{name}"
        self._reports = reports
        self._random = random
        self._version = 0

    async def run(self) -> None:
        """Write each report until it is stored or replaced; runs for ever."""
        while True:
            report = await self._reports.wait()
            pause_s = MIN_PAUSE_S
            while not await self._write(report) and self._reports.is_empty:
                await trio.sleep(pause_s * self._random.uniform(0.5, 1.0))
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    async def _write(self, report: CrashReport) -> bool:
        body = msgspec.json.encode(report)
        put = ObjectPut("report crashes", self._path, body, self._version)
        written = await self._store.execute(put)
        if written.status is ObjectStatus.OK:
            self._version = written.version
            return True
        if written.status in (ObjectStatus.CONFLICT, ObjectStatus.MISSING):
            found = await self._store.execute(ObjectGet("read", self._path))
            self._version = found.version if found.status is ObjectStatus.OK else 0
        return False
