"""Odd objects of another writer, and a store that holds them."""

from collections.abc import Callable
from random import Random
from typing import Any

import trio
from trio.testing import MockClock

from masticdrum.model.cluster_events import ClusterEvent
from masticdrum.platform.store import Store
from masticdrum.platform.watchers import KindWatcher, WatchedKind

NESTED = b"[" * 2000 + b"]" * 2000
DEEPLY_NESTED = b'{"a":' * 20_000 + b"1" + b"}" * 20_000
ODD_VALUES = {
    "nested (RecursionError)": NESTED,
    "nested deeply (RecursionError)": DEEPLY_NESTED,
    "NaN": b"NaN",
    "infinity": b"-Infinity",
    "half a surrogate pair": b'"\\ud800"',
    "a control character": b'"\x01"',
    "unknown escape": b'"\\x41"',
    "a bare word": b"nothing",
    "a number with a leading zero": b"007",
}
ODD_SPECS = {
    "a number": b"7",
    "text": b'"ready"',
    "null": b"null",
    "a list": b"[1,2]",
    "an empty object": b"{}",
    "bytes that aren't UTF-8": b'{"service":"\xff\xfe"}',
    "invalid": b"{service:1}",
}


def make_object(name: str, spec: bytes, metadata: bytes = b"") -> bytes:
    """Encode an object; ``metadata`` replaces the whole metadata."""
    metadata = metadata or b'{"name":"%s","revision":3}' % name.encode()
    return b'{"metadata":%s,"spec":%s,"status":null}' % (metadata, spec)


def make_server(name: str, **fields: bytes) -> bytes:
    """Encode a server's registration; ``fields`` replace or add undecoded values."""
    spec = {
        "service": b'"desk"',
        "address": b'"10.0.0.1:80"',
        "zone": b'"north"',
        "state": b'"ready"',
    } | fields
    text = b",".join(b'"%s":%s' % (k.encode(), v) for k, v in spec.items())
    return make_object(name, b"{%s}" % text)


def make_page(items: list[bytes], as_of: bytes = b"5", more: bytes = b"false") -> bytes:
    """Encode a page of a list."""
    listed = b",".join(items)
    return b'{"items":[%s],"asOf":%s,"hasMore":%s}' % (listed, as_of, more)


def make_changes(
    objects: list[bytes], deleted: bytes = b"false", as_of: bytes = b"6"
) -> bytes:
    """Encode the answer to a watch."""
    events = b",".join(b'{"object":%s,"deleted":%s}' % (o, deleted) for o in objects)
    return b'{"events":[%s],"asOf":%s}' % (events, as_of)


class ScriptedStore(Store):
    """A store's client whose calls get the answers of a script, then none."""

    def __init__(self, pages: list[bytes], watches: list[bytes]) -> None:
        super().__init__("127.0.0.1:1", lambda how: None)
        self.pages = pages
        self.watches = watches
        self.calls: list[str] = []

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        kind = "watch" if "watch" in (query or {}) else "list"
        self.calls.append(kind)
        await trio.sleep(0.01)
        answers = self.watches if kind == "watch" else self.pages
        if kind == "watch" and not answers:
            await trio.sleep_forever()
        return 200, answers.pop(0) if len(answers) > 1 or kind == "watch" else answers[
            0
        ]


def follow(
    watched: WatchedKind, pages: list[bytes], watches: list[bytes], for_s: float = 20.0
) -> tuple[list[ClusterEvent], list[str]]:
    """Follow a kind with answers as given; return the events and the calls."""
    submitted: list[ClusterEvent] = []
    store = ScriptedStore(list(pages), list(watches))

    async def run() -> None:
        watcher = KindWatcher(watched, store, submitted.append, Random(1))
        with trio.move_on_after(for_s):
            await watcher.run()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return submitted, store.calls


def record_logs(monkeypatch: Any, target: str) -> list[Any]:
    """Collect the events that a module logs."""
    logged: list[Any] = []
    add: Callable[[Any], None] = logged.append
    monkeypatch.setattr(f"{target}.write_event", add)
    return logged
