"""Formats the results of ``masticdrumctl`` as text for people."""

from masticdrum.core.explanation import Explanation
from masticdrum.core.requesttrace import TracedLine
from masticdrum.core.tablediff import Change
from masticdrum.model.tables import Tables
from masticdrum.programs.ctloutput import format_rows
from masticdrum.shell.fleet import Report


def describe_changes(current: Tables, changes: list[Change]) -> str:
    """Format changes, with the serial that they apply to."""
    lines = [str(change) for change in changes] or ["no changes"]
    return "\n".join([*lines, f"against serial {current.serial}"])


def describe_tables(tables: Tables) -> str:
    """Format the tables."""
    data_centre_rows = [
        (row.name, row.region, "out" if row.out else "in service")
        for row in tables.data_centres
    ]
    pools = [
        (row.name, row.kind, row.model, row.version, len(row.upstreams))
        for row in tables.pools
    ]
    routes = [
        (
            row.name,
            row.pool,
            row.urgency,
            "yes" if row.idempotent else "no",
            len(row.workspaces),
        )
        for row in tables.routes
    ]
    return "\n\n".join(
        [
            f"serial {tables.serial}",
            format_rows(("data centre", "region", "state"), data_centre_rows),
            format_rows(("pool", "kind", "model", "version", "upstreams"), pools),
            format_rows(
                ("route", "pool", "urgency", "idempotent", "workspaces"), routes
            ),
        ]
    )


def describe_status(tables: Tables, reports: list[Report]) -> str:
    """Format the status of the processes."""
    rows = [
        (
            row.name,
            row.role,
            row.data_centre,
            row.state,
            "no answer" if row.serial is None else row.serial,
            describe_load(row),
        )
        for row in reports
    ]
    headers = ("process", "role", "data centre", "state", "serial", "load")
    return f"serial {tables.serial}\n\n{format_rows(headers, rows)}"


def describe_load(report: Report) -> str:
    """Format an agent's load, or return an empty text if none is reported."""
    load = report.load
    if load is None:
        return ""
    cold = ", cold" if load.cold else ""
    return f"{load.running} of {load.limit} running, {load.queued} queued{cold}"


def describe_explanation(explanation: Explanation) -> str:
    """Format the explanation of where a request would go."""
    if explanation.refusal is not None and not explanation.pool:
        return f"refused: {explanation.refusal} (serial {explanation.serial})"
    head = (
        f"route '{explanation.route}' -> pool '{explanation.pool}', "
        f"{explanation.urgency}, serial {explanation.serial}"
    )
    rows = [
        (
            number,
            row.upstream,
            row.data_centre,
            row.excluded or describe_utilization(row.load),
        )
        for number, row in enumerate(explanation.candidates, start=1)
    ]
    table = format_rows(("order", "upstream", "data centre", "why"), rows)
    if explanation.refusal is not None:
        return f"refused: {explanation.refusal}\n{head}\n\n{table}"
    return f"{head}\n\n{table}"


def describe_utilization(load: float | None) -> str:
    """Format how much of an upstream's limit is in use."""
    return "load unknown" if load is None else f"{load:.0%} in use"


def describe_trace(traced_lines: list[TracedLine]) -> str:
    """Format the trace of a request."""
    rows = [
        (f"{line.at_s:+.3f}", line.instance, line.name, describe_facts(line.facts))
        for line in traced_lines
    ]
    return format_rows(("seconds", "process", "event", "facts"), rows)


def describe_facts(facts: dict[str, object]) -> str:
    """Format the facts of a log line as ``key=value`` pairs."""
    return " ".join(f"{key}={value}" for key, value in facts.items())
