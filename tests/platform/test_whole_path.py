"""The programs on the platform's protocols, as real processes with stand-ins."""

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import httpcore
import pytest

from masticdrum.core.restores import REWRITE_S
from masticdrum.platform.entry import WATCHED
from tests.platform.fleet import HOST, KEY, Fleet, make_config
from tests.processes.deployment import request

AGENT_KINDS = 2  # that an agent watches
MORE_PAGES = 2  # of the list of four servers, at the entry and at the agent
MAX_DRAWS = 40  # that all miss one of two equally loaded engines once in 10**12 runs


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


def find_header(answer: object, name: bytes) -> bytes:
    return next((v for k, v in answer.headers if k.lower() == name), b"")


def test_requests_are_forwarded_and_answers_returned_unchanged(fleet: Fleet) -> None:
    answer = fleet.ask("/book/7?x=%2f", "r1", body=b"two wheels")
    assert (answer.status, answer.content) == (200, b"answer to two wheels")
    assert find_header(answer, b"x-response-signature").startswith(b"signed-by-i-desk")
    assert find_header(answer, b"x-request-id") == b"r1"
    shown = fleet.control("desk-1")["seen"] + fleet.control("desk-2")["seen"]
    (seen,) = shown
    assert seen["x-tenant"] == "depot"
    assert seen["path"] == "/book/7"
    assert "authorization" not in seen
    assert 0 < int(seen["x-deadline-ms"]) <= 4000
    assert fleet.ask("/book/7", "r2", key="other").status == 401
    assert fleet.ask("/none/7", "r3").status == 404
    assert fleet.ask("/book/7", "r4", body=b"a" * 1001).status == 413
    metrics = request("GET", f"{fleet.name_url('entry metrics')}/metrics").content
    assert b"masticdrum_exchanges_total" in metrics


def test_internal_headers_are_not_accepted_from_callers(fleet: Fleet) -> None:
    sent = {"X-Tenant": "other", "X-Cache-Salt": "s", "X-Kv-Source": "10.0.0.1:1"}
    assert fleet.ask("/stream/7", "r1", **sent, **{"X-Model": "m1"}).status == 200
    shown = fleet.control("engine-1")["seen"] + fleet.control("engine-2")["seen"]
    (seen,) = shown
    assert seen["x-tenant"] == "depot"
    assert seen["x-cache-salt"] == "m1.1"
    assert "x-kv-source" not in seen
    assert seen["x-expect-version"] == "1"


def test_a_broken_stream_resumes_at_another_server(fleet: Fleet) -> None:
    for name in ("engine-1", "engine-2"):
        fleet.control(name, break_after=2, events=6)
    fleet.control("engine-2", break_after=0)
    whole = b"".join(b"id: %d\ndata: piece\n\n" % n for n in range(1, 7))
    for number in range(MAX_DRAWS):
        assert fleet.ask("/stream/7", f"r{number}").content == whole
        if number >= 3 and fleet.control("engine-1")["runs"]:
            return
    pytest.fail("no stream was broken")


# Guards against an entry that was killed with all others and joins streams that two
# software versions began (ORDER), or refuses them all (LOST).
def test_a_stream_goes_on_at_its_version_after_its_entry_was_killed(
    fleet: Fleet,
) -> None:
    engines = ("engine-1", "engine-2")
    for name in engines:
        fleet.control(name, events=6, break_after=2)
        fleet.register(name, version=f"software of {name}")
    port = fleet.ports["datagrams"]
    fleet.start_agent(datagrams=f"127.0.0.1:{port}")
    fleet.wait_for("agent metrics", "/readyz")
    restart_entry(fleet, port)
    for number in range(6):
        with pytest.raises(httpcore.RemoteProtocolError):
            fleet.ask("/stream/7", f"r{number}")
    began = [fleet.control(name)["runs"] for name in engines]
    restart_entry(fleet, port)
    for name in engines:
        fleet.control(name, break_after=0)
    rest = b"".join(b"id: %d\ndata: piece\n\n" % n for n in range(3, 7))
    for number in range(6):
        sent = {"Last-Event-Id": "2", "Resumes": f"r{number}"}
        assert fleet.ask("/stream/7", f"t{number}", **sent).content == rest
    for before, name in zip(began, engines, strict=True):
        numbers = [n for n in range(6) if f"r{n}" in before]
        runs = fleet.control(name)["runs"]
        assert [n for n in range(6) if f"t{n}" in runs] == numbers
    unknown = fleet.ask("/stream/7", "t", **{"Last-Event-Id": "2", "Resumes": "other"})
    assert (unknown.status, b"origin_unknown" in unknown.content) == (503, True)


