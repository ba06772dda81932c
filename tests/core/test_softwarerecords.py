"""Entries that start, or were cut off, and the record of versions in the platform."""

from random import Random

import pytest
from msgspec.structs import replace

from masticdrum.core.clusterstate import OUTAGE_S, REREGISTER_S
from masticdrum.core.resumption import FIRST_WAIT_S, READ_WAIT_S, SEARCH_S
from masticdrum.core.servedsoftware import MAX_STREAM_LIFE_S, MIN_STREAM_LIFE_S
from masticdrum.core.softwarerecords import CLOCK_SLACK_S, READ_GAP_S, RETRY_S
from masticdrum.model.cluster_events import StoreRestored, UpstreamChanged
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import Refuse, Ticked
from masticdrum.model.platform import ObjectGet, ObjectPut, ObjectStatus
from tests.forwarding import make_upstream, pick
from tests.softwareworld import (
    CALL_S,
    SETTLE_S,
    STEP_S,
    World,
    find_started,
    make_engine,
    make_request,
)


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
@pytest.mark.parametrize("silent_s", [0.0, SEARCH_S / 2, 3 * SEARCH_S])
def test_a_stream_goes_on_if_the_record_is_read_while_agents_are_queried(
    silent_s: float,
) -> None:
    world = World(2, make_engine("engines-1", "v1"))
    entry = world.restart(0)
    if silent_s:
        world.silence(0)
    world.take_up(entry, "elsewhere")
    handle = entry.handles
    world.run(silent_s)
    if silent_s:
        assert not find_started(entry, handle)
        world.hear(0)
        world.run(CALL_S + RETRY_S)
    world.run(2 * SEARCH_S)
    assert len(find_started(entry, handle)) == 1


# Guards against callers that wait for ever for a record that can't be read, or are
# turned away without a hint when to come back.
def test_a_stream_is_refused_when_the_record_can_not_be_read_in_time() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    entry = world.entries[0]
    world.silence(0)
    world.take_up(entry, "elsewhere")
    world.run(READ_WAIT_S - SETTLE_S)
    assert not pick(entry.effects, Refuse)
    world.run(SETTLE_S + STEP_S)
    (refuse,) = pick(entry.effects, Refuse)
    assert (refuse.kind, refuse.status) == (ErrorKind.ORIGIN_UNKNOWN, 503)
    assert refuse.retry_after_s > 0
    assert not find_started(entry, entry.handles)


# Guards against a read for each stream that is taken up after a crash of entries.
def test_one_read_serves_all_streams_that_wait_for_it() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    entry = world.entries[0]
    world.silence(0)
    handles = []
    for number in range(50):
        world.take_up(entry, f"elsewhere {number}")
        handles.append(entry.handles)
    world.run(STEP_S)
    reads = len(pick(entry.effects, ObjectGet))
    world.hear(0)
    world.run(CALL_S + RETRY_S)
    assert len(pick(entry.effects, ObjectGet)) <= reads + 2
    assert all(find_started(entry, handle) for handle in handles)


# Guards against more reads than the platform answers when callers come back to all
# entries at once.
def test_streams_that_are_taken_up_one_by_one_share_reads() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    entry = world.entries[0]
    reads = len(pick(entry.effects, ObjectGet))
    arrived: dict[int, float] = {}
    until = world.now + 1.0
    while world.now < until:
        world.now += 0.01
        entry.now = world.now
        world.handle(entry, Ticked())
        world.take_up(entry, f"elsewhere {world.now}")
        arrived[entry.handles] = world.now
        for handle, at in arrived.items():
            is_late = world.now > at + READ_GAP_S + STEP_S
            assert find_started(entry, handle) or not is_late
    assert len(pick(entry.effects, ObjectGet)) - reads <= 1.0 / READ_GAP_S + 1


# Guards against a version that is taken for gone, since an entry that hears late of its
# upstreams, or stood still, has read of it in the record first (ORDER).
@pytest.mark.parametrize("frozen_s", [0.0, 20.0])
def test_a_version_that_an_entry_has_not_heard_of_yet_is_not_recorded_as_gone(
    frozen_s: float,
) -> None:
    world = World(2, make_engine("engines-1", "v1"))
    if frozen_s:
        world.freeze(1)
    world.upstreams["engines-2"] = make_engine("engines-2", "v2")
    world.learn(0)
    world.run(SETTLE_S + frozen_s)
    world.take_up(world.wake(1), "elsewhere")
    for _ in range(5):
        world.run(STEP_S)
    assert world.platform.read().versions["engines"] == {"v1": 0.0, "v2": 0.0}


# Guards against the refusal of streams in the moment before the first version of a
# service is recorded, as a system starts.
@pytest.mark.parametrize("rejected", [0, 1, 9])
def test_streams_wait_until_the_first_version_is_recorded(rejected: int) -> None:
    world = World(2)
    world.run(SETTLE_S)
    world.platform.failing = [ObjectStatus.REJECTED] * rejected
    world.add("engines-1", "v1")
    entry = world.entries[0]
    entry.handles += 1
    world.handle(entry, make_request(entry))
    assert not find_started(entry, entry.handles)
    world.run(FIRST_WAIT_S + STEP_S)
    assert len(find_started(entry, entry.handles)) == (rejected < 9)
    assert len(pick(entry.effects, Refuse)) == (rejected == 9)


# Guards against streams that begin at a version before it is recorded (ORDER).
def test_no_stream_begins_at_a_version_that_can_not_be_recorded() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    world.platform.failing = [ObjectStatus.REJECTED] * 10
    world.add("engines-2", "v2")
    entry = world.entries[0]
    while world.platform.failing:
        assert world.begin(entry, f"s{world.now}") == "v1"
        world.run(STEP_S)
    world.run(SETTLE_S)
    begun = {world.begin(entry, f"s{number}") for number in range(50)}
    assert begun == {"v1", "v2"}


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
    assert world.goes_on(world.entries[1]) is not came
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
    world.run(REREGISTER_S + SETTLE_S)
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


