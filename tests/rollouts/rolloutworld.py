"""Entries with a decider and a follower each, one store, and what befalls them."""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from masticdrum.model.cluster_events import StoreRestored
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.model.rollouts import (
    PutRolloutStatus,
    RolloutLease,
    RolloutLeasesRead,
    RolloutOrder,
    RolloutRead,
    RolloutReported,
    RolloutsRead,
    RolloutState,
    RolloutStatusAnswered,
    SendGrant,
    Tally,
)
from masticdrum.rollouts.course import RolloutParts
from masticdrum.rollouts.decider import RolloutDecider
from masticdrum.rollouts.follower import RolloutFollower
from masticdrum.rollouts.interfaces import (
    Evidence,
    Judgement,
    RolloutBounds,
    Step,
    Verdict,
)

STEP_S = 0.1
READ_EVERY = 2  # steps
UNIX_S = 1.8e9
DURATION_S = 12.0
BAD_ANSWERS, GOOD_ANSWERS = 3, 40
UNCONDITIONAL = -1
ORDER = RolloutOrder("desk", "v2", DURATION_S, created=5)


class Pool:
    """The newest tallies of each entry."""

    def __init__(self) -> None:
        self.tallies: dict[str, tuple[Tally, ...]] = {}

    def replace(self, entry: str, _: str, tallies: tuple[Tally, ...]) -> None:
        self.tallies[entry] = tallies

    def pool(self) -> Evidence:
        tallies = [tally for found in self.tallies.values() for tally in found]
        failed = sum(sum(tally.failed) for tally in tallies)
        return Evidence(old_sent=failed, new_sent=sum(t.answered[0] for t in tallies))


class Judge:
    """Judges by counts alone; ``old_sent`` stands for failures here."""

    def observe(self, evidence: Evidence, now: float) -> Judgement:
        if evidence.old_sent >= BAD_ANSWERS:
            return Judgement(Verdict.BAD)
        is_sound = evidence.new_sent >= GOOD_ANSWERS
        return Judgement(Verdict.SOUND if is_sound else Verdict.UNDECIDED)


class Schedule:
    """A small share, then all, then the end, which may be due at once."""

    def __init__(self, is_hasty: bool) -> None:
        self.is_hasty = is_hasty

    def plan(self, *given: Any) -> Step:
        judgement, old_open, all_switched = given[5:]
        if judgement.verdict is not Verdict.SOUND:
            return Step(0, 0.1)
        is_due = self.is_hasty or (all_switched and not old_open)
        return Step(1, 1.0, is_last=True, is_due=is_due)


class Dice:
    """A judge that says anything, so that deciders want different ends."""

    def __init__(self, random: Random) -> None:
        self.random = random

    def observe(self, *_: Any) -> Judgement:
        draw = self.random.random()
        if draw < 0.8:
            return Judgement(Verdict.UNDECIDED)
        return Judgement(Verdict.SOUND if draw < 0.9 else Verdict.BAD)


def make_parts(random: Random | None) -> RolloutParts:
    """Make fakes, with dice for a judge if ``random`` is given."""
    return RolloutParts(
        Pool,
        (lambda: Dice(random)) if random else Judge,
        lambda: Schedule(is_hasty=random is not None),
        lambda *_: ("a", "b"),
        lambda names, _: tuple(names),
    )


