"""Which requests may meet in one scope of KV cache."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.cachescopes import (
    compute_wall,
    name_private_scope,
    name_shared_scope,
    name_single_use_scope,
)
from masticdrum.model.cluster_events import DirectoryConfirmed, DirectoryRead
from masticdrum.model.directory import Directory, ForwardWorkspace
from masticdrum.model.errors import ErrorKind
from masticdrum.model.exchange import (
    AttemptEnd,
    Prompt,
    PromptPart,
    Refuse,
    StartAttempt,
    StopAttempt,
    Ticked,
)
from tests.forwarding import BOUNDS, Entry, get_start, make_directory, pick

NAMES = ("depot", "yard", "quay")
ISOLATED_SETS = st.frozensets(st.sampled_from(NAMES))
APPLY_S = BOUNDS.cluster_state.apply_s
STEP_S = 0.5
STEPS = 24
FIXED = settings(derandomize=True, deadline=None)


def make_walled_directory(version: int, isolated: frozenset[str]) -> Directory:
    workspaces = tuple(
        ForwardWorkspace(name, (f"key-{name}",), isolated=name in isolated)
        for name in NAMES
    )
    return make_directory(version, workspaces=workspaces)


def install(entry: Entry, version: int, isolated: frozenset[str]) -> None:
    directory = make_walled_directory(version, isolated)
    entry.handle_event(DirectoryRead(directory, entry.now))


def get_scope(entry: Entry, workspace: str) -> str:
    start = get_start(entry.send_request("stream", f"key-{workspace}"))
    entry.disconnect(start.handle)
    return start.cache_scope


def test_what_a_workspace_made_before_its_isolation_is_left_behind() -> None:
    """Guards against KV cache that others use after its maker became isolated."""
    entry = Entry()
    install(entry, 2, frozenset())
    before = get_scope(entry, "depot")
    install(entry, 3, frozenset({"depot"}))
    assert get_scope(entry, "yard") != before


def test_a_retry_follows_the_configuration_in_force_not_that_of_its_arrival() -> None:
    """Guards against an earlier request that carries its parts over a new wall."""
    entry = Entry()
    install(entry, 2, frozenset())
    starts = {n: get_start(entry.send_request("stream", f"key-{n}")) for n in NAMES}
    install(entry, 3, frozenset({"depot"}))
    scopes = {}
    for name, start in starts.items():
        retry = get_start(entry.end(start, AttemptEnd.REJECTED, 503))
        assert retry.cache_scope != start.cache_scope
        scopes[name] = retry.cache_scope
    assert scopes["yard"] == scopes["quay"] != scopes["depot"]


def test_an_entry_that_may_have_missed_a_configuration_shares_with_nobody() -> None:
    """Guards against an entry that is cut off and goes on sharing over a new wall."""
    entry = Entry()
    install(entry, 2, frozenset())
    shared = get_scope(entry, "yard")
    entry.now += APPLY_S
    assert get_scope(entry, "yard") == get_scope(entry, "quay") == shared
    entry.now += 0.1
    scopes = {get_scope(entry, name) for name in NAMES}
    assert len(scopes) == len(NAMES) and shared not in scopes
    entry.confirm()
    assert get_scope(entry, "yard") == get_scope(entry, "quay") == shared


def test_nobody_shares_by_a_copy_that_may_lack_a_wall() -> None:
    """Guards against an entry that missed a wall which a restored store forgot."""
    entry = Entry()
    directory = make_walled_directory(2, frozenset())
    entry.now += APPLY_S + 0.1
    read = DirectoryRead(directory, entry.now, may_be_outdated=True)
    entry.handle_event(read)
    entry.handle_event(DirectoryConfirmed(entry.now, may_be_outdated=True))
    assert len({get_scope(entry, name) for name in NAMES}) == len(NAMES)
    entry.confirm()
    assert len({get_scope(entry, name) for name in NAMES}) == 1


@FIXED
@given(
    st.lists(st.tuples(st.integers(1, 6), ISOLATED_SETS), max_size=5),
    st.lists(st.frozensets(st.integers(0, STEPS)), min_size=2, max_size=2),
)
def test_nobody_uses_what_was_made_across_a_wall_that_is_in_force(
    changes: list[tuple[int, frozenset[str]]], heard: list[frozenset[int]]
) -> None:
    """Guards against the WALL of the rules: entries hear of each change when they may.

    Each change comes some steps after the one before. Entries reach the store in some
    steps only, and engines keep whatever any request made, for ever.
    """
    history, at = [(0, frozenset[str]())], 0
    for gap, isolated in changes:
        at += gap
        history.append((at, isolated))
    entries = [Entry() for _ in heard]
    began = entries[0].now
    for entry in entries:
        install(entry, 2, history[0][1])
    makers: dict[str, set[str]] = {}
    for step in range(STEPS):
        newest = max(n for n, (since, _) in enumerate(history) if since <= step)
        oldest = max(
            n
            for n, (since, _) in enumerate(history)
            if n == 0 or (step - since) * STEP_S > APPLY_S
        )
        walled = frozenset.intersection(*(s for _, s in history[oldest : newest + 1]))
        for entry, steps in zip(entries, heard, strict=True):
            entry.now = began + step * STEP_S
            if step in steps:
                install(entry, 2 + newest, history[newest][1])
                entry.handle_event(DirectoryConfirmed(entry.now))
            if not entry.state.cluster_state.is_leased(entry.now):
                continue
            for name in NAMES:
                made = makers.setdefault(get_scope(entry, name), set())
                assert not any({name, m} & walled for m in made if m != name)
                made.add(name)


def wait_until_bound(entry: Entry, acknowledged_at: float) -> list:
    """Let time pass until a configuration must be in force; return the effects."""
    entry.now = acknowledged_at + APPLY_S
    return entry.handle_event(Ticked())


def test_a_waiting_prompt_goes_on_elsewhere_before_it_uses_a_walled_part() -> None:
    """Guards against prompts that wait at their engine while a wall goes up."""
    entry = Entry()
    install(entry, 2, frozenset())
    entry.confirm()
    start = get_start(entry.send_request("stream", "key-yard"))
    once = get_start(entry.send_request("once", "key-quay"))
    acknowledged_at = entry.now
    entry.now += 1.0
    install(entry, 3, frozenset({"depot"}))
    effects = wait_until_bound(entry, acknowledged_at)
    stops = {stop.handle for stop in pick(effects, StopAttempt)}
    assert stops == {start.handle, once.handle}
    again = get_start(effects)
    assert again.handle == start.handle
    assert again.cache_scope not in {start.cache_scope, once.cache_scope}
    (refused,) = pick(effects, Refuse)
    assert (refused.handle, refused.kind) == (once.handle, ErrorKind.OUTCOME_UNKNOWN)


def test_a_new_wall_ends_no_prompt_that_has_begun_or_is_behind_it() -> None:
    """Guards against prompts that are ended though they share nothing over the wall."""
    entry = Entry()
    install(entry, 2, frozenset({"quay"}))
    entry.confirm()
    begun = get_start(entry.send_request("stream", "key-yard"))
    entry.begin(begun)
    entry.send_request("stream", "key-quay")
    install(entry, 3, frozenset({"quay", "depot"}))
    entry.send_request("stream", "key-yard")
    assert not pick(wait_until_bound(entry, entry.now), StopAttempt)
    entry.confirm()
    entry.send_request("stream", "key-yard")
    install(entry, 4, frozenset({"depot"}))
    assert not pick(wait_until_bound(entry, entry.now), StopAttempt)


@FIXED
@given(
    st.lists(st.tuples(st.integers(1, 6), ISOLATED_SETS), min_size=1, max_size=4),
    st.lists(st.integers(0, 8), min_size=STEPS, max_size=STEPS),
)
def test_no_prompt_begins_across_a_wall_that_is_in_force(
    changes: list[tuple[int, frozenset[str]]], waits: list[int]
) -> None:
    """Guards against engines that read a prompt long after it was sent to them.

    The entry hears of each change at the next step. Engines keep all that was made.
    """
    entry, at, version = Entry(), 0, 2
    install(entry, version, frozenset())
    history = [(0, frozenset[str]())]
    for gap, isolated in changes:
        at += gap
        history.append((at, isolated))
    began, makers = entry.now, dict[str, set[str]]()
    queued: dict[int, tuple[int, str, StartAttempt]] = {}
    for step in range(STEPS):
        entry.now = began + step * STEP_S
        effects = entry.handle_event(Ticked())
        for _, isolated in [c for c in history[1:] if c[0] == step - 1]:
            version += 1
            install(entry, version, isolated)
        if step not in {since for since, _ in history}:
            entry.confirm()
        effects += entry.handle_event(Ticked())
        for stop in pick(effects, StopAttempt):
            queued.pop(stop.handle, None)
        in_force = max(
            n
            for n, (since, _) in enumerate(history)
            if n == 0 or (step - since) * STEP_S > APPLY_S
        )
        possible = [s for since, s in history[in_force:] if since <= step]
        walled = frozenset.intersection(*possible)
        due = [queued.pop(h) for h, q in list(queued.items()) if q[0] <= step]
        for _, name, start in due:
            made = makers.setdefault(start.cache_scope, set())
            assert not any({name, m} & walled for m in made if m != name)
            made.add(name)
            entry.disconnect(start.handle)
        name = NAMES[step % len(NAMES)]
        for start in pick(entry.send_request("once", f"key-{name}"), StartAttempt):
            queued[start.handle] = (step + waits[step], name, start)


def test_a_workspace_that_left_the_configuration_shares_with_nobody() -> None:
    """Guards against a request that outlives its workspace's entry."""
    entry = Entry()
    install(entry, 2, frozenset())
    start = get_start(entry.send_request("stream", "key-depot"))
    others = tuple(ForwardWorkspace(n, (f"key-{n}",)) for n in NAMES if n != "depot")
    directory = make_directory(3, workspaces=others)
    entry.handle_event(DirectoryRead(directory, entry.now))
    retry = get_start(entry.end(start, AttemptEnd.REJECTED, 503))
    assert retry.cache_scope not in {get_scope(entry, "yard"), start.cache_scope}


