"""The client of the platform's store: single calls, lists and watches."""

from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

import httpcore
import msgspec
import trio
from msgspec import Raw

from masticdrum.core.decoding import MAX_DIGITS, Undecodable
from masticdrum.core.revisiontimes import RevisionTimes
from masticdrum.model.cluster_events import StoreRestored
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.rollouts import PutRolloutStatus, RolloutStatusAnswered
from masticdrum.platform.pages import (
    Changes,
    Page,
    StoredObject,
    read_changes,
    read_object,
    read_own_object,
    read_page,
)
from masticdrum.shell.answerguard import make_pool
from masticdrum.shell.clock import read_clock
from masticdrum.shell.upstreamstream import UpstreamBackend

T = TypeVar("T")
CALL_TIMEOUT_S = 1.5  # an answer takes some 4 ms, from a slow store 60 times as long
MAX_CONNECTIONS = 12  # one for each watch, and some for writes
KIND_PREFIX = "masticdrum-"  # our own kinds, separate from the platform's
ROLLOUT_KIND = "rollouts"  # orders of operators
MS_PER_S = 1000
HISTORY_GONE_STATUS = 410
ERA_HEADER = b"store-era"
STALE_QUERY = {"staleOk": "1"}
STATUSES = {
    200: ObjectStatus.OK,
    201: ObjectStatus.OK,
    404: ObjectStatus.MISSING,
    409: ObjectStatus.CONFLICT,
    413: ObjectStatus.REJECTED,
    429: ObjectStatus.REJECTED,
    503: ObjectStatus.REJECTED,
}


class StoreFailed(Exception):
    """A call got no answer that states the store's contents."""


class WatchInterrupted(Exception):
    """A watch was ended since the store has answered again after an outage."""


class HistoryGone(Exception):
    """The store no longer has the changes since a watch's revision."""


