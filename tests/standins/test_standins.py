"""The stand-ins implement docs/INTERFACES.md and the faults that they document."""

import json
import subprocess
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import httpcore
import pytest
import trio
import trio.testing

from masticdrum.model.platform import ObjectStatus
from tests.standins.engine import Engine
from tests.standins.enginemodel import EngineFaults, EngineModel, RunBody, make_tokens
from tests.standins.instances import InstanceApi
from tests.standins.objects import ObjectApi, ObjectFaults, ObjectTable
from tests.standins.server import StandIn, serve
from tests.standins.service import Service
from tests.standins.store import Damage, Store, StoreFaults, StoreTable
from tests.standins.weights import WeightStore

TIMEOUTS = {"timeout": {"connect": 20.0, "read": 20.0, "write": 20.0, "pool": 20.0}}


class Caller:
    """Calls one stand-in over HTTP."""

    def __init__(self, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self.address = address
        self.pool = pool

    async def call(
        self, method: str, path: str, body: Any = b"", **headers: str
    ) -> httpcore.Response:
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        url = self.address + path
        return await self.pool.request(
            method, url, headers=sent, content=content, extensions=TIMEOUTS
        )


def check_app(app: StandIn, check: Callable[[Caller], Awaitable[None]]) -> None:
    """Serve an app in this process while ``check`` calls it."""

    async def main() -> None:
        async with (
            trio.open_nursery() as nursery,
            httpcore.AsyncConnectionPool() as pool,
        ):
            address = await nursery.start(serve, app)
            with trio.fail_after(60):
                await check(Caller(address, pool))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_objects_update_conditionally() -> None:
    async def check(caller: Caller) -> None:
        answer = await caller.call("PUT", "/objects/a/b", b"one", If_None_Match="*")
        assert answer.status == 201
        etag = dict(answer.headers)[b"etag"].decode()
        answer = await caller.call("PUT", "/objects/a/b", b"two", If_None_Match="*")
        assert answer.status == 412
        answer = await caller.call("PUT", "/objects/a/b", b"two", If_Match=etag)
        assert answer.status == 200
        answer = await caller.call("GET", "/objects/a/b")
        assert (answer.status, answer.content) == (200, b"two")
        answer = await caller.call("GET", "/objects?prefix=a/&after=a/a")
        assert json.loads(answer.content) == {"names": ["a/b"]}
        answer = await caller.call("DELETE", "/objects/a/b", If_Match=etag)
        assert answer.status == 412
        too_large = b"x" * 1_000_001
        answer = await caller.call("PUT", "/objects/c", too_large, If_None_Match="*")
        assert answer.status == 413

    check_app(ObjectApi(), check)


def test_object_watch_ends_with_the_next_version() -> None:
    async def watch(caller: Caller) -> None:
        answer = await caller.call("GET", "/objects/a?known=1&wait=60")
        assert answer.content == b"two"

    async def check(caller: Caller) -> None:
        await caller.call("PUT", "/objects/a", b"one", If_None_Match="*")
        answer = await caller.call("GET", "/objects/a?known=1&wait=0.01")
        assert answer.status == 304
        assert dict(answer.headers)[b"etag"] == b'"1"'
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, caller)
            await trio.testing.wait_all_tasks_blocked(0.05)
            await caller.call("PUT", "/objects/a", b"two", If_Match='"1"')

    check_app(ObjectApi(), check)


def test_object_faults() -> None:
    async def check(caller: Caller) -> None:
        await caller.call("POST", "/control", {"lose_answers": 1})
        with pytest.raises(httpcore.RemoteProtocolError):
            await caller.call("PUT", "/objects/a", b"one", If_None_Match="*")
        assert (await caller.call("GET", "/objects/a")).content == b"one"
        await caller.call("POST", "/control", {"outage": True})
        assert (await caller.call("GET", "/objects/a")).status == 503
        answer = await caller.call("POST", "/control", {"no_such_fault": 1})
        assert answer.status == 400

    check_app(ObjectApi(), check)


def test_object_rate_ceiling() -> None:
    table = ObjectTable(ObjectFaults(write_rate=10.0))
    statuses = [table.put(f"k{n}", b"", 0, now=n / 100).status for n in range(101)]
    assert 9 <= statuses.count(ObjectStatus.OK) <= 12
    assert statuses.count(ObjectStatus.REJECTED) == 101 - statuses.count("ok")


def test_object_names_are_listed_in_pages() -> None:
    table = ObjectTable(ObjectFaults(write_rate=0.0))
    for number in range(1500):
        table.put(f"a/{number:04}", b"", 0, 0.0)
    table.put("b", b"", 0, 0.0)
    first = table.list("a/", "", 0.0).names
    second = table.list("a/", first[-1], 0.0).names
    assert (len(first), len(second)) == (1000, 500)


