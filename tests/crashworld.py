"""Entries before engines that a part of a prompt crashes, in virtual time.

Each engine begins to answer a prompt 0.2 s after it was sent and is done 0.6 s later.
A prompt with the crashing part ends the engine 0.07 s after it began, and with it all
that runs there; 3 s later another engine takes its place. What an entry publishes is
known to all others half a second later. The entries' times of day are up to 3 s apart.
"""

from random import Random

from msgspec import Struct

from masticdrum.model.cluster_events import UpstreamChanged, UpstreamGone
from masticdrum.model.crashes import (
    CrashReport,
    CrashReportChanged,
    PublishCrashReport,
)
from masticdrum.model.exchange import (
    AttemptEnd,
    ExchangeEffect,
    Prompt,
    PromptPart,
    Refuse,
    StartAttempt,
    Ticked,
)
from tests.forwarding import MODEL, Entry, make_upstream, pick

STEP_S = 0.05
TICK_S = 0.1
BEGIN_S = 0.2
RUN_S = 0.6
CRASH_S = 0.07
RESTART_S = 3.0
SPREAD_S = 0.5  # until what one entry writes is known to all
CLOCKS_APART_S = 3.0
NOON = 1.7e9  # the time of day when the world's clock is at 0
FIRST_PART = "instructions"
CRASHING_PART = "crashing"


class Run(Struct):
    """One attempt at an engine; ``crashes`` if its prompt has the crashing part."""

    entry: Entry
    start: StartAttempt
    sent_at: float
    crashes: bool
    begun: bool = False


class Sent(Struct, frozen=True):
    """A request and when it was first sent or refused, in seconds."""

    at: float
    crashing: bool
    subject: str
    refused: bool


class CrashWorld:
    """``entries`` entries before ``engines`` engines, all of them sound at first."""

    def __init__(self, seed: int, entries: int = 10, engines: int = 6) -> None:
        self.random = Random(seed)
        self.now = 100.0
        self.names = [f"engines-{number}" for number in range(engines)]
        self.runs: list[Run] = []
        self.crashes: list[float] = []
        self.crashing_sends: list[float] = []
        self.requests: list[Sent] = []
        self.restarts: list[float] = []
        self.reports: list[tuple[float, CrashReport]] = []
        self.stored: dict[str, CrashReport] = {}
        self.crashing: set[tuple[Entry, int]] = set()
        self.entries = [
            self.make_entry(seed * 100 + number, f"entry-{number}")
            for number in range(entries)
        ]
        self.engines_made = engines

    def make_engine(self, name: str):
        return make_upstream(name, "engines", born=int(self.now * 1000))

    def make_entry(self, seed: int, name: str) -> Entry:
        """Start an entry before the engines that are there now."""
        upstreams = tuple(self.make_engine(name) for name in self.names)
        entry = Entry(seed, upstreams, name)
        apart_s = Random(seed).uniform(0.0, CLOCKS_APART_S)
        entry.state.clock_offset = NOON + apart_s
        return entry

    def request(
        self, parts: tuple[str, ...], entry: Entry | None = None, route: str = "stream"
    ) -> list[ExchangeEffect]:
        """Send a prompt with these parts, and one of its own, to any entry."""
        entry = entry or self.random.choice(self.entries)
        own = f"own-{len(self.requests)}"
        prompt = Prompt(MODEL, tuple(PromptPart(p, 500) for p in (*parts, own)))
        crashing = CRASHING_PART in parts
        if crashing:
            self.crashing.add((entry, entry.handles + 1))
        effects = entry.send_request(
            route, prompt=prompt, request=own, fingerprint=len(self.requests) + 1
        )
        refused = bool(pick(effects, Refuse))
        self.requests.append(Sent(self.now, crashing, parts[1], refused))
        self.take(entry, effects)
        return effects

    def take(self, entry: Entry, effects: list[ExchangeEffect]) -> None:
        """Carry out what an entry decided."""
        for publication in pick(effects, PublishCrashReport):
            self.reports.append((self.now + SPREAD_S, publication.report))
        for start in pick(effects, StartAttempt):
            crashes = (entry, start.handle) in self.crashing
            if crashes:
                self.crashing_sends.append(self.now)
            if start.upstream in self.names:
                self.runs.append(Run(entry, start, self.now, crashes))
            else:
                self.take(entry, entry.end(start, AttemptEnd.UNREACHABLE))

    def step(self) -> None:
        """Let 0.05 s pass."""
        self.now += STEP_S
        for entry in self.entries:
            entry.now = self.now
        if round(self.now / STEP_S) % round(TICK_S / STEP_S) == 0:
            for entry in self.entries:
                entry.confirm()
                self.take(entry, entry.handle_event(Ticked()))
        for at, report in [r for r in self.reports if r[0] <= self.now]:
            self.reports.remove((at, report))
            self.stored[report.publisher] = report
            for entry in self.entries:
                self.take(entry, entry.handle_event(CrashReportChanged(report)))
        for at in [at for at in self.restarts if at <= self.now]:
            self.restarts.remove(at)
            self.start_engine()
        for run in list(self.runs):
            if run in self.runs:
                self.advance(run)

    def finish(self, seconds: float) -> None:
        """Let time pass without new requests."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def advance(self, run: Run) -> None:
        """Begin, crash or end one attempt if it is time."""
        age_s = self.now - run.sent_at
        if not run.begun and age_s >= BEGIN_S:
            run.begun = True
            self.take(run.entry, run.entry.begin(run.start))
            self.take(run.entry, run.entry.stream(run.start, 1))
        if run.crashes and age_s >= BEGIN_S + CRASH_S:
            self.crash(run.start.upstream)
        elif age_s >= BEGIN_S + RUN_S:
            self.runs.remove(run)
            ended = AttemptEnd.ANSWERED
            self.take(run.entry, run.entry.end(run.start, ended, 200, verified=True))

    def crash(self, name: str) -> None:
        """End an engine and all attempts at it; its registration lapses later."""
        self.crashes.append(self.now)
        self.names.remove(name)
        self.restarts.append(self.now + RESTART_S)
        for run in [run for run in self.runs if run.start.upstream == name]:
            self.runs.remove(run)
            self.take(run.entry, run.entry.end(run.start, AttemptEnd.LOST, 200))
        for entry in self.entries:
            entry.handle_event(UpstreamGone(name))

    def start_engine(self) -> None:
        """Register a new engine at all entries."""
        name = f"engines-{self.engines_made}"
        self.engines_made += 1
        self.names.append(name)
        for entry in self.entries:
            entry.handle_event(UpstreamChanged(self.make_engine(name)))