class Store:
    """The client of the platform's store; ``address`` is ``IP:PORT``.

    A store that was silent may never answer the watches that waited meanwhile. So the
    first answer after a timeout ends them, and they are sent again. The first answer
    after a restore ends them too, since revisions of before name other changes then.
    """

    def __init__(
        self,
        address: str,
        count_call: Callable[[str], None],
        report_restored: Callable[[StoreRestored], None] = lambda event: None,
    ) -> None:
        self._base = f"http://{address}/v1/objects/"
        self._count_call = count_call
        self._pool = make_pool(MAX_CONNECTIONS, backend=UpstreamBackend())
        self._report_restored = report_restored
        self.era = 0  # the latest that an answer named
        self.restored = trio.Event()  # replaced at each restore
        # When the last answer before the latest restore was read, in seconds.
        self.era_ended_at = float("-inf")
        self.failed_at = float("-inf")  # when a call last got no answer, in seconds
        self._answered_at = float("-inf")
        self._was_silent = False
        self._revision_times = RevisionTimes()
        self._watches: set[trio.CancelScope] = set()

    async def list_page(self, kind: str, after: str, *, stale: bool = False) -> Page:
        """Read a page of the objects of a kind; stale ones may be seconds old."""
        query = dict(STALE_QUERY) if stale else {}
        if after:
            query["after"] = after
        sent_at = read_clock()
        self._count("GET", kind, "list")
        status, body = await self._call("GET", kind, query)
        if status != 200:
            raise StoreFailed(f"list of {kind}: status {status}")
        page = decode(body, read_page)
        if not stale:
            self._revision_times.record(page.asOf, sent_at)
        return page

    async def watch(
        self, kind: str, since: int, wait_s: float, *, stale: bool = False
    ) -> Changes:
        """Wait for changes of a kind after a revision.

        Raises ``HistoryGone``, ``StoreFailed`` or ``WatchInterrupted``.
        """
        reason = "failed watch"
        try:
            changes = await self._read_changes(kind, since, wait_s, stale)
            reason = "changed watch" if changes.events else "unchanged watch"
        finally:
            self._count("GET", kind, reason)
        return changes

    async def _read_changes(
        self, kind: str, since: int, wait_s: float, stale: bool
    ) -> Changes:
        query = {"watch": str(since), "waitMs": str(int(wait_s * MS_PER_S))}
        query |= STALE_QUERY if stale else {}
        sent_at = read_clock()
        with trio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                status, body = await self._call("GET", kind, query, wait_s=wait_s)
            finally:
                self._watches.discard(scope)
        if scope.cancelled_caught:
            raise WatchInterrupted
        if status == HISTORY_GONE_STATUS:
            raise HistoryGone
        if status != 200:
            raise StoreFailed(f"watch of {kind}: status {status}")
        changes = decode(body, read_changes)
        if not stale:
            self._revision_times.record(changes.asOf, sent_at)
        return changes

    def find_not_before(self, revision: int) -> float:
        """Return a time before which a revision had not been written, in seconds.

        That is by the answers of the present era, and minus infinity if none shows it.
        """
        return self._revision_times.find_not_before(revision)

    async def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        """Execute a call on one of our own objects; errors become its status."""
        kind, _, name = call.path.partition("/")
        path = f"{KIND_PREFIX}{kind}"
        try:
            if isinstance(call, ObjectGet):
                self._count("GET", path, "read")
                status, body = await self._call("GET", f"{path}/{quote(name)}")
            else:
                status, body = await self._put(path, name, call)
            how = STATUSES.get(status, ObjectStatus.LOST)
            if how is not ObjectStatus.OK:
                return ObjectAnswer(call.call, how, era=self.era)
            stored = decode(body, read_own_object)
        except StoreFailed:
            return ObjectAnswer(call.call, ObjectStatus.LOST, era=self.era)
        return ObjectAnswer(
            call.call,
            how,
            stored.metadata.revision,
            bytes(stored.spec),
            era=self.era,
        )

    async def put_rollout_status(self, put: PutRolloutStatus) -> RolloutStatusAnswered:
        """Write an order's status if its object has not changed."""
        metadata = {"name": put.service, "revision": put.revision}
        status = {"state": put.state, "target": put.target}
        body = msgspec.json.encode({"metadata": metadata, "status": status})
        path = f"{ROLLOUT_KIND}/{quote(put.service, safe='')}/status"
        try:
            code, _ = await self._call("PUT", path, body=body)
        except StoreFailed:
            return RolloutStatusAnswered(put.service, ObjectStatus.LOST)
        how = STATUSES.get(code, ObjectStatus.LOST)
        if how is ObjectStatus.MISSING:
            how = ObjectStatus.CONFLICT  # the order was deleted
        return RolloutStatusAnswered(put.service, how)

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete one of our own objects if it has not changed."""
        query = {"revision": str(revision)}
        self._count("DELETE", f"{KIND_PREFIX}{kind}", "write")
        await self._call("DELETE", f"{KIND_PREFIX}{kind}/{quote(name)}", query)

    async def find(self, kind: str, name: str) -> StoredObject | None:
        """Read an object of the platform's kinds, or None; raises ``StoreFailed``."""
        status, body = await self._call("GET", f"{kind}/{quote(name, safe='')}")
        if status == 404:
            return None
        if status != 200:
            raise StoreFailed(f"read of {kind}/{name}: status {status}")
        return decode(body, lambda text: read_object(Raw(text)))

    async def create(self, kind: str, name: str, spec: bytes) -> ObjectStatus:
        """Create an object of the platform's kinds; errors become its status."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": Raw(spec)})
        return await self._change("POST", kind, body=body)

    async def remove(self, kind: str, name: str, revision: int) -> ObjectStatus:
        """Delete an object of the platform's kinds if it has not changed.

        One whose revision can't be read, zero here, is deleted as it is.
        """
        query = {"revision": str(revision)} if revision else None
        return await self._change("DELETE", f"{kind}/{quote(name, safe='')}", query)

    async def _change(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        body: bytes | None = None,
    ) -> ObjectStatus:
        try:
            status, _ = await self._call(method, path, query, body=body)
        except StoreFailed as error:
            never_sent = isinstance(error.__cause__, httpcore.ConnectError)
            return ObjectStatus.REJECTED if never_sent else ObjectStatus.LOST
        return STATUSES.get(status, ObjectStatus.LOST)

    async def _put(self, path: str, name: str, call: ObjectPut) -> tuple[int, bytes]:
        metadata: dict[str, str | int] = {"name": name}
        if call.expected > 0:
            metadata["revision"] = call.expected
        body = msgspec.json.encode({"metadata": metadata, "spec": Raw(call.body)})
        if call.expected > 0:
            self._count("PUT", path, "write")
            return await self._call("PUT", f"{path}/{quote(name)}", body=body)
        self._count("POST", path, "write")
        return await self._call("POST", path, body=body)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        url = self._base + path + (f"?{urlencode(query)}" if query else "")
        headers = [("Content-Type", "application/json")] if body else []
        try:
            with trio.fail_after(CALL_TIMEOUT_S + wait_s):
                response = await self._pool.request(
                    method, url, headers=headers, content=body
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
            trio.TooSlowError,
        ) as error:
            self.failed_at = read_clock()
            self._was_silent |= isinstance(error, trio.TooSlowError)
            raise StoreFailed(f"{method} {path}: {error!r}") from error
        era = find_era(response)
        if 0 < era < self.era:
            raise StoreFailed(f"{method} {path}: an answer of the earlier era {era}")
        if self._was_silent:
            self._was_silent = False
            self._interrupt_watches()
        self._record_era(era)
        return response.status, response.content

    def _count(self, method: str, kind: str, reason: str) -> None:
        """Count a call by its method, its kind and what it was for.

        Kinds and reasons are constants, so that the metric has few series.
        """
        self._count_call(f"{method} {kind} {reason}")

    def _record_era(self, era: int) -> None:
        before, self.era = self.era, max(self.era, era)
        if before < self.era:
            self._revision_times.clear()
            self.era_ended_at = self._answered_at
        self._answered_at = read_clock()
        if 0 < before < self.era:
            self._report_restored(StoreRestored(self.era, before))
            restored, self.restored = self.restored, trio.Event()
            restored.set()
            self._interrupt_watches()

    def _interrupt_watches(self) -> None:
        for scope in self._watches:
            scope.cancel()


def find_era(response: httpcore.Response) -> int:
    """Return how often the store has come back from a copy, zero if it isn't told."""
    for name, value in response.headers:
        if name.lower() == ERA_HEADER and value.isdigit() and len(value) <= MAX_DIGITS:
            return int(value)
    return 0


def decode(body: bytes, read: Callable[[bytes], T]) -> T:
    """Decode an answer; raises ``StoreFailed``."""
    try:
        return read(body)
    except Undecodable as error:
        raise StoreFailed(f"the answer can't be decoded: {error}") from error
