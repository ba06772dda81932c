"""Splitting JSON at its outermost level."""

import json
import time
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdrum.core.decoding import Undecodable
from masticdrum.core.jsonparts import split_elements, split_members

MAX_SPLIT_S = 1.0  # of the processor
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def dump(value: Any, spaced: bool) -> bytes:
    separators = None if spaced else (",", ":")
    return json.dumps(value, ensure_ascii=False, separators=separators).encode()


# Guards against other objects of a list that are lost or altered as it is split.
@given(st.lists(VALUES), st.booleans())
@settings(derandomize=True)
def test_elements_are_those_of_a_whole_decoder(values: Any, spaced: bool) -> None:
    parts = split_elements(dump(values, spaced))
    assert parts == [dump(value, spaced) for value in values]


@given(st.dictionaries(st.text(), VALUES), st.booleans())
@settings(derandomize=True)
def test_members_are_those_of_a_whole_decoder(values: Any, spaced: bool) -> None:
    parts = split_members(dump(values, spaced))
    assert parts == {name: dump(value, spaced) for name, value in values.items()}


def test_nested_elements_are_split_without_a_recursionerror() -> None:
    nested = b"[" * 200_000 + b"]" * 200_000
    assert split_elements(b"[1,%s,2]" % nested) == [b"1", nested, b"2"]


@given(st.binary() | st.text('[]{},:"\\ a1').map(str.encode))
@settings(derandomize=True, max_examples=1000)
def test_any_bytes_are_split_or_undecodable(body: bytes) -> None:
    for split in (split_elements, split_members):
        try:
            assert split(body) is not None
        except Undecodable as error:
            assert str(error)


@pytest.mark.parametrize("body", [b"", b"[", b'["]', b"[{]", b'{"a', b'{1:"a"}', b"7"])
def test_unbalanced_bytes_are_undecodable(body: bytes) -> None:
    with pytest.raises(Undecodable):
        split_members(body)


# Guards against a process that is held up for minutes by a page that was cut off within
# a text (CONFIG).
@pytest.mark.parametrize("text", [rb"\"", rb"\\", b"a", rb"\a"])
@pytest.mark.parametrize("end", [b"", b"\\"])
def test_a_text_that_never_ends_is_given_up_in_linear_time(
    text: bytes, end: bytes
) -> None:
    began = time.process_time()
    with pytest.raises(Undecodable):
        split_elements(b'[1,"' + text * 50_000 + end)
    assert time.process_time() - began < MAX_SPLIT_S
