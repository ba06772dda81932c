"""Prompts of one entry while weights are replaced, in virtual time.

Engines queue prompts for up to several seconds. Versions are named one after another,
and the entry learns of each some time later. Meanwhile it is restarted, stands still or
can't reach the store, and engines load weights or don't.
"""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.storeoutages import NOTICE_S
from masticdrum.model.cluster_events import (
    Source,
    SourceLost,
    SourceRegained,
    UpstreamChanged,
    WeightsNamed,
)
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import (
    AttemptEnd,
    ExchangeEffect,
    Refuse,
    StartAttempt,
    StopAttempt,
    Ticked,
)
from tests.forwarding import BOUNDS, MODEL, Entry, make_upstream, pick

STEP_S = 0.2
SLACK_S = 2 * STEP_S
EARLY_S = 2.0  # by which a version may count as named too early
ENGINES = ("engines-1", "engines-2", "engines-3")
STEPS = st.lists(
    st.sampled_from(
        ["name", "load", "lose", "return", "lose crashes", "freeze", "restart"]
        + 8 * ["run"]
    ),
    min_size=6,
    max_size=30,
)


class World:
    """An entry, its engines, and what is true of the weights and the store."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.weights = dict.fromkeys(ENGINES, 1)
        self.named: dict[int, float] = {}
        self.lost = False
        self.reached: list[float] = []  # the steps in which the store could be reached
        self.queued: dict[int, tuple[StartAttempt, float]] = {}
        self.unread: list[tuple[int, float, float]] = []
        self.losses = 0
        self.is_unsure = (
            False  # the entry can't know for how long weights are superseded
        )
        self.start_entry(100.0)

    def start_entry(self, now: float) -> None:
        upstreams = tuple(
            make_upstream(name, "engines", weights={MODEL: version})
            for name, version in self.weights.items()
        )
        self.entry = Entry(upstreams=upstreams)
        self.entry.now = now
        self.queued.clear()
        self.unread.clear()
        self.is_unsure = bool(self.named)
        if self.named:
            self.entry.handle_event(WeightsNamed(MODEL, max(self.named)))
        if self.lost:
            self.entry.handle_event(SourceLost(Source.DIRECTORY, "silent"))

    def take(self, step: str) -> None:
        if step == "name" and not self.lost:
            version = len(self.named) + 2
            self.named[version] = self.entry.now
            read_at = self.entry.now + self.random.uniform(0.0, 1.0)
            not_before = self.entry.now - self.random.uniform(0.0, EARLY_S)
            self.unread.append((version, read_at, not_before))
        elif step == "load" and self.named and not self.lost:
            name = self.random.choice(ENGINES)
            self.weights[name] = max(self.named)
            upstream = make_upstream(
                name, "engines", weights={MODEL: self.weights[name]}
            )
            self.entry.handle_event(UpstreamChanged(upstream))
        elif step in ("lose", "return"):
            self.set_lost(step == "lose")
        elif step == "lose crashes":
            self.entry.handle_event(SourceLost(Source.CRASHES, "reset"))
        elif step == "freeze":
            self.is_unsure |= self.lost
            for _ in range(self.random.randint(1, 60)):
                self.pass_step()
        elif step == "restart":
            self.start_entry(self.entry.now)
        self.run(self.random.randint(1, 30))

    def set_lost(self, lost: bool) -> None:
        if lost == self.lost:
            return
        self.lost = lost
        if lost:
            self.losses += 1
            self.entry.handle_event(SourceLost(Source.DIRECTORY, "silent"))
        else:
            self.entry.handle_event(SourceRegained(Source.DIRECTORY, 1.0))

    def pass_step(self) -> None:
        self.entry.now += STEP_S
        if not self.lost:
            self.reached.append(self.entry.now)

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.pass_step()
            for version, read_at, not_before in list(self.unread):
                if self.entry.now >= read_at and not self.lost:
                    self.unread.remove((version, read_at, not_before))
                    self.carry_out(
                        self.entry.handle_event(
                            WeightsNamed(MODEL, version, not_before)
                        )
                    )
            self.carry_out(self.entry.handle_event(Ticked()))
            self.begin_streams()
            self.send()

    def send(self) -> None:
        self.entry.confirm()
        route = self.random.choice(["stream", "once"])
        effects = self.entry.send_request(route, deadline_s=9.0)
        self.carry_out(effects)
        refused = [refuse.kind for refuse in pick(effects, Refuse)]
        if ErrorKind.NO_UPSTREAM in refused:
            counted_s = self.count_reached(0) + self.losses * (NOTICE_S + STEP_S)
            assert self.is_unsure or counted_s > BOUNDS.weights_s - EARLY_S - SLACK_S

    def carry_out(self, effects: list[ExchangeEffect]) -> None:
        for effect in effects:
            if isinstance(effect, StopAttempt):
                self.queued.pop(effect.attempt, None)
            if isinstance(effect, StartAttempt):
                waits_s = self.random.choice([0.0] * 6 + [0.4, 7.0])
                self.queued[effect.attempt] = (effect, self.entry.now + waits_s)

    def begin_streams(self) -> None:
        due = [item for item in self.queued.values() if item[1] <= self.entry.now]
        for start, _ in due:
            del self.queued[start.attempt]
            version = max(start.expect_weights, self.weights[start.upstream])
            if not self.lost:
                reached_s = self.count_reached(version)
                assert reached_s <= BOUNDS.weights_begin_s + SLACK_S
            self.entry.begin(start)
            self.entry.stream(start, 1)
            self.carry_out(self.entry.end(start, AttemptEnd.ANSWERED, verified=True))

    def count_reached(self, version: int) -> float:
        """Return for how long weights are superseded, less the store's outages."""
        newer = [at for named, at in self.named.items() if named > max(version, 1)]
        since = min(newer, default=self.entry.now)
        return STEP_S * sum(at > since for at in self.reached)


# VERSION, REFUSED: prompts began on weights of any age after further versions,
# restarts, freezes, outages and waits; and where older weights may still be used and
# nothing newer is there, they are.
@settings(max_examples=60, deadline=None, derandomize=True)
@given(STEPS, st.integers(0, 2**32))
def test_no_prompt_begins_on_weights_superseded_for_too_long(
    steps: list[str], seed: int
) -> None:
    world = World(seed)
    for step in steps:
        world.take(step)
