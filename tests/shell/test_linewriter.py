"""Writing log lines never blocks on the reader, and dropped lines are reported."""

import json
import logging
import os

from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.shell.jsonlogging import JsonLines, RateLimitedHandler
from masticdrum.shell.linewriter import BURST_LINES, MAX_BUFFER, LineWriter


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def make_handler(clock: Clock) -> tuple[RateLimitedHandler, int]:
    reading, writing = os.pipe()
    handler = RateLimitedHandler(LineWriter(writing, clock))
    handler.setFormatter(JsonLines("test", "entry-1"))
    os.set_blocking(reading, False)
    return handler, reading


def emit(
    handler: RateLimitedHandler, number: LogNumber = LogNumber.EXCHANGE_SENT
) -> None:
    record = logging.LogRecord("masticdrum", logging.INFO, "", 0, "", (), None)
    record.event = Log(number, request="r1", detail="x" * 100)
    handler.emit(record)


def read_lines(handler: RateLimitedHandler, reading: int) -> list[dict]:
    data = b""
    while True:
        handler.flush()
        try:
            data += os.read(reading, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def test_lines_over_the_burst_limit_are_dropped_and_counted() -> None:
    clock = Clock()
    handler, reading = make_handler(clock)
    for _ in range(BURST_LINES + 50):
        emit(handler)
    clock.now = 2.0
    emit(handler)
    lines = read_lines(handler, reading)
    (summary,) = [line for line in lines if line["name"] == "lines_dropped"]
    assert summary["EXCHANGE_SENT"] == 50
    assert len(lines) == BURST_LINES + 2


def test_a_stalled_reader_blocks_no_writer() -> None:
    clock = Clock()
    handler, reading = make_handler(clock)
    for _ in range(10_000):
        clock.now += 1.0
        emit(handler)
    assert len(handler.stream._buffer) < MAX_BUFFER + 1000
    dropped_count = handler.stream.dropped["EXCHANGE_SENT"]
    assert dropped_count > 5000
    read_lines(handler, reading)
    clock.now += 1.0
    emit(handler)
    lines = read_lines(handler, reading)
    assert [line["EXCHANGE_SENT"] for line in lines[1:]] == [dropped_count]


def test_a_closed_reader_raises_no_error() -> None:
    handler, reading = make_handler(Clock())
    os.close(reading)
    emit(handler)