def test_instance_list_lags() -> None:
    row = {"name": "e1", "role": "entry", "data_centre": "bole", "address": "tcp://x"}

    async def check(caller: Caller) -> None:
        rows = [row | {"state": "live"}]
        await caller.call("POST", "/control", {"instances": rows})
        answer = await caller.call("GET", "/instances")
        assert json.loads(answer.content) == {"instances": rows}
        leaving = {"instances": [row | {"state": "leaving"}], "lag_s": 3600.0}
        await caller.call("POST", "/control", leaving)
        answer = await caller.call("GET", "/instances")
        assert json.loads(answer.content) == {"instances": []}

    check_app(InstanceApi(), check)


@pytest.mark.parametrize(("fault", "count"), [("break_before", 0), ("break_after", 1)])
def test_service_counts_executions(fault: str, count: int) -> None:
    async def check(caller: Caller) -> None:
        await caller.call("POST", "/control", {"fault": fault, "fault_calls": 1})
        headers = {"Call_Key": "k", "Workspace": "w"}
        with pytest.raises(httpcore.RemoteProtocolError):
            await caller.call("POST", "/calls", b"{}", **headers)
        answer = await caller.call("POST", "/calls", b"{}", **headers)
        assert json.loads(answer.content)["execution"] == count + 1
        answer = await caller.call("GET", "/executions?workspace=w")
        assert json.loads(answer.content) == {"k": count + 1}
        answer = await caller.call("GET", "/executions?workspace=other")
        assert json.loads(answer.content) == {}

    check_app(Service(), check)


def test_store_commits_whole_blocks() -> None:
    async def check(caller: Caller) -> None:
        await caller.call("PUT", "/blocks/k?part=p", b"block")
        assert (await caller.call("GET", "/blocks/k")).status == 404
        assert (await caller.call("POST", "/blocks/k?part=p")).status == 204
        assert (await caller.call("GET", "/blocks/k")).content == b"block"
        await caller.call("POST", "/control", {"break_after": 2})
        with pytest.raises(httpcore.RemoteProtocolError):
            await caller.call("GET", "/blocks/k")
        await caller.call("POST", "/control", {"full": True, "break_after": -1})
        assert (await caller.call("PUT", "/blocks/k?part=q", b"block")).status == 507

    check_app(Store(), check)


def test_store_evicts_what_is_not_leased() -> None:
    table = StoreTable(StoreFaults(memory_size=2, disk_size=1))
    for number, key in enumerate("abc"):
        assert table.put(key, "", key.encode(), float(number)) == 204
        assert table.commit(key, "", float(number)) == 204
    assert [table.blocks[key].on_disk for key in "abc"] == [True, False, False]
    for key in "abc":
        assert table.lease(key, "reader", 10.0, 3.0) == 204
    assert table.put("d", "", b"d", 4.0) == 507
    assert table.put("d", "", b"d", 14.0) == 204
    assert table.get("a") is None


@pytest.mark.parametrize("damage", [Damage.TRUNCATE, Damage.FLIP, Damage.SUBSTITUTE])
def test_store_damages_blocks(damage: Damage) -> None:
    table = StoreTable(StoreFaults(damage=damage))
    for key in ("one", "two"):
        table.put(key, "", key.encode(), 0.0)
        table.commit(key, "", 0.0)
    assert table.get("one") != b"one"


def test_weights_count_loads_at_once() -> None:
    app = WeightStore()

    async def read(caller: Caller) -> None:
        answer = await caller.call("GET", "/weights/v2")
        assert len(answer.content) == app.faults.size

    async def check(caller: Caller) -> None:
        app.control({"load_s": 0.1})
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(read, caller)
        assert app.peak == 3
        app.control({"read_rate": 0.001})
        assert (await caller.call("GET", "/weights/v2")).status == 200
        assert (await caller.call("GET", "/weights/v2")).status == 429

    check_app(app, check)


def make_run_body(name: str, prompt: str = "p", last: int = 5, **more: Any) -> RunBody:
    return RunBody(name, prompt, last, **more)


def read_lines(content: bytes) -> list[dict[str, Any]]:
    return [json.loads(line) for line in content.splitlines()]


def join_tokens(lines: list[dict[str, Any]]) -> list[str]:
    return [token for line in lines for token in line.get("tokens", [])]


async def post_run(caller: Caller, name: str, last: int = 5) -> list[dict[str, Any]]:
    body = {"run": name, "prompt": "p", "max_tokens": last, "blocks": ["a", "b"]}
    answer = await caller.call("POST", "/runs", body)
    assert answer.status == 200
    return read_lines(answer.content)


def test_engine_streams_resumes_and_reuses_blocks() -> None:
    expected = make_tokens("p", 0, 5, "v1")

    async def check(caller: Caller) -> None:
        lines = await post_run(caller, "r1")
        begun = {"begun": True, "version": "v1", "cached": 0, "recomputed": 2}
        assert lines[0] == begun
        assert lines[-1] == {"end": "length"}
        assert join_tokens(lines) == expected
        answer = await caller.call("GET", "/runs/r1?first=3")
        assert join_tokens(read_lines(answer.content)) == expected[3:]
        assert (await post_run(caller, "r2"))[0]["cached"] == 2
        answer = await caller.call("GET", "/events?after=0")
        changes = {"number": 2, "held": ["a", "b"], "evicted": []}
        assert json.loads(answer.content) == changes

    check_app(Engine(EngineFaults(token_s=0.001, block_s=0.001)), check)


