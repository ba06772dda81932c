"""KV cache of entries whose news of weights is old, or never comes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.storedprefixes import PrefixesReported
from masticdrum.model.cluster_events import (
    DirectoryRead,
    WeightsConfirmed,
    WeightsNamed,
)
from masticdrum.model.directory import ForwardService, ForwardWorkspace, StoreShape
from masticdrum.model.exchange import Prompt, PromptPart, StartAttempt
from tests.forwarding import KEY, MODEL, Entry, make_directory, pick

STORE = ForwardService("memo", store=StoreShape("10.0.9.9:80", "north", 100_000, 12))
PARTS = ("first", "second")
PROMPT = Prompt(MODEL, (*(PromptPart(name, 900) for name in PARTS), PromptPart("o", 9)))
LOAD_S = 1.0  # a load takes longer
STEPS = ("save", "drop", "hear", "name", "load", "wait", "ask")


def make_entry(isolated: bool = False) -> Entry:
    entry = Entry()
    directory = make_directory(
        2,
        services=(*make_directory().services, STORE),
        workspaces=(ForwardWorkspace("depot", (KEY,), isolated=isolated),),
    )
    entry.handle_event(DirectoryRead(directory, entry.now))
    entry.handle_event(WeightsNamed(MODEL, 1))
    entry.handle_event(PrefixesReported(STORE.name, 1))
    return entry


class Cluster:
    """A store of KV cache, an engine that changes its weights, and one entry.

    What a run of the first version saves after its engine has loaded the second was
    made by the second.
    """

    def __init__(self, isolated: bool) -> None:
        self.entry = make_entry(isolated)
        self.named, self.loaded = 1, 1
        self.makers: dict[str, int] = {}
        self.next_part = 0
        self.fetched = 0
        self.named_at = float("inf")
        (start,) = self.send_prompt()
        self.scope = start.cache_scope

    def send_prompt(self) -> list[StartAttempt]:
        """Send a prompt that begins at once and is then abandoned."""
        effects = self.entry.send_request("stream", prompt=PROMPT)
        for start in pick(effects, StartAttempt):
            self.entry.begin(start)
            self.entry.stream(start, 1)
            self.entry.disconnect(start.handle)
        return pick(effects, StartAttempt)

    def take(self, step: str) -> None:
        self.entry.now += 0.1
        self.entry.confirm()
        getattr(self, f"do_{step}")()

    def do_save(self) -> None:
        part = PARTS[self.next_part % len(PARTS)]
        self.next_part += 1
        self.makers.setdefault(part, self.loaded)
        self.report(stored=((self.scope, part),))

    def do_drop(self) -> None:
        for part in self.makers:
            self.report(gone=((self.scope, part),))
        self.makers.clear()

    def report(self, **changes: tuple[tuple[str, str], ...]) -> None:
        self.entry.handle_event(PrefixesReported(STORE.name, 1, **changes))

    def do_hear(self) -> None:
        """Let the entry read which weights are named."""
        superseded = self.entry.state.cluster_state.superseded
        event = WeightsNamed(MODEL, self.named, superseded.confirmed_at)
        self.entry.handle_event(event)
        self.entry.handle_event(WeightsConfirmed(self.entry.now))

    def do_name(self) -> None:
        self.named = 2
        self.named_at = min(self.named_at, self.entry.now)

    def do_load(self) -> None:
        """Let the engine have loaded what is named, as soon as it can have."""
        if self.named > self.loaded:
            self.entry.now = max(self.entry.now, self.named_at + LOAD_S + 0.01)
            self.loaded = self.named

    def do_wait(self) -> None:
        self.entry.now += 1.0
        self.report()

    def do_ask(self) -> None:
        """Send a prompt to an engine that has the first version."""
        for start in self.send_prompt():
            self.check(start)

    def check(self, start: StartAttempt) -> None:
        assert start.expect_weights == 1
        assert set(start.cache_sources) <= {"", STORE.store.address}
        for part, source in zip(PARTS, start.cache_sources, strict=False):
            if source and part in self.makers:
                self.fetched += 1
                assert self.makers[part] == 1, f"{part} was made by newer weights"


# Guards against prompts that begin on KV cache which newer weights have made, sent by
# an entry that hasn't heard of them for any time (STALE).
@given(st.lists(st.sampled_from(STEPS), min_size=8, max_size=30), st.booleans())
@settings(max_examples=200, derandomize=True, deadline=None)
def test_no_prompt_runs_on_cache_that_newer_weights_have_made(
    steps: list[str], isolated: bool
) -> None:
    cluster = Cluster(isolated)
    for step in steps:
        cluster.take(step)


# Guards against the same by an engine as the source, whose runs go on under newer
# weights and write parts under the older version (STALE).
def test_another_engine_is_never_a_source() -> None:
    entry = make_entry(isolated=True)
    starts = [
        start
        for _ in range(20)
        for start in pick(entry.send_request("stream", prompt=PROMPT), StartAttempt)
    ]
    assert len({start.upstream for start in starts}) > 1
    assert {address for s in starts for address in s.cache_sources} <= {
        "",
        STORE.store.address,
    }


# Guards against prompts that are read again though what is stored is proved: what was
# stored before the last news is used in a cut too.
def test_cache_stored_before_the_last_news_is_used_however_old_that_is() -> None:
    cluster = Cluster(isolated=True)
    for step in ("save", "save", "ask", "hear", "name", "load", "wait", "ask"):
        cluster.take(step)
    assert cluster.fetched == len(PARTS)
