"""Writes log events as JSON lines through ``logging``."""

import logging
from datetime import UTC, datetime
from typing import TextIO

import msgspec

from masticdrum.model.telemetry import Log, LogNumber
from masticdrum.shell.linewriter import LineWriter

LOGGER = "masticdrum"


class JsonLines(logging.Formatter):
    """Formats each record as one JSON object on one line."""

    def __init__(self, program: str, instance: str) -> None:
        super().__init__()
        self.program = program
        self.instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the line with the time, the process and the event of a record."""
        line: dict[str, object] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "program": self.program,
            "instance": self.instance,
        }
        event = getattr(record, "event", None)
        if isinstance(event, Log):
            line |= describe_event(event)
        else:
            line |= {"logger": record.name, "detail": record.getMessage()}
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def describe_event(event: Log) -> dict[str, object]:
    """Return the keys and values of a log event's line, without empty texts."""
    keys: dict[str, object] = {
        "event": int(event.number),
        "name": event.number.name.lower(),
    }
    texts = {
        "request": event.request,
        "attempt": event.attempt,
        "detail": event.detail,
    }
    return keys | {key: text for key, text in texts.items() if text} | event.facts


def configure_logging(
    program: str, instance: str, stream: TextIO | None = None
) -> None:
    """Send all logging of this process to ``stream``, standard error by default."""
    _install(logging.StreamHandler(stream), program, instance)


class RateLimitedHandler(logging.StreamHandler[LineWriter]):
    """Writes lines through a ``LineWriter`` and logs how many were dropped."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it if there are too many."""
        event = getattr(record, "event", None)
        name = event.number.name if isinstance(event, Log) else record.name
        if self.stream.admit(name):
            super().emit(record)
        dropped = self.stream.pop_dropped()
        if dropped:
            summary = Log(LogNumber.LINES_DROPPED, facts={**dropped})
            line = logging.LogRecord(LOGGER, logging.INFO, "", 0, "", (), None)
            line.event = summary
            super().emit(line)


def configure_bounded_logging(program: str, instance: str, descriptor: int) -> None:
    """Send all logging of this process to a descriptor, never blocking on it."""
    handler = RateLimitedHandler(LineWriter(descriptor))
    _install(handler, program, instance)


def _install(handler: logging.Handler, program: str, instance: str) -> None:
    handler.setFormatter(JsonLines(program, instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER).setLevel(logging.INFO)


def write_event(event: Log) -> None:
    """Execute the effect ``Log``."""
    logging.getLogger(LOGGER).info("%s", event.number.name, extra={"event": event})
