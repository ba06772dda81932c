"""Entries that start, or were cut off, and the record of versions in the platform."""

from random import Random

import msgspec
import pytest

from masticdrum.core.clusterstate import OUTAGE_S
from masticdrum.core.exchangestate import ExchangeState
from masticdrum.core.resumption import SEARCH_S
from masticdrum.core.servedsoftware import MAX_STREAM_LIFE_S, MIN_STREAM_LIFE_S
from masticdrum.core.softwarerecords import (
    CLOCK_SLACK_S,
    SOFTWARE_PATH,
    SoftwareRecord,
)
from masticdrum.model.cluster_events import (
    Source,
    SourceLost,
    SourceRegained,
    StoreRestored,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
)
from masticdrum.model.directory import Upstream
from masticdrum.model.exchange import ExchangeEffect, Refuse, StartAttempt, Ticked
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from tests.forwarding import BOUNDS, Entry, make_upstream, pick

STEP_S = 0.1
SETTLE_S = 1.0  # until each entry has compared the record


def make_engine(name: str, software: str) -> Upstream:
    return make_upstream(name, "engines", software=software)


class Platform:
    """The object of the record; ``failing`` is the status of the next answers."""

    def __init__(self) -> None:
        self.revision = 0
        self.body = b""
        self.era = 1
        self.saved = (0, b"")
        self.writes = 0
        self.failing: list[ObjectStatus] = []

    def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer:
        assert call.path == SOFTWARE_PATH
        if self.failing:
            return ObjectAnswer(call.call, self.failing.pop(), era=self.era)
        if isinstance(call, ObjectPut):
            return self.write(call)
        if not self.revision:
            return ObjectAnswer(call.call, ObjectStatus.MISSING, era=self.era)
        return self.answer(call.call)

    def write(self, call: ObjectPut) -> ObjectAnswer:
        if call.expected != self.revision:
            return ObjectAnswer(call.call, ObjectStatus.CONFLICT, era=self.era)
        self.revision += 1
        self.writes += 1
        self.body = call.body
        return self.answer(call.call)

    def answer(self, call: str) -> ObjectAnswer:
        return ObjectAnswer(
            call, ObjectStatus.OK, self.revision, self.body, era=self.era
        )

    def save(self) -> None:
        self.saved = (self.revision, self.body)

    def restore(self) -> None:
        self.revision, self.body = self.saved
        self.era += 1

    def read(self) -> SoftwareRecord:
        return msgspec.json.decode(self.body, type=SoftwareRecord)


class World:
    """Entries that see the same upstreams, as far as they reach the platform."""

    def __init__(self, entries: int, *upstreams: Upstream) -> None:
        self.platform = Platform()
        self.now = 1000.0
        self.upstreams = {upstream.name: upstream for upstream in upstreams}
        self.cut: dict[int, float] = {}
        self.entries: list[Entry] = []
        self.entries = [self.make_entry() for _ in range(entries)]
        self.run(SETTLE_S)

    def make_entry(self) -> Entry:
        entry = Entry(upstreams=())
        entry.state = ExchangeState("entry", "entry", BOUNDS, len(self.upstreams))
        entry.now = self.now
        self.introduce(entry)
        return entry

    def introduce(self, entry: Entry) -> None:
        fresh = Entry(upstreams=tuple(self.upstreams.values()))
        entry.state.cluster_state.index = fresh.state.cluster_state.index
        self.handle(entry, UpstreamsListed(tuple(self.upstreams.values())))

    def run(self, for_s: float) -> None:
        until = self.now + for_s
        while self.now < until:
            self.now += STEP_S
            for place, entry in enumerate(self.entries):
                entry.now = self.now
                if place not in self.cut:
                    entry.confirm()
                self.handle(entry, Ticked())

    def handle(self, entry: Entry, event: object) -> list[ExchangeEffect]:
        effects = list(entry.handle_event(event))
        for call in [e for e in effects if isinstance(e, ObjectGet | ObjectPut)]:
            is_cut = any(self.entries[place] is entry for place in self.cut)
            lost = ObjectAnswer(call.call, ObjectStatus.LOST)
            self.handle(entry, lost if is_cut else self.platform.execute(call))
        return effects

    def tell(self, event: object) -> None:
        for place, entry in enumerate(self.entries):
            if place not in self.cut:
                self.handle(entry, event)

    def add(self, name: str, software: str) -> None:
        self.upstreams[name] = make_engine(name, software)
        self.tell(UpstreamChanged(self.upstreams[name]))

    def remove(self, name: str) -> None:
        del self.upstreams[name]
        self.tell(UpstreamGone(name))

    def restart(self, place: int) -> Entry:
        self.cut.pop(place, None)
        self.entries[place] = entry = self.make_entry()
        return entry

    def goes_on(self, entry: Entry) -> bool:
        """Take a stream up, of which no agent knows; return whether it goes on."""
        effects = entry.send_request("stream", last_event=4)
        if not pick(effects, StartAttempt) and not pick(effects, Refuse):
            entry.now += SEARCH_S
            effects = self.handle(entry, Ticked())
        return bool(pick(effects, StartAttempt))

    def cut_off(self, place: int) -> None:
        self.cut[place] = self.now
        self.handle(self.entries[place], SourceLost(Source.UPSTREAMS, "silent"))

    def reconnect(self, place: int) -> None:
        lost_s = self.now - self.cut.pop(place)
        entry = self.entries[place]
        if entry.state.software_records._era not in (0, self.platform.era):
            self.handle(entry, StoreRestored(self.platform.era, 1))
        self.handle(entry, SourceRegained(Source.UPSTREAMS, lost_s))
        self.handle(entry, UpstreamsListed(tuple(self.upstreams.values())))