def test_engine_exports_and_imports_blocks() -> None:
    async def check(caller: Caller) -> None:
        await post_run(caller, "r1")
        payload = (await caller.call("GET", "/blocks/a")).content
        await caller.call("POST", "/control", {"do": "evict"})
        assert (await caller.call("GET", "/blocks/a")).status == 404
        answer = await caller.call("PUT", "/blocks/a", payload, Weight_Version="v0")
        assert answer.status == 409
        answer = await caller.call("PUT", "/blocks/a", payload, Weight_Version="v1")
        assert answer.status == 204
        assert (await post_run(caller, "r2"))[0]["cached"] == 1

    check_app(Engine(EngineFaults(token_s=0.001, block_s=0.001)), check)


def test_silence_affects_only_open_connections() -> None:
    app = Engine(EngineFaults(token_s=0.02, block_s=0.0))

    async def check(caller: Caller) -> None:
        body = json.dumps({"run": "r", "prompt": "p", "max_tokens": 50}).encode()
        seen = b""
        url = caller.address + "/runs"
        async with caller.pool.stream("POST", url, content=body) as answer:
            with trio.move_on_after(3) as scope:
                async for piece in answer.aiter_stream():
                    if not seen:
                        app.silence()
                    seen += piece
        assert scope.cancelled_caught
        answer = await caller.call("GET", "/runs/r?first=0")
        tokens = join_tokens(read_lines(answer.content))
        assert tokens == make_tokens("p", 0, 50, "v1")

    check_app(app, check)


def test_engine_crashes_on_a_prompt() -> None:
    async def check(caller: Caller) -> None:
        await caller.call("POST", "/control", {"crash_text": "p", "restart_s": 0.0})
        with pytest.raises(httpcore.RemoteProtocolError):
            await caller.call(
                "POST", "/runs", b'{"run":"r","prompt":"p","max_tokens":1}'
            )
        answer = await caller.call("GET", "/load")
        assert json.loads(answer.content)["boot"] == "engine-2"

    check_app(Engine(), check)


def test_engine_refuses_an_order_with_an_old_fence() -> None:
    async def check(caller: Caller) -> None:
        order = {"order": "o", "action": "load", "target": "v2", "fence": 5}
        assert (await caller.call("POST", "/orders", order)).status == 200
        assert (await caller.call("GET", "/load")).content.count(b"v2")
        order["fence"] = 4
        assert (await caller.call("POST", "/orders", order)).status == 409
        await caller.call("POST", "/control", {"checks_fence": False})
        assert (await caller.call("POST", "/orders", order)).status == 200

    check_app(Engine(EngineFaults(load_s=0.0)), check)


def test_engine_model_serves_urgent_runs_first() -> None:
    model = EngineModel(EngineFaults(batch=1, token_s=1.0))
    model.start(make_run_body("a"), 0.0)
    model.start(make_run_body("b", priority=2), 0.0)
    model.start(make_run_body("c", priority=0), 0.0)
    assert model.count_generated(model.runs["a"], 2.5) == 3
    model.advance(20.0)
    assert model.runs["c"].begun_at < model.runs["b"].begun_at


def test_engine_model_crashes_past_its_cold_ceiling() -> None:
    faults = EngineFaults(cold_ceiling=1, cold_growth=1.0, warm_after_s=3.0)
    model = EngineModel(faults)
    run = make_run_body("a", last=1000)
    assert model.start(run, 0.0) == 200
    assert model.start(make_run_body("b", last=1000), 1.5) == 200
    first = model.runs["a"]
    assert model.start(make_run_body("c"), 1.6) == 503
    assert (model.falls, first.aborted, model.report(1.7).boot) == (1, True, "engine-2")
    assert model.start(run, 1.7) == 503
    assert model.start(run, 3.0) == 200
    assert [model.start(make_run_body(f"d{n}"), 7.0) for n in range(9)] == [200] * 9


def test_engine_model_lags_and_loses_events() -> None:
    faults = EngineFaults(report_lag_s=5.0, events_lag_s=5.0, events_gap=2)
    model = EngineModel(faults)
    model.start(make_run_body("a", last=10_000, blocks=["x", "y", "z"]), 1.0)
    assert model.report(2.0).running == 0
    assert model.report(6.5).running == 1
    assert model.list_events(0, 2.0)["number"] == 0
    assert model.list_events(0, 9.0) == {"number": 3, "held": ["x", "z"], "evicted": []}


@pytest.mark.parametrize(
    "name", ["objects", "instances", "engine", "store", "weights", "service"]
)
def test_each_stand_in_runs_as_a_process(name: str) -> None:
    command = [sys.executable, "-m", f"tests.standins.{name}", "--port", "0"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        address = json.loads(process.stdout.readline())["address"]
        with httpcore.ConnectionPool() as pool:
            assert pool.request("GET", f"{address}/control").status == 200
        process.terminate()
