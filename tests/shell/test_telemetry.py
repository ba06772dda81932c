"""Log lines are JSON, and the number of time series is bounded."""

import io
import logging

import msgspec

from masticdrum.model.telemetry import (
    Count,
    Counter,
    Histogram,
    Log,
    LogNumber,
    Observe,
)
from masticdrum.shell.jsonlogging import JsonLines
from masticdrum.shell.metrics import MAX_LABEL_VALUES, Metrics


def format_record(**extra: object) -> dict[str, object]:
    logger = logging.Logger("test")
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonLines("masticdrum-entry", "entry-0"))
    logger.addHandler(handler)
    logger.info("a %s", "library speaks", extra=extra)
    line: dict[str, object] = msgspec.json.decode(stream.getvalue())
    return line


def test_event_line_carries_number_and_ids() -> None:
    line = format_record(event=Log(LogNumber.ATTEMPT_REFUSED, "r", "r.1", "queue_full"))
    assert line["event"] == 24
    assert line["name"] == "attempt_refused"
    assert (line["request"], line["attempt"]) == ("r", "r.1")
    assert line["instance"] == "entry-0"


def test_line_of_a_library_is_json_too() -> None:
    assert format_record()["detail"] == "a library speaks"


def test_counts_and_times_are_exported() -> None:
    meters = Metrics()
    meters.count(Count(Counter.REFUSALS, "queue_full", 2))
    meters.observe(Observe(Histogram.FIRST_TOKEN, 0.3, "urgent"))
    text = meters.export().decode()
    assert 'masticdrum_refusals_total{reason="queue_full"} 2.0' in text
    assert 'masticdrum_first_token_seconds_count{label="urgent"} 1.0' in text


def test_label_values_are_bounded() -> None:
    meters = Metrics()
    for number in range(1000):
        meters.count(Count(Counter.RETRIES, f"reason-{number}"))
    text = meters.export().decode()
    assert text.count("masticdrum_retries_total{") == MAX_LABEL_VALUES + 1