# Guards against the refusal of all streams that callers take up at an entry that has
# just started, though one version alone has ever served (LOST).
@pytest.mark.parametrize("restarted", [1, 3])
def test_streams_go_on_at_a_new_entry_while_one_version_has_served(
    restarted: int,
) -> None:
    world = World(3, make_engine("engines-1", "v1"), make_engine("engines-2", "v1"))
    for place in range(restarted):
        world.restart(place)
    world.run(SETTLE_S)
    assert all(world.goes_on(entry) for entry in world.entries)
    assert world.platform.writes == 1


# Guards against the refusal of streams that are taken up before the record was read.
def test_a_stream_goes_on_if_the_record_is_read_while_agents_are_queried() -> None:
    world = World(2, make_engine("engines-1", "v1"))
    entry = world.restart(0)
    entry.confirm()
    entry.send_request("stream", last_event=4)
    started = len(pick(entry.effects, StartAttempt))
    world.run(2 * SEARCH_S)
    assert len(pick(entry.effects, StartAttempt)) == started + 1


# Guards against streams joined from two versions by an entry that has started after the
# first one has left (ORDER).
def test_a_new_entry_knows_the_version_that_has_left() -> None:
    world = World(2, make_engine("engines-1", "v1"))
    world.add("engines-2", "v2")
    world.run(SETTLE_S)
    world.remove("engines-1")
    world.run(SETTLE_S)
    for place in (0, 1):
        world.restart(place)
    world.run(SETTLE_S)
    assert not any(world.goes_on(entry) for entry in world.entries)
    world.run(MIN_STREAM_LIFE_S + CLOCK_SLACK_S)
    assert all(world.goes_on(entry) for entry in world.entries)


def test_a_version_that_left_while_no_entry_ran_is_known() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    world.upstreams = {"engines-2": make_engine("engines-2", "v2")}
    entry = world.restart(0)
    world.run(SETTLE_S)
    assert not world.goes_on(entry)


# Guards against streams joined from two versions by an entry that was cut off while the
# second one came and left (ORDER), and against refusals if none did (LOST).
@pytest.mark.parametrize("came", [True, False])
def test_an_entry_that_was_cut_off_reads_what_it_has_missed(came: bool) -> None:
    world = World(2, make_engine("engines-1", "v1"))
    world.cut_off(1)
    if came:
        world.add("engines-2", "v2")
    world.run(SETTLE_S)
    assert not world.goes_on(world.entries[1])
    if came:
        world.remove("engines-2")
    world.run(SETTLE_S)
    world.reconnect(1)
    assert not world.goes_on(world.entries[1])
    world.run(SETTLE_S)
    assert world.goes_on(world.entries[1]) is not came


# Guards against streams joined from two versions after the store has forgotten one of
# them in a restore (ORDER).
def test_a_restored_record_is_completed_by_an_entry_that_knows_all() -> None:
    world = World(3, make_engine("engines-1", "v1"))
    world.platform.save()
    world.add("engines-2", "v2")
    world.run(SETTLE_S)
    world.remove("engines-2")
    world.platform.restore()
    new = world.restart(2)
    world.run(SETTLE_S)
    assert not world.goes_on(new)
    world.tell(StoreRestored(2, 1))
    world.run(SETTLE_S)
    assert set(world.platform.read().versions["engines"]) == {"v1", "v2"}
    assert not world.goes_on(new)
    world.run(MIN_STREAM_LIFE_S + CLOCK_SLACK_S)
    assert all(world.goes_on(entry) for entry in world.entries)


