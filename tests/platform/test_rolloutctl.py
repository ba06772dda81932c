"""``masticdrum-rollout`` as a process, against the stand-in of the platform's store."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from masticdrum.core.rolloutprogress import (
    MAX_PROGRESS_BYTES,
    ProgressPacer,
    decode_progress,
    encode_progress,
)
from masticdrum.model.rolloutprogress import RolloutProgress
from masticdrum.model.rollouts import RolloutLease
from masticdrum.programs.ctloutput import ExitCode
from tests.platform.oddobjects import NESTED, ODD_SPECS, ODD_VALUES
from tests.processes.deployment import assign_free_ports, request
from tests.processes.test_ctl import run_standin

COMMAND_S = 30.0
START = ("start", "desk", "--target", "v2", "--duration", "120")
SPEC = {"service": "desk", "target": "v2", "durationS": 120.0}
LEASE = RolloutLease("desk", "v2", 7, "entry-1", "127.0.0.1:7000", 3, 40, 1.8e9)
PROGRESS = RolloutProgress(
    service="desk",
    target="v2",
    created=7,
    number=3,
    at_unix_s=1.8e9,
    step=2,
    share=0.05,
    new_sent=40,
    old_sent=760,
    verdict="undecided",
    next_share=0.1,
    next_at_unix_s=1.8e9 + 12,
    facts={"book": {"failed_new": 1, "failed_old": 9}},
)


class RolloutHarness:
    """Runs the command, and reads and changes the store behind it."""

    def __init__(self, url: str) -> None:
        self.url = url

    def run_text(self, *arguments: str, as_json: bool = False) -> tuple[int, str]:
        options = ["--store", self.url.removeprefix("http://")]
        command = [sys.executable, "-m", "masticdrum.platform.rolloutctl", *options]
        command += ["--json"] if as_json else []
        ended = subprocess.run(
            [*command, *arguments],
            capture_output=True,
            timeout=COMMAND_S,
            env=os.environ | {"PYTHONIOENCODING": "utf-8"},
        )
        assert b"Traceback" not in ended.stderr, ended.stderr.decode()
        return ended.returncode, ended.stdout.decode()

    def run(self, *arguments: str) -> tuple[int, Any]:
        code, text = self.run_text(*arguments, as_json=True)
        return code, json.loads(text or "null")

    def put(self, kind: str, name: str, spec: Any, **more: Any) -> None:
        url = f"{self.url}/v1/objects/{kind}"
        value = {"metadata": {"name": name}, "spec": spec, **more}
        body = json.dumps(value).encode()
        answer = request("PUT", f"{url}/{name}", body=body)
        if answer.status == 404:
            answer = request("POST", url, body=body)
        assert answer.status == 200, answer.content

    def read(self, kind: str, name: str) -> Any:
        answer = request("GET", f"{self.url}/v1/objects/{kind}/{name}")
        return json.loads(answer.content) if answer.status == 200 else None

    def set_state(self, state: str, target: str = "v2") -> None:
        spec = self.read("rollouts", "desk")["spec"]
        status = {"state": state, "target": target}
        self.put("rollouts", "desk", spec, status=status)

    def put_records(self) -> None:
        self.put("masticdrum-rollouts", "desk", msgspec.to_builtins(LEASE))
        self.put("masticdrum-rolloutprogress", "desk", msgspec.to_builtins(PROGRESS))

    def control(self, **faults: Any) -> None:
        body = json.dumps(faults).encode()
        assert request("POST", f"{self.url}/control", body=body).status == 200


@pytest.fixture
def harness() -> Iterator[RolloutHarness]:
    with run_standin("metadata") as url:
        yield RolloutHarness(url)


def test_an_order_from_first_to_last(harness: RolloutHarness) -> None:
    assert harness.run("list") == (ExitCode.DONE, {"orders": []})
    assert harness.run("show", "desk")[0] == ExitCode.WRONG
    assert harness.run(*START)[0] == ExitCode.DONE
    assert harness.read("rollouts", "desk")["spec"] == SPEC

    code, value = harness.run("show", "desk")
    assert (code, value["state"], value["lease"]) == (ExitCode.DONE, None, None)
    harness.set_state("running")
    harness.put_records()
    code, value = harness.run("show", "desk")
    assert (code, value["state"], value["duration_s"]) == (0, "running", 120)
    assert value["lease"] == msgspec.to_builtins(LEASE)
    assert value["progress"] == msgspec.to_builtins(PROGRESS)
    assert harness.run("list")[1]["orders"] == [value]

    assert harness.run("withdraw", "desk")[0] == ExitCode.DONE
    assert harness.read("rollouts", "desk") is None
    code, value = harness.run("withdraw", "desk")
    assert (code, "nothing to withdraw" in value["text"]) == (ExitCode.DONE, True)


def test_text_for_people(harness: RolloutHarness) -> None:
    assert harness.run_text("list") == (ExitCode.DONE, "no orders\n")
    harness.run(*START)
    harness.set_state("running")
    harness.put_records()
    assert harness.run_text("list")[1].splitlines() == [
        "service  target  duration  state    decider",
        "desk     v2      120 s     running  entry-1",
    ]
    assert harness.run_text("show", "desk")[1].splitlines() == [
        "service 'desk' to version 'v2' within 120 s",
        "state: running",
        "decider: entry-1 at 127.0.0.1:7000, number 3, 40 renewals,"
        " order seen 2027-01-15 08:00:00 UTC",
        "progress of 2027-01-15 08:00:00 UTC, number 3: step 2, share 5.0%",
        "next step: share 10.0%, not before 2027-01-15 08:00:12 UTC",
        "answered: 40 by the target, 760 by others",
        "verdict: undecided",
        "",
        "route  facts",
        "book   failed_new=1 failed_old=9",
    ]


# Guards against a second order that replaces one that is under way, or that is taken
# for done though nothing will follow it.
def test_an_order_that_stands_is_never_replaced(harness: RolloutHarness) -> None:
    assert harness.run(*START)[0] == ExitCode.DONE
    harness.set_state("running")
    before = harness.read("rollouts", "desk")
    assert harness.run(*START)[0] == ExitCode.DONE
    for target, duration in (("v3", "120"), ("v2", "60")):
        other = ("start", "desk", "--target", target, "--duration", duration)
        assert harness.run(*other)[0] == ExitCode.CONFLICT
    assert harness.read("rollouts", "desk") == before
    for state in ("completed", "rolled_back"):
        harness.set_state(state)
        code, value = harness.run(*START)
        assert (code, state in value["text"]) == (ExitCode.CONFLICT, True)


def test_lost_answers_are_read_back(harness: RolloutHarness) -> None:
    harness.control(lost_writes=1)
    assert harness.run(*START)[0] == ExitCode.DONE
    assert harness.read("rollouts", "desk")["spec"] == SPEC
    harness.control(lost_writes=1)
    assert harness.run("withdraw", "desk")[0] == ExitCode.DONE
    assert harness.read("rollouts", "desk") is None


def test_a_store_that_does_not_answer_changes_nothing(harness: RolloutHarness) -> None:
    commands = (("list",), ("show", "desk"), START, ("withdraw", "desk"))
    harness.control(outage=True)
    for command in commands:
        assert harness.run(*command)[0] == ExitCode.UNREACHABLE, command
    harness.control(outage=False)
    assert harness.read("rollouts", "desk") is None
    port = assign_free_ports(["none"])["none"]
    nobody = RolloutHarness(f"http://127.0.0.1:{port}")
    for command in commands:
        assert nobody.run(*command)[0] == ExitCode.UNREACHABLE, command


def test_wrong_command_lines_are_refused(harness: RolloutHarness) -> None:
    for duration in ("0", "-1", "nan", "inf", "1e300", "soon"):
        wrong = ("start", "desk", "--target", "v2", "--duration", duration)
        assert harness.run_text(*wrong)[0] == ExitCode.USAGE, duration
    assert harness.run_text("show", "")[0] == ExitCode.USAGE
    assert harness.run_text("withdraw", "a/b")[0] == ExitCode.USAGE
    assert RolloutHarness("store:80").run_text("list")[0] == ExitCode.USAGE
    assert harness.read("rollouts", "desk") is None


# The orders behind an odd one must be listed too, also on a later page.
def test_odd_orders_are_shown_as_such_and_can_be_withdrawn(
    harness: RolloutHarness,
) -> None:
    odd_specs = (
        ODD_SPECS
        | ODD_VALUES
        | {
            "another service": json.dumps(SPEC | {"service": "other"}).encode(),
            "no target": b'{"service":"odd-0","target":"","durationS":1}',
            "a duration of zero": b'{"service":"odd-0","target":"v2","durationS":0}',
        }
    )
    raw = {}
    for number, spec in enumerate(odd_specs.values()):
        raw[f"s{number}"] = spec.decode("utf-8", "replace")
        harness.put("rollouts", f"odd-{number}", f"raw:s{number}")
    harness.put("rollouts", "zone", SPEC | {"service": "zone"})
    harness.control(raw=raw)

    code, value = harness.run("list")
    rows = {row["service"]: row for row in value["orders"]}
    assert (code, len(rows)) == (ExitCode.DONE, len(odd_specs) + 1)
    assert rows.pop("zone")["target"] == "v2"
    assert all(row["unreadable"] for row in rows.values())
    assert harness.run_text("list")[1].count("unreadable: ") == len(odd_specs)
    code, value = harness.run("show", "odd-0")
    assert (code, value["service"]) == (ExitCode.WRONG, "odd-0")
    odd_start = ("start", "odd-0", "--target", "v2", "--duration", "9")
    assert harness.run(*odd_start)[0] == ExitCode.CONFLICT
    assert harness.run("withdraw", "odd-0")[0] == ExitCode.DONE
    assert harness.read("rollouts", "odd-0") is None


@pytest.mark.parametrize(
    "status",
    ["7", '"running"', "{}", '{"state":"paused","target":"v2"}', NESTED.decode(), "x"],
    ids=["number", "text", "empty", "other state", "nested", "not JSON"],
)
def test_an_odd_status_is_not_taken_for_none(
    harness: RolloutHarness, status: str
) -> None:
    harness.put("rollouts", "desk", SPEC, status="raw:status")
    harness.control(raw={"status": status})
    code, value = harness.run("show", "desk")
    assert (code, value["service"]) == (ExitCode.WRONG, "desk")
    assert value["unreadable"]


def test_records_of_an_earlier_order_or_odd_ones_are_told_apart(
    harness: RolloutHarness,
) -> None:
    harness.run("start", "desk", "--target", "v3", "--duration", "60")
    harness.put_records()
    harness.set_state("completed", target="v2")
    assert harness.run("show", "desk")[1]["state"] is None
    text = harness.run_text("show", "desk")[1]
    assert "state: no status yet" in text
    assert "decider: none (the lease is that of version 'v2')" in text
    assert "progress: none (it is that of version 'v2')" in text
    for kind in ("masticdrum-rollouts", "masticdrum-rolloutprogress"):
        harness.put(kind, "desk", {"service": 7})
    code, value = harness.run("show", "desk")
    assert (code, value["target"]) == (ExitCode.DONE, "v3")
    assert value["lease"]["unreadable"] and value["progress"]["unreadable"]
    assert harness.run_text("show", "desk")[1].count("can't be read") == 2


def test_progress_stays_within_its_size() -> None:
    assert decode_progress(encode_progress(PROGRESS)) == PROGRESS
    facts: Any = {f"route-{n}": {"failed": n, "why": "x" * n} for n in range(100)}
    body = encode_progress(msgspec.structs.replace(PROGRESS, facts=facts))
    kept = decode_progress(body)
    assert len(body) <= MAX_PROGRESS_BYTES
    assert 0 < len(kept.facts) == 100 - kept.omitted
    assert kept.facts.items() <= facts.items()
    with pytest.raises(ValueError, match="desk"):
        encode_progress(msgspec.structs.replace(PROGRESS, target="v" * 2048))


def test_progress_is_due_once_a_second_at_most() -> None:
    pacer = ProgressPacer()
    due = [n for n in range(40) if pacer.is_due(n / 8)]
    assert due == [0, 8, 16, 24, 32]
