"""A stand-in for the users' platform store: objects by kind, lists and watches."""

from copy import deepcopy
from typing import Any

import msgspec
import trio

from tests.standins.server import (
    AbortConnection,
    Faults,
    Reply,
    Request,
    StandIn,
    make_json_reply,
    run_standin,
)

PAGE_SIZE = 3  # objects; small, so that a list spans several pages
FIRST_REVISION = 100


class MetadataFaults(Faults):
    """Faults; the next ``lost_writes`` writes take effect but get no answer.

    Where an object has the text ``raw:NAME``, answers have ``raw[NAME]`` as it is,
    which needn't be JSON.
    """

    lost_writes: int = 0
    raw: dict[str, str] = {}


class MetadataStore(StandIn):
    """The store as an app.

    The action ``forget`` drops the history, so that a watch from an earlier revision
    gets 410. ``save`` takes a copy, and ``restore`` brings everything back as it was
    then: what was confirmed since is lost, its revisions are given out again, and the
    era in all answers rises by one.
    """

    def __init__(self, faults: MetadataFaults | None = None) -> None:
        super().__init__(faults or MetadataFaults())
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = FIRST_REVISION
        self.dropped_revision = 0
        self.changed = trio.Event()
        self.era = 1
        self.lists = 0
        self.saved = (deepcopy(self.objects), self.revision)
        self.actions["forget"] = self.drop_history
        self.actions["save"] = self.save
        self.actions["restore"] = self.restore

    def show(self) -> dict[str, Any]:
        names = {kind: sorted(objects) for kind, objects in self.objects.items()}
        return super().show() | {"names": names, "lists": self.lists}

    def save(self) -> None:
        """Take a copy of all objects."""
        self.saved = (deepcopy(self.objects), self.revision)

    def restore(self) -> None:
        """Bring the copy back."""
        objects, self.revision = self.saved
        self.objects = deepcopy(objects)
        self.history = [row for row in self.history if row[0] <= self.revision]
        self.era += 1
        self._notify_watchers()

    def drop_history(self) -> None:
        """Drop the history of events."""
        self.dropped_revision = self.revision
        self.history.clear()
        self._notify_watchers()

    async def answer(self, request: Request) -> Reply:
        reply = await self._execute(request)
        reply.headers = {**reply.headers, "store-era": str(self.era)}
        for name, text in self.faults.raw.items():
            reply.body = reply.body.replace(f'"raw:{name}"'.encode(), text.encode())
        return reply

    async def _execute(self, request: Request) -> Reply:
        parts = request.path.strip("/").split("/")
        is_status = len(parts) == 5 and parts[4] == "status"
        if parts[:2] != ["v1", "objects"] or not (3 <= len(parts) <= 4 or is_status):
            return make_json_reply({"error": "no such call"}, 404)
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else ""
        if request.method == "GET" and not name:
            return await self._read_kind(kind, request.query)
        if request.method == "GET":
            found = self.objects.get(kind, {}).get(name)
            return make_json_reply(found) if found else make_json_reply({}, 404)
        reply = self._write(request, kind, name, is_status)
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            raise AbortConnection
        return reply

    async def _read_kind(self, kind: str, query: dict[str, str]) -> Reply:
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        self.lists += 1
        names = sorted(self.objects.get(kind, {}))
        names = [name for name in names if name > query.get("after", "")]
        items = [self.objects[kind][name] for name in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        return make_json_reply({"items": items, "hasMore": more, "asOf": self.revision})

    async def _watch(self, kind: str, since: int, wait_ms: int) -> Reply:
        with trio.move_on_after(wait_ms / 1000):
            while self._is_known(since) and not self._list_events(kind, since):
                await self.changed.wait()
        if not self._is_known(since):
            return make_json_reply({"error": "gone"}, 410)
        events = self._list_events(kind, since)
        return make_json_reply({"events": events, "asOf": self.revision})

    def _is_known(self, revision: int) -> bool:
        return self.dropped_revision <= revision <= self.revision

    def _list_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "deleted": deleted}
            for revision, stored_kind, stored, deleted in self.history
            if stored_kind == kind and revision > since
        ]

    def _write(self, request: Request, kind: str, name: str, is_status: bool) -> Reply:
        if request.method == "DELETE":
            return self._delete(kind, name, request.query.get("revision"))
        body = msgspec.json.decode(request.body)
        name = name or body["metadata"]["name"]
        current = self.objects.setdefault(kind, {}).get(name)
        if request.method == "POST" and current is not None:
            return make_json_reply(current, 409)
        if request.method == "PUT" and current is None:
            return make_json_reply({}, 404)
        expected = body["metadata"].get("revision")
        if current is not None and expected not in (
            None,
            current["metadata"]["revision"],
        ):
            return make_json_reply(current, 409)
        part = "status" if is_status else "spec"
        stored = self._store(kind, name, part, body.get(part))
        if not is_status and "status" in body:
            stored = self._store(kind, name, "status", body["status"])
        return make_json_reply(stored)

    def _store(self, kind: str, name: str, part: str, value: Any) -> dict[str, Any]:
        current = self.objects[kind].get(name)
        if current is not None and current[part] == value:
            return current
        self.revision += 1
        stored = (
            deepcopy(current)
            if current is not None
            else {
                "metadata": {"name": name, "created": self.revision, "deleting": False},
                "spec": None,
                "status": None,
            }
        )
        stored["metadata"]["revision"] = self.revision
        stored[part] = value
        self.objects[kind][name] = stored
        self._record_event(kind, stored, False)
        return stored

    def _delete(self, kind: str, name: str, expected: str | None) -> Reply:
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            return make_json_reply({}, 404)
        if expected not in (None, str(current["metadata"]["revision"])):
            return make_json_reply(current, 409)
        del self.objects[kind][name]
        self.revision += 1
        self._record_event(kind, current, True)
        return make_json_reply(current)

    def _record_event(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


if __name__ == "__main__":
    run_standin(MetadataStore)