# Guards against the refusal of all streams that are taken up at an entry that has just
# started, by callers that don't name where they began, while one version serves.
def test_a_stream_goes_on_at_a_new_entry_while_one_version_serves(
    fleet: Fleet,
) -> None:
    for name in ("engine-1", "engine-2"):
        fleet.control(name, events=6)
    restart_entry(fleet, fleet.ports["datagrams"])
    rest = b"".join(b"id: %d\ndata: piece\n\n" % n for n in range(3, 7))
    fleet.wait_until(
        lambda: fleet.ask("/stream/7", "t", **{"Last-Event-Id": "2"}).content == rest,
        "the rest of a stream",
    )


def restart_entry(fleet: Fleet, port: int) -> None:
    """Kill the entry and start it with datagrams, at another address than agents."""
    killed = fleet.running.pop("entry")
    killed.send_signal(signal.SIGKILL)
    killed.wait()
    fleet.start_entry(datagrams=f"127.0.0.2:{port}")


def test_a_booking_whose_answer_is_lost_is_not_retried_nor_reported_as_not_run(
    fleet: Fleet,
) -> None:
    for name in ("desk-1", "desk-2"):
        fleet.control(name, lose=True)
    assert fleet.ask("/book/7", "r1").status == 502
    assert fleet.count_runs("r1") == 1


def test_rejected_requests_are_retried_elsewhere_and_then_reported_as_not_run(
    fleet: Fleet,
) -> None:
    fleet.control("desk-1", reject=True)
    assert [fleet.ask("/book/7", f"a{n}").status for n in range(4)] == [200] * 4
    fleet.control("desk-2", reject=True)
    answer = fleet.ask("/book/7", "r1")
    assert answer.status == 503
    assert 0 < float(find_header(answer, b"retry-after")) < 4 / 3
    assert fleet.count_runs("r1") == 0


def test_edits_draining_servers_and_evacuations_take_effect(fleet: Fleet) -> None:
    fleet.put("config", "main", make_config(5, ["new-key"]))
    fleet.wait_until(
        lambda: fleet.ask("/look/7", "r1", key="new-key").status == 200, "new key"
    )
    assert fleet.ask("/look/7", "r2", key=KEY).status == 401
    fleet.register("desk-1", state="draining")
    fleet.wait_until(lambda: '"upstream_leaving"' in fleet.read_logs(), "leaving")
    before = fleet.control("desk-1")["runs"]
    for number in range(5):
        fleet.ask("/look/7", f"b{number}", key="new-key")
    assert fleet.control("desk-1")["runs"] == before
    fleet.put("evacuations", "olten-a", {})
    fleet.wait_until(
        lambda: fleet.ask("/look/7", "c1", key="new-key").status == 503, "evacuation"
    )
    fleet.delete("evacuations", "olten-a")
    fleet.wait_until(
        lambda: fleet.ask("/look/7", "c2", key="new-key").status == 200, "return"
    )


def test_an_unreadable_registration_does_not_affect_other_servers(fleet: Fleet) -> None:
    fleet.put("servers", "i-odd", {"service": 7, "state": "asleep"})
    fleet.put("servers", "i-empty", None)
    fleet.wait_until(lambda: '"object_unreadable"' in fleet.read_logs(), "unreadable")
    assert fleet.ask("/look/7", "r1").status == 200


def make_odd_entries(fleet: Fleet) -> dict[str, str]:
    """Return entries for a server of the desk that is read, as undecoded texts."""
    nested = "[" * 3000 + "]" * 3000
    host = "127.0.0.1"
    sound = f"{host}:{fleet.ports['desk-1']}"
    many = "9" * 400
    entries = [
        {"more": nested},
        {"more": "Infinity"},
        {"more": '"\\ud800"'},
        {"address": f'"{host}:99999"'},
        {"address": f'"{host}:{"9" * 5000}"'},
        {"address": f'"{host}:8²"'},
        {"address": '"desk.example:80"'},
        {"address": f'"{sound}"', "slots": many},
        {"address": f'"{sound}"', "slots": "-1"},
        {"address": f'"{sound}"', "coldRemainingMs": "1e308"},
        {"address": f'"{sound}"', "born": many, "sequence": many},
    ]
    base = {"service": '"desk"', "zone": '"olten-a"', "state": '"ready"'}
    base["address"] = f'"{host}:1"'
    texts = {"nested": nested, "bare": "nothing"}
    for number, entry in enumerate(entries):
        members = ",".join(f'"{k}":{v}' for k, v in (base | entry).items())
        texts[f"entry {number}"] = f"{{{members}}}"
    return texts


