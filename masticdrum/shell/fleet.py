"""Queries processes for their tables' serial and sends outdated ones the newest."""

from collections.abc import Iterable
from secrets import token_hex

import httpcore
import trio
from msgspec import Struct

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.core.placement import Hint
from masticdrum.core.tablebody import pack_tables
from masticdrum.model.entry_events import FrameReceived
from masticdrum.model.messages import (
    Envelope,
    Hello,
    Load,
    TablesAsk,
    TablesGive,
    Welcome,
)
from masticdrum.model.platform import Instance
from masticdrum.model.tables import Tables
from masticdrum.shell.answerguard import make_pool
from masticdrum.shell.entrylinks import EntryLinks
from masticdrum.shell.keys import LinkKeys

SENDER = "masticdrumctl"
ENTRY = "entry"
AGENT = "agent"
BATCH_SIZE = 256  # processes that are queried concurrently
ANSWER_TIMEOUT_S = 1.0
POLL_S = 0.02


class Report(Struct):
    """What one process reported; ``serial`` is None until it answers."""

    name: str
    role: str
    data_centre: str
    state: str
    address: str
    serial: int | None = None
    upstream: str = ""
    load: Load | None = None


class StatusBody(Struct):
    """The part of ``/status`` that is used here."""

    serial: int


class Fleet:
    """Queries entries over HTTP and agents over ZeroMQ.

    ``tables`` must be in force at the platform, or have serial zero: agents with older
    tables request them and receive them, which helps while the platform is down.
    """

    def __init__(
        self, nursery: trio.Nursery, tables: Tables, keys: LinkKeys | None = None
    ) -> None:
        self._name = f"{SENDER}-{token_hex(4)}"
        self._tables = tables
        self._body = pack_tables(tables)
        self._links = EntryLinks(nursery, self._handle_frame, keys)
        self._pool = make_pool(BATCH_SIZE)
        self._reports: dict[str, Report] = {}

    async def query(self, instances: Iterable[Instance]) -> list[Report]:
        """Query every entry and agent once and return their reports."""
        rows = [row for row in instances if row.role in (ENTRY, AGENT)]
        reports: list[Report] = []
        for start in range(0, len(rows), BATCH_SIZE):
            reports += await self._query_batch(rows[start : start + BATCH_SIZE])
        return reports

    async def _query_batch(self, rows: list[Instance]) -> list[Report]:
        self._reports = {f"{self._name}/{row.name}": make_report(row) for row in rows}
        for link, report in self._reports.items():
            if report.role == AGENT:
                self._links.open(link, report.address)
                self._send(link, Hello())
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for report in self._reports.values():
                    if report.role == ENTRY:
                        nursery.start_soon(self._query_entry, report)
                nursery.start_soon(self._wait_for_all)
        for link in self._reports:
            self._links.close(link)
        return list(self._reports.values())

    async def _wait_for_all(self) -> None:
        while not all(self._is_done(report) for report in self._reports.values()):
            self._links.receive_pending()
            await trio.sleep(POLL_S)

    def _is_done(self, report: Report) -> bool:
        if report.serial is None:
            return False
        return report.role == ENTRY or report.serial >= self._tables.serial

    async def _query_entry(self, report: Report) -> None:
        url = f"http://{report.address.split('://')[-1]}/status"
        try:
            response = await self._pool.request("GET", url)
            report.serial = read_json(response.content, StatusBody).serial
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            OSError,
            Undecodable,
        ):
            return

    def _send(self, link: str, message: Hello | TablesGive) -> None:
        serial = self._tables.serial
        self._links.send(link, Envelope(self._name, self._name, serial, message))

    def _handle_frame(self, event: FrameReceived) -> None:
        report = self._reports.get(event.link)
        if report is None:
            return
        report.serial = event.envelope.serial
        match event.envelope.message:
            case TablesAsk() if self._tables.serial:
                self._send(event.link, TablesGive(self._body))
                self._send(event.link, Hello())
            case Welcome(upstream=upstream, load=load):
                report.upstream = upstream
                report.load = load


def make_report(row: Instance) -> Report:
    """Return the empty report of one instance."""
    return Report(row.name, row.role, row.data_centre, row.state.value, row.address)


def read_hints(reports: Iterable[Report], now: float) -> dict[str, Hint]:
    """Return the loads that agents reported, keyed by their upstreams' names."""
    return {
        row.upstream: Hint(row.load, now) for row in reports if row.load is not None
    }
