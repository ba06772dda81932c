"""A stand-in for the platform's object API."""

from bisect import bisect_left, bisect_right, insort
from typing import Any

import trio
from msgspec.structs import replace

from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectDelete,
    ObjectGet,
    ObjectList,
    ObjectPut,
    ObjectStatus,
)
from tests.standins.server import (
    AbortConnection,
    Faults,
    RateLimiter,
    Reply,
    Request,
    StandIn,
    make_json_reply,
    run_standin,
)

MAX_BODY = 1_000_000  # bytes
MAX_NAMES = 1000
STATUSES = {
    ObjectStatus.OK: 200,
    ObjectStatus.MISSING: 404,
    ObjectStatus.CONFLICT: 412,
    ObjectStatus.UNCHANGED: 304,
    ObjectStatus.REJECTED: 429,
}


class ObjectFaults(Faults):
    """Faults of the object API.

    Rate limits are in calls per second; zero means no limit. The next
    ``lose_answers`` writes take effect and then break the connection; -1 means all
    writes.
    """

    read_rate: float = 2000.0
    write_rate: float = 500.0
    lose_answers: int = 0


class ObjectTable:
    """Objects, their versions and the rate limits, without I/O.

    Each method that takes a time ``now`` (in seconds) is one call to the API.
    """

    def __init__(self, faults: ObjectFaults | None = None) -> None:
        self.faults = faults or ObjectFaults()
        self.version = 0
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._names: list[str] = []
        self._reads = RateLimiter()
        self._writes = RateLimiter()

    def apply(
        self, call: ObjectGet | ObjectPut | ObjectDelete | ObjectList, now: float
    ) -> ObjectAnswer:
        """Run an effect of a reducer; a get that may wait is answered at once."""
        match call:
            case ObjectGet():
                answer = self.get(call.path, call.known, now)
            case ObjectPut():
                answer = self.put(call.path, call.body, call.expected, now)
            case ObjectDelete():
                answer = self.delete(call.path, call.expected, now)
            case ObjectList():
                answer = self.list(call.prefix, call.after, now)
        return replace(answer, call=call.call)

    def copy(self) -> tuple[int, dict[str, tuple[int, bytes]], list[str]]:
        """Return a copy of all objects, for ``restore``."""
        return self.version, dict(self._objects), list(self._names)

    def restore(
        self, copied: tuple[int, dict[str, tuple[int, bytes]], list[str]]
    ) -> None:
        """Go back to a copy; versions are given out again."""
        self.version, objects, names = copied
        self._objects, self._names = dict(objects), list(names)

    def get(self, path: str, known: int, now: float) -> ObjectAnswer:
        """Read an object; ``UNCHANGED`` if its version is at most ``known``."""
        if not self.admit_read(now):
            return ObjectAnswer("", ObjectStatus.REJECTED)
        return self.peek(path, known)

    def peek(self, path: str, known: int = 0) -> ObjectAnswer:
        """Read an object without counting a call against the rate limit."""
        if path not in self._objects:
            return ObjectAnswer("", ObjectStatus.MISSING)
        version, body = self._objects[path]
        if known and version <= known:
            return ObjectAnswer("", ObjectStatus.UNCHANGED, version)
        return ObjectAnswer("", ObjectStatus.OK, version, body)

    def put(self, path: str, body: bytes, expected: int, now: float) -> ObjectAnswer:
        """Write an object if its version is ``expected``; zero creates it."""
        if len(body) > MAX_BODY or not self.admit_write(now):
            return ObjectAnswer("", ObjectStatus.REJECTED)
        current_version = self._objects.get(path, (0, b""))[0]
        if current_version != expected:
            return ObjectAnswer("", ObjectStatus.CONFLICT, current_version)
        if not current_version:
            insort(self._names, path)
        self.version += 1
        self._objects[path] = (self.version, body)
        return ObjectAnswer("", ObjectStatus.OK, self.version)

    def delete(self, path: str, expected: int, now: float) -> ObjectAnswer:
        """Delete an object if its version is ``expected``."""
        if not self.admit_write(now):
            return ObjectAnswer("", ObjectStatus.REJECTED)
        if path not in self._objects:
            return ObjectAnswer("", ObjectStatus.MISSING)
        current_version = self._objects[path][0]
        if current_version != expected:
            return ObjectAnswer("", ObjectStatus.CONFLICT, current_version)
        self.version += 1
        del self._objects[path]
        self._names.remove(path)
        return ObjectAnswer("", ObjectStatus.OK, self.version)

    def list(self, prefix: str, after: str, now: float) -> ObjectAnswer:
        """List the names with ``prefix`` that sort after ``after``, at most a page."""
        if not self.admit_read(now):
            return ObjectAnswer("", ObjectStatus.REJECTED)
        start = max(bisect_left(self._names, prefix), bisect_right(self._names, after))
        page = self._names[start : start + MAX_NAMES]
        names = tuple(name for name in page if name.startswith(prefix))
        return ObjectAnswer("", ObjectStatus.OK, names=names)

    def admit_read(self, now: float) -> bool:
        """Count a read; return false in an outage or above the rate limit."""
        if self.faults.outage:
            return False
        return self._reads.allow(self.faults.read_rate, now)

    def admit_write(self, now: float) -> bool:
        """Count a write; return false in an outage or above the rate limit."""
        if self.faults.outage:
            return False
        return self._writes.allow(self.faults.write_rate, now)


