"""What a process may use, shared out, and who pays when callers hold more."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from masticdrum.core.heldbytes import HeldBytes
from masticdrum.core.idleconnections import choose_closed
from masticdrum.core.processlimits import (
    MIN_DESCRIPTORS,
    MIN_SPARE_BYTES,
    OWN_BYTES,
    compute_caller_bytes,
    derive_limits,
    fits_body,
)
from masticdrum.model.resources import Resources

MIB = 1024 * 1024
LEAST = OWN_BYTES + MIN_SPARE_BYTES


@given(
    st.integers(LEAST, 2**40),
    st.integers(MIN_DESCRIPTORS, 2**20),
    st.integers(0, 2**34),
)
def test_all_that_is_held_fits_into_the_memory(
    memory: int, descriptors: int, max_body_bytes: int
) -> None:
    limits = derive_limits(Resources(memory, descriptors)).unwrap()
    caller_bytes = compute_caller_bytes(limits, max_body_bytes)
    assert OWN_BYTES + caller_bytes + limits.answer_bytes <= memory
    if fits_body(limits, max_body_bytes):
        assert max_body_bytes <= caller_bytes
    sockets = limits.caller_connections + limits.upstream_connections
    assert sockets + 2 * limits.probe_connections < descriptors
    assert limits.caller_connections > 0 and limits.probe_connections > 0


@pytest.mark.parametrize(
    ("resources", "text"),
    [
        (Resources(LEAST - 1, 1535), f"memory: {LEAST - 1} bytes are fewer"),
        (Resources(2**30, 100), "descriptors: 100 are fewer than 128"),
    ],
)
def test_limits_that_can_not_work_say_why(resources: Resources, text: str) -> None:
    assert derive_limits(resources).failure().startswith(text)
    assert isinstance(derive_limits(Resources(LEAST, MIN_DESCRIPTORS)), Success)


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 1000)), max_size=60))
def test_the_largest_pay_and_the_rest_fits(changes: list[tuple[int, int]]) -> None:
    held: HeldBytes[int] = HeldBytes(2000)
    sizes: dict[int, int] = {}
    for holder, size in changes:
        held.resize(holder, size)
        sizes[holder] = size
        excess = held.find_excess()
        left = {h: n for h, n in sizes.items() if h not in excess}
        assert sum(left.values()) <= 2000
        if excess:
            smallest = min(sizes[h] for h in excess)
            assert smallest >= max(left.values(), default=0)
            assert sum(left.values()) + smallest > 2000, "one too many pays"
        for shed in excess:
            held.release(shed)
            del sizes[shed]
        assert held.total == sum(sizes.values())


def test_those_that_wait_longest_are_closed_first() -> None:
    waiting = [(float(n), f"c{n}") for n in (5, 1, 3, 2, 4)]
    assert choose_closed(waiting, 32) == ["c1", "c2"]
    assert choose_closed([], 32) == []
