"""A stand-in for the users' platform store: objects by kind, lists and watches."""

from typing import Any

import msgspec
import trio

from tests.standins.server import (
    Broken,
    Faults,
    Reply,
    Request,
    StandIn,
    make_json,
    run_standin,
)

PAGE = 3  # objects; small, so that lists have several pages
FIRST_REVISION = 100


class StoreFaults(Faults):
    """Faults of the store; ``lost_writes`` are done and not answered."""

    lost_writes: int = 0


class MetadataStore(StandIn):
    """The store as an app.

    The action ``forget`` drops the history, so that each watch gets 410.
    """

    def __init__(self, faults: StoreFaults | None = None) -> None:
        super().__init__(faults or StoreFaults())
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = FIRST_REVISION
        self.forgotten = 0
        self.changed = trio.Event()
        self.actions["forget"] = self.forget

    def forget(self) -> None:
        """Drop the history."""
        self.forgotten = self.revision
        self.history.clear()
        self._wake()

    async def answer(self, request: Request) -> Reply:
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or not 3 <= len(parts) <= 4:
            return make_json({"error": "no such call"}, 404)
        kind = parts[2]
        name = parts[3] if len(parts) == 4 else ""
        if request.method == "GET" and not name:
            return await self._read_kind(kind, request.query)
        if request.method == "GET":
            found = self.objects.get(kind, {}).get(name)
            return make_json(found) if found else make_json({}, 404)
        reply = self._write(request, kind, name)
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            raise Broken
        return reply

    async def _read_kind(self, kind: str, query: dict[str, str]) -> Reply:
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        names = sorted(self.objects.get(kind, {}))
        names = [name for name in names if name > query.get("after", "")]
        items = [self.objects[kind][name] for name in names[:PAGE]]
        more = len(names) > PAGE
        return make_json({"items": items, "hasMore": more, "asOf": self.revision})

    async def _watch(self, kind: str, since: int, wait_ms: int) -> Reply:
        with trio.move_on_after(wait_ms / 1000):
            while since >= self.forgotten and not self._find_events(kind, since):
                await self.changed.wait()
        if since < self.forgotten:
            return make_json({"error": "gone"}, 410)
        events = self._find_events(kind, since)
        return make_json({"events": events, "asOf": self.revision})

    def _find_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "deleted": deleted}
            for revision, of, stored, deleted in self.history
            if of == kind and revision > since
        ]

    def _write(self, request: Request, kind: str, name: str) -> Reply:
        if request.method == "DELETE":
            return self._delete(kind, name)
        body = msgspec.json.decode(request.body)
        name = name or body["metadata"]["name"]
        held = self.objects.setdefault(kind, {}).get(name)
        if request.method == "POST" and held is not None:
            return make_json(held, 409)
        if request.method == "PUT" and held is None:
            return make_json({}, 404)
        expected = body["metadata"].get("revision")
        if held is not None and expected not in (None, held["metadata"]["revision"]):
            return make_json(held, 409)
        return make_json(self._store(kind, name, body.get("spec")))

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "deleting": False}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = stored
        self._note(kind, stored, False)
        return stored

    def _delete(self, kind: str, name: str) -> Reply:
        held = self.objects.get(kind, {}).pop(name, None)
        if held is None:
            return make_json({}, 404)
        self.revision += 1
        self._note(kind, held, True)
        return make_json(held)

    def _note(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


if __name__ == "__main__":
    run_standin(MetadataStore)
