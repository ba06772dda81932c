"""Entries that are out of step, unnoticed, while another software version joins."""

from random import Random

import pytest
from msgspec import Struct

from masticdrum.core.servedsoftware import MIN_STREAM_LIFE_S
from masticdrum.model.cluster_events import StoreRestored
from tests.softwareworld import SETTLE_S, STEP_S, World, find_started, make_engine

OLD = (make_engine("engines-1", "v1"), make_engine("engines-2", "v1"))
OUT_OF_STEP_S = [3.0, 6.0, 12.0, 40.0]


def find_versions(world: World, place: int, handle: int) -> set[str]:
    """List the versions at which a stream that was taken up has gone on."""
    started = find_started(world.entries[place], handle)
    known = world.entries[place].state.cluster_state.known
    return {known[start.upstream].upstream.software for start in started}


def begin_at(world: World, place: int, version: str) -> str:
    """Begin streams until one runs at a version; return its request."""
    for number in range(200):
        world.now += STEP_S / 10
        world.step(place)
        name = f"{version} {number}"
        if world.begin(world.entries[place], name) == version:
            return name
    raise AssertionError(f"no stream began at {version}")


# Guards against an entry that is cut off for a while, notices nothing and joins streams
# that have begun elsewhere at a version that it hasn't heard of (ORDER).
@pytest.mark.parametrize("cut_s", OUT_OF_STEP_S)
def test_an_entry_that_is_cut_off_unnoticed_joins_no_streams(cut_s: float) -> None:
    world = World(2, *OLD)
    world.run(MIN_STREAM_LIFE_S + SETTLE_S)
    world.silence(1)
    world.add("engines-3", "v2")
    world.run(cut_s)
    name = begin_at(world, 0, "v2")
    world.take_up(world.entries[1], name)
    handle = world.entries[1].handles
    world.run(SETTLE_S)
    world.hear(1)
    world.run(SETTLE_S)
    assert find_versions(world, 1, handle) <= {"v2"}


# Guards against an entry that stood still and takes a stream up before it has heard of
# the version at which it began elsewhere meanwhile (ORDER).
@pytest.mark.parametrize("frozen_s", OUT_OF_STEP_S)
def test_an_entry_that_stood_still_joins_no_streams(frozen_s: float) -> None:
    world = World(2, *OLD)
    world.run(MIN_STREAM_LIFE_S + SETTLE_S)
    world.freeze(1)
    world.add("engines-3", "v2")
    world.run(frozen_s)
    name = begin_at(world, 0, "v2")
    world.take_up(world.wake(1), name)
    handle = world.entries[1].handles
    world.learn(1)
    world.run(SETTLE_S)
    assert find_versions(world, 1, handle) <= {"v2"}


# Guards against an entry that hears later than others of a version, by the time that
# news take, and joins the first streams that began there (ORDER).
def test_an_entry_that_hears_of_a_version_late_joins_no_streams() -> None:
    world = World(2, *OLD)
    world.run(MIN_STREAM_LIFE_S + SETTLE_S)
    engine = make_engine("engines-3", "v2")
    world.upstreams[engine.name] = engine
    world.learn(0)
    name = begin_at(world, 0, "v2")
    world.take_up(world.entries[1], name)
    handle = world.entries[1].handles
    world.learn(1)
    world.run(SETTLE_S)
    assert find_versions(world, 1, handle) <= {"v2"}


# Guards against an entry that stood still, is the first to reach a platform that came
# back from a copy, and vouches for a record that lacks what it has missed (ORDER).
@pytest.mark.parametrize("frozen_s", OUT_OF_STEP_S)
def test_an_entry_that_stood_still_completes_no_restored_record(
    frozen_s: float,
) -> None:
    world = World(3, *OLD)
    world.run(MIN_STREAM_LIFE_S + SETTLE_S)
    world.platform.save()
    world.freeze(1)
    world.freeze(2)
    world.add("engines-3", "v2")
    world.run(frozen_s)
    name = begin_at(world, 0, "v2")
    del world.upstreams["engines-3"]
    world.freeze(0)
    world.platform.restore()
    for place in (1, 2):
        world.handle(world.wake(place), StoreRestored(2, 1))
        world.learn(place)
    handles = []
    for _ in range(10):
        world.take_up(world.entries[2], name)
        handles.append(world.entries[2].handles)
        world.run(0.7)
    assert not any(find_versions(world, 2, handle) for handle in handles)


# Guards against a record that counts as complete in the moment before the entries that
# know of a version have written it again after a restore (ORDER).
def test_a_restored_record_waits_for_what_other_entries_know() -> None:
    world = World(3, *OLD)
    world.run(MIN_STREAM_LIFE_S + SETTLE_S)
    world.platform.save()
    engine = make_engine("engines-3", "v2")
    world.upstreams[engine.name] = engine
    world.learn(0)
    world.run(SETTLE_S)
    name = begin_at(world, 0, "v2")
    world.platform.restore()
    world.handle(world.entries[1], StoreRestored(2, 1))
    world.run(2 * STEP_S)
    world.take_up(world.entries[2], name)
    handle = world.entries[2].handles
    world.handle(world.entries[0], StoreRestored(2, 1))
    world.run(SETTLE_S)
    assert world.platform.read().versions["engines"] == {"v1": 0.0, "v2": 0.0}
    assert find_versions(world, 2, handle) <= {"v2"}