# Guards against an entry that ends, or follows the list no further, since one entry
# among those of the servers is nested deeply (RecursionError), has a number too large
# or a port out of range (LOST).
def test_odd_entries_among_the_servers_dont_disturb_the_others(fleet: Fleet) -> None:
    texts = make_odd_entries(fleet)
    fleet.control("store", raw=texts)
    asked = 0
    for name in texts:
        fleet.put("servers", "i-odd", f"raw:{name}")
    fleet.wait_until(lambda: '"object_unreadable"' in fleet.read_logs(), "unreadable")
    for number, name in enumerate(texts):
        fleet.put("servers", f"i-odd-{number}", f"raw:{name}")
    fleet.wait_until(
        lambda: all(f'"i-odd-{n}"' in fleet.read_logs() for n in range(len(texts))),
        "all of them",
    )
    for _ in range(20):
        asked += 1
        assert fleet.ask("/look/7", f"a{asked}").status == 200
    restart_entry(fleet, fleet.ports["datagrams"])
    for _ in range(20):
        asked += 1
        assert fleet.ask("/look/7", f"a{asked}").status == 200
    fleet.register("desk-1", state="draining")
    for name in ("entry 0", "entry 1", "entry 3", "entry 7"):
        fleet.put("servers", "i-desk-1", f"raw:{name}")
    fleet.put("servers", "i-desk-2", "raw:entry 1")
    fleet.wait_until(lambda: fleet.ask("/look/7", "b1").status == 503, "both odd")
    fleet.register("desk-2")
    fleet.wait_until(lambda: fleet.ask("/look/7", "b2").status == 200, "one sound")
    fleet.register("desk-1")
    fleet.delete("servers", "i-odd")
    for _ in range(5):
        asked += 1
        assert fleet.ask("/look/7", f"a{asked}").status == 200
    assert fleet.running["entry"].poll() is None
    assert "Traceback" not in fleet.read_logs()


# Guards against a caller whose connection is closed without an answer since a number
# of its request is too large.
@pytest.mark.parametrize("digits", [21, 400, 5000])
def test_a_number_too_large_in_a_request_is_refused(fleet: Fleet, digits: int) -> None:
    number = "9" * digits
    for odd in (
        {"X-Deadline-Ms": number},
        {"Last-Event-Id": number},
        {"X-Model": "m1", "X-Token-Usage": f"{number},{number}"},
        {"X-Model": "m1", "X-Prefix-Hash": f"a:{number}"},
    ):
        assert fleet.ask("/stream/7", "r1", **odd).status == 400
    assert fleet.ask("/look/7", "r2").status == 200


def test_a_store_that_forgets_its_history_is_listed_again(fleet: Fleet) -> None:
    fleet.control("store", do="forget")
    fleet.put("config", "main", make_config(9, ["new-key"]))
    fleet.wait_until(
        lambda: fleet.ask("/look/7", "r1", key="new-key").status == 200, "new key"
    )


def test_requests_with_keys_are_refused_while_the_store_is_lost(
    fleet: Fleet,
) -> None:
    fleet.control("store", hang=True, do="silence")
    fleet.wait_for("entry probes", "/readyz", 503)
    answer = fleet.ask("/look/7", "r1")
    assert answer.status == 503
    assert fleet.count_runs("r1") == 0
    fleet.control("store", hang=False)
    fleet.wait_for("entry probes", "/readyz")
    assert fleet.ask("/look/7", "r2").status == 200
    assert '"lease_lapsed"' in fleet.read_logs()


def test_a_shutdown_finishes_open_requests_and_announces_the_close(
    fleet: Fleet,
) -> None:
    fleet.running["entry"].send_signal(signal.SIGTERM)
    fleet.wait_for("entry probes", "/readyz", 503)
    answer = fleet.ask("/look/7", "r1")
    assert answer.status == 200
    assert find_header(answer, b"connection") == b"close"
    assert fleet.running["entry"].wait(timeout=10) == 0
    assert '"shutdown_done"' in fleet.read_logs()


def test_a_reload_applies_valid_settings_and_refuses_broken_ones(fleet: Fleet) -> None:
    path = fleet.folder / "entry.json"
    sound = path.read_text()
    path.write_text("{")
    fleet.running["entry"].send_signal(signal.SIGHUP)
    fleet.wait_until(lambda: '"settings_refused"' in fleet.read_logs(), "refused")
    path.write_text(sound.replace('"name"', '"drain_s": 1.5, "name"'))
    fleet.running["entry"].send_signal(signal.SIGHUP)
    fleet.wait_until(lambda: '"settings_reloaded"' in fleet.read_logs(), "reloaded")
    assert fleet.ask("/look/7", "r1").status == 200


