"""A seeded simulation of agents' KV caches with fake engines and stores, and faults.

Transfers are the production coroutines. Every call to an engine or store pauses, and
the seeded driver chooses which one continues, so a fault can occur between any two
steps.
"""

from collections.abc import Callable, Coroutine, Generator
from hashlib import sha256
from random import Random
from typing import Any

from masticdrum.core.cachestate import (
    CacheRules,
    KvCache,
    confirm_engine,
    install_rules,
)
from masticdrum.core.kvcache import (
    cancel_attempt,
    expire_imports,
    handle_changes,
    handle_run_begun,
    handle_run_tokens,
    is_prepared,
    prepare_prompt,
    select_reusable_blocks,
)
from masticdrum.core.transfers import handle_exported, handle_fetched
from masticdrum.model.agent_events import (
    BlockExported,
    BlocksChanged,
    BlocksFetched,
    ExportBlock,
    FetchBlocks,
)
from masticdrum.model.tables import Urgency
from masticdrum.shell.blocktransfer import (
    BlockNotFound,
    BlockTransfer,
    StoreFull,
    TransferFailed,
)

BLOCK = 8  # bytes of text
RECOMPUTE_S = 0.2  # for one block
SECRET = b"agents only"
STORES = ("http://127.0.0.1:1", "http://127.0.0.1:2")
WORKSPACES = ("radkranz", "gebeya", "third")
VERSIONS = ("v1", "v2", "v3")


class Violation(AssertionError):
    """An invariant was violated."""


class Pause:
    """Returns control to the driver."""

    def __await__(self) -> Generator[None, None, None]:
        yield


def make_payload(workspace: str, version: str, prefix: str) -> bytes:
    """Return the only correct KV cache for a prefix."""
    return sha256(repr((workspace, version, prefix)).encode()).digest()


