"""The trace of a request, from unsorted lines and lines of other requests."""

import json

from masticdrum.core.requesttrace import trace_request


def make_line(second: float, number: int, instance: str, **more: object) -> bytes:
    line = {
        "time": f"2026-12-04T08:00:{second:09.6f}+00:00",
        "level": "info",
        "program": "masticdrum-entry",
        "instance": instance,
        "event": number,
        "name": f"event-{number}",
        **more,
    }
    return b"  12.5 " + instance.encode() + b" " + json.dumps(line).encode()


LINES = [
    make_line(11.0, 50, "entry-1", request="r1", detail="no_upstream"),
    make_line(10.0, 51, "entry-1", request="r1", upstream="i-1"),
    make_line(9.0, 70, "entry-1", source="upstreams"),
    make_line(10.5, 70, "entry-2", source="upstreams"),
    make_line(2.0, 70, "entry-1", source="directory"),
    make_line(10.2, 51, "entry-1", request="r2"),
    b"not a line of ours",
    b'{"time": 7}',
]


def test_a_trace_has_the_requests_lines_and_its_processes_state_changes() -> None:
    trace = trace_request("r1", LINES)
    assert [(line.at_s, line.name) for line in trace] == [
        (-1.0, "event-70"),
        (0.0, "event-51"),
        (1.0, "event-50"),
    ]
    assert trace[0].facts == {"source": "upstreams"}
    assert trace[2].facts == {"detail": "no_upstream"}


def test_an_unknown_request_has_an_empty_trace() -> None:
    assert trace_request("r9", LINES) == []
