"""An HTTP client of the platform's object API."""

from collections.abc import Callable
from urllib.parse import quote, urlencode

import httpcore
import msgspec
import trio

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectDelete,
    ObjectGet,
    ObjectList,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.shell.answerguard import make_pool
from masticdrum.shell.jsonlogging import write_event

ObjectCall = ObjectGet | ObjectPut | ObjectDelete | ObjectList
MAX_CONNECTIONS = 32
MAX_VERSION_DIGITS = 20
STATUSES = {
    200: ObjectStatus.OK,
    201: ObjectStatus.OK,
    204: ObjectStatus.OK,
    304: ObjectStatus.UNCHANGED,
    404: ObjectStatus.MISSING,
    412: ObjectStatus.CONFLICT,
    413: ObjectStatus.REJECTED,
    429: ObjectStatus.REJECTED,
    503: ObjectStatus.REJECTED,
}


class NameList(msgspec.Struct):
    """The body of the answer to a listing."""

    names: list[str]


class ObjectClient:
    """Executes object calls and submits their answers."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[ObjectAnswer], None],
        url: str,
        *,
        timeout_s: float,
    ) -> None:
        self._nursery = nursery
        self._submit = submit
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = make_pool(MAX_CONNECTIONS)

    def start(self, call: ObjectCall) -> None:
        """Begin a call; its answer arrives as an event."""
        self._nursery.start_soon(self._run, call)

    async def _run(self, call: ObjectCall) -> None:
        self._submit(await self.execute(call))

    async def execute(self, call: ObjectCall) -> ObjectAnswer:
        """Execute a call and return its answer; a failure is an answer too."""
        wait_s = call.wait_s if isinstance(call, ObjectGet) else 0.0
        answer = ObjectAnswer(call.call, ObjectStatus.LOST)
        with trio.move_on_after(self._timeout_s + wait_s):
            try:
                answer = await self._request(call)
            except httpcore.ConnectError:
                answer = ObjectAnswer(call.call, ObjectStatus.REJECTED)
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                pass
            except Undecodable as error:
                detail = f"answer to {call.call}: {error}"
                write_event(Log(LogNumber.OBJECT_UNREADABLE, detail=detail))
        return answer

    async def _request(self, call: ObjectCall) -> ObjectAnswer:
        method, target, headers, body = describe_call(call)
        response = await self._pool.request(
            method, f"{self._url}{target}", headers=headers, content=body
        )
        # Any other status, such as a gateway's, leaves open whether a write happened.
        status = STATUSES.get(response.status, ObjectStatus.LOST)
        if status is ObjectStatus.UNCHANGED:
            return ObjectAnswer(call.call, status, read_version(response.headers))
        if status is not ObjectStatus.OK:
            return ObjectAnswer(call.call, status)
        if isinstance(call, ObjectList):
            names = read_json(response.content, NameList).names
            return ObjectAnswer(call.call, status, names=tuple(names))
        version = read_version(response.headers)
        return ObjectAnswer(call.call, status, version, response.content)


def describe_call(
    call: ObjectCall,
) -> tuple[str, str, list[tuple[str, str]], bytes | None]:
    """Return method, target, headers and body of a call."""
    match call:
        case ObjectList():
            query = urlencode({"prefix": call.prefix, "after": call.after})
            return "GET", f"/objects?{query}", [], None
        case ObjectGet(known=known, wait_s=wait_s) if wait_s > 0:
            query = urlencode({"known": known, "wait": wait_s})
            return "GET", f"/objects/{quote(call.path)}?{query}", [], None
        case ObjectGet():
            return "GET", f"/objects/{quote(call.path)}", [], None
        case ObjectPut(expected=0):
            headers = [("If-None-Match", "*")]
            return "PUT", f"/objects/{quote(call.path)}", headers, call.body
        case ObjectPut():
            headers = [("If-Match", f'"{call.expected}"')]
            return "PUT", f"/objects/{quote(call.path)}", headers, call.body
        case ObjectDelete():
            headers = [("If-Match", f'"{call.expected}"')]
            return "DELETE", f"/objects/{quote(call.path)}", headers, None


def read_version(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the version in an ``ETag`` header, or zero; raises ``Undecodable``."""
    for name, value in headers:
        if name.lower() == b"etag":
            text = value.strip(b'"')
            if not text.isdigit() or len(text) > MAX_VERSION_DIGITS:
                raise Undecodable(f"its version is {text[:MAX_VERSION_DIGITS]!r}")
            return int(text)
    return 0