class SlowLink:
    """An entry's connection to a platform that answers each call after ``CALL_S``."""

    CALL_S = 0.25

    def __init__(self, world: World) -> None:
        self.world = world
        self.pending: list[tuple[float, ObjectGet | ObjectPut]] = []

    def execute(self, call: ObjectGet | ObjectPut) -> None:
        self.pending.append((self.world.now + self.CALL_S, call))

    def deliver(self) -> None:
        due = [call for at, call in self.pending if at <= self.world.now]
        self.pending = [(at, c) for at, c in self.pending if at > self.world.now]
        for call in due:
            answer = self.world.platform.execute(call)
            self.world.handle(self.world.entries[0], answer)


def take_up_streams(world: World, for_s: float) -> list[int]:
    """Let a caller take a stream up ten times a second; return those not sent."""
    (entry,) = world.entries
    assert isinstance(entry.platform, SlowLink)
    handles = []
    until = world.now + for_s
    while world.now < until:
        world.run(STEP_S)
        entry.platform.deliver()
        world.take_up(entry, f"elsewhere {world.now}")
        handles.append(entry.handles)
        for handle in sorted(entry.state.exchanges):
            if find_started(entry, handle):
                entry.disconnect(handle)
    return [handle for handle in handles if not find_started(entry, handle)]


# Guards against versions that aren't recorded, so that no stream begins at them, for as
# long as callers take streams of another service up.
def test_a_version_is_recorded_while_streams_are_taken_up() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    world.entries[0].platform = SlowLink(world)
    world.upstreams["desk-1"] = make_upstream("desk-1", "desk", software="v2")
    world.learn(0)
    take_up_streams(world, 5.0)
    assert world.platform.read().versions.get("desk") == {"v2": 0.0}


# Guards against the refusal of all streams that are taken up after a restore, for as
# long as others are taken up, since the record isn't completed (LOST).
def test_a_restored_record_is_completed_while_streams_are_taken_up() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    world.platform.save()
    world.platform.restore()
    world.entries[0].platform = SlowLink(world)
    world.tell(StoreRestored(world.platform.era, 1))
    take_up_streams(world, 5.0)
    unsent = take_up_streams(world, 3.0)
    assert len(unsent) < 10


# Guards against streams joined from two versions, since a write that was sent before
# their caller came back counts as a read (ORDER).
def test_a_write_serves_only_the_streams_that_were_taken_up_before_it() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    (entry,) = world.entries
    link = SlowLink(world)
    entry.platform = link
    world.upstreams["desk-1"] = make_upstream("desk-1", "desk", software="v2")
    world.learn(0)
    run_until_sent(world, link, ObjectGet)
    world.run(STEP_S)
    world.take_up(entry, "before the write")
    before = entry.handles
    run_until_sent(world, link, ObjectPut)
    world.run(STEP_S)
    world.take_up(entry, "after the write")
    run_until_sent(world, link, ObjectGet)
    assert find_started(entry, before)
    assert not find_started(entry, entry.handles)
    world.run(link.CALL_S)
    link.deliver()
    assert find_started(entry, entry.handles)


def run_until_sent(
    world: World, link: SlowLink, kind: type[ObjectGet | ObjectPut]
) -> None:
    """Run until a call of one kind is on its way, the only one."""
    until = world.now + 2 * SETTLE_S
    while not any(isinstance(call, kind) for _, call in link.pending):
        assert world.now < until, "it isn't sent"
        world.run(STEP_S)
        link.deliver()
    assert len(link.pending) == 1


# Guards against streams that begin at a version that is recorded as gone, by a read
# that was asked before the version came back (ORDER).
def test_a_read_asked_before_a_version_came_back_lets_no_stream_begin() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    (entry,) = world.entries
    link = SlowLink(world)
    entry.platform = link
    world.take_up(entry, "elsewhere")
    world.remove("engines-1")
    world.run(STEP_S)
    world.add("engines-1", "v1")
    assert [type(call) for _, call in link.pending] == [ObjectGet]
    world.run(link.CALL_S)
    link.deliver()
    assert not entry.state.software_records.has_confirmed("engines", "v1")
    world.run(link.CALL_S + STEP_S)
    link.deliver()
    assert entry.state.software_records.has_confirmed("engines", "v1")


# Guards against the refusal of streams while all upstreams of the recorded version
# leave, and those of the next one are about to be recorded.
def test_streams_wait_for_the_next_version_while_the_one_before_leaves() -> None:
    world = World(1, make_engine("engines-1", "v1"))
    leaving = replace(make_engine("engines-1", "v1"), leaving=True)
    world.upstreams["engines-1"] = leaving
    world.add("engines-2", "v2")
    world.tell(UpstreamChanged(leaving))
    entry = world.entries[0]
    entry.handles += 1
    world.handle(entry, make_request(entry))
    world.run(FIRST_WAIT_S)
    assert len(find_started(entry, entry.handles)) == 1


# Guards against the refusal of streams that no caller can take up, since the version of
# their upstreams can't be recorded.
def test_streams_that_can_not_be_taken_up_wait_for_no_record() -> None:
    world = World(1)
    world.platform.failing = [ObjectStatus.REJECTED] * 9
    world.add("engines-1", "v1")
    entry = world.entries[0]
    entry.handles += 1
    world.handle(entry, make_request(entry, path="/once/7"))
    assert len(find_started(entry, entry.handles)) == 1