def test_streams_go_on_after_a_restore_while_one_version_has_served() -> None:
    world = World(3, make_engine("engines-1", "v1"))
    world.platform.save()
    world.platform.restore()
    world.tell(StoreRestored(2, 1))
    new = world.restart(0)
    world.run(2 * SETTLE_S)
    assert world.goes_on(new) and world.platform.read().era == 2


def test_after_a_restore_that_no_entry_outlived_a_streams_life_passes() -> None:
    world = World(2, make_engine("engines-1", "v1"))
    world.platform.restore()
    for place in (0, 1):
        world.restart(place)
    world.run(SETTLE_S)
    assert not any(world.goes_on(entry) for entry in world.entries)
    world.run(MIN_STREAM_LIFE_S)
    world.restart(0)
    world.run(SETTLE_S)
    assert all(world.goes_on(entry) for entry in world.entries)


@pytest.mark.parametrize(
    "status", [ObjectStatus.LOST, ObjectStatus.REJECTED, ObjectStatus.CONFLICT]
)
def test_a_call_that_fails_is_made_again(status: ObjectStatus) -> None:
    world = World(1)
    world.platform.failing = [status] * 4
    world.add("engines-1", "v1")
    world.run(4 * SETTLE_S)
    assert set(world.platform.read().versions["engines"]) == {"v1"}


def test_an_unreadable_record_is_replaced_but_not_trusted() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    world.platform.body = b"[]"
    entry = world.restart(0)
    world.run(SETTLE_S)
    assert not world.goes_on(entry)
    assert world.platform.read().versions == {"engines": {"v1": 0.0}}


def test_a_record_forgets_versions_at_which_no_open_stream_began() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    world.add("engines-2", "v2")
    world.remove("engines-1")
    world.run(MAX_STREAM_LIFE_S + CLOCK_SLACK_S + SETTLE_S)
    world.add("engines-3", "v3")
    world.run(SETTLE_S)
    assert set(world.platform.read().versions["engines"]) == {"v2", "v3"}


def test_many_entries_record_a_version_with_few_writes() -> None:
    world = World(60, make_engine("engines-1", "v1"))
    assert world.platform.writes == 1
    world.add("engines-2", "v2")
    world.run(2 * SETTLE_S)
    assert world.platform.writes == 2


# Guards against streams joined from two versions, whichever entries start, or are cut
# off, while versions come and leave (ORDER).
@pytest.mark.parametrize("seed", range(20))
def test_an_entry_that_knows_the_versions_lists_all_of_them(seed: int) -> None:
    random = Random(seed)
    world = World(3, make_engine("engines-0", "v0"))
    used: dict[str, float] = {}
    complete = 0
    for number in range(1, 60):
        play_fault(world, random, number)
        for _ in range(random.randrange(1, 40)):
            world.run(STEP_S)
            for upstream in world.upstreams.values():
                used[upstream.software] = world.now
            complete += check_versions(world, used)
    assert complete > 1000


def play_fault(world: World, random: Random, number: int) -> None:
    place = random.randrange(len(world.entries))
    match random.choice(["add", "remove", "restart", "cut", "reconnect"]):
        case "add" if len(world.cut) < len(world.entries):
            world.add(f"engines-{number}", f"v{random.randrange(6)}")
            world.run(SETTLE_S)
        case "remove" if len(world.upstreams) > 1:
            world.remove(random.choice(sorted(world.upstreams)))
        case "restart":
            world.restart(place)
        case "cut" if place not in world.cut:
            world.cut_off(place)
        case "reconnect" if place in world.cut:
            world.reconnect(place)


def check_versions(world: World, used: dict[str, float]) -> int:
    """Check the entries that know all versions; return how many do."""
    complete = 0
    for entry in world.entries:
        if not entry.state.knows_software(world.now):
            continue
        complete += 1
        known = entry.state.list_software("engines", world.now)
        open_since = world.now - MIN_STREAM_LIFE_S + OUTAGE_S + 2 * SETTLE_S
        assert {v for v, at in used.items() if at > open_since} <= known
    return complete


# Guards against entries that end at a record that is nested deeply (RecursionError).
@pytest.mark.parametrize(
    "body", [b'{"more":' + b"[" * 2000 + b"]" * 2000 + b"}", b"", b'{"era":1e400}']
)
def test_a_nested_record_is_replaced_but_not_trusted(body: bytes) -> None:
    world = World(1, make_engine("engines-1", "v1"))
    world.platform.body = body
    entry = world.restart(0)
    world.run(SETTLE_S)
    assert not world.goes_on(entry)
    assert world.platform.read().versions == {"engines": {"v1": 0.0}}
