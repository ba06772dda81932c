"""Entries that share a record of software versions, in virtual time.

Entries may be cut off from the platform, or stand still, without noticing it.
"""

from masticdrum.core.exchangestate import ExchangeState
from masticdrum.core.resumption import SEARCH_S
from masticdrum.model.cluster_events import (
    DirectoryRead,
    Source,
    SourceLost,
    SourceRegained,
    StoreRestored,
    UpstreamChanged,
    UpstreamGone,
    UpstreamsListed,
)
from masticdrum.model.directory import Upstream
from masticdrum.model.exchange import (
    ExchangeEffect,
    ForwardRequested,
    Prompt,
    PromptPart,
    Refuse,
    StartAttempt,
    Ticked,
)
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from tests.forwarding import (
    BOUNDS,
    HOST,
    MODEL,
    Entry,
    make_directory,
    make_upstream,
    pick,
)
from tests.softwareplatform import Platform

STEP_S = 0.1
SETTLE_S = 1.0  # until each entry has compared the record
NOTICED_S = 6.5  # a watch waits 5 s, and its call may take 1.5 s more
CALL_S = 1.5  # until a call without an answer is given up


def make_engine(name: str, software: str) -> Upstream:
    return make_upstream(name, "engines", software=software)


class Link:
    """An entry's connection to the platform."""

    def __init__(self, world: "World") -> None:
        self.world = world

    def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer | None:
        return self.world.execute(self, call)