class ObjectApi(StandIn):
    """The object API as an app."""

    def __init__(self, faults: ObjectFaults | None = None) -> None:
        super().__init__(faults or ObjectFaults())
        self.table = ObjectTable(self.faults)
        self._changed = trio.Event()

    def control(self, changes: dict[str, Any]) -> None:
        super().control(changes)
        self.table.faults = self.faults

    async def answer(self, request: Request) -> Reply:
        match request.kind:
            case "GET objects":
                return await self._answer_read(request)
            case "PUT objects" | "DELETE objects":
                return self._answer_write(request)
        return make_json_reply({"error": "no such call"}, 404)

    async def _answer_read(self, request: Request) -> Reply:
        query = request.query
        if not request.name:
            prefix, after = query.get("prefix", ""), query.get("after", "")
            answer = self.table.list(prefix, after, trio.current_time())
            if answer.status is not ObjectStatus.OK:
                return Reply(STATUSES[answer.status])
            return make_json_reply({"names": answer.names})
        known = int(query.get("known", 0))
        answer = self.table.get(request.name, known, trio.current_time())
        with trio.move_on_after(float(query.get("wait", 0))):
            while answer.status is ObjectStatus.UNCHANGED:
                await self._changed.wait()
                answer = self.table.peek(request.name, known)
        if self.faults.outage:
            return Reply(503)
        return make_reply(answer)

    def _answer_write(self, request: Request) -> Reply:
        if len(request.body) > MAX_BODY:
            return Reply(413)
        now = trio.current_time()
        expected = int(request.headers.get("if-match", '"0"').strip('"'))
        if request.method == "PUT":
            answer = self.table.put(request.name, request.body, expected, now)
        else:
            answer = self.table.delete(request.name, expected, now)
        if answer.status is ObjectStatus.OK:
            self._announce_change()
            self._drop_answer_if_due()
        return make_reply(answer, request.method, expected)

    def _announce_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _drop_answer_if_due(self) -> None:
        if not self.faults.lose_answers:
            return
        self.faults.lose_answers -= 1 if self.faults.lose_answers > 0 else 0
        raise AbortConnection


def make_reply(answer: ObjectAnswer, method: str = "GET", expected: int = 0) -> Reply:
    """Make the HTTP reply for an answer of the table."""
    if answer.status is ObjectStatus.UNCHANGED:
        return Reply(304, b"", {"etag": f'"{answer.version}"'})
    if answer.status is not ObjectStatus.OK:
        return Reply(STATUSES[answer.status])
    if method == "DELETE":
        return Reply(204)
    status = 201 if method == "PUT" and not expected else 200
    return Reply(status, answer.body, {"etag": f'"{answer.version}"'})


if __name__ == "__main__":
    run_standin(ObjectApi)
