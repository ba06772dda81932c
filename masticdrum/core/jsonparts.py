"""Splits JSON at its outermost level, whatever its parts hold.

A decoder fails as a whole if one part is nested deeply or isn't valid JSON. Here only
texts must end and brackets must match, so each part can be decoded on its own.
"""

import re

from masticdrum.core.decoding import Undecodable, read_json

# A text, also one that never ends, a run of brackets of one direction, or a comma.
TOKEN = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)|[\[{]++|[\]}]++|,', re.DOTALL
)
# What is further inside, up to a run of brackets; nothing in it is looked at.
INSIDE = re.compile(
    rb'(?:[^"\[\]{}]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([\[{]++|[\]}]++)', re.DOTALL
)
MEMBER = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:\s*(.*)', re.DOTALL)


def split_elements(text: bytes) -> list[bytes]:
    """Return what stands between the commas of an array or object.

    For example ``[{"a": [1, 2]}, 3]`` is split into ``{"a": [1, 2]}`` and ``3``. Raises
    ``Undecodable`` if the outermost bracket is never closed.
    """
    parts: list[bytes] = []
    depth = start = at = 0
    while token := INSIDE.match(text, at) if depth > 1 else TOKEN.search(text, at):
        run, begins = token[token.re.groups], token.start(token.re.groups)
        at = token.end()
        if run[0] in b"[{":
            start = start if depth else begins + 1
            depth += len(run)
        elif run[0] in b"]}":
            if len(run) >= depth:
                parts.append(text[start : begins + max(0, depth - 1)])
                return [part for part in map(bytes.strip, parts) if part]
            depth -= len(run)
        elif run == b"," and depth == 1:
            parts.append(text[start:begins])
            start = at
    raise Undecodable("its brackets don't match")


def split_members(text: bytes) -> dict[str, bytes]:
    """Return the undecoded members of an object by name; raises ``Undecodable``."""
    if not text.lstrip().startswith(b"{"):
        raise Undecodable("it is not an object")
    members: dict[str, bytes] = {}
    for part in split_elements(text):
        found = MEMBER.match(part)
        if found is None:
            raise Undecodable("a member has no name")
        members[read_json(found[1], str)] = found[2]
    return members