@given(st.lists(ISOLATED_SETS, min_size=1, max_size=5), st.data())
def test_nobody_meets_an_isolated_workspace_in_any_scope(
    history: list[frozenset[str]], data: st.DataObject
) -> None:
    """Each of several entries has some version, also an older one or after a restart.

    Engines and stores keep whatever any request made, for ever.
    """
    makers: dict[str, set[tuple[str, frozenset[str]]]] = {}
    for _ in range(6):
        isolated = data.draw(st.sampled_from(history), label="configuration")
        entry = Entry()
        install(entry, 2, isolated)
        for name in NAMES:
            scope = get_scope(entry, name)
            for maker, walled in makers.get(scope, set()):
                if maker != name:
                    assert not {maker, name} & (walled | isolated)
            makers.setdefault(scope, set()).add((name, isolated))


@given(ISOLATED_SETS, ISOLATED_SETS)
def test_scopes_change_with_the_set_of_isolated_workspaces_alone(
    first: frozenset[str], second: frozenset[str]
) -> None:
    """Guards against parts that are read again at changes that move no wall."""
    entry, restarted = Entry(), Entry()
    install(entry, 2, first)
    install(restarted, 7, second)
    for name in NAMES:
        if name not in first | second:
            is_same = get_scope(entry, name) == get_scope(restarted, name)
            assert is_same == (first == second)


