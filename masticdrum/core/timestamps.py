"""Timestamps in attempt names and in keys.

An attempt's name starts with its creation time in milliseconds as twelve hexadecimal
digits, so that names sort by age as strings:

    >>> make_attempt("entry-1", 7, 1.5)
    '0000000005dc.entry-1.7'
    >>> read_timestamp("0000000005dc.entry-1.7")
    '0000000005dc'
"""

import re

TIMESTAMP_DIGITS = 12
TIMESTAMP = re.compile(r"[0-9a-f]{12}\.")
UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
MS_PER_S = 1000


def make_attempt(incarnation: str, number: int, wall_s: float) -> str:
    """Name an attempt; each pair of ``incarnation`` and ``number`` is used once."""
    return f"{int(wall_s * MS_PER_S):012x}.{incarnation}.{number:x}"


def read_timestamp(attempt: str) -> str | None:
    """Return an attempt's timestamp as a sortable string, or None if it has none."""
    if TIMESTAMP.match(attempt) is None:
        return None
    return attempt[:TIMESTAMP_DIGITS]


def read_key_time(key: str) -> float | None:
    """Return the timestamp in seconds of a UUID of version 7, or None for others."""
    text = key.lower()
    if UUID7.fullmatch(text) is None:
        return None
    return int(text[:8] + text[9:13], 16) / MS_PER_S
