"""Text and JSON of roll-outs for operators."""

from datetime import UTC, datetime
from typing import Any

from masticdrum.model.rolloutprogress import RolloutProgress
from masticdrum.model.rollouts import RolloutLease, RolloutRead
from masticdrum.platform.rolloutorders import Odd, OrderRecords
from masticdrum.programs.ctloutput import format_rows
from masticdrum.programs.ctltext import describe_facts

NO_STATUS = "no status yet"
LIST_HEADERS = ("service", "target", "duration", "state", "decider")


def describe_orders(listed: list[OrderRecords]) -> str:
    """Format all orders as a table."""
    if not listed:
        return "no orders"
    return format_rows(LIST_HEADERS, [list_cells(records) for records in listed])


def list_cells(records: OrderRecords) -> tuple[str, ...]:
    """Return the cells of one order's row."""
    decider = describe_holder(records)
    read = records.order
    if isinstance(read, Odd):
        return read.name or "?", "?", "?", f"unreadable: {read.reason}", decider
    order = read.order
    duration = f"{order.duration_s:g} s"
    return order.service, order.target, duration, read.state or NO_STATUS, decider


def describe_holder(records: OrderRecords) -> str:
    """Format who decides an order; a lease on an earlier order doesn't count."""
    lease = records.lease
    if isinstance(lease, Odd):
        return "unreadable"
    if lease is None or not is_of(records.order, lease.target):
        return "none"
    return lease.holder


def is_of(read: RolloutRead | Odd, target: str) -> bool:
    """Return whether a record with that target can be one of the order."""
    return isinstance(read, Odd) or read.order.target == target


def describe_order(records: OrderRecords) -> str:
    """Format an order, the lease on it and its progress."""
    read = records.order
    if isinstance(read, Odd):
        head = [f"order '{read.name}' can't be read: {read.reason}"]
    else:
        order = read.order
        head = [
            f"service '{order.service}' to version '{order.target}'"
            f" within {order.duration_s:g} s",
            f"state: {read.state or NO_STATUS}",
        ]
    return "\n".join([*head, *describe_lease(records), *describe_progress(records)])


def describe_lease(records: OrderRecords) -> list[str]:
    """Format the lease on an order."""
    lease = records.lease
    if lease is None:
        return ["decider: none"]
    if isinstance(lease, Odd):
        return [f"decider: the lease can't be read: {lease.reason}"]
    if not is_of(records.order, lease.target):
        return [f"decider: none (the lease is that of version '{lease.target}')"]
    return [
        f"decider: {lease.holder} at {lease.address}, number {lease.number},"
        f" {lease.renewals} renewals, order seen {format_time(lease.began_unix_s)}"
    ]


def describe_progress(records: OrderRecords) -> list[str]:
    """Format the progress of an order."""
    progress = records.progress
    if progress is None:
        return ["progress: none published"]
    if isinstance(progress, Odd):
        return [f"progress: it can't be read: {progress.reason}"]
    if not is_of(records.order, progress.target):
        return [f"progress: none (it is that of version '{progress.target}')"]
    lines = [
        f"progress of {format_time(progress.at_unix_s)}, number {progress.number}:"
        f" step {progress.step}, share {progress.share:.1%}",
        f"next step: {describe_next(progress)}",
        f"answered: {progress.new_sent} by the target, {progress.old_sent} by others",
        f"verdict: {progress.verdict}",
    ]
    rows = [
        (route or "(all)", describe_facts(dict(facts)))
        for route, facts in sorted(progress.facts.items())
    ]
    if rows:
        lines += ["", format_rows(("route", "facts"), rows)]
    if progress.omitted:
        lines.append(f"{progress.omitted} routes left out")
    return lines


def describe_next(progress: RolloutProgress) -> str:
    """Format which step comes next, and when at the earliest."""
    if progress.next_share is None:
        return "none"
    share = f"share {progress.next_share:.1%}"
    if progress.next_at_unix_s is None:
        return share
    return f"{share}, not before {format_time(progress.next_at_unix_s)}"


def format_time(unix_s: float) -> str:
    """Format a time of day in UTC, or as it is if no calendar has it."""
    try:
        at = datetime.fromtimestamp(unix_s, UTC)
    except (OverflowError, ValueError, OSError):
        return f"{unix_s:g} s"
    return at.strftime("%Y-%m-%d %H:%M:%S UTC")


def make_value(records: OrderRecords) -> dict[str, Any]:
    """Return an order as a JSON object; what can't be read has its reason."""
    read = records.order
    value: dict[str, Any] = {"lease": make_part(records.lease)}
    value["progress"] = make_part(records.progress)
    if isinstance(read, Odd):
        return {"service": read.name, "unreadable": read.reason, **value}
    order = read.order
    return {
        "service": order.service,
        "target": order.target,
        "duration_s": order.duration_s,
        "state": read.state,
        **value,
    }


def make_part(
    part: RolloutLease | RolloutProgress | Odd | None,
) -> RolloutLease | RolloutProgress | dict[str, str] | None:
    """Return a record as it is, or the reason why it can't be read."""
    return {"unreadable": part.reason} if isinstance(part, Odd) else part
