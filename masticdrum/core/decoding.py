"""Decodes JSON into a struct, or returns the fault with its path."""

import re
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from masticdrum.model.faults import Fault

T = TypeVar("T")

PATH = re.compile(r"^(?P<text>.*) - at `\$\.?(?P<path>.*)`$", re.DOTALL)


def decode_json(body: bytes, kind: type[T]) -> Result[T, Fault]:
    """Decode ``body`` as JSON of ``kind``, or return the first fault."""
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(parse_fault(str(error)))


def parse_fault(text: str) -> Fault:
    """Split a decoder's message into a path and the error at that path."""
    found = PATH.match(text)
    if found is None:
        return Fault("", text)
    return Fault(found["path"], found["text"])