class World:
    """Entries that see the same upstreams, as far as they reach the platform.

    Those that are ``cut`` know that they are. The ``silent`` ones are cut off too, but
    notice it only after ``NOTICED_S``; the ``frozen`` ones do nothing.
    """

    def __init__(self, entries: int, *upstreams: Upstream) -> None:
        self.platform = Platform()
        self.now = 1000.0
        self.upstreams = {upstream.name: upstream for upstream in upstreams}
        self.cut: dict[int, float] = {}
        self.silent: dict[int, float] = {}
        self.frozen: set[int] = set()
        self.unanswered: dict[int, tuple[float, str]] = {}
        self.entries: list[Entry] = []
        self.entries = [self.make_entry() for _ in range(entries)]
        self.run(SETTLE_S)

    def make_entry(self) -> Entry:
        entry = Entry(upstreams=())
        entry.platform = Link(self)
        entry.state = ExchangeState("entry", "entry", BOUNDS, len(self.upstreams))
        entry.now = self.now
        self.introduce(entry)
        return entry

    def introduce(self, entry: Entry) -> None:
        # Without keys, since an entry that is cut off has no lease on them.
        directory = make_directory(2, keyed=False)
        self.handle(entry, DirectoryRead(directory, entry.now))
        self.handle(entry, UpstreamsListed(tuple(self.upstreams.values())))

    def run(self, for_s: float) -> None:
        until = self.now + for_s
        while self.now < until:
            self.now += STEP_S
            for place in range(len(self.entries)):
                if place not in self.frozen:
                    self.step(place)

    def step(self, place: int) -> None:
        entry = self.entries[place]
        entry.now = self.now
        if self.reaches(place):
            entry.confirm()
        silent_since = self.silent.get(place, self.now)
        if self.now >= silent_since + NOTICED_S and place not in self.cut:
            self.cut[place] = self.now
            self.handle(entry, SourceLost(Source.UPSTREAMS, "silent"))
        asked_at, call = self.unanswered.get(place, (self.now, ""))
        if self.now >= asked_at + CALL_S:
            del self.unanswered[place]
            self.handle(entry, ObjectAnswer(call, ObjectStatus.LOST))
        self.handle(entry, Ticked())

    def reaches(self, place: int) -> bool:
        return not {place} & {*self.cut, *self.silent, *self.frozen}

    def handle(self, entry: Entry, event: object) -> list[ExchangeEffect]:
        return entry.handle_event(event)

    def execute(self, link: "Link", call: ObjectGet | ObjectPut) -> ObjectAnswer | None:
        """Return the platform's answer to an entry, None if it gets none."""
        place = next((n for n, e in enumerate(self.entries) if e.platform is link), -1)
        if place in self.silent:
            self.unanswered[place] = (self.now, call.call)
            return None
        if place in self.cut:
            return ObjectAnswer(call.call, ObjectStatus.LOST)
        return self.platform.execute(call)

    def tell(self, event: object) -> None:
        for place, entry in enumerate(self.entries):
            if self.reaches(place):
                self.handle(entry, event)

    def add(self, name: str, software: str) -> None:
        self.upstreams[name] = make_engine(name, software)
        self.tell(UpstreamChanged(self.upstreams[name]))

    def remove(self, name: str) -> None:
        del self.upstreams[name]
        self.tell(UpstreamGone(name))

    def restart(self, place: int) -> Entry:
        self.cut.pop(place, None)
        self.unanswered.pop(place, None)
        self.entries[place] = entry = self.make_entry()
        return entry

    def goes_on(self, entry: Entry) -> bool:
        """Take a stream up, of which no agent knows; return whether it goes on."""
        effects = self.take_up(entry, "")
        if not pick(effects, StartAttempt) and not pick(effects, Refuse):
            entry.now += SEARCH_S
            effects = self.handle(entry, Ticked())
        return bool(pick(effects, StartAttempt))

    def take_up(self, entry: Entry, resumes: str) -> list[ExchangeEffect]:
        """Take a stream up after its fourth event."""
        entry.now = self.now
        entry.handles += 1
        event = make_request(entry, last_event=4, resumes=resumes)
        return self.handle(entry, event)

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

    def silence(self, place: int) -> None:
        """Cut an entry off, so that it gets no answers and hears of nothing."""
        self.silent[place] = self.now

    def hear(self, place: int) -> None:
        """Connect an entry again that was silent; what it has missed comes at once."""
        self.silent.pop(place)
        if place in self.cut:
            self.reconnect(place)
        self.learn(place)

    def freeze(self, place: int) -> None:
        self.frozen.add(place)

    def wake(self, place: int) -> Entry:
        """Let an entry go on that stood still; it has heard of nothing yet."""
        self.frozen.discard(place)
        entry = self.entries[place]
        entry.now = self.now
        return entry

    def learn(self, place: int) -> None:
        """Deliver which upstreams are registered."""
        listed = UpstreamsListed(tuple(self.upstreams.values()))
        entry = self.entries[place]
        entry.now = self.now
        self.handle(entry, listed)

    def begin(self, entry: Entry, name: str) -> str:
        """Begin a stream and forward its fourth event; return its version, if any."""
        entry.now = self.now
        entry.confirm()
        entry.handles += 1
        parts = (PromptPart(f"shared {name}", 900), PromptPart("own", 50))
        request = make_request(entry, request=name, prompt=Prompt(MODEL, parts))
        effects = self.handle(entry, request)
        started = pick(effects, StartAttempt)
        if not started:
            return ""
        (start,) = started
        software = ""
        if start.upstream in self.upstreams:
            software = self.upstreams[start.upstream].software
            entry.begin(start)
            entry.stream(start, 4)
        entry.disconnect(start.handle)
        return software


def make_request(entry: Entry, **changes: object) -> ForwardRequested:
    """Return a request for a stream, as an entry's latest."""
    parts = (PromptPart("shared", 900), PromptPart("own", 50))
    values: dict[str, object] = {
        "handle": entry.handles,
        "request": f"r{entry.handles}",
        "host": HOST,
        "path": "/stream/7",
        "arrived": entry.now,
        "key": "",
        "deadline_s": 5.0,
        "prompt": Prompt(MODEL, parts),
    }
    return ForwardRequested(**{**values, **changes})


def find_started(entry: Entry, handle: int) -> list[StartAttempt]:
    """List the attempts that an entry has started for a request."""
    return [s for s in pick(entry.effects, StartAttempt) if s.handle == handle]