class Store:
    """One order's status and lease, with conditional writes and older copies."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 10
        self.order: RolloutOrder | None = ORDER
        self.state: RolloutState | None = None
        self.state_revision = 10
        self.lease = b""
        self.lease_revision = 0
        self.written: set[tuple[int, RolloutState]] = set()
        self.final_at = float("inf")

    def save(self) -> dict[str, Any]:
        names = ("order", "state", "state_revision", "lease", "lease_revision")
        return {name: getattr(self, name) for name in names}

    def restore(self, copy: dict[str, Any]) -> None:
        for name, value in copy.items():
            setattr(self, name, value)
        self.era += 1

    def put_status(self, put: PutRolloutStatus, now: float) -> str:
        is_other = self.order is None or put.target != self.order.target
        if is_other or put.revision not in (self.state_revision, UNCONDITIONAL):
            return "conflict"
        self.revision += 1
        self.state, self.state_revision = put.state, self.revision
        if put.state.is_final:
            self.written.add((self.era, put.state))
            self.final_at = now
        return "ok"

    def call(self, call: ObjectPut | ObjectGet) -> ObjectAnswer:
        if isinstance(call, ObjectGet):
            status = ObjectStatus.OK if self.lease else ObjectStatus.MISSING
        elif call.expected != self.lease_revision:
            status = ObjectStatus.CONFLICT
        else:
            self.revision += 1
            self.lease, self.lease_revision = call.body, self.revision
            status = ObjectStatus.OK
        body = self.lease if isinstance(call, ObjectGet) else b""
        revision = self.lease_revision
        return ObjectAnswer(call.call, status, revision, body, era=self.era)

    def read_orders(self, now: float) -> RolloutsRead:
        if self.order is None:
            return RolloutsRead((), now)
        read = RolloutRead(self.order, self.state, self.state_revision)
        return RolloutsRead((read,), now)

    def read_leases(self, now: float) -> RolloutLeasesRead:
        if not self.lease:
            return RolloutLeasesRead((), now)
        lease = msgspec.json.decode(self.lease, type=RolloutLease)
        return RolloutLeasesRead(((lease, self.lease_revision),), now)


class Entry:
    """One entry process."""

    def __init__(
        self, index: int, names: list[str], random: Random | None, run: int = 0
    ) -> None:
        self.index, self.run = index, run
        name, address = names[index], f"10.0.0.{index}:1"
        self.decider = RolloutDecider(
            name, f"run{run}", address, RolloutBounds(), make_parts(random)
        )
        self.decider.set_members(names)
        self.follower = RolloutFollower(name, f"run{run}")
        self.answered = self.failed = 0
        self.era = 1
        self.frozen_until = 0.0
        self.heard_at = 0.0


class World:
    """Runs entries against the store, and checks the promises at each step.

    ``lose`` is how the store treats writes: "" answers them, "done" carries them out
    and loses the answer, "late" carries them out seconds later. Deciders with dice
    (``has_dice``) want different ends.
    """

    def __init__(self, entries: int = 3, seed: int = 0, has_dice: bool = False) -> None:
        self.names = [f"entry-{index}" for index in range(entries)]
        self.dice = Random(seed) if has_dice else None
        self.entries = [Entry(i, self.names, self.dice) for i in range(entries)]
        self.store = Store()
        self.copies: list[dict[str, Any]] = []
        self.random = Random(seed)
        self.now = 100.0
        self.steps = 0
        self.lose = ""
        self.is_bad = False
        self.is_idle = False
        self.old_open = 0
        self.answer_s = STEP_S
        self.read_every = READ_EVERY
        self.cut_store: set[int] = set()
        self.cut_net: set[int] = set()
        self.later: list[tuple[float, Callable[[], object]]] = []
        self.late_writes: list[tuple[float, Callable[[], object]]] = []
        self.known: set[RolloutState] = set()
        self.finals: dict[tuple[int, int], RolloutState] = {}
        self.effects: list[tuple[int, Any]] = []
        self.disturbed_at = 0.0
        for entry in self.entries:
            entry.heard_at = self.now

    def is_up(self, entry: Entry) -> bool:
        return self.now >= entry.frozen_until and entry in self.entries

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        self.now += STEP_S
        self.steps += 1
        self.copies = [*self.copies[-20:], self.store.save()]
        waiting = [*self.late_writes, *self.later]
        due = [act for at, act in waiting if at <= self.now]
        self.late_writes = [w for w in self.late_writes if w[0] > self.now]
        self.later = [w for w in self.later if w[0] > self.now]
        for act in due:
            act()
        for entry in self.entries:
            if self.is_up(entry):
                self._run_entry(entry)
        self.check()

    def _run_entry(self, entry: Entry) -> None:
        if entry.index not in self.cut_store and self.steps % self.read_every == 0:
            if entry.era < self.store.era:
                self.give(entry, StoreRestored(self.store.era, entry.era))
                entry.era = self.store.era
            orders = self.store.read_orders(self.now)
            leases = self.store.read_leases(self.now)
            entry.follower.handle_orders(orders)
            entry.follower.handle_leases(leases)
            self.give(entry, orders)
            self.give(entry, leases)
        self._carry_out(entry, entry.decider.tick(self.now, UNIX_S + self.now))
        found = entry.follower.find_share("desk", self.now)
        if found and found[1] > 0.0 and not self.is_idle:
            entry.answered += not self.is_bad
            entry.failed += self.is_bad
        tally = Tally("r", True, (entry.answered,), (entry.failed,), ())
        reports = entry.follower.make_reports(
            self.now, {"desk": (tally,)}, {"desk": self.old_open}
        )
        for sent in reports:
            index = int(sent.address.split(":")[0].rsplit(".")[-1])
            peer = f"10.0.0.{entry.index}", 1
            event = RolloutReported(peer, sent.report)
            if self._can_reach(entry.index, index):
                self.give(self.entries[index], event)

    def _can_reach(self, one: int, other: int) -> bool:
        is_cut = one != other and {one, other} & self.cut_net
        return not is_cut and self.is_up(self.entries[other])

    def give(self, entry: Entry, event: Any) -> None:
        effects = entry.decider.handle(event, self.now, UNIX_S + self.now)
        self._carry_out(entry, effects)

    def _carry_out(self, entry: Entry, effects: list[Any]) -> None:
        for effect in effects:
            self.effects.append((entry.index, effect))
            match effect:
                case SendGrant():
                    index = int(effect.peer[0].rsplit(".")[-1])
                    if self._can_reach(entry.index, index):
                        self.entries[index].follower.handle_grant(effect.grant)
                        self.entries[index].heard_at = self.now
                case PutRolloutStatus():
                    self._call(
                        entry,
                        lambda effect=effect: RolloutStatusAnswered(
                            "desk", self.store.put_status(effect, self.now)
                        ),
                        RolloutStatusAnswered("desk", "lost"),
                    )
                case ObjectPut() | ObjectGet():
                    lost = ObjectAnswer(effect.call, ObjectStatus.LOST)
                    self._call(
                        entry, lambda effect=effect: self.store.call(effect), lost
                    )

    def _call(self, entry: Entry, act: Callable[[], Any], lost: Any) -> None:
        """Answer a call at the next step, or lose its answer."""
        answer = lost
        if entry.index not in self.cut_store:
            if self.lose == "late":
                late_s = self.random.uniform(0.2, 5.0)
                self.late_writes.append((self.now + late_s, act))
            else:
                answer = lost if self.lose == "done" and act() else act()
        self._answer_later(entry, answer)

    def _answer_later(self, entry: Entry, answer: Any) -> None:
        def give() -> None:
            if self.is_up(entry):
                self.give(entry, answer)
            elif entry in self.entries:
                self.later.append((entry.frozen_until + STEP_S, give))

        self.later.append((self.now + self.answer_s, give))

    def restart(self, index: int) -> None:
        run = self.entries[index].run + 1
        self.entries[index] = Entry(index, self.names, self.dice, run)
        self.entries[index].heard_at = self.now
        self.disturbed_at = self.now

    def freeze(self, index: int, seconds: float) -> None:
        self.entries[index].frozen_until = self.now + seconds
        self.disturbed_at = self.now + seconds

    def restore(self) -> None:
        """Go back to a copy, at a time when entries are in touch with each other."""
        is_calm = not (self.cut_net or self.cut_store or self.lose)
        if not self.copies or not is_calm or self.now < self.disturbed_at + 3.0:
            return
        # A late write would name a revision of the history that is gone.
        self.late_writes = []
        self.store.restore(self.copies[0])
        self.restart(self.random.randrange(len(self.entries)))
        self.run(8.0)

    def heal(self) -> None:
        self.cut_net, self.cut_store, self.lose = set(), set(), ""
        self.disturbed_at = max(self.now, self.disturbed_at)

    def check(self) -> None:
        """Check what must hold at any time."""
        for entry in self.entries:
            order = entry.follower._orders.get("desk")
            if order is None or order.read.order != ORDER or not order.final:
                continue
            first = self.finals.setdefault((entry.index, entry.run), order.final)
            assert first is order.final, "a final state has changed"
            self.known.add(order.final)
        assert len(self.known) <= 1, "entries know different final states"
        eras = [era for era, _ in self.store.written]
        assert len(eras) == len(set(eras)), "two final states were written"
        is_back = self.store.state is RolloutState.ROLLED_BACK
        for entry in self.entries:
            found = entry.follower.find_share("desk", self.now)
            if not found or not found[1] or not self.is_up(entry):
                continue
            is_late = is_back and self.now > self.store.final_at + 3.0
            assert not is_late, "traffic after a roll-back"
            is_done = entry.follower._orders["desk"].final
            is_alone = self.now > entry.heard_at + 3.0 and not is_done
            assert not is_alone, "traffic without a decider"