class Stream(Struct):
    """A stream that has begun, and where."""

    name: str
    version: str
    at: float


class Release:
    """A random course of releases, cuts, freezes, restarts and streams."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.world = World(4, *[make_engine(f"engines-{n}", "v0") for n in range(3)])
        self.streams: list[Stream] = []
        self.taken: list[tuple[int, int, Stream]] = []
        self.back_at: dict[int, float] = {}
        self.learns_at: dict[int, float] = {}
        self.engines = 2
        self.software = {f"engines-{n}": "v0" for n in range(3)}
        self.went_on = 0
        self.saved_at = 0.0
        self.eras: dict[int, int] = {}

    def play(self) -> None:
        for _ in range(120):
            self.change()
            for place in range(len(self.world.entries)):
                self.use(place)
            self.world.run(self.random.choice([0.1, 0.3, 0.9]))
            self.return_entries()
            self.spread_news()

    def change(self) -> None:
        place = self.random.randrange(len(self.world.entries))
        is_calm = place not in self.back_at
        match self.random.randrange(12):
            case 0:
                self.replace_engine()
            case 1 if is_calm:
                self.world.silence(place)
                self.back_at[place] = self.world.now + self.random.uniform(1.0, 12.0)
            case 2 if is_calm:
                self.world.freeze(place)
                self.back_at[place] = self.world.now + self.random.uniform(1.0, 12.0)
            case 3 if is_calm:
                self.restart(place)
            case 4:
                self.world.platform.save()
                self.saved_at = self.world.now
            case 5 if self.world.now < self.saved_at + 9.0:
                self.restore()

    def replace_engine(self) -> None:
        """Let a newer engine join, at most one version in a stream's life."""
        self.engines += 1
        version = f"v{int(self.world.now - 1000.0) // 20}"
        name = f"engines-{self.engines}"
        self.software[name] = version
        self.world.upstreams[name] = make_engine(name, version)
        if len(self.world.upstreams) > 4:
            del self.world.upstreams[next(iter(self.world.upstreams))]
        for place in range(len(self.world.entries)):
            lag_s = self.random.uniform(0.0, 0.5)
            self.learns_at.setdefault(place, self.world.now + lag_s)

    def restart(self, place: int) -> None:
        self.check()
        self.world.restart(place)
        self.eras[place] = self.world.platform.era

    def restore(self) -> None:
        """Let the platform come back from its copy; all that reach it hear of it."""
        self.world.platform.restore()
        for place in range(len(self.world.entries)):
            self.tell_era(place)

    def tell_era(self, place: int) -> None:
        era = self.world.platform.era
        if self.world.reaches(place) and self.eras.get(place, 1) < era:
            entry = self.world.entries[place]
            self.world.handle(entry, StoreRestored(era, self.eras.get(place, 1)))
            self.eras[place] = era

    def return_entries(self) -> None:
        for place, at in list(self.back_at.items()):
            if self.world.now < at:
                continue
            del self.back_at[place]
            if place in self.world.silent:
                self.world.hear(place)
            else:
                self.world.wake(place)
                self.use(place)
                self.world.learn(place)
            self.tell_era(place)

    def spread_news(self) -> None:
        for place, at in list(self.learns_at.items()):
            if self.world.now >= at and self.world.reaches(place):
                del self.learns_at[place]
                self.world.learn(place)

    def use(self, place: int) -> None:
        """Begin a stream at an entry, and take up another."""
        if place in self.world.frozen:
            return
        world, entry = self.world, self.world.entries[place]
        name = f"s{len(self.streams)} {place} {world.now}"
        version = world.begin(entry, name)
        if version:
            self.streams.append(Stream(name, version, world.now))
        recent = [s for s in self.streams if s.at > world.now - 15.0]
        if recent:
            stream = self.random.choice(recent)
            world.take_up(entry, stream.name)
            self.taken.append((place, entry.handles, stream))

    def check(self) -> None:
        """Count the streams that went on at their version; none may elsewhere."""
        for place, handle, stream in self.taken:
            for start in find_started(self.world.entries[place], handle):
                assert self.software[start.upstream] == stream.version
                self.went_on += 1
        self.taken.clear()


# Guards against joined streams whoever is cut off or stands still unnoticed while newer
# versions join (ORDER).
@pytest.mark.parametrize("seed", range(40))
def test_streams_are_never_joined_by_entries_that_are_out_of_step(seed: int) -> None:
    release = Release(seed)
    release.play()
    release.check()
    assert release.went_on > 0
