"""Shows a repeated prompt, a booking and a drained data centre, end to end."""

import sys
from collections.abc import Iterator
from contextlib import suppress
from time import sleep

from msgspec import Struct

from demo.caller import Answer, call_service, complete
from demo.processes import exit_on_signals, wait_until
from demo.system import (
    BOOKING_ROUTE,
    TOKENS,
    URGENT_ROUTE,
    Plan,
    System,
)
from masticdrum.model.errors import ErrorKind

WORKSPACE = "olten-depot"
TOKEN = TOKENS[WORKSPACE]
DATA_CENTRE = "olten-a"
BLOCK_BYTES = 8000
BLOCKS = 5
PROMPTS_PER_PHASE = (
    8  # prompts sent while a data centre is out, and again once it is back
)
MAX_RETRIES = 10
EXPORT_TIMEOUT_S = 10.0  # how long the demo waits for the KV cache to be stored
WIDTHS = (44, 30, 12, 11)
HEADINGS = ("what", "answer", "first token", "recomputed")


class Row(Struct):
    """One line of the demo's table."""

    what: str
    answer: str
    first_token: str = ""
    recomputed: str = ""

    def format(self) -> str:
        """Format the row in columns."""
        cells = (self.what, self.answer, self.first_token, self.recomputed)
        pairs = zip(cells, WIDTHS, strict=True)
        return "  ".join(cell.ljust(width) for cell, width in pairs).rstrip()


def main() -> None:
    """Start a system, print the table and stop the system."""
    exit_on_signals()
    try:
        with System(Plan(engine_faults={"block_s": 0.1})) as system:
            print(Row(*HEADINGS).format())
            for row in show(system):
                print(row.format(), flush=True)
    except KeyboardInterrupt:
        sys.exit(130)


def show(system: System) -> Iterator[Row]:
    """Yield the rows of the table."""
    yield from show_prompt(system)
    yield from show_booking(system)
    yield from show_data_centre(system)


def show_prompt(system: System) -> Iterator[Row]:
    """Send one prompt three times, the last time after the caches were evicted."""
    prompt = make_prompt("wear report of axle 17")
    first, second = system.entries
    yield describe("prompt", send_prompt(first, prompt))
    yield describe("same prompt at once, other entry", send_prompt(second, prompt))
    stored = wait_for_stored_blocks(system)
    system.evict_caches()
    what = f"same prompt, cache evicted, {stored} blocks kept"
    yield describe(what, send_prompt(first, prompt))


def show_booking(system: System) -> Iterator[Row]:
    """Send one booking twice with one key, then another booking with that key."""
    first, second = system.entries
    booking = {"wheelset": 17, "lathe": 2}
    yield describe_call("booking", book(first, booking))
    what = "same booking, other entry, same key"
    yield describe_call(what, book_until_resolved(second, booking))
    other = book(second, booking | {"lathe": 3})
    yield describe_call("other booking, same key", other)
    service = next(iter(system.plan.services))
    executions = sum(system.show(service)["executions"].values())
    yield Row("executions at the service", str(executions))


def show_data_centre(system: System) -> Iterator[Row]:
    """Take a data centre out and back while prompts arrive."""
    for what in ("out", "back"):
        process = system.run_ctl(what, DATA_CENTRE)
        text = (process.stdout or process.stderr).strip().splitlines()[0]
        yield Row(f"masticdrumctl {what} {DATA_CENTRE}", text)
        before = count_runs(system)
        answers = [
            send_prompt(system.entries[number % 2], make_prompt(f"{what} {number}"), 4)
            for number in range(PROMPTS_PER_PHASE)
        ]
        whole = sum(answer.is_complete for answer in answers)
        served = count_runs(system) - before
        text = f"{whole} of {PROMPTS_PER_PHASE} whole, {served} there"
        yield Row(f"prompts while {DATA_CENTRE} is {what}", text)


def send_prompt(entry: str, prompt: str, max_tokens: int = 16) -> Answer:
    """Send a prompt on the urgent route."""
    return complete(entry, TOKEN, URGENT_ROUTE, prompt, max_tokens)


def book(entry: str, booking: dict[str, int]) -> Answer:
    """Send a booking with the demo's idempotency key."""
    return call_service(entry, TOKEN, BOOKING_ROUTE, "booking-17", booking)


def book_until_resolved(entry: str, booking: dict[str, int]) -> Answer:
    """Retry a booking after the suggested delay while its key is in progress."""
    for _ in range(MAX_RETRIES):
        answer = book(entry, booking)
        if answer.kind != ErrorKind.KEY_IN_PROGRESS:
            break
        sleep(float(answer.error["retry_after_s"]))
    return answer


def make_prompt(text: str) -> str:
    """Make a prompt of several blocks that starts with ``text``."""
    whole = text + "\n" + "profile 28.9 6.4 10.7\n" * (BLOCKS * BLOCK_BYTES // 10)
    return whole[: BLOCKS * BLOCK_BYTES]


def wait_for_stored_blocks(system: System) -> int:
    """Wait until the prompt's blocks are stored; return the number of stored blocks."""

    def count() -> int:
        return sum(int(system.show(name)["blocks"]) for name in system.plan.stores)

    with suppress(TimeoutError):
        wait_until(lambda: count() >= BLOCKS, "blocks stored", EXPORT_TIMEOUT_S)
    return count()


def count_runs(system: System) -> int:
    """Count the runs that reached the engines of the demo's data centre."""
    data_centres = system.plan.engines
    names = [
        name for name, data_centre in data_centres.items() if data_centre == DATA_CENTRE
    ]
    return sum(system.show(name)["counts"].get("POST runs", 0) for name in names)


def describe(what: str, answer: Answer) -> Row:
    """Describe a completion's answer."""
    usage = answer.usage
    blocks = usage.get("prompt_blocks", 0)
    recomputed = ""
    if blocks:
        recomputed = f"{usage['recomputed_blocks'] / blocks:.0%}"
    imported = usage.get("imported_blocks", 0)
    text = "whole" if answer.is_complete else describe_refusal(answer)
    if imported:
        text += f", {imported} blocks imported"
    return Row(what, text, f"{answer.first_token_s * 1000:.0f} ms", recomputed)


def describe_call(what: str, answer: Answer) -> Row:
    """Describe a plain service's answer."""
    if answer.status != 200:
        return Row(what, describe_refusal(answer))
    replayed = answer.headers.get("idempotent-replayed") == "true"
    return Row(what, "200, replayed" if replayed else "200")


def describe_refusal(answer: Answer) -> str:
    """Describe a refusal, a failed stream or a lost connection."""
    if answer.connection_error:
        return f"broken: {answer.connection_error}"
    return f"{answer.status} {answer.kind} ({answer.outcome})"


if __name__ == "__main__":
    main()
