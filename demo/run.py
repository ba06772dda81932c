"""Runs the demo's system until Ctrl-C and prints calls to try."""

import threading

from demo.processes import exit_on_signals
from demo.system import BOOKING_ROUTE, TOKENS, URGENT_ROUTE, System

TEXT = """\
A prompt, streamed:
  curl -N {entry}/v1/completions -H 'Authorization: Bearer {token}' \\
    -d '{{"model": "{urgent}", "prompt": "wear of axle 17", "stream": true}}'
A booking; send it twice:
  curl {entry}/v1/routes/{booking}/calls -H 'Authorization: Bearer {token}' \\
    -H 'Idempotency-Key: booking-1' -d '{{"wheelset": 17}}'
Status and metrics of an entry:
  curl {entry}/status {entry}/metrics
What an operator sees and does:
  .venv/bin/masticdrumctl --settings {directory}/ctl.json status
  .venv/bin/masticdrumctl --settings {directory}/ctl.json out {data_centre}
A stand-in's state, and a fault switched on:
  curl {engine}/control
  curl {engine}/control -d '{{"do": "crash"}}'
Settings and logs are in {directory}. Ctrl-C stops everything.
"""


def main() -> None:
    """Start a system and wait for Ctrl-C."""
    exit_on_signals()
    try:
        with System() as system:
            print(describe(system), flush=True)
            threading.Event().wait()
    except KeyboardInterrupt:
        print("stopped")


def describe(system: System) -> str:
    """List the addresses of all processes and the calls to try."""
    lines = [f"{name:24}{url}" for name, url in system.addresses.items()]
    token = next(iter(TOKENS.values()))
    text = TEXT.format(
        entry=system.entries[0],
        token=token,
        urgent=URGENT_ROUTE,
        booking=BOOKING_ROUTE,
        data_centre=next(iter(system.plan.engines.values())),
        engine=system.addresses[next(iter(system.plan.engines))],
        directory=system.directory,
    )
    return "\n".join(lines) + "\n\n" + text


if __name__ == "__main__":
    main()