@FIXED
@given(
    st.lists(
        st.tuples(
            st.text(alphabet="m1.+%é\n", max_size=4),
            st.integers(1, 30),
            st.none() | st.text(alphabet="m1.+%é\n", max_size=4),
        ),
        min_size=2,
        max_size=4,
        unique=True,
    ),
    ISOLATED_SETS,
)
def test_different_scopes_never_have_one_name(
    owners: list[tuple[str, int, str | None]], isolated: frozenset[str]
) -> None:
    """Guards against workspace 3 on m1 at 2, and all on m1.2 at 3, in one scope."""
    names = [name_private_scope(*owner) for owner in owners]
    shared = {(model, weights) for model, weights, _ in owners}
    for wall in {"", compute_wall(isolated)}:
        names += [name_shared_scope(*key, wall) for key in sorted(shared)]
    names += [name_single_use_scope(model, 7) for model in {m for m, _, _ in owners}]
    assert len(set(names)) == len(names)
    assert all(name.isascii() and name.isprintable() for name in names)


def test_prompts_with_one_id_and_unknown_weights_share_nothing() -> None:
    """Guards against callers that choose the id, and the model, of another's prompt."""
    entry = Entry()
    install(entry, 2, frozenset({"depot"}))
    prompt = Prompt("unknown", (PromptPart("shared", 900),))
    scopes = set()
    for name in NAMES:
        asked = entry.send_request("stream", f"key-{name}", request="r", prompt=prompt)
        start = get_start(asked)
        entry.disconnect(start.handle)
        scopes.add(start.cache_scope)
    assert len(scopes) == len(NAMES)


def test_a_prompt_that_names_no_model_has_a_scope_of_its_own() -> None:
    """Guards against the scope that engines take where none is named, for all."""
    entry = Entry()
    install(entry, 2, frozenset({"depot"}))
    scopes = set()
    for name in NAMES:
        start = get_start(entry.send_request("stream", f"key-{name}", prompt=None))
        entry.disconnect(start.handle)
        scopes.add(start.cache_scope)
    assert len(scopes) == len(NAMES) and "" not in scopes
    assert get_start(entry.send_request("idempotent", "key-yard")).cache_scope == ""


def test_names_of_scopes_are_unambiguous() -> None:
    """Guards against a workspace that is named like another's scope."""
    entry = Entry()
    install(entry, 2, frozenset({"depot"}))
    shared = get_scope(entry, "yard")
    odd = shared.removeprefix("m1.1")
    workspaces = (
        ForwardWorkspace("depot", ("key-depot",), isolated=True),
        ForwardWorkspace(odd, ("key-odd",), isolated=True),
        ForwardWorkspace(odd.removeprefix("+"), ("key-bare",), isolated=True),
    )
    entry.handle_event(DirectoryRead(make_directory(3, workspaces=workspaces), 100.0))
    scopes = {get_scope(entry, name) for name in ("depot", "odd", "bare")}
    assert len(scopes | {shared}) == 4
