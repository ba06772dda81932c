"""Bytes from outside that are nested, invalid or out of range, in each reader."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from masticdrum.core.decoding import Undecodable, decode_json, read_json
from masticdrum.core.frames import MAGIC, split_frame
from masticdrum.core.requesttrace import read_lines
from masticdrum.core.segments import decode_head, decode_segment
from masticdrum.core.suspects import SuspectRow, Suspects, SuspectTable
from masticdrum.model.messages import Envelope, Hello
from masticdrum.model.platform import (
    ObjectAnswer,
    ObjectGet,
    ObjectPut,
    ObjectStatus,
)
from masticdrum.shell.requestbody import CompletionBody, parse_completion
from masticdrum.shell.wire import decode_envelope, encode_envelope

NESTED_JSON = b'{"more":' + b"[" * 2000 + b"]" * 2000 + b"}"
NESTED_PACK = b"\x91" * 2000 + b"\xc0"
LENGTH = len(NESTED_PACK).to_bytes(4, "big")


def is_refused(read: Callable[[bytes], Any]) -> Callable[[bytes], bool]:
    return lambda body: isinstance(read(body), Failure)


JSON_READERS: dict[str, Callable[[bytes], bool]] = {
    "a completion": is_refused(parse_completion),
    "settings and tables": is_refused(lambda body: decode_json(body, SuspectTable)),
    "a log line": lambda body: not list(read_lines([body])),
}
PACK_READERS: dict[str, Callable[[bytes], bool]] = {
    "an envelope": lambda body: decode_envelope(body) is None,
    "a frame": lambda body: isinstance(
        split_frame(MAGIC + len(body).to_bytes(4, "big") + body), Failure
    ),
    "a head": is_refused(decode_head),
    "a segment": is_refused(decode_segment),
}
ODD_JSON = [NESTED_JSON, b"[" * 3000, b"", b"{", b"NaN", b'{"a":"\\ud800"}', b"\xff"]
ODD_PACK = [NESTED_PACK, b"\x81\xa4type" + NESTED_PACK, b"", b"\xa1\xff", b"\xdd" * 9]


# Guards against processes that end at what is nested deeply (RecursionError).
@pytest.mark.parametrize("refuses", JSON_READERS.values(), ids=JSON_READERS)
@pytest.mark.parametrize("body", ODD_JSON, ids=lambda body: repr(body[:12]))
def test_odd_json_is_refused(body: bytes, refuses: Callable[[bytes], bool]) -> None:
    assert refuses(body)


@pytest.mark.parametrize("refuses", PACK_READERS.values(), ids=PACK_READERS)
@pytest.mark.parametrize("body", ODD_PACK, ids=lambda body: repr(body[:12]))
def test_odd_msgpack_is_refused(body: bytes, refuses: Callable[[bytes], bool]) -> None:
    assert refuses(body)


@given(st.binary() | st.text('[]{},:"\\1e-aN').map(str.encode))
@settings(derandomize=True, max_examples=1000)
def test_any_bytes_are_decoded_or_undecodable(body: bytes) -> None:
    with suppress(Undecodable):
        assert isinstance(read_json(body, CompletionBody), CompletionBody)


def decode_at(levels: int, body: bytes) -> str:
    """Decode from that many calls further down the stack."""
    if levels:
        return decode_at(levels - 1, body)
    try:
        read_json(body, SuspectTable)
    except Undecodable as error:
        return str(error)
    return "decoded"


# Guards against a RecursionError where the stack is deeper than at another reader.
@pytest.mark.parametrize("levels", [0, 200, 600])
def test_nested_json_is_undecodable_at_any_depth_of_the_stack(levels: int) -> None:
    body = b'{"more":' + b"[" * 800 + b"]" * 800 + b"}"
    assert decode_at(levels, NESTED_JSON).startswith("maximum recursion depth")
    assert decode_at(levels, body)[:7] in ("decoded", "maximum")


def test_a_reason_is_short() -> None:
    assert len(str(Undecodable("x" * 10_000))) == 200


# Guards against agents that end, again and again, at an odd table of suspects, and
# against suspects that are free since the table can't be read.
@pytest.mark.parametrize("body", [NESTED_JSON, b"[]", b"", b'{"rows":{"a":7}}'])
def test_an_odd_table_of_suspects_is_replaced_by_what_is_known(body: bytes) -> None:
    suspects = Suspects("agent/1")
    sound = SuspectTable({"culprit": SuspectRow(crashes=2)})
    suspects._install(sound, 0.0)
    read = suspects.plan_call(0.0)
    assert isinstance(read, ObjectGet)
    suspects.handle_answer(ObjectAnswer(read.call, ObjectStatus.OK, 7, body), 0.1)
    assert suspects.fault
    suspects.record_crash(("other",))
    write = suspects.plan_call(0.2)
    assert isinstance(write, ObjectPut) and write.expected == 7
    assert set(read_json(write.body, SuspectTable).rows) == {"culprit", "other"}


def test_an_envelope_with_a_nested_extra_field_is_refused_without_recursionerror() -> (
    None
):
    sound = encode_envelope(Envelope("a", "b", 1, Hello()))
    assert sound[:1] == b"\x94" and decode_envelope(sound) is not None
    assert decode_envelope(b"\x95" + sound[1:] + NESTED_PACK) is None
