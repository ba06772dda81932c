"""Builds the trace of one request from the log lines of several processes.

The request's lines are sorted by time. The trace also has the lines between the first
and the last of them in which the same processes logged a change of cluster state, since
such changes affect requests without naming any.
"""

from collections.abc import Iterable, Iterator
from datetime import datetime

import msgspec
from msgspec import Struct

from masticdrum.core.decoding import Undecodable, read_json
from masticdrum.model.telemetry import LogNumber

LEAD_TIME_S = 2.0  # a state change this shortly before a request may explain it
STATE_CHANGE_EVENTS = frozenset(
    {
        LogNumber.DIRECTORY_INSTALLED,
        LogNumber.DIRECTORY_IGNORED,
        LogNumber.LEASE_LAPSED,
        LogNumber.LEASE_REGAINED,
        LogNumber.UPSTREAM_LEAVING,
        LogNumber.UPSTREAM_GONE,
        LogNumber.DATA_CENTRES_CHANGED,
        LogNumber.WEIGHTS_NAMED,
        LogNumber.SOURCE_LOST,
        LogNumber.SOURCE_REGAINED,
        LogNumber.READINESS_CHANGED,
        LogNumber.CLOCK_JUMPED,
        LogNumber.UPSTREAM_AVOIDED,
        LogNumber.SHUTDOWN_BEGUN,
        LogNumber.LINES_DROPPED,
    }
)
COMMON_FIELDS = frozenset(
    {"time", "level", "program", "instance", "event", "name", "request"}
)
Facts = dict[str, object]


class TracedLine(Struct, frozen=True):
    """One line of a trace; ``at_s`` counts from the request's first line."""

    at_s: float
    instance: str
    name: str
    facts: Facts


class LogLine(Struct):
    """The fields that every log line may have."""

    time: str
    name: str = ""
    event: int = 0
    instance: str = ""
    request: str = ""


def trace_request(request: str, lines: Iterable[bytes]) -> list[TracedLine]:
    """Return the trace of a request; empty if no line names it.

    Text before the first brace of a line is ignored, and so are lines that are not log
    lines of these processes.
    """
    read = sorted(read_lines(lines), key=lambda entry: entry[0])
    named = [at for at, line, _ in read if line.request == request]
    if not named:
        return []
    first, last = named[0], named[-1]
    instances = {line.instance for _, line, _ in read if line.request == request}
    return [
        TracedLine(round(at - first, 6), line.instance, line.name, facts)
        for at, line, facts in read
        if line.request == request
        or (
            line.event in STATE_CHANGE_EVENTS
            and line.instance in instances
            and first - LEAD_TIME_S <= at <= last
        )
    ]


def read_lines(lines: Iterable[bytes]) -> Iterator[tuple[float, LogLine, Facts]]:
    """Yield the time, the line and its facts for each line that can be decoded."""
    for text in lines:
        start = text.find(b"{")
        if start < 0:
            continue
        try:
            line = read_json(text[start:], LogLine)
            everything = read_json(text[start:], dict[str, object])
            at = msgspec.convert(line.time, type=datetime)
        except (Undecodable, msgspec.MsgspecError):
            continue
        facts = {key: v for key, v in everything.items() if key not in COMMON_FIELDS}
        yield at.timestamp(), line, facts
