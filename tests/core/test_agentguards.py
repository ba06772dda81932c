"""Tests that an agent refuses crashing requests and orders weights under a permit."""

from typing import Any

import msgspec

from masticdrum.core.agent import reduce_agent
from masticdrum.core.agentstate import AgentOptions, AgentState
from masticdrum.core.suspects import SUSPECTS_PATH
from masticdrum.core.tableview import TableView
from masticdrum.model.agent_events import (
    IssueOrder,
    LoadReported,
    OrderAnswered,
    ReplyFrame,
    RunFailed,
    StartRun,
)
from masticdrum.model.entry_events import FrameReceived, ShutdownRequested, TimerExpired
from masticdrum.model.errors import ErrorKind
from masticdrum.model.messages import Dispatch, Envelope, Failed, Refused
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut, ObjectStatus
from masticdrum.model.tables import (
    DataCentre,
    Pool,
    PoolKind,
    Tables,
    Upstream,
    Urgency,
)


class FakePlatform:
    """A fake of the platform's object API that answers at once."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, bytes]] = {}

    def answer(self, call: ObjectGet | ObjectPut) -> ObjectAnswer | None:
        version, body = self.objects.get(call.path, (0, b""))
        if isinstance(call, ObjectGet):
            if call.wait_s and version == call.known:
                return None
            if not version:
                return ObjectAnswer(call.call, ObjectStatus.MISSING)
            return ObjectAnswer(call.call, ObjectStatus.OK, version, body)
        if call.expected != version:
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT)
        self.objects[call.path] = (version + 1, call.body)
        return ObjectAnswer(call.call, ObjectStatus.OK, version + 1)


class AgentHarness:
    """One agent's reducer; several share a platform."""

    def __init__(self, platform: FakePlatform, name: str, wanted: str = "v1") -> None:
        self.platform = platform
        self.state = AgentState(AgentOptions(name, "dc", "llm", name, "inc"), seed=1)
        upstream = Upstream(name, "dc", "tcp://127.0.0.1:1")
        pool = Pool("llm", PoolKind.ENGINE, [upstream], version=wanted)
        tables = Tables(1, data_centres=[DataCentre("dc", "r")], pools=[pool])
        self.state.view = TableView(tables)
        self.now = 0.0
        self.effects: list[Any] = []
        for _ in range(8):
            self.report("boot-1")

    def send(self, event: Any) -> None:
        """Handle an event, and answer the platform calls that it causes."""
        events = [event]
        while events:
            effects = reduce_agent(self.state, events.pop(0), self.now)
            self.effects += effects
            for effect in effects:
                if isinstance(effect, ObjectGet | ObjectPut):
                    answer = self.platform.answer(effect)
                    events += [answer] if answer else []

    def report(self, boot: str, version: str = "v1") -> None:
        self.now += 0.25
        self.send(LoadReported(True, 0, boot, version))

    def dispatch(self, attempt: str, crashes: int = 0) -> None:
        message = Dispatch(
            attempt,
            "request",
            "radkranz",
            "llm",
            Urgency.NORMAL,
            60.0,
            "prompt",
            4,
            [],
            fingerprint="culprit",
            crashes=crashes,
        )
        self.send(FrameReceived("link", Envelope("entry", "inc", 1, message)))

    def crash(self, attempt: str, boot: str) -> None:
        self.send(RunFailed(attempt, True, detail="connection reset"))
        for _ in range(8):
            self.report(boot)

    def list_started(self) -> list[str]:
        return [e.attempt for e in self.effects if isinstance(e, StartRun)]

    def list_replies(self, kind: type) -> list[Any]:
        replies = [e.message for e in self.effects if isinstance(e, ReplyFrame)]
        return [message for message in replies if isinstance(message, kind)]


def test_a_crashing_request_costs_two_upstreams_and_is_refused_at_the_third() -> None:
    platform = FakePlatform()
    first, second, third = (AgentHarness(platform, name) for name in "abc")
    first.dispatch("try-1")
    assert first.list_started() == ["try-1"]
    first.crash("try-1", "boot-2")
    assert first.list_replies(Failed)[0].broken
    for harness in (second, third):
        harness.send(answer_suspects_read(harness, platform))
    second.dispatch("try-2")
    assert second.list_started() == ["try-2"]
    second.crash("try-2", "boot-2")
    third.send(answer_suspects_read(third, platform))
    third.dispatch("try-3")
    assert third.list_started() == []
    [refused] = third.list_replies(Refused)
    assert refused.kind == ErrorKind.QUARANTINED


def answer_suspects_read(harness: AgentHarness, platform: FakePlatform) -> ObjectAnswer:
    """Return the platform's answer to the agent's pending read of the suspects."""
    call = [
        effect
        for effect in harness.effects
        if isinstance(effect, ObjectGet) and effect.path == SUSPECTS_PATH
    ][-1]
    version, body = platform.objects[SUSPECTS_PATH]
    return ObjectAnswer(call.call, ObjectStatus.OK, version, body)


def test_a_trial_that_a_shutdown_hands_over_is_given_back() -> None:
    platform = FakePlatform()
    first, second = (AgentHarness(platform, name) for name in "ab")
    first.dispatch("try-1")
    first.crash("try-1", "boot-2")
    second.send(answer_suspects_read(second, platform))
    second.dispatch("try-2")
    assert second.list_started() == ["try-2"]
    assert read_trial(platform)
    second.send(ShutdownRequested(1.0))
    second.now += 1.0
    second.send(TimerExpired())
    assert read_trial(platform) == ""


def read_trial(platform: FakePlatform) -> str:
    """Return the token of the trial that the platform stores."""
    rows = msgspec.json.decode(platform.objects[SUSPECTS_PATH][1])["rows"]
    return str(rows["culprit"]["trial"])


def test_a_broken_connection_alone_is_no_crash() -> None:
    platform = FakePlatform()
    harness = AgentHarness(platform, "a")
    harness.dispatch("try-1")
    harness.crash("try-1", "boot-1")
    assert msgspec.json.decode(platform.objects[SUSPECTS_PATH][1]) == {"rows": {}}


def test_a_version_in_the_tables_is_ordered_under_a_permit() -> None:
    harness = AgentHarness(FakePlatform(), "a", wanted="v2")
    [order] = [e for e in harness.effects if isinstance(e, IssueOrder)]
    assert (order.action, order.target, order.fence) == ("load", "v2", 1)
    assert order.not_after < harness.now + 10.0
    harness.send(OrderAnswered(order.order, True))
    for _ in range(8):
        harness.report("boot-1", "v2")
        harness.send(TimerExpired())
    assert len([e for e in harness.effects if isinstance(e, IssueOrder)]) == 1
    [table] = [
        msgspec.json.decode(body)
        for path, (_, body) in harness.platform.objects.items()
        if path.startswith("permits/")
    ]
    assert table == {"fence": 1, "leases": {}, "era": 0}