# Guards against agents that end at each SIGHUP, a crash loop (Fault).
def test_an_agent_applies_changed_settings_and_lives_on(fleet: Fleet) -> None:
    fleet.start_agent()
    fleet.wait_for("agent metrics", "/readyz")
    agent, path = fleet.running["agent"], fleet.folder / "agent.json"
    sound = path.read_text()
    path.write_text("{")
    agent.send_signal(signal.SIGHUP)
    fleet.wait_until(lambda: '"settings_refused"' in fleet.read_logs(), "refused")
    path.write_text(sound.replace('"name"', '"runs_at_load": "finish", "name"'))
    agent.send_signal(signal.SIGHUP)
    fleet.wait_until(lambda: '"settings_reloaded"' in fleet.read_logs(), "reloaded")
    fleet.put("versions", "m1", {"model": "m1", "version": 2})
    fleet.wait_until(lambda: fleet.control("engine-1")["orders"], "an order")
    assert fleet.control("engine-1")["orders"][0]["method"] == "queue"
    assert agent.poll() is None
    agent.send_signal(signal.SIGTERM)
    assert agent.wait(timeout=10) == 0


# Guards against processes that end at a SIGHUP while they start (Fault), or that go on
# with the settings of before.
@pytest.mark.parametrize("name", ["entry", "agent"])
def test_a_reload_while_a_process_starts_is_not_lost(fleet: Fleet, name: str) -> None:
    if name == "entry":
        fleet.running.pop("entry").kill()
        (fleet.folder / "entry.log").write_text("")
        settings = fleet.folder / "entry.json"
    else:
        fleet.start_agent()
        fleet.running.pop("agent").kill()
        settings = fleet.folder / "agent.json"
    fleet.run(name, f"masticdrum.platform.{name}", settings=settings)
    process = fleet.running[name]
    status = Path(f"/proc/{process.pid}/status")
    # Since then it has begun to import its modules.
    fleet.wait_until(lambda: blocks_hangups(status), "its start")
    process.send_signal(signal.SIGHUP)
    fleet.wait_until(lambda: '"settings_reloaded"' in fleet.read_logs(), "reloaded")
    assert process.poll() is None


def blocks_hangups(status: Path) -> bool:
    masks = [line for line in status.read_text().splitlines() if "SigBlk" in line]
    return any(int(mask.split()[1], 16) & 1 << (signal.SIGHUP - 1) for mask in masks)


def test_the_agent_orders_new_weights_once_and_entries_follow(fleet: Fleet) -> None:
    fleet.start_agent()
    fleet.put("versions", "m1", {"model": "m1", "version": 2})
    fleet.wait_until(lambda: fleet.control("engine-1")["orders"], "an order")
    (order,) = fleet.control("engine-1")["orders"]
    assert (order["op"], order["model"], order["version"]) == ("version", "m1", 2)
    assert (order["holder"], order["expect"]) == ("agent", 0)
    assert order["fencingToken"] > 0
    fleet.wait_until(lambda: '"order_answered"' in fleet.read_logs(), "its end")
    time.sleep(0.6)
    assert len(fleet.control("engine-1")["orders"]) == 1


def test_broken_settings_are_a_clear_error(fleet: Fleet) -> None:
    path = fleet.write_settings("agent", upstream="nowhere", grace_s=-1)
    fleet.run("agent", "masticdrum.platform.agent", settings=path)
    assert fleet.running["agent"].wait(timeout=10) == 2
    assert "grace_s: -1.0 is not above 0" in fleet.read_logs()
    assert HOST not in fleet.read_logs()


# Guards against processes that list a restored store's kinds without a pause, take its
# older configuration for news, or leave it without their registrations (CONFIG).
def test_a_restored_store_is_listed_a_few_times_and_written_again(
    fleet: Fleet,
) -> None:
    fleet.start_agent()
    members = ["entry"]

    def list_members() -> list[str]:
        shown = fleet.control("store")["names"]
        return shown.get("masticdrum-members", [])

    fleet.wait_until(lambda: list_members() == members, "registration")
    fleet.delete("masticdrum-members", "entry")
    fleet.control("store", do="save")
    fleet.put("config", "main", make_config(5, ["new-key"]))
    fleet.wait_until(
        lambda: fleet.ask("/look/7", "r1", key="new-key").status == 200, "new key"
    )
    fleet.control("store", do="restore")
    fleet.wait_until(lambda: '"store_restored"' in fleet.read_logs(), "restore")
    assert fleet.ask("/look/7", "r2", key="new-key").status == 200
    assert fleet.ask("/look/7", "r3", key=KEY).status == 401
    fleet.put("config", "main", make_config(5, ["new-key"]))
    fleet.wait_until(lambda: list_members() == members, "registration again")
    time.sleep(1.0)
    before = fleet.control("store")["lists"]
    time.sleep(REWRITE_S + 1.0)
    kinds = len(WATCHED) + AGENT_KINDS
    pages = kinds + MORE_PAGES
    assert 0 < fleet.control("store")["lists"] - before <= pages
    assert fleet.ask("/look/7", "r4", key="new-key").status == 200
    assert fleet.ask("/look/7", "r5", key=KEY).status == 401
