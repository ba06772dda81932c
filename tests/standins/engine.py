"""A stand-in for a model engine as an app over ``EngineModel``."""

import json
from collections.abc import AsyncIterator
from functools import partial
from secrets import token_hex
from typing import Any

import httpcore
import msgspec
import trio

from tests.standins.enginemodel import (
    EngineFaults,
    EngineModel,
    OrderBody,
    Run,
    RunBody,
)
from tests.standins.server import (
    AbortConnection,
    Reply,
    Request,
    StandIn,
    make_json_reply,
    run_standin,
)

POLL_S = 0.005  # seconds between checks whether a waiting run has started
MAX_SLEEP_S = 0.05  # seconds within which a stream notices an aborted run


class Engine(StandIn):
    """A model engine with the actions ``crash``, ``turn_cold`` and ``evict``."""

    def __init__(
        self, faults: EngineFaults | None = None, boot_prefix: str = ""
    ) -> None:
        super().__init__(faults or EngineFaults())
        self.model = EngineModel(self.faults, boot_prefix=boot_prefix)
        self.actions["crash"] = lambda: self.model.crash(trio.current_time())
        self.actions["turn_cold"] = self.model.reset_warmup
        self.actions["evict"] = lambda: self.model.cache.shrink(0, trio.current_time())
        self._handlers = {
            "POST runs": self._answer_run,
            "GET runs": self._answer_resume,
            "DELETE runs": self._answer_cancel,
            "GET load": self._answer_load,
            "GET events": self._answer_events,
            "GET blocks": self._answer_export,
            "PUT blocks": self._answer_import,
            "POST orders": self._answer_order,
        }

    def control(self, changes: dict[str, Any]) -> None:
        if "version" in changes:
            self.model.version = changes["version"]
        super().control(changes)
        self.model.faults = self.faults

    def show(self) -> dict[str, Any]:
        model = self.model
        model.advance(trio.current_time())
        names = ("boot", "version", "falls", "peak", "bad_imports", "role", "adapter")
        state = {name: getattr(model, name) for name in names}
        state["held"] = len(model.cache)
        state["running"] = model.count_running()
        return super().show() | state

    async def answer(self, request: Request) -> Reply:
        handler = self._handlers.get(request.kind)
        if handler is None:
            return make_json_reply({"error": "no such call"}, 404)
        if self.model.is_starting(trio.current_time()):
            return make_json_reply({"error": "starting"}, 503)
        try:
            return await handler(request)
        except msgspec.DecodeError as error:
            return make_json_reply({"error": str(error)}, 400)

    async def _answer_run(self, request: Request) -> Reply:
        body = msgspec.json.decode(request.body, type=RunBody)
        status = self.model.start(body, trio.current_time())
        if status != 200:
            return make_json_reply({"error": "run refused"}, status)
        run = self.model.runs.get(body.run)
        if run is None:  # the prompt crashed the engine
            raise AbortConnection
        return Reply(200, chunks=self._stream(run, run.first))

    async def _answer_resume(self, request: Request) -> Reply:
        self.model.advance(trio.current_time())
        run = self.model.runs.get(request.name)
        if run is None:
            return make_json_reply({"error": "no such run"}, 404)
        return Reply(200, chunks=self._stream(run, int(request.query["first"])))

    async def _answer_cancel(self, request: Request) -> Reply:
        self.model.cancel(request.name, trio.current_time())
        return Reply(204)

    async def _answer_load(self, request: Request) -> Reply:
        return make_json_reply(
            msgspec.to_builtins(self.model.report(trio.current_time()))
        )

    async def _answer_events(self, request: Request) -> Reply:
        after = int(request.query.get("after", 0))
        return make_json_reply(self.model.list_events(after, trio.current_time()))

    async def _answer_export(self, request: Request) -> Reply:
        self.model.advance(trio.current_time())
        payload = self.model.cache.get(request.name)
        if payload is None:
            return make_json_reply({"error": "no such block"}, 404)
        return Reply(200, payload, {"weight-version": self.model.version})

    async def _answer_import(self, request: Request) -> Reply:
        version = request.headers.get("weight-version", "")
        now = trio.current_time()
        status = self.model.import_block(request.name, request.body, version, now)
        return Reply(status)

    async def _answer_order(self, request: Request) -> Reply:
        body = msgspec.json.decode(request.body, type=OrderBody)
        status = self.model.order(body, trio.current_time())
        if status == 200 and body.action == "load":
            status = await self._load(body.target)
        return make_json_reply({"order": body.order}, status)

    async def _load(self, version: str) -> int:
        if not self.faults.weights:
            await trio.sleep(self.faults.load_s)
        else:
            url = f"{self.faults.weights}/weights/{version}"
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request("GET", url)
            if answer.status != 200:
                return 503
        self.model.load(version, trio.current_time())
        return 200

    async def _stream(self, run: Run, first: int) -> AsyncIterator[bytes]:
        model = self.model
        while trio.current_time() < run.begun_at:
            self._raise_if_aborted(run)
            await trio.sleep(POLL_S)
            model.advance(trio.current_time())
        begun = {"version": run.version, "cached": run.cached}
        yield encode({"begun": True} | begun | {"recomputed": run.recomputed})
        next_token = first
        while next_token < run.last:
            line_end = min(next_token + max(self.faults.line_tokens, 1), run.last)
            wait_s = model.compute_token_time(run, line_end - 1) - trio.current_time()
            await trio.sleep(min(max(wait_s, 0.0), MAX_SLEEP_S))
            model.advance(trio.current_time())
            self._raise_if_aborted(run)
            made = model.count_generated(run, trio.current_time())
            if made >= line_end:
                tokens = run.make_tokens(next_token, made)
                yield encode({"first": next_token, "tokens": tokens})
                next_token = made
        yield encode({"end": run.reason})

    def _raise_if_aborted(self, run: Run) -> None:
        if run.aborted:
            raise AbortConnection


def encode(line: dict[str, Any]) -> bytes:
    """Encode one line of a stream."""
    return json.dumps(line).encode() + b"\n"


if __name__ == "__main__":
    run_standin(partial(Engine, boot_prefix=f"{token_hex(4)}-"))