class FakeStore:
    """A store instance that may fail, fill up, evict, damage or swap blocks."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.frames: dict[str, bytes] = {}
        self.parts: dict[tuple[str, str], bytes] = {}
        self.leases: set[tuple[str, str]] = set()
        self.room = 40
        self.dead = False
        self.damage = ""
        self.damaged = 0

    def check(self) -> None:
        if self.dead:
            raise TransferFailed("dead")

    def evict(self) -> None:
        pinned = {key for key, _ in self.leases}
        free = [key for key in self.frames if key not in pinned]
        if free:
            del self.frames[self.rng.choice(free)]

    def clear(self) -> None:
        self.frames.clear()
        self.parts.clear()
        self.leases.clear()

    def read_frame(self, key: str) -> bytes:
        frame = self.frames[key]
        damage, self.damage = self.damage, ""
        if not damage:
            return frame
        self.damaged += 1
        if damage == "truncated":
            return frame[: self.rng.randrange(len(frame))]
        if damage == "flipped":
            place = self.rng.randrange(len(frame))
            flipped = frame[place] ^ (1 << self.rng.randrange(8))
            return frame[:place] + bytes([flipped]) + frame[place + 1 :]
        other = self.frames[self.rng.choice(sorted(self.frames))]
        if damage == "substituted":
            return other
        return frame[:-32] + other[-32:]  # this block's header before another payload


class FakeStores:
    """All store instances; implements ``StoreBlocks``."""

    def __init__(self, rng: Random) -> None:
        self.stores = {address: FakeStore(rng) for address in STORES}

    async def lease(self, store: str, key: str, holder: str, for_s: float) -> None:
        await Pause()
        at = self.stores[store]
        at.check()
        if key not in at.frames:
            raise BlockNotFound(key)
        at.leases.add((key, holder))

    async def release(self, store: str, key: str, holder: str) -> None:
        await Pause()
        self.stores[store].check()
        self.stores[store].leases.discard((key, holder))

    async def read(self, store: str, key: str) -> bytes:
        at = self.stores[store]
        at.check()
        if key not in at.frames:
            raise BlockNotFound(key)
        if key not in {leased for leased, _ in at.leases}:
            raise Violation(f"block '{key}' is read without a lease")
        frame = at.read_frame(key)
        await Pause()
        at.check()
        return frame if key in at.frames else bytes(len(frame))

    async def write(self, store: str, key: str, part: str, frame: bytes) -> None:
        at = self.stores[store]
        at.check()
        at.parts[key, part] = frame[: len(frame) // 2]
        await Pause()
        at.check()
        if len(at.frames) >= at.room:
            raise StoreFull(key)
        at.parts[key, part] = frame

    async def commit(self, store: str, key: str, part: str) -> None:
        await Pause()
        at = self.stores[store]
        at.check()
        if (key, part) not in at.parts:
            raise BlockNotFound(key)
        at.frames[key] = at.parts.pop((key, part))


class FakeEngine:
    """An engine that compares each imported block with the correct one.

    It keeps blocks of old versions on purpose, so only their keys tell them apart.
    """

    def __init__(self, rng: Random, truth: dict[str, set[bytes]]) -> None:
        self.rng = rng
        self.truth = truth
        self.version = "v1"
        self.boot = 1
        self.held: dict[str, bytes] = {}
        self.events: list[tuple[str, bool]] = []
        self.reported = 0
        self.reused = 0
        self.imported = 0

    def hold(self, key: str, payload: bytes) -> None:
        self.held[key] = payload
        self.events.append((key, True))

    def evict(self) -> None:
        if self.held:
            key = self.rng.choice(list(self.held))
            del self.held[key]
            self.events.append((key, False))

    def evict_all(self) -> None:
        while self.held:
            self.evict()

    def restart(self) -> None:
        self.boot += 1
        self.held.clear()
        self.events.clear()
        self.reported = 0

    async def export_block(self, key: str) -> bytes:
        payload = self.held.get(key)
        await Pause()
        if payload is None or key not in self.held:
            raise BlockNotFound(key)
        return payload

    async def import_block(self, key: str, version: str, payload: bytes) -> None:
        await Pause()
        if version != self.version:
            raise TransferFailed("another version")
        if payload not in self.truth.get(key, set()):
            raise Violation(f"engine was given a wrong payload for block '{key}'")
        self.imported += 1
        self.hold(key, payload)

    def run(
        self, workspace: str, version: str, text: str, keys: tuple[str, ...]
    ) -> int | None:
        """Run a prompt; return the blocks recomputed, or None for another version."""
        if version not in ("", self.version):
            return None
        reusing = True
        recomputed = 0
        for n, key in enumerate(keys, 1):
            right = make_payload(workspace, self.version, text[: n * BLOCK])
            reusing = reusing and key in self.held
            if reusing and self.held[key] != right:
                raise Violation(f"a run of '{workspace}' reads another's block")
            recomputed += not reusing
            self.reused += reusing
            self.truth.setdefault(key, set()).add(right)
            if len(self.truth[key]) > 1:
                raise Violation(f"block '{key}' stands for two contents")
            self.hold(key, right)
        return recomputed


class Agent:
    """One agent's KV cache, called in the same way as by the agent's reducer."""

    def __init__(self, name: str, world: "CacheWorld") -> None:
        self.name = name
        self.world = world
        self.engine = FakeEngine(world.rng, world.truth)
        self.cache = KvCache()
        install_rules(
            self.cache,
            CacheRules("llm", BLOCK, tuple((s, s) for s in STORES)),
            0.0,
        )
        confirm_engine(self.cache, "1", "v1")
        self.transfer = BlockTransfer(
            self.engine, world.stores, name, SECRET, lambda: world.now
        )
        self.waiting: dict[str, tuple[str, str, float]] = {}
        self.started: list[tuple[str, int]] = []

    def execute(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, FetchBlocks):
                self.world.tasks.append((self, self.transfer.fetch(effect)))
            if isinstance(effect, ExportBlock):
                self.world.tasks.append((self, self.transfer.export(effect)))

    def handle(self, event: BlocksFetched | BlockExported | BlocksChanged) -> None:
        now = self.world.now
        handler: Callable[..., list[Any]] = handle_exported
        if isinstance(event, BlocksFetched):
            handler = handle_fetched
        if isinstance(event, BlocksChanged):
            handler = handle_changes
        self.execute(handler(self.cache, event, now))
        self.start_prepared()

    def submit(self, attempt: str, workspace: str, urgency: Urgency, text: str) -> None:
        now = self.world.now
        self.waiting[attempt] = (workspace, text, now)
        self.execute(prepare_prompt(self.cache, attempt, workspace, urgency, text, now))
        self.start_prepared()

    def start_prepared(self) -> None:
        for attempt in [a for a in self.waiting if is_prepared(self.cache, a)]:
            workspace, text, submitted_at = self.waiting.pop(attempt)
            if self.world.now - submitted_at > 6.0:
                raise Violation(f"attempt '{attempt}' waited for its import")
            version, keys = select_reusable_blocks(self.cache, attempt)
            recomputed = self.engine.run(workspace, version, text, keys)
            if recomputed is None:
                self.execute(cancel_attempt(self.cache, attempt, self.world.now))
                continue
            ran = self.engine.version
            handle_run_begun(self.cache, attempt, ran, recomputed, self.world.now)
            told_at = self.world.now + RECOMPUTE_S * recomputed
            self.execute(handle_run_tokens(self.cache, attempt, told_at))
            self.started.append((attempt, recomputed))

    def run_timers(self) -> None:
        self.execute(expire_imports(self.cache, self.world.now))
        self.start_prepared()

    def report_engine(self) -> None:
        confirm_engine(self.cache, str(self.engine.boot), self.engine.version)
        self.start_prepared()

    def publish_events(self, lossy: bool) -> None:
        number = len(self.engine.events)
        fresh = self.engine.events[self.engine.reported :]
        self.engine.reported = number
        delivered = [e for e in fresh if not lossy or self.world.rng.random() < 0.5]
        last = dict(delivered)
        held = tuple(key for key, is_held in last.items() if is_held)
        evicted = tuple(key for key, is_held in last.items() if not is_held)
        self.handle(BlocksChanged(number, held, evicted))


class CacheWorld:
    """Agents, engines and stores under one seeded driver in virtual time."""

    def __init__(self, seed: int, agents: int = 2) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.truth: dict[str, set[bytes]] = {}
        self.stores = FakeStores(self.rng)
        self.tasks: list[tuple[Agent, Coroutine[Any, Any, Any]]] = []
        self.agents = [Agent(f"agent-{n}", self) for n in range(agents)]
        self.submitted = 0
        self.counts: dict[str, int] = {}

    def step_task(self, place: int | None = None) -> None:
        """Run one transfer to its next pause or its end."""
        if not self.tasks:
            return
        place = self.rng.randrange(len(self.tasks)) if place is None else place
        agent, task = self.tasks[place]
        try:
            task.send(None)
        except StopIteration as stop:
            del self.tasks[place]
            agent.handle(stop.value)

    def finish_transfers(self) -> None:
        """Run all transfers to their end."""
        while self.tasks:
            self.step_task(0)

    def step(self) -> None:
        """Perform one random action."""
        actions: list[tuple[float, Callable[[Agent, FakeStore], object]]] = [
            (60.0, lambda agent, store: self.step_task()),
            (12.0, lambda agent, store: self.submit_prompt(agent)),
            (6.0, lambda agent, store: self.pass_time(self.rng.random() * 0.2)),
            (0.3, lambda agent, store: self.pass_time(self.rng.random() * 20)),
            (12.0, lambda agent, store: agent.engine.evict()),
            (0.3, lambda agent, store: agent.engine.evict_all()),
            (2.0, lambda agent, store: store.evict()),
            (1.0, lambda agent, store: agent.publish_events(lossy=False)),
            (1.0, lambda agent, store: agent.publish_events(lossy=True)),
            (1.5, lambda agent, store: agent.report_engine()),
            (0.3, lambda agent, store: self.swap(agent)),
            (0.2, lambda agent, store: agent.engine.restart()),
            (0.1, lambda agent, store: setattr(store, "dead", True)),
            (0.8, lambda agent, store: setattr(store, "dead", False)),
            (0.1, lambda agent, store: store.clear()),
            (0.3, lambda agent, store: setattr(store, "room", len(store.frames))),
            (0.3, lambda agent, store: setattr(store, "room", 40)),
            (0.5, lambda agent, store: self.damage(store)),
        ]
        weights = [weight for weight, _ in actions]
        place = self.rng.choices(range(len(actions)), weights)[0]
        store = self.stores.stores[self.rng.choice(STORES)]
        actions[place][1](self.rng.choice(self.agents), store)

    def submit_prompt(self, agent: Agent) -> None:
        """Submit one of a few prompts, which several workspaces share."""
        self.submitted += 1
        seed = self.rng.randrange(4)
        blocks = self.rng.randrange(1, 7)
        text = "preamble" + "".join(f"{seed:04d}{n:04d}" for n in range(1, blocks))
        workspace = self.rng.choice(WORKSPACES)
        agent.submit(
            f"at-{self.submitted}", workspace, self.rng.choice(list(Urgency)), text
        )

    def pass_time(self, seconds: float) -> None:
        """Advance the time in steps that are short enough for every timer."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(self.now + 0.05, until)
            for agent in self.agents:
                agent.run_timers()

    def swap(self, agent: Agent) -> None:
        """Load other weights without reporting it to the agent."""
        agent.engine.version = self.rng.choice(VERSIONS)

    def damage(self, store: FakeStore) -> None:
        """Damage the next frame that is read."""
        kinds = ("truncated", "flipped", "substituted", "forged")
        store.damage = self.rng.choice(kinds)

    def check_end(self) -> None:
        """Check that no attempt or transfer is left once everything has ended."""
        for store in self.stores.stores.values():
            store.dead = False
        for agent in self.agents:
            agent.report_engine()
        self.finish_transfers()
        self.pass_time(6.0)
        self.finish_transfers()
        for agent in self.agents:
            if agent.waiting:
                raise Violation(f"attempts never ran: {sorted(agent.waiting)}")
            for link in agent.cache.links.values():
                busy = (link.imports, link.exports, link.pending_blocks)
                if busy != (0, 0, 0):
                    raise Violation(f"link '{link.address}' is left with {busy}")


def run_world(seed: int, events: int) -> CacheWorld:
    """Run a seeded world and check it at the end."""
    world = CacheWorld(seed)
    try:
        for _ in range(events):
            world.step()
        world.check_end()
    finally:
        for _, task in world.tasks:
            task.close()
    return world
