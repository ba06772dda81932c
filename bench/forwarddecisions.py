"""Measures what a forwarding entry's reducer costs a stream, by upstreams.

One interpreter, no network: requests with prompts arrive, are sent to an engine and
answered, with some twenty open at a time.
"""

import time

from masticdrum.model.exchange import AttemptEnd, Prompt, PromptPart, StartAttempt
from tests.forwarding import MODEL, Entry, make_upstream, pick

SIZES = (6, 60, 120, 600, 2900)
DATA_CENTRES = 5
REQUESTS = 400
OPEN_REQUESTS = 20
SHARED_PREFIXES = 40
US_PER_S = 1_000_000


def measure(upstreams: int) -> float:
    """Return the mean time of one stream's decisions, in seconds."""
    engines = tuple(
        make_upstream(
            f"engines-{number}",
            "engines",
            data_centre=f"centre-{number % DATA_CENTRES}",
        )
        for number in range(upstreams)
    )
    entry = Entry(upstreams=engines)
    open_attempts: list[StartAttempt] = []
    started = time.process_time()
    for number in range(REQUESTS):
        parts = (
            PromptPart(f"shared-{number % SHARED_PREFIXES}", 900),
            PromptPart(f"own-{number}", 50),
        )
        effects = entry.send_request("stream", prompt=Prompt(MODEL, parts))
        open_attempts += pick(effects, StartAttempt)
        if len(open_attempts) > OPEN_REQUESTS:
            entry.end(open_attempts.pop(0), AttemptEnd.ANSWERED, 200, verified=True)
    return (time.process_time() - started) / REQUESTS


def main() -> None:
    """Print a table."""
    print("| upstreams | one stream |\n|---|---|")
    for upstreams in SIZES:
        print(f"| {upstreams:,} | {measure(upstreams) * US_PER_S:.0f} us |")


if __name__ == "__main__":
    main()
