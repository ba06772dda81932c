"""Carries out the effects that only tell what happened."""

from masticdrum.model.telemetry import Count, Log, Observe
from masticdrum.shell.journal import write_event
from masticdrum.shell.meters import Meters


def carry_out_telemetry(meters: Meters, effect: Log | Count | Observe) -> None:
    """Write a log event, or add to a meter."""
    match effect:
        case Log():
            write_event(effect)
        case Count():
            meters.count(effect)
        case Observe():
            meters.observe(effect)
