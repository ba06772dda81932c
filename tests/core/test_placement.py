"""Placement ranks alike everywhere, spreads by weight and skips overloaded homes."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.placement import (
    HINT_TTL_S,
    Hint,
    build_ranking,
    order_upstreams,
)
from masticdrum.core.rendezvous import Ranking
from masticdrum.core.sharedprefixes import SharedPrefixes
from masticdrum.model.messages import Load
from masticdrum.model.tables import Pool, PoolKind, Upstream, Urgency

KEYS = st.integers(0, 2**64 - 1)


def make_pool(count: int, data_centres: int = 3) -> Pool:
    upstreams = [
        Upstream(f"up-{n}", f"dc-{n % data_centres}", f"tcp://127.0.0.1:{n}")
        for n in range(count)
    ]
    return Pool("llm", PoolKind.ENGINE, upstreams, block_bytes=8)


def order(ranking, key, hints=None, excluded=(), now=0.0, most=100):
    return order_upstreams(
        ranking, key, Urgency.NORMAL, hints or {}, set(excluded), now, most
    )


@settings(derandomize=True, max_examples=50, deadline=None)
@given(KEYS, st.integers(1, 60), st.randoms(use_true_random=False))
def test_order_has_each_upstream_once_in_any_table_order(key, count, random) -> None:
    pool = make_pool(count)
    shuffled = Pool("llm", PoolKind.ENGINE, random.sample(pool.upstreams, count))
    names = order(build_ranking(pool), key)
    assert sorted(names) == sorted(upstream.name for upstream in pool.upstreams)
    assert names == order(build_ranking(shuffled), key)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(KEYS, st.integers(2, 60), st.data())
def test_excluding_an_upstream_moves_no_other_key(key, count, data) -> None:
    ranking = build_ranking(make_pool(count))
    before = order(ranking, key)
    gone = data.draw(st.sampled_from(before))
    assert order(ranking, key, excluded=[gone]) == [n for n in before if n != gone]


def test_share_follows_weight() -> None:
    ranking = Ranking([("a", "x", 1.0), ("b", "x", 2.0), ("c", "y", 1.0)])
    homes = Counter(next(ranking.rank(key * 7919)) for key in range(8000))
    assert abs(homes["b"] / 8000 - 0.5) < 0.03
    assert abs(homes["c"] / 8000 - 0.25) < 0.03


def test_weightless_member_is_left_out() -> None:
    assert list(Ranking([("a", "x", 0.0), ("b", "x", 1.0)]).rank(1)) == ["b"]


def test_overloaded_home_is_ranked_last_until_its_hint_expires() -> None:
    ranking = build_ranking(make_pool(6))
    names = order(ranking, 5)
    full = Hint(Load(running=16, queued=9, limit=16, wait_s=9.0), 0.0)
    assert order(ranking, 5, {names[0]: full}) == [*names[1:], names[0]]
    assert order(ranking, 5, {names[0]: full}, now=HINT_TTL_S + 1) == names


def test_nothing_left_gives_an_empty_order() -> None:
    ranking = build_ranking(make_pool(2))
    assert order(ranking, 5, excluded=["up-0", "up-1"]) == []


def learn(shared_prefixes: SharedPrefixes) -> None:
    for n in range(8):
        shared_prefixes.compute_placement_key("a", f"preamble{n:08d}", 8)


def test_key_reaches_past_the_shared_prefix_and_survives_growth() -> None:
    shared_prefixes = SharedPrefixes()
    learn(shared_prefixes)
    first = shared_prefixes.compute_placement_key("a", "preamble" + "question", 8)
    assert first == shared_prefixes.compute_placement_key(
        "a", "preamble" + "question" + "more text", 8
    )
    assert first != shared_prefixes.compute_placement_key(
        "a", "preamble" + "another!", 8
    )
    assert first != shared_prefixes.compute_placement_key(
        "b", "preamble" + "question", 8
    )


def test_large_workspace_spreads_despite_a_long_shared_prefix() -> None:
    shared_prefixes = SharedPrefixes()
    prompts = ["a" * 24 + f"{n:08d}" for n in range(40)]
    for prompt in prompts:
        shared_prefixes.compute_placement_key("a", prompt, 8)
    keys = {shared_prefixes.compute_placement_key("a", prompt, 8) for prompt in prompts}
    assert len(keys) == 40


def test_prompt_without_a_block_after_the_shared_prefix_spreads_by_its_tail() -> None:
    shared_prefixes = SharedPrefixes()
    learn(shared_prefixes)
    keys = {
        shared_prefixes.compute_placement_key("a", f"preamble{n}", 8) for n in range(9)
    }
    assert len(keys) == 9


def test_bound_keeps_homes_at_low_loads_and_follows_the_mean() -> None:
    ranking = build_ranking(make_pool(6))
    names = order(ranking, 5)
    light = {name: Hint(Load(running=2, limit=16), 0.0) for name in names}
    light[names[0]] = Hint(Load(running=3, limit=16), 0.0)
    assert order(ranking, 5, light)[0] == names[0]
    light[names[0]] = Hint(Load(running=4, limit=16), 0.0)
    assert order(ranking, 5, light)[0] == names[1]
    busy = {name: Hint(Load(running=12, limit=16), 0.0) for name in names}
    assert order(ranking, 5, busy)[0] == names[0]
    busy[names[0]] = Hint(Load(running=16, queued=8, limit=16), 0.0)
    assert order(ranking, 5, busy)[0] == names[1]


def test_ranking_scores_few_names_of_many() -> None:
    ranking = build_ranking(make_pool(2900, 5))
    centre = next(iter(ranking.root.children.values()))
    sizes = [len(group.children) for group in centre.children.values()]
    assert len(ranking.root.children) + len(centre.children) + max(sizes) < 80


def test_urgent_prompt_avoids_other_urgent_prompts() -> None:
    ranking = build_ranking(make_pool(6))
    names = order(ranking, 5)
    hints = {name: Hint(Load(running=2, limit=16), 0.0) for name in names}
    hints[names[0]] = Hint(Load(running=2, limit=16, urgent=2), 0.0)
    urgent = order_upstreams(ranking, 5, Urgency.URGENT, hints, set(), 0.0)
    assert urgent[0] == names[1]
    assert order(ranking, 5, hints)[0] == names[0]
