"""Executes the effects that log or record metrics."""

from masticdrum.model.telemetry import Count, Log, Observe
from masticdrum.shell.jsonlogging import write_event
from masticdrum.shell.metrics import Metrics


def carry_out_telemetry(metrics: Metrics, effect: Log | Count | Observe) -> None:
    """Write a log event or update a metric."""
    match effect:
        case Log():
            write_event(effect)
        case Count():
            metrics.count(effect)
        case Observe():
            metrics.observe(effect)
