"""Overloads the admission of several agents, in virtual time, with injected faults.

Run ``python -m tests.soak_admission --seed S --events N``. On a violation it prints the
seed and the shortest list of faults and requests found that still causes it.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import click
from msgspec import Struct

from masticdrum.core.admission import Admission
from masticdrum.core.invariants import InvariantBroken
from masticdrum.core.occupancy import LOAD_LAG_S, TRANSIT_S
from masticdrum.core.waiting import Ticket
from masticdrum.model.tables import ColdStart, Pool, PoolKind, Urgency

UPSTREAMS = 6  # the upper half is one data centre
ADMISSION_TICK_S = 0.25
POLL_S = 0.5
TOKEN_S = 0.1
SILENCE_S = 2.0
EPISODE_STEPS = 400
BACKLOG_DRAIN_SHARE = 0.1  # of a freeze's duration, until its backlog is handled
FAULTS = ["cold", "cold", "mute", "replace", "freeze", "centre"]
POOL = Pool(
    "profile-llm",
    PoolKind.ENGINE,
    [],
    max_running=12,
    max_queued=48,
    cold_start=ColdStart(limit=2, step=1, every_s=2.0),
)


class Violation(Exception):
    """An engine got more runs than its ceiling."""


class Step(Struct, frozen=True):
    """One step of a script: what happens to which upstream, and when."""

    at: float
    kind: str
    upstream: int = 0
    amount: int = 0
    length: float = 0.0


class Engine:
    """A simulated engine whose ceiling grows with the time it was busy."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number = world, number
        self.boot, self.up = 0, True
        self.runs: dict[str, int] = {}
        self.mute: set[str] = set()
        self.busy_s, self.busy_from = 0.0, 0.0
        self.history: list[tuple[float, int, int]] = [(0.0, 0, 0)]

    def compute_ceiling(self) -> int:
        busy = self.busy_s
        if self.runs:
            busy += self.world.now - self.busy_from
        ramp = POOL.cold_start
        grown = ramp.limit + ramp.step * int(busy / (ramp.every_s * 0.8))
        return min(POOL.max_running, grown)

    def record_count(self) -> None:
        self.history.append((self.world.now, self.boot, len(self.runs)))

    def start(self, attempt: str, incarnation: int, tokens: int) -> None:
        if not self.up:
            self.world.deliver(self.number, incarnation, "fail", attempt)
            return
        if len(self.runs) >= self.compute_ceiling():
            raise Violation(
                f"{self.world.now:.2f}: upstream {self.number} with ceiling "
                f"{self.compute_ceiling()} got run {len(self.runs) + 1}"
            )
        if not self.runs:
            self.busy_from = self.world.now
        self.runs[attempt] = tokens
        self.record_count()
        self.world.deliver(self.number, incarnation, "begin", attempt)
        self.world.after(TOKEN_S, self.produce_token, attempt, incarnation, self.boot)

    def produce_token(self, attempt: str, incarnation: int, boot: int) -> None:
        if boot != self.boot or attempt not in self.runs:
            return
        self.runs[attempt] -= 1
        if self.runs[attempt] > 0:
            if attempt not in self.mute:
                self.world.deliver(self.number, incarnation, "progress", attempt)
            self.world.after(TOKEN_S, self.produce_token, attempt, incarnation, boot)
            return
        del self.runs[attempt]
        if not self.runs:
            self.busy_s += self.world.now - self.busy_from
        self.record_count()
        if attempt not in self.mute:
            self.world.deliver(self.number, incarnation, "end", attempt)

    def restart(self, failing_share: float) -> None:
        """Restart cold; only a share of the lost runs' connections report a failure."""
        lost, self.runs = list(self.runs), {}
        self.boot += 1
        self.busy_s = 0.0
        self.record_count()
        incarnation = self.world.agents[self.number].incarnation
        for attempt in lost:
            if self.world.random.random() < failing_share:
                self.world.deliver(self.number, incarnation, "fail", attempt)

    def report(self) -> tuple[int, int]:
        """Return the boot and the number of runs as they were up to a lag ago."""
        moment = self.world.now - self.world.random.uniform(0, LOAD_LAG_S - TRANSIT_S)
        visible = [h for h in self.history if h[0] <= moment] or self.history[:1]
        self.history = self.history[len(visible) - 1 :]
        return visible[-1][1], visible[-1][2]


