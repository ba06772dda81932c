"""Decodes what comes from outside this process; each way to fail is one error.

Decoders raise more than their own errors, for example ``RecursionError`` for what is
nested deeply, even in a field that nobody reads. From which depth on also depends on
the depth of the call, so every reader has to expect it.
"""

import re
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from masticdrum.model.faults import Fault

T = TypeVar("T")

PATH = re.compile(r"^(?P<text>.*) - at `\$\.?(?P<path>.*)`$", re.DOTALL)
MAX_REASON_CHARS = 200  # since a reason may quote what was read
MAX_DIGITS = 20  # of a whole number; with 400, arithmetic overflows
# ``OverflowError`` and ``ValueError`` are raised for numbers with too many digits.
DECODER_ERRORS = (msgspec.MsgspecError, RecursionError, OverflowError, ValueError)


class Undecodable(Exception):
    """What was received isn't what it should be; the text is the reason."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason[:MAX_REASON_CHARS])


def read_json(body: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode JSON as ``kind``; raises ``Undecodable``."""
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODER_ERRORS as error:
        raise Undecodable(str(error)) from error


def read_digits(text: bytes) -> int:
    """Return a whole number that only digits spell; raises ``Undecodable``."""
    if not text.isdigit():
        raise Undecodable(f"{text[:MAX_DIGITS]!r} is no whole number")
    if len(text) > MAX_DIGITS:
        raise Undecodable(f"a number of {len(text)} digits")
    return int(text)


def read_msgpack(body: bytes, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Decode msgpack; raises ``Undecodable``."""
    try:
        return decoder.decode(body)
    except DECODER_ERRORS as error:
        raise Undecodable(str(error)) from error


def decode_json(body: bytes, kind: type[T]) -> Result[T, Fault]:
    """Decode ``body`` as JSON of ``kind``, or return the first fault."""
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except DECODER_ERRORS as error:
        return Failure(parse_fault(str(error)))


def parse_fault(text: str) -> Fault:
    """Split a decoder's message into a path and the error at that path."""
    found = PATH.match(text)
    if found is None:
        return Fault("", text)
    return Fault(found["path"], found["text"])
