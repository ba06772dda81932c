"""A forwarding entry that tests drive in virtual time, without any network."""

from typing import Protocol

from masticdrum.core.clusterstate import ClusterBounds
from masticdrum.core.coldstartpacing import ColdStartBounds
from masticdrum.core.exchangestate import ExchangeState, ForwardBounds
from masticdrum.core.forwarder import ForwardEvent, reduce_forwarder
from masticdrum.core.retrywindow import RetryBounds
from masticdrum.core.softwarerecords import SPREAD_S
from masticdrum.model.cluster_events import (
    DataCentresDrained,
    DirectoryConfirmed,
    DirectoryRead,
    Member,
    MembersListed,
    UpstreamsListed,
)
from masticdrum.model.crashes import CrashReportsListed
from masticdrum.model.directory import (
    Backend,
    Directory,
    EngineShape,
    ForwardRoute,
    ForwardService,
    ForwardWorkspace,
    RouteKind,
    Upstream,
)
from masticdrum.model.exchange import (
    AttemptEnd,
    AttemptEnded,
    ExchangeEffect,
    ForwardDisconnected,
    ForwardRequested,
    Prompt,
    PromptPart,
    StartAttempt,
    StreamBegun,
    StreamEventsReceived,
    Ticked,
)
from masticdrum.model.platform import ObjectAnswer, ObjectGet, ObjectPut
from tests.softwareplatform import Platform

HOST = "desk.example"
KEY = "key-of-depot"
MODEL = "m1"
BOUNDS = ForwardBounds(
    cluster_state=ClusterBounds(revoke_s=5.0, drain_s=2.0),
    retries=RetryBounds(ratio=0.2, window_s=10.0, extra=20.0),
    cold=ColdStartBounds(factor=1.5, slack=5.0),
    weights_s=10.0,
    weights_begin_s=13.0,
    stop_linger_s=3.0,
    unregister_s=6.0,
)


def make_route(kind: RouteKind, **changes: object) -> ForwardRoute:
    values: dict[str, object] = {
        "name": kind.value,
        "host": HOST,
        "prefix": f"/{kind.value}/",
        "kind": kind,
        "backends": (Backend("desk"),),
        "timeout_s": 10.0,
        "target_s": 0.1,
        "max_attempts": 2,
    }
    return ForwardRoute(**{**values, **changes})


ROUTES = (
    make_route(RouteKind.IDEMPOTENT),
    make_route(RouteKind.NON_IDEMPOTENT),
    make_route(
        RouteKind.STREAM,
        backends=(Backend("engines"),),
        resumable=True,
        max_attempts=3,
        urgency=1,
    ),
    make_route(
        RouteKind.STREAM, name="once", prefix="/once/", backends=(Backend("engines"),)
    ),
)


def make_directory(version: int = 1, **changes: object) -> Directory:
    values: dict[str, object] = {
        "version": version,
        "routes": ROUTES,
        "services": (
            ForwardService("desk"),
            ForwardService(
                "engines",
                cold_s=3.0,
                cold_per_s=12.0,
                engine=EngineShape(64, 100_000, (MODEL,)),
            ),
        ),
        "workspaces": (ForwardWorkspace("depot", (KEY,), urgency=2),),
        "keyed": True,
    }
    return Directory(**{**values, **changes})


def make_upstream(name: str, service: str = "desk", **changes: object) -> Upstream:
    values: dict[str, object] = {
        "name": name,
        "service": service,
        "address": f"10.0.0.{sum(name.encode()) % 250}:80",
        "data_centre": "north",
        "slots": 6,
        "weights": {MODEL: 1} if service == "engines" else {},
    }
    return Upstream(**{**values, **changes})


UPSTREAMS = tuple(
    make_upstream(f"{service}-{n}", service)
    for service in ("desk", "engines")
    for n in (1, 2, 3)
)


class ObjectCalls(Protocol):
    """Executes calls on the system's own objects."""

    def execute(self, call: ObjectGet | ObjectPut) -> ObjectAnswer | None:
        """Return the answer, or None if there is none yet."""


class Entry:
    """One entry with its cluster state, at a time that the test sets."""

    def __init__(
        self,
        seed: int = 1,
        upstreams: tuple[Upstream, ...] = UPSTREAMS,
        name: str = "entry-1",
        now: float = 100.0,
        platform: Platform | None = None,
    ):
        self.state = ExchangeState(name, "entry", BOUNDS, seed)
        self.now = now - 3 * SPREAD_S
        self.handles = 0
        self.effects: list[ExchangeEffect] = []
        self.platform: ObjectCalls = platform or Platform()
        self.handle_event(DirectoryRead(make_directory(), self.now))
        self.handle_event(UpstreamsListed(upstreams))
        self.handle_event(DataCentresDrained(frozenset()))
        self.handle_event(CrashReportsListed(()))
        self.handle_event(MembersListed((Member(name, "entry", "north"),)))
        self.record_software()
        self.now = now
        self.confirm()

    def handle_event(self, event: ForwardEvent) -> list[ExchangeEffect]:
        effects = reduce_forwarder(self.state, event, self.now)
        self.effects += effects
        for call in [e for e in effects if isinstance(e, ObjectGet | ObjectPut)]:
            answer = self.platform.execute(call)
            if answer is not None:
                effects += self.handle_event(answer)
        return effects

    def record_software(self) -> None:
        """Let the entry record the versions that it knows, so that streams begin."""
        for _ in range(3):
            self.now += SPREAD_S
            self.handle_event(Ticked())

    def confirm(self) -> None:
        self.handle_event(DirectoryConfirmed(self.now))

    def send_request(
        self, route: str, key: str = KEY, **changes: object
    ) -> list[object]:
        self.handles += 1
        prompt = None
        if route in ("stream", "once"):
            prompt = Prompt(MODEL, (PromptPart("shared", 900), PromptPart("own", 50)))
        values: dict[str, object] = {
            "handle": self.handles,
            "request": f"r{self.handles}",
            "host": HOST,
            "path": f"/{route}/7",
            "arrived": self.now,
            "key": key,
            "deadline_s": 5.0,
            "prompt": prompt,
        }
        return self.handle_event(ForwardRequested(**{**values, **changes}))

    def end(
        self, start: StartAttempt, how: AttemptEnd, status: int = 0, **more: object
    ) -> list[ExchangeEffect]:
        return self.handle_event(
            AttemptEnded(start.handle, start.attempt, how, status, **more)
        )

    def begin(
        self,
        start: StartAttempt,
        limit_per_s: float | None = None,
        leaving: bool = False,
    ) -> list[ExchangeEffect]:
        return self.handle_event(
            StreamBegun(start.handle, start.attempt, limit_per_s, leaving)
        )

    def stream(self, start: StartAttempt, number: int) -> list[ExchangeEffect]:
        events = f"id: {number}\ndata: x\n\n".encode()
        return self.handle_event(
            StreamEventsReceived(start.handle, start.attempt, events, number)
        )

    def disconnect(self, handle: int) -> list[ExchangeEffect]:
        return self.handle_event(ForwardDisconnected(handle))


def pick(effects: list, kind: type) -> list:
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def get_start(effects: list) -> StartAttempt:
    """Return the only attempt that the effects start."""
    (start,) = pick(effects, StartAttempt)
    return start