class Agent:
    """A simulated agent around the real admission, over its incarnations."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number = world, number
        self.incarnation = 0
        self.frozen_from = self.frozen_until = 0.0
        self.replace()

    def replace(self) -> None:
        self.incarnation += 1
        self.admission = Admission(POOL, self.world.now)
        self.last_event_at: dict[str, float] = {}
        self.world.after(ADMISSION_TICK_S, self.run_tick, self.incarnation)
        self.world.after(POLL_S, self.poll, self.incarnation)

    def handle(self, incarnation: int, kind: str, value: Any) -> None:
        """Handle one event, after the freeze if the agent is frozen."""
        if incarnation != self.incarnation:
            return
        now = self.world.now
        if now < self.frozen_until:
            # The backlog is handled in order, spread over some time.
            drained = self.frozen_until + BACKLOG_DRAIN_SHARE * (now - self.frozen_from)
            self.world.at(drained, self.handle, incarnation, kind, value)
            return
        getattr(self, f"_{kind}")(value, now)
        for ticket in self.admission.start_ready(now):
            self.last_event_at[ticket.attempt] = now
            self.world.counts["started"] += 1
            self.world.after(
                self.world.random.uniform(0, TRANSIT_S * 0.9),
                self.world.engines[self.number].start,
                ticket.attempt,
                self.incarnation,
                int(ticket.work),
            )

    def run_tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.handle(incarnation, "tick", None)
        self.world.after(ADMISSION_TICK_S, self.run_tick, incarnation)

    def poll(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        engine = self.world.engines[self.number]
        report = engine.report() if engine.up else None
        self.world.deliver(self.number, incarnation, "report", report)
        self.world.after(POLL_S, self.poll, incarnation)

    def _offer(self, ticket: Ticket, now: float) -> None:
        refusals = self.admission.offer(ticket, now)
        self.world.counts["refused"] += len(refusals)

    def _begin(self, attempt: str, now: float) -> None:
        self.last_event_at[attempt] = now
        self.admission.begin(attempt, now)

    def _progress(self, attempt: str, now: float) -> None:
        self.last_event_at[attempt] = now
        self.admission.progress(attempt, 1, now)

    def _end(self, attempt: str, now: float) -> None:
        self.last_event_at.pop(attempt, None)
        self.world.counts["ended"] += 1
        self.admission.end(attempt, now)

    def _fail(self, attempt: str, now: float) -> None:
        self.last_event_at.pop(attempt, None)
        self.admission.fail(attempt, now, certain=True)

    def _report(self, report: tuple[int, int] | None, now: float) -> None:
        boot, running = report or ("", 0)
        self.admission.report(report is not None, running, f"boot-{boot}", now)

    def _tick(self, _: None, now: float) -> None:
        self.admission.expire(now)
        for attempt, last_event_at in list(self.last_event_at.items()):
            if now - last_event_at > SILENCE_S:
                del self.last_event_at[attempt]
                self.admission.fail(attempt, now, certain=False)


class World:
    """All engines and agents in virtual time; the seed determines every delay."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.events = 0
        self.counts: Counter[str] = Counter()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.engines = [Engine(self, n) for n in range(UPSTREAMS)]
        self.agents = [Agent(self, n) for n in range(UPSTREAMS)]

    def at(self, moment: float, call: Callable[..., None], *values: Any) -> None:
        self.events += 1
        heapq.heappush(self._heap, (moment, self.events, call, values))

    def after(self, delay: float, call: Callable[..., None], *values: Any) -> None:
        self.at(self.now + delay, call, *values)

    def deliver(self, number: int, incarnation: int, kind: str, value: Any) -> None:
        """Deliver an engine's event to its agent, within the transit bound."""
        delay = self.random.uniform(0, TRANSIT_S * 0.9)
        self.after(delay, self.agents[number].handle, incarnation, kind, value)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, values = heapq.heappop(self._heap)
            call(*values)

    def apply(self, step: Step) -> None:
        getattr(self, f"_{step.kind}")(step)

    def _request(self, step: Step) -> None:
        for copy in range(step.amount):
            ticket = Ticket(
                f"{step.at:.6f}-{copy}",
                f"workspace-{copy % 10}",
                list(Urgency)[copy % 3],
                1 + int(step.length),
                self.now + 20.0,
                self.now,
                suspect=step.amount == 3,
            )
            agent = self.agents[step.upstream]
            self.deliver(step.upstream, agent.incarnation, "offer", ticket)

    def _cold(self, step: Step) -> None:
        self.counts["cold"] += 1
        self.engines[step.upstream].restart(step.length)

    def _replace(self, step: Step) -> None:
        self.counts["replace"] += 1
        self.agents[step.upstream].replace()

    def _freeze(self, step: Step) -> None:
        self.counts["freeze"] += 1
        agent = self.agents[step.upstream]
        agent.frozen_from, agent.frozen_until = self.now, self.now + step.length

    def _mute(self, step: Step) -> None:
        """Silence the open connections for good, while their runs continue."""
        self.counts["mute"] += 1
        engine = self.engines[step.upstream]
        engine.mute |= set(engine.runs)

    def _centre(self, step: Step) -> None:
        """Stop a whole data centre, and start it again with all upstreams cold."""
        self.counts["data centre"] += 1
        for engine in self.engines[UPSTREAMS // 2 :]:
            engine.restart(0.5)
            engine.up = False
            self.after(step.length, self._bring_back, engine)

    def _bring_back(self, engine: Engine) -> None:
        engine.up = True


def make_script(seed: int, steps: int = EPISODE_STEPS) -> list[Step]:
    """Draw requests and faults, at times two of them at the same moment."""
    random = Random(seed)
    moment, script = 0.0, []
    for _ in range(steps):
        moment += random.expovariate(4.0)
        upstream = random.randrange(UPSTREAMS)
        draw = random.random()
        if draw < 0.80:
            amount = random.choice([1, 1, 2, 3, 5])
            script.append(
                Step(moment, "request", upstream, amount, random.uniform(2, 40))
            )
        elif draw < 0.90:
            # A burst of requests to one upstream, as if every entry chose it.
            script.append(Step(moment, "request", upstream, 30, random.uniform(2, 20)))
        else:
            kind = random.choice(FAULTS)
            length = random.choice([0.0, 0.5, 1.0])
            if kind in {"freeze", "centre"}:
                length = random.uniform(0.3, 8.0)
            script.append(Step(moment, kind, upstream, 0, length))
            if random.random() < 0.5:
                script.append(Step(moment, "request", upstream, 30, 10.0))
            if random.random() < 0.3:
                script.append(Step(moment, "cold", upstream, 0, 0.0))
    return script


def run_script(seed: int, script: list[Step]) -> World:
    """Run one script to its end; raise an exception on a violation."""
    world = World(seed)
    for step in script:
        world.at(step.at, world.apply, step)
    world.run(until=script[-1].at + 30.0 if script else 0.0)
    return world


def find_violation(seed: int, script: list[Step]) -> str:
    """Run a script; return the description of its violation, or an empty string."""
    try:
        run_script(seed, script)
    except (Violation, InvariantBroken) as error:
        return f"{type(error).__name__}: {error}"
    return ""


def shrink(seed: int, script: list[Step]) -> list[Step]:
    """Remove steps in ever smaller chunks as long as a violation remains."""
    size = len(script) // 2
    while size:
        first = 0
        while first < len(script):
            shorter = script[:first] + script[first + size :]
            if shorter and find_violation(seed, shorter):
                script = shorter
            else:
                first += size
        size //= 2
    return script


@click.command()
@click.option("--seed", default=1, help="The first episode's seed.")
@click.option("--events", default=1_000_000, help="Stop after this many events.")
def main(seed: int, events: int) -> None:
    """Run episodes until the given number of events was handled."""
    done, counts = 0, Counter[str]()
    episode = seed
    while done < events:
        script = make_script(episode)
        try:
            world = run_script(episode, script)
        except (Violation, InvariantBroken):
            script = shrink(episode, script)
            click.echo(f"seed {episode}: {find_violation(episode, script)}")
            for step in script:
                click.echo(f"  {step}")
            raise SystemExit(1) from None
        done += world.events
        counts += world.counts
        episode += 1
    click.echo(f"seeds {seed} to {episode - 1}: {done} events, no violation")
    click.echo(f"  {dict(sorted(counts.items()))}")


if __name__ == "__main__":
    main()
